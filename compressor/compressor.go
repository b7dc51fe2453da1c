// Package compressor compresses messages between VMs with zstd. They consist
// mostly of repeated names: the configuration shrinks to a fifth of its size or
// less.
package compressor

import (
	"bytes"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// MinSize is the minimum size in bytes of messages that are compressed. Smaller
	// ones are not worth the CPU time.
	MinSize = 1 << 10
	// maxSize is the maximum size in bytes of messages that are compressed. Larger
	// ones, which are answers of backend servers, would occupy the goroutine that
	// sends them for too long.
	maxSize = 1 << 20
	// windowSize is the zstd window size in bytes. It limits the memory that each
	// process needs for compression.
	windowSize = 64 << 10
)

// zstdMagic is the zstd magic number, the prefix of each compressed message. An
// uncompressed message starts with a CBOR array, whose first byte is different.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Compressor compresses and decompresses messages. It is safe for concurrent use.
type Compressor struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a Compressor whose Decompress fails for messages of more than
// limit bytes.
func New(limit int) (*Compressor, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowSize), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, fmt.Errorf("create zstd encoder: %w", err)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	return &Compressor{encoder: encoder, decoder: decoder}, nil
}

// Compress appends the compressed message to dst. If the message is outside the
// size limits or does not become smaller, it returns dst unchanged and false.
func (c *Compressor) Compress(dst, message []byte) ([]byte, bool) {
	if len(message) < MinSize || len(message) > maxSize {
		return dst, false
	}
	out := c.encoder.EncodeAll(message, dst)
	if len(out)-len(dst) >= len(message) {
		return dst, false
	}
	return out, true
}

// IsCompressed reports whether message was compressed by Compress.
func (*Compressor) IsCompressed(message []byte) bool { return bytes.HasPrefix(message, zstdMagic) }

// Decompress decompresses a message.
func (c *Compressor) Decompress(compressed []byte) ([]byte, error) {
	message, err := c.decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress message of %d bytes: %w", len(compressed), err)
	}
	return message, nil
}

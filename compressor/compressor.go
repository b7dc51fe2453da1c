// Package compressor makes messages between VMs smaller. Most of their bytes
// are names that repeat: the configuration shrinks to a fifth and less.
package compressor

import (
	"bytes"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// Least is the size in bytes from which on a message is worth the work.
	Least = 1 << 10
	// most keeps large payloads, which are answers of backend servers, from
	// holding up the thread that sends them.
	most = 1 << 20
	// window bounds the memory of each process for compression, in bytes.
	window = 64 << 10
)

// magic starts each compressed message. No CBOR array starts so.
var magic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Compressor compresses and expands messages. It is safe for concurrent use.
type Compressor struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a Compressor that expands messages to limit bytes at most.
func New(limit int) (*Compressor, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, fmt.Errorf("set up compression: %w", err)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, fmt.Errorf("set up expansion: %w", err)
	}
	return &Compressor{encoder: encoder, decoder: decoder}, nil
}

// Compress appends a smaller form of message to room. It reports false, and
// appends nothing, when there is none.
func (c *Compressor) Compress(room, message []byte) ([]byte, bool) {
	if len(message) < Least || len(message) > most {
		return room, false
	}
	out := c.encoder.EncodeAll(message, room)
	if len(out)-len(room) >= len(message) {
		return room, false
	}
	return out, true
}

// Compressed reports whether message is the result of Compress.
func (*Compressor) Compressed(message []byte) bool { return bytes.HasPrefix(message, magic) }

// Expand returns the message that was compressed.
func (c *Compressor) Expand(compressed []byte) ([]byte, error) {
	message, err := c.decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("expand message of %d bytes: %w", len(compressed), err)
	}
	return message, nil
}

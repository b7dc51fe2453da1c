package journal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/replicator"
)

// A file is a sequence of frames. Each frame is written and synced as a whole
// before the next one is begun, so a crash damages at most the last one.
//
//	magic    4 bytes
//	length   4 bytes, of the payload
//	number   8 bytes, counts the frames of the file from 0
//	checksum 8 bytes, xxhash of the 16 bytes above and the payload
//	payload  one CBOR record
const (
	frameMagic  = 0x315a544a // "JTZ1"
	headerSize  = 24
	maxPayload  = 1 << 30
	sectorBytes = 512
	// formatVersion is stored in the first record of each file.
	formatVersion = 1
)

// record is the payload of a frame. The first record of a file has Identity
// and the state at the time; later ones have what changed.
type record struct {
	Identity  *identity             `cbor:"1,keyasint,omitempty"`
	HardState *replicator.HardState `cbor:"2,keyasint,omitempty"`
	Snapshot  *replicator.Snapshot  `cbor:"3,keyasint,omitempty"`
	Entries   []replicator.Entry    `cbor:"4,keyasint,omitempty"`
}

type identity struct {
	Format uint              `cbor:"1,keyasint"`
	VM     zinniatide.VMID   `cbor:"2,keyasint"`
	Disk   zinniatide.DiskID `cbor:"3,keyasint"`
}

// decoding accepts large logs in one record.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 27, MaxMapPairs: 1 << 27}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// encodeFrame returns the frame of r.
func encodeFrame(number uint64, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayload {
		return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d", len(payload), maxPayload)
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(frame[8:], number)
	binary.LittleEndian.PutUint64(frame[16:], checksum(frame, payload))
	return append(frame, payload...), nil
}

func checksum(header, payload []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(header[:16])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// errTorn marks a frame that a crash may have left incomplete.
var errTorn = errors.New("incomplete frame")

// decodeFrame reads the frame at offset and returns its payload. An error is
// errTorn only if the bytes look like a write that a crash cut short: the
// file ends within the frame, or a whole disk sector of it is zero.
func decodeFrame(data []byte, offset int, number uint64) (payload []byte, err error) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return nil, errTorn
	}
	length := int(binary.LittleEndian.Uint32(rest[4:]))
	sound := binary.LittleEndian.Uint32(rest) == frameMagic &&
		binary.LittleEndian.Uint64(rest[8:]) == number && length <= maxPayload
	if !sound {
		if zeroSector(data, offset, len(data)) {
			return nil, errTorn
		}
		return nil, errors.New("bad frame header")
	}
	if len(rest) < headerSize+length {
		return nil, errTorn
	}
	payload = rest[headerSize : headerSize+length]
	if binary.LittleEndian.Uint64(rest[16:]) != checksum(rest, payload) {
		if zeroSector(data, offset, offset+headerSize+length) {
			return nil, errTorn
		}
		return nil, errors.New("checksum mismatch")
	}
	return payload, nil
}

// zeroSector reports whether the part of some disk sector that lies in
// data[from:to] is all zero, as after a crash that kept the file's new size
// but not all of its blocks.
func zeroSector(data []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sectorBytes+1)*sectorBytes)
		zero := true
		for _, b := range data[from:end] {
			if b != 0 {
				zero = false
				break
			}
		}
		if zero {
			return true
		}
		from = end
	}
	return false
}

// frameFollows reports whether a sound frame begins anywhere after offset.
func frameFollows(data []byte, offset int) bool {
	for i := offset + 1; i+headerSize <= len(data); i++ {
		rest := data[i:]
		if binary.LittleEndian.Uint32(rest) != frameMagic {
			continue
		}
		length := int(binary.LittleEndian.Uint32(rest[4:]))
		if length > maxPayload || len(rest) < headerSize+length {
			continue
		}
		if binary.LittleEndian.Uint64(rest[16:]) == checksum(rest, rest[headerSize:headerSize+length]) {
			return true
		}
	}
	return false
}

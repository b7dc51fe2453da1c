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
//	checksum 8 bytes, xxhash of the payload
//	checksum 8 bytes, xxhash of the 24 bytes above
//	payload  one CBOR record
//
// The header has its own checksum because a damaged length of the last frame
// would otherwise look like a write that a crash cut short.
const (
	frameMagic  = 0x315a544a // "JTZ1"
	headerSize  = 32
	summedBytes = 24 // of the header, by its own checksum
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
	binary.LittleEndian.PutUint64(frame[16:], xxhash.Sum64(payload))
	binary.LittleEndian.PutUint64(frame[summedBytes:], xxhash.Sum64(frame[:summedBytes]))
	return append(frame, payload...), nil
}

// headerSound reports whether b begins with a whole frame header.
func headerSound(b []byte) bool {
	return len(b) >= headerSize && binary.LittleEndian.Uint32(b) == frameMagic &&
		binary.LittleEndian.Uint32(b[4:]) <= maxPayload &&
		binary.LittleEndian.Uint64(b[summedBytes:]) == xxhash.Sum64(b[:summedBytes])
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
	if !headerSound(rest) || binary.LittleEndian.Uint64(rest[8:]) != number {
		if zeroSector(data, offset, offset+headerSize) {
			return nil, errTorn
		}
		return nil, errors.New("bad frame header")
	}
	length := int(binary.LittleEndian.Uint32(rest[4:]))
	if len(rest) < headerSize+length {
		return nil, errTorn
	}
	payload = rest[headerSize : headerSize+length]
	if binary.LittleEndian.Uint64(rest[16:]) != xxhash.Sum64(payload) {
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

// frameFollows reports whether a frame begins anywhere after offset. Then what
// is at offset was synced, and is damaged rather than incomplete.
func frameFollows(data []byte, offset int) bool {
	for i := offset + 1; i+headerSize <= len(data); i++ {
		if headerSound(data[i:]) {
			return true
		}
	}
	return false
}

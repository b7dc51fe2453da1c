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

// A journal file is a sequence of frames. A frame is written and synced before
// the next one starts, so a crash can damage only the last frame.
//
//	magic            4 bytes
//	payload length   4 bytes
//	frame number     8 bytes, counted from 0 in each file
//	payload checksum 8 bytes, xxhash of the payload
//	header checksum  8 bytes, xxhash of the preceding 24 bytes
//	payload          one CBOR record
//
// The header has a checksum of its own because a corrupt length in the last
// frame would otherwise be mistaken for a write cut short by a crash.
const (
	frameMagic = 0x315a544a // "JTZ1"
	headerSize = 32
	// headerChecksumOffset is also the number of header bytes that the header
	// checksum covers.
	headerChecksumOffset = 24
	maxPayload           = 1 << 30 // bytes; a larger length in a header is corrupt
	sectorSize           = 512     // bytes; the smallest unit that a disk writes at once
	// formatVersion is stored in the first record of each file.
	formatVersion = 1
)

// record is the payload of a frame. The first record of a file holds the
// identity and a complete state; later records hold changes only.
type record struct {
	Identity  *identity             `cbor:"1,keyasint,omitempty"`
	HardState *replicator.HardState `cbor:"2,keyasint,omitempty"`
	Snapshot  *replicator.Snapshot  `cbor:"3,keyasint,omitempty"`
	Entries   []replicator.Entry    `cbor:"4,keyasint,omitempty"`
}

type identity struct {
	Format uint              `cbor:"1,keyasint"`
	VM     zinniatide.VMID   `cbor:"2,keyasint"`
	DiskID zinniatide.DiskID `cbor:"3,keyasint"`
}

// recordDecMode raises the element limits of the CBOR decoder, because a record
// may hold a large log.
var recordDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 27, MaxMapPairs: 1 << 27}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant and valid
	}
	return mode
}()

// encodeFrame encodes r as the frame with the given number.
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
	binary.LittleEndian.PutUint64(frame[headerChecksumOffset:], xxhash.Sum64(frame[:headerChecksumOffset]))
	return append(frame, payload...), nil
}

// hasValidHeader reports whether b starts with a complete, uncorrupted frame
// header.
func hasValidHeader(b []byte) bool {
	return len(b) >= headerSize && binary.LittleEndian.Uint32(b) == frameMagic &&
		binary.LittleEndian.Uint32(b[4:]) <= maxPayload &&
		binary.LittleEndian.Uint64(b[headerChecksumOffset:]) == xxhash.Sum64(b[:headerChecksumOffset])
}

// errTornWrite reports a frame that a crash may have left incomplete.
var errTornWrite = errors.New("incomplete frame")

// decodeFrame returns the payload of the frame at offset. It returns
// errTornWrite only if the bytes look like a write cut short by a crash: the
// file ends within the frame, or a disk sector of the frame is all zero.
func decodeFrame(data []byte, offset int, number uint64) (payload []byte, err error) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return nil, errTornWrite
	}
	if !hasValidHeader(rest) || binary.LittleEndian.Uint64(rest[8:]) != number {
		if hasZeroSector(data, offset, offset+headerSize) {
			return nil, errTornWrite
		}
		return nil, errors.New("bad frame header")
	}
	length := int(binary.LittleEndian.Uint32(rest[4:]))
	if len(rest) < headerSize+length {
		return nil, errTornWrite
	}
	payload = rest[headerSize : headerSize+length]
	if binary.LittleEndian.Uint64(rest[16:]) != xxhash.Sum64(payload) {
		if hasZeroSector(data, offset, offset+headerSize+length) {
			return nil, errTornWrite
		}
		return nil, errors.New("checksum mismatch")
	}
	return payload, nil
}

// hasZeroSector reports whether data[from:to] contains only zeros in at least one
// of the disk sectors that it covers. Such sectors appear when a crash preserves
// the new size of a file but not all of its blocks.
func hasZeroSector(data []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sectorSize+1)*sectorSize)
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

// hasLaterFrame reports whether any frame starts after offset. If one does, the
// frame at offset had been synced, so it is corrupt rather than incomplete.
func hasLaterFrame(data []byte, offset int) bool {
	for i := offset + 1; i+headerSize <= len(data); i++ {
		if hasValidHeader(data[i:]) {
			return true
		}
	}
	return false
}

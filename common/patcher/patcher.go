// Package patcher describes a document by its difference from an earlier one.
package patcher

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MaxSize is the maximum size in bytes of a document that Apply returns. It bounds
// the memory that a damaged patch can take.
const MaxSize = 8 << 20

// chunkEnd ends a chunk. Documents are compared chunk by chunk, and in JSON this
// byte ends each object of a list.
const chunkEnd = '}'

// Patch turns one document into another.
type Patch struct {
	Segments []segment `cbor:"1,keyasint,omitempty"`
}

// segment is a part of the new document: a range of the old one, or bytes that are
// given in full.
type segment struct {
	Offset uint32 `cbor:"1,keyasint,omitempty"`
	Length uint32 `cbor:"2,keyasint,omitempty"`
	Data   []byte `cbor:"3,keyasint,omitempty"`
}

// New returns the patch that turns base into next.
func New(base, next []byte) Patch {
	offsets := make(map[uint64]int, bytes.Count(base, []byte{chunkEnd})+1)
	for offset := 0; offset < len(base); {
		chunk := firstChunk(base[offset:])
		hash := xxhash.Sum64(chunk)
		if _, known := offsets[hash]; !known {
			offsets[hash] = offset
		}
		offset += len(chunk)
	}
	var p Patch
	end := 0 // of the last copied range
	for len(next) > 0 {
		chunk := firstChunk(next)
		next = next[len(chunk):]
		offset, found := end, bytes.HasPrefix(base[end:], chunk)
		if !found {
			offset, found = offsets[xxhash.Sum64(chunk)]
			found = found && bytes.HasPrefix(base[offset:], chunk)
		}
		if !found {
			old := firstChunk(base[end:])
			p.addChanged(chunk, old, end)
			end += len(old)
			continue
		}
		p.addRange(offset, len(chunk))
		end = offset + len(chunk)
	}
	return p
}

// firstChunk returns the first chunk of a document that is not empty.
func firstChunk(document []byte) []byte {
	if i := bytes.IndexByte(document, chunkEnd); i >= 0 {
		return document[:i+1]
	}
	return document
}

// minCopied is the smallest part of a changed chunk that is copied, in bytes. A segment
// takes about 10 bytes, so shorter ones would save little.
const minCopied = 64

// addChanged adds a chunk that base lacks. It copies what the chunk has in common, at its
// start and at its end, with the old chunk at offset: an object may hold a long list of
// which one element changes.
func (p *Patch) addChanged(chunk, old []byte, offset int) {
	prefix := 0
	for prefix < min(len(chunk), len(old)) && chunk[prefix] == old[prefix] {
		prefix++
	}
	if prefix < minCopied {
		prefix = 0
	}
	suffix := 0
	for suffix < min(len(chunk), len(old))-prefix && chunk[len(chunk)-1-suffix] == old[len(old)-1-suffix] {
		suffix++
	}
	if suffix < minCopied {
		suffix = 0
	}
	if prefix > 0 {
		p.addRange(offset, prefix)
	}
	if middle := chunk[prefix : len(chunk)-suffix]; len(middle) > 0 {
		p.addData(middle)
	}
	if suffix > 0 {
		p.addRange(offset+len(old)-suffix, suffix)
	}
}

func (p *Patch) addRange(offset, length int) {
	if n := len(p.Segments); n > 0 {
		last := &p.Segments[n-1]
		if last.Data == nil && int(last.Offset+last.Length) == offset {
			last.Length += uint32(length) //nolint:gosec // documents are smaller than 4 GB
			return
		}
	}
	p.Segments = append(p.Segments, segment{Offset: uint32(offset), Length: uint32(length)}) //nolint:gosec // documents are smaller than 4 GB
}

func (p *Patch) addData(data []byte) {
	if n := len(p.Segments); n > 0 && p.Segments[n-1].Data != nil {
		p.Segments[n-1].Data = append(p.Segments[n-1].Data, data...)
		return
	}
	p.Segments = append(p.Segments, segment{Data: bytes.Clone(data)})
}

// Apply returns the document that results from base. It fails if the patch was made
// for another document or the result exceeds MaxSize.
func (p *Patch) Apply(base []byte) ([]byte, error) {
	size := 0
	for _, s := range p.Segments {
		if uint64(s.Offset)+uint64(s.Length) > uint64(len(base)) {
			return nil, fmt.Errorf("patch refers to bytes %d to %d of a document of %d", s.Offset, uint64(s.Offset)+uint64(s.Length), len(base))
		}
		if size += int(s.Length) + len(s.Data); size > MaxSize {
			return nil, fmt.Errorf("patched document exceeds the limit of %d bytes", MaxSize)
		}
	}
	next := make([]byte, 0, size)
	for _, s := range p.Segments {
		next = append(next, base[s.Offset:s.Offset+s.Length]...)
		next = append(next, s.Data...)
	}
	return next, nil
}

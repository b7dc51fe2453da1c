// Package ranker merges the records of several shards and keeps the greatest.
package ranker

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// RecordSize is the size of one record in bytes. A shorter remainder of a part
// is ignored.
const RecordSize = 16

// record holds a record as a big-endian number, which compares like its bytes.
type record struct{ high, low uint64 }

func (r record) less(o record) bool { return r.high < o.high || r.high == o.high && r.low < o.low }

// Ranker keeps the greatest records. Equal records are all kept.
type Ranker struct {
	limit int
	heap  []record // min-heap
}

// maxReserved is the number of records for which New reserves memory at most. More
// of them take memory once they have arrived.
const maxReserved = 64

// New returns a Ranker that keeps at most limit records, which may be far more than
// there are. A limit below 0 counts as 0.
func New(limit int) *Ranker {
	limit = max(limit, 0)
	return &Ranker{limit: limit, heap: make([]record, 0, min(limit, maxReserved))}
}

// Add merges the records of one part.
func (r *Ranker) Add(part []byte) {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		v := record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[8:])}
		switch {
		case len(r.heap) < r.limit:
			r.heap = append(r.heap, v)
			r.siftUp(len(r.heap) - 1)
		case r.limit > 0 && r.heap[0].less(v):
			r.heap[0] = v
			r.siftDown(0)
		}
	}
}

// Threshold returns the record that other records must exceed to be kept, or
// nil while any record is kept.
func (r *Ranker) Threshold() []byte {
	if r.limit == 0 || len(r.heap) < r.limit {
		return nil
	}
	out := binary.BigEndian.AppendUint64(make([]byte, 0, RecordSize), r.heap[0].high)
	return binary.BigEndian.AppendUint64(out, r.heap[0].low)
}

// AppendAbove appends to out the records of part that are greater than floor,
// or all records if floor is nil.
func AppendAbove(out, part, floor []byte) []byte {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		if floor == nil || bytes.Compare(part[:RecordSize], floor) > 0 {
			out = append(out, part[:RecordSize]...)
		}
	}
	return out
}

func (r *Ranker) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !r.heap[i].less(r.heap[parent]) {
			return
		}
		r.heap[i], r.heap[parent] = r.heap[parent], r.heap[i]
		i = parent
	}
}

func (r *Ranker) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(r.heap) {
			return
		}
		if child+1 < len(r.heap) && r.heap[child+1].less(r.heap[child]) {
			child++
		}
		if !r.heap[child].less(r.heap[i]) {
			return
		}
		r.heap[i], r.heap[child] = r.heap[child], r.heap[i]
		i = child
	}
}

// AppendSorted appends the kept records to out in descending order. The Ranker
// must not be used afterwards.
func (r *Ranker) AppendSorted(out []byte) []byte {
	slices.SortFunc(r.heap, func(a, b record) int {
		switch {
		case b.less(a):
			return -1
		case a.less(b):
			return 1
		}
		return 0
	})
	for _, v := range r.heap {
		out = binary.BigEndian.AppendUint64(out, v.high)
		out = binary.BigEndian.AppendUint64(out, v.low)
	}
	return out
}

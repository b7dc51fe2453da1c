package ranker

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The result must hold the greatest records of all parts. Random parts with
// equal records and incomplete remainders are compared with a plain sort.
func TestTopRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // fixed seed
	for round := range 500 {
		limit := 1 + random.IntN(25)
		var all [][]byte
		r := New(limit)
		for range random.IntN(8) {
			part := make([]byte, random.IntN(20*RecordSize))
			for i := range part {
				part[i] = byte(random.IntN(3)) * 0x7f // equal records are frequent
			}
			r.Add(part)
			for p := part; len(p) >= RecordSize; p = p[RecordSize:] {
				all = append(all, p[:RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := r.AppendSorted(nil); !bytes.Equal(got, want) {
			t.Fatalf("round %d: got %x, want %x", round, got, want)
		}
	}
}

// Records below the floor may be dropped before they are sent, but none that
// belong to the result. Later parts are filtered by the floor of the earlier
// ones.
func TestThresholdKeepsTopRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6)) //nolint:gosec // fixed seed
	dropped := 0
	for round := range 500 {
		limit := random.IntN(12)
		all, kept := New(limit), New(limit)
		for i := range 6 {
			part := make([]byte, random.IntN(20*RecordSize))
			for i := range part {
				part[i] = byte(random.IntN(3)) * 0x7f // equal records are frequent
			}
			all.Add(part)
			if i >= 3 {
				above := AppendAbove(nil, part, kept.Threshold())
				dropped += len(part)/RecordSize - len(above)/RecordSize
				part = above
			}
			kept.Add(part)
		}
		if got, want := kept.AppendSorted(nil), all.AppendSorted(nil); !bytes.Equal(got, want) {
			t.Fatalf("round %d: got %x, want %x", round, got, want)
		}
	}
	if dropped == 0 {
		t.Error("got no dropped record, want some")
	}
}

// Guards against a limit from a routing table or a peer that takes memory for
// records that never arrive, or that ends the process.
func TestLimitReservesNoMemory(t *testing.T) {
	part := make([]byte, 200*RecordSize)
	for i := range 200 {
		part[i*RecordSize+1] = byte(i)
	}
	for _, row := range []struct{ limit, want int }{{math.MaxInt32, 200}, {math.MaxInt, 200}, {1, 1}, {0, 0}, {-1, 0}, {math.MinInt, 0}} {
		r := New(row.limit)
		if got := cap(r.heap); got > maxReserved {
			t.Errorf("limit %d: got room for %d records, want %d at most", row.limit, got, maxReserved)
		}
		r.Add(part)
		if got := len(r.AppendSorted(nil)) / RecordSize; got != row.want {
			t.Errorf("limit %d: got %d records, want %d", row.limit, got, row.want)
		}
	}
}

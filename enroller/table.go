package enroller

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
)

// maxRows bounds the table against writers that invent ids.
const maxRows = 200_000

// row is one process of a backend server.
type row struct {
	zinniatide.Enrollment
	// heard is when this VM last took in something about the process.
	heard zinniatide.Millis
}

// table holds the newest process of each backend server id.
type table struct {
	rows map[zinniatide.BackendServerID]*row
	// sum is the sum of the hashes of all rows. It does not depend on the order
	// in which they were merged.
	sum uint64
}

func newTable() table { return table{rows: map[zinniatide.BackendServerID]*row{}} }

// merge takes in e and reports whether it changes what may be sent to the
// server. What is older than the row, or contradicts it, changes nothing.
func (t *table) merge(e *zinniatide.Enrollment, now zinniatide.Millis) bool {
	old := t.rows[e.Server]
	if old == nil {
		if len(t.rows) >= maxRows {
			return false
		}
		t.put(&row{Enrollment: *e, heard: now})
		return true
	}
	if e.Born < old.Born || e.Born == old.Born && !follows(&old.Enrollment, e) {
		return false
	}
	changed := e.Born != old.Born || e.Gone != old.Gone || e.State != old.State ||
		e.Slots != old.Slots || (e.ColdLeft > 0) != (old.ColdLeft > 0)
	t.remove(old)
	t.put(&row{Enrollment: *e, heard: now})
	return changed
}

// follows reports whether next is a later statement of the same process. A
// process never changes its service or address, so a statement that does comes
// from another writer.
func follows(old, next *zinniatide.Enrollment) bool {
	if old.Gone || next.Service != old.Service || next.Address != old.Address {
		return false
	}
	if next.Gone {
		return true
	}
	return next.Sequence > old.Sequence
}

func (t *table) put(r *row) {
	t.rows[r.Server] = r
	t.sum += hash(&r.Enrollment)
}

func (t *table) remove(r *row) {
	delete(t.rows, r.Server)
	t.sum -= hash(&r.Enrollment)
}

// dropGone forgets processes that ended long ago.
func (t *table) dropGone(before zinniatide.Millis) {
	for _, r := range t.rows {
		if r.Gone && r.heard < before {
			t.remove(r)
		}
	}
}

// all returns the rows in the order of their ids.
func (t *table) all() []zinniatide.Enrollment {
	out := make([]zinniatide.Enrollment, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.Enrollment)
	}
	slices.SortFunc(out, func(a, b zinniatide.Enrollment) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return out
}

// hash covers what makes two tables differ in effect. Rows of ended processes
// count nothing, so that tables which have forgotten them are equal.
func hash(e *zinniatide.Enrollment) uint64 {
	if e.Gone {
		return 0
	}
	var buffer [256]byte
	b := append(buffer[:0], e.Server...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Born))
	b = append(b, e.State...)
	if e.ColdLeft > 0 {
		b = append(b, 1)
	}
	b = append(b, 0)
	b = append(b, e.Address...)
	b = append(b, 0)
	b = append(b, e.Service...)
	return xxhash.Sum64(b)
}

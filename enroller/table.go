package enroller

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
)

// maxProcesses bounds the memory of the table if clients send made-up ids.
const maxProcesses = 200_000

// coldTolerance is how much earlier than recorded a server may say to be warm without
// a change. Later ends are never tolerated, because a cold server would get too much.
const coldTolerance zinniatide.Millis = 250

// row is one process of a backend server.
type row struct {
	zinniatide.Enrollment
	// updatedAt is when this VM last applied an update of the process.
	updatedAt zinniatide.Millis
	// coldUntil is when the server is warm, or later by the time that the heartbeat
	// needed to get here. It replaces ColdRemaining.
	coldUntil zinniatide.Millis
}

// newRow returns the row of an enrollment that another VM has passed on.
func newRow(e *zinniatide.Enrollment, now zinniatide.Millis) *row {
	r := &row{Enrollment: *e, updatedAt: now, coldUntil: now + e.ColdRemaining}
	r.ColdRemaining = 0
	return r
}

// rowOfHeartbeat returns the row of a heartbeat. old is the row of the server, or nil.
// The end of the cold time stays the one that the other VMs know unless the heartbeat
// changes it.
func rowOfHeartbeat(e *zinniatide.Enrollment, old *row, now zinniatide.Millis) *row {
	r := newRow(e, now)
	if old == nil || old.StartedAt != e.StartedAt {
		old = &row{}
	}
	if old.coldTimeChanged(r.coldUntil, now) {
		r.ColdSequence = e.Sequence
	} else {
		r.coldUntil, r.ColdSequence = old.coldUntil, old.ColdSequence
	}
	return r
}

// coldTimeChanged reports whether an end of the cold time differs from the recorded one
// in what may be sent to the server.
func (r *row) coldTimeChanged(until, now zinniatide.Millis) bool {
	return until > max(r.coldUntil, now) || max(until, now) < r.coldUntil-coldTolerance
}

// enrollment returns the enrollment as it is passed on now.
func (r *row) enrollment(now zinniatide.Millis) zinniatide.Enrollment {
	e := r.Enrollment
	e.ColdRemaining = max(r.coldUntil-now, 0)
	return e
}

// state encodes all that decides what may be sent to a server. Rows are compared and
// hashed by it. Sequence only orders updates, and ColdSequence stands for the cold time.
func (r *row) state(b []byte) []byte {
	for _, name := range []string{string(r.Server), string(r.Service), r.Address, string(r.Zone), string(r.State), string(r.Version)} {
		b = append(b, name...)
		b = append(b, 0)
	}
	for _, n := range []uint64{uint64(r.StartedAt), uint64(r.Slots), r.ColdSequence} { //nolint:gosec // only compared
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if r.Ended {
		b = append(b, 1)
	}
	return b
}

// differs reports whether two rows of a server differ in what may be sent to it.
func (r *row) differs(other *row) bool {
	var a, b [256]byte
	return !bytes.Equal(r.state(a[:0]), other.state(b[:0]))
}

// hash returns the hash of a row for digests. Ended processes hash to 0, so that a
// table that has already removed them has the same checksum.
func (r *row) hash() uint64 {
	if r.Ended {
		return 0
	}
	var buffer [256]byte
	return xxhash.Sum64(r.state(buffer[:0]))
}

// table holds the newest process of each backend server id.
type table struct {
	rows map[zinniatide.BackendServerID]*row
	// checksum is the sum of the hashes of all rows. It does not depend on the order
	// in which they were merged.
	checksum uint64
}

func newTable() table { return table{rows: map[zinniatide.BackendServerID]*row{}} }

// merge applies an enrollment that another VM has passed on and reports whether it
// changes what may be sent to the server. An update that is older than the row, or
// contradicts it, is ignored.
func (t *table) merge(e *zinniatide.Enrollment, now zinniatide.Millis) bool {
	return t.apply(newRow(e, now))
}

// mergeHeartbeat is like merge for a heartbeat of the server itself.
func (t *table) mergeHeartbeat(e *zinniatide.Enrollment, now zinniatide.Millis) bool {
	return t.apply(rowOfHeartbeat(e, t.rows[e.Server], now))
}

func (t *table) apply(next *row) bool {
	old := t.rows[next.Server]
	if old == nil {
		if len(t.rows) >= maxProcesses {
			return false
		}
		t.put(next)
		return true
	}
	if next.StartedAt < old.StartedAt || next.StartedAt == old.StartedAt && !isLaterUpdate(&old.Enrollment, &next.Enrollment) {
		return false
	}
	t.remove(old)
	t.put(next)
	return next.differs(old)
}

// isLaterUpdate reports whether next is a later update of the same process. The
// end of a process is final, and may come from a VM that knows only its id and
// start time. A process never changes its service, address or zone, so an update with
// other values comes from a different process. If two
// control VMs got the same heartbeat, the one that it changed more decides.
func isLaterUpdate(old, next *zinniatide.Enrollment) bool {
	if old.Ended || next.Ended {
		return next.Ended && !old.Ended
	}
	return next.Service == old.Service && next.Address == old.Address && next.Zone == old.Zone &&
		cmp.Or(cmp.Compare(next.Sequence, old.Sequence), cmp.Compare(next.ColdSequence, old.ColdSequence)) > 0
}

// newerThan returns the processes whose state is newer than in list. It includes
// the processes that list lacks if withMissing is set.
func (t *table) newerThan(list []zinniatide.Enrollment, withMissing bool, now zinniatide.Millis) []zinniatide.Enrollment {
	listed := make(map[zinniatide.BackendServerID]*row, len(list))
	for i := range list {
		listed[list[i].Server] = newRow(&list[i], now)
	}
	var out []zinniatide.Enrollment
	for id, r := range t.rows {
		other := listed[id]
		switch {
		case other == nil && withMissing,
			other != nil && other.StartedAt < r.StartedAt,
			other != nil && other.StartedAt == r.StartedAt && isLaterUpdate(&other.Enrollment, &r.Enrollment) && r.differs(other):
			out = append(out, r.enrollment(now))
		}
	}
	return out
}

func (t *table) put(r *row) {
	t.rows[r.Server] = r
	t.checksum += r.hash()
}

func (t *table) remove(r *row) {
	delete(t.rows, r.Server)
	t.checksum -= r.hash()
}

// dropEnded removes ended processes whose last update is before the given time.
func (t *table) dropEnded(before zinniatide.Millis) {
	for _, r := range t.rows {
		if r.Ended && r.updatedAt < before {
			t.remove(r)
		}
	}
}

// all returns the enrollments of all rows, sorted by server id, as they are passed on
// now.
func (t *table) all(now zinniatide.Millis) []zinniatide.Enrollment {
	out := make([]zinniatide.Enrollment, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.enrollment(now))
	}
	slices.SortFunc(out, func(a, b zinniatide.Enrollment) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}

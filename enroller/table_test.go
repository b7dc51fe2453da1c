package enroller

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

func heartbeat(startedAt zinniatide.Millis, sequence uint64, change func(*zinniatide.Enrollment)) zinniatide.Enrollment {
	e := zinniatide.Enrollment{Server: "i1", StartedAt: startedAt, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 2,
		State: zinniatide.StateIn}
	if change != nil {
		change(&e)
	}
	return e
}

func leaving(e *zinniatide.Enrollment) { e.State = zinniatide.StateLeaving }

// Guards against delayed, outdated and foreign heartbeats that return a leaving
// server to service, or move a server to another service. Each case gives the
// state required at the end.
func TestMergeIgnoresOutdatedUpdates(t *testing.T) {
	cases := []struct {
		name       string
		heartbeats []zinniatide.Enrollment
		state      zinniatide.ServingState
		ended      bool
		startedAt  zinniatide.Millis
	}{
		{"late heartbeat after leaving", []zinniatide.Enrollment{heartbeat(1, 5, leaving), heartbeat(1, 4, nil)}, zinniatide.StateLeaving, false, 1},
		{"old process after a new one", []zinniatide.Enrollment{heartbeat(9, 1, nil), heartbeat(1, 80, leaving)}, zinniatide.StateIn, false, 9},
		{"new process under the same id", []zinniatide.Enrollment{heartbeat(1, 80, leaving), heartbeat(9, 1, nil)}, zinniatide.StateIn, false, 9},
		{"heartbeat after the process ended", []zinniatide.Enrollment{heartbeat(1, 5, func(e *zinniatide.Enrollment) { e.Ended = true }), heartbeat(1, 6, nil)},
			zinniatide.StateIn, true, 1},
		{"another service", []zinniatide.Enrollment{heartbeat(1, 5, nil), heartbeat(1, 6, func(e *zinniatide.Enrollment) {
			e.Service = "other"
			leaving(e)
		})}, zinniatide.StateIn, false, 1},
		{"another address", []zinniatide.Enrollment{heartbeat(1, 5, nil), heartbeat(1, 6, func(e *zinniatide.Enrollment) {
			e.Address = "10.0.0.9:80"
			leaving(e)
		})}, zinniatide.StateIn, false, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := newTable()
			for i := range test.heartbeats {
				table.merge(&test.heartbeats[i], 0)
			}
			got := table.rows["i1"]
			if got.State != test.state || got.Ended != test.ended || got.StartedAt != test.startedAt {
				t.Errorf("got state %s, ended %v, started at %d, want %s, %v, %d", got.State, got.Ended, got.StartedAt, test.state, test.ended, test.startedAt)
			}
		})
	}
}

// Guards against tables that differ permanently after the same heartbeats arrived
// in a different order: their digests must be equal.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6)) //nolint:gosec // fixed seed
	for range 300 {
		var heartbeats []zinniatide.Enrollment
		for range 12 {
			heartbeats = append(heartbeats, heartbeat(zinniatide.Millis(1+random.IntN(2)), uint64(1+random.IntN(6)), func(e *zinniatide.Enrollment) {
				// The state depends on process and sequence only, as for a real server.
				if e.Sequence > 4 {
					leaving(e)
				}
			}))
		}
		first, second := newTable(), newTable()
		for i := range heartbeats {
			first.merge(&heartbeats[i], 0)
		}
		random.Shuffle(len(heartbeats), func(i, j int) { heartbeats[i], heartbeats[j] = heartbeats[j], heartbeats[i] })
		for i := range heartbeats {
			second.merge(&heartbeats[i], 0)
		}
		if first.checksum != second.checksum {
			t.Fatalf("got digests %x and %x for the same heartbeats, want equal ones", first.checksum, second.checksum)
		}
	}
}

// Guards against a leave that is acknowledged before a majority has recorded it,
// and against one that is never answered.
func TestQuorumResult(t *testing.T) {
	for _, test := range []struct {
		name         string
		answers      []error
		acknowledged bool
		decidedAfter int // answers after which done is called
	}{
		{"both", []error{nil, nil}, true, 1},
		{"one lost", []error{zinniatide.ErrTimeout, nil}, true, 2},
		{"both lost", []error{zinniatide.ErrTimeout, zinniatide.ErrLinkLost}, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls, last := 0, error(nil)
			q := newQuorum(func(err error) { calls, last = calls+1, err }, []zinniatide.VMID{"self", "peer-0", "peer-1"})
			q.update("self", nil)
			for i, err := range test.answers {
				if calls > 0 != (i >= test.decidedAfter) {
					t.Errorf("after %d answers: got %d results, want one after %d", i, calls, test.decidedAfter)
				}
				q.update(zinniatide.VMID(fmt.Sprint("peer-", i)), err)
			}
			if calls != 1 || (last == nil) != test.acknowledged {
				t.Errorf("got %d results, the last %v, want one that acknowledges: %v", calls, last, test.acknowledged)
			}
		})
	}
}

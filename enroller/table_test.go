package enroller

import (
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

func beat(born zinniatide.Millis, sequence uint64, change func(*zinniatide.Enrollment)) zinniatide.Enrollment {
	e := zinniatide.Enrollment{Server: "i1", Born: born, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 2,
		State: zinniatide.StateIn}
	if change != nil {
		change(&e)
	}
	return e
}

func leaving(e *zinniatide.Enrollment) { e.State = zinniatide.StateLeaving }

// Guards against late, old and foreign heartbeats that bring a leaving server
// back, or move a server to another service: each row ends with the state that
// must hold.
func TestMergeOrder(t *testing.T) {
	rows := []struct {
		name  string
		beats []zinniatide.Enrollment
		state zinniatide.ServingState
		gone  bool
		born  zinniatide.Millis
	}{
		{"late heartbeat after draining", []zinniatide.Enrollment{beat(1, 5, leaving), beat(1, 4, nil)}, zinniatide.StateLeaving, false, 1},
		{"old process after a new one", []zinniatide.Enrollment{beat(9, 1, nil), beat(1, 80, leaving)}, zinniatide.StateIn, false, 9},
		{"new process under the same id", []zinniatide.Enrollment{beat(1, 80, leaving), beat(9, 1, nil)}, zinniatide.StateIn, false, 9},
		{"heartbeat after the end", []zinniatide.Enrollment{beat(1, 5, func(e *zinniatide.Enrollment) { e.Gone = true }), beat(1, 6, nil)},
			zinniatide.StateIn, true, 1},
		{"another service", []zinniatide.Enrollment{beat(1, 5, nil), beat(1, 6, func(e *zinniatide.Enrollment) {
			e.Service = "other"
			leaving(e)
		})}, zinniatide.StateIn, false, 1},
		{"another address", []zinniatide.Enrollment{beat(1, 5, nil), beat(1, 6, func(e *zinniatide.Enrollment) {
			e.Address = "10.0.0.9:80"
			leaving(e)
		})}, zinniatide.StateIn, false, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			table := newTable()
			for i := range row.beats {
				table.merge(&row.beats[i], 0)
			}
			got := table.rows["i1"]
			if got.State != row.state || got.Gone != row.gone || got.Born != row.born {
				t.Errorf("got state %s, gone %v, born %d, want %s, %v, %d", got.State, got.Gone, got.Born, row.state, row.gone, row.born)
			}
		})
	}
}

// Guards against tables that differ for ever after the same heartbeats came in
// another order: their digests must be equal.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6)) //nolint:gosec // fixed seed
	for range 300 {
		var beats []zinniatide.Enrollment
		for range 12 {
			beats = append(beats, beat(zinniatide.Millis(1+random.IntN(2)), uint64(1+random.IntN(6)), func(e *zinniatide.Enrollment) {
				// The state is a function of process and sequence, as from one writer.
				if e.Sequence > 4 {
					leaving(e)
				}
			}))
		}
		one, two := newTable(), newTable()
		for i := range beats {
			one.merge(&beats[i], 0)
		}
		random.Shuffle(len(beats), func(i, j int) { beats[i], beats[j] = beats[j], beats[i] })
		for i := range beats {
			two.merge(&beats[i], 0)
		}
		if one.sum != two.sum {
			t.Fatalf("got digests %x and %x for the same heartbeats, want equal ones", one.sum, two.sum)
		}
	}
}

// Guards against a leave that is acknowledged before a majority has it, and
// against one that is never answered.
func TestQuorum(t *testing.T) {
	for _, row := range []struct {
		name          string
		answers       []error
		acknowledged  bool
		acknowledgeAt int // answers needed
	}{
		{"both", []error{nil, nil}, true, 1},
		{"one lost", []error{zinniatide.ErrTimeout, nil}, true, 2},
		{"both lost", []error{zinniatide.ErrTimeout, zinniatide.ErrLinkLost}, false, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			calls, last := 0, error(nil)
			q := newQuorum(2, func(err error) { calls, last = calls+1, err })
			q.granted()
			for range row.answers {
				q.asked()
			}
			q.closed()
			for i, err := range row.answers {
				if calls > 0 != (i >= row.acknowledgeAt) {
					t.Errorf("after %d answers: got %d results, want one after %d", i, calls, row.acknowledgeAt)
				}
				q.answered(err)
			}
			if calls != 1 || (last == nil) != row.acknowledged {
				t.Errorf("got %d results, the last %v, want one that acknowledges: %v", calls, last, row.acknowledged)
			}
		})
	}
}

package estimator

import (
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against replies of delegates that miss the cutoff on slow machines, and against
// time given away on fast ones. The times are those of a VM with a fifth of a core that
// is busy with other queries; 85% of them are below the fixed plus 1.9 times the variable
// part.
func TestMostMessagesArriveInTime(t *testing.T) {
	const least, most = 2, 12
	for _, row := range []struct {
		name            string
		fixed, variable float64 // milliseconds
		wantLeast       zinniatide.Millis
		wantMost        zinniatide.Millis
	}{
		{"fast", 0.5, 1, 2, 3},
		{"slow", 4, 3, 9, 11},
		{"far too slow", 20, 5, most, most},
	} {
		random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // fixed seed
		e := New(least, most)
		inTime, samples := 0, 2000
		for i := range 2 * samples {
			needs := row.fixed + row.variable*random.ExpFloat64()
			late := needs > float64(e.Estimate())
			e.Record(late)
			if i >= samples && !late {
				inTime++
			}
		}
		if got := e.Estimate(); got < row.wantLeast || got > row.wantMost {
			t.Errorf("%s: got an estimate of %d ms, want %d to %d", row.name, got, row.wantLeast, row.wantMost)
		}
		if got, want := float64(inTime)/float64(samples), 0.8; row.wantMost < most && got < want {
			t.Errorf("%s: got %.2f of the messages in time, want %.2f", row.name, got, want)
		}
	}
}

// Guards against an estimate that stays high after a disturbance.
func TestEstimateRecovers(t *testing.T) {
	e := New(2, 12)
	for range 100 {
		e.Record(true)
	}
	if got, want := e.Estimate(), zinniatide.Millis(12); got != want {
		t.Fatalf("got %d ms after late messages, want %d", got, want)
	}
	for range 100 {
		e.Record(false)
	}
	if got, want := e.Estimate(), zinniatide.Millis(2); got != want {
		t.Errorf("got %d ms after 100 messages in time, want %d", got, want)
	}
}

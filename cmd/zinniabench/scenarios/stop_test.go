package scenarios

import (
	"io"
	"testing"
)

// Guards against a planned stop that cuts off requests, or that runs a
// non-idempotent request twice while buckets and leadership are handed over.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	result, err := runPlannedStop(&Env{Out: io.Discard, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if got := result.searches.Failed(); got != 0 {
		t.Errorf("%d of %d searches failed, want 0: %v", got, result.searches.Total(), result.searches.FirstError())
	}
	if got := result.executes.Failed(); got != 0 {
		t.Errorf("%d of %d non-idempotent requests failed, want 0: %v", got, result.executes.Total(), result.executes.FirstError())
	}
	if result.notOnce != 0 {
		t.Errorf("%d answered requests did not run once, want 0", result.notOnce)
	}
}

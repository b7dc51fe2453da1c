package scenarios

import (
	"io"
	"testing"
)

// TestPlannedStopFailsNoRequest guards against requests that fail during a planned
// stop, and against non-idempotent requests that run twice while buckets and
// leadership are handed over.
func TestPlannedStopFailsNoRequest(t *testing.T) {
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
		t.Errorf("%d answered requests did not run exactly once, want 0", result.notOnce)
	}
}

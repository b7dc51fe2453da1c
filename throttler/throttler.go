// Package throttler bounds the requests of one kind that run at once. While too
// many of them end late, it admits fewer, so that those which are admitted are
// answered in time and the others learn at once that they are not.
package throttler

import "zinniatide.example/zinniatide"

const (
	// startLimit is far above what runs at once on a calm VM.
	startLimit = 64.0
	// leastLimit keeps requests coming that tell when the load has passed.
	leastLimit = 2.0
	// mostLimit bounds the growth.
	mostLimit = 1000.0
	// lateGain is the weight of one request in the share of late ones.
	lateGain = 0.1
	// tooLate is the share of late requests from which on fewer are admitted,
	// fine the one below which more are. Single slow servers stay below both.
	tooLate = 0.15
	fine    = 0.05
	// cut is the factor by which fewer are admitted.
	cut = 0.8
	// inUse is the share of the limit that must be in use for it to grow.
	inUse = 0.7
)

// Throttler bounds the requests of one kind. It is guarded by the lock of its
// user.
type Throttler struct {
	limit   float64
	running int
	late    float64 // share of late requests, moving
	cutAt   zinniatide.Millis
}

// New returns a Throttler that admits freely.
func New() *Throttler { return &Throttler{limit: startLimit} }

// Admit reports whether one more request may run and counts it.
func (t *Throttler) Admit() bool {
	if float64(t.running) >= t.limit {
		return false
	}
	t.running++
	return true
}

// Forget ends a request that tells nothing of the load.
func (t *Throttler) Forget() { t.running-- }

// Done ends a request. Target is the time within which it should have ended;
// the limit falls at most once in it, as the effect shows only then.
func (t *Throttler) Done(late bool, target, now zinniatide.Millis) {
	used := float64(t.running) >= inUse*t.limit
	t.running--
	share := 0.0
	if late {
		share = 1
	}
	t.late += lateGain * (share - t.late)
	switch {
	case t.late > tooLate && now-t.cutAt >= target:
		t.limit = max(cut*min(t.limit, float64(t.running+1)), leastLimit)
		t.cutAt = now
	case !late && t.late < fine && used:
		t.limit = min(t.limit+1, mostLimit)
	case !late && used:
		t.limit = min(t.limit+1/t.limit, mostLimit)
	}
}

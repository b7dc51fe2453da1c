// Package throttler implements an adaptive concurrency limit. While too many
// requests end late, it admits fewer, so that admitted requests are answered in
// time and the others are refused immediately.
package throttler

import "zinniatide.example/zinniatide"

const (
	// initialLimit is far above the concurrency of a VM under normal load.
	initialLimit = 64.0
	// minLimit keeps some requests running, whose results show when the overload
	// has ended.
	minLimit = 2.0
	// maxLimit bounds the growth of the limit.
	maxLimit = 1000.0
	// lateWeight is the weight of one request in the share of late requests.
	lateWeight = 0.1
	// The limit decreases while the share of late requests is above
	// decreaseLateShare, and increases by one per request while it is below
	// increaseLateShare. In between it increases by about one per limit requests.
	// Single slow servers stay below both.
	decreaseLateShare = 0.15
	increaseLateShare = 0.05
	// decreaseFactor is the factor by which the limit decreases.
	decreaseFactor = 0.8
	// minUtilization is the share of the limit that must be in use for the limit
	// to increase.
	minUtilization = 0.7
)

// Limiter limits the concurrent requests of one kind. It is guarded by the
// caller's lock.
type Limiter struct {
	limit       float64
	running     int
	lateShare   float64 // moving average, 0 to 1
	decreasedAt zinniatide.Millis
}

// New returns a Throttler with the initial limit.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// TryAcquire reports whether another request may run, and counts it if so.
func (t *Limiter) TryAcquire() bool {
	if float64(t.running) >= t.limit {
		return false
	}
	t.running++
	return true
}

// ReleaseWithoutSample ends a request whose result says nothing about the load.
func (t *Limiter) ReleaseWithoutSample() { t.running-- }

// Release ends a request. Target is the time within which the request should have
// ended. The limit decreases at most once per target, because the effect of a
// decrease shows only after that time.
func (t *Limiter) Release(late bool, target, now zinniatide.Millis) {
	utilized := float64(t.running) >= minUtilization*t.limit
	t.running--
	sample := 0.0
	if late {
		sample = 1
	}
	t.lateShare += lateWeight * (sample - t.lateShare)
	switch {
	case t.lateShare > decreaseLateShare && now-t.decreasedAt >= target:
		t.limit = max(decreaseFactor*min(t.limit, float64(t.running+1)), minLimit)
		t.decreasedAt = now
	case !late && t.lateShare < increaseLateShare && utilized:
		t.limit = min(t.limit+1, maxLimit)
	case !late && utilized:
		t.limit = min(t.limit+1/t.limit, maxLimit)
	}
}

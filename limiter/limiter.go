// Package limiter implements an adaptive concurrency limit. While too many
// requests end late, it admits fewer, so that admitted requests are answered in
// time and the others are refused immediately.
package limiter

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
	// increaseLateShare. In between, it increases by 1/limit per request, which is
	// about one per limit requests. A single slow server causes fewer late requests
	// than either share.
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

// New returns a Limiter with the initial limit.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// TryAcquire reports whether another request may run, and counts it if so.
func (l *Limiter) TryAcquire() bool {
	if float64(l.running) >= l.limit {
		return false
	}
	l.running++
	return true
}

// ReleaseWithoutSample ends a request whose result says nothing about the load.
func (l *Limiter) ReleaseWithoutSample() { l.running-- }

// Release ends a request. Target is the time within which the request should
// have ended. The limit decreases at most once per target, because the effect
// of a decrease shows only after that time.
func (l *Limiter) Release(late bool, target, now zinniatide.Millis) {
	utilized := float64(l.running) >= minUtilization*l.limit
	l.running--
	sample := 0.0
	if late {
		sample = 1
	}
	l.lateShare += lateWeight * (sample - l.lateShare)
	switch {
	case l.lateShare > decreaseLateShare && now-l.decreasedAt >= target:
		l.limit = max(decreaseFactor*min(l.limit, float64(l.running+1)), minLimit)
		l.decreasedAt = now
	case !late && l.lateShare < increaseLateShare && utilized:
		l.limit = min(l.limit+1, maxLimit)
	case !late && utilized:
		l.limit = min(l.limit+1/l.limit, maxLimit)
	}
}

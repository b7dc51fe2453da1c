// Package limiter implements an adaptive concurrency limit. While too many
// requests end late, it admits fewer, so that admitted requests are answered in
// time and the others are refused immediately.
package limiter

import (
	"math"

	"zinniatide.example/zinniatide"
)

const (
	// InitialLimit is far above the concurrency of a VM under normal load.
	InitialLimit = 64.0
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
	// firstLateShare replaces decreaseLateShare while there is no limit. Half of the
	// requests are late only under overload, while one server of several that pauses
	// makes fewer late.
	firstLateShare = 0.5
	// maxSlowShare is the share of requests that are not prompt above which the limit
	// increases slowly.
	maxSlowShare = 0.2
	// decreaseFactor is the factor by which the limit decreases.
	decreaseFactor = 0.8
	// MinUtilization is the share of the limit that must be in use for the limit
	// to increase.
	MinUtilization = 0.7
	// lateMemory is the time without a late request after which the share of late
	// requests halves every lateHalfTime. A share counted in requests alone takes 28
	// of them to fall, which at 20 requests/s is longer than the second in which
	// refusals must end.
	lateMemory   zinniatide.Millis = 200
	lateHalfTime zinniatide.Millis = 50
	// relaxInterval is the time in which the limit doubles, back to its initial value,
	// if no request was late for lateMemory and none refused for refusalMemory: 2 to
	// 64 takes 500 ms.
	relaxInterval zinniatide.Millis = 100
	refusalMemory zinniatide.Millis = 300
)

// Limiter limits the concurrent requests of one kind. It is guarded by the
// caller's lock.
type Limiter struct {
	limit, initial float64
	// slowAbove is the limit above which it increases slowly: that after the last
	// decrease, or infinity.
	slowAbove   float64
	running     int
	lateShare   float64 // moving average, 0 to 1
	decreasedAt zinniatide.Millis
	slowShare   float64           // moving average of the requests that were not prompt
	lateAt      zinniatide.Millis // last late request
	refusedAt   zinniatide.Millis // last refusal
	recoveredAt zinniatide.Millis // last call of recover
}

// New returns a Limiter with the initial limit.
func New() *Limiter { return NewWithLimit(InitialLimit) }

// NewWithLimit returns a Limiter with another initial limit, which may be infinite.
func NewWithLimit(initial float64) *Limiter {
	return &Limiter{limit: initial, initial: initial, slowAbove: math.Inf(1)}
}

// Limit returns the limit.
func (l *Limiter) Limit(now zinniatide.Millis) float64 {
	l.recover(now)
	return l.limit
}

// HasFallen reports whether the limit is below its initial value.
func (l *Limiter) HasFallen(now zinniatide.Millis) bool { return l.Limit(now) < l.initial }

// RecordRefusal records that a request was refused because of the limit.
func (l *Limiter) RecordRefusal(now zinniatide.Millis) { l.refusedAt = now }

// recover forgets late requests over time, and raises the limit while there is no sign
// of overload.
func (l *Limiter) recover(now zinniatide.Millis) {
	since := now - max(l.recoveredAt, l.lateAt+lateMemory)
	if since > 0 && l.lateShare > 0 {
		l.lateShare *= math.Exp2(-float64(since) / float64(lateHalfTime))
	}
	since = min(since, now-l.refusedAt-refusalMemory)
	if since > 0 && l.limit < l.initial {
		l.limit *= math.Exp2(float64(since) / float64(relaxInterval))
		if l.limit > maxLimit {
			l.limit = l.initial
		}
		l.limit = min(l.limit, l.initial)
		if l.limit == l.initial {
			l.slowAbove = math.Inf(1)
		}
	}
	l.recoveredAt = now
}

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
	l.running--
	sample := Prompt
	if late {
		sample = Late
	}
	l.Observe(sample, float64(l.running+1), target, now)
}

// Sample tells how a request ended.
type Sample uint8

// Results of requests.
const (
	// Prompt means that the request ended so early that more can run.
	Prompt Sample = iota
	// InTime means that it ended in time, but not early.
	InTime
	Late
)

// Observe adjusts the limit to the result of a request, for callers that count the
// running requests themselves. running includes the request.
func (l *Limiter) Observe(sample Sample, running float64, target, now zinniatide.Millis) {
	utilized := running >= MinUtilization*l.Limit(now)
	decreased := l.ObserveOther(sample == Late, running, target, now)
	slow := 0.0
	if sample != Prompt {
		slow = 1
	}
	l.slowShare += lateWeight * (slow - l.slowShare)
	switch {
	case decreased:
	case sample == Prompt && l.lateShare < increaseLateShare && l.slowShare < maxSlowShare && utilized && l.limit < l.slowAbove:
		l.limit = min(l.limit+1, max(maxLimit, l.initial))
	case sample != Late && utilized:
		l.limit = min(l.limit+1/l.limit, max(maxLimit, l.initial))
	}
}

// ObserveOther counts the result of a request that this limit does not admit but affects.
// The limit may decrease, which it reports, but does not increase.
func (l *Limiter) ObserveOther(late bool, running float64, target, now zinniatide.Millis) bool {
	l.recover(now)
	sample := 0.0
	if late {
		sample, l.lateAt = 1, now
	}
	l.lateShare += lateWeight * (sample - l.lateShare)
	threshold := decreaseLateShare
	if math.IsInf(l.limit, 1) {
		threshold = firstLateShare
	}
	if l.lateShare <= threshold || now-l.decreasedAt < target {
		return false
	}
	l.limit = max(decreaseFactor*min(l.limit, running), minLimit)
	l.decreasedAt, l.slowAbove = now, l.limit
	return true
}

package observer

import (
	"math"
	"sync/atomic"

	"zinniatide.example/zinniatide"
)

const (
	// ewmaWeight is the weight of a new sample in the moving average of the
	// latency. About ten samples replace the old value.
	ewmaWeight = 0.2
	// reportLifetime is how long a load report is used. Servers announce their
	// load every second, so an older report is out of date.
	reportLifetime zinniatide.Millis = 2 * zinniatide.AnnounceInterval
	// latencyHalfLife is the half-life of a latency estimate without new samples.
	// Score uses the estimate unchanged up to this age and then half of it, halved
	// again per further half-life, so that a server avoided because it was slow is
	// tried again.
	latencyHalfLife zinniatide.Millis = 5000
	// minFailureLatencyMs is the minimum latency estimate after a failure.
	minFailureLatencyMs = 50.0
	// minPause and maxPause bound how long a server is avoided after it, or its
	// owner, could not be reached. Without a pause, the servers of a failed zone
	// would be part of every plan until they expire, and the retries of every query
	// would exceed the retry budget.
	minPause zinniatide.Millis = 100
	maxPause zinniatide.Millis = 2000
	// maxOverloadPause replaces maxPause if the owner of the server refused the
	// request as overloaded. A cold server accepts requests again after its pacing
	// window of one second, and a recovered zone should receive requests soon
	// after that.
	maxOverloadPause zinniatide.Millis = 400
	// coldPenalty is the factor on the score of a server that reports that it is
	// not warm.
	coldPenalty = 2.0
)

// Server is the record of a backend server. It is safe for concurrent use.
type Server struct {
	inFlight     atomic.Int32
	latencyEWMA  atomic.Uint64 // float64 bits, milliseconds; 0 before the first sample or failure
	sampledAt    atomic.Int64  // clock time, milliseconds
	ownerLoad    atomic.Int32  // requests running and queued, as counted by the owner at the last result
	ownerLoadAt  atomic.Int64  // clock time, milliseconds
	reportedLoad atomic.Int32  // requests running and queued, as announced by the server
	reportedAt   atomic.Int64  // clock time, milliseconds
	reportedCold atomic.Bool

	consecutiveUnreachable atomic.Int32 // consecutive results of requests that did not reach the server
	pausedUntil            atomic.Int64 // clock time, milliseconds
}

// RecordStart counts a sub-request as in flight. Call it before sending.
func (s *Server) RecordStart() { s.inFlight.Add(1) }

// end counts a sub-request as no longer in flight.
func (s *Server) end() { s.inFlight.Add(-1) }

// InFlight returns the number of sub-requests of this VM that are in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// RecordResult records the result of a sub-request that was sent at the time
// sent, in the server and in the latency distribution of its service.
func (s *Server) RecordResult(service *Service, now, sent zinniatide.Millis, r *zinniatide.SubResult) {
	s.end()
	s.updatePause(now, r)
	latency := now - sent
	switch {
	case r.Outcome == zinniatide.OutcomeDone:
		s.Sample(now, latency)
		service.Sample(now, latency)
		s.recordOwnerLoad(now, max(r.InFlight, 1)-1, r.Queued) // without the request that has just ended
	case r.Code == zinniatide.CodeCancelled:
		s.sampleLowerBound(now, latency)
		service.Sample(now, latency)
	case r.Code == zinniatide.CodeShed:
		// Otherwise, a server that sheds requests immediately would appear fast and
		// idle.
		s.RecordFailure(now)
	case r.Outcome == zinniatide.OutcomeNotRun:
		// The request did not reach the server, so the result says nothing about its
		// latency.
	default:
		s.RecordFailure(now)
		service.Sample(now, latency)
	}
}

// updatePause counts consecutive results of requests that did not reach the
// server, including those that its owner refused as overloaded. Each one doubles
// the pause. A successful result ends it.
func (s *Server) updatePause(now zinniatide.Millis, r *zinniatide.SubResult) {
	switch r.Code {
	case zinniatide.CodePeerLost, zinniatide.CodeServerGone, zinniatide.CodeOverloaded:
		if s.Paused(now) {
			return // the request was sent before the pause began
		}
		maxDuration := maxPause
		if r.Code == zinniatide.CodeOverloaded {
			maxDuration = maxOverloadPause
		}
		n := s.consecutiveUnreachable.Add(1)
		s.pausedUntil.Store(int64(now + min(minPause<<min(n-1, 10), maxDuration)))
	case "":
		s.consecutiveUnreachable.Store(0)
		s.pausedUntil.Store(0)
	}
}

// Paused reports whether the server should be avoided because it could not be
// reached recently.
func (s *Server) Paused(now zinniatide.Millis) bool { return int64(now) < s.pausedUntil.Load() }

// Sample updates the latency estimate with the latency of an answer.
func (s *Server) Sample(now, latency zinniatide.Millis) {
	s.update(now, func(old float64) float64 {
		if old == 0 {
			return float64(latency)
		}
		return old + ewmaWeight*(float64(latency)-old)
	})
}

// sampleLowerBound updates the latency estimate with the time until a request was
// cancelled. It is a lower bound of the latency, so it can only raise the
// estimate.
func (s *Server) sampleLowerBound(now, latency zinniatide.Millis) {
	if float64(latency) > s.latency() {
		s.Sample(now, latency)
	}
}

// RecordFailure doubles the latency estimate, to at least minFailureLatencyMs,
// after a lost, shed or malformed answer.
func (s *Server) RecordFailure(now zinniatide.Millis) {
	s.update(now, func(old float64) float64 {
		return min(max(2*old, minFailureLatencyMs), float64(zinniatide.MaxRequestTime))
	})
}

func (s *Server) update(now zinniatide.Millis, next func(float64) float64) {
	for {
		bits := s.latencyEWMA.Load()
		value := next(math.Float64frombits(bits))
		if s.latencyEWMA.CompareAndSwap(bits, math.Float64bits(value)) {
			s.sampledAt.Store(int64(now))
			return
		}
	}
}

func (s *Server) latency() float64 { return math.Float64frombits(s.latencyEWMA.Load()) }

// recordOwnerLoad records the load that the owner of the server counted at the
// time of a result.
func (s *Server) recordOwnerLoad(now zinniatide.Millis, inFlight, queued uint16) {
	s.ownerLoad.Store(int32(inFlight) + int32(queued))
	s.ownerLoadAt.Store(int64(now))
}

// RecordLoadReport records the load that the server itself reports. The report
// can be late or wrong, so Score uses it only to raise the score of the server.
func (s *Server) RecordLoadReport(now zinniatide.Millis, r zinniatide.LoadReport) {
	s.reportedLoad.Store(int32(r.Busy) + int32(r.Queue))
	s.reportedCold.Store(!r.Warm)
	s.reportedAt.Store(int64(now))
}

// Score estimates the cost in milliseconds of sending one more sub-request to
// the server, which has the given number of slots. Lower is better.
func (s *Server) Score(now zinniatide.Millis, slots uint16) float64 {
	load := s.inFlight.Load()
	if int64(now)-s.ownerLoadAt.Load() < int64(reportLifetime) {
		load = max(load, s.ownerLoad.Load())
	}
	fresh := int64(now)-s.reportedAt.Load() < int64(reportLifetime)
	if fresh {
		load = max(load, s.reportedLoad.Load())
	}
	latency := s.latency()
	if age := int64(now) - s.sampledAt.Load(); age > int64(latencyHalfLife) {
		latency *= math.Exp2(-float64(age) / float64(latencyHalfLife))
	}
	// One millisecond is added so that load and slots still tell servers without
	// samples apart.
	score := (latency + 1) * float64(max(load, 0)+1) / float64(max(slots, 1))
	if fresh && s.reportedCold.Load() {
		score *= coldPenalty
	}
	return score
}

package observer

import (
	"math"
	"sync/atomic"

	"zinniatide.example/zinniatide"
)

const (
	// ewmaWeight is the weight of a new latency sample. About ten samples
	// replace the old value.
	ewmaWeight = 0.2
	// reportLifetime is how long a reported load counts. Announcements come
	// every second, so an older report describes another situation.
	reportLifetime zinniatide.Millis = 2 * zinniatide.AnnounceInterval
	// forgetAfter halves a latency that has not been confirmed for so long. A
	// server that is avoided because it was slow is tried again in time.
	forgetAfter zinniatide.Millis = 5000
	// failureLatency is the least latency that a failure counts for.
	failureLatency = 50.0
	// firstPause and maxPause bound how long a server is avoided after it, or
	// its owner, could not be reached. Without a pause, a lost zone takes part in
	// every plan until its servers have expired, and the retries of every query
	// exceed the retry budget.
	firstPause zinniatide.Millis = 100
	maxPause   zinniatide.Millis = 2000
	// maxFullPause takes the place of maxPause when the owner had no room. A cold
	// server has room again after its pacing window of one second, and a zone
	// that returns should get work soon after.
	maxFullPause zinniatide.Millis = 400
	// coldPenalty multiplies the score of a server that reports that it is not
	// warm.
	coldPenalty = 2.0
)

// Server is the record of one backend server. It is safe for concurrent use.
type Server struct {
	inFlight  atomic.Int32
	ewma      atomic.Uint64 // float64 bits, milliseconds
	sampledAt atomic.Int64
	load      atomic.Int32 // seen by the owner, with the last result
	loadAt    atomic.Int64
	reported  atomic.Int32 // announced by the server itself
	reportAt  atomic.Int64
	cold      atomic.Bool

	unreachable atomic.Int32 // results in a row that did not reach the server
	pausedUntil atomic.Int64
}

// Begin counts a sub-request that is about to be sent.
func (s *Server) Begin() { s.inFlight.Add(1) }

// End counts the result of a sub-request, whatever it was.
func (s *Server) End() { s.inFlight.Add(-1) }

// InFlight returns the sub-requests that this VM has sent and that have not ended.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Result counts the result of a sub-request that was sent at sent, for the
// server and for the distribution of its service.
func (s *Server) Result(service *Service, now, sent zinniatide.Millis, r *zinniatide.SubResult) {
	s.End()
	s.reach(now, r)
	latency := now - sent
	switch {
	case r.Outcome == zinniatide.OutcomeDone:
		s.Sample(now, latency)
		service.Sample(now, latency)
		s.Load(now, max(r.InFlight, 1)-1, r.Queued) // without the request that has ended
	case r.Code == zinniatide.CodeCancelled:
		s.AtLeast(now, latency)
		service.Sample(now, latency)
	case r.Code == zinniatide.CodeShed:
		// Without this a server that sheds at once would look fast and idle.
		s.Fail(now)
	case r.Outcome == zinniatide.OutcomeNotRun:
		// The request has not reached the server, so nothing is known of it.
	default:
		s.Fail(now)
		service.Sample(now, latency)
	}
}

// reach counts results that did not reach the server in a row, also because its
// owner had no room for them. Each one doubles the pause.
func (s *Server) reach(now zinniatide.Millis, r *zinniatide.SubResult) {
	switch r.Code {
	case zinniatide.CodePeerLost, zinniatide.CodeServerGone, zinniatide.CodeOverloaded:
		if s.Paused(now) {
			return // sent before the pause began
		}
		longest := maxPause
		if r.Code == zinniatide.CodeOverloaded {
			longest = maxFullPause
		}
		n := s.unreachable.Add(1)
		s.pausedUntil.Store(int64(now + min(firstPause<<min(n-1, 10), longest)))
	case "":
		s.unreachable.Store(0)
		s.pausedUntil.Store(0)
	}
}

// Paused reports whether the server should be avoided because it could not be
// reached a moment ago.
func (s *Server) Paused(now zinniatide.Millis) bool { return int64(now) < s.pausedUntil.Load() }

// Sample adds the latency of an answer.
func (s *Server) Sample(now, latency zinniatide.Millis) {
	s.update(now, func(old float64) float64 {
		if old == 0 {
			return float64(latency)
		}
		return old + ewmaWeight*(float64(latency)-old)
	})
}

// AtLeast adds a latency that was cut short by a cancellation. It can only
// raise the estimate.
func (s *Server) AtLeast(now, latency zinniatide.Millis) {
	if float64(latency) > s.latency() {
		s.Sample(now, latency)
	}
}

// Fail adds a lost or malformed answer.
func (s *Server) Fail(now zinniatide.Millis) {
	s.update(now, func(old float64) float64 { return min(max(2*old, failureLatency), float64(zinniatide.MaxRequestTime)) })
}

func (s *Server) update(now zinniatide.Millis, next func(float64) float64) {
	for {
		bits := s.ewma.Load()
		value := next(math.Float64frombits(bits))
		if s.ewma.CompareAndSwap(bits, math.Float64bits(value)) {
			s.sampledAt.Store(int64(now))
			return
		}
	}
}

func (s *Server) latency() float64 { return math.Float64frombits(s.ewma.Load()) }

// Load records what the owner counted at the time of a result.
func (s *Server) Load(now zinniatide.Millis, inFlight, queued uint16) {
	s.load.Store(int32(inFlight) + int32(queued))
	s.loadAt.Store(int64(now))
}

// Report records the server's own view of its load. It can lag or mislead, so
// Score uses it only to lower the trust in the server.
func (s *Server) Report(now zinniatide.Millis, r zinniatide.LoadReport) {
	s.reported.Store(int32(r.Busy) + int32(r.Queue))
	s.cold.Store(!r.Warm)
	s.reportAt.Store(int64(now))
}

// Score estimates the cost of sending one more sub-request to a server with
// the given number of slots, in milliseconds. Lower is better.
func (s *Server) Score(now zinniatide.Millis, slots uint16) float64 {
	load := s.inFlight.Load()
	if int64(now)-s.loadAt.Load() < int64(reportLifetime) {
		load = max(load, s.load.Load())
	}
	fresh := int64(now)-s.reportAt.Load() < int64(reportLifetime)
	if fresh {
		load = max(load, s.reported.Load())
	}
	latency := s.latency()
	if age := int64(now) - s.sampledAt.Load(); age > int64(forgetAfter) {
		latency *= math.Exp2(-float64(age) / float64(forgetAfter))
	}
	score := (latency + 1) * float64(max(load, 0)+1) / float64(max(slots, 1))
	if fresh && s.cold.Load() {
		score *= coldPenalty
	}
	return score
}

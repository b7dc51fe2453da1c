package selector

import (
	"fmt"
	"math"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/throttler"
)

// Weights and limits of a server's score. A score is the expected wait in
// milliseconds.
const (
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency. Eight responses move the average by two thirds, so a server that
	// has become slow is avoided after a few responses.
	latencyWeight = 0.125
	// failureWeight is the weight of a result in the failure rate.
	failureWeight = 0.2
	// shedWeight is the weight of a shed request in the failure rate. It is
	// smaller than failureWeight because a full server has free capacity again
	// soon.
	shedWeight = 0.1
	// failurePenaltyMillis is added to the score of a server whose requests all
	// fail.
	failurePenaltyMillis = 200.0
	// shedPenaltyDuration is how long the score of a server is raised after it has
	// shed a request.
	shedPenaltyDuration zinniatide.Millis = 25
	// minBackoff and maxBackoff limit the backoff from an unreachable server. The
	// backoff doubles with each failure.
	minBackoff zinniatide.Millis = 250
	maxBackoff zinniatide.Millis = 2000
	// loadReportLifetime is how long a load report is used.
	loadReportLifetime zinniatide.Millis = 250
	// resultLifetime is how long results count in full. After that their weight
	// decays with resultHalfLifeMillis, so that a server that performed badly is
	// tried again.
	resultLifetime       zinniatide.Millis = 500
	resultHalfLifeMillis float64           = 700
	// coldRateShare is the share of a cold server's rate limit that is used.
	coldRateShare = 0.9
	// coldJitter is how long after its end a cold time may be reported that is the same
	// one. Reports reach this VM within the round trip between zones and a tick.
	coldJitter zinniatide.Millis = 250
	// defaultLatencyMillis is the assumed latency of a service without responses.
	defaultLatencyMillis = 10.0
)

// Server is one process of a backend server as observed by this VM. It is
// guarded by the caller's lock.
type Server struct {
	zinniatide.Enrollment
	Service *Service

	inFlight    []zinniatide.Millis // start times, oldest first
	latency     float64             // moving average, 0 before the first response
	failureRate float64             // moving average, 0 to 1
	// backoffUntil and backoff are set while the server is unreachable.
	backoffUntil, backoff zinniatide.Millis
	shedPenaltyUntil      zinniatide.Millis
	coldUntil             zinniatide.Millis
	// nextColdSend is the earliest time of the next request to a cold server with
	// a rate limit.
	nextColdSend  zinniatide.Millis
	lastResultAt  zinniatide.Millis
	reportedQueue int // queue length in the last load report
	reportedAt    zinniatide.Millis
	workTime      workTime
	pauses        pauseHistory
	// replaced is set once a different process has answered at the server's
	// address.
	replaced bool
	// leaving is set once the process has said in an answer that it is about to end.
	leaving bool
	// pausedUntil is the end of the last pause that the process has asked for.
	pausedUntil zinniatide.Millis
	// successor is the next later process that is enrolled at the same address, or
	// nil.
	successor *Server
	// pace limits the requests in flight after a start or a recovery. senders and phase
	// describe the VMs that send to the server.
	pace    throttler.Throttler
	senders int
	phase   float64
	// failures is the number of failures since the last success.
	failures int
}

// Describe returns a summary of the server without blanks, for log lines.
func (s *Server) Describe(now zinniatide.Millis) string {
	oldest := zinniatide.Millis(0)
	if len(s.inFlight) > 0 {
		oldest = now - s.inFlight[0]
	}
	return fmt.Sprintf("%s@%s/wait=%.0fms/in-flight=%d/oldest=%dms/failures=%.2f/seen=%dms-ago",
		s.Server, s.Zone, s.latency, len(s.inFlight), oldest, s.failureRate, now-s.lastResultAt)
}

// InFlight returns the number of requests that this VM has in flight at the
// server.
func (s *Server) InFlight() int { return len(s.inFlight) }

// RecordStart records the start of a request.
func (s *Server) RecordStart(now zinniatide.Millis) {
	s.inFlight = append(s.inFlight, now)
	s.pace.RecordSend(now)
	if s.coldRateLimited(now) {
		s.nextColdSend = max(s.nextColdSend, now) + zinniatide.Millis(math.Ceil(1000/(coldRateShare*s.Service.ColdRate)))
	}
}

// coldRateLimited reports whether the server is cold and has a rate limit.
func (s *Server) coldRateLimited(now zinniatide.Millis) bool {
	return s.IsCold(now) && s.Service.ColdRate > 0
}

// coldRateAllows reports whether the rate limit of a cold server allows a
// request now.
func (s *Server) coldRateAllows(now zinniatide.Millis) bool {
	return !s.coldRateLimited(now) || now >= s.nextColdSend
}

// removeInFlight removes the request that started at start.
func (s *Server) removeInFlight(start zinniatide.Millis) {
	for i, startedAt := range s.inFlight {
		if startedAt == start {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// RecordSuccess records a successful response to a request of any route.
func (s *Server) RecordSuccess(start, now zinniatide.Millis) { s.RecordAnswer("", start, now) }

// RecordAnswer records a successful response to a request of a route.
func (s *Server) RecordAnswer(route zinniatide.RouteID, start, now zinniatide.Millis) {
	s.removeInFlight(start)
	s.lastResultAt = now
	if took := float64(now - start); s.Service.Pauses != nil && took >= max(minPauseMillis, minPauseFactor*s.Service.typicalLatency()) {
		s.pauses.recordPause(s.Service.Pauses, now, took)
	}
	s.updateLatency(float64(now - start))
	s.failureRate -= failureWeight * s.failureRate
	s.MarkReachable(now)
	s.recordPacedAnswer(route, start, now)
}

func (s *Server) updateLatency(took float64) {
	if s.latency == 0 {
		s.latency = max(took, 0.5)
		return
	}
	s.latency += latencyWeight * (took - s.latency)
}

// RecordFailure records an error response or a lost request.
func (s *Server) RecordFailure(start, now zinniatide.Millis) {
	s.removeInFlight(start)
	s.lastResultAt = now
	if took := float64(now - start); took > s.latency {
		s.updateLatency(took)
	}
	s.failureRate += failureWeight * (1 - s.failureRate)
	s.recordPacedFailure(start, now)
}

// RecordCancel records a request that was cancelled without a result.
func (s *Server) RecordCancel(start, now zinniatide.Millis) {
	s.removeInFlight(start)
	s.lastResultAt = now
	if took := float64(now - start); took > s.latency {
		s.updateLatency(took)
	}
}

// RecordShed records that the server was full and shed a request.
func (s *Server) RecordShed(start, now zinniatide.Millis) {
	s.removeInFlight(start)
	s.lastResultAt = now
	s.shedPenaltyUntil = now + shedPenaltyDuration
	// A server that sheds repeatedly is no better than one that fails.
	s.failureRate += shedWeight * (1 - s.failureRate)
	s.pace.RecordTrouble(start, now)
}

// Discard removes a request that the server process has not received. It does
// not count as a result.
func (s *Server) Discard(start zinniatide.Millis) { s.removeInFlight(start) }

// BackOff starts a backoff for a server to which no connection can be opened.
// The backoff doubles each time.
func (s *Server) BackOff(now zinniatide.Millis) {
	if s.InBackoff(now) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now + s.backoff
}

// InBackoff reports whether the server is in backoff.
func (s *Server) InBackoff(now zinniatide.Millis) bool { return now < s.backoffUntil }

// Unreachable reports whether no connection has been opened since BackOff was
// called.
func (s *Server) Unreachable() bool { return s.backoff > 0 }

// MarkReachable ends the backoff, if there is one.
func (s *Server) MarkReachable(now zinniatide.Millis) {
	if s.Unreachable() {
		s.BeginPace(now, throttler.CauseBackoff)
	}
	s.backoff, s.backoffUntil = 0, 0
}

// MarkReplaced records that a different process answers at the server's
// address.
func (s *Server) MarkReplaced() { s.replaced = true }

// MarkLeaving records that the process has said that it is about to end. It reports
// whether that is new.
func (s *Server) MarkLeaving() bool {
	marked := !s.leaving
	s.leaving = true
	return marked
}

// IsLeaving reports whether MarkLeaving was called.
func (s *Server) IsLeaving() bool { return s.leaving }

// PauseUntil records that the process wants no requests until then. A pause is never
// shortened.
func (s *Server) PauseUntil(until zinniatide.Millis) {
	if until > s.pausedUntil {
		s.pausedUntil = until
		s.BeginPace(until, throttler.CausePause)
	}
}

// PausedUntil returns the end of the last pause, or 0 if there was none.
func (s *Server) PausedUntil() zinniatide.Millis { return s.pausedUntil }

// IsPaused reports whether the process has asked for a pause that has not ended.
func (s *Server) IsPaused(now zinniatide.Millis) bool { return now < s.pausedUntil }

// SetSuccessor sets the next later process that is enrolled at the address of this
// one, or nil if there is none.
func (s *Server) SetSuccessor(next *Server) { s.successor = next }

// Superseded reports whether a later process uses the address. An enrollment alone
// is no proof if a different process has answered there.
func (s *Server) Superseded() bool {
	next := s.successor
	return next != nil && (!next.replaced || next.Superseded())
}

// SetReportedQueue records the queue length reported by the server.
func (s *Server) SetReportedQueue(waiting int, now zinniatide.Millis) {
	s.reportedQueue, s.reportedAt = waiting, now
}

// SetColdFor sets the time for which the server remains cold, as reported by
// the server.
func (s *Server) SetColdFor(left, now zinniatide.Millis) {
	if left > 0 && (s.coldUntil == 0 || now-s.coldUntil > coldJitter) {
		s.BeginPace(now, throttler.CauseCold)
	}
	s.coldUntil = 0
	if left > 0 {
		s.coldUntil = now + left
	}
}

// IsCold reports whether the server is cold.
func (s *Server) IsCold(now zinniatide.Millis) bool { return now < s.coldUntil }

// usable reports whether the server accepts new requests.
func (s *Server) usable() bool {
	return !s.Ended && !s.replaced && !s.leaving && s.State == zinniatide.StateIn && !s.Superseded()
}

// score returns the expected wait at the server in milliseconds; lower is
// better. workFactor is how long work takes there now, relative to its latency.
func (s *Server) score(now zinniatide.Millis, workFactor float64) float64 {
	typical := s.Service.typicalLatency()
	wait, failureRate := s.latency, s.failureRate
	if wait == 0 {
		wait = typical
	}
	if idle := now - s.lastResultAt - resultLifetime; idle > 0 {
		weight := math.Exp2(-float64(idle) / resultHalfLifeMillis)
		wait = typical + (wait-typical)*weight
		failureRate *= weight
	}
	if len(s.inFlight) > 0 {
		// An old request reveals a pause before any response does.
		wait = max(wait, float64(now-s.inFlight[0]))
	}
	wait *= (1 + s.load(now)) * workFactor
	if now < s.shedPenaltyUntil {
		// The penalty is a wait of four times its duration, so the server is chosen
		// again early only if the others are much slower.
		wait += float64(4 * shedPenaltyDuration)
	}
	return wait + s.pauseLeft(now) + failurePenaltyMillis*failureRate
}

// pauseLeft returns how long an expected pause would hold up a request sent now, or
// 0.
func (s *Server) pauseLeft(now zinniatide.Millis) float64 {
	return s.pauses.pauseLeft(s.Service.Pauses, now, s.Service.typicalLatency()/2)
}

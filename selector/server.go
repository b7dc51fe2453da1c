package selector

import (
	"fmt"
	"math"

	"zinniatide.example/zinniatide"
)

// Weights and bounds of a server's score. Scores are expected waits in
// milliseconds.
const (
	// latencyGain is the weight of a new answer in the moving mean. Eight
	// answers move it by two thirds, so a server that turned slow is left
	// within a few of its answers.
	latencyGain = 0.125
	// failureGain is the weight of a result in the share of failures.
	failureGain = 0.2
	// shedGain is the weight of a shed request in the share of failures. A full
	// server is free again soon, so it weighs less than a failure.
	shedGain = 0.1
	// failureCost is what a server that fails always is set back.
	failureCost = 200.0
	// coldFactor scales the expected wait at a server that says it is cold.
	coldFactor = 1.6
	// shedPause keeps further requests from a server that was full.
	shedPause zinniatide.Millis = 25
	// firstRest and longestRest bound how long a server that cannot be
	// connected to is left alone; the rest doubles with each failure.
	firstRest   zinniatide.Millis = 250
	longestRest zinniatide.Millis = 2000
	// reportLifetime is how long a load report counts.
	reportLifetime zinniatide.Millis = 250
	// memory is how long results count in full. After it, what they say fades
	// with fadeTime, so that a server that did badly is tried again.
	memory zinniatide.Millis = 500
	// fadeTime is in milliseconds.
	fadeTime float64 = 700
	// coldShare is the part of a cold server's rate that is used.
	coldShare = 0.9
	// unknownLatency is assumed of a server that has not answered yet.
	unknownLatency = 10.0
)

// Server is one process of a backend server as this VM sees it. It is guarded
// by the lock of its user.
type Server struct {
	zinniatide.Enrollment
	Service *Service

	inFlight []zinniatide.Millis // start times, oldest first
	latency  float64             // moving mean, 0 before the first answer
	failures float64             // share of failures, moving
	// restUntil and rest belong to a server that cannot be reached.
	restUntil, rest zinniatide.Millis
	shedUntil       zinniatide.Millis
	coldUntil       zinniatide.Millis
	// coldNext is when the next request may be sent to a cold server whose rate
	// is bounded.
	coldNext   zinniatide.Millis
	resultAt   zinniatide.Millis // of the last result
	waiting    int               // reported queue
	reportedAt zinniatide.Millis
	// refused is set once another process answered at the address.
	refused bool
}

// Describe tells in one word for a log line what is known of the server.
func (s *Server) Describe(now zinniatide.Millis) string {
	oldest := zinniatide.Millis(0)
	if len(s.inFlight) > 0 {
		oldest = now - s.inFlight[0]
	}
	return fmt.Sprintf("%s@%s/wait=%.0fms/in-flight=%d/oldest=%dms/failures=%.2f/seen=%dms-ago",
		s.Server, s.Zone, s.latency, len(s.inFlight), oldest, s.failures, now-s.resultAt)
}

// InFlight is the number of requests that this VM has at the server.
func (s *Server) InFlight() int { return len(s.inFlight) }

// Begin notes a request that is sent.
func (s *Server) Begin(now zinniatide.Millis) {
	s.inFlight = append(s.inFlight, now)
	if s.bounded(now) {
		s.coldNext = max(s.coldNext, now) + zinniatide.Millis(math.Ceil(1000/(coldShare*s.Service.ColdRate)))
	}
}

// bounded reports whether the server is cold and its rate bounded.
func (s *Server) bounded(now zinniatide.Millis) bool {
	return s.IsCold(now) && s.Service.ColdRate > 0
}

// paced reports whether a cold server may get a request now.
func (s *Server) paced(now zinniatide.Millis) bool { return !s.bounded(now) || now >= s.coldNext }

// end removes a request that began at start.
func (s *Server) end(start zinniatide.Millis) {
	for i, at := range s.inFlight {
		if at == start {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// Answered notes a good answer.
func (s *Server) Answered(start, now zinniatide.Millis) {
	s.end(start)
	s.resultAt = now
	s.observe(float64(now - start))
	s.failures -= failureGain * s.failures
	s.Reached()
}

func (s *Server) observe(took float64) {
	if s.latency == 0 {
		s.latency = max(took, 0.5)
		return
	}
	s.latency += latencyGain * (took - s.latency)
}

// Failed notes an answer or a loss that speaks against the server.
func (s *Server) Failed(start, now zinniatide.Millis) {
	s.end(start)
	s.resultAt = now
	if took := float64(now - start); took > s.latency {
		s.observe(took)
	}
	s.failures += failureGain * (1 - s.failures)
}

// Abandoned notes a request that is given up without a result.
func (s *Server) Abandoned(start, now zinniatide.Millis) {
	s.end(start)
	s.resultAt = now
	if took := float64(now - start); took > s.latency {
		s.observe(took)
	}
}

// Shed notes that the server was full.
func (s *Server) Shed(start, now zinniatide.Millis) {
	s.end(start)
	s.resultAt = now
	s.shedUntil = now + shedPause
	// A server that sheds again and again is as good as one that fails.
	s.failures += shedGain * (1 - s.failures)
}

// Unsent notes a request that was not sent.
func (s *Server) Unsent(start zinniatide.Millis) { s.end(start) }

// Rest leaves a server alone that no connection comes about to, for a time
// that doubles each time.
func (s *Server) Rest(now zinniatide.Millis) {
	if s.Resting(now) {
		return
	}
	s.rest = min(max(2*s.rest, firstRest), longestRest)
	s.restUntil = now + s.rest
}

// Resting reports whether the server is left alone now.
func (s *Server) Resting(now zinniatide.Millis) bool { return now < s.restUntil }

// Unreached reports whether no connection has come about since Rest.
func (s *Server) Unreached() bool { return s.rest > 0 }

// Reached ends a rest.
func (s *Server) Reached() { s.rest, s.restUntil = 0, 0 }

// Refuse marks that another process answers at the server's address.
func (s *Server) Refuse() { s.refused = true }

// Report takes the server's statement of its queue.
func (s *Server) Report(waiting int, now zinniatide.Millis) {
	s.waiting, s.reportedAt = waiting, now
}

// Cold notes how much longer the server says it is cold.
func (s *Server) Cold(left, now zinniatide.Millis) {
	s.coldUntil = 0
	if left > 0 {
		s.coldUntil = now + left
	}
}

// IsCold reports whether the server is cold.
func (s *Server) IsCold(now zinniatide.Millis) bool { return now < s.coldUntil }

// usable reports whether new requests may be sent.
func (s *Server) usable() bool {
	return !s.Gone && !s.refused && s.State == zinniatide.StateIn
}

// score is the expected wait at the server, lower is better.
func (s *Server) score(now zinniatide.Millis) float64 {
	typical := s.Service.Latency.Mean
	if typical == 0 {
		typical = unknownLatency
	}
	wait, failures := s.latency, s.failures
	if wait == 0 {
		wait = typical
	}
	if idle := now - s.resultAt - memory; idle > 0 {
		kept := math.Exp2(-float64(idle) / fadeTime)
		wait = typical + (wait-typical)*kept
		failures *= kept
	}
	load := len(s.inFlight)
	if load > 0 {
		// An old request tells of a pause before any answer does.
		wait = max(wait, float64(now-s.inFlight[0]))
	}
	if now-s.reportedAt < reportLifetime {
		load += s.waiting
	}
	wait *= 1 + float64(load)/float64(max(s.Slots, 1))
	if s.IsCold(now) {
		wait *= coldFactor
	}
	if now < s.shedUntil {
		wait += float64(4 * shedPause)
	}
	return wait + failureCost*failures
}

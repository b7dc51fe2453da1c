package selector

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/throttler"
)

const (
	// failureRun is the number of failures without a success between them after which a
	// server is paced. A server that fails a tenth of its requests has such a run once in
	// 1,000 of them. The score lets a failing server have about one request in 2 s
	// (relayer.TestPaceAfterBackoffAndFailures), so a longer run would take too long.
	failureRun = 3
	// referenceWeight is the weight of a sample in the mean latency of a route's
	// requests at the peers of a server.
	referenceWeight = 0.05
	// referenceLifetime is how long this mean is used after its last sample.
	referenceLifetime zinniatide.Millis = 60_000
	// maxReferences bounds the routes of a service with a mean.
	maxReferences = 256
)

// PaceObserver is told what the pace of servers does. It is called with the lock held.
type PaceObserver interface {
	PaceBegan(s *Server, cause throttler.Cause)
	PaceEnded(s *Server, now zinniatide.Millis)
	// HeldBack counts servers that were left out of a choice because of their pace.
	HeldBack(servers int)
	// PaceExceeded counts requests sent against the pace, because all servers were held
	// back.
	PaceExceeded()
}

// reference is the mean latency of a kind of requests at servers without a pace.
type reference struct {
	mean    float64
	samples int
	addedAt zinniatide.Millis
}

// peerLatency returns the mean latency of a route's requests at servers without a pace,
// or 0 if it is unknown.
func (s *Service) peerLatency(route zinniatide.RouteID, now zinniatide.Millis) float64 {
	r := s.references[route]
	if r == nil || now-r.addedAt > referenceLifetime {
		return 0
	}
	return r.mean
}

func (s *Service) addPeerLatency(route zinniatide.RouteID, took float64, now zinniatide.Millis) {
	r := s.references[route]
	if r == nil {
		if s.references == nil || len(s.references) >= maxReferences {
			s.references = map[zinniatide.RouteID]*reference{}
		}
		r = &reference{}
		s.references[route] = r
	}
	if now-r.addedAt > referenceLifetime {
		r.samples = 0
	}
	r.samples++
	r.mean += max(referenceWeight, 1/float64(r.samples)) * (took - r.mean)
	r.addedAt = now
}

// peerQueue returns the mean queue that servers without a pace have reported lately.
func (s *Service) peerQueue(now zinniatide.Millis) float64 {
	sum, count := 0, 0
	for _, server := range s.Servers {
		if !server.pace.Active() && server.hasFreshLoad(now) {
			sum += server.reportedQueue
			count++
		}
	}
	return float64(sum) / float64(max(count, 1))
}

// hasFreshLoad reports whether the last load report is still used.
func (s *Server) hasFreshLoad(now zinniatide.Millis) bool {
	return s.reportedAt > 0 && now-s.reportedAt < loadReportLifetime
}

// SetSenders sets the number of VMs that send to the server, and the position of this
// VM among them, from 0 to 1.
func (s *Server) SetSenders(vms int, phase float64) {
	s.senders, s.phase = vms, phase
}

// updateFleet tells the pace who sends now: a single VM while the server is cold and has
// a rate limit.
func (s *Server) updateFleet(now zinniatide.Millis) {
	f := throttler.Fleet{VMs: s.senders, Phase: s.phase, Slots: s.Slots}
	if s.Service != nil && s.coldRateLimited(now) {
		f.VMs, f.Phase = 1, 0
	}
	s.pace.SetFleet(f)
}

// BeginPace paces the server from at on.
func (s *Server) BeginPace(at zinniatide.Millis, cause throttler.Cause) {
	s.updateFleet(at)
	if s.pace.Begin(at, cause) && s.Service != nil && s.Service.PaceObserver != nil {
		s.Service.PaceObserver.PaceBegan(s, cause)
	}
}

// Pace returns the pace of the server, to be read.
func (s *Server) Pace() *throttler.Throttler { return &s.pace }

// mayBeSent reports whether the pace of the server allows a request now.
func (s *Server) mayBeSent(now zinniatide.Millis) bool {
	if !s.pace.Active() {
		return true
	}
	s.updateFleet(now)
	return s.pace.MaySend(now, len(s.inFlight), s.Service.typicalLatency())
}

// recordPacedAnswer passes a successful answer on to the pace, or to the mean that
// paced servers are compared with.
func (s *Server) recordPacedAnswer(route zinniatide.RouteID, start, now zinniatide.Millis) {
	s.failures = 0
	took := float64(now - start)
	if !s.pace.Active() {
		s.Service.addPeerLatency(route, took, now)
		return
	}
	a := throttler.Answer{SentAt: start, Now: now, Latency: took, PeerLatency: s.Service.peerLatency(route, now),
		Queue: -1, PeerQueue: s.Service.peerQueue(now)}
	if s.reportedAt == now {
		a.Queue = float64(s.reportedQueue)
	}
	if s.pace.RecordAnswer(a) && s.Service.PaceObserver != nil {
		s.Service.PaceObserver.PaceEnded(s, now)
	}
}

// recordPacedFailure counts a failure, and begins the pace after a run of them.
func (s *Server) recordPacedFailure(start, now zinniatide.Millis) {
	s.failures++
	if s.failures >= failureRun && !s.pace.Active() {
		s.BeginPace(now, throttler.CauseFailures)
	}
	s.pace.RecordTrouble(start, now)
}

// load returns the requests that this VM knows to be at the server, relative to its
// slots.
func (s *Server) load(now zinniatide.Millis) float64 {
	load := len(s.inFlight)
	if s.hasFreshLoad(now) {
		load += s.reportedQueue
	}
	return float64(load) / float64(max(s.Slots, 1))
}

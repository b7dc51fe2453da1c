// Package selector chooses the backend server for a request from the results
// that this VM has observed of the servers of a service.
//
// A server is cold for some time after its start; its request rate may then be
// limited.
package selector

import (
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/retrybudget"
)

// Service holds the servers of one service. It is guarded by the caller's lock.
type Service struct {
	zinniatide.RelayService
	Servers []*Server
	Budget  *retrybudget.Budget
	// Latency holds the latency statistics of the whole service.
	Latency LatencyStats
	// Pauses are shared by the services of a VM. If it is nil, no pauses are
	// expected.
	Pauses *Pauses
	// Populated is set once servers have been enrolled on this VM. Servers that are
	// enrolled later are new.
	Populated bool
	// PaceObserver may be nil.
	PaceObserver PaceObserver

	references map[zinniatide.RouteID]*reference
}

// typicalLatency returns the mean latency of the service in milliseconds.
func (s *Service) typicalLatency() float64 {
	if s.Latency.Mean == 0 {
		return defaultLatencyMillis
	}
	return s.Latency.Mean
}

// Options are the conditions for choosing a server.
type Options struct {
	Zone zinniatide.ZoneID // of this VM
	// RemoteCost is added to the score of servers in other zones, in milliseconds.
	RemoteCost float64
	// ZoneExcluded reports whether a zone is out of service.
	ZoneExcluded func(zinniatide.ZoneID) bool
	Now          zinniatide.Millis
	// Tried are the servers that the request has already been sent to.
	Tried  []*Server
	Random *rand.Rand
	// MaySendToCold reports whether this VM is the one that sends requests to a
	// cold server with a rate limit. If it is nil, this VM is.
	MaySendToCold func(*Server) bool
	// Hedge is set if the request also waits for another server. It is then not sent to
	// a server that is held back by its pace.
	Hedge bool
	// LastAttempt is set if the request fails once another server refuses it. Paces do
	// not count then: they would leave only servers that are as full as those tried.
	LastAttempt bool
	// Excluded reports whether a server may not get the request because of its version. If
	// it is nil, no server is excluded.
	Excluded func(*Server) bool
}

// Available reports whether any reachable server may get requests.
func (s *Service) Available(o *Options) bool {
	for _, server := range s.Servers {
		if o.eligible(server) && !server.Unreachable() && o.maySendToCold(server) {
			return true
		}
	}
	return false
}

// Zones returns the zones with a reachable server that may get requests. It leaves
// out zones whose servers are expected to pause for longer than a request to
// another zone takes, unless all do.
func (s *Service) Zones(o *Options) []zinniatide.ZoneID {
	var zones, paused []zinniatide.ZoneID
	for _, server := range s.Servers {
		switch {
		case !o.eligible(server) || server.Unreachable():
		case server.pauseLeft(o.Now) > o.RemoteCost:
			paused = append(paused, server.Zone)
		case !slices.Contains(zones, server.Zone):
			zones = append(zones, server.Zone)
		}
	}
	if len(zones) == 0 {
		slices.Sort(paused)
		return slices.Compact(paused)
	}
	return zones
}

func (o *Options) eligible(s *Server) bool {
	return s.usable() && !s.IsPaused(o.Now) && !o.ZoneExcluded(s.Zone) && !o.excluded(s)
}

func (o *Options) excluded(s *Server) bool { return o.Excluded != nil && o.Excluded(s) }

// InService reports whether a server that matches takes requests by its enrollment and its
// answers, also if it is unreachable or its zone is out of service.
func (s *Service) InService(matches func(*Server) bool) bool {
	for _, server := range s.Servers {
		if matches(server) && server.usable() {
			return true
		}
	}
	return false
}

// HasServer reports whether a server that matches is in service and reachable. Excluded
// is not asked, and a server that has asked for a short pause counts.
func (s *Service) HasServer(o *Options, matches func(*Server) bool) bool {
	for _, server := range s.Servers {
		if matches(server) && server.usable() && !o.ZoneExcluded(server.Zone) && !server.Unreachable() {
			return true
		}
	}
	return false
}

// ReturnsIn returns the time until the first paused server may get requests again. It
// returns false if no server is paused.
func (s *Service) ReturnsIn(o *Options) (zinniatide.Millis, bool) {
	var first zinniatide.Millis
	for _, server := range s.Servers {
		if server.usable() && server.IsPaused(o.Now) && !o.ZoneExcluded(server.Zone) && !o.excluded(server) && (first == 0 || server.pausedUntil < first) {
			first = server.pausedUntil
		}
	}
	return first - o.Now, first > 0
}

// maySendToCold reports whether this VM may send to the server. Only one VM may
// send to a cold server with a rate limit.
func (o *Options) maySendToCold(s *Server) bool {
	if !s.coldRateLimited(o.Now) || o.MaySendToCold == nil || o.MaySendToCold(s) {
		return true
	}
	s.pace.Postpone(s.coldUntil) // the other VMs begin one after the other once it is warm
	return false
}

func (o *Options) tried(s *Server) bool {
	for _, t := range o.Tried {
		if t == s {
			return true
		}
	}
	return false
}

// maySendNow reports whether the rules allow a request to a server now, apart from its
// pace.
func (o *Options) maySendNow(s *Server) bool {
	return o.eligible(s) && !s.Unreachable() && o.maySendToCold(s) && s.coldRateAllows(o.Now)
}

// MaySendNow reports whether any server may get a request now. Unlike Available, it is
// false while all servers are limited in their rate.
func (s *Service) MaySendNow(o *Options) bool {
	for _, server := range s.Servers {
		if o.maySendNow(server) {
			return true
		}
	}
	return false
}

// Pick returns the server with the lowest score that has not been tried, or
// nil. Servers that are held back by their pace are left out. If all are, or the others
// are much worse, the least loaded of them is returned: a refusal would be worse for the
// caller.
func (s *Service) Pick(o *Options) *Server {
	var best, held *Server
	bestScore, heldScore, heldLoad := 0.0, 0.0, 0.0
	heldBack := 0
	for _, server := range s.Servers {
		if !o.allowed(server) {
			continue
		}
		score := o.score(server)
		if o.LastAttempt || server.mayBeSent(o.Now) {
			if best == nil || score < bestScore {
				best, bestScore = server, score
			}
			continue
		}
		heldBack++
		if load := server.load(o.Now); held == nil || load < heldLoad || load == heldLoad && score < heldScore {
			held, heldScore, heldLoad = server, score, load
		}
	}
	exceeded := held != nil && !o.Hedge && (best == nil || bestScore > paceYieldFactor*heldScore)
	s.observeHeldBack(o, best, heldBack, exceeded)
	if exceeded {
		return held
	}
	return best
}

// paceYieldFactor is the ratio of the least score of the other servers to that of a
// server that is held back by its pace, above which that server gets the request all the
// same. Otherwise a VM that has ended the pace of one of two returned servers would send
// everything there while the other one is idle. With 2, a weak server is flooded under a
// backlog, and with 4 more requests are late after all servers of a shard restarted
// (figures in docs/design/server-pace.md).
const paceYieldFactor = 3

// observeHeldBack reports the servers that a choice has left out because of their pace.
func (s *Service) observeHeldBack(o *Options, best *Server, heldBack int, exceeded bool) {
	if s.PaceObserver == nil {
		return
	}
	if exceeded {
		s.PaceObserver.PaceExceeded()
		heldBack--
	} else if o.LastAttempt && best != nil && !best.mayBeSent(o.Now) {
		s.PaceObserver.PaceExceeded()
	}
	s.PaceObserver.HeldBack(heldBack)
}

// allowed reports whether the rules allow the request to a server that it has not been
// sent to yet.
func (o *Options) allowed(s *Server) bool { return !o.tried(s) && o.maySendNow(s) }

// score returns the score of a server as seen from this VM's zone. A random factor
// spreads the load over servers with about the same score.
func (o *Options) score(s *Server) float64 {
	score := s.score(o.Now, s.workTime.drawFactor(o.Now, o.Random))
	if s.Zone != o.Zone {
		score += o.RemoteCost
	}
	return score * (1 + 0.1*o.Random.Float64())
}

// LatencyStats tracks the moving average and a moving quantile of latencies, in
// milliseconds.
type LatencyStats struct {
	Mean float64
	// HighQuantile estimates the highQuantile of the latencies.
	HighQuantile float64
	samples      int
}

const (
	// meanWeight is the weight of a new sample in the mean.
	meanWeight = 0.05
	// With highQuantile, about 8 % of the requests are hedged. The rest of the usual
	// retry budget, 0.2 sends per request, is left for pauses.
	highQuantile = 0.92
	// highStepShare is the step by which a sample moves HighQuantile, as a share of
	// the mean.
	highStepShare = 0.1
	// minSamples is the number of samples needed before LatencyStats are used.
	minSamples = 20
)

// Add records a sample.
func (s *LatencyStats) Add(value float64) {
	s.samples++
	s.Mean += max(meanWeight, 1/float64(s.samples)) * (value - s.Mean)
	if s.samples <= minSamples {
		s.HighQuantile = max(s.HighQuantile, value)
		return
	}
	if value > s.HighQuantile {
		s.HighQuantile += highStepShare * s.Mean * highQuantile
	} else {
		s.HighQuantile -= highStepShare * s.Mean * (1 - highQuantile)
	}
}

// HasEnoughSamples reports whether there are enough samples.
func (s *LatencyStats) HasEnoughSamples() bool { return s.samples > minSamples }

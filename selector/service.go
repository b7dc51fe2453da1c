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
	return s.usable() && !s.IsPaused(o.Now) && !o.ZoneExcluded(s.Zone)
}

// ReturnsIn returns the time until the first paused server may get requests again. It
// returns false if no server is paused.
func (s *Service) ReturnsIn(o *Options) (zinniatide.Millis, bool) {
	var first zinniatide.Millis
	for _, server := range s.Servers {
		if server.usable() && server.IsPaused(o.Now) && !o.ZoneExcluded(server.Zone) && (first == 0 || server.pausedUntil < first) {
			first = server.pausedUntil
		}
	}
	return first - o.Now, first > 0
}

// maySendToCold reports whether this VM may send to the server. Only one VM may
// send to a cold server with a rate limit.
func (o *Options) maySendToCold(s *Server) bool {
	return !s.coldRateLimited(o.Now) || o.MaySendToCold == nil || o.MaySendToCold(s)
}

func (o *Options) tried(s *Server) bool {
	for _, t := range o.Tried {
		if t == s {
			return true
		}
	}
	return false
}

// maySendNow reports whether a server may get a request now.
func (o *Options) maySendNow(s *Server) bool {
	return o.eligible(s) && !s.Unreachable() && o.maySendToCold(s) && s.coldRateAllows(o.Now) && s.resumes(o.Now)
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
// nil.
func (s *Service) Pick(o *Options) *Server {
	var best *Server
	bestScore := 0.0
	for _, server := range s.Servers {
		if !o.maySendNow(server) || o.tried(server) {
			continue
		}
		score := server.score(o.Now)
		if server.Zone != o.Zone {
			score += o.RemoteCost
		}
		// The random factor spreads the load over servers with about the same score.
		score *= 1 + 0.1*o.Random.Float64()
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	return best
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

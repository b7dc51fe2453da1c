// Package selector chooses the backend server for a request by what this VM
// has seen of the servers of a service.
package selector

import (
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/rationer"
)

// Service holds the servers of one service. It is guarded by the lock of its
// user.
type Service struct {
	zinniatide.RelayService
	Servers []*Server
	Budget  *rationer.Rationer
	// Latency describes the answers of the service as a whole.
	Latency Spread
}

// Options of a choice.
type Options struct {
	Zone zinniatide.ZoneID // of this VM
	// RemoteCost is added to the expected wait at servers of other zones, in
	// milliseconds.
	RemoteCost float64
	// Out tells zones that get no work.
	Out func(zinniatide.ZoneID) bool
	Now zinniatide.Millis
	// Tried are servers that the request has reached before.
	Tried  []*Server
	Random *rand.Rand
	// Paces reports whether this VM is the one that sends to a cold server whose
	// rate is bounded; nil stands for yes.
	Paces func(*Server) bool
}

// Available reports whether any server may get requests, resting ones not
// counted.
func (s *Service) Available(o *Options) bool {
	for _, server := range s.Servers {
		if o.allowed(server) && !server.Unreached() && o.mayPace(server) {
			return true
		}
	}
	return false
}

// Zones returns the zones in which servers may get requests.
func (s *Service) Zones(o *Options) []zinniatide.ZoneID {
	var zones []zinniatide.ZoneID
	for _, server := range s.Servers {
		if o.allowed(server) && !server.Unreached() && !slices.Contains(zones, server.Zone) {
			zones = append(zones, server.Zone)
		}
	}
	return zones
}

func (o *Options) allowed(s *Server) bool { return s.usable() && !o.Out(s.Zone) }

// mayPace reports whether this VM may send to the server while it is cold.
func (o *Options) mayPace(s *Server) bool {
	return !s.bounded(o.Now) || o.Paces == nil || o.Paces(s)
}

func (o *Options) tried(s *Server) bool {
	for _, t := range o.Tried {
		if t == s {
			return true
		}
	}
	return false
}

// Pick returns the server with the least expected wait that has not been
// tried, or nil.
func (s *Service) Pick(o *Options) *Server {
	var best *Server
	bestScore := 0.0
	for _, server := range s.Servers {
		if !o.allowed(server) || server.Unreached() || o.tried(server) || !o.mayPace(server) || !server.paced(o.Now) {
			continue
		}
		score := server.score(o.Now)
		if server.Zone != o.Zone {
			score += o.RemoteCost
		}
		// Equal servers share the load.
		score *= 1 + 0.1*o.Random.Float64()
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

// Spread describes latencies by a moving mean and a moving quantile, in
// milliseconds.
type Spread struct {
	Mean float64
	// High is about the latency that highShare of the answers stay below.
	High float64
	seen int
}

const (
	// spreadGain is the weight of a new value in the mean.
	spreadGain = 0.05
	// highShare is set so that repeats of what is slower stay well within the
	// usual bound of a fifth of all sends, pauses included.
	highShare = 0.92
	// highStep is how far one value moves High, as a share of the mean.
	highStep = 0.1
	// leastSeen is the number of values from which on a Spread is relied on.
	leastSeen = 20
)

// Add takes in a value.
func (s *Spread) Add(value float64) {
	s.seen++
	s.Mean += max(spreadGain, 1/float64(s.seen)) * (value - s.Mean)
	if s.seen <= leastSeen {
		s.High = max(s.High, value)
		return
	}
	if value > s.High {
		s.High += highStep * s.Mean * highShare
	} else {
		s.High -= highStep * s.Mean * (1 - highShare)
	}
}

// Known reports whether enough values were seen to rely on.
func (s *Spread) Known() bool { return s.seen > leastSeen }

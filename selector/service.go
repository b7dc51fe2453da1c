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
}

// Available reports whether any server may get requests, resting ones not
// counted.
func (s *Service) Available(o *Options) bool {
	for _, server := range s.Servers {
		if o.allowed(server) && !server.Unreached() {
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
		if !o.allowed(server) || server.Unreached() || o.tried(server) {
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

// Spread is a moving mean and mean deviation in milliseconds.
type Spread struct {
	Mean, Deviation float64
	seen            int
}

// spreadGain is the weight of a new value.
const spreadGain = 0.05

// Add takes in a value.
func (s *Spread) Add(value float64) {
	s.seen++
	gain := max(spreadGain, 1/float64(s.seen))
	off := value - s.Mean
	s.Mean += gain * off
	s.Deviation += gain * (max(off, -off) - s.Deviation)
}

// Known reports whether enough values were seen to rely on.
func (s *Spread) Known() bool { return s.seen >= 20 }

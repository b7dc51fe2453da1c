// Package router finds the route of a request in the routing table in force.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
)

// Route is a route with what is derived from it once.
type Route struct {
	zinniatide.Route
	// LeastShards is the least number of shards in a gathered answer, at least
	// one.
	LeastShards int
	weight      float64
}

// Router is an immutable routing table. The zero value has no routes.
type Router struct {
	// Number is the ticket that set the table.
	Number   zinniatide.TicketNumber
	Limits   zinniatide.CallerLimits
	services map[zinniatide.ServiceID]zinniatide.RelayService
	hosts    map[string][]*Route // longest prefix first
}

// New compiles a table that has passed the checker.
func New(number zinniatide.TicketNumber, table *zinniatide.Routing) *Router {
	r := &Router{
		Number: number, Limits: table.Limits,
		services: make(map[zinniatide.ServiceID]zinniatide.RelayService, len(table.Services)),
		hosts:    map[string][]*Route{},
	}
	for _, s := range table.Services {
		r.services[s.Service] = s
	}
	for i := range table.Routes {
		route := &Route{Route: table.Routes[i]}
		// The tolerance keeps a share such as 0.95 of 20 from rounding up to 20.
		route.LeastShards = max(1, int(math.Ceil(route.MinCoverage*float64(len(route.Shards))-1e-9)))
		for _, t := range route.Targets {
			route.weight += t.Weight
		}
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
	}
	for _, routes := range r.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return r
}

// Match returns the route with the longest prefix of path, or nil. Host may
// carry a port.
func (r *Router) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range r.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the configuration of a service.
func (r *Router) Service(id zinniatide.ServiceID) (zinniatide.RelayService, bool) {
	s, ok := r.services[id]
	return s, ok
}

// Services returns the configured services in no order.
func (r *Router) Services() map[zinniatide.ServiceID]zinniatide.RelayService { return r.services }

// Gathered returns the services that a route gathers.
func (r *Router) Gathered() map[zinniatide.ServiceID]bool {
	out := map[zinniatide.ServiceID]bool{}
	for _, routes := range r.hosts {
		for _, route := range routes {
			for _, shard := range route.Shards {
				out[shard] = true
			}
		}
	}
	return out
}

// Target draws one of the weighted services of a plain route.
func (r *Route) Target(random *rand.Rand) zinniatide.ServiceID {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	at := random.Float64() * r.weight
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	// Rounding may leave at just above the last weight.
	for i := len(r.Targets) - 1; i > 0; i-- {
		if r.Targets[i].Weight > 0 {
			return r.Targets[i].Service
		}
	}
	return r.Targets[0].Service
}

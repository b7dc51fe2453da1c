// Package router matches requests to the routes of the routing table.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
)

// Route is a route with precomputed values.
type Route struct {
	zinniatide.Route
	// MinShards is the minimum number of shards in a gathered answer, at least
	// 1.
	MinShards   int
	totalWeight float64
}

// Router is an immutable routing table. The zero value has no routes.
type Router struct {
	// Number is the ticket number of the table.
	Number zinniatide.TicketNumber
	Limits zinniatide.CallerLimits
	// KeysRequired is set if requests must carry the key of a workspace, except on public
	// routes.
	KeysRequired bool
	services     map[zinniatide.ServiceID]zinniatide.RelayService
	workspaces   map[zinniatide.WorkspaceID]*zinniatide.RelayWorkspace
	routesByHost map[string][]*Route // longest prefix first
}

// New compiles a table that the checker has validated.
func New(number zinniatide.TicketNumber, table *zinniatide.Routing) *Router {
	r := &Router{
		Number: number, Limits: table.Limits, KeysRequired: table.KeysRequired,
		workspaces:   make(map[zinniatide.WorkspaceID]*zinniatide.RelayWorkspace, len(table.Workspaces)),
		services:     make(map[zinniatide.ServiceID]zinniatide.RelayService, len(table.Services)),
		routesByHost: map[string][]*Route{},
	}
	for _, s := range table.Services {
		r.services[s.Service] = s
	}
	for i := range table.Workspaces {
		r.workspaces[table.Workspaces[i].Workspace] = &table.Workspaces[i]
	}
	for i := range table.Routes {
		// Requests in progress keep their route. With one allocation for all routes,
		// each of them would keep a whole table.
		route := &Route{Route: table.Routes[i]}
		// The tolerance keeps floating-point error from rounding up a product such as
		// 0.95 * 20, which would require 20 shards instead of 19.
		route.MinShards = max(1, int(math.Ceil(route.MinCoverage*float64(len(route.Shards))-1e-9)))
		for _, t := range route.Targets {
			route.totalWeight += t.Weight
		}
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
	}
	for _, routes := range r.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return r
}

// Match returns the route with the longest matching path prefix, or nil. Host
// may include a port.
func (r *Router) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the settings of a service.
func (r *Router) Service(id zinniatide.ServiceID) (zinniatide.RelayService, bool) {
	s, ok := r.services[id]
	return s, ok
}

// Workspace returns the settings of a workspace, or nil.
func (r *Router) Workspace(id zinniatide.WorkspaceID) *zinniatide.RelayWorkspace {
	return r.workspaces[id]
}

// Services returns the settings of all services.
func (r *Router) Services() map[zinniatide.ServiceID]zinniatide.RelayService { return r.services }

// Target picks one of the services of a plain route at random, by weight.
func (r *Route) Target(random *rand.Rand) zinniatide.ServiceID {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	point := random.Float64() * r.totalWeight
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	// Because of rounding, point may lie just above the last weight.
	for i := len(r.Targets) - 1; i > 0; i-- {
		if r.Targets[i].Weight > 0 {
			return r.Targets[i].Service
		}
	}
	return r.Targets[0].Service
}

package relayer

import (
	"cmp"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/authenticator"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
)

const (
	// spareVMs is the number of VMs, in addition to the active ones, for which
	// connections of a backend server are reserved. They serve VMs that join or
	// restart.
	spareVMs = 2
	// preopenedConnections is the number of connections opened in advance to each
	// new server of the VM's zone, and kept to each server in use.
	preopenedConnections = 1
	// inUseTime is how long after its last request a server counts as in use. A
	// connection that a server closes while idle is opened again only then: with
	// many VMs most of them rarely send to a given server.
	inUseTime zinniatide.Millis = 5000
	// reconnectInterval is how often unreachable servers are checked.
	reconnectInterval zinniatide.Millis = 100
)

// MaxZonePeers bounds the relay VMs of a zone that share the parts of a query.
// With more of them, a message costs more than sending its parts directly.
const MaxZonePeers = 8

// Update applies a configuration and the enrolled backend servers. A routing
// table never replaces a newer one.
func (r *Relayer) Update(c *zinniatide.Configuration, enrollments []zinniatide.Enrollment) {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	if c.Routing != nil && (r.table == nil || c.RoutingNumber > r.table.Number) {
		r.table = router.New(c.RoutingNumber, c.Routing)
		r.keys = authenticator.New(c.Routing, r.deps.Names.CredentialScheme)
		r.capacity.SetRouting(c.Routing)
		klog.InfoS("routing table applied", "step", "routing", "number", c.RoutingNumber, "epoch", c.Epoch,
			"routes", len(c.Routing.Routes), "services", len(c.Routing.Services),
			"keys-required", c.Routing.KeysRequired, "workspaces", len(c.Routing.Workspaces))
	}
	r.excludedZones = map[zinniatide.ZoneID]bool{}
	for zone, settings := range c.AvailabilityZones {
		if settings.State == zinniatide.StateOut {
			r.excludedZones[zone] = true
		}
	}
	r.activeRelays, r.activeInZone = nil, 0
	for _, zone := range c.RelayZones() {
		relays := c.Relays(zone)
		r.activeRelays = append(r.activeRelays, relays...)
		if zone == r.config.Zone {
			r.activeInZone = len(relays)
			r.zonePeers = relays[:min(len(relays), MaxZonePeers)]
		}
	}
	slices.Sort(r.activeRelays)
	r.updateDelegates(c)
	if r.table != nil {
		r.updateServices()
		r.updateServers(enrollments)
		r.updateRollouts(c)
	}
}

func (r *Relayer) updateServices() {
	now := r.deps.Clock.Now()
	for id, settings := range r.table.Services() {
		s := r.services[id]
		if s == nil {
			s = &selector.Service{Budget: retrybudget.New(r.config.Budget, len(r.activeRelays), now), Pauses: &r.pauses, PaceObserver: &paceObserver{r.metrics}}
			r.services[id] = s
		}
		s.RelayService = settings
		s.Budget.SetVMs(len(r.activeRelays), now)
	}
	for id := range r.services {
		if _, ok := r.table.Service(id); !ok {
			delete(r.services, id)
			delete(r.fastestAnswers, id)
		}
	}
}

func (r *Relayer) updateServers(enrollments []zinniatide.Enrollment) {
	kept := map[processKey]bool{}
	for i := range enrollments {
		e := &enrollments[i]
		service := r.services[e.Service]
		if service == nil || e.Ended {
			continue
		}
		id := processKey{e.Server, e.StartedAt}
		kept[id] = true
		r.updateServer(id, e, service)
	}
	for id, s := range r.servers {
		if !kept[id] {
			r.keepHint(id, s)
			s.Ended = true
			s.pool.Close()
			delete(r.servers, id)
		}
	}
	r.linkSuccessors()
	for _, service := range r.services {
		service.Servers = service.Servers[:0]
	}
	for _, s := range r.servers {
		s.Service.Servers = append(s.Service.Servers, &s.Server)
		s.Service.Populated = true
		if s.preopened > 0 && !s.Superseded() && !s.IsLeaving() {
			s.pool.EnsureOpen(s.preopened)
		}
	}
	for _, service := range r.services {
		slices.SortFunc(service.Servers, func(a, b *selector.Server) int {
			if a.Server < b.Server {
				return -1
			}
			return 1
		})
	}
}

// linkSuccessors tells each process which later process of its service is enrolled at
// its address. Processes of other services do not count, because an enrollment may be
// false, and only requests to the later process show that. If they have taken over
// the address, they reject the first request that is meant for the earlier process.
func (r *Relayer) linkSuccessors() {
	type place struct {
		service zinniatide.ServiceID
		address string
	}
	byPlace := make(map[place][]*selector.Server, len(r.servers))
	for _, s := range r.servers {
		p := place{s.Enrollment.Service, s.Address}
		byPlace[p] = append(byPlace[p], &s.Server)
	}
	for _, list := range byPlace {
		slices.SortFunc(list, func(a, b *selector.Server) int {
			return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Server, b.Server))
		})
		for i, s := range list {
			s.SetSuccessor(nil)
			if i+1 < len(list) && list[i+1].StartedAt > s.StartedAt {
				s.SetSuccessor(list[i+1])
			}
		}
	}
}

func (r *Relayer) updateServer(id processKey, e *zinniatide.Enrollment, service *selector.Service) {
	share := r.connectionShareOf(service.MaxConnections, e.Zone == r.config.Zone)
	now := r.deps.Clock.Now()
	s := r.servers[id]
	isNew := s == nil
	keepsOpen := isNew && e.Zone == r.config.Zone || s != nil && s.lastSentAt > 0 && now-s.lastSentAt < inUseTime
	if s == nil {
		s = &server{Server: selector.Server{Enrollment: *e, Service: service}, pool: r.deps.NewPool(e.Server, e.Address, share.limit)}
		r.servers[id] = s
		r.restoreHint(id, s)
	}
	s.SetColdFor(e.ColdRemaining, now)
	leaves := e.State == zinniatide.StateLeaving && s.State != zinniatide.StateLeaving
	evacuated := r.excludedZones[e.Zone] && !s.evacuated
	s.Enrollment, s.Service, s.evacuated = *e, service, r.excludedZones[e.Zone]
	r.updatePace(s, isNew)
	if leaves || evacuated {
		s.pool.Recall()
	}
	// The other VMs leave enough connections for this one until it has stopped.
	if !r.isStopping() {
		s.pool.SetLimit(share.limit, share.idleTimeout)
	}
	s.preopened = 0
	if keepsOpen && e.State == zinniatide.StateIn {
		s.preopened = share.preopened
	}
}

// connectionShare is the share of one VM in the connections of a server.
type connectionShare struct {
	limit, preopened int
	// idleTimeout is how long an unused connection is kept, or 0 for as long as
	// the server allows.
	idleTimeout zinniatide.Millis
}

const (
	// minConnectionsPerVM is the smallest share with which all active VMs keep
	// connections to a server. If the share is smaller, only the VMs in the
	// server's zone do, and the others connect only to resend a request.
	minConnectionsPerVM = 2
	// zoneConnectionShare is the share of a server's connections for the active
	// VMs of its zone if not all VMs keep connections.
	zoneConnectionShare = 0.75
	// maxConnectionsPerVM bounds the share of a VM. More concurrent exchanges with
	// one server only lengthen its queue.
	maxConnectionsPerVM = 8
	// transientIdleTimeout is how long an unused connection is kept by VMs that
	// connect only on demand.
	transientIdleTimeout zinniatide.Millis = 2000
)

// connectionShareOf returns this VM's share of a server's connections. The
// active relay VMs divide them; other VMs connect on demand.
func (r *Relayer) connectionShareOf(connections int, ownZone bool) connectionShare {
	if !slices.Contains(r.activeRelays, r.config.VM) {
		return connectionShare{limit: 1, idleTimeout: transientIdleTimeout}
	}
	if perVM := connections / (len(r.activeRelays) + spareVMs); perVM >= minConnectionsPerVM {
		return connectionShare{limit: min(perVM, maxConnectionsPerVM), preopened: preopenedConnections}
	}
	if !ownZone {
		return connectionShare{limit: 1, idleTimeout: transientIdleTimeout}
	}
	perVM := int(zoneConnectionShare*float64(connections)) / (r.activeInZone + spareVMs)
	return connectionShare{limit: min(max(perVM, 1), maxConnectionsPerVM), preopened: preopenedConnections}
}

// backOff stops sending to an unreachable server and retries the connection
// until it succeeds.
func (r *Relayer) backOff(s *selector.Server) {
	s.BackOff(r.deps.Clock.Now())
	if !r.reconnectScheduled {
		r.reconnectScheduled = true
		r.deps.Timer.After(reconnectInterval, r.reconnect)
	}
}

func (r *Relayer) reconnect() {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	now := r.deps.Clock.Now()
	unreachable := false
	for _, s := range r.servers {
		if !s.Unreachable() || s.IsLeaving() {
			continue
		}
		if s.pool.OpenConnections() > 0 {
			s.MarkReachable(now)
			klog.InfoS("backend server is reachable again", "step", "connect", "server", s.Enrollment.Server, "service", s.Service.Service)
			continue
		}
		unreachable = true
		if !s.InBackoff(now) {
			s.BackOff(now)
			s.pool.EnsureOpen(1)
		}
	}
	r.reconnectScheduled = unreachable
	if unreachable {
		r.deps.Timer.After(reconnectInterval, r.reconnect)
	}
}

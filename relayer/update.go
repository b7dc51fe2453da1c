package relayer

import (
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/rationer"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
)

const (
	// spareVMs are connections of a backend server left free for VMs that join
	// or restart.
	spareVMs = 2
	// warmConnections are opened to each server before requests need them.
	warmConnections = 1
	// restTick spaces the looks at servers that cannot be reached.
	restTick zinniatide.Millis = 100
)

// MaxSiblings bounds the relay VMs of a zone that share the parts of a query.
// With more, a part costs less than its share of a message.
const MaxSiblings = 8

// Update puts a configuration and a table of backend servers in force. An
// older routing table never replaces a newer one.
func (r *Relayer) Update(c *zinniatide.Configuration, enrollments []zinniatide.Enrollment) {
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	if c.Routing != nil && (r.table == nil || c.RoutingNumber > r.table.Number) {
		r.table = router.New(c.RoutingNumber, c.Routing)
		klog.InfoS("routing table in force", "step", "routing", "number", c.RoutingNumber, "epoch", c.Epoch,
			"routes", len(c.Routing.Routes), "services", len(c.Routing.Services))
	}
	r.zonesOut = map[zinniatide.ZoneID]bool{}
	for zone, setting := range c.AvailabilityZones {
		if setting.State == zinniatide.StateOut {
			r.zonesOut[zone] = true
		}
	}
	r.active, r.zoneActive = nil, 0
	for _, zone := range c.RelayZones() {
		relays := c.Relays(zone)
		r.active = append(r.active, relays...)
		if zone == r.config.Zone {
			r.zoneActive = len(relays)
			r.siblings = relays[:min(len(relays), MaxSiblings)]
		}
	}
	slices.Sort(r.active)
	r.updateHelpers(c)
	if r.table != nil {
		r.updateServices()
		r.updateServers(enrollments)
	}
}

func (r *Relayer) updateServices() {
	now := r.d.Clock.Now()
	for id, setting := range r.table.Services() {
		s := r.services[id]
		if s == nil {
			s = &selector.Service{Budget: rationer.New(r.config.Budget, len(r.active), now)}
			r.services[id] = s
		}
		s.RelayService = setting
		s.Budget.Share(len(r.active), now)
	}
	for id := range r.services {
		if _, ok := r.table.Service(id); !ok {
			delete(r.services, id)
		}
	}
}

func (r *Relayer) updateServers(enrollments []zinniatide.Enrollment) {
	youngest := map[string]zinniatide.Millis{} // start of the last process at each address
	for i := range enrollments {
		e := &enrollments[i]
		youngest[e.Address] = max(youngest[e.Address], e.Born)
	}
	kept := map[processID]bool{}
	for i := range enrollments {
		e := &enrollments[i]
		service := r.services[e.Service]
		if service == nil || e.Gone || e.Born < youngest[e.Address] {
			continue
		}
		id := processID{e.Server, e.Born}
		kept[id] = true
		r.updateServer(id, e, service)
	}
	for id, s := range r.servers {
		if !kept[id] {
			s.Gone = true
			s.pool.Close()
			delete(r.servers, id)
		}
	}
	for _, service := range r.services {
		service.Servers = service.Servers[:0]
	}
	for _, s := range r.servers {
		s.Service.Servers = append(s.Service.Servers, &s.Server)
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

func (r *Relayer) updateServer(id processID, e *zinniatide.Enrollment, service *selector.Service) {
	share := r.share(service.MaxConnections, e.Zone == r.config.Zone)
	s := r.servers[id]
	if s == nil {
		s = &server{pool: r.d.NewPool(e.Server, e.Address, share.limit)}
		r.servers[id] = s
	}
	if s.ColdLeft != e.ColdLeft || s.Sequence == 0 {
		s.Cold(e.ColdLeft, r.d.Clock.Now())
	}
	s.Enrollment, s.Service = *e, service
	s.pool.SetLimit(share.limit, share.idle)
	if e.State == zinniatide.StateIn {
		s.pool.Warm(share.warm)
	}
}

// share is what one VM may hold of a server's connections.
type share struct {
	limit, warm int
	// idle is how long a connection is kept without use, 0 for as long as the
	// server allows.
	idle zinniatide.Millis
}

const (
	// fullShare is the number of connections for each active VM from which on
	// all of them keep connections to a server. With fewer, those of the server's
	// zone do, and the others connect only to send a repeat.
	fullShare = 2
	// zoneShare is the part of a server's connections for the active VMs of its
	// zone.
	zoneShare = 0.75
	// mostConnections bounds a share. More exchanges than that at once with one
	// server only lengthen its queue.
	mostConnections = 8
	// visitIdle is how long another VM keeps a connection.
	visitIdle zinniatide.Millis = 2000
)

// share divides the connections of a server among the active relay VMs. Others
// connect when they have a request.
func (r *Relayer) share(connections int, ownZone bool) share {
	if !slices.Contains(r.active, r.config.VM) {
		return share{limit: 1, idle: visitIdle}
	}
	if each := connections / (len(r.active) + spareVMs); each >= fullShare {
		return share{limit: min(each, mostConnections), warm: warmConnections}
	}
	if !ownZone {
		return share{limit: 1, idle: visitIdle}
	}
	each := int(zoneShare*float64(connections)) / (r.zoneActive + spareVMs)
	return share{limit: min(max(each, 1), mostConnections), warm: warmConnections}
}

// rest leaves an unreachable server alone and looks after it until a
// connection to it comes about.
func (r *Relayer) rest(s *selector.Server) {
	s.Rest(r.d.Clock.Now())
	if !r.resting {
		r.resting = true
		r.d.Timer.After(restTick, r.tickResting)
	}
}

func (r *Relayer) tickResting() {
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	now := r.d.Clock.Now()
	again := false
	for _, s := range r.servers {
		if !s.Unreached() {
			continue
		}
		if s.pool.Conns() > 0 {
			s.Reached()
			klog.InfoS("backend server reached again", "step", "connect", "server", s.Enrollment.Server, "service", s.Service.Service)
			continue
		}
		again = true
		if !s.Resting(now) {
			s.Rest(now)
			s.pool.Warm(1)
		}
	}
	r.resting = again
	if again {
		r.d.Timer.After(restTick, r.tickResting)
	}
}

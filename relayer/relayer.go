// Package relayer answers callers' HTTP requests from backend servers by the
// routing table: plain requests from one server of a service, gathered ones
// from one server of each shard.
package relayer

import (
	"math/rand/v2"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/rationer"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/throttler"
	"zinniatide.example/zinniatide/transporter"
)

// Pool sends exchanges to one process of a backend server.
type Pool interface {
	Send(x *transporter.Exchange)
	// SetLimit bounds the connections and, unless 0, the time that one is kept
	// without use.
	SetLimit(limit int, idle zinniatide.Millis)
	Warm(n int)
	Conns() int
	Close()
}

// Config holds the policy of a Relayer.
type Config struct {
	VM   zinniatide.VMID
	Zone zinniatide.ZoneID
	// Budget is the bound on repeated sends to one service over all VMs.
	Budget rationer.Config
	// RemoteCost is what a server of another zone is set back, in milliseconds
	// of expected wait. It pays for the way and for the bytes between zones.
	RemoteCost float64
	// ReplyMargin is taken from the target latency for the way between caller
	// and VM, besides a part for each shard. ConnectMargin is added when the
	// caller had to set up a connection.
	ReplyMargin, ConnectMargin zinniatide.Millis
}

// Dependencies of a Relayer.
type Dependencies struct {
	Lock   *sync.Mutex
	Clock  zinniatide.Clock
	Timer  timer.Timer
	Random *rand.Rand
	// NewPool opens the connections to a process.
	NewPool func(server zinniatide.BackendServerID, address string, limit int) Pool
	Names   Names
	// Links reach relay VMs of other zones, which gather parts on behalf of this
	// VM; nil sends every part directly.
	Links      Links
	Registerer prometheus.Registerer
}

// Links are the links to other VMs.
type Links interface {
	Connected(peer zinniatide.VMID) bool
	Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error
	Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func(body []byte, err error))
}

// Relayer serves callers. Its state is guarded by Dependencies.Lock.
type Relayer struct {
	config   Config
	d        Dependencies
	metrics  *metrics
	internal map[string]bool

	table    *router.Router
	services map[zinniatide.ServiceID]*selector.Service
	servers  map[processID]*server
	// spreads describe the answers to the parts of each gathering route.
	spreads map[zinniatide.RouteID]*selector.Spread
	// throttlers bound the gatherings of each route.
	throttlers map[zinniatide.RouteID]*throttler.Throttler
	zonesOut   map[zinniatide.ZoneID]bool
	active     []zinniatide.VMID // relay VMs that callers are sent to, sorted
	// zoneActive is the number of those in this zone.
	zoneActive int
	sends      uint64
	// helpers are the other relay VMs by zone, siblings the active ones of this
	// zone, this VM included, that share the parts of large queries.
	siblings []zinniatide.VMID
	helpers  map[zinniatide.ZoneID][]*helper
	// delegated are the gatherings that run here for other VMs.
	delegated map[delegationID]*gathering
	// groups are the parts that helpers gather for this VM, by call.
	groups   map[uint64]*group
	lastCall uint64
	resting  bool // a tick for resting servers is due
}

// processID names one process of a backend server.
type processID struct {
	server zinniatide.BackendServerID
	born   zinniatide.Millis
}

// server joins what is known of a process with its connections.
type server struct {
	selector.Server
	pool Pool
}

// New returns a Relayer without a routing table.
func New(config Config, d Dependencies) *Relayer {
	r := &Relayer{
		config: config, d: d, metrics: newMetrics(d.Registerer),
		services: map[zinniatide.ServiceID]*selector.Service{}, servers: map[processID]*server{},
		internal: map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
			"Upgrade": true, "Trailer": true, "Te": true, "Proxy-Connection": true, "Proxy-Authenticate": true},
		spreads: map[zinniatide.RouteID]*selector.Spread{}, throttlers: map[zinniatide.RouteID]*throttler.Throttler{},
		helpers: map[zinniatide.ZoneID][]*helper{}, delegated: map[delegationID]*gathering{}, groups: map[uint64]*group{},
	}
	for _, name := range d.Names.Internal {
		r.internal[name] = true
	}
	return r
}

// Limits returns what callers may send, or false before the first routing
// table.
func (r *Relayer) Limits() (zinniatide.CallerLimits, bool) {
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	if r.table == nil {
		return zinniatide.CallerLimits{}, false
	}
	return r.table.Limits, true
}

// Sends returns how many exchanges this VM has begun.
func (r *Relayer) Sends() uint64 {
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	return r.sends
}

// Ready reports whether requests can be answered.
func (r *Relayer) Ready() bool {
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	return r.table != nil && len(r.servers) > 0
}

// Serve answers req by one call of respond, under the lock and possibly before
// Serve returns. After cancel, respond is not called and servers are told to
// stop.
func (r *Relayer) Serve(req *Request, respond func(Reply)) (cancel func()) {
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	nothing := func() {}
	if r.table == nil {
		r.refuse(req, nil, respond, fasthttp.StatusServiceUnavailable, "no routing table yet", startRetryAfter)
		return nothing
	}
	route := r.table.Match(req.Host, req.Path)
	if route == nil {
		r.refuse(req, nil, respond, fasthttp.StatusNotFound, "no route", 0)
		return nothing
	}
	wait := route.Timeout
	if req.Wait > 0 {
		wait = min(wait, req.Wait)
	}
	base := task{r: r, req: req, route: route, respond: respond, begun: r.d.Clock.Now(), end: req.Arrived + wait}
	if base.end <= base.begun {
		r.refuse(req, route, respond, fasthttp.StatusServiceUnavailable, "deadline has passed", 0)
		return nothing
	}
	if route.Gathers() {
		g := &gathering{task: base}
		g.begin()
		return g.cancel
	}
	f := &forwarding{task: base}
	f.begin()
	return f.cancel
}

// Advice to refused callers.
const (
	// startRetryAfter is for a VM that has just started and learns its
	// configuration within this time.
	startRetryAfter zinniatide.Millis = 300
	// shortRetryAfter is for servers whose queues are full. They drain within it.
	shortRetryAfter zinniatide.Millis = 100
	// lostRetryAfter is for services without a reachable server. Connections are
	// tried again at this interval.
	lostRetryAfter zinniatide.Millis = 500
)

// refuse answers a request that was sent to no server. Inputs are further keys
// and values of its log line.
func (r *Relayer) refuse(req *Request, route *router.Route, respond func(Reply), status int, reason string, after zinniatide.Millis, inputs ...any) {
	klog.InfoS("request refused", append([]any{"step", "relay", "request", req.ID, "route", routeID(route), "status", status,
		"reason", reason, "retry-after-ms", after, "wait-ms", req.Wait, "table", r.number()}, inputs...)...)
	r.metrics.refused(reason)
	respond(Reply{Status: status, RetryAfter: after})
}

func (r *Relayer) number() zinniatide.TicketNumber {
	if r.table == nil {
		return 0
	}
	return r.table.Number
}

func routeID(route *router.Route) zinniatide.RouteID {
	if route == nil {
		return ""
	}
	return route.ID
}

// options describes a choice among servers now.
func (r *Relayer) options(tried []*selector.Server) *selector.Options {
	return &selector.Options{
		Zone: r.config.Zone, RemoteCost: r.config.RemoteCost, Now: r.d.Clock.Now(), Tried: tried, Random: r.d.Random,
		Out:   func(zone zinniatide.ZoneID) bool { return r.zonesOut[zone] },
		Paces: r.paces,
	}
}

// paces reports whether this VM is the one that sends to a cold server. The
// bound on its rate holds for all VMs together, so one of them has all of it.
func (r *Relayer) paces(s *selector.Server) bool {
	return len(r.active) == 0 || picker.Pick(string(s.Server), r.active) == r.config.VM
}

// maxSpreads bounds the routes whose answers are described.
const maxSpreads = 4096

// throttlerOf returns the bound on a route's gatherings.
func (r *Relayer) throttlerOf(id zinniatide.RouteID) *throttler.Throttler {
	t := r.throttlers[id]
	if t == nil {
		if len(r.throttlers) >= maxSpreads {
			clear(r.throttlers)
		}
		t = throttler.New()
		r.throttlers[id] = t
	}
	return t
}

// spreadOf returns the description of a route's answers.
func (r *Relayer) spreadOf(id zinniatide.RouteID) *selector.Spread {
	s := r.spreads[id]
	if s == nil {
		if len(r.spreads) >= maxSpreads {
			clear(r.spreads)
		}
		s = &selector.Spread{}
		r.spreads[id] = s
	}
	return s
}

// poolOf returns the connections of a server that a selector chose.
func (r *Relayer) poolOf(s *selector.Server) Pool {
	return r.servers[processID{s.Enrollment.Server, s.Born}].pool
}

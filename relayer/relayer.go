// Package relayer proxies callers' HTTP requests to backend servers according
// to the routing table. A plain request goes to one server of a service; a
// gathered request goes to one server of each shard, and the responses are
// merged.
//
// A relay VM is a VM that runs a Relayer; it is active while callers are sent to
// it. The stamp of a response is the server's signature.
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
	"zinniatide.example/zinniatide/estimator"
	"zinniatide.example/zinniatide/prioritizer"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

// Pool is a connection pool to one process of a backend server.
type Pool interface {
	Send(x *transporter.Exchange)
	// SetLimit limits the number of connections and, unless idle is 0, how long an
	// unused connection is kept.
	SetLimit(limit int, idle zinniatide.Millis)
	// EnsureOpen opens connections until there are n, up to the limit.
	EnsureOpen(n int)
	OpenConnections() int
	// Recall ends all exchanges that still wait for a connection with NotSent.
	Recall()
	Close()
}

// Config configures a Relayer.
type Config struct {
	VM      zinniatide.VMID
	Process zinniatide.ProcessID
	Zone    zinniatide.ZoneID
	// Budget is the retry budget of each service, shared by all VMs.
	Budget retrybudget.Config
	// RemoteCost is added to the score of a server in another zone, in
	// milliseconds of expected wait. It accounts for the round trip and the
	// traffic between zones.
	RemoteCost float64
	// ReplyMargin is subtracted from the target latency to allow for the round
	// trip between caller and VM. More is subtracted for each shard of a gathered
	// request. ConnectMargin is subtracted as well if the caller had to open a
	// connection.
	ReplyMargin, ConnectMargin zinniatide.Millis
	// Rollouts is set where the versions of servers decide which of them get requests.
	Rollouts bool
}

// Dependencies are the dependencies of a Relayer.
type Dependencies struct {
	Lock   *sync.Mutex
	Clock  zinniatide.Clock
	Timer  timer.Timer
	Random *rand.Rand
	// NewPool returns a connection pool to a process.
	NewPool func(server zinniatide.BackendServerID, address string, limit int) Pool
	Names   HeaderNames
	// Links reach other relay VMs, which can gather parts on behalf of this VM. If
	// it is nil, every part is sent directly.
	Links Links
	// Quarantine is nil if no request is refused because it crashes servers.
	Quarantine Quarantine
	// Quota limits the rates of workspaces. If it is nil, they have no limits.
	Quota zinniatide.QuotaLimiter
	// ConfirmedAt returns when the configuration was last known to be the newest. If it
	// is nil, it always is.
	ConfirmedAt func() zinniatide.Millis
	// ReportRollouts sends a report to the control leader. It must not block, and may be
	// nil.
	ReportRollouts func(*zinniatide.RolloutReports)
	// Capacity decides when the capacity of servers is short. If it is nil, a
	// prioritizer.Prioritizer does.
	Capacity   zinniatide.CapacityAdmitter
	Registerer prometheus.Registerer
}

// Quarantine knows the requests that crash the servers that run them.
type Quarantine interface {
	// Empty reports whether no request is suspected.
	Empty() bool
	// QuarantineLeft returns how long a request is still refused, or 0.
	QuarantineLeft(f zinniatide.Fingerprint) zinniatide.Millis
	// ReportUnanswered reports a request that may have crashed the servers that ran
	// it.
	ReportUnanswered(f zinniatide.Fingerprint, attempt zinniatide.UnansweredAttempt)
	// ReportAnswered reports a request that a server has answered, which clears it
	// of suspicion.
	ReportAnswered(f zinniatide.Fingerprint)
}

// Links are the links to other VMs.
type Links interface {
	Connected(peer zinniatide.VMID) bool
	Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error
	Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func(body []byte, err error))
}

// Relayer serves callers. Its state is guarded by Dependencies.Lock.
type Relayer struct {
	config          Config
	deps            Dependencies
	metrics         *metrics
	strippedHeaders map[string]bool

	table    *router.Router
	keys     zinniatide.KeyAuthenticator // of the table
	services map[zinniatide.ServiceID]*selector.Service
	servers  map[processKey]*server
	// routeLatencies holds the latency statistics of the parts of each gathered
	// route.
	routeLatencies map[zinniatide.RouteID]*selector.LatencyStats
	// capacity decides which requests run when the capacity of servers is short.
	capacity zinniatide.CapacityAdmitter
	// fastestAnswers are the fastest recent answers of each service of plain requests.
	fastestAnswers map[zinniatide.ServiceID]*fastestAnswer
	// pauses are the pauses that this VM has observed of all servers.
	pauses        selector.Pauses
	excludedZones map[zinniatide.ZoneID]bool
	activeRelays  []zinniatide.VMID // relay VMs that serve callers, sorted
	// activeInZone is the number of active relay VMs in this zone.
	activeInZone int
	sentRequests uint64
	// zonePeers are the active relay VMs of this zone, including this VM, that
	// share the parts of large queries. delegates are the other relay VMs by zone.
	zonePeers []zinniatide.VMID
	delegates map[zinniatide.ZoneID][]*delegate
	// zoneReplyTime and remoteReplyTime estimate the time that the first reply of a
	// delegate of this or another zone needs.
	zoneReplyTime, remoteReplyTime *estimator.Estimator
	// delegatedGathers are the gather requests that run here on behalf of other
	// VMs.
	delegatedGathers map[delegationKey]*gatherRequest
	// delegatingVMs are the VMs that have delegated to this one.
	delegatingVMs map[zinniatide.VMID]*delegatingVM
	// delegations are the open delegations of this VM by call id.
	delegations map[uint64]*delegation
	lastCallID  uint64
	// hints are kept of processes that are no longer enrolled.
	hints              map[processKey]hint
	reconnectScheduled bool // a reconnect timer is pending
	stopping           stopping
	// openRequests holds, for each request of a caller in progress, a function that
	// ends it early.
	openRequests map[*activeRequest]func(reason string, retryAfter zinniatide.Millis)
	rollouts     rollouts
}

// processKey identifies one process of a backend server.
type processKey struct {
	server    zinniatide.BackendServerID
	startedAt zinniatide.Millis
}

// server combines the observed state of a process with its connection pool.
type server struct {
	selector.Server
	pool Pool
	// lastSentAt is when this VM last sent a request to the process.
	lastSentAt zinniatide.Millis
	// preopened is the number of connections to keep open while the process is in
	// use.
	preopened int
	// evacuated is set while the zone of the process is taken out.
	evacuated bool
}

// New returns a Relayer without a routing table.
func New(config Config, d Dependencies) *Relayer {
	r := &Relayer{
		config: config, deps: d, metrics: newMetrics(d.Registerer),
		services: map[zinniatide.ServiceID]*selector.Service{}, servers: map[processKey]*server{},
		strippedHeaders: map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
			"Upgrade": true, "Trailer": true, "Te": true, "Proxy-Connection": true, "Proxy-Authenticate": true},
		routeLatencies: map[zinniatide.RouteID]*selector.LatencyStats{}, capacity: d.Capacity, fastestAnswers: map[zinniatide.ServiceID]*fastestAnswer{},
		delegates: map[zinniatide.ZoneID][]*delegate{}, delegatedGathers: map[delegationKey]*gatherRequest{}, delegatingVMs: map[zinniatide.VMID]*delegatingVM{}, delegations: map[uint64]*delegation{},
		zoneReplyTime: estimator.New(zoneRoundTrip, zoneRoundTrip+maxReplyDelay), remoteReplyTime: estimator.New(remoteRoundTrip, remoteRoundTrip+maxReplyDelay),
		hints: map[processKey]hint{}, openRequests: map[*activeRequest]func(string, zinniatide.Millis){},
	}
	if r.capacity == nil {
		p := prioritizer.New()
		r.capacity = p
		r.registerCapacity(d.Registerer, p)
	}
	r.registerTables(d.Registerer)
	for _, name := range d.Names.Stripped {
		r.strippedHeaders[name] = true
	}
	return r
}

// Limits returns the limits on callers' requests. It returns false before the
// first routing table is applied.
func (r *Relayer) Limits() (zinniatide.CallerLimits, bool) {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	if r.table == nil {
		return zinniatide.CallerLimits{}, false
	}
	return r.table.Limits, true
}

// SentRequests returns the number of requests sent to backend servers since the
// start.
func (r *Relayer) SentRequests() uint64 {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	return r.sentRequests
}

// Ready reports whether the Relayer has a routing table and a server.
func (r *Relayer) Ready() bool {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	return r.table != nil && len(r.servers) > 0
}

// Serve answers req by calling respond exactly once, with the lock held and
// possibly before Serve returns. After a call of cancel, respond is not called
// and the requests at the servers are cancelled.
func (r *Relayer) Serve(req *Request, respond func(Reply)) (cancel func()) {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	noop := func() {}
	if r.table == nil {
		r.refuse(req, nil, respond, fasthttp.StatusServiceUnavailable, "no routing table yet", startupRetryAfter)
		return noop
	}
	route := r.table.Match(req.Host, req.Path)
	if route == nil {
		r.refuseWithoutRoute(req, respond)
		return noop
	}
	if !r.admitByKey(req, route, respond) {
		return noop
	}
	timeout := route.Timeout
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	base := activeRequest{r: r, req: req, route: route, priority: r.priorityOf(req.Workspace, route), respond: respond, startedAt: r.deps.Clock.Now(), deadline: req.ArrivedAt + timeout}
	if base.deadline <= base.startedAt {
		r.refuse(req, route, respond, fasthttp.StatusServiceUnavailable, "deadline has passed", 0)
		return noop
	}
	if !r.endsInTime(route, base.deadline, base.startedAt) {
		r.refuse(req, route, respond, statusUnavailable, "this VM is stopping", stoppingRetryAfter, "stop-in-ms", r.stopping.endsAt-base.startedAt)
		return noop
	}
	if w := r.limitOf(req); w != nil {
		return r.awaitQuota(base, w)
	}
	return r.run(base)
}

// run serves a request that has passed the quota.
func (r *Relayer) run(base activeRequest) (cancel func()) {
	noop := func() {}
	if q := r.deps.Quarantine; q != nil && !q.Empty() {
		if left := q.QuarantineLeft(base.req.fingerprint()); left > 0 {
			refused := base // a copy, so that base is not allocated for each request
			r.refuse(base.req, base.route, refused.returningRespond(), statusUnavailable, "request crashed backend servers", left)
			return noop
		}
	}
	if !base.admitByCapacity() {
		return noop
	}
	if r.confirmationAge() > maxConfirmationAge {
		r.metrics.unconfirmedRequests.Inc()
	}
	if base.route.Gathers() {
		g := &gatherRequest{activeRequest: base}
		g.respond = g.returningRespond()
		g.start()
		r.trackRequest(&g.activeRequest, g.end)
		return g.cancel
	}
	f := &forwardRequest{activeRequest: base}
	f.respond = f.returningRespond()
	f.start()
	r.trackRequest(&f.activeRequest, f.end)
	return f.cancel
}

// maxConfirmationAge is how old the confirmation of the configuration may be for a
// request without a route to be rejected for good. It is the time within which an
// acknowledged configuration must be followed.
const maxConfirmationAge zinniatide.Millis = 3000

// confirmationAge returns how long ago the configuration was known to be the newest.
func (r *Relayer) confirmationAge() zinniatide.Millis {
	if r.deps.ConfirmedAt == nil {
		return 0
	}
	return r.deps.Clock.Now() - r.deps.ConfirmedAt()
}

// refuseWithoutRoute answers a request that matches no route. A VM that may have missed
// a newer table asks the caller to come back: the request may have a route there.
func (r *Relayer) refuseWithoutRoute(req *Request, respond func(Reply)) {
	if age := r.confirmationAge(); age > maxConfirmationAge {
		r.refuse(req, nil, respond, fasthttp.StatusServiceUnavailable, "no route in an unconfirmed table", startupRetryAfter, "confirmed-ms-ago", age)
		return
	}
	r.refuse(req, nil, respond, fasthttp.StatusNotFound, "no route", 0)
}

// trackRequest registers a request that has not finished yet with the function
// that ends it early.
func (r *Relayer) trackRequest(ar *activeRequest, end func(reason string, retryAfter zinniatide.Millis)) {
	if ar.finished {
		ar.endPermit()
		return
	}
	r.openRequests[ar] = end
}

// Retry-After values of refusals.
const (
	// startupRetryAfter applies while a VM loads its configuration, after its start or
	// after it had no contact to the control leader.
	startupRetryAfter zinniatide.Millis = 300
	// shortRetryAfter applies when servers are full, at their cold rate limit, or
	// failed. Another attempt may succeed soon.
	shortRetryAfter zinniatide.Millis = 100
	// unreachableRetryAfter applies when no server of a service is reachable.
	// Connections are retried at this interval.
	unreachableRetryAfter zinniatide.Millis = 500
)

// refuse answers a request that was sent to no server. Reason is logged and is
// also the label value of the refusal metric (see countRefusal). keysAndValues
// are added to the log line.
func (r *Relayer) refuse(req *Request, route *router.Route, respond func(Reply), status int, reason string, retryAfter zinniatide.Millis, keysAndValues ...any) {
	klog.InfoS("request refused", append([]any{"step", "relay", "request", req.ID, "route", routeID(route), "status", status,
		"reason", reason, "retry-after-ms", retryAfter, "wait-ms", req.Timeout, "table", r.tableNumber()}, keysAndValues...)...)
	r.metrics.countRefusal(reason)
	respond(Reply{Status: status, RetryAfter: retryAfter})
}

func (r *Relayer) tableNumber() zinniatide.TicketNumber {
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

// selectionOptions returns the options for choosing a server now.
func (r *Relayer) selectionOptions(tried []*selector.Server) *selector.Options {
	o := &selector.Options{
		Zone: r.config.Zone, RemoteCost: r.config.RemoteCost, Now: r.deps.Clock.Now(), Tried: tried, Random: r.deps.Random,
		ZoneExcluded:  func(zone zinniatide.ZoneID) bool { return r.excludedZones[zone] },
		MaySendToCold: r.pacesColdServer,
	}
	r.excludeVersions(o)
	return o
}

// pacesColdServer reports whether this VM is the one that sends requests to a
// cold server. The rate limit of a cold server holds for all VMs together, so a
// single VM uses all of it. A VM that knows no active relay VMs sends none.
func (r *Relayer) pacesColdServer(s *selector.Server) bool {
	return picker.Pick(string(s.Server), r.activeRelays) == r.config.VM
}

// maxTrackedRoutes bounds the routes whose latencies are kept.
const maxTrackedRoutes = 4096

// latencyOf returns the latency statistics of a route.
func (r *Relayer) latencyOf(id zinniatide.RouteID) *selector.LatencyStats {
	l := r.routeLatencies[id]
	if l == nil {
		if len(r.routeLatencies) >= maxTrackedRoutes {
			clear(r.routeLatencies)
		}
		l = &selector.LatencyStats{}
		r.routeLatencies[id] = l
	}
	return l
}

// sendTo sends an exchange over the connection pool of a selected server.
func (r *Relayer) sendTo(s *selector.Server, x *transporter.Exchange) {
	known := r.servers[processKey{s.Server, s.StartedAt}]
	known.lastSentAt = r.deps.Clock.Now()
	known.pool.Send(x)
}

// Package admitter bounds the work in flight of each service and shares it
// among tenants and classes when callers want more than the backend servers
// can bear.
package admitter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/planner"
)

// Request asks for admission.
type Request struct {
	Service  zinniatide.ServiceID
	Tenant   zinniatide.TenantID
	Class    zinniatide.ClassID
	Cost     int // sub-requests
	Deadline zinniatide.Millis
}

// Dependencies are the parts that an Admitter works with.
type Dependencies struct {
	Clock      zinniatide.Clock
	Timer      timer.Timer
	Planner    *planner.Planner
	Registerer prometheus.Registerer
}

// Admitter admits requests. It is safe for concurrent use. A nil Admitter
// admits everything.
type Admitter struct {
	Dependencies
	config Config
	mu     sync.Mutex
	gates  map[zinniatide.ServiceID]*gate
	counts *prometheus.CounterVec
	limits *prometheus.GaugeVec
}

// New returns an Admitter.
func New(config Config, d Dependencies) *Admitter {
	a := &Admitter{
		Dependencies: d, config: config, gates: make(map[zinniatide.ServiceID]*gate),
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_admissions_total", Help: "Requests by result of admission: at once, after waiting or refused.",
		}, []string{"service", "tenant", "class", "result"}),
		limits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniatide_admission_limit", Help: "Sub-requests that this VM may have in flight.",
		}, []string{"service"}),
	}
	if d.Registerer != nil {
		d.Registerer.MustRegister(a.counts, a.limits)
	}
	return a
}

// Ticket is an admitted request. A nil Ticket does nothing.
type Ticket struct {
	admitter *Admitter
	gate     *gate
	item     *item
}

// Part gives back the part of one sub-request that has ended.
func (t *Ticket) Part() { t.release(1) }

// Release gives back what is left. It may be called more than once.
func (t *Ticket) Release() {
	if t != nil {
		t.release(t.item.Cost)
	}
}

func (t *Ticket) release(n int) {
	if t == nil {
		return
	}
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	t.gate.release(t.admitter.Clock.Now(), t.item, n)
}

// Admit blocks until the request may start. It refuses with CodeOverloaded and
// not-run as soon as the request can probably not end before its deadline.
func (a *Admitter) Admit(r Request) (*Ticket, *zinniatide.Refusal) {
	if a == nil {
		return nil, nil
	}
	index := a.Planner.Index()
	service := index.Service(r.Service)
	if service == nil {
		return nil, zinniatide.Refuse(zinniatide.CodeUnknownService, "service %q is not configured", r.Service)
	}
	done := make(chan struct{})
	it := &item{Request: r, ended: func() { close(done) }}
	now := a.Clock.Now()
	a.mu.Lock()
	g := a.gates[r.Service]
	if g == nil {
		g = newGate(&a.config)
		a.gates[r.Service] = g
	}
	g.limiter.resize(&a.config, service.Slots, len(index.ServingVMs))
	g.limiter.adjust(&a.config, now)
	a.limits.WithLabelValues(string(r.Service)).Set(g.limiter.limit)
	g.arrive(now, it, &service.Setting)
	state, patience := it.state, r.Deadline-now-zinniatide.Millis(g.service.high())
	a.mu.Unlock()
	result := "at-once"
	if state == waiting {
		result = "waited"
		state = a.wait(g, it, done, patience)
	}
	if state != admitted {
		a.count(&r, "refused")
		return nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "service %q cannot answer before the deadline", r.Service)
	}
	a.count(&r, result)
	return &Ticket{admitter: a, gate: g, item: it}, nil
}

// count relies on the gateway to accept only configured tenants and classes.
func (a *Admitter) count(r *Request, result string) {
	a.counts.WithLabelValues(string(r.Service), string(r.Tenant), string(r.Class), result).Inc()
}

// wait blocks until a queued request is admitted or refused, at most for
// patience.
func (a *Admitter) wait(g *gate, it *item, done <-chan struct{}, patience zinniatide.Millis) itemState {
	stop := a.Timer.After(patience, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		g.expire(a.Clock.Now(), it)
	})
	<-done
	stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	return it.state
}

// Observe adds the result of a sub-request. It carries the load of the backend
// server that the owner has counted.
func (a *Admitter) Observe(service zinniatide.ServiceID, r *zinniatide.SubResult) {
	if a == nil {
		return
	}
	// Other refusals, such as not-owner, do not mean that a server is busy.
	shed := r.Outcome == zinniatide.OutcomeNotRun && (r.Code == zinniatide.CodeShed || r.Code == zinniatide.CodeOverloaded)
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.gates[service]; g != nil {
		g.limiter.observe(r.InFlight, r.Queued, shed)
	}
}

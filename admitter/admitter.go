// Package admitter limits the work in flight of each service. During overload
// it shares the capacity of the backend servers among workspaces and request
// classes.
package admitter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/planner"
)

// Request describes a request for admission.
type Request struct {
	Service   zinniatide.ServiceID
	Workspace zinniatide.WorkspaceID
	Class     zinniatide.ClassID
	Cost      int // number of sub-requests
	Deadline  zinniatide.Millis
}

// Dependencies holds the components that an Admitter uses.
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
	config     Config
	mu         sync.Mutex
	queues     map[zinniatide.ServiceID]*admissionQueue
	admissions *prometheus.CounterVec
	limits     *prometheus.GaugeVec
}

// New returns an Admitter.
func New(config Config, d Dependencies) *Admitter {
	a := &Admitter{
		Dependencies: d, config: config, queues: make(map[zinniatide.ServiceID]*admissionQueue),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_admissions_total", Help: "Requests by result of admission: at once, after waiting or refused.",
		}, []string{"service", "tenant", "class", "result"}),
		limits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniatide_admission_limit", Help: "Sub-requests that this VM may have in flight.",
		}, []string{"service"}),
	}
	if d.Registerer != nil {
		d.Registerer.MustRegister(a.admissions, a.limits)
	}
	return a
}

// Permit represents an admitted request. The methods of a nil Permit do
// nothing.
type Permit struct {
	admitter *Admitter
	queue    *admissionQueue
	request  *trackedRequest
}

// ReleaseOne releases the cost of one sub-request that has ended.
func (t *Permit) ReleaseOne() { t.release(1) }

// Release releases the remaining cost. It may be called more than once.
func (t *Permit) Release() {
	if t != nil {
		t.release(t.request.Cost)
	}
}

func (t *Permit) release(cost int) {
	if t == nil {
		return
	}
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	t.queue.release(t.admitter.Clock.Now(), t.request, cost)
}

// Admit blocks until the request may start. It refuses the request with
// CodeOverloaded and not-run as soon as it would probably miss its deadline.
func (a *Admitter) Admit(r Request) (*Permit, *zinniatide.Refusal) {
	if a == nil {
		return nil, nil
	}
	index := a.Planner.Index()
	service := index.Service(r.Service)
	if service == nil {
		return nil, zinniatide.Refuse(zinniatide.CodeUnknownService, "service %q is not configured", r.Service)
	}
	decided := make(chan struct{})
	req := &trackedRequest{Request: r, onDecided: func() { close(decided) }}
	now := a.Clock.Now()
	a.mu.Lock()
	q := a.queues[r.Service]
	if q == nil {
		q = newAdmissionQueue(&a.config)
		a.queues[r.Service] = q
	}
	q.limiter.resize(&a.config, service.Slots, len(index.ServingVMs))
	q.limiter.adjust(&a.config, now)
	a.limits.WithLabelValues(string(r.Service)).Set(q.limiter.limit)
	q.enqueue(now, req, &service.Setting)
	state, timeout := req.state, r.Deadline-now-zinniatide.Millis(q.serviceTime.upperBound())
	a.mu.Unlock()
	result := "at-once"
	if state == stateWaiting {
		result = "waited"
		state = a.awaitDecision(q, req, decided, timeout)
	}
	if state != stateAdmitted {
		a.recordAdmission(&r, "refused")
		return nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "service %q cannot answer before the deadline", r.Service)
	}
	a.recordAdmission(&r, result)
	return &Permit{admitter: a, queue: q, request: req}, nil
}

// recordAdmission counts a decision. The number of series is limited because the
// gateway accepts only configured workspaces and classes.
func (a *Admitter) recordAdmission(r *Request, result string) {
	a.admissions.WithLabelValues(string(r.Service), string(r.Workspace), string(r.Class), result).Inc()
}

// awaitDecision blocks until a waiting request is admitted or refused. It refuses
// the request after timeout.
func (a *Admitter) awaitDecision(q *admissionQueue, req *trackedRequest, decided <-chan struct{}, timeout zinniatide.Millis) requestState {
	stop := a.Timer.After(timeout, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		q.expire(a.Clock.Now(), req)
	})
	<-decided
	stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	return req.state
}

// Observe records the result of a sub-request, which contains the load of the
// backend server as counted by its owner.
func (a *Admitter) Observe(service zinniatide.ServiceID, r *zinniatide.SubResult) {
	if a == nil {
		return
	}
	// Other refusals, such as not-owner, do not indicate a busy server.
	shed := r.Outcome == zinniatide.OutcomeNotRun && (r.Code == zinniatide.CodeShed || r.Code == zinniatide.CodeOverloaded)
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.queues[service]; q != nil {
		q.limiter.observe(r.InFlight, r.Queued, shed)
	}
}

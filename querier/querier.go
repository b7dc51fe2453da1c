// Package querier implements zinniatide.Querier: it fans a search out over the
// shards of one index version, hedges and retries slow or lost shards, and
// merges the answers.
package querier

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/admitter"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
)

// Dependencies are the parts that a Querier works with.
type Dependencies struct {
	Clock          zinniatide.Clock
	Timer          timer.Timer
	Configurations zinniatide.ConfigurationProvider
	Forwarder      zinniatide.Forwarder
	Planner        *planner.Planner
	Observer       *observer.Observer
	Admitter       *admitter.Admitter       // nil admits everything
	Quarantiner    *quarantiner.Quarantiner // nil sends no canaries
	Registerer     prometheus.Registerer
	// Random seeds the generators of the queries.
	Random *rand.Rand
}

// Querier implements zinniatide.Querier. It is safe for concurrent use.
type Querier struct {
	Dependencies
	config  Config
	metrics *metrics
	randoms sync.Pool // of *rand.Rand
	mu      sync.Mutex
	budgets map[zinniatide.ServiceID]*budgets
}

// New returns a Querier.
func New(config Config, d Dependencies) *Querier {
	q := &Querier{Dependencies: d, config: config, metrics: newMetrics(d.Registerer), budgets: make(map[zinniatide.ServiceID]*budgets)}
	q.randoms.New = func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		return rand.New(rand.NewPCG(q.Random.Uint64(), q.Random.Uint64()))
	}
	return q
}

// maxCallerID is how much of the caller's request id a sub-request carries.
const maxCallerID = zinniatide.MaxIDLength - 14

// subRequestID returns an id that no other query has. Callers may use an id
// twice, and the owner tells answers apart by it.
func subRequestID(id zinniatide.RequestID, random *rand.Rand) zinniatide.RequestID {
	if len(id) > maxCallerID {
		id = id[:maxCallerID]
	}
	return id + "~" + zinniatide.RequestID(strconv.FormatUint(random.Uint64(), 36))
}

func (q *Querier) budgetsOf(service zinniatide.ServiceID) *budgets {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.budgets[service]
	if b == nil {
		b = newBudgets(&q.config)
		q.budgets[service] = b
	}
	return b
}

// Search implements zinniatide.Querier.
func (q *Querier) Search(r zinniatide.SearchRequest) (zinniatide.SearchAnswer, error) {
	start := q.Clock.Now()
	answer, refusal := q.search(start, r)
	q.metrics.observe(&r, q.Clock.Now()-start, &answer, refusal)
	if refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	return answer, nil
}

func (q *Querier) search(now zinniatide.Millis, r zinniatide.SearchRequest) (zinniatide.SearchAnswer, *zinniatide.Refusal) {
	until := min(r.Deadline-q.config.DeadlineMargin, now+zinniatide.MaxRequestTime)
	if until <= now {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeDeadlinePassed, "the deadline of the search has passed")
	}
	if refusal := q.leased(now); refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	service := q.Planner.Index().Service(r.Service)
	if service == nil {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeUnknownService, "service %q is not configured", r.Service)
	}
	version := service.Best(0)
	if version == nil {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeNoVersion, "no backend server serves an allowed version of %q", r.Service)
	}
	r.Limit = min(max(r.Limit, 0), q.config.MaxLimit)
	run := q.newRun(r, until)
	if refusal := q.Quarantiner.Check(run.print); refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	ticket, refusal := q.Admitter.Admit(admitter.Request{
		Service: r.Service, Tenant: r.Tenant, Class: r.Class, Cost: len(version.Shards), Deadline: until})
	if refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	defer ticket.Release()
	pass, refusal := q.Quarantiner.Enter(run.print, until)
	if refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	// The request may have waited. Without a lease the configuration may have
	// changed, so nothing is sent.
	if refusal := q.leased(q.Clock.Now()); refusal != nil {
		pass.End()
		return zinniatide.SearchAnswer{}, refusal
	}
	return q.drive(run, pass, ticket)
}

func (q *Querier) leased(now zinniatide.Millis) *zinniatide.Refusal {
	if q.Configurations.LeaseUntil() > now {
		return nil
	}
	return zinniatide.Refuse(zinniatide.CodeNotServing, "this VM holds no lease")
}

func (q *Querier) newRun(r zinniatide.SearchRequest, until zinniatide.Millis) *run {
	return &run{
		config: &q.config, request: r, print: quarantiner.Fingerprint(r.Service, r.Query), until: until,
		index: q.Planner.Index, service: q.Observer.Service(r.Service), budgets: q.budgetsOf(r.Service),
	}
}

// drive runs r to its end on the calling goroutine.
func (q *Querier) drive(r *run, pass *quarantiner.Pass, ticket *admitter.Ticket) (zinniatide.SearchAnswer, *zinniatide.Refusal) {
	r.random = q.randoms.Get().(*rand.Rand)
	defer q.randoms.Put(r.random)
	d := &driver{querier: q, run: r, pass: pass, ticket: ticket}
	d.box.ready = make(chan struct{}, 1)
	d.running.Store(1)
	defer d.close()
	r.carrier = d
	r.canaryServers = pass.CanaryServers()
	r.canary = r.canaryServers > 0
	if !r.start(q.Clock.Now()) {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeNoVersion, "no backend server serves an allowed version of %q", r.request.Service)
	}
	d.loop()
	q.metrics.ended(r)
	return r.answer()
}

// answer returns the outcome of a run that is done. Of two generations the one
// with the better coverage counts; each is from one index version.
func (r *run) answer() (zinniatide.SearchAnswer, *zinniatide.Refusal) {
	best := r.current()
	for _, g := range r.gens {
		if g.merger.Keys() > best.merger.Keys() {
			best = g
		}
	}
	if r.deadly {
		return zinniatide.SearchAnswer{}, &zinniatide.Refusal{
			Code: zinniatide.CodeQuarantined, Outcome: zinniatide.OutcomeUnknown, Message: "the search crashed backend servers"}
	}
	if best.merger.Count() > 0 {
		return best.merger.Answer(), nil
	}
	refusal := zinniatide.Refuse(r.failure, "no shard of version %d of %q answered", best.version.Number, r.request.Service)
	if r.failure == "" {
		refusal.Code = zinniatide.CodeNoServer
	}
	if r.ran {
		refusal.Outcome = zinniatide.OutcomeUnknown
	}
	return zinniatide.SearchAnswer{}, refusal
}

// Package querier implements zinniatide.Querier. It sends a search to all shards
// of one index version, hedges slow shards, retries failed ones, and merges the
// answers.
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

// Dependencies holds the components that a Querier uses.
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
	// Random seeds the random generators of the searches.
	Random *rand.Rand
}

// Querier implements zinniatide.Querier. It is safe for concurrent use.
type Querier struct {
	Dependencies
	config     Config
	metrics    *metrics
	randomPool sync.Pool // of *rand.Rand
	mu         sync.Mutex
	budgets    map[zinniatide.ServiceID]*requestBudgets
}

// New returns a Querier.
func New(config Config, d Dependencies) *Querier {
	q := &Querier{Dependencies: d, config: config, metrics: newMetrics(d.Registerer), budgets: make(map[zinniatide.ServiceID]*requestBudgets)}
	q.randomPool.New = func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		return rand.New(rand.NewPCG(q.Random.Uint64(), q.Random.Uint64()))
	}
	return q
}

// maxRequestIDPrefix is the number of bytes of the caller's request id that are
// kept in the id of a sub-request. The other 14 bytes hold the random suffix.
const maxRequestIDPrefix = zinniatide.MaxIDLength - 14

// subRequestID returns a unique id. Callers may reuse an id, but owners match
// answers to requests by it.
func subRequestID(id zinniatide.RequestID, random *rand.Rand) zinniatide.RequestID {
	if len(id) > maxRequestIDPrefix {
		id = id[:maxRequestIDPrefix]
	}
	return id + "~" + zinniatide.RequestID(strconv.FormatUint(random.Uint64(), 36))
}

func (q *Querier) serviceBudgets(service zinniatide.ServiceID) *requestBudgets {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.budgets[service]
	if b == nil {
		b = newRequestBudgets(&q.config)
		q.budgets[service] = b
	}
	return b
}

// Search implements zinniatide.Querier.
func (q *Querier) Search(r zinniatide.SearchRequest) (zinniatide.SearchAnswer, error) {
	start := q.Clock.Now()
	answer, refusal := q.search(start, r)
	q.metrics.recordSearch(&r, q.Clock.Now()-start, &answer, refusal)
	if refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	return answer, nil
}

func (q *Querier) search(now zinniatide.Millis, r zinniatide.SearchRequest) (zinniatide.SearchAnswer, *zinniatide.Refusal) {
	deadline := min(r.Deadline-q.config.DeadlineMargin, now+zinniatide.MaxRequestTime)
	if deadline <= now {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeDeadlinePassed, "the deadline of the search has passed")
	}
	if refusal := q.checkLease(now); refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	service := q.Planner.Index().Service(r.Service)
	if service == nil {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeUnknownService, "service %q is not configured", r.Service)
	}
	indexVersion := service.PreferredVersion(0)
	if indexVersion == nil {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeNoVersion, "no backend server serves an allowed version of %q", r.Service)
	}
	r.Limit = min(max(r.Limit, 0), q.config.MaxHits)
	run := q.newRun(r, deadline)
	if refusal := q.Quarantiner.Check(run.fingerprint); refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	permit, refusal := q.Admitter.Admit(admitter.Request{
		Service: r.Service, Workspace: r.Workspace, Class: r.Class, Cost: len(indexVersion.Shards), Deadline: deadline})
	if refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	defer permit.Release()
	pass, refusal := q.Quarantiner.Acquire(run.fingerprint, deadline)
	if refusal != nil {
		return zinniatide.SearchAnswer{}, refusal
	}
	// The lease may have expired while the request waited for admission or for the
	// canary of another request. Without a lease the configuration may be
	// outdated, so no sub-request may be sent.
	if refusal := q.checkLease(q.Clock.Now()); refusal != nil {
		pass.End()
		return zinniatide.SearchAnswer{}, refusal
	}
	return q.execute(run, pass, permit)
}

func (q *Querier) checkLease(now zinniatide.Millis) *zinniatide.Refusal {
	if q.Configurations.LeaseUntil() > now {
		return nil
	}
	return zinniatide.Refuse(zinniatide.CodeNotServing, "this VM holds no lease")
}

func (q *Querier) newRun(r zinniatide.SearchRequest, deadline zinniatide.Millis) *searchRun {
	return &searchRun{
		config: &q.config, request: r, fingerprint: quarantiner.Fingerprint(r.Service, r.Query), deadline: deadline,
		index: q.Planner.Index, service: q.Observer.Service(r.Service), budgets: q.serviceBudgets(r.Service),
	}
}

// execute runs the search on the calling goroutine until it is done.
func (q *Querier) execute(r *searchRun, pass *quarantiner.Pass, permit *admitter.Permit) (zinniatide.SearchAnswer, *zinniatide.Refusal) {
	r.random = q.randomPool.Get().(*rand.Rand)
	defer q.randomPool.Put(r.random)
	d := &driver{querier: q, run: r, pass: pass, permit: permit}
	d.queue.ready = make(chan struct{}, 1)
	d.outstanding.Store(1)
	defer d.close()
	r.transport = d
	r.maxCanaryServers = pass.CanaryServers()
	r.canaryPhase = r.maxCanaryServers > 0
	if !r.start(q.Clock.Now()) {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeNoVersion, "no backend server serves an allowed version of %q", r.request.Service)
	}
	d.runLoop()
	q.metrics.recordSubRequests(r)
	return r.answer()
}

// answer returns the result of a search that is done. After a restart it uses
// the generation with the better coverage; answers of different index versions
// are never mixed.
func (r *searchRun) answer() (zinniatide.SearchAnswer, *zinniatide.Refusal) {
	best := r.current()
	for _, g := range r.generations {
		if g.merger.AnsweredKeys() > best.merger.AnsweredKeys() {
			best = g
		}
	}
	if r.quarantined {
		return zinniatide.SearchAnswer{}, &zinniatide.Refusal{
			Code: zinniatide.CodeQuarantined, Outcome: zinniatide.OutcomeUnknown, Message: "the search crashed backend servers"}
	}
	if best.merger.AnsweredShards() > 0 {
		return best.merger.Answer(), nil
	}
	refusal := zinniatide.Refuse(r.lastFailure, "no shard of version %d of %q answered", best.version.Number, r.request.Service)
	if r.lastFailure == "" {
		refusal.Code = zinniatide.CodeNoServer
	}
	if r.mayHaveRun {
		refusal.Outcome = zinniatide.OutcomeUnknown
	}
	return zinniatide.SearchAnswer{}, refusal
}

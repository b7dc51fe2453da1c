// Package prioritizer decides which requests run when the capacity of backend
// servers is short: by priority, and by equal shares of workspaces within a priority.
// It reads no clock and sends no messages.
package prioritizer

import (
	"math"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/limiter"
)

// Reasons of refusals.
const (
	// ReasonOverloaded is used if the limit of concurrent requests is reached.
	ReasonOverloaded = "overloaded"
	// ReasonPriority is used if what is left of the limit is kept for requests of a
	// higher priority.
	ReasonPriority = "overloaded: higher priorities first"
	// ReasonShare is used if the workspace has its share of the capacity.
	ReasonShare = "overloaded: workspace has its share"
)

// Prioritizer implements zinniatide.CapacityAdmitter. It is guarded by the caller's
// lock.
type Prioritizer struct {
	pools     map[zinniatide.ServiceID]*pool // by the first service of each
	byService map[zinniatide.ServiceID]*pool
}

// New returns a Prioritizer without a routing table, which admits all requests.
func New() *Prioritizer { return &Prioritizer{} }

// SetRouting implements zinniatide.CapacityAdmitter. Services that are shards of one
// gathered route form a pool. A pool that keeps its first service keeps its state.
func (p *Prioritizer) SetRouting(routing *zinniatide.Routing) {
	parents := make(map[zinniatide.ServiceID]zinniatide.ServiceID, len(routing.Services))
	for i := range routing.Services {
		parents[routing.Services[i].Service] = routing.Services[i].Service
	}
	find := func(s zinniatide.ServiceID) zinniatide.ServiceID {
		for parents[s] != s {
			parents[s] = parents[parents[s]]
			s = parents[s]
		}
		return s
	}
	for i := range routing.Routes {
		shards := routing.Routes[i].Shards
		for _, shard := range shards {
			if _, known := parents[shard]; !known {
				parents[shard] = shard
			}
			a, b := find(shards[0]), find(shard)
			parents[max(a, b)] = min(a, b)
		}
	}
	pools := make(map[zinniatide.ServiceID]*pool, len(p.pools))
	p.byService = make(map[zinniatide.ServiceID]*pool, len(parents))
	for service := range parents {
		first := find(service)
		if pools[first] == nil {
			pools[first] = p.pools[first]
			if pools[first] == nil {
				pools[first] = newPool()
			}
			pools[first].gatherRoutes, pools[first].maxShards = 0, 1
		}
		p.byService[service] = pools[first]
	}
	for i := range routing.Routes {
		if shards := routing.Routes[i].Shards; len(shards) > 0 {
			shared := p.byService[shards[0]]
			shared.gatherRoutes++
			shared.maxShards = max(shared.maxShards, len(shards))
		}
	}
	for _, shared := range pools {
		shared.applyInitialLimit()
	}
	p.pools = pools
}

// Admit implements zinniatide.CapacityAdmitter.
func (p *Prioritizer) Admit(r zinniatide.CapacityRequest, now zinniatide.Millis) zinniatide.CapacityDecision {
	service, shards := r.Service, 1
	if r.Route.Gathers() {
		service, shards = r.Route.Shards[0], len(r.Route.Shards)
	}
	shared := p.byService[service]
	if shared == nil {
		return zinniatide.CapacityDecision{Permit: uncounted{}}
	}
	cost := float64(shards) / float64(shared.maxShards)
	return shared.admit(&r, cost, now)
}

// RecordPriority implements zinniatide.CapacityAdmitter.
func (p *Prioritizer) RecordPriority(service zinniatide.ServiceID, priority int, now zinniatide.Millis) {
	if shared := p.byService[service]; shared != nil {
		shared.classOf(priority, now).seenAt = now
	}
}

// hedgeMemory is how long a priority counts as present for hedges. It is the second
// that the requirements state.
const hedgeMemory zinniatide.Millis = 1000

// LeavesHedges implements zinniatide.CapacityAdmitter. Only the lowest priority leaves
// hedges to others, and only while there are others.
func (p *Prioritizer) LeavesHedges(service zinniatide.ServiceID, priority int, now zinniatide.Millis) bool {
	shared := p.byService[service]
	if shared == nil {
		return false
	}
	lowest, others := math.MinInt, false
	for _, c := range shared.classes {
		if now-c.seenAt <= hedgeMemory {
			lowest = max(lowest, c.priority)
			others = others || c.priority < priority
		}
	}
	return others && priority >= lowest
}

// Short returns the number of pools whose capacity is short.
func (p *Prioritizer) Short(now zinniatide.Millis) int {
	n := 0
	for _, shared := range p.pools {
		if shared.isShort(now) {
			n++
		}
	}
	return n
}

// uncounted is the permit of a request that uses no known pool.
type uncounted struct{}

func (uncounted) Observe(zinniatide.CapacityResult, zinniatide.Millis) {}
func (uncounted) End()                                                 {}

// promptShare is the share of the target latency within which an answer shows that
// there is more capacity. Above it, more requests would only make the queues of servers
// longer.
const promptShare = 0.5

// permit is the capacity that a request holds.
type permit struct {
	pool       *pool
	class      *class
	cost       float64
	target     zinniatide.Millis
	admittedAt zinniatide.Millis
	// share is the part of the limit that the class could use.
	share float64
	// charged is the workspace whose share the request has used, or nil.
	charged *workspace
}

// Observe implements zinniatide.CapacityPermit.
func (p *permit) Observe(result zinniatide.CapacityResult, now zinniatide.Millis) {
	sample := limiter.Late
	switch {
	case result != zinniatide.CapacityInTime:
	case p.target > 0 && float64(now-p.admittedAt) > promptShare*float64(p.target):
		sample = limiter.InTime
	default:
		sample = limiter.Prompt
	}
	p.pool.observe(p.class, sample, p.share, p.target, now)
	if result == zinniatide.CapacityFailed && p.charged != nil {
		p.class.shares.refund(p.charged)
	}
}

// End implements zinniatide.CapacityPermit.
func (p *permit) End() {
	p.class.permits--
	p.class.running -= p.cost
	if p.class.permits == 0 {
		p.class.running = 0 // drops rounding errors
	}
}

var _ zinniatide.CapacityAdmitter = (*Prioritizer)(nil)
var _ zinniatide.CapacityPermit = (*permit)(nil)

// newLimiter returns the limiter of a class. Requests of plain routes have no limit
// until some end late.
func newLimiter(initial float64) *limiter.Limiter { return limiter.NewWithLimit(initial) }

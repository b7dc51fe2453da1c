package prioritizer

import (
	"cmp"
	"math"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/limiter"
)

const (
	// keptShare is the share of a limit that requests of the next lower priority may use
	// while a higher one is present. The rest is free when an urgent request arrives; an
	// urgent load of more than the rest pushes the others out as they end.
	keptShare = 0.75
	// minLowerShare is the part of the running requests that lower classes have at least
	// if they are the cause of late requests.
	minLowerShare = 0.25
	// idleShare is the part of a limit below which requests are admitted whatever the share
	// of their workspace, because capacity would be left unused.
	idleShare = 0.7
	// presence is how long after its last request a priority counts as present. Urgent
	// requests that arrive once a second still find room.
	presence zinniatide.Millis = 2000
	// shortMemory is how long capacity counts as short after the limit was reached. Shares
	// are measured over several windows in that time.
	shortMemory zinniatide.Millis = 1000
	// maxClasses bounds the priorities that are told apart in a pool. Further ones are
	// treated as the lowest known.
	maxClasses = 32
)

// pool is the capacity of services that requests use together.
type pool struct {
	gatherRoutes int
	// maxShards is the size of the largest gathered route. A request costs its number of
	// shards in relation to it.
	maxShards    int
	initialLimit float64
	reachedAt    zinniatide.Millis
	classes      []*class // by priority, the most urgent first
}

func newPool() *pool { return &pool{reachedAt: math.MinInt64 / 2} }

// applyInitialLimit sets the limit at which an undisturbed pool begins to refuse: that
// of all its gathered routes, or none.
func (p *pool) applyInitialLimit() {
	initial := math.Inf(1)
	if p.gatherRoutes > 0 {
		initial = limiter.InitialLimit * float64(p.gatherRoutes)
	}
	if initial == p.initialLimit {
		return
	}
	p.initialLimit = initial
	for _, c := range p.classes {
		c.limit = newLimiter(initial)
	}
}

// classOf returns the class of a priority.
func (p *pool) classOf(priority int, now zinniatide.Millis) *class {
	i, found := slices.BinarySearchFunc(p.classes, priority, func(c *class, priority int) int { return cmp.Compare(c.priority, priority) })
	if found {
		return p.classes[i]
	}
	if len(p.classes) >= maxClasses {
		p.classes = slices.DeleteFunc(p.classes, func(c *class) bool { return now-c.seenAt > presence && c.permits == 0 })
		if len(p.classes) >= maxClasses {
			return p.classes[len(p.classes)-1]
		}
		i, _ = slices.BinarySearchFunc(p.classes, priority, func(c *class, priority int) int { return cmp.Compare(c.priority, priority) })
	}
	c := newClass(priority, p.initialLimit)
	p.classes = slices.Insert(p.classes, i, c)
	return c
}

// limits returns the limit of the pool for a class, and the share of it that is not kept
// for higher priorities. A class is limited by late requests of its own and of
// the higher priorities that are present, but not by those of lower ones.
func (p *pool) limits(c *class, now zinniatide.Millis) (limit, share float64) {
	limit, share = math.Inf(1), 1
	for _, higher := range p.classes {
		if higher.priority > c.priority {
			break
		}
		if higher != c && now-higher.seenAt > presence {
			continue
		}
		limit = min(limit, higher.limit.Limit(now))
		if higher != c {
			share *= keptShare
		}
	}
	if !p.isShort(now) {
		share = 1
	}
	return limit, share
}

// runningUpTo returns the cost of the running requests of a priority and of higher ones.
// Lower ones do not count: an urgent request runs also while they fill the servers.
func (p *pool) runningUpTo(priority int) float64 {
	running := 0.0
	for _, c := range p.classes {
		if c.priority > priority {
			break
		}
		running += c.running
	}
	return running
}

// observe adjusts the limits to the result of a request. While lower classes have a
// considerable part of the running requests, a late request lowers their limits instead
// of that of its own class.
func (p *pool) observe(c *class, sample limiter.Sample, share float64, target, now zinniatide.Millis) {
	running := p.runningUpTo(c.priority)
	all := p.runningUpTo(math.MaxInt)
	lowerCause := all-running >= minLowerShare*all && all > running
	if sample != limiter.Late || !lowerCause {
		c.limit.Observe(sample, running/share, target, now)
	}
	for _, lower := range p.classes {
		if lowerCause && lower.priority > c.priority && lower.running > 0 {
			lower.limit.ObserveOther(sample == limiter.Late, p.runningUpTo(lower.priority), target, now)
		}
	}
}

// isShort reports whether the limit was reached a short time ago or has fallen.
func (p *pool) isShort(now zinniatide.Millis) bool {
	return now-p.reachedAt <= shortMemory || p.hasFallen(now)
}

// hasFallen reports whether a limit is below its initial value.
func (p *pool) hasFallen(now zinniatide.Millis) bool {
	for _, c := range p.classes {
		if c.limit.HasFallen(now) {
			return true
		}
	}
	return false
}

func (p *pool) admit(r *zinniatide.CapacityRequest, cost float64, now zinniatide.Millis) zinniatide.CapacityDecision {
	c := p.classOf(r.Priority, now)
	c.seenAt = now
	limit, share := p.limits(c, now)
	if !r.Route.Gathers() && !p.hasFallen(now) {
		limit = math.Inf(1) // only gathered requests have an initial limit
	}
	running := p.runningUpTo(c.priority)
	if running >= limit {
		p.reachedAt = now
	}
	var charged *workspace
	if p.isShort(now) {
		w := c.shares.arrive(r.Workspace, now)
		reason := ""
		switch {
		case running >= limit:
			reason = ReasonOverloaded
		case running >= share*limit && running > 0:
			reason = ReasonPriority
		case now-c.reachedAt <= shortMemory && running >= idleShare*share*limit && !w.hasCredit():
			reason = ReasonShare
		}
		if reason != "" {
			c.limit.RecordRefusal(now)
			if reason != ReasonShare {
				c.reachedAt = now
			}
			return zinniatide.CapacityDecision{Reason: reason, RetryAfter: c.shares.retryAfter(r.Route.TargetLatency, now)}
		}
		c.shares.admit(w)
		charged = w
	} else {
		c.shares.reset(now)
	}
	c.running += cost
	c.permits++
	return zinniatide.CapacityDecision{Permit: &permit{pool: p, class: c, cost: cost, target: r.Route.TargetLatency, admittedAt: now, share: share, charged: charged}}
}

// class holds the requests of one priority in a pool.
type class struct {
	priority int
	limit    *limiter.Limiter
	running  float64 // cost of the running requests
	permits  int     // number of the running requests
	seenAt   zinniatide.Millis
	// reachedAt is when a request was last refused because the limit was reached. Shares
	// hold for a short time after it.
	reachedAt zinniatide.Millis
	shares    *shares
}

func newClass(priority int, initialLimit float64) *class {
	return &class{priority: priority, limit: newLimiter(initialLimit), reachedAt: math.MinInt64 / 2, shares: newShares()}
}

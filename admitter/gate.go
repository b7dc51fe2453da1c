package admitter

import "zinniatide.example/zinniatide"

// itemState tells what became of a request.
type itemState uint8

const (
	waiting itemState = iota
	admitted
	refused
)

// item is one request at a gate.
type item struct {
	Request
	state      itemState
	admittedAt zinniatide.Millis
	left       int // units of Cost that are not released
	class      *classQueue
	ended      func() // called once the state is no longer waiting
}

// classQueue holds the waiting requests of one class of one tenant.
type classQueue struct {
	tenant *tenantQueue
	weight float64
	// virtual is the amount of work that the class has had, divided by its
	// weight.
	virtual float64
	items   []*item
	cost    int
}

// tenantQueue holds the waiting requests of one tenant.
type tenantQueue struct {
	share   float64
	virtual float64
	clock   float64 // virtual time among the classes of the tenant
	classes map[zinniatide.ClassID]*classQueue
	count   int
	cost    int
}

// gate decides about the requests of one service. It is pure: time is passed
// in, and the caller serialises access.
//
// Tenants, and classes within a tenant, are served by start-time fair queueing:
// the backlogged queue with the least work per share is next. A queue that
// becomes backlogged starts at the virtual time of the last request served, so
// idle tenants neither save up a claim nor cost anything.
type gate struct {
	config  *Config
	limiter limiter
	tenants map[zinniatide.TenantID]*tenantQueue
	clock   float64
	count   int
	running int // units of Cost in flight
	// Drain rate and time of service, for the early refusal.
	rate    rate
	service spread
	allowed spread // time from arrival to deadline
}

func newGate(c *Config) *gate {
	return &gate{config: c, tenants: make(map[zinniatide.TenantID]*tenantQueue)}
}

// queue returns the queue of a tenant's class, with the weights of setting.
func (g *gate) queue(r *Request, setting *zinniatide.ServiceSetting) *classQueue {
	t := g.tenants[r.Tenant]
	if t == nil {
		t = &tenantQueue{classes: make(map[zinniatide.ClassID]*classQueue)}
		g.tenants[r.Tenant] = t
	}
	t.share = float64(max(setting.Tenants[r.Tenant].Share, 1))
	c := t.classes[r.Class]
	if c == nil {
		c = &classQueue{tenant: t}
		t.classes[r.Class] = c
	}
	c.weight = float64(max(setting.Classes[r.Class].Weight, 1))
	return c
}

// arrive takes a request. Its state is waiting when it has been queued.
func (g *gate) arrive(now zinniatide.Millis, it *item, setting *zinniatide.ServiceSetting) {
	c := g.queue(&it.Request, setting)
	it.class = c
	g.allowed.add(float64(it.Deadline - now))
	g.limiter.cost += 0.1 * (float64(it.Cost) - g.limiter.cost)
	g.limiter.tension = g.service.high() / max(g.allowed.mean, 1)
	if c.tenant.count == 0 {
		c.tenant.virtual = max(c.tenant.virtual, g.clock)
	}
	if len(c.items) == 0 {
		c.virtual = max(c.virtual, c.tenant.clock)
	}
	if g.count == 0 && g.fits(it) {
		g.admit(now, it)
		return
	}
	g.limiter.blocked = true
	if g.hopeless(now, it) || !g.room(c) {
		it.state = refused
		return
	}
	c.items = append(c.items, it)
	g.add(c, 1, it.Cost)
	g.serve(now)
}

func (g *gate) add(c *classQueue, count, cost int) {
	g.count += count
	c.cost += cost
	c.tenant.count += count
	c.tenant.cost += cost
}

// fits reports whether a request may start. One request may always run, also
// when it needs more than the limit.
func (g *gate) fits(it *item) bool {
	return g.running == 0 || float64(g.running+it.Cost) <= g.limiter.limit
}

// admit starts a request and charges its queue.
func (g *gate) admit(now zinniatide.Millis, it *item) {
	c, t := it.class, it.class.tenant
	g.clock = t.virtual
	t.virtual += float64(it.Cost) / t.share
	t.clock = c.virtual
	c.virtual += float64(it.Cost) / c.weight
	it.state, it.admittedAt, it.left = admitted, now, it.Cost
	g.running += it.Cost
}

// hopeless reports whether the request would probably not end before its
// deadline. The work ahead of it drains at the part of the rate that its queue
// gets among the queues that are backlogged now.
func (g *gate) hopeless(now zinniatide.Millis, it *item) bool {
	total := float64(it.Deadline - now)
	left := total - g.service.high()
	if left <= 0 {
		return true
	}
	perMilli := g.rate.at(now)
	if perMilli <= 0 {
		return false
	}
	if taken := g.service.high(); taken > 0 && taken < g.config.LooseBelow*total {
		return false // the limit still grows, so the rate is not that of the servers
	}
	c := it.class
	shares := c.tenant.share
	for _, t := range g.tenants {
		if t != c.tenant && t.count > 0 {
			shares += t.share
		}
	}
	weights := c.weight
	for _, other := range c.tenant.classes {
		if other != c && len(other.items) > 0 {
			weights += other.weight
		}
	}
	part := c.tenant.share / shares * c.weight / weights
	return float64(c.cost+it.Cost)/(perMilli*part) > left
}

// room makes room for one more request. A full queue takes it only from a
// tenant that uses less than its part, at the cost of the newest request of
// the tenant that is most over its part.
func (g *gate) room(c *classQueue) bool {
	if g.count < g.config.QueueLimit {
		return true
	}
	worst := c.tenant
	for _, t := range g.tenants {
		if float64(t.count)/t.share > float64(worst.count)/worst.share {
			worst = t
		}
	}
	if worst == c.tenant || float64(c.tenant.count+1)/c.tenant.share > float64(worst.count)/worst.share {
		return false
	}
	var longest *classQueue
	for _, q := range worst.classes {
		if longest == nil || float64(len(q.items))/q.weight > float64(len(longest.items))/longest.weight {
			longest = q
		}
	}
	last := longest.items[len(longest.items)-1]
	longest.items = longest.items[:len(longest.items)-1]
	g.refuse(last)
	return true
}

// refuse ends an item that was already taken off its queue.
func (g *gate) refuse(it *item) {
	it.state = refused
	g.add(it.class, -1, -it.Cost)
	if it.ended != nil {
		it.ended()
	}
}

// serve starts waiting requests as long as they fit.
func (g *gate) serve(now zinniatide.Millis) {
	for g.count > 0 {
		c := g.next()
		it := c.items[0]
		// A request that cannot end in time any more makes room for others.
		late := float64(it.Deadline-now) < g.service.high()
		if !late && !g.fits(it) {
			return
		}
		c.items[0] = nil
		c.items = c.items[1:]
		if late {
			g.refuse(it)
			continue
		}
		g.add(c, -1, -it.Cost)
		g.admit(now, it)
		if it.ended != nil {
			it.ended()
		}
	}
}

// next returns the queue that is to be served. There is one.
func (g *gate) next() *classQueue {
	var tenant *tenantQueue
	for _, t := range g.tenants {
		if t.count > 0 && (tenant == nil || t.virtual < tenant.virtual) {
			tenant = t
		}
	}
	var class *classQueue
	for _, c := range tenant.classes {
		if len(c.items) > 0 && (class == nil || c.virtual < class.virtual) {
			class = c
		}
	}
	return class
}

// expire refuses a request that is still waiting.
func (g *gate) expire(now zinniatide.Millis, it *item) {
	if it.state != waiting {
		return
	}
	c := it.class
	for i := range c.items {
		if c.items[i] == it {
			c.items = append(c.items[:i], c.items[i+1:]...)
			break
		}
	}
	g.refuse(it)
	g.serve(now)
}

// release gives back n units of an admitted request. The last unit ends it.
func (g *gate) release(now zinniatide.Millis, it *item, n int) {
	n = min(n, it.left)
	if n <= 0 {
		return
	}
	it.left -= n
	g.running -= n
	g.rate.add(now, n, g.count > 0)
	if it.left == 0 {
		g.service.add(float64(now - it.admittedAt))
	}
	g.serve(now)
}

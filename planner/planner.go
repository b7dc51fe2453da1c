package planner

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
)

// farPenalty multiplies the score of a replica in another zone. It is small,
// so that a near server with one more request in flight loses to a far one.
const farPenalty = 1.25

// buildShare is the inverse of the share of time that computing the index may
// take. At 7,300 servers one computation takes about 4 ms, and control work may
// take 3.8% of a core.
const buildShare = 50

// DefaultRebuildInterval bounds how often the index is computed. A catalogue
// changes with every announcement, and an index of thousands of servers takes
// milliseconds. It is far below the 3 s in which a drained server must get no
// more work.
const DefaultRebuildInterval zinniatide.Millis = 20

// Planner keeps the index up to date. It is safe for concurrent use.
type Planner struct {
	configurations zinniatide.ConfigurationProvider
	catalogs       zinniatide.CatalogProvider
	table          *observer.Observer
	zone           zinniatide.ZoneID
	clock          zinniatide.Clock
	interval       zinniatide.Millis
	mu             sync.Mutex
	index          atomic.Pointer[Index]
	// nextBuild is the earliest time of the next computation.
	nextBuild atomic.Int64
}

// New returns a Planner for a VM in zone. The index is computed at most once
// per interval.
func New(configurations zinniatide.ConfigurationProvider, catalogs zinniatide.CatalogProvider, table *observer.Observer,
	zone zinniatide.ZoneID, clock zinniatide.Clock, interval zinniatide.Millis) *Planner {
	return &Planner{configurations: configurations, catalogs: catalogs, table: table, zone: zone, clock: clock, interval: interval}
}

// Index returns the index of the newest configuration and catalogue, or one
// that is at most the rebuild interval behind.
func (p *Planner) Index() *Index {
	x := p.index.Load()
	if x == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if x = p.index.Load(); x == nil {
			x = p.build()
		}
		return x
	}
	if !p.stale(x) || !p.mu.TryLock() {
		return x
	}
	defer p.mu.Unlock()
	if x = p.index.Load(); p.stale(x) {
		x = p.build()
	}
	return x
}

func (p *Planner) stale(x *Index) bool {
	if x.configuration == p.configurations.Configuration() && x.catalog == p.catalogs.Catalog() {
		return false
	}
	return int64(p.clock.Now()) >= p.nextBuild.Load()
}

func (p *Planner) build() *Index {
	start := p.clock.Now()
	catalog := p.catalogs.Catalog()
	x := Build(p.configurations.Configuration(), catalog, p.zone, p.table, start)
	if p.table.Len() > 2*len(catalog.Servers) {
		keep := make(map[zinniatide.BackendServerID]struct{}, len(catalog.Servers))
		for i := range catalog.Servers {
			keep[catalog.Servers[i].Server] = struct{}{}
		}
		p.table.Retain(keep)
	}
	end := p.clock.Now()
	p.nextBuild.Store(int64(end + max(p.interval, buildShare*(end-start))))
	p.index.Store(x)
	return x
}

// Pick chooses a replica of a shard by the power of two choices: the better of
// two random replicas, by in-flight count and latency. Servers in barred are
// left out, and servers that could not be reached a moment ago are chosen only
// when there is no other. It returns nil when no replica is left, and does not
// allocate.
func Pick(v *Version, shard int, barred []zinniatide.BackendServerID, now zinniatide.Millis, random *rand.Rand) *Replica {
	c := candidates{replicas: v.Replicas(shard), barred: barred, now: now}
	free := c.count()
	switch free {
	case 0:
		return nil
	case 1:
		return c.nth(0)
	}
	a := random.IntN(free)
	b := random.IntN(free - 1)
	if b >= a {
		b++
	}
	first, second := c.nth(a), c.nth(b)
	if score(second, now) < score(first, now) {
		return second
	}
	return first
}

// PickRandom chooses a random replica of a shard, by the same rules otherwise.
func PickRandom(v *Version, shard int, barred []zinniatide.BackendServerID, now zinniatide.Millis, random *rand.Rand) *Replica {
	c := candidates{replicas: v.Replicas(shard), barred: barred, now: now}
	free := c.count()
	if free == 0 {
		return nil
	}
	return c.nth(random.IntN(free))
}

// candidates are the replicas of a shard among which a choice is made.
type candidates struct {
	replicas  []Replica
	barred    []zinniatide.BackendServerID
	now       zinniatide.Millis
	desperate bool // every replica that is not barred is paused
}

func (c *candidates) free(r *Replica) bool {
	if len(c.barred) > 0 && slices.Contains(c.barred, r.Server) {
		return false
	}
	return c.desperate || !r.Record.Paused(c.now)
}

func (c *candidates) count() int {
	if n := c.countFree(); n > 0 {
		return n
	}
	c.desperate = true
	return c.countFree()
}

func (c *candidates) countFree() int {
	n := 0
	for i := range c.replicas {
		if c.free(&c.replicas[i]) {
			n++
		}
	}
	return n
}

// nth returns the candidate with the given number, or another one when servers
// have been paused since they were counted.
func (c *candidates) nth(n int) *Replica {
	var last *Replica
	for i := range c.replicas {
		if !c.free(&c.replicas[i]) {
			continue
		}
		last = &c.replicas[i]
		if n == 0 {
			return last
		}
		n--
	}
	if last == nil && !c.desperate {
		c.desperate = true
		return c.nth(0)
	}
	return last
}

func score(r *Replica, now zinniatide.Millis) float64 {
	s := r.Record.Score(now, r.Slots)
	if !r.Near {
		s *= farPenalty
	}
	return s
}

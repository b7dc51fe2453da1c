package planner

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
)

// remoteZonePenalty multiplies the score of a replica in another zone. At equal
// latency and slots, a replica of another zone with at most two requests in flight
// is preferred to a local one with one more.
const remoteZonePenalty = 1.25

// buildIntervalFactor limits builds to about 2% of a core, of the 3.8% that all
// control work may use: the next build starts at the earliest after 50 times the
// duration of the last one. At 7,300 servers a build takes about 4 ms, so the
// interval is about 200 ms.
const buildIntervalFactor = 50

// DefaultRebuildInterval is the shortest interval between index builds when
// builds are fast. The catalog changes with every announcement, and building an
// index of thousands of servers takes milliseconds. The interval is far below the
// 3 s after which a draining server must not get new work.
const DefaultRebuildInterval zinniatide.Millis = 20

// Planner builds the index from the configuration and the catalog and caches it.
// It is safe for concurrent use.
type Planner struct {
	configurations  zinniatide.ConfigurationProvider
	catalogs        zinniatide.CatalogProvider
	observer        *observer.Observer
	zone            zinniatide.ZoneID
	clock           zinniatide.Clock
	rebuildInterval zinniatide.Millis
	mu              sync.Mutex
	index           atomic.Pointer[Index]
	// nextBuildAt is the earliest time of the next build.
	nextBuildAt atomic.Int64
}

// New returns a Planner for a VM in zone. Index builds are separated by at least
// the longer of rebuildInterval and buildIntervalFactor times the duration of the
// last build.
func New(configurations zinniatide.ConfigurationProvider, catalogs zinniatide.CatalogProvider, observations *observer.Observer,
	zone zinniatide.ZoneID, clock zinniatide.Clock, rebuildInterval zinniatide.Millis) *Planner {
	return &Planner{configurations: configurations, catalogs: catalogs, observer: observations, zone: zone, clock: clock, rebuildInterval: rebuildInterval}
}

// Index returns the index of the latest configuration and catalog. It may lag
// behind them by the longer of rebuildInterval and buildIntervalFactor times the
// duration of the last build, and callers get the previous index while another
// goroutine rebuilds it.
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
	return int64(p.clock.Now()) >= p.nextBuildAt.Load()
}

func (p *Planner) build() *Index {
	start := p.clock.Now()
	catalog := p.catalogs.Catalog()
	x := BuildIndex(p.configurations.Configuration(), catalog, p.zone, p.observer, start)
	if p.observer.Len() > 2*len(catalog.Servers) {
		keep := make(map[zinniatide.BackendServerID]struct{}, len(catalog.Servers))
		for i := range catalog.Servers {
			keep[catalog.Servers[i].Server] = struct{}{}
		}
		p.observer.RetainServers(keep)
	}
	end := p.clock.Now()
	p.nextBuildAt.Store(int64(end + max(p.rebuildInterval, buildIntervalFactor*(end-start))))
	p.index.Store(x)
	return x
}

// PickReplica chooses a replica of a shard by the power of two choices: it
// takes two random replicas and returns the one with the lower score, which is
// based on requests in flight and latency. Servers in excluded are never
// chosen, and paused ones (see observer.Server.Paused) only when there is no
// other. PickReplica returns nil when no replica is left. It does not allocate.
func PickReplica(v *Version, shard int, excluded []zinniatide.BackendServerID, now zinniatide.Millis, random *rand.Rand) *Replica {
	c := candidates{replicas: v.Replicas(shard), excluded: excluded, now: now}
	count := c.count()
	switch count {
	case 0:
		return nil
	case 1:
		return c.nth(0)
	}
	a := random.IntN(count)
	b := random.IntN(count - 1)
	if b >= a {
		b++
	}
	first, second := c.nth(a), c.nth(b)
	if score(second, now) < score(first, now) {
		return second
	}
	return first
}

// PickRandomReplica is like PickReplica but chooses a random replica.
func PickRandomReplica(v *Version, shard int, excluded []zinniatide.BackendServerID, now zinniatide.Millis, random *rand.Rand) *Replica {
	c := candidates{replicas: v.Replicas(shard), excluded: excluded, now: now}
	count := c.count()
	if count == 0 {
		return nil
	}
	return c.nth(random.IntN(count))
}

// candidates selects the replicas of a shard that may be chosen.
type candidates struct {
	replicas      []Replica
	excluded      []zinniatide.BackendServerID
	now           zinniatide.Millis
	includePaused bool // set when every replica that is not excluded is paused
}

func (c *candidates) eligible(r *Replica) bool {
	if len(c.excluded) > 0 && slices.Contains(c.excluded, r.Server) {
		return false
	}
	return c.includePaused || !r.Record.Paused(c.now)
}

func (c *candidates) count() int {
	if n := c.countEligible(); n > 0 {
		return n
	}
	c.includePaused = true
	return c.countEligible()
}

func (c *candidates) countEligible() int {
	n := 0
	for i := range c.replicas {
		if c.eligible(&c.replicas[i]) {
			n++
		}
	}
	return n
}

// nth returns the eligible replica with index n, or another one when servers were
// paused after count was called.
func (c *candidates) nth(n int) *Replica {
	var last *Replica
	for i := range c.replicas {
		if !c.eligible(&c.replicas[i]) {
			continue
		}
		last = &c.replicas[i]
		if n == 0 {
			return last
		}
		n--
	}
	if last == nil && !c.includePaused {
		c.includePaused = true
		return c.nth(0)
	}
	return last
}

func score(r *Replica, now zinniatide.Millis) float64 {
	s := r.Record.Score(now, r.Slots)
	if !r.SameZone {
		s *= remoteZonePenalty
	}
	return s
}

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
// left out. It returns nil when no replica is left, and does not allocate.
func Pick(v *Version, shard int, barred []zinniatide.BackendServerID, now zinniatide.Millis, random *rand.Rand) *Replica {
	replicas := v.Replicas(shard)
	free := countFree(replicas, barred)
	switch free {
	case 0:
		return nil
	case 1:
		return nth(replicas, barred, 0)
	}
	a := random.IntN(free)
	b := random.IntN(free - 1)
	if b >= a {
		b++
	}
	first, second := nth(replicas, barred, a), nth(replicas, barred, b)
	if score(second, now) < score(first, now) {
		return second
	}
	return first
}

// PickRandom chooses a random replica of a shard, by the same rules otherwise.
func PickRandom(v *Version, shard int, barred []zinniatide.BackendServerID, _ zinniatide.Millis, random *rand.Rand) *Replica {
	replicas := v.Replicas(shard)
	free := countFree(replicas, barred)
	if free == 0 {
		return nil
	}
	return nth(replicas, barred, random.IntN(free))
}

func countFree(replicas []Replica, barred []zinniatide.BackendServerID) int {
	free := len(replicas)
	for i := range replicas {
		if len(barred) > 0 && slices.Contains(barred, replicas[i].Server) {
			free--
		}
	}
	return free
}

func nth(replicas []Replica, barred []zinniatide.BackendServerID, n int) *Replica {
	if len(barred) == 0 {
		return &replicas[n]
	}
	for i := range replicas {
		if slices.Contains(barred, replicas[i].Server) {
			continue
		}
		if n == 0 {
			return &replicas[i]
		}
		n--
	}
	return nil
}

func score(r *Replica, now zinniatide.Millis) float64 {
	s := r.Record.Score(now, r.Slots)
	if !r.Near {
		s *= farPenalty
	}
	return s
}

// Package dispatcher runs sub-requests on the backend servers that this VM
// owns. It is the one place that counts a server's slots, connections and
// cold-start allowance.
package dispatcher

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
	"zinniatide.example/zinniatide/connector"
	"zinniatide.example/zinniatide/dispatcher/pacer"
)

const (
	// TickInterval is how often the systems run over the table of servers while
	// a server has work that waits for time to pass.
	TickInterval zinniatide.Millis = 10
	// idleInterval is how often they run otherwise. Events ask for earlier runs.
	idleInterval zinniatide.Millis = 500
)

// Options are the dependencies of a Dispatcher.
type Options struct {
	VM            zinniatide.VMID
	Incarnation   zinniatide.Incarnation
	Clock         zinniatide.Clock
	Configuration zinniatide.ConfigurationProvider
	Catalog       zinniatide.CatalogProvider
	Linker        zinniatide.Linker
	Random        *rand.Rand // used by the tick; nil for delays without jitter
	Registerer    prometheus.Registerer
	// Release tells the control leader that this VM has nothing left in a
	// bucket whose Next is set in the configuration of epoch. It runs on the
	// tick's goroutine and is repeated every HeartbeatInterval until the
	// bucket's owner changes.
	Release func(zone zinniatide.ZoneID, index int, epoch zinniatide.Epoch)
	// Dial opens connections to backend servers; nil for TCP.
	Dial connector.Dialer
}

// Dispatcher implements zinniatide.Dispatcher.
type Dispatcher struct {
	o       Options
	metrics *metrics
	warmth  *warmth

	// servers is the table that traffic reads; only the tick replaces it.
	servers atomic.Pointer[table]

	tickMu sync.Mutex // guards the fields below and the table's replacement
	seen   struct {
		catalog       *zinniatide.Catalog
		configuration *zinniatide.Configuration
	}
	ownedSince map[bucketKey]zinniatide.Millis
	moves      map[bucketKey]*move
	closing    []*server

	ticker  *ticker.Ticker
	stop    chan struct{}
	stopped sync.WaitGroup
}

// table is the servers of owned buckets, by id.
type table struct {
	byID map[zinniatide.BackendServerID]*server
	all  []*server
}

type bucketKey struct {
	zone  zinniatide.ZoneID
	index int
}

var _ zinniatide.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher that does nothing until Start, and registers its
// link handler and metrics.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		o:          o,
		metrics:    newMetrics(o.Registerer),
		warmth:     newWarmth(o.Clock),
		ownedSince: map[bucketKey]zinniatide.Millis{},
		moves:      map[bucketKey]*move{},
		stop:       make(chan struct{}),
	}
	d.servers.Store(&table{})
	d.ticker = ticker.New(o.Clock, d.Tick)
	o.Linker.Handle(zinniatide.KindWarmState, d.receiveWarmState)
	return d
}

// Dispatch implements zinniatide.Dispatcher.
func (d *Dispatcher) Dispatch(r zinniatide.SubRequest, done func(zinniatide.SubResult)) (cancel func()) {
	s := d.servers.Load().byID[r.Server]
	if s == nil {
		done(notRun(zinniatide.CodeNotOwner))
		return func() {}
	}
	if !connector.Sendable(&r) {
		done(notRun(zinniatide.CodeBadRequest))
		return func() {}
	}
	t := &task{server: s, done: done}
	t.exchange.Request = r
	t.exchange.Handler = t
	s.accept(t)
	return t.cancel
}

// Wake runs Tick soon. It is called after each change of the configuration or
// the catalogue.
func (d *Dispatcher) Wake() { d.ticker.Wake() }

// Tick runs all systems once and returns when they are due again. It must not
// be called after Close.
func (d *Dispatcher) Tick() zinniatide.Millis {
	d.tickMu.Lock()
	defer d.tickMu.Unlock()
	now := d.o.Clock.Now()
	d.reconcile(now)
	next := now + idleInterval
	if lease := d.o.Configuration.LeaseUntil(); lease > now {
		next = min(next, lease)
	}
	for _, s := range d.servers.Load().all {
		next = min(next, s.tick())
	}
	d.handOver(now)
	d.reap(now)
	if len(d.moves) > 0 || len(d.closing) > 0 || d.seen.catalog == nil {
		next = min(next, now+TickInterval)
	}
	return next
}

// reap drops servers that are no longer in the table once nothing runs on them
// and their last starts no longer count towards a bound.
func (d *Dispatcher) reap(now zinniatide.Millis) {
	kept := d.closing[:0]
	for _, s := range d.closing {
		s.tick()
		if s.quiet() && now >= s.retiredAt+pacer.Window {
			s.pool.Close()
		} else {
			kept = append(kept, s)
		}
	}
	clear(d.closing[len(kept):])
	d.closing = kept
}

func notRun(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code}
}

func unknown(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: code}
}

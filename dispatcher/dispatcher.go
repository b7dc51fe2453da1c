// Package dispatcher runs sub-requests on the backend servers that this VM
// owns. It alone enforces each server's limits on slots, connections and
// cold-start request rate.
package dispatcher

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/answerreader"
	"zinniatide.example/zinniatide/common/ticker"
	"zinniatide.example/zinniatide/connector"
	"zinniatide.example/zinniatide/dispatcher/pacer"
)

const (
	// TickInterval is the time between ticks while a server has queued requests
	// or other work that depends on time.
	TickInterval zinniatide.Millis = 10
	// idleTickInterval is the longest time between ticks otherwise. Events
	// schedule earlier ticks.
	idleTickInterval zinniatide.Millis = 500
)

// Options are the dependencies of a Dispatcher.
type Options struct {
	VM            zinniatide.VMID
	Process       zinniatide.ProcessID
	Clock         zinniatide.Clock
	Configuration zinniatide.ConfigurationProvider
	Catalog       zinniatide.CatalogProvider
	Linker        zinniatide.Linker
	Random        *rand.Rand // used by Tick only; nil disables jitter of delays
	Registerer    prometheus.Registerer
	// Release tells the control leader that this VM has no requests or
	// connections left in a bucket whose NextOwner is set in the configuration of
	// epoch. Tick calls it, and again every HeartbeatInterval until the bucket's
	// owner changes.
	Release func(zone zinniatide.ZoneID, index int, epoch zinniatide.Epoch)
	// Dial opens connections to backend servers; nil means TCP.
	Dial connector.Dialer
}

// Dispatcher implements zinniatide.Dispatcher.
type Dispatcher struct {
	options    Options
	metrics    *metrics
	warmStates *warmStateStore
	// answerBudget is the memory for large responses of all servers.
	answerBudget *answerreader.Budget

	// servers is read without a lock by Dispatch and Observe. Only Tick and
	// Close replace it.
	servers atomic.Pointer[serverTable]

	tickMu sync.Mutex // guards the fields below and replacing servers
	// reconciled is what the table of servers was last built from. Its catalog is
	// nil if the next tick must rebuild the table.
	reconciled struct {
		catalog       *zinniatide.Catalog
		configuration *zinniatide.Configuration
	}
	ownedSince map[bucketKey]zinniatide.Millis
	handovers  map[bucketKey]*handover
	retired    []*server

	ticker  *ticker.Ticker
	stop    chan struct{}
	stopped sync.WaitGroup
}

// serverTable holds the servers of the owned buckets. It is immutable.
type serverTable struct {
	byID map[zinniatide.BackendServerID]*server
	all  []*server
}

type bucketKey struct {
	zone  zinniatide.ZoneID
	index int
}

var _ zinniatide.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher and registers its link handler and metrics. Start
// must be called to run it.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		options:      o,
		metrics:      newMetrics(o.Registerer),
		warmStates:   newWarmStateStore(o.Clock),
		answerBudget: answerreader.NewBudget(answerreader.DefaultBudgetBytes),
		ownedSince:   map[bucketKey]zinniatide.Millis{},
		handovers:    map[bucketKey]*handover{},
		stop:         make(chan struct{}),
	}
	d.servers.Store(&serverTable{})
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
	if !connector.HasValidHeaderIDs(&r) {
		done(notRun(zinniatide.CodeBadRequest))
		return func() {}
	}
	t := &task{server: s, done: done}
	t.exchange.Request = r
	t.exchange.Handler = t
	s.submit(t)
	return t.cancel
}

// Wake schedules an immediate tick. It is called after each change of the
// configuration or the catalog.
func (d *Dispatcher) Wake() { d.ticker.Wake() }

// Tick does all work that is due and returns the time of the next tick. It must
// not be called after Close.
func (d *Dispatcher) Tick() zinniatide.Millis {
	d.tickMu.Lock()
	defer d.tickMu.Unlock()
	now := d.options.Clock.Now()
	d.reconcile(now)
	next := now + idleTickInterval
	if lease := d.options.Configuration.LeaseUntil(); lease > now {
		next = min(next, lease)
	}
	for _, s := range d.servers.Load().all {
		next = min(next, s.tick())
	}
	d.advanceHandovers(now)
	d.removeRetired(now)
	if len(d.handovers) > 0 || len(d.retired) > 0 || d.reconciled.catalog == nil {
		next = min(next, now+TickInterval)
	}
	return next
}

// removeRetired removes retired servers that have no requests left and whose
// last starts are outside the pacing window.
func (d *Dispatcher) removeRetired(now zinniatide.Millis) {
	kept := d.retired[:0]
	for _, s := range d.retired {
		s.tick()
		if s.idle() && now >= s.retiredAt+pacer.Window {
			s.pool.Close()
		} else {
			kept = append(kept, s)
		}
	}
	clear(d.retired[len(kept):])
	d.retired = kept
}

func notRun(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code}
}

func unknown(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: code}
}

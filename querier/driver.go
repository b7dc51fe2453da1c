package querier

import (
	"sync"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/admitter"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/quarantiner"
)

// eventKind tells the events of a run apart.
type eventKind uint8

const (
	eventResult eventKind = iota
	eventPermit
	eventWake
)

// event is something that happened to a run on another goroutine.
type event struct {
	kind        eventKind
	gen         int
	number      int // attempt, or shard of a permit
	result      zinniatide.SubResult
	allowed     bool
	quarantined bool
}

// mailbox hands events to the goroutine of a run. Forwarders may deliver a
// result before DispatchAll returns, so posting never blocks.
type mailbox struct {
	mu     sync.Mutex
	events []event
	spare  []event
	closed bool
	ready  chan struct{}
}

// post returns false when the run has ended.
func (b *mailbox) post(e event) bool {
	b.mu.Lock()
	open := !b.closed
	if open {
		b.events = append(b.events, e)
	}
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
	return open
}

// take returns the waiting events. They are valid until the next call.
func (b *mailbox) take() []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	clear(b.spare)
	b.events, b.spare = b.spare[:0], events
	return events
}

// close returns what is waiting. What comes later is dropped.
func (b *mailbox) close() []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.closed, b.events, b.spare = true, nil, nil
	return events
}

// wave is one call of DispatchAll.
type wave struct {
	gen    int
	first  int
	count  int
	cancel func(i int)
}

// driver connects a run to the clock, the timer and the forwarder.
type driver struct {
	querier *Querier
	run     *run
	pass    *quarantiner.Pass
	ticket  *admitter.Ticket
	box     mailbox
	// running counts the sub-requests without a result, the requests for
	// permission without a reply, and the run itself.
	running atomic.Int32
	waves   []wave
	wakeAt  zinniatide.Millis // when the timer fires; zero when it does not run
	stop    func()
}

// loop runs until the run is done.
func (d *driver) loop() {
	for {
		next := d.run.wake(d.querier.Clock.Now())
		if d.run.done {
			break
		}
		d.arm(next)
		<-d.box.ready
		for _, e := range d.box.take() {
			now := d.querier.Clock.Now()
			switch e.kind {
			case eventResult:
				d.run.result(now, e.gen, e.number, e.result)
			case eventPermit:
				d.run.permit(now, e.gen, e.number, e.allowed, e.quarantined)
			case eventWake:
				d.wakeAt = 0
			}
		}
	}
	if d.stop != nil {
		d.stop()
	}
}

// close ends the driver. Crashes that the run has not seen still count.
func (d *driver) close() {
	for _, e := range d.box.close() {
		if e.kind == eventResult && e.result.Crashed {
			d.pass.Crashed(!d.run.proven, nil)
		}
	}
	d.ended()
}

// ended counts the end of a sub-request or of the run. When all have ended no
// server can run the request any more.
func (d *driver) ended() {
	if d.running.Add(-1) == 0 {
		d.pass.End()
	}
}

// arm sets the timer to at.
func (d *driver) arm(at zinniatide.Millis) {
	if at == d.wakeAt {
		return
	}
	if d.stop != nil {
		d.stop()
	}
	d.wakeAt = at
	d.stop = d.querier.Timer.After(at-d.querier.Clock.Now(), func() { d.box.post(event{kind: eventWake}) })
}

// send implements carrier.
func (d *driver) send(gen, first int, rs []zinniatide.SubRequest) {
	q := d.querier
	now := q.Clock.Now()
	records := make([]*observer.Server, len(rs))
	for i := range rs {
		records[i] = d.run.gens[gen].attempts[first+i].record
		records[i].Begin()
	}
	ended := make([]atomic.Bool, len(rs))
	d.running.Add(int32(len(rs)))
	service := d.run.service
	cancel := q.Forwarder.DispatchAll(rs, func(i int, result zinniatide.SubResult) {
		if i < 0 || i >= len(ended) || !ended[i].CompareAndSwap(false, true) {
			return // a doubled result must not be counted twice
		}
		records[i].Result(service, q.Clock.Now(), now, &result)
		q.Admitter.Observe(d.run.request.Service, &result)
		d.ticket.Part()
		open := d.box.post(event{kind: eventResult, gen: gen, number: first + i, result: result})
		if !open && result.Crashed {
			d.pass.Crashed(true, nil)
		}
		d.ended()
	})
	d.waves = append(d.waves, wave{gen: gen, first: first, count: len(rs), cancel: cancel})
}

// cancel implements carrier.
func (d *driver) cancel(gen, attempt int) {
	for i := range d.waves {
		w := &d.waves[i]
		if w.gen == gen && attempt >= w.first && attempt < w.first+w.count {
			w.cancel(attempt - w.first)
			return
		}
	}
}

// crashed implements carrier.
func (d *driver) crashed(gen, shard int, tried, ask bool) {
	if !ask {
		d.pass.Crashed(tried, nil)
		return
	}
	d.running.Add(1) // a permission that comes after the run must be given back
	d.pass.Crashed(tried, func(allowed, quarantined bool) {
		d.box.post(event{kind: eventPermit, gen: gen, number: shard, allowed: allowed, quarantined: quarantined})
		d.ended()
	})
}

// proven implements carrier.
func (d *driver) proven() { d.pass.Proven() }

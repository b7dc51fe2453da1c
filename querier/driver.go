package querier

import (
	"sync"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
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

func (b *mailbox) post(e event) {
	b.mu.Lock()
	if !b.closed {
		b.events = append(b.events, e)
	}
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
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

// close drops what is waiting and what comes later.
func (b *mailbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed, b.events, b.spare = true, nil, nil
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
	box     mailbox
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
	service := d.run.service
	cancel := q.Forwarder.DispatchAll(rs, func(i int, result zinniatide.SubResult) {
		if i < 0 || i >= len(ended) || !ended[i].CompareAndSwap(false, true) {
			return // a doubled result must not be counted twice
		}
		records[i].Result(service, q.Clock.Now(), now, &result)
		d.box.post(event{kind: eventResult, gen: gen, number: first + i, result: result})
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
func (d *driver) crashed(gen, shard int, ask bool) {
	if ask {
		d.box.post(event{kind: eventPermit, gen: gen, number: shard, allowed: true})
	}
}

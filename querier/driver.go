package querier

import (
	"sync"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/admitter"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/quarantiner"
)

// eventKind is the type of an event.
type eventKind uint8

const (
	eventResult eventKind = iota
	eventRetryDecision
	eventTimer
)

// event is sent to the goroutine of a search by other goroutines.
type event struct {
	kind         eventKind
	generation   int
	index        int // attempt of a result, or shard of a retry decision
	result       zinniatide.SubResult
	retryAllowed bool
	quarantined  bool
}

// eventQueue passes events to the goroutine of a search. Forwarders may deliver
// a result before DispatchAll returns, so push never blocks.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	spare  []event
	closed bool
	ready  chan struct{}
}

// push adds an event. It returns false when the search has ended.
func (q *eventQueue) push(e event) bool {
	q.mu.Lock()
	open := !q.closed
	if open {
		q.events = append(q.events, e)
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return open
}

// drain returns the queued events. The slice is valid until the next call.
func (q *eventQueue) drain() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	clear(q.spare)
	q.events, q.spare = q.spare[:0], events
	return events
}

// close returns the queued events. Later events are dropped.
func (q *eventQueue) close() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.closed, q.events, q.spare = true, nil, nil
	return events
}

// batch is the set of attempts sent by one DispatchAll call.
type batch struct {
	generation int
	first      int
	count      int
	cancel     func(i int)
}

// driver runs the state machine of a search with the real clock, timer and
// forwarder.
type driver struct {
	querier *Querier
	run     *searchRun
	pass    *quarantiner.Pass
	permit  *admitter.Permit
	queue   eventQueue
	// outstanding counts the sub-requests without a result, the pending retry
	// decisions, and the search itself.
	outstanding atomic.Int32
	batches     []batch
	timerAt     zinniatide.Millis // when the timer fires, or zero when it is not set
	stopTimer   func()
}

// runLoop processes events and timers until the search is done.
func (d *driver) runLoop() {
	for {
		next := d.run.handleTimers(d.querier.Clock.Now())
		if d.run.done {
			break
		}
		d.setTimer(next)
		<-d.queue.ready
		d.handleEvents(d.queue.drain())
	}
	if d.stopTimer != nil {
		d.stopTimer()
	}
}

// handleEvents processes events in order. After the event that ends the search,
// only crashes are reported.
func (d *driver) handleEvents(events []event) {
	for i := range events {
		e := &events[i]
		now := d.querier.Clock.Now()
		switch {
		case d.run.done:
			d.reportUnhandledCrash(e)
		case e.kind == eventResult:
			d.run.handleResult(now, e.generation, e.index, e.result)
		case e.kind == eventRetryDecision:
			d.run.handleRetryDecision(now, e.generation, e.index, e.retryAllowed, e.quarantined)
		case e.kind == eventTimer:
			d.timerAt = 0
		}
	}
}

// reportUnhandledCrash reports the crash of a server whose result arrived when the
// search was done.
func (d *driver) reportUnhandledCrash(e *event) {
	if e.kind == eventResult && e.result.Crashed {
		d.pass.ReportCrash(!d.run.serverAnswered, nil)
	}
}

// close stops accepting events. It reports the crashes among the events that are
// still queued. send reports those of later results.
func (d *driver) close() {
	unhandled := d.queue.close()
	for i := range unhandled {
		d.reportUnhandledCrash(&unhandled[i])
	}
	d.release()
}

// release marks a sub-request, a retry decision or the search as ended. Once all
// have ended, no server can be running the request any more.
func (d *driver) release() {
	if d.outstanding.Add(-1) == 0 {
		d.pass.End()
	}
}

// setTimer schedules the next timer event.
func (d *driver) setTimer(at zinniatide.Millis) {
	if at == d.timerAt {
		return
	}
	if d.stopTimer != nil {
		d.stopTimer()
	}
	d.timerAt = at
	d.stopTimer = d.querier.Timer.After(at-d.querier.Clock.Now(), func() { d.queue.push(event{kind: eventTimer}) })
}

// send implements transport.
func (d *driver) send(generation, first int, rs []zinniatide.SubRequest) {
	q := d.querier
	now := q.Clock.Now()
	records := make([]*observer.Server, len(rs))
	for i := range rs {
		records[i] = d.run.generations[generation].attempts[first+i].record
		records[i].RecordStart()
	}
	ended := make([]atomic.Bool, len(rs))
	d.outstanding.Add(int32(len(rs)))
	service := d.run.service
	cancel := q.Forwarder.DispatchAll(rs, func(i int, result zinniatide.SubResult) {
		if i < 0 || i >= len(ended) || !ended[i].CompareAndSwap(false, true) {
			return // duplicate results must not be counted
		}
		records[i].RecordResult(service, q.Clock.Now(), now, &result)
		q.Admitter.Observe(d.run.request.Service, &result)
		d.permit.ReleaseOne()
		open := d.queue.push(event{kind: eventResult, generation: generation, index: first + i, result: result})
		if !open && result.Crashed {
			// searchRun.serverAnswered belongs to the goroutine of the search and is not
			// read here. Without an open canary the pass ignores the argument.
			d.pass.ReportCrash(true, nil)
		}
		d.release()
	})
	d.batches = append(d.batches, batch{generation: generation, first: first, count: len(rs), cancel: cancel})
}

// cancel implements transport.
func (d *driver) cancel(generation, attempt int) {
	for i := range d.batches {
		b := &d.batches[i]
		if b.generation == generation && attempt >= b.first && attempt < b.first+b.count {
			b.cancel(attempt - b.first)
			return
		}
	}
}

// reportCrash implements transport.
func (d *driver) reportCrash(generation, shard int, asCanary, askRetry bool) {
	if !askRetry {
		d.pass.ReportCrash(asCanary, nil)
		return
	}
	// Keep the pass open until the arbiter has replied, so that End also ends a
	// permission that arrives late.
	d.outstanding.Add(1)
	d.pass.ReportCrash(asCanary, func(allowed, quarantined bool) {
		d.queue.push(event{kind: eventRetryDecision, generation: generation, index: shard, retryAllowed: allowed, quarantined: quarantined})
		d.release()
	})
}

// reportAnswered implements transport.
func (d *driver) reportAnswered() { d.pass.ReportAnswered() }

package dispatcher

import (
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/connector"
)

type taskState uint8

const (
	taskNew taskState = iota
	taskQueued
	taskRunning
	// taskReported means that the request still runs, but its caller has already
	// got a result.
	taskReported
	taskEnded
)

// task is one sub-request. Its fields are guarded by server.mu.
type task struct {
	server   *server
	done     func(zinniatide.SubResult)
	exchange connector.Exchange
	state    taskState
	started  zinniatide.Millis
	// timedOut is set when the deadline passed while the task was running.
	timedOut bool
	// incarnation is the server's incarnation when the task started.
	incarnation zinniatide.Incarnation
}

// pendingResult is a result to be delivered after server.mu is unlocked.
type pendingResult struct {
	done   func(zinniatide.SubResult)
	result zinniatide.SubResult
}

// pendingResults collects results while server.mu is held. Most calls end at
// most one request, so the first result is stored without an allocation.
type pendingResults struct {
	count int
	first pendingResult
	more  []pendingResult
}

func (p *pendingResults) add(result pendingResult) {
	if p.count == 0 {
		p.first = result
	} else {
		p.more = append(p.more, result)
	}
	p.count++
}

func (p *pendingResults) deliver(m *metrics) {
	if p.count == 0 {
		return
	}
	p.first.deliver(m)
	for i := range p.more {
		p.more[i].deliver(m)
	}
}

func (p *pendingResult) deliver(m *metrics) {
	if p.result.Outcome != zinniatide.OutcomeDone {
		m.failed.WithLabelValues(string(p.result.Code)).Inc()
	}
	p.done(p.result)
}

// addResult adds the result of t with the server's current load.
func (s *server) addResult(pending *pendingResults, t *task, result zinniatide.SubResult) {
	result.InFlight = uint16(s.slots.InUse())
	result.Queued = uint16(s.queue.Len())
	pending.add(pendingResult{t.done, result})
}

// submit starts, queues or refuses t.
func (s *server) submit(t *task) {
	var pending pendingResults
	s.mu.Lock()
	now := s.d.options.Clock.Now()
	if code := s.enqueue(t, now); code != "" {
		t.state = taskEnded
		s.addResult(&pending, t, notRun(code))
	} else {
		s.startQueued(now, &pending)
	}
	s.mu.Unlock()
	pending.deliver(s.d.metrics)
}

// enqueue queues t, or returns why it is refused.
func (s *server) enqueue(t *task, now zinniatide.Millis) zinniatide.Code {
	if code := s.refusalCode(now); code != "" {
		return code
	}
	r := &t.exchange.Request
	switch {
	case !s.offers(r.Service):
		return zinniatide.CodeUnknownService
	case r.Deadline <= now:
		return zinniatide.CodeDeadlinePassed
	case s.pool.Unreachable():
		return zinniatide.CodeServerGone
	case s.estimateDuration(r.Deadline, now) > r.Deadline-now:
		return zinniatide.CodeOverloaded
	case r.MaxWait > 0 && s.pacer.DelayAt(now, s.queue.Position(r.Deadline)) > r.MaxWait:
		return zinniatide.CodeOverloaded
	case !s.queue.Push(r.Deadline, t):
		return zinniatide.CodeOverloaded
	}
	t.state = taskQueued
	return ""
}

// cancel is the cancel function returned by Dispatch. A running request keeps
// its slot until its answer arrives or its connection is closed.
func (t *task) cancel() {
	s := t.server
	var pending pendingResults
	s.mu.Lock()
	switch t.state {
	case taskQueued:
		s.queue.Remove(t)
		t.state = taskEnded
		s.addResult(&pending, t, notRun(zinniatide.CodeCancelled))
	case taskRunning:
		t.state = taskReported
		s.pool.Cancel(&t.exchange)
		s.addResult(&pending, t, unknown(zinniatide.CodeCancelled))
	}
	s.mu.Unlock()
	pending.deliver(s.d.metrics)
}

// Finished implements connector.Handler: it frees the slot, updates the
// server's state from the answer and starts queued requests.
func (t *task) Finished(a connector.Answer) {
	s := t.server
	var pending pendingResults
	s.mu.Lock()
	now := s.d.options.Clock.Now()
	if t.state != taskReported {
		// Add the result before the slot is released: the reported load includes
		// this request, so that a server with all slots busy and an empty queue
		// does not appear to have a free slot.
		s.addResult(&pending, t, zinniatide.SubResult{Outcome: a.Outcome, Code: a.Code, Body: a.Body, Crashed: a.Crashed})
	}
	t.state = taskEnded
	s.slots.Release()
	s.running = slices.DeleteFunc(s.running, func(o *task) bool { return o == t })
	s.recordAnswer(t, a, now)
	s.startQueued(now, &pending)
	s.mu.Unlock()
	pending.deliver(s.d.metrics)
}

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
	// taskReported runs on, but its caller has had its result.
	taskReported
	taskEnded
)

// task is one sub-request. Its fields are guarded by the server's lock.
type task struct {
	server   *server
	done     func(zinniatide.SubResult)
	exchange connector.Exchange
	state    taskState
	started  zinniatide.Millis
	// timedOut is set when the deadline passed while the task was running.
	timedOut bool
	// incarnation is that of the server when the task was started.
	incarnation zinniatide.Incarnation
}

// ending is a result to be handed out once the server's lock is free.
type ending struct {
	done   func(zinniatide.SubResult)
	result zinniatide.SubResult
}

// endings collects results while the server's lock is held. Most calls end at
// most one request, which costs no allocation.
type endings struct {
	count int
	first ending
	more  []ending
}

func (e *endings) add(one ending) {
	if e.count == 0 {
		e.first = one
	} else {
		e.more = append(e.more, one)
	}
	e.count++
}

func (e *endings) report(m *metrics) {
	if e.count == 0 {
		return
	}
	e.first.report(m)
	for i := range e.more {
		e.more[i].report(m)
	}
}

func (e *ending) report(m *metrics) {
	if e.result.Outcome != zinniatide.OutcomeDone {
		m.ended.WithLabelValues(string(e.result.Code)).Inc()
	}
	e.done(e.result)
}

// end reports result with the server's present load.
func (s *server) end(e *endings, t *task, result zinniatide.SubResult) {
	result.InFlight = uint16(s.slots.Taken())
	result.Queued = uint16(s.queue.Len())
	e.add(ending{t.done, result})
}

// accept starts t, queues it or refuses it.
func (s *server) accept(t *task) {
	var e endings
	s.mu.Lock()
	now := s.d.o.Clock.Now()
	if code := s.admit(t, now); code != "" {
		t.state = taskEnded
		s.end(&e, t, notRun(code))
	} else {
		s.pump(now, &e)
	}
	s.mu.Unlock()
	e.report(s.d.metrics)
}

// admit queues t, or says why not.
func (s *server) admit(t *task, now zinniatide.Millis) zinniatide.Code {
	if code := s.closed(now); code != "" {
		return code
	}
	r := &t.exchange.Request
	switch {
	case !s.offers(r.Service):
		return zinniatide.CodeUnknownService
	case r.Deadline <= now:
		return zinniatide.CodeDeadlinePassed
	case s.pool.Gone():
		return zinniatide.CodeServerGone
	case s.estimate(r.Deadline, now) > r.Deadline-now:
		return zinniatide.CodeOverloaded
	case r.MaxWait > 0 && s.pace.WaitFor(now, s.queue.Position(r.Deadline)) > r.MaxWait:
		return zinniatide.CodeOverloaded
	case !s.queue.Push(r.Deadline, t):
		return zinniatide.CodeOverloaded
	}
	t.state = taskQueued
	return ""
}

// cancel implements the cancel function of Dispatch. A running request keeps
// its slot until its answer arrives or its connection is closed.
func (t *task) cancel() {
	s := t.server
	var e endings
	s.mu.Lock()
	switch t.state {
	case taskQueued:
		s.queue.Remove(t)
		t.state = taskEnded
		s.end(&e, t, notRun(zinniatide.CodeCancelled))
	case taskRunning:
		t.state = taskReported
		s.pool.Cancel(&t.exchange)
		s.end(&e, t, unknown(zinniatide.CodeCancelled))
	}
	s.mu.Unlock()
	e.report(s.d.metrics)
}

// Finished implements connector.Handler: it frees the slot, learns from the
// answer and starts the next request.
func (t *task) Finished(a connector.Answer) {
	s := t.server
	var e endings
	s.mu.Lock()
	now := s.d.o.Clock.Now()
	if t.state != taskReported {
		// Before the slot is free: the load that is reported counts this request
		// too, so that a server with all slots busy and nothing queued does not
		// look as if it had a slot to spare.
		s.end(&e, t, zinniatide.SubResult{Outcome: a.Outcome, Code: a.Code, Body: a.Body, Crashed: a.Crashed})
	}
	t.state = taskEnded
	s.slots.Release()
	s.running = slices.DeleteFunc(s.running, func(o *task) bool { return o == t })
	s.learn(t, a, now)
	s.pump(now, &e)
	s.mu.Unlock()
	e.report(s.d.metrics)
}

package relayer

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

// task is what forwarding and gathering share: one request of a caller.
type task struct {
	r       *Relayer
	req     *Request
	route   *router.Route
	respond func(Reply)
	begun   zinniatide.Millis
	end     zinniatide.Millis // the caller's deadline or the route's timeout
	ended   bool
	// repeat is set on a gathering of repeats for another VM.
	repeat bool
	// ran is set once a server may have begun to run the request.
	ran   bool
	stops []func() // of timers
	open  []*try
}

// try is one exchange of a task.
type try struct {
	server   *selector.Server
	exchange *transporter.Exchange
	start    zinniatide.Millis
}

// after runs f under the lock after d, unless the task has ended.
func (t *task) after(d zinniatide.Millis, f func()) {
	lock := t.r.d.Lock
	t.stops = append(t.stops, t.r.d.Timer.After(d, func() {
		lock.Lock()
		defer lock.Unlock()
		if !t.ended {
			f()
		}
	}))
}

// send starts an exchange with s. Done gets its answer, after the server's
// state has been updated, and only while the task goes on.
func (t *task) send(s *selector.Server, done func(*try, transporter.Answer)) {
	now := t.r.d.Clock.Now()
	y := &try{server: s, start: now}
	y.exchange = &transporter.Exchange{
		Head: t.req.Head, Body: t.req.Body, RequestID: t.req.ID, HeadOnly: t.req.HeadOnly,
		Deadline: t.end, Exclusive: !t.route.Idempotent,
	}
	y.exchange.Done = func(a transporter.Answer) {
		t.note(y, &a)
		if !t.ended {
			done(y, a)
		}
	}
	t.r.sends++
	s.Begin(now)
	t.open = append(t.open, y)
	t.r.poolOf(s).Send(y.exchange)
}

// note updates what is known of the server by an answer.
func (t *task) note(y *try, a *transporter.Answer) {
	for i, other := range t.open {
		if other == y {
			t.open = append(t.open[:i], t.open[i+1:]...)
			break
		}
	}
	r, s := t.r, y.server
	now := r.d.Clock.Now()
	r.metrics.exchange(a.Result)
	t.ran = t.ran || a.Result.MayHaveRun()
	if a.Waiting >= 0 {
		s.Report(a.Waiting, now)
	}
	switch a.Result {
	case transporter.Answered:
		if a.Status >= 500 || a.Stamp == "" {
			s.Failed(y.start, now)
			return
		}
		s.Service.Latency.Add(float64(now - y.start))
		s.Answered(y.start, now)
	case transporter.NotRun:
		s.Shed(y.start, now)
	case transporter.OtherServer:
		s.Unsent(y.start)
		s.Refuse()
		klog.InfoS("another process answers at the address of a backend server", "step", "relay", "request", t.req.ID,
			"server", s.Server, "address", s.Address, "born", s.Born)
	case transporter.NotSent:
		s.Unsent(y.start)
		if pool := r.servers[processID{s.Server, s.Born}]; pool != nil && pool.pool.Conns() == 0 {
			r.rest(s)
			klog.InfoS("backend server cannot be reached", "step", "connect", "request", t.req.ID, "server", s.Server,
				"service", s.Service.Service, "address", s.Address)
		}
	default:
		s.Failed(y.start, now)
	}
}

// finish ends the task with a reply. Exchanges that are still open end by
// themselves and go on to tell about their servers.
func (t *task) finish(reply Reply) {
	if t.ended {
		return
	}
	t.ended = true
	t.stopTimers()
	t.respond(reply)
}

// cancelLocked ends the task without a reply and has the servers stop.
func (t *task) cancelLocked() {
	if t.ended {
		return
	}
	t.ended = true
	t.stopTimers()
	now := t.r.d.Clock.Now()
	for _, y := range t.open {
		y.exchange.Cancel()
		y.server.Abandoned(y.start, now)
	}
	t.open = nil
	t.r.metrics.outcome(t.route, "caller-left", float64(now-t.req.Arrived))
	klog.InfoS("caller left", "step", "relay", "request", t.req.ID, "route", t.route.ID, "after-ms", now-t.req.Arrived, "ran", t.ran)
}

// cancel is cancelLocked for callers without the lock.
func (t *task) cancel() {
	t.r.d.Lock.Lock()
	defer t.r.d.Lock.Unlock()
	t.cancelLocked()
}

func (t *task) stopTimers() {
	for _, stop := range t.stops {
		stop()
	}
	t.stops = nil
}

// fail ends the task without success. Only a request that no server has begun
// gets a status that promises so. Inputs are further keys and values of its log
// line.
func (t *task) fail(reason string, after zinniatide.Millis, inputs ...any) {
	if t.ended {
		return
	}
	status := statusUnavailable
	switch {
	case t.ran && t.r.d.Clock.Now() >= t.end-endMargin:
		status = statusTimeout
	case t.ran:
		status = statusBadGateway
	}
	if status != statusUnavailable {
		after = 0
	}
	now := t.r.d.Clock.Now()
	klog.InfoS("request failed", append([]any{"step", "relay", "request", t.req.ID, "route", t.route.ID, "status", status, "reason", reason,
		"after-ms", now - t.req.Arrived, "left-ms", t.end - now, "ran", t.ran, "table", t.r.number(), "retry-after-ms", after}, inputs...)...)
	t.r.metrics.outcome(t.route, reason, float64(now-t.req.Arrived))
	t.finish(Reply{Status: status, RetryAfter: after})
}

// Statuses of failures.
const (
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)

// endMargin is how long before the deadline a final answer is given, so that
// it reaches the caller.
const endMargin zinniatide.Millis = 5

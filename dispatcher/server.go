package dispatcher

import (
	"sync"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/connector"
	"zinniatide.example/zinniatide/dispatcher/detector"
	"zinniatide.example/zinniatide/dispatcher/pacer"
	"zinniatide.example/zinniatide/dispatcher/queuer"
	"zinniatide.example/zinniatide/dispatcher/ramper"
	"zinniatide.example/zinniatide/dispatcher/slotter"
)

const (
	// queueLimit bounds the requests that wait for one server. The estimate of
	// the wait refuses most requests long before.
	queueLimit = 256
	// distrustTime is how long a report of overload withholds a slot: two
	// announcements, so that one lost announcement does not end it.
	distrustTime = 2 * zinniatide.AnnounceInterval
)

// server is one backend server of an owned bucket. Each has its own lock, so
// that traffic to different servers does not meet.
type server struct {
	d      *Dispatcher
	id     zinniatide.BackendServerID
	bucket bucketKey
	// address is fixed; a server that moves is a new entry.
	address string
	pool    *connector.Pool

	mu          sync.Mutex
	incarnation zinniatide.Incarnation
	draining    bool
	// retired is why the server takes no new work for good.
	retired   zinniatide.Code
	retiredAt zinniatide.Millis
	// settled is when the requests of a replaced owner have ended.
	settled  zinniatide.Millis
	services []zinniatide.ServiceID // sorted as announced
	gate     gate
	slots    slotter.Slots
	queue    queuer.Queue[*task]
	ramp     ramper.Ramp
	pace     pacer.Pacer
	health   detector.Detector
	running  []*task
	paused   bool
}

// offers reports whether the server serves the service and the configuration
// knows it.
func (s *server) offers(id zinniatide.ServiceID) bool {
	for _, service := range s.services {
		if service == id {
			_, ok := s.gate.configuration.Services[id]
			return ok
		}
	}
	return false
}

// estimate returns how long a request with deadline would take from now. With
// a free slot only the pace counts: a server whose latency has once been above
// all deadlines would otherwise never get a request again.
func (s *server) estimate(deadline, now zinniatide.Millis) zinniatide.Millis {
	position := s.queue.Position(deadline)
	wait := s.pace.WaitFor(now, position)
	latency := s.health.Latency()
	if s.slots.Free(now) && position == 0 {
		return wait
	}
	return max(wait+latency, queuer.Estimate(position, s.slots.Limit(now), latency))
}

// pump starts waiting requests while there is a slot, a start allowance and a
// connection for them.
func (s *server) pump(now zinniatide.Millis, e *endings) {
	if code := s.closed(now); code != "" {
		s.refuseQueued(e, code)
		return
	}
	s.dropExpired(now, e)
	for s.queue.Len() > 0 && s.slots.Free(now) && s.pace.Wait(now) == 0 && s.pool.Free() {
		t, _ := s.queue.Pop()
		if !s.start(t, now) {
			s.queue.Push(t.exchange.Request.Deadline, t)
			break
		}
	}
	if s.queue.Len() > 0 {
		s.d.ticker.At(now + TickInterval)
	}
}

// start sends t. The deadline given to the server is never beyond the lease,
// so that a lost owner's requests have ended when the next owner begins.
func (s *server) start(t *task, now zinniatide.Millis) bool {
	x := &t.exchange
	x.Deadline = min(x.Request.Deadline, s.d.o.Configuration.LeaseUntil(), now+zinniatide.MaxRequestTime)
	// The task counts as running before its first byte is written, because its
	// answer can arrive before Send returns.
	t.state, t.started, t.incarnation = taskRunning, now, s.incarnation
	if !s.pool.Send(x) {
		t.state = taskQueued
		return false
	}
	s.slots.Take()
	s.pace.Take(now)
	s.running = append(s.running, t)
	s.d.ticker.At(x.Deadline)
	s.d.metrics.started.Inc()
	return true
}

func (s *server) refuseQueued(e *endings, code zinniatide.Code) {
	for {
		t, ok := s.queue.Pop()
		if !ok {
			return
		}
		t.state = taskEnded
		s.end(e, t, notRun(code))
	}
}

func (s *server) dropExpired(now zinniatide.Millis, e *endings) {
	for {
		t, ok := s.queue.PopExpired(now)
		if !ok {
			return
		}
		t.state = taskEnded
		s.end(e, t, notRun(zinniatide.CodeDeadlinePassed))
	}
}

// learn updates what is known of the server from the end of a request. Its own
// results alone make a server warm.
func (s *server) learn(t *task, a connector.Answer, now zinniatide.Millis) {
	if a.Incarnation > s.incarnation {
		s.restarted(a.Incarnation, now)
	}
	s.distrust(a.Busy, 0, now)
	// A late answer is no success: the timeout has been counted as a failure.
	current := t.incarnation == s.incarnation && !t.timedOut
	switch {
	case a.Outcome == zinniatide.OutcomeDone && current && a.Incarnation == s.incarnation:
		s.succeeded(now-t.started, now)
	case a.Outcome == zinniatide.OutcomeUnknown && current:
		s.failed(now-t.started, now)
	}
}

// succeeded counts an answer.
func (s *server) succeeded(latency, now zinniatide.Millis) {
	if s.health.Answered(latency, s.ramp.Warm()) {
		s.slow(now)
	} else if s.ramp.Succeeded() {
		s.pace.SetRate(now, s.ramp.Rate())
	}
}

// failed counts a failure or timeout.
func (s *server) failed(elapsed, now zinniatide.Millis) {
	if s.health.Failed(elapsed) && s.ramp.Warm() {
		s.slow(now)
	}
}

func (s *server) slow(now zinniatide.Millis) {
	klog.InfoS("backend server is slow all of a sudden", "step", "dispatch", "peer", s.id)
	s.turnCold(now)
}

// restarted notes a new incarnation of the server.
func (s *server) restarted(incarnation zinniatide.Incarnation, now zinniatide.Millis) {
	s.incarnation = incarnation
	s.turnCold(now)
}

func (s *server) turnCold(now zinniatide.Millis) {
	s.ramp.TurnCold()
	s.health.Reset()
	s.pace.SetRate(now, s.ramp.Rate())
	s.d.metrics.turnedCold.Inc()
}

// distrust withholds a slot while the server reports more work than its slots
// allow. A report never gives a server more work.
func (s *server) distrust(busy, queue uint16, now zinniatide.Millis) {
	if int(busy) > s.slots.Announced() || queue > 0 {
		s.slots.Distrust(now + distrustTime)
	}
}

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
	// queueLimit is the maximum number of requests queued for one server. Most
	// requests are refused earlier because of the estimated wait.
	queueLimit = 256
	// overloadReportTTL is how long an overload report withholds a slot. It spans
	// two announcements, so that one lost announcement does not end it.
	overloadReportTTL = 2 * zinniatide.AnnounceInterval
)

// server is one backend server of an owned bucket. Each server has its own
// lock, so that requests to different servers do not contend.
type server struct {
	d      *Dispatcher
	id     zinniatide.BackendServerID
	bucket bucketKey
	// address never changes; a server with a new address gets a new entry.
	address string
	pool    *connector.Pool

	mu          sync.Mutex
	incarnation zinniatide.Incarnation
	draining    bool
	// leavingIncarnation is the process that has said in an answer that it is
	// leaving, or 0. Announcements do not take that back.
	leavingIncarnation zinniatide.Incarnation
	// pausedUntil is the end of the last pause that the process has asked for.
	pausedUntil zinniatide.Millis
	// retiredCode is set once the server has left the table and is the reason
	// for refusing all further work.
	retiredCode zinniatide.Code
	retiredAt   zinniatide.Millis
	// previousOwnerDoneAt is when all requests of the bucket's previous owner have
	// ended, if that owner was replaced before its lease had run out. Otherwise it
	// is 0.
	previousOwnerDoneAt zinniatide.Millis
	services            []zinniatide.ServiceID // in announced order
	configCheck         configurationCheck
	slots               slotter.Slots
	queue               queuer.Queue[*task]
	ramp                ramper.Ramp
	pacer               pacer.Pacer
	detector            detector.Detector
	running             []*task
	paused              bool // whether pool is paused
}

// offers reports whether the server announces the service and the
// configuration contains it.
func (s *server) offers(id zinniatide.ServiceID) bool {
	for _, service := range s.services {
		if service == id {
			_, ok := s.configCheck.configuration.Services[id]
			return ok
		}
	}
	return false
}

// estimateDuration returns how long a request with the given deadline would
// take from now. If it could start at once, only the pacing delay counts:
// otherwise a server whose latency once exceeded all deadlines would never get
// a request again.
func (s *server) estimateDuration(deadline, now zinniatide.Millis) zinniatide.Millis {
	position := s.queue.Position(deadline)
	wait := s.pacer.DelayAt(now, position)
	latency := s.detector.RecentLatency()
	if s.slots.Free(now) && position == 0 {
		return wait
	}
	return max(wait+latency, queuer.EstimateCompletion(position, s.slots.Limit(now), latency))
}

// startQueued starts queued requests while a slot and a connection are free and
// the pacer allows it.
func (s *server) startQueued(now zinniatide.Millis, pending *pendingResults) {
	if code := s.refusalCode(now); code != "" {
		s.refuseQueued(pending, code)
		return
	}
	s.dropExpired(now, pending)
	for s.queue.Len() > 0 && s.slots.Free(now) && s.pacer.Delay(now) == 0 && s.pool.HasIdleConn() {
		t, _ := s.queue.Pop()
		if !s.start(t, now) {
			s.queue.Push(t.exchange.Request.Deadline, t)
			break
		}
	}
	if s.queue.Len() > 0 {
		s.d.ticker.ScheduleAt(now + TickInterval)
	}
}

// start sends t to the server. The deadline sent never exceeds the lease, so
// that the requests of a failed owner have ended when the next owner starts
// work.
func (s *server) start(t *task, now zinniatide.Millis) bool {
	x := &t.exchange
	x.Deadline = min(x.Request.Deadline, s.d.options.Configuration.LeaseUntil(), now+zinniatide.MaxRequestTime)
	// Set the state before sending, because the answer can arrive before TrySend
	// returns.
	t.state, t.started, t.incarnation = taskRunning, now, s.incarnation
	if !s.pool.TrySend(x) {
		t.state = taskQueued
		return false
	}
	s.slots.Acquire()
	s.pacer.Allow(now) // counts the start; startQueued has checked Delay
	s.running = append(s.running, t)
	s.d.ticker.ScheduleAt(x.Deadline)
	s.d.metrics.started.Inc()
	return true
}

func (s *server) refuseQueued(pending *pendingResults, code zinniatide.Code) {
	for {
		t, ok := s.queue.Pop()
		if !ok {
			return
		}
		t.state = taskEnded
		s.addResult(pending, t, notRun(code))
	}
}

func (s *server) dropExpired(now zinniatide.Millis, pending *pendingResults) {
	for {
		t, ok := s.queue.PopExpired(now)
		if !ok {
			return
		}
		t.state = taskEnded
		s.addResult(pending, t, notRun(zinniatide.CodeDeadlinePassed))
	}
}

// recordAnswer updates the server's incarnation, load and warm-up state from
// the end of a request. Only answers of its current incarnation warm it up; what
// it reports about itself does not.
func (s *server) recordAnswer(t *task, a connector.Answer, now zinniatide.Millis) {
	if a.Incarnation > s.incarnation {
		s.setIncarnation(a.Incarnation, now)
	}
	s.applyLoadReport(a.BusySlots, 0, now)
	s.applyHints(&a, now)
	if a.InvalidReason != "" {
		s.d.metrics.invalidAnswers.WithLabelValues(a.InvalidReason).Inc()
		klog.InfoS("backend server sent an invalid answer", "step", "dispatch", "request", t.exchange.Request.RequestID, "service", t.exchange.Request.Service,
			"peer", s.id, "address", s.address, "reason", a.InvalidReason)
	}
	// An answer after the deadline is not a success: the timeout has already
	// been counted as a failure.
	current := t.incarnation == s.incarnation && !t.timedOut
	switch {
	case a.Outcome == zinniatide.OutcomeDone && current && a.Incarnation == s.incarnation:
		s.recordSuccess(now-t.started, now)
	case a.Outcome == zinniatide.OutcomeUnknown && current:
		s.recordFailure(now-t.started, now)
	}
}

// applyHints applies what the current process asks for in an answer. What is queued is
// refused during a pause, and after it the server warms up again if its service has a
// cold rate, so that its load comes back paced.
func (s *server) applyHints(a *connector.Answer, now zinniatide.Millis) {
	if a.Incarnation != s.incarnation {
		return
	}
	if a.Leaving && s.leavingIncarnation != s.incarnation {
		s.leavingIncarnation = s.incarnation
		s.d.metrics.leaves.Inc()
		klog.InfoS("backend server is leaving", "step", "dispatch", "cause", "its answer", "peer", s.id, "incarnation", s.incarnation, "announced", s.draining)
	}
	if a.Pause > 0 {
		klog.InfoS("backend server asked for a pause", "step", "dispatch", "cause", "its refusal", "peer", s.id, "pause-ms", a.Pause,
			"left-of-earlier-ms", max(s.pausedUntil-now, 0))
		s.pausedUntil = max(s.pausedUntil, now+a.Pause)
		s.d.metrics.pauses.Inc()
		s.turnCold(now)
		s.d.ticker.ScheduleAt(s.pausedUntil)
	}
}

func (s *server) recordSuccess(latency, now zinniatide.Millis) {
	if s.detector.RecordSuccess(latency, s.ramp.Warm()) {
		s.handleSlowdown(now)
	} else if s.ramp.RecordSuccess() {
		s.pacer.SetRate(now, s.ramp.Rate())
	}
}

// recordFailure is called for a failed request and for one that timed out.
func (s *server) recordFailure(elapsed, now zinniatide.Millis) {
	if s.detector.RecordFailure(elapsed) && s.ramp.Warm() {
		s.handleSlowdown(now)
	}
}

func (s *server) handleSlowdown(now zinniatide.Millis) {
	klog.InfoS("backend server became slow; restarting its warm-up", "step", "dispatch", "peer", s.id)
	s.turnCold(now)
}

// setIncarnation is called when the server has restarted.
func (s *server) setIncarnation(incarnation zinniatide.Incarnation, now zinniatide.Millis) {
	s.incarnation, s.pausedUntil = incarnation, 0
	s.turnCold(now)
}

// turnCold restarts the server's warm-up at the initial rate.
func (s *server) turnCold(now zinniatide.Millis) {
	s.ramp.Reset()
	s.detector.Reset()
	s.pacer.SetRate(now, s.ramp.Rate())
	s.d.metrics.turnedCold.Inc()
}

// applyLoadReport withholds a slot while the server reports more work than it
// has slots. A report never raises the server's limits.
func (s *server) applyLoadReport(busy, queue uint16, now zinniatide.Millis) {
	if int(busy) > s.slots.BaseLimit() || queue > 0 {
		s.slots.WithholdOne(now + overloadReportTTL)
	}
}

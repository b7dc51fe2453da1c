package relayer

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

// activeRequest is the state of a caller's request that forwardRequest and
// gatherRequest share.
type activeRequest struct {
	r       *Relayer
	req     *Request
	route   *router.Route
	respond func(Reply)
	// priority is that of the workspace or else that of the route.
	priority  int
	startedAt zinniatide.Millis
	deadline  zinniatide.Millis // the caller's deadline or the timeout of the route, whichever is earlier
	finished  bool
	// hedgesForPeer is set if the request hedges parts on behalf of another VM.
	hedgesForPeer bool
	// mayHaveRun is set once a server may have started the request.
	mayHaveRun bool
	// onBehalf is set if the request runs on behalf of another VM.
	onBehalf bool
	// tokenUntil is until when the token of the request can be given back, or 0.
	tokenUntil zinniatide.Millis
	// droppedBy counts the servers that dropped their connection while they ran the
	// request. survived is set once an answer shows that it does not crash servers.
	droppedBy      int
	firstDroppedAt zinniatide.Millis
	survived       bool
	// leaving holds the processes that said in their answers to an onBehalf request
	// that they are leaving, until the next reply to the delegating VM.
	leaving []leavingProcess
	// target is the service of a plain request.
	target zinniatide.ServiceID
	// permit is the capacity that the request holds, or nil.
	permit zinniatide.CapacityPermit
	// resultObserved is set once the permit knows how the request ended, failedByLoad if
	// it failed.
	resultObserved, failedByLoad bool
	timerStops                   []func()
	openAttempts                 []*attempt
}

// attempt is one exchange with a server.
type attempt struct {
	server    *selector.Server
	exchange  *transporter.Exchange
	startedAt zinniatide.Millis
	// counts are those of a running rollout, or nil. cold is set if the server was cold.
	counts *sideCounts
	cold   bool
}

// after calls f with the lock held after delay, unless the request has finished
// by then.
func (ar *activeRequest) after(delay zinniatide.Millis, f func()) {
	lock := ar.r.deps.Lock
	ar.timerStops = append(ar.timerStops, ar.r.deps.Timer.After(delay, func() {
		lock.Lock()
		defer lock.Unlock()
		if !ar.finished {
			f()
		}
	}))
}

// send starts an exchange with s. Done is called with its result after the
// server's state has been updated, unless the request has finished by then.
func (ar *activeRequest) send(s *selector.Server, done func(*attempt, transporter.Answer)) {
	now := ar.r.deps.Clock.Now()
	att := &attempt{server: s, startedAt: now}
	att.exchange = &transporter.Exchange{
		Head: ar.req.Head, Body: ar.req.Body, RequestID: ar.req.ID, IsHEAD: ar.req.IsHEAD,
		Deadline: ar.deadline, NonIdempotent: !ar.route.Idempotent,
	}
	att.exchange.Done = func(a transporter.Answer) {
		ar.recordResult(att, &a)
		if !ar.finished {
			done(att, a)
		}
	}
	ar.r.sentRequests++
	att.counts, att.cold = ar.r.countSend(s, ar.route.ID), s.IsCold(now)
	s.RecordStart(now)
	ar.openAttempts = append(ar.openAttempts, att)
	ar.r.sendTo(s, att.exchange)
}

// recordResult updates the state of the server from the result of an attempt.
func (ar *activeRequest) recordResult(att *attempt, a *transporter.Answer) {
	for i, other := range ar.openAttempts {
		if other == att {
			ar.openAttempts = append(ar.openAttempts[:i], ar.openAttempts[i+1:]...)
			break
		}
	}
	if ar.finished {
		defer ar.endPermit()
	}
	r, s := ar.r, att.server
	now := r.deps.Clock.Now()
	r.metrics.countExchange(a.Result)
	if a.InvalidReason != "" {
		r.metrics.invalidAnswers.WithLabelValues(a.InvalidReason).Inc()
		klog.InfoS("backend server sent an invalid answer", "step", "relay", "request", ar.req.ID, "route", ar.route.ID, "server", s.Server,
			"service", s.Service.Service, "address", s.Address, "reason", a.InvalidReason)
	}
	att.counts.record(a, now-att.startedAt, ar.route.Gathers(), att.cold)
	ar.mayHaveRun = ar.mayHaveRun || a.Result.MayHaveRun()
	if a.Dropped {
		ar.recordDrops(1)
	}
	if ar.showsSurvival(a) {
		ar.recordSurvival()
	}
	defer ar.reportIfUnanswered()
	r.recordLoad(s, a)
	r.applyHints(s, a, ar.req.ID)
	if a.Leaving && ar.onBehalf {
		ar.leaving = append(ar.leaving, leavingProcess{s.Server, s.StartedAt})
	}
	switch a.Result {
	case transporter.Answered:
		if a.Status >= 500 || a.Stamp == "" {
			s.RecordFailure(att.startedAt, now)
			return
		}
		s.Service.Latency.Add(float64(now - att.startedAt))
		s.RecordAnswer(ar.route.ID, att.startedAt, now)
	case transporter.NotRun:
		s.RecordShed(att.startedAt, now)
	case transporter.WrongServer:
		s.Discard(att.startedAt)
		s.MarkReplaced()
		klog.InfoS("a different process answers at the address of a backend server", "step", "relay", "request", ar.req.ID,
			"server", s.Server, "address", s.Address, "born", s.StartedAt)
	case transporter.NotSent:
		s.Discard(att.startedAt)
		if known := r.servers[processKey{s.Server, s.StartedAt}]; known != nil && known.pool.OpenConnections() == 0 && !s.IsLeaving() && !s.IsPaused(now) {
			r.backOff(s)
			klog.InfoS("backend server is unreachable", "step", "connect", "request", ar.req.ID, "server", s.Server,
				"service", s.Service.Service, "address", s.Address)
		}
	default:
		s.RecordFailure(att.startedAt, now)
	}
}

// finish ends the request with a reply. Attempts that no server has received yet will
// not be sent. The others continue. The results of all update the state of their servers.
func (ar *activeRequest) finish(reply Reply) {
	if ar.finished {
		return
	}
	ar.finished = true
	delete(ar.r.openRequests, ar)
	ar.stopTimers()
	for _, att := range ar.openAttempts {
		att.exchange.Withdraw()
	}
	ar.endPermit()
	ar.respond(reply)
	ar.reportIfUnanswered()
}

// recallUnsent withdraws the attempts that no server has received yet, so that they
// never run. Any other open attempt may run.
func (ar *activeRequest) recallUnsent() {
	sent := ar.openAttempts[:0]
	for _, att := range ar.openAttempts {
		if att.exchange.CancelIfUnsent() {
			att.server.Discard(att.startedAt)
			continue
		}
		sent = append(sent, att)
	}
	ar.openAttempts = sent
	ar.mayHaveRun = ar.mayHaveRun || len(sent) > 0
}

// recordDrops records that n servers dropped their connection while they ran the
// request.
func (ar *activeRequest) recordDrops(n int) {
	if ar.droppedBy == 0 && n > 0 {
		ar.firstDroppedAt = ar.r.deps.Clock.Now()
	}
	ar.droppedBy += n
}

// showsSurvival reports whether an answer shows that the request does not crash servers.
// A failed part does not: the servers of its shard may fail the query before they run
// it, while it crashes those of all others.
func (ar *activeRequest) showsSurvival(a *transporter.Answer) bool {
	if a.Result == transporter.Answered && a.Status < 500 {
		return true
	}
	return (a.Result == transporter.Answered || a.Result == transporter.InvalidAnswer) && !ar.route.Gathers()
}

// recordSurvival records that a server has answered the request, and clears equal
// requests that were reported as unanswered.
func (ar *activeRequest) recordSurvival() {
	q := ar.r.deps.Quarantine
	if ar.survived || ar.onBehalf || q == nil {
		ar.survived = true
		return
	}
	ar.survived = true
	if !q.Empty() {
		q.ReportAnswered(ar.req.fingerprint())
	}
}

// reportIfUnanswered reports the request once it has ended, if servers dropped
// their connections while they ran it and none answered. Any answer shows that the
// request does not crash servers: when a rack fails, servers that run harmless
// requests are lost too.
func (ar *activeRequest) reportIfUnanswered() {
	if !ar.finished || len(ar.openAttempts) > 0 || ar.droppedBy == 0 || ar.survived || ar.onBehalf || ar.r.deps.Quarantine == nil {
		return
	}
	klog.InfoS("request lost its servers and was answered by none", "step", "relay", "request", ar.req.ID, "route", ar.route.ID, "servers", ar.droppedBy)
	ar.droppedBy = 0 // reported
	now := ar.r.deps.Clock.Now()
	ar.r.deps.Quarantine.ReportUnanswered(ar.req.fingerprint(),
		zinniatide.UnansweredAttempt{ID: ar.req.ID, Age: now - ar.req.ArrivedAt, SinceLoss: now - ar.firstDroppedAt})
}

// cancelLocked ends the request without a reply and cancels its attempts. The
// lock must be held.
func (ar *activeRequest) cancelLocked() {
	if ar.finished {
		return
	}
	ar.finished = true
	delete(ar.r.openRequests, ar)
	ar.stopTimers()
	now := ar.r.deps.Clock.Now()
	for _, att := range ar.openAttempts {
		att.exchange.Cancel()
		att.server.RecordCancel(att.startedAt, now)
	}
	ar.openAttempts = nil
	ar.endPermit()
	ar.r.metrics.observeOutcome(ar.route, ar.priority, "caller-left", float64(now-ar.req.ArrivedAt))
	klog.InfoS("caller disconnected", "step", "relay", "request", ar.req.ID, "route", ar.route.ID, "after-ms", now-ar.req.ArrivedAt, "ran", ar.mayHaveRun)
}

// cancel calls cancelLocked with the lock held.
func (ar *activeRequest) cancel() {
	ar.r.deps.Lock.Lock()
	defer ar.r.deps.Lock.Unlock()
	ar.cancelLocked()
}

func (ar *activeRequest) stopTimers() {
	for _, stop := range ar.timerStops {
		stop()
	}
	ar.timerStops = nil
}

// fail ends the request with an error status. 503 tells the caller that no
// server has started the request, so it is used only if that is certain. Reason
// is logged and is also the label value of the outcome metric. keysAndValues are
// added to the log line.
func (ar *activeRequest) fail(reason string, retryAfter zinniatide.Millis, keysAndValues ...any) {
	if ar.finished {
		return
	}
	status := statusUnavailable
	switch {
	case ar.mayHaveRun && ar.r.deps.Clock.Now() >= ar.deadline-deadlineMargin:
		status = statusTimeout
	case ar.mayHaveRun:
		status = statusBadGateway
	}
	if status != statusUnavailable {
		retryAfter = 0
	}
	now := ar.r.deps.Clock.Now()
	klog.InfoS("request failed", append([]any{"step", "relay", "request", ar.req.ID, "route", ar.route.ID, "status", status, "reason", reason,
		"after-ms", now - ar.req.ArrivedAt, "left-ms", ar.deadline - now, "ran", ar.mayHaveRun, "table", ar.r.tableNumber(), "retry-after-ms", retryAfter}, keysAndValues...)...)
	ar.r.metrics.observeOutcome(ar.route, ar.priority, reason, float64(now-ar.req.ArrivedAt))
	ar.finish(Reply{Status: status, RetryAfter: retryAfter})
}

// Statuses of failed requests.
const (
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)

// deadlineMargin is how long before the deadline the final answer is sent, so
// that it reaches the caller in time.
const deadlineMargin zinniatide.Millis = 5

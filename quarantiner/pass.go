package quarantiner

import (
	"sync"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Pass is the permission to run one request. A nil Pass has no restrictions.
type Pass struct {
	q             *Quarantiner
	fingerprint   zinniatide.Fingerprint
	mu            sync.Mutex
	canaryToken   uint64 // zero if this request is not a canary
	canaryServers int
	pending       *pendingCanary
}

// CanaryServers returns the maximum number of backend servers on which the
// request may run before the first answer. Zero means no limit.
func (p *Pass) CanaryServers() int {
	if p == nil {
		return 0
	}
	return p.canaryServers
}

// refusal returns the refusal of a quarantined request and counts it.
func (q *Quarantiner) refusal() *zinniatide.Refusal {
	q.refusals.Inc()
	return zinniatide.Refuse(zinniatide.CodeQuarantined, "the request has crashed backend servers and is not run for a while")
}

// Check refuses a fingerprint that this VM knows to be quarantined. It does not
// block.
func (q *Quarantiner) Check(f zinniatide.Fingerprint) *zinniatide.Refusal {
	if q == nil {
		return nil
	}
	q.mu.Lock()
	s := q.table.lookup(q.Clock.Now(), f)
	quarantined := s != nil && s.quarantinedUntil != 0
	q.mu.Unlock()
	if quarantined {
		return q.refusal()
	}
	return nil
}

// Acquire blocks until the request may run, for at most WaitLimit or half of
// the time to the deadline. The caller must end every Pass with End.
func (q *Quarantiner) Acquire(f zinniatide.Fingerprint, deadline zinniatide.Millis) (*Pass, *zinniatide.Refusal) {
	if q == nil {
		return nil, nil
	}
	now := q.Clock.Now()
	until := now + min((deadline-now)/2, q.config.WaitLimit)
	for {
		pending, created, d := q.joinOrStart(f)
		switch {
		case d == decisionGo:
			return &Pass{q: q, fingerprint: f}, nil
		case d == decisionQuarantine:
			return nil, q.refusal()
		case created:
			return q.awaitDecision(f, pending, until)
		case !q.wait(pending.ended, until-q.Clock.Now()):
			return nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "an identical request is being tried first and has not ended in time")
		}
	}
}

// joinOrStart decides from this VM's own table if it can. Otherwise it returns
// the pending canary of the fingerprint, and whether the call has created it. The
// caller that created it must ask the arbiter and end it with finishPending.
func (q *Quarantiner) joinOrStart(f zinniatide.Fingerprint) (pending *pendingCanary, created bool, d decision) {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.table.lookup(now, f)
	switch {
	case s == nil && q.table.isCompleted(now, f):
		return nil, false, decisionGo
	case s != nil && s.quarantinedUntil != 0:
		return nil, false, decisionQuarantine
	}
	pending = q.pending[f]
	if pending != nil && now-pending.start < q.config.WaitLimit+q.config.GrantLifetime {
		return pending, false, decisionWait
	}
	if pending != nil {
		close(pending.ended) // its grant has expired
	}
	pending = &pendingCanary{start: now, ended: make(chan struct{})}
	q.pending[f] = pending
	return pending, true, decisionWait
}

// finishPending ends a pending canary. It does nothing if that has already ended
// or is nil.
func (q *Quarantiner) finishPending(f zinniatide.Fingerprint, pending *pendingCanary) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if pending != nil && q.pending[f] == pending {
		delete(q.pending, f)
		close(pending.ended)
	}
}

// wait waits until the channel is closed, for at most d. It returns false on a
// timeout.
func (q *Quarantiner) wait(ended <-chan struct{}, d zinniatide.Millis) bool {
	if d <= 0 {
		return false
	}
	expired := make(chan struct{})
	stop := q.Timer.After(d, func() { close(expired) })
	defer stop()
	select {
	case <-ended:
		return true
	case <-expired:
		return false
	}
}

// awaitDecision asks the arbiter repeatedly until it decides, at most up to the
// time until.
func (q *Quarantiner) awaitDecision(f zinniatide.Fingerprint, pending *pendingCanary, until zinniatide.Millis) (*Pass, *zinniatide.Refusal) {
	for {
		token := newToken()
		replies := make(chan canaryReply, 1)
		q.askArbiter(canaryRequest{Fingerprint: f, Token: token, Ask: true}, func(r canaryReply) { replies <- r })
		reply := <-replies
		switch reply.Decision {
		case decisionCanary:
			q.canaries.Inc()
			return &Pass{q: q, fingerprint: f, canaryToken: token, canaryServers: max(reply.Servers, 1), pending: pending}, nil
		case decisionGo:
			q.mu.Lock()
			q.table.markCompleted(q.Clock.Now(), f)
			q.mu.Unlock()
			q.finishPending(f, pending)
			return &Pass{q: q, fingerprint: f}, nil
		case decisionQuarantine:
			q.finishPending(f, pending)
			return nil, q.refusal()
		}
		left := until - q.Clock.Now()
		if left <= 0 {
			q.finishPending(f, pending)
			return nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "an identical request is being tried first and has not ended in time")
		}
		// With a nil channel, wait returns after the timeout.
		q.wait(nil, min(q.config.RetryInterval, left))
	}
}

// ReportAnswered reports that the request has been answered. Identical requests
// may then run without a canary.
func (p *Pass) ReportAnswered() {
	if p != nil {
		p.endCanary(true)
	}
}

// End reports that no backend server runs the request any more.
func (p *Pass) End() {
	if p != nil {
		p.endCanary(false)
	}
}

// endCanary gives up the canary grant, if the pass has one.
func (p *Pass) endCanary(completed bool) {
	p.mu.Lock()
	token := p.canaryToken
	p.canaryToken = 0
	p.mu.Unlock()
	if token == 0 {
		return
	}
	q := p.q
	q.mu.Lock()
	q.table.endCanary(q.Clock.Now(), p.fingerprint, token, completed)
	q.mu.Unlock()
	// Tell the arbiter even if this VM made the decision itself: the arbiter may
	// have granted the canary in a reply that was lost. If the verdict is lost,
	// the grant ends after GrantLifetime.
	if arbiter := q.arbiter(p.fingerprint); arbiter != q.VM {
		if err := q.Linker.Send(arbiter, zinniatide.KindCanaryVerdict, canaryVerdict{Fingerprint: p.fingerprint, Token: token, Completed: completed}); err != nil {
			klog.V(1).InfoS("canary verdict not sent", "vm", q.VM, "step", "canary-verdict", "peer", arbiter, "err", err)
		}
	}
	q.finishPending(p.fingerprint, p.pending)
}

// ReportCrash reports that a backend server was lost while it ran the request.
// asCanary is true if the server ran it as a canary. If done is not nil, it is
// called once with whether one more server may run the request and whether the
// request is quarantined. done may be called on a goroutine of the linker.
func (p *Pass) ReportCrash(asCanary bool, done func(allowed, quarantined bool)) {
	if p == nil {
		if done != nil {
			done(true, false)
		}
		return
	}
	r := canaryRequest{Fingerprint: p.fingerprint, Token: newToken(), Crashed: true, Ask: done != nil}
	p.mu.Lock()
	if asCanary {
		r.CrashToken = p.canaryToken
	}
	p.mu.Unlock()
	q := p.q
	q.askArbiter(r, func(reply canaryReply) {
		if done == nil {
			return
		}
		if reply.Decision == decisionCanary {
			p.mu.Lock()
			p.canaryToken = r.Token
			p.mu.Unlock()
		}
		done(reply.Decision == decisionCanary, reply.Decision == decisionQuarantine)
	})
}

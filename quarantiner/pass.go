package quarantiner

import (
	"sync"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Pass is the right to run one request. A nil Pass has no restrictions.
type Pass struct {
	q       *Quarantiner
	print   zinniatide.Fingerprint
	mu      sync.Mutex
	token   uint64 // of the canary; zero when there is none
	servers int
	flight  *flight
}

// CanaryServers returns on how many backend servers the request may run before
// the first answer. Zero means that there is no restriction.
func (p *Pass) CanaryServers() int {
	if p == nil {
		return 0
	}
	return p.servers
}

// refusal is the answer to a request that must not run.
func (q *Quarantiner) refusal() *zinniatide.Refusal {
	q.refused.Inc()
	return zinniatide.Refuse(zinniatide.CodeQuarantined, "the request has crashed backend servers and is not run for a while")
}

// Check refuses a fingerprint that this VM knows to be in quarantine, without
// any delay.
func (q *Quarantiner) Check(f zinniatide.Fingerprint) *zinniatide.Refusal {
	if q == nil {
		return nil
	}
	q.mu.Lock()
	s := q.table.current(q.Clock.Now(), f)
	bad := s != nil && s.quarantined != 0
	q.mu.Unlock()
	if bad {
		return q.refusal()
	}
	return nil
}

// Enter blocks until the request may run, at most until half of the time to
// deadline has passed. Every Pass must be ended with End.
func (q *Quarantiner) Enter(f zinniatide.Fingerprint, deadline zinniatide.Millis) (*Pass, *zinniatide.Refusal) {
	if q == nil {
		return nil, nil
	}
	now := q.Clock.Now()
	until := now + min((deadline-now)/2, q.config.WaitLimit)
	for {
		fl, leader, d := q.join(f)
		switch {
		case d == decisionGo:
			return &Pass{q: q, print: f}, nil
		case d == decisionQuarantine:
			return nil, q.refusal()
		case leader:
			return q.lead(f, fl, until)
		case !q.wait(fl.ended, until-q.Clock.Now()):
			return nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "an identical request is being tried first and has not ended in time")
		}
	}
}

// join decides from what this VM knows. Otherwise it returns the flight of the
// fingerprint, and whether the caller leads it.
func (q *Quarantiner) join(f zinniatide.Fingerprint) (fl *flight, leader bool, d decision) {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.table.current(now, f)
	switch {
	case s == nil && q.table.proven(now, f):
		return nil, false, decisionGo
	case s != nil && s.quarantined != 0:
		return nil, false, decisionQuarantine
	}
	fl = q.flights[f]
	if fl != nil && now-fl.start < q.config.WaitLimit+q.config.GrantLifetime {
		return fl, false, decisionWait
	}
	if fl != nil {
		close(fl.ended) // its grant has ended long ago
	}
	fl = &flight{start: now, ended: make(chan struct{})}
	q.flights[f] = fl
	return fl, true, decisionWait
}

// land ends a flight. It does nothing when the flight has ended or is nil.
func (q *Quarantiner) land(f zinniatide.Fingerprint, fl *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if fl != nil && q.flights[f] == fl {
		delete(q.flights, f)
		close(fl.ended)
	}
}

// wait waits for a channel to be closed, at most for d. It returns false after d.
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

// lead asks the guard until it decides or the time until has come.
func (q *Quarantiner) lead(f zinniatide.Fingerprint, fl *flight, until zinniatide.Millis) (*Pass, *zinniatide.Refusal) {
	for {
		token := newToken()
		replies := make(chan canaryReply, 1)
		q.call(canaryRequest{Fingerprint: f, Token: token, Ask: true}, func(r canaryReply) { replies <- r })
		reply := <-replies
		switch reply.Decision {
		case decisionCanary:
			q.canaries.Inc()
			return &Pass{q: q, print: f, token: token, servers: max(reply.Servers, 1), flight: fl}, nil
		case decisionGo:
			q.mu.Lock()
			q.table.proof(q.Clock.Now(), f)
			q.mu.Unlock()
			q.land(f, fl)
			return &Pass{q: q, print: f}, nil
		case decisionQuarantine:
			q.land(f, fl)
			return nil, q.refusal()
		}
		left := until - q.Clock.Now()
		if left <= 0 {
			q.land(f, fl)
			return nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "an identical request is being tried first and has not ended in time")
		}
		q.wait(nil, min(q.config.AskInterval, left))
	}
}

// Proven tells that the request has been answered, so that others may run it.
func (p *Pass) Proven() {
	if p != nil {
		p.verdict(true)
	}
}

// End tells that no backend server runs the request any more.
func (p *Pass) End() {
	if p != nil {
		p.verdict(false)
	}
}

func (p *Pass) verdict(completed bool) {
	p.mu.Lock()
	token := p.token
	p.token = 0
	p.mu.Unlock()
	if token == 0 {
		return
	}
	q := p.q
	q.mu.Lock()
	q.table.end(q.Clock.Now(), p.print, token, completed)
	q.mu.Unlock()
	// The guard is told even when this VM decided by itself, because a reply of
	// the guard may have been lost. A lost verdict is made up for by the end of
	// the lifetime of the grant.
	if guard := q.guard(p.print); guard != q.VM {
		if err := q.Linker.Send(guard, zinniatide.KindCanaryVerdict, canaryVerdict{Fingerprint: p.print, Token: token, Completed: completed}); err != nil {
			klog.V(1).InfoS("canary verdict not sent", "vm", q.VM, "step", "canary-verdict", "peer", guard, "err", err)
		}
	}
	q.land(p.print, p.flight)
}

// Crashed reports that a backend server was lost while it ran the request.
// Tried tells that the server ran it as a canary. When done is not nil it is
// called once and tells whether one more server may run the request; it may be
// called on a thread of the linker.
func (p *Pass) Crashed(tried bool, done func(allowed, quarantined bool)) {
	if p == nil {
		if done != nil {
			done(true, false)
		}
		return
	}
	r := canaryRequest{Fingerprint: p.print, Token: newToken(), Crashed: true, Ask: done != nil}
	p.mu.Lock()
	if tried {
		r.CrashToken = p.token
	}
	p.mu.Unlock()
	q := p.q
	q.call(r, func(reply canaryReply) {
		if done == nil {
			return
		}
		if reply.Decision == decisionCanary {
			p.mu.Lock()
			p.token = r.Token
			p.mu.Unlock()
		}
		done(reply.Decision == decisionCanary, reply.Decision == decisionQuarantine)
	})
}

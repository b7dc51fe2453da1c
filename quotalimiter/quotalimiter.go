// Package quotalimiter implements zinniatide.QuotaLimiter. It carries the messages
// between leaseholder, which keeps the tokens of a VM, and the granters of the VMs that
// count.
package quotalimiter

import (
	"fmt"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/boottime"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/granter"
	"zinniatide.example/zinniatide/leaseholder"
)

const (
	// callTimeout bounds the wait for a VM that counts. It is far above the round trip
	// between zones, 1 to 3 ms, because a VM with a fifth of a core may be busy for 100 ms.
	callTimeout zinniatide.Millis = 250
	// silentTime is how long a VM that did not answer is not asked again.
	silentTime zinniatide.Millis = 500
	// unknownTime is how long requests are refused without asking after no VM could
	// grant tokens: 195 VMs then ask each of the three VMs of a workspace 780 times a second.
	unknownTime zinniatide.Millis = 250
	// maxSoonRetries bounds how often a VM that will be able to decide soon is asked again.
	maxSoonRetries = 8
	// soonWait is the longest wait for which a request is held.
	soonWait zinniatide.Millis = 50
	// unknownRetryAfter is the Retry-After while no VM grants tokens and none says for how
	// long. unknownSpacing spreads the callers.
	unknownRetryAfter zinniatide.Millis = 500
	unknownSpacing    zinniatide.Millis = 5
	maxUnknownSpread                    = 100
	// tickInterval is how often tokens are renewed while a workspace with a limit is served.
	tickInterval zinniatide.Millis = 50
	// maxWaiting bounds the requests of a workspace that wait for a decision on this VM. At
	// 205 requests/s only a few wait during a round trip.
	maxWaiting = 4096
	// handoversPerMessage keeps messages below 64 KiB with the longest ids.
	handoversPerMessage = 256
)

// Dependencies are the dependencies of a Limiter.
type Dependencies struct {
	Clock zinniatide.Clock
	// BootTime returns the time since boot, including suspensions.
	BootTime func() zinniatide.Millis
	Timer    timer.Timer
	Linker   zinniatide.Linker
	// ConfirmedAt returns when the configuration was last known to be the newest, by Clock.
	ConfirmedAt func() zinniatide.Millis
	Registerer  prometheus.Registerer
}

// Limiter implements zinniatide.QuotaLimiter. It is safe for concurrent use.
type Limiter struct {
	deps    Dependencies
	boot    *boottime.Converter
	metrics *metrics

	mu      sync.Mutex
	outbox  []func() // run after mu is released
	granter *granter.Granter
	holder  *leaseholder.Holder
	config  *granter.Configuration
	routing *zinniatide.Routing // of config
	calls   map[zinniatide.WorkspaceID]*openCalls
	// silentUntil is set for VMs that did not answer.
	silentUntil map[zinniatide.VMID]zinniatide.Millis
	ticking     bool
}

var _ zinniatide.QuotaLimiter = (*Limiter)(nil)

// openCalls are the requests of a workspace that wait for a decision.
type openCalls struct {
	limit   granter.Limit
	waiting []*waiter // for the next question
	asking  bool
	// skipUntil is when the counting VM can decide again, and unknownUntil when any VM is
	// asked again. unknown counts the requests refused since then.
	skipUntil, unknownUntil zinniatide.Millis
	unknown                 int
	// reason explains the last refusal or fault. grantedAt is when the counting VM last
	// granted tokens, or 0.
	reason    string
	grantedAt zinniatide.Millis
}

// explain returns the reason of a refusal with the age of the last grant.
func (c *openCalls) explain(now zinniatide.Millis) string {
	if c.grantedAt == 0 {
		return c.reason + ", no tokens granted so far"
	}
	return fmt.Sprintf("%s, tokens last granted %d ms ago", c.reason, now-c.grantedAt)
}

type waiter struct {
	done      func(zinniatide.QuotaDecision)
	cancelled bool
}

// question is one round of messages for the requests in batch.
type question struct {
	workspace zinniatide.WorkspaceID
	batch     []*waiter
	rank      int
	vm        zinniatide.VMID
	sentAt    zinniatide.Millis
	soon      int // times that a VM was asked again because it can decide soon
	wait      zinniatide.Millis
	reasons   string
}

// New returns a Limiter, which uses g alone. It registers its handlers, so the linker
// must not have been started.
func New(g *granter.Granter, d Dependencies) *Limiter {
	l := &Limiter{
		deps: d, boot: boottime.NewConverter(d.Clock, d.BootTime), granter: g, holder: leaseholder.New(),
		config: &granter.Configuration{}, calls: map[zinniatide.WorkspaceID]*openCalls{}, silentUntil: map[zinniatide.VMID]zinniatide.Millis{},
	}
	l.metrics = newMetrics(d.Registerer, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.granter.Counted())
	})
	d.Linker.Handle(zinniatide.KindQuotaTake, l.handleTake)
	d.Linker.Handle(zinniatide.KindQuotaHandover, l.handleHandover)
	return l
}

// unlock releases mu and then runs what was put into the outbox: calls of the linker and
// of callers, which may call back.
func (l *Limiter) unlock() {
	outbox := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	for _, f := range outbox {
		f()
	}
}

// Install applies a configuration. It must be called before the configuration is
// confirmed to the control leader, and not concurrently.
func (l *Limiter) Install(c *zinniatide.Configuration) {
	l.mu.Lock()
	defer l.unlock()
	next := &granter.Configuration{Epoch: c.Epoch, Number: c.RoutingNumber, Limits: l.config.Limits}
	switch {
	case len(l.config.Counters) == 0 && !granter.HasLimits(c):
		next.Limits = nil // nothing to count, before and now
	case c.Routing != l.routing:
		next = granter.NewConfiguration(c)
	case len(l.config.Counters) > 0:
		next.Counters = granter.Counters(c)
	}
	now := l.boot.Now()
	handovers := l.granter.Install(next, now, l.boot.Convert(l.deps.ConfirmedAt()))
	l.config, l.routing = next, c.Routing
	for len(handovers) > 0 {
		n := 1
		for n < len(handovers) && n < handoversPerMessage && handovers[n].To == handovers[0].To {
			n++
		}
		batch := handovers[:n]
		handovers = handovers[n:]
		l.outbox = append(l.outbox, func() { l.sendHandover(batch, c.Epoch) })
	}
}

func (l *Limiter) sendHandover(batch []granter.Handover, epoch zinniatide.Epoch) {
	l.metrics.handovers.Add(float64(len(batch)))
	err := l.deps.Linker.Send(batch[0].To, zinniatide.KindQuotaHandover, batch)
	klog.InfoS("handing over the counting of workspaces", "step", "quota", "peer", batch[0].To, "workspaces", len(batch), "epoch", epoch, "err", err)
}

// Take implements zinniatide.QuotaLimiter. done is called without a lock of the Limiter.
func (l *Limiter) Take(w zinniatide.WorkspaceID, rate, burst float64, done func(zinniatide.QuotaDecision)) func() {
	l.mu.Lock()
	defer l.unlock()
	now := l.boot.Now()
	l.scheduleTick()
	decision, retryAfter, returnWithin := l.holder.Take(w, now)
	calls := l.callsOf(w)
	calls.limit = granter.Limit{Number: l.config.Number, Rate: rate, Burst: burst}
	wt := &waiter{done: done}
	switch {
	case decision == leaseholder.Admit:
		l.metrics.held.Inc()
		l.decide(wt, zinniatide.QuotaDecision{Admitted: true, ReturnWithin: returnWithin})
	case decision == leaseholder.Refuse:
		l.metrics.exhausted.Inc()
		l.decide(wt, zinniatide.QuotaDecision{Exhausted: true, RetryAfter: retryAfter, Reason: "refused shortly before: " + calls.explain(now)})
	case len(calls.waiting) >= maxWaiting:
		l.decideUnknown(calls, wt, unknownTime, "too many requests wait for a decision")
	case now < calls.unknownUntil:
		l.decideUnknown(calls, wt, calls.unknownUntil-now, calls.explain(now))
	default:
		calls.waiting = append(calls.waiting, wt)
		l.askNext(w, calls, false)
		return func() {
			l.mu.Lock()
			defer l.unlock()
			wt.cancelled = true
		}
	}
	return func() {}
}

func (l *Limiter) callsOf(w zinniatide.WorkspaceID) *openCalls {
	calls := l.calls[w]
	if calls == nil {
		calls = &openCalls{}
		l.calls[w] = calls
	}
	return calls
}

func (l *Limiter) decide(wt *waiter, d zinniatide.QuotaDecision) {
	l.outbox = append(l.outbox, func() { wt.done(d) })
}

func (l *Limiter) decideUnknown(calls *openCalls, wt *waiter, after zinniatide.Millis, reason string) {
	l.metrics.unknown.Inc()
	spread := zinniatide.Millis(calls.unknown%maxUnknownSpread) * unknownSpacing
	calls.unknown++
	l.decide(wt, zinniatide.QuotaDecision{RetryAfter: max(after, unknownTime) + spread, Reason: reason})
}

// Return implements zinniatide.QuotaLimiter.
func (l *Limiter) Return(w zinniatide.WorkspaceID) {
	l.mu.Lock()
	defer l.unlock()
	if l.holder.Return(w, l.boot.Now()) {
		l.metrics.returned.Inc()
	}
}

// askNext sends a question for the waiting requests, unless one is open. With renew, it
// is sent also if none waits.
func (l *Limiter) askNext(w zinniatide.WorkspaceID, calls *openCalls, renew bool) {
	if calls.asking || len(calls.waiting) == 0 && !renew {
		return
	}
	calls.asking = true
	q := &question{workspace: w, batch: calls.waiting}
	calls.waiting = nil
	if now := l.boot.Now(); now < calls.skipUntil {
		q.rank, q.reasons, q.wait = 1, calls.reason, calls.skipUntil-now
	}
	l.ask(q)
}

// ask sends a question to the VM with the rank of the question, or the next one that may
// answer.
func (l *Limiter) ask(q *question) {
	now := l.boot.Now()
	q.dropCancelled()
	ranking := granter.Ranking(q.workspace, l.config.Counters)
	for ; q.rank < len(ranking) && q.rank <= granter.EmergencyRanks; q.rank++ {
		if q.rank > 0 && len(q.batch) == 0 {
			break
		}
		if now < l.silentUntil[ranking[q.rank]] {
			q.addReason(ranking[q.rank], "has not answered", 0)
			continue
		}
		q.vm, q.sentAt = ranking[q.rank], now
		var r granter.Request
		if q.rank == 0 {
			r = l.holder.Request(q.workspace, q.vm, len(q.batch), now)
		} else {
			r = granter.Request{Workspace: q.workspace, Needed: len(q.batch), Rank: q.rank}
		}
		r.Limit = l.callsOf(q.workspace).limit
		l.metrics.asked.Inc()
		l.outbox = append(l.outbox, func() {
			l.deps.Linker.Call(q.vm, zinniatide.KindQuotaTake, &r, callTimeout, func(body []byte, err error) {
				reply := &granter.Reply{}
				if err == nil {
					err = encoder.Unmarshal(body, reply)
				}
				l.handleReply(q, reply, err)
			})
		})
		return
	}
	if len(ranking) == 0 {
		q.reasons = "no VM counts"
	}
	l.finishUnknown(q, now)
}

func (q *question) dropCancelled() {
	kept := q.batch[:0]
	for _, wt := range q.batch {
		if !wt.cancelled {
			kept = append(kept, wt)
		}
	}
	q.batch = kept
}

func (q *question) addReason(vm zinniatide.VMID, reason string, epoch zinniatide.Epoch) {
	if q.reasons != "" {
		q.reasons += "; "
	}
	q.reasons += fmt.Sprintf("%s: %s", vm, reason)
	if epoch > 0 {
		q.reasons += fmt.Sprintf(" at epoch %d", epoch)
	}
}

// finishUnknown ends a question that no VM could answer.
func (l *Limiter) finishUnknown(q *question, now zinniatide.Millis) {
	calls := l.callsOf(q.workspace)
	calls.asking = false
	if len(q.batch) > 0 {
		calls.unknownUntil, calls.unknown = now+unknownTime, 0
		calls.reason = fmt.Sprintf("%s; own epoch %d", q.reasons, l.config.Epoch)
		after := q.wait
		if after <= 0 {
			after = unknownRetryAfter
		}
		for _, wt := range q.batch {
			l.decideUnknown(calls, wt, after, calls.explain(now))
		}
	}
	l.askNext(q.workspace, calls, false)
}

// handleReply applies the reply to a question.
func (l *Limiter) handleReply(q *question, r *granter.Reply, err error) {
	l.mu.Lock()
	defer l.unlock()
	now := l.boot.Now()
	calls := l.callsOf(q.workspace)
	switch {
	case err != nil:
		l.silentUntil[q.vm] = now + silentTime
		q.addReason(q.vm, err.Error(), 0)
		q.rank++
		l.ask(q)
	case q.rank > 0:
		if n := l.admit(q, r, now, nil); n < len(q.batch) {
			q.batch = q.batch[n:]
			q.addReason(q.vm, r.Status.String(), r.Epoch)
			q.rank++
			l.ask(q)
			return
		}
		calls.asking = false
		l.askNext(q.workspace, calls, false)
	case r.Status == granter.Decided:
		l.applyDecision(q, r, calls, now)
	case (r.Status == granter.Elsewhere || r.Status == granter.Waiting && r.Wait <= soonWait) && q.soon < maxSoonRetries && len(q.batch) > 0:
		q.soon++
		l.outbox = append(l.outbox, func() {
			l.deps.Timer.After(soonWait, func() {
				l.mu.Lock()
				defer l.unlock()
				l.ask(q)
			})
		})
	default:
		q.batch = q.batch[l.admit(q, r, now, nil):]
		q.addReason(q.vm, r.Status.String(), r.Epoch)
		q.wait = r.Wait
		calls.skipUntil, calls.reason = now+min(max(r.Wait, unknownTime), silentTime), q.reasons
		q.rank++
		l.ask(q)
	}
}

// admit admits the first requests of a question for which tokens were granted, and returns
// their number. Tokens that came too late are not used: they count as spent.
func (l *Limiter) admit(q *question, r *granter.Reply, now zinniatide.Millis, use func(wt *waiter) zinniatide.Millis) int {
	if now >= q.sentAt+granter.Lease {
		return 0
	}
	n := min(max(r.Granted, 0), len(q.batch))
	for _, wt := range q.batch[:n] {
		d := zinniatide.QuotaDecision{Admitted: true}
		if use != nil {
			d.ReturnWithin = use(wt)
		}
		if wt.cancelled {
			continue
		}
		l.metrics.granted.Inc()
		l.decide(wt, d)
	}
	return n
}

// applyDecision applies the answer of the counting VM.
func (l *Limiter) applyDecision(q *question, r *granter.Reply, calls *openCalls, now zinniatide.Millis) {
	usableFor := l.holder.Granted(q.workspace, r, q.sentAt, now)
	if usableFor <= 0 && len(q.batch) > 0 && q.soon < maxSoonRetries {
		q.soon++
		l.ask(q)
		return
	}
	n := l.admit(q, r, now, func(wt *waiter) zinniatide.Millis {
		if wt.cancelled {
			l.holder.Keep(q.workspace, r, q.sentAt, now)
			return 0
		}
		return l.holder.Use(q.workspace, r, q.sentAt, now)
	})
	if r.Granted+r.Held > 0 {
		calls.grantedAt = now
	}
	if refused := q.batch[n:]; len(refused) > 0 {
		calls.reason = fmt.Sprintf("counted by %s at epoch %d, answered in %d ms", q.vm, r.Epoch, now-q.sentAt)
		for i, retryAfter := range l.holder.Exhausted(q.workspace, r, len(refused), now) {
			if refused[i].cancelled {
				continue
			}
			l.metrics.exhausted.Inc()
			l.decide(refused[i], zinniatide.QuotaDecision{Exhausted: true, RetryAfter: retryAfter, Reason: calls.explain(now)})
		}
	}
	calls.asking = false
	l.askNext(q.workspace, calls, false)
}

// scheduleTick starts the renewal of tokens. It ends when no workspace with a limit has
// been served for a while.
func (l *Limiter) scheduleTick() {
	if l.ticking {
		return
	}
	l.ticking = true
	l.outbox = append(l.outbox, func() { l.deps.Timer.After(tickInterval, l.tick) })
}

func (l *Limiter) tick() {
	l.mu.Lock()
	defer l.unlock()
	l.ticking = false
	now := l.boot.Now()
	for _, w := range l.holder.Due(now) {
		if calls := l.callsOf(w); now >= calls.skipUntil {
			l.askNext(w, calls, true)
		}
	}
	if l.holder.Len() > 0 {
		l.scheduleTick()
		return
	}
	for w, calls := range l.calls {
		if !calls.asking && len(calls.waiting) == 0 {
			delete(l.calls, w)
		}
	}
	clear(l.silentUntil)
}

// handleTake answers a question of a VM.
func (l *Limiter) handleTake(from zinniatide.VMID, body []byte, reply func(any, error)) {
	if reply == nil {
		return
	}
	var r granter.Request
	if err := encoder.Unmarshal(body, &r); err != nil {
		reply(nil, zinniatide.WrapStep(err, "quota", string(from)))
		return
	}
	l.mu.Lock()
	answer := l.granter.Take(from, r, l.boot.Now(), l.boot.Convert(l.deps.ConfirmedAt()))
	l.unlock()
	l.metrics.answered.Inc()
	if answer.Granted > 0 && (r.Rank > 0 || answer.Status != granter.Decided) {
		l.metrics.emergency.Add(float64(answer.Granted))
	}
	reply(&answer, nil)
}

// handleHandover takes over the buckets of a VM that has stopped counting.
func (l *Limiter) handleHandover(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var handovers []granter.Handover
	if err := encoder.Unmarshal(body, &handovers); err != nil {
		klog.ErrorS(err, "handover of quotas ignored", "step", "quota", "peer", from)
		return
	}
	l.mu.Lock()
	defer l.unlock()
	now := l.boot.Now()
	for _, h := range handovers {
		l.granter.Receive(h, now)
	}
}

package relayer

import (
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// limitOf returns the workspace of a request if it has a limit and this VM enforces it.
func (r *Relayer) limitOf(req *Request) *zinniatide.RelayWorkspace {
	if r.deps.Quota == nil || req.Workspace == "" {
		return nil
	}
	if w := r.table.Workspace(req.Workspace); w != nil && w.Rate > 0 {
		return w
	}
	return nil
}

// quotaRequest is a request that waits for the decision of the quota limiter. It then
// continues as a forwardRequest or a gatherRequest.
type quotaRequest struct {
	activeRequest
	// decided is set once the limiter has decided.
	decided bool
	// cancelTake withdraws the request from the limiter. It is nil until Take has
	// returned.
	cancelTake func()
	// cancelNext cancels the request that this one has continued as.
	cancelNext func()
}

// awaitQuota asks the limiter for a token. The lock is released for the call, because the
// limiter may answer at once and the answer is handled with the lock held. Nothing of the
// request is known to others yet.
func (r *Relayer) awaitQuota(base activeRequest, w *zinniatide.RelayWorkspace) (cancel func()) {
	q := &quotaRequest{activeRequest: base}
	r.trackRequest(&q.activeRequest, q.end)
	q.after(q.deadline-deadlineMargin-r.deps.Clock.Now(), func() { q.end("no decision on the quota by the deadline", shortRetryAfter) })
	r.deps.Lock.Unlock()
	cancelTake := r.deps.Quota.Take(w.Workspace, w.Rate, w.Burst, q.decide)
	r.deps.Lock.Lock()
	q.cancelTake = cancelTake
	if q.finished && !q.decided {
		cancelTake() // ended by a stop of the VM
	}
	return q.cancel
}

// decide handles the decision of the limiter.
func (q *quotaRequest) decide(d zinniatide.QuotaDecision) {
	q.r.deps.Lock.Lock()
	defer q.r.deps.Lock.Unlock()
	q.decided = true
	switch {
	case q.finished && d.Admitted:
		q.r.deps.Quota.Return(q.req.Workspace)
	case q.finished:
	case d.Admitted && !q.r.endsInTime(q.route, q.deadline, q.r.deps.Clock.Now()):
		q.release()
		q.r.deps.Quota.Return(q.req.Workspace)
		q.r.refuse(q.req, q.route, q.respond, statusUnavailable, "this VM is stopping", stoppingRetryAfter, "tenant", q.req.Workspace)
	case d.Admitted:
		q.release()
		q.cancelNext = q.r.run(q.continued(d.ReturnWithin))
	case d.Exhausted:
		q.release()
		q.r.refuse(q.req, q.route, q.respond, fasthttp.StatusTooManyRequests, "quota is used up", d.RetryAfter, "tenant", q.req.Workspace, "quota", d.Reason)
	default:
		q.release()
		q.r.refuse(q.req, q.route, q.respond, statusUnavailable, "quota is not known", d.RetryAfter, "tenant", q.req.Workspace, "quota", d.Reason)
	}
}

// release ends the wait without an answer to the caller.
func (q *quotaRequest) release() {
	q.finished = true
	delete(q.r.openRequests, &q.activeRequest)
	q.stopTimers()
}

// continued returns the state with which an admitted request goes on.
func (q *quotaRequest) continued(returnWithin zinniatide.Millis) activeRequest {
	return activeRequest{
		r: q.r, req: q.req, route: q.route, priority: q.priority, respond: q.respond, startedAt: q.startedAt, deadline: q.deadline,
		tokenUntil: q.r.deps.Clock.Now() + returnWithin,
	}
}

// returnToken gives back the token of a request that is answered with reply, if that
// says that it has not run and the token can still be used.
func (ar *activeRequest) returnToken(reply *Reply) {
	if ar.tokenUntil > 0 && reply.Status == statusUnavailable && !ar.mayHaveRun && ar.r.deps.Clock.Now() < ar.tokenUntil {
		ar.tokenUntil = 0
		ar.r.deps.Quota.Return(ar.req.Workspace)
	}
}

// returningRespond returns respond with a call of returnToken before it.
func (ar *activeRequest) returningRespond() func(Reply) {
	respond := ar.respond
	if ar.tokenUntil == 0 {
		return respond
	}
	return func(reply Reply) {
		ar.returnToken(&reply)
		respond(reply)
	}
}

// end refuses a request that still waits.
func (q *quotaRequest) end(reason string, retryAfter zinniatide.Millis) {
	if q.finished {
		return
	}
	q.release()
	if q.cancelTake != nil && !q.decided {
		q.cancelTake()
	}
	q.r.refuse(q.req, q.route, q.respond, statusUnavailable, reason, retryAfter, "tenant", q.req.Workspace)
}

// cancel ends the request of a caller that has left, before or after the decision.
func (q *quotaRequest) cancel() {
	q.r.deps.Lock.Lock()
	if q.cancelNext != nil {
		q.r.deps.Lock.Unlock()
		q.cancelNext()
		return
	}
	defer q.r.deps.Lock.Unlock()
	if !q.finished && q.cancelTake != nil {
		q.cancelTake()
	}
	q.cancelLocked()
}

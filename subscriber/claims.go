package subscriber

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// Timeouts and limits of claims and their results.
const (
	// claimTimeout bounds the wait for the reply to one message.
	claimTimeout zinniatide.Millis = 400
	// claimDecisionTimeout is how long an undecided claim is retried. It covers
	// the election of a leader.
	claimDecisionTimeout zinniatide.Millis = 2000
	// resultRetryTimeout is how long the result of a claim is retried. Without a
	// recorded result the request id stays in progress until it expires.
	resultRetryTimeout zinniatide.Millis = 30_000
	// claimRetryDelay is the delay between two attempts.
	claimRetryDelay zinniatide.Millis = 40
	// maxQueuedClaims and maxQueuedResults bound the memory of the queue.
	maxQueuedClaims  = 20_000
	maxQueuedResults = 20_000
)

// claimQueueItem is a claim or a result that the leader has not yet decided or
// recorded.
type claimQueueItem struct {
	claim         *zinniatide.Claim
	result        *zinniatide.ClaimResult
	done          func(zinniatide.ClaimReply, error)
	nextAttemptAt zinniatide.Millis
	expiresAt     zinniatide.Millis
	inFlight      bool
	completed     bool
	maybeReceived bool // a leader may have received the claim
}

// claimQueue holds the pending claims and results in order of arrival.
type claimQueue struct {
	items       []*claimQueueItem
	claimCount  int
	resultCount int
}

// Claim implements zinniatide.ClaimStore. The error is a *zinniatide.Refusal
// with OutcomeNotRun: the caller must not dispatch the request. If the claim may
// have been granted nevertheless, the result not-run is queued to free the
// request id.
func (s *Subscriber) Claim(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	s.post(func() {
		if s.claims.claimCount >= maxQueuedClaims {
			done(zinniatide.ClaimReply{}, zinniatide.Refuse(zinniatide.CodeOverloaded, "%d claims wait for the control leader", s.claims.claimCount))
			return
		}
		s.claims.claimCount++
		s.claims.items = append(s.claims.items, &claimQueueItem{claim: &c, done: done, expiresAt: s.clock.Now() + claimDecisionTimeout})
	})
}

// Finish implements zinniatide.ClaimStore. It retries the result until the leader
// has recorded it, or resultRetryTimeout has passed.
func (s *Subscriber) Finish(r zinniatide.ClaimResult) {
	s.post(func() { s.queueResult(&r) })
}

func (s *Subscriber) queueResult(r *zinniatide.ClaimResult) {
	if s.claims.resultCount >= maxQueuedResults {
		s.metrics.unrecordedResults.Inc()
		klog.ErrorS(nil, "claim result dropped, queue is full", "step", "finish", "request", r.RequestID)
		return
	}
	s.claims.resultCount++
	s.claims.items = append(s.claims.items, &claimQueueItem{result: r, expiresAt: s.clock.Now() + resultRetryTimeout})
}

// sendDue sends the items that are due, expires those past their time, and
// removes completed ones.
func (q *claimQueue) sendDue(s *Subscriber, now zinniatide.Millis) {
	for _, item := range q.items {
		switch {
		case item.completed || item.inFlight:
		case now >= item.expiresAt:
			s.expire(item)
		case now >= item.nextAttemptAt:
			s.sendQueued(item)
		}
	}
	remaining := q.items[:0]
	for _, item := range q.items {
		if !item.completed {
			remaining = append(remaining, item)
		}
	}
	clear(q.items[len(remaining):])
	q.items = remaining
}

// nextDue returns the time at which the next item is due, at most limit.
func (q *claimQueue) nextDue(limit zinniatide.Millis) zinniatide.Millis {
	for _, item := range q.items {
		if !item.inFlight {
			limit = min(limit, item.nextAttemptAt, item.expiresAt)
		}
	}
	return limit
}

func (s *Subscriber) sendQueued(item *claimQueueItem) {
	contacted := s.contactVM()
	if contacted == "" {
		return
	}
	item.inFlight = true
	if item.claim != nil {
		call(s, contacted, zinniatide.KindClaim, item.claim, claimTimeout, func(reply *controlproto.ClaimReply, err error) {
			s.handleClaimReply(contacted, item, reply, err)
		})
		return
	}
	call(s, contacted, zinniatide.KindClaimResult, item.result, claimTimeout, func(reply *controlproto.ClaimResultReply, err error) {
		if s.handleLeadership(contacted, item, reply.LeaderStatus, err) && reply.Refusal == nil {
			s.complete(item)
		}
	})
}

// handleClaimReply processes the reply to one attempt of a claim.
func (s *Subscriber) handleClaimReply(contacted zinniatide.VMID, item *claimQueueItem, reply *controlproto.ClaimReply, err error) {
	lost := err != nil && !errors.Is(err, zinniatide.ErrNotSent)
	if lost || reply.Refusal != nil && reply.Refusal.Outcome == zinniatide.OutcomeUnknown {
		item.maybeReceived = true
	}
	if !s.handleLeadership(contacted, item, reply.LeaderStatus, err) {
		return
	}
	refusal := reply.Refusal
	switch {
	case refusal == nil:
		s.complete(item)
		item.done(reply.Reply, nil)
	case refusal.Code == zinniatide.CodeNoQuorum || refusal.Outcome == zinniatide.OutcomeUnknown:
		// Undecided, or decided with an outcome unknown here. The claim is retried
		// with the same token.
	default:
		s.complete(item)
		item.done(zinniatide.ClaimReply{}, refusal.Err())
	}
}

// handleLeadership ends the attempt of item and reports whether the reply is
// from a leader. If it names another leader, that one is contacted next.
func (s *Subscriber) handleLeadership(contacted zinniatide.VMID, item *claimQueueItem, leadership controlproto.LeaderStatus, err error) bool {
	item.inFlight = false
	item.nextAttemptAt = s.clock.Now() + claimRetryDelay
	switch {
	case err != nil:
		// Only unanswered heartbeats cause a switch to another control VM.
		return false
	case !leadership.Leading:
		if leadership.Leader != "" {
			s.switchContact(contacted, leadership.Leader)
		}
		return false
	}
	return true
}

// expire gives up an item that has reached its expiry time.
func (s *Subscriber) expire(item *claimQueueItem) {
	s.complete(item)
	if item.result != nil {
		s.metrics.unrecordedResults.Inc()
		klog.ErrorS(nil, "claim result not recorded before its timeout", "step", "finish", "request", item.result.RequestID, "outcome", item.result.Outcome)
		return
	}
	s.metrics.undecidedClaims.Inc()
	if item.maybeReceived {
		s.queueResult(&zinniatide.ClaimResult{RequestID: item.claim.RequestID, Token: item.claim.Token, Outcome: zinniatide.OutcomeNotRun})
	}
	item.done(zinniatide.ClaimReply{}, zinniatide.Refuse(zinniatide.CodeNoQuorum, "the control leader has not decided the claim of %s in time", item.claim.RequestID))
}

func (s *Subscriber) complete(item *claimQueueItem) {
	item.completed = true
	if item.claim != nil {
		s.claims.claimCount--
	} else {
		s.claims.resultCount--
	}
}

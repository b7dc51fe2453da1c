package subscriber

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// Bounds of claims on their way to the leader.
const (
	// claimTimeout is the wait for one answer, claimBound the time within
	// which a lost claim is repeated. It covers an election.
	claimTimeout zinniatide.Millis = 400
	claimBound   zinniatide.Millis = 2000
	// resultBound is how long the result of a claim is repeated. Without a
	// recorded result the request id stays in progress until it expires.
	resultBound zinniatide.Millis = 30_000
	// claimRetry is the delay before another attempt.
	claimRetry zinniatide.Millis = 40
	// maxClaimsQueued and maxResultsQueued bound the memory of the queue.
	maxClaimsQueued  = 20_000
	maxResultsQueued = 20_000
)

// claimItem is a claim or a result that the leader has not answered.
type claimItem struct {
	claim     *zinniatide.Claim
	result    *zinniatide.ClaimResult
	done      func(zinniatide.ClaimReply, error)
	nextAt    zinniatide.Millis
	giveUpAt  zinniatide.Millis
	waiting   bool
	finished  bool
	attempted bool // a claim may have reached a leader
}

// claimQueue holds the open items, in order of arrival.
type claimQueue struct {
	items   []*claimItem
	claims  int
	results int
}

// Claim implements zinniatide.ClaimStore. The error is a *zinniatide.Refusal
// with OutcomeNotRun: the caller must not dispatch the request. When the claim
// may have been granted, the leader is told that it is not used.
func (s *Subscriber) Claim(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	s.post(func() {
		if s.claims.claims >= maxClaimsQueued {
			done(zinniatide.ClaimReply{}, zinniatide.Refuse(zinniatide.CodeOverloaded, "%d claims wait for the control leader", s.claims.claims))
			return
		}
		s.claims.claims++
		s.claims.items = append(s.claims.items, &claimItem{claim: &c, done: done, giveUpAt: s.clock.Now() + claimBound})
	})
}

// Finish implements zinniatide.ClaimStore. It repeats the result until the
// leader has recorded it, for a bounded time.
func (s *Subscriber) Finish(r zinniatide.ClaimResult) {
	s.post(func() { s.queueResult(&r) })
}

func (s *Subscriber) queueResult(r *zinniatide.ClaimResult) {
	if s.claims.results >= maxResultsQueued {
		s.metrics.unrecorded.Inc()
		klog.ErrorS(nil, "dropped the result of a claim: too many wait for the control leader", "step", "finish", "request", r.RequestID)
		return
	}
	s.claims.results++
	s.claims.items = append(s.claims.items, &claimItem{result: r, giveUpAt: s.clock.Now() + resultBound})
}

// tick sends the items that are due and drops those that are finished.
func (q *claimQueue) tick(s *Subscriber, now zinniatide.Millis) {
	for _, item := range q.items {
		switch {
		case item.finished || item.waiting:
		case now >= item.giveUpAt:
			s.giveUp(item)
		case now >= item.nextAt:
			s.sendItem(item)
		}
	}
	open := q.items[:0]
	for _, item := range q.items {
		if !item.finished {
			open = append(open, item)
		}
	}
	clear(q.items[len(open):])
	q.items = open
}

// next returns when the next item is due, at most limit.
func (q *claimQueue) next(limit zinniatide.Millis) zinniatide.Millis {
	for _, item := range q.items {
		if !item.waiting {
			limit = min(limit, item.nextAt, item.giveUpAt)
		}
	}
	return limit
}

func (s *Subscriber) sendItem(item *claimItem) {
	leader := s.leader()
	if leader == "" {
		return
	}
	item.waiting = true
	if item.claim != nil {
		call(s, leader, zinniatide.KindClaim, item.claim, claimTimeout, func(reply *controlproto.ClaimReply, err error) {
			s.claimDone(leader, item, reply, err)
		})
		return
	}
	call(s, leader, zinniatide.KindClaimResult, item.result, claimTimeout, func(reply *controlproto.ClaimResultReply, err error) {
		if s.answered(leader, item, reply.Leadership, err) && reply.Refusal == nil {
			s.finishItem(item)
		}
	})
}

// claimDone takes one answer to a claim.
func (s *Subscriber) claimDone(leader zinniatide.VMID, item *claimItem, reply *controlproto.ClaimReply, err error) {
	lost := err != nil && !errors.Is(err, zinniatide.ErrNotSent)
	if lost || reply.Refusal != nil && reply.Refusal.Outcome == zinniatide.OutcomeUnknown {
		item.attempted = true
	}
	if !s.answered(leader, item, reply.Leadership, err) {
		return
	}
	refusal := reply.Refusal
	switch {
	case refusal == nil:
		s.finishItem(item)
		item.done(reply.Reply, nil)
	case refusal.Code == zinniatide.CodeNoQuorum || refusal.Outcome == zinniatide.OutcomeUnknown:
		// Not decided, or decided without our knowledge: the next tick asks
		// again with the same token.
	default:
		s.finishItem(item)
		item.done(zinniatide.ClaimReply{}, refusal.Err())
	}
}

// answered ends the wait of item and reports whether a leader has answered.
func (s *Subscriber) answered(leader zinniatide.VMID, item *claimItem, lead controlproto.Leadership, err error) bool {
	item.waiting = false
	item.nextAt = s.clock.Now() + claimRetry
	switch {
	case err != nil:
		// The heartbeats decide when to leave a silent control VM.
		return false
	case !lead.Leading:
		if lead.Leader != "" {
			s.changeLeader(leader, lead.Leader)
		}
		return false
	}
	return true
}

// giveUp ends an item whose time has passed.
func (s *Subscriber) giveUp(item *claimItem) {
	s.finishItem(item)
	if item.result != nil {
		s.metrics.unrecorded.Inc()
		klog.ErrorS(nil, "gave up recording the result of a claim", "step", "finish", "request", item.result.RequestID, "outcome", item.result.Outcome)
		return
	}
	s.metrics.undecided.Inc()
	if item.attempted {
		s.queueResult(&zinniatide.ClaimResult{RequestID: item.claim.RequestID, Token: item.claim.Token, Outcome: zinniatide.OutcomeNotRun})
	}
	item.done(zinniatide.ClaimReply{}, zinniatide.Refuse(zinniatide.CodeNoQuorum, "the control leader has not decided the claim of %s in time", item.claim.RequestID))
}

func (s *Subscriber) finishItem(item *claimItem) {
	item.finished = true
	if item.claim != nil {
		s.claims.claims--
	} else {
		s.claims.results--
	}
}

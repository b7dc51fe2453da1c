package relayer

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/estimator"
	"zinniatide.example/zinniatide/transporter"
)

// delegation is the record of parts that another VM gathers or hedges for a request.
// It is kept until the delegate has returned all parts or the request has ended.
type delegation struct {
	gather   *gatherRequest
	delegate *delegate
	callID   uint64
	parts    []*part
	indexes  []int                  // of parts in the request
	shards   []zinniatide.ServiceID // of parts
	digest   uint32                 // of the delegationRequest
	// hedge is set if the parts have been sent to other servers before.
	hedge bool
	// replyTime estimates the time that the first reply needs. It is nil if hedge is set.
	replyTime *estimator.Estimator
	open      bool
	// firstReplyReceived and finalReplyReceived may be set in any order, because
	// the replies may be processed out of order.
	firstReplyReceived, finalReplyReceived bool
}

// newDelegation returns a delegation for up to n parts of g.
func newDelegation(g *gatherRequest, delegate *delegate, n int) *delegation {
	return &delegation{gather: g, delegate: delegate, parts: make([]*part, 0, n), indexes: make([]int, 0, n), shards: make([]zinniatide.ServiceID, 0, n)}
}

// add adds part i of g to the delegation.
func (d *delegation) add(g *gatherRequest, i int) {
	d.parts = append(d.parts, &g.parts[i])
	d.indexes = append(d.indexes, i)
	d.shards = append(d.shards, g.route.Shards[i])
}

// partIndexes returns the indexes of all parts of the delegation.
func (d *delegation) partIndexes() []int {
	out := make([]int, len(d.parts))
	for i := range out {
		out[i] = i
	}
	return out
}

// maxRuns returns how many servers the delegate can have used for part i.
func (d *delegation) maxRuns(i int) int {
	if d.hedge {
		return 1
	}
	return d.parts[i].lent
}

// awaits reports whether part i may still come from the delegate.
func (d *delegation) awaits(i int) bool {
	return i >= 0 && i < len(d.parts) && (d.hedge || d.parts[i].delegation == d)
}

// handleDelegationReply processes the first reply of a delegate, or the error
// of the call.
func (g *gatherRequest) handleDelegationReply(d *delegation, reply *delegationReply, err error) {
	if g.finished || !d.open {
		return
	}
	d.firstReplyReceived = true
	if err == nil {
		err = g.checkReply(d, reply)
	}
	if err != nil {
		g.closeDelegation(d)
		g.handleDelegationError(d, err)
		g.finishIfDecided("")
		return
	}
	// A reply with all parts may have been sent long before the delegate's cutoff.
	if d.replyTime != nil && reply.MorePending && g.r.deps.Clock.Now() <= g.cutoff {
		d.replyTime.Record(false)
	}
	g.mergeReply(d, reply)
	if !g.finished && d.open {
		g.after(delegateGrace, func() { g.watchLink(d) })
	}
}

// handleDelegationError reassigns the parts of a delegate whose call failed.
func (g *gatherRequest) handleDelegationError(d *delegation, err error) {
	d.delegate.backoffUntil = g.r.deps.Clock.Now() + delegateBackoff
	if d.hedge {
		g.handleHedgeError(d, err)
		return
	}
	klog.InfoS("delegation failed; sending its parts directly", "step", "gather", "request", g.req.ID, "peer", d.delegate.vm,
		"parts", len(d.parts), "err", err.Error())
	if errors.Is(err, zinniatide.ErrNotSent) {
		g.sendPartsDirectly(d)
		return
	}
	// The delegate may have used all attempts that it was lent.
	g.mayHaveRun = true
	g.resendOrFail(d, d.partIndexes())
}

// HandleLateParts processes parts that a delegate sends after its first reply.
// It is a zinniatide.LinkHandler.
func (r *Relayer) HandleLateParts(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var msg lateDelegationReply
	if err := encoder.Unmarshal(body, &msg); err != nil {
		klog.ErrorS(err, "dropped invalid parts from a delegate", "step", "decode parts", "peer", from)
		return
	}
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	if msg.Process != r.config.Process {
		r.metrics.foreignReplies.Inc()
		klog.InfoS("dropped parts that an earlier process of this VM has asked for", "step", "gather", "peer", from, "call", msg.Call)
		return
	}
	d := r.delegations[msg.Call]
	if d == nil || d.delegate.vm != from || !d.open || d.gather.finished {
		return // the request has already ended
	}
	if d.gather.checkReply(d, &msg.Reply) != nil {
		return // the parts count as missing at the deadline
	}
	d.gather.mergeReply(d, &msg.Reply)
}

// errForeignReply means that a reply does not belong to what was asked.
var errForeignReply = errors.New("reply does not belong to the request")

// checkReply returns errForeignReply if a reply is not the answer to d, or lists
// parts that are not awaited from it. Its records are merged from all of its parts,
// so none of them can be used then.
func (g *gatherRequest) checkReply(d *delegation, reply *delegationReply) error {
	valid := reply.Digest == d.digest && len(reply.Stamps) == len(reply.Parts) && len(reply.PossibleRuns) == len(reply.Missing)
	if d.hedge {
		valid = valid && len(reply.Bodies) == len(reply.Parts) && len(reply.Parts)+len(reply.Missing) == len(d.parts)
	}
	seen := make([]bool, len(d.parts))
	for _, list := range [2][]int{reply.Parts, reply.Missing} {
		for _, i := range list {
			if !d.awaits(i) || seen[i] {
				valid = false
				break
			}
			seen[i] = true
		}
	}
	for n, i := range reply.Missing {
		valid = valid && reply.PossibleRuns[n] >= 0 && reply.PossibleRuns[n] <= d.maxRuns(i)
	}
	if valid {
		return nil
	}
	g.r.metrics.foreignReplies.Inc()
	klog.ErrorS(errForeignReply, "rejected the reply of a delegate", "step", "merge parts", "request", g.req.ID, "peer", d.delegate.vm,
		"digest", reply.Digest, "want-digest", d.digest, "hedge", d.hedge, "parts", len(reply.Parts), "missing", len(reply.Missing))
	return errForeignReply
}

// mergeReply merges the parts that a delegate has gathered or hedged, and sends failed
// ones directly that no other server has.
func (g *gatherRequest) mergeReply(d *delegation, reply *delegationReply) {
	g.mayHaveRun = g.mayHaveRun || reply.MayHaveRun
	g.recordDelegated(reply)
	for n, i := range reply.Parts {
		p := d.parts[i]
		if d.hedge {
			g.mergeHedgedPart(p, reply.Stamps[n], reply.Bodies[n])
			continue
		}
		p.delegation = nil
		g.receivePart(p, reply.Stamps[n])
	}
	if !d.hedge {
		g.topRecords.Add(reply.Records)
	}
	d.finalReplyReceived = d.finalReplyReceived || !reply.MorePending
	if d.firstReplyReceived && d.finalReplyReceived {
		g.closeDelegation(d)
	}
	var missing []int
	for n, i := range reply.Missing {
		if d.hedge {
			g.failHedgedPart(d.parts[i], reply.PossibleRuns[n])
			continue
		}
		d.parts[i].settle(reply.PossibleRuns[n])
		missing = append(missing, i)
	}
	g.resendOrFail(d, missing)
	g.finishIfDecided("parts failed")
}

// receivePart records that a part has arrived.
func (g *gatherRequest) receivePart(p *part, stamp string) {
	p.done, p.stamp = true, stamp
	g.pending--
	g.received++
}

// recordDelegated records how the servers of a delegate fared.
func (g *gatherRequest) recordDelegated(reply *delegationReply) {
	g.recordDrops(max(reply.DroppedBy, 0))
	if reply.Survived {
		g.recordSurvival()
	}
	for _, p := range reply.Leaving {
		if s := g.r.servers[processKey{p.Server, p.StartedAt}]; s != nil {
			g.r.applyHints(&s.Server, &transporter.Answer{Leaving: true}, g.req.ID)
		}
	}
}

// resendOrFail sends parts directly that a delegate did not return. A part that
// cannot be sent again fails. indexes are those of the delegation.
func (g *gatherRequest) resendOrFail(d *delegation, indexes []int) {
	for _, i := range indexes {
		p := d.parts[i]
		if p.done || p.delegation != d {
			continue
		}
		p.delegation = nil
		if g.finished || g.worthResending(p) && g.resendPart(d.indexes[i]) {
			continue
		}
		g.failPart(p, "helper brought no answer")
	}
}

// handleLateDelegate backs off from a delegate that has not replied by the
// cutoff. Its parts are not sent directly, because the delegate may already
// have sent each of them to as many servers as the route allows.
func (g *gatherRequest) handleLateDelegate(d *delegation) {
	if !d.open || d.firstReplyReceived {
		return
	}
	d.replyTime.Record(true)
	d.delegate.backoffUntil = g.r.deps.Clock.Now() + delegateBackoff
	klog.InfoS("delegate has not replied by the cutoff", "step", "gather", "request", g.req.ID, "peer", d.delegate.vm, "parts", len(d.parts),
		"after-ms", g.r.deps.Clock.Now()-g.req.ArrivedAt, "reply-time-ms", d.replyTime.Estimate())
	g.after(delegateGrace, func() {
		if !d.firstReplyReceived {
			g.abandonDelegation(d)
		}
	})
}

// watchLink abandons the delegation once the link to the delegate is down.
func (g *gatherRequest) watchLink(d *delegation) {
	switch {
	case !d.open:
	case g.r.deps.Links.Connected(d.delegate.vm):
		g.after(delegateGrace, func() { g.watchLink(d) })
	default:
		g.abandonDelegation(d)
	}
}

// abandonDelegation stops waiting for a delegate, so that the caller can retry
// while it still has time.
func (g *gatherRequest) abandonDelegation(d *delegation) {
	if !d.open {
		return
	}
	g.closeDelegation(d)
	g.mayHaveRun = true
	for _, p := range d.parts {
		if p.delegation != d {
			continue
		}
		p.delegation = nil
		g.failPart(p, "no answer from a helper")
		if g.finished {
			return
		}
	}
}

// sendPartsDirectly sends the parts of a delegation that never reached its
// delegate.
func (g *gatherRequest) sendPartsDirectly(d *delegation) {
	for n, p := range d.parts {
		p.delegation = nil
		p.settle(0)
		o := g.r.selectionOptions(p.tried)
		s := p.service.Pick(o)
		if s == nil {
			g.failPart(p, "no server can be reached")
		} else {
			p.service.Budget.RecordRequest(o.Now)
			g.sendPart(d.indexes[n], s)
		}
		if g.finished {
			return
		}
	}
}

// closeDelegation stops the processing of replies to d.
func (g *gatherRequest) closeDelegation(d *delegation) {
	d.open = false
	delete(g.r.delegations, d.callID)
}

// cancelDelegations ends the open delegations. Answered is set if the caller
// has been answered, and unset if it has disconnected. The lock must be held.
func (g *gatherRequest) cancelDelegations(answered bool) {
	if g.finished {
		return
	}
	for _, d := range g.delegations {
		if d.open {
			g.closeDelegation(d)
			_ = g.r.deps.Links.Send(d.delegate.vm, zinniatide.KindGatherCancel,
				&delegationCancel{Call: d.callID, Process: g.r.config.Process, Answered: answered}) // if the send fails, the delegate stops at the deadline
		}
	}
}

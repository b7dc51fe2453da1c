package relayer

import (
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/ranker"
	"zinniatide.example/zinniatide/router"
)

// HandleGather starts a gather request on behalf of another VM. It is a
// zinniatide.LinkHandler.
func (r *Relayer) HandleGather(from zinniatide.VMID, body []byte, sendReply func(any, error)) {
	var msg delegationRequest
	err := encoder.Unmarshal(body, &msg)
	if err == nil {
		err = msg.check()
	}
	if err != nil || sendReply == nil {
		klog.ErrorS(err, "dropped an invalid delegation request", "step", "decode delegation", "peer", from)
		if sendReply != nil {
			sendReply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode delegation: %v", err))
		}
		return
	}
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	now := r.deps.Clock.Now()
	id := delegationKey{from, msg.Process, msg.Call}
	if !r.advanceDelegations(id) {
		klog.ErrorS(nil, "refused a repeated, cancelled or overtaken delegation", "step", "gather", "request", msg.RequestID, "peer", from, "call", msg.Call)
		sendReply(nil, zinniatide.Refuse(zinniatide.CodeRequestIDReused, "delegation %d is not newer than the last one", msg.Call))
		return
	}
	route := &router.Route{Route: zinniatide.Route{
		ID: msg.Route, Idempotent: true, Shards: msg.Shards, TopRecords: msg.TopRecords, MaxAttempts: msg.MaxAttempts, TargetLatency: msg.TargetLatency,
	}}
	g := &gatherRequest{activeRequest: activeRequest{
		r: r, hedgesForPeer: msg.Hedge, onBehalf: true, req: &Request{ID: msg.RequestID, Head: msg.Head, Body: msg.Body, ArrivedAt: now}, route: route,
		priority: msg.Priority, respond: func(Reply) {}, startedAt: now, deadline: now + msg.TimeToDeadline,
	}, cutoff: now + msg.TimeToCutoff}
	if msg.LendsAttempts {
		g.lender = &id
	}
	digest := msg.digest()
	g.sendDelegationReply = func() { g.sendParts(id, &msg, digest, sendReply) }
	r.capacity.RecordPriority(msg.Shards[0], msg.Priority, now)
	r.delegatedGathers[id] = g
	r.metrics.delegatedGathers.Inc()
	g.start()
}

// HandleGatherCancel ends a gather request that runs on behalf of another VM.
// It is a zinniatide.LinkHandler.
func (r *Relayer) HandleGatherCancel(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var msg delegationCancel
	if err := encoder.Unmarshal(body, &msg); err != nil {
		klog.ErrorS(err, "dropped an invalid delegation cancel", "step", "decode cancel", "peer", from)
		return
	}
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	id := delegationKey{from, msg.Process, msg.Call}
	r.advanceDelegations(id) // the cancel may have overtaken the delegation
	r.endDelegated(id, msg.Answered)
}

// delegatingVM is what a delegate knows of a VM that delegates to it.
type delegatingVM struct {
	// last is the last delegation of the process that runs now, as far as known.
	last delegationKey
	// earlier are the last processes before it, oldest first.
	earlier []zinniatide.ProcessID
}

// maxEarlierProcesses bounds delegatingVM.earlier.
const maxEarlierProcesses = 16

// advanceDelegations records that a message about a delegation has arrived, and reports
// whether it is later than all before from the same process. Each delegation is run
// once: a process sends them in the order of their numbers. The first message of
// another process ends what the process before it has asked for; messages of processes
// before that are late.
func (r *Relayer) advanceDelegations(id delegationKey) bool {
	vm := r.delegatingVMs[id.from]
	switch {
	case vm == nil:
		r.delegatingVMs[id.from] = &delegatingVM{last: id}
		return true
	case vm.last.process == id.process:
		later := id.callID > vm.last.callID
		vm.last.callID = max(vm.last.callID, id.callID)
		return later
	case slices.Contains(vm.earlier, id.process):
		return false
	}
	ended := vm.last.process
	vm.earlier = append(vm.earlier, ended)
	vm.earlier = vm.earlier[max(len(vm.earlier)-maxEarlierProcesses, 0):]
	vm.last = id
	for other := range r.delegatedGathers {
		if other.from == id.from && other.process == ended {
			r.endDelegated(other, false)
		}
	}
	return true
}

// endDelegated ends a gather request that runs on behalf of another VM. Answered is
// set if its caller has been answered; otherwise its requests at servers are cancelled.
func (r *Relayer) endDelegated(id delegationKey, answered bool) {
	g := r.delegatedGathers[id]
	if g == nil {
		return
	}
	delete(r.delegatedGathers, id)
	g.cancelDelegations(answered)
	if answered {
		g.finish(Reply{})
	} else {
		g.cancelLocked()
	}
}

// sendParts sends the parts that have arrived since the previous reply to the
// delegating VM. Pending parts follow in later messages, so that a query that
// needs them gets a late answer instead of none. A hedge sends a single reply
// and lists its pending parts as missing, because the sender may still get them
// from their first servers.
func (g *gatherRequest) sendParts(id delegationKey, msg *delegationRequest, digest uint32, sendReply func(any, error)) {
	if !g.firstReplySent && !g.r.deps.Links.Connected(id.from) {
		g.r.endDelegated(id, false) // the link of the call is lost, and with it its reply
		return
	}
	last := msg.Hedge || g.pending == 0 || g.r.deps.Clock.Now() >= g.deadline-deadlineMargin
	reply := &delegationReply{Digest: digest, MayHaveRun: g.mayHaveRun || len(g.openAttempts) > 0, MorePending: !last, DroppedBy: g.droppedBy, Survived: g.survived, Leaving: g.leaving}
	g.droppedBy, g.leaving = 0, nil
	for i := range g.parts {
		p := &g.parts[i]
		switch {
		case p.reported:
		case p.done:
			p.reported = true
			reply.Parts = append(reply.Parts, i)
			reply.Stamps = append(reply.Stamps, p.stamp)
			if msg.Hedge {
				reply.Bodies = append(reply.Bodies, ranker.AppendAbove([]byte{}, p.body, msg.RecordThreshold))
			}
		case p.failed || last:
			p.reported = true
			reply.Missing = append(reply.Missing, i)
			reply.PossibleRuns = append(reply.PossibleRuns, p.possibleRuns)
		}
	}
	if !msg.Hedge {
		reply.Records = g.topRecords.AppendSorted(nil)
		g.topRecords = ranker.New(g.route.TopRecords)
	}
	if last {
		delete(g.r.delegatedGathers, id)
		g.cancelDelegations(true)
		g.finish(Reply{})
	}
	switch {
	case !g.firstReplySent:
		g.firstReplySent = true
		sendReply(reply, nil)
	case last || len(reply.Parts)+len(reply.Missing) > 0:
		// If the link is down, the delegating VM gives up the parts by itself.
		_ = g.r.deps.Links.Send(id.from, zinniatide.KindGatherLateParts, &lateDelegationReply{Call: id.callID, Process: id.process, Reply: *reply})
	}
}

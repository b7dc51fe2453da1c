package relayer

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// hedgeZone returns the zone of the server that would hedge a part, if that is
// another zone with a reachable delegate. Otherwise it returns an empty id.
func (g *gatherRequest) hedgeZone(p *part) zinniatide.ZoneID {
	if !g.canDelegate() || g.hedgesForPeer || p.possibleRuns >= g.route.MaxAttempts {
		return ""
	}
	o := g.r.selectionOptions(p.tried)
	s := p.service.Pick(o)
	if s == nil || s.Zone == g.r.config.Zone || g.r.delegateIn(s.Zone, o.Now) == nil {
		return ""
	}
	return s.Zone
}

// hedgeThroughDelegate has a delegate in zone hedge parts with a single message.
// A lone part is sent directly. It returns the number of parts sent and of those
// denied by the retry budget.
func (g *gatherRequest) hedgeThroughDelegate(zone zinniatide.ZoneID, indexes []int) (sent, denied int) {
	now := g.r.deps.Clock.Now()
	delegate := g.r.delegateIn(zone, now)
	if len(indexes) < minDelegatedParts || delegate == nil {
		for _, i := range indexes {
			if g.resendPart(&g.parts[i]) {
				sent++
			} else {
				denied++
			}
		}
		return sent, denied
	}
	var parts []*part
	g.r.lastCallID++
	msg := &delegationRequest{
		Call: g.r.lastCallID, Process: g.r.config.Process, RequestID: g.req.ID, Head: g.req.Head, Body: g.req.Body, Route: g.route.ID, TopRecords: g.route.TopRecords,
		MaxAttempts: 1, TargetLatency: g.route.TargetLatency, TimeToCutoff: max(g.cutoff-now-remoteRoundTrip, 1), TimeToDeadline: max(g.deadline-now, 1), Hedge: true,
		RecordThreshold: g.topRecords.Threshold(),
	}
	for _, i := range indexes {
		p := &g.parts[i]
		if !p.service.Budget.TryTake(now) {
			denied++
			continue
		}
		p.inFlight++
		p.possibleRuns++
		parts = append(parts, p)
		msg.Shards = append(msg.Shards, g.route.Shards[i])
	}
	if len(parts) == 0 {
		return 0, denied
	}
	digest := msg.digest()
	g.r.metrics.delegations.Inc()
	g.r.deps.Links.Call(delegate.vm, zinniatide.KindGather, msg, msg.TimeToDeadline, func(body []byte, err error) {
		var reply delegationReply
		if err == nil {
			err = encoder.Unmarshal(body, &reply)
		}
		g.r.deps.Timer.After(0, func() {
			g.r.deps.Lock.Lock()
			defer g.r.deps.Lock.Unlock()
			if err == nil {
				err = g.checkHedgeReply(delegate, parts, digest, &reply)
			}
			g.handleHedgeReply(delegate, parts, &reply, err)
		})
	})
	return len(parts), denied
}

// handleHedgeReply merges a delegate's reply to hedged parts.
func (g *gatherRequest) handleHedgeReply(delegate *delegate, parts []*part, reply *delegationReply, err error) {
	if err != nil {
		delegate.backoffUntil = g.r.deps.Clock.Now() + delegateBackoff
		klog.InfoS("hedging through a delegate failed", "step", "gather", "request", g.req.ID, "peer", delegate.vm, "parts", len(parts), "err", err.Error())
	}
	if g.finished {
		return
	}
	g.mayHaveRun = g.mayHaveRun || err != nil || reply.MayHaveRun
	g.recordDelegated(reply)
	for _, p := range parts {
		p.inFlight--
	}
	for n, i := range reply.Parts {
		p := parts[i]
		if p.done || p.failed {
			continue
		}
		p.done, p.stamp = true, reply.Stamps[n]
		g.pending--
		g.received++
		g.topRecords.Add(reply.Bodies[n])
		if g.hedgesForPeer {
			p.body = reply.Bodies[n]
		}
	}
	for _, p := range parts {
		g.failPart(p, "repeat failed")
	}
	g.finishIfDecided("")
}

package relayer

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// hedgeZone returns the zone of the server that would hedge a part, if that is
// another zone with a reachable delegate. Otherwise it returns an empty id.
func (g *gatherRequest) hedgeZone(p *part) zinniatide.ZoneID {
	if !g.canDelegate() || g.hedgesForPeer || !p.hasAttempt() {
		return ""
	}
	o := g.r.selectionOptions(p.tried)
	o.Hedge = true
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
			if g.resendPart(i) {
				sent++
			} else {
				denied++
			}
		}
		return sent, denied
	}
	d := newDelegation(g, delegate, len(indexes))
	d.hedge = true
	for _, i := range indexes {
		p := &g.parts[i]
		if !p.service.Budget.TryTake(now) {
			denied++
			continue
		}
		p.inFlight++
		p.possibleRuns++
		d.add(g, i)
	}
	if len(d.parts) > 0 {
		g.callDelegate(d, remoteRoundTrip, now)
	}
	return len(d.parts), denied
}

// mergeHedgedPart merges a part that a delegate has hedged, unless its first server
// has answered.
func (g *gatherRequest) mergeHedgedPart(p *part, stamp string, body []byte) {
	p.inFlight--
	if p.done || p.failed {
		return
	}
	g.receivePart(p, stamp)
	g.topRecords.Add(body)
}

// failHedgedPart handles a hedged part that a delegate did not return. runs is the
// number of servers that may have started it.
func (g *gatherRequest) failHedgedPart(p *part, runs int) {
	p.inFlight--
	p.possibleRuns += runs - 1
	g.failPart(p, "repeat failed")
}

// handleHedgeError handles hedged parts whose call failed.
func (g *gatherRequest) handleHedgeError(d *delegation, err error) {
	klog.InfoS("hedging through a delegate failed", "step", "gather", "request", g.req.ID, "peer", d.delegate.vm, "parts", len(d.parts), "err", err.Error())
	runs := 1
	if errors.Is(err, zinniatide.ErrNotSent) {
		runs = 0
	}
	g.mayHaveRun = g.mayHaveRun || runs > 0
	for _, p := range d.parts {
		g.failHedgedPart(p, runs)
	}
}

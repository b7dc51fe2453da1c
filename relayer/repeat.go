package relayer

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// repeatZone returns the zone of the server that a part would be repeated at,
// when that is another zone with a helper, or empty.
func (g *gathering) repeatZone(p *part) zinniatide.ZoneID {
	if g.r.d.Links == nil || g.repeat || p.runs >= g.route.MaxAttempts {
		return ""
	}
	o := g.r.options(p.tried)
	s := p.service.Pick(o)
	if s == nil || s.Zone == g.r.config.Zone || g.r.helperIn(s.Zone, o.Now) == nil {
		return ""
	}
	return s.Zone
}

// repeatRemotely has a helper of zone repeat parts, in one message. A single
// part is sent directly. It returns how many were sent and how many the bound on
// repeats forbade.
func (g *gathering) repeatRemotely(zone zinniatide.ZoneID, list []int) (sent, denied int) {
	now := g.r.d.Clock.Now()
	h := g.r.helperIn(zone, now)
	if len(list) < leastDelegated || h == nil {
		for _, i := range list {
			if g.again(&g.parts[i]) {
				sent++
			} else {
				denied++
			}
		}
		return sent, denied
	}
	var parts []*part
	g.r.lastCall++
	d := &delegation{
		Call: g.r.lastCall, RequestID: g.req.ID, Head: g.req.Head, Body: g.req.Body, Route: g.route.ID, TopRecords: g.route.TopRecords,
		Attempts: 1, Target: g.route.TargetLatency, Cutoff: max(g.cutoff-now-helperWay, 1), Left: max(g.end-now, 1), Repeat: true,
		Floor: g.ranker.Floor(),
	}
	for _, i := range list {
		p := &g.parts[i]
		if !p.service.Budget.Take(now) {
			denied++
			continue
		}
		p.running++
		p.runs++
		parts = append(parts, p)
		d.Shards = append(d.Shards, g.route.Shards[i])
	}
	if len(parts) == 0 {
		return 0, denied
	}
	g.r.metrics.delegations.Inc()
	g.r.d.Links.Call(h.vm, zinniatide.KindGather, d, d.Left, func(body []byte, err error) {
		var answer delegated
		if err == nil {
			err = encoder.Unmarshal(body, &answer)
		}
		g.r.d.Timer.After(0, func() {
			g.r.d.Lock.Lock()
			defer g.r.d.Lock.Unlock()
			g.repeated(h, parts, &answer, err)
		})
	})
	return len(parts), denied
}

// repeated takes a helper's answer to repeats.
func (g *gathering) repeated(h *helper, parts []*part, answer *delegated, err error) {
	if err != nil {
		h.restUntil = g.r.d.Clock.Now() + helperRest
		klog.InfoS("helper failed", "step", "gather", "request", g.req.ID, "peer", h.vm, "parts", len(parts), "err", err.Error())
	}
	if g.ended {
		return
	}
	g.ran = g.ran || err != nil || answer.Ran
	for _, p := range parts {
		p.running--
	}
	for n, i := range answer.Parts {
		if i < 0 || i >= len(parts) || n >= len(answer.Stamps) || n >= len(answer.Bodies) || parts[i].done || parts[i].failed {
			continue
		}
		p := parts[i]
		p.done, p.stamp = true, answer.Stamps[n]
		g.pending--
		g.got++
		g.ranker.Add(answer.Bodies[n])
		if g.repeat {
			p.body = answer.Bodies[n]
		}
	}
	for _, p := range parts {
		g.giveUp(p, "repeat failed")
	}
	g.check("")
}

package relayer

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// group is the parts that one helper gathers.
type group struct {
	gathering *gathering
	helper    *helper
	call      uint64
	parts     []*part
	open      bool
	// answered is set once the helper's first answer is in, last once its last
	// one is. They may be handled in any order.
	answered, last bool
}

// handed takes a helper's first answer.
func (g *gathering) handed(gr *group, answer *delegated, err error) {
	if g.ended || !gr.open {
		return
	}
	gr.answered = true
	if err != nil {
		g.close(gr)
		g.lost(gr, err)
		return
	}
	g.takeParts(gr, answer)
	if !g.ended && gr.open {
		g.after(helperGrace, func() { g.watch(gr) })
	}
}

// lost deals with the parts of a helper whose answer did not come.
func (g *gathering) lost(gr *group, err error) {
	klog.InfoS("helper failed; parts are asked for directly", "step", "gather", "request", g.req.ID, "peer", gr.helper.vm,
		"parts", len(gr.parts), "err", err.Error())
	gr.helper.restUntil = g.r.d.Clock.Now() + helperRest
	if errors.Is(err, zinniatide.ErrNotSent) {
		g.sendDirectly(gr)
		return
	}
	// The helper may have sent each part once.
	g.ran = true
	for _, p := range gr.parts {
		p.runs++
	}
	g.release(gr, gr.parts)
}

// HandleGatherRest takes parts that a helper sends after its first answer. It
// is a zinniatide.LinkHandler.
func (r *Relayer) HandleGatherRest(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var m delegatedRest
	if err := encoder.Unmarshal(body, &m); err != nil {
		klog.ErrorS(err, "parts from a helper dropped", "step", "decode parts", "peer", from)
		return
	}
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	gr := r.groups[m.Call]
	if gr == nil || gr.helper.vm != from || !gr.open || gr.gathering.ended {
		return // the caller has been answered
	}
	gr.gathering.takeParts(gr, &m.Rest)
}

// takeParts takes the parts that a helper has gathered, and asks directly for
// those that it could not get.
func (g *gathering) takeParts(gr *group, answer *delegated) {
	g.ran = g.ran || answer.Ran
	for n, i := range answer.Parts {
		if i < 0 || i >= len(gr.parts) || n >= len(answer.Stamps) || gr.parts[i].done {
			continue
		}
		p := gr.parts[i]
		p.done, p.stamp, p.group = true, answer.Stamps[n], nil
		g.got++
		g.pending--
	}
	g.ranker.Add(answer.Records)
	gr.last = gr.last || !answer.More
	if gr.answered && gr.last {
		g.close(gr)
	}
	var missing []*part
	for n, i := range answer.Missing {
		if i >= 0 && i < len(gr.parts) && n < len(answer.Runs) {
			gr.parts[i].runs += answer.Runs[n]
			missing = append(missing, gr.parts[i])
		}
	}
	g.release(gr, missing)
	g.check("parts failed")
}

// release asks directly for parts that a helper has not brought.
func (g *gathering) release(gr *group, parts []*part) {
	for _, p := range parts {
		if p.done || p.group != gr {
			continue
		}
		p.group = nil
		if g.ended || g.worthRepeating(p) && g.again(p) {
			continue
		}
		g.giveUp(p, "helper brought no answer")
	}
}

// suspect leaves a helper alone that has not answered by the cutoff. Its parts
// are not asked for directly: it may have sent each to as many servers as the
// route allows.
func (g *gathering) suspect(gr *group) {
	if !gr.open || gr.answered {
		return
	}
	gr.helper.restUntil = g.r.d.Clock.Now() + helperRest
	klog.InfoS("helper is late", "step", "gather", "request", g.req.ID, "peer", gr.helper.vm, "parts", len(gr.parts),
		"after-ms", g.r.d.Clock.Now()-g.req.Arrived)
	g.after(helperGrace, func() {
		if !gr.answered {
			g.giveUpGroup(gr)
		}
	})
}

// watch gives the parts of a helper up once the link to it is lost.
func (g *gathering) watch(gr *group) {
	switch {
	case !gr.open:
	case g.r.d.Links.Connected(gr.helper.vm):
		g.after(helperGrace, func() { g.watch(gr) })
	default:
		g.giveUpGroup(gr)
	}
}

// giveUpGroup ends the wait for a helper, so that the caller can try again
// while it has time.
func (g *gathering) giveUpGroup(gr *group) {
	if !gr.open {
		return
	}
	g.close(gr)
	g.ran = true
	for _, p := range gr.parts {
		if p.group != gr {
			continue
		}
		p.group = nil
		g.giveUp(p, "no answer from a helper")
		if g.ended {
			return
		}
	}
}

// sendDirectly sends the parts of a group that never reached its helper.
func (g *gathering) sendDirectly(gr *group) {
	for _, p := range gr.parts {
		p.group = nil
		o := g.r.options(p.tried)
		s := p.service.Pick(o)
		if s == nil {
			g.giveUp(p, "no server can be reached")
		} else {
			p.service.Budget.Request(o.Now)
			g.sendPart(p, s)
		}
		if g.ended {
			return
		}
	}
}

// close ends the wait for a helper.
func (g *gathering) close(gr *group) {
	gr.open = false
	delete(g.r.groups, gr.call)
}

// cancelGroups ends the work of helpers. Answered tells that the caller has got
// an answer; otherwise it has left. The lock is held.
func (g *gathering) cancelGroups(answered bool) {
	if g.ended {
		return
	}
	for _, gr := range g.groups {
		if gr.open {
			g.close(gr)
			_ = g.r.d.Links.Send(gr.helper.vm, zinniatide.KindGatherCancel,
				&delegationCancel{Call: gr.call, Answered: answered}) // servers stop at the deadline
		}
	}
}

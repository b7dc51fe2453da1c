package relayer

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// A part may be sent to as many servers as its route allows, whoever sends it. The VM
// that took the request keeps the count: it lends a delegate one attempt for each part,
// and another one when the delegate asks for it. When a delegate is lost, all attempts
// that it was lent count as used, so parts that it had not sent again can still be sent
// once.

// attemptsRequest asks the delegating VM for one more attempt for each of some parts.
type attemptsRequest struct {
	Call    uint64               `cbor:"1,keyasint"`
	Process zinniatide.ProcessID `cbor:"2,keyasint"`
	Parts   []int                `cbor:"3,keyasint"` // indexes into delegationRequest.Shards
}

// attemptsReply lists the parts that may be sent once more.
type attemptsReply struct {
	Parts []int `cbor:"1,keyasint,omitempty"`
}

// lend records that a delegate may send a part once.
func (p *part) lend() {
	p.possibleRuns++
	p.lent++
}

// settle ends the loan of attempts to a delegate that has used some of them.
func (p *part) settle(used int) {
	p.possibleRuns += used - p.lent
	p.lent = 0
}

// hasAttempt reports whether this VM may send the part to another server.
func (p *part) hasAttempt() bool { return p.possibleRuns < p.attempts }

// HandleGatherAttempts lends a delegate more attempts. It is a zinniatide.LinkHandler.
func (r *Relayer) HandleGatherAttempts(from zinniatide.VMID, body []byte, sendReply func(any, error)) {
	var msg attemptsRequest
	if err := encoder.Unmarshal(body, &msg); err != nil || sendReply == nil {
		klog.ErrorS(err, "dropped an invalid request for attempts", "step", "decode attempts", "peer", from)
		if sendReply != nil {
			sendReply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode request for attempts: %v", err))
		}
		return
	}
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	reply := &attemptsReply{}
	d := r.delegations[msg.Call]
	if msg.Process == r.config.Process && d != nil && d.delegate.vm == from && d.open && !d.hedge && !d.gather.finished {
		for _, i := range msg.Parts {
			if d.awaits(i) && !d.parts[i].done && d.parts[i].hasAttempt() {
				d.parts[i].lend()
				reply.Parts = append(reply.Parts, i)
			}
		}
	}
	sendReply(reply, nil)
}

// mayAskForAttempt reports whether the delegating VM may lend one more attempt for a
// part that has none left.
func (g *gatherRequest) mayAskForAttempt(p *part) bool { return g.lender != nil && !p.hasAttempt() }

// askForAttempts asks the delegating VM for one more attempt for each of some parts,
// and calls done with those for which it has lent one.
func (g *gatherRequest) askForAttempts(indexes []int, done func(lent []int)) {
	r, asked := g.r, map[int]bool{}
	for _, i := range indexes {
		asked[i] = true
	}
	msg := &attemptsRequest{Call: g.lender.callID, Process: g.lender.process, Parts: indexes}
	timeout := max(g.deadline-r.deps.Clock.Now(), 1)
	r.deps.Links.Call(g.lender.from, zinniatide.KindGatherAttempts, msg, timeout, func(body []byte, err error) {
		var reply attemptsReply
		if err == nil {
			err = encoder.Unmarshal(body, &reply)
		}
		// Call may report an error synchronously, while the lock is held.
		r.deps.Timer.After(0, func() {
			r.deps.Lock.Lock()
			defer r.deps.Lock.Unlock()
			if g.finished {
				return
			}
			if err != nil {
				klog.InfoS("got no more attempts", "step", "gather", "request", g.req.ID, "peer", g.lender.from, "parts", len(indexes), "err", err.Error())
				reply.Parts = nil
			}
			var lent []int
			for _, i := range reply.Parts {
				if !asked[i] {
					klog.ErrorS(nil, "was lent an attempt that was not asked for", "step", "gather", "request", g.req.ID, "peer", g.lender.from, "part", i)
					continue
				}
				asked[i] = false
				g.parts[i].attempts++
				lent = append(lent, i)
			}
			done(lent)
		})
	})
}

// resendWithLentAttempt asks for an attempt for a failed part and sends the part once
// more. Until then the part has not failed.
func (g *gatherRequest) resendWithLentAttempt(i int, reason string) {
	p := &g.parts[i]
	p.asking = true
	g.askForAttempts([]int{i}, func(lent []int) {
		p.asking = false
		if len(lent) == 0 || p.done || !g.resendPart(i) {
			g.failPart(p, reason)
		}
	})
}

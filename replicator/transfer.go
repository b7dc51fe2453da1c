package replicator

import "zinniatide.example/zinniatide"

// transferState is set while leadership is handed over. No proposal is
// accepted meanwhile.
type transferState struct {
	to       zinniatide.Voter
	deadline zinniatide.Millis
	// sent is set once the target was told to campaign. From then on the
	// target may be elected at any time, so the leader trusts no lease.
	sent bool
}

// Transfer hands leadership to the voter that has most of the log. It does
// nothing when no voter answers.
func (r *Replicator) Transfer() {
	if r.role != Leader || r.transfer.to != (zinniatide.Voter{}) {
		return
	}
	var best *peer
	for _, wantedOnly := range []bool{true, false} {
		for _, p := range r.peers {
			if !r.isVoter(p.id) || !r.active(p) || p.id.VM == r.self.VM || (wantedOnly && !r.isWanted(p.id.VM)) {
				continue
			}
			if best == nil || p.match > best.match {
				best = p
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return
	}
	r.transfer = transferState{to: best.id, deadline: r.now + r.cfg.ElectionTimeout}
	r.advanceTransfer()
}

// advanceTransfer tells the target to campaign once it has the whole log.
func (r *Replicator) advanceTransfer() {
	if r.transfer.to == (zinniatide.Voter{}) || r.transfer.sent {
		return
	}
	if p := r.findPeer(r.transfer.to); p != nil && p.match == r.log.last() {
		r.transfer.sent = true
		r.send(Message{Kind: MessageTimeoutNow, To: p.id, Term: r.term})
	}
}

// tickTransfer ends a transfer that does not come about. When the target was
// told to campaign the message may still be on its way, and would then break
// the promise behind the leader's lease; so the leader steps down.
func (r *Replicator) tickTransfer() {
	if r.transfer.to == (zinniatide.Voter{}) || r.now < r.transfer.deadline {
		return
	}
	if r.transfer.sent {
		r.becomeFollower(r.term, zinniatide.Voter{})
		return
	}
	r.transfer = transferState{}
}

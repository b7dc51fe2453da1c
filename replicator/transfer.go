package replicator

import "zinniatide.example/zinniatide"

// transferState tracks a leadership transfer. Proposals are rejected during the
// transfer.
type transferState struct {
	target   zinniatide.Voter
	deadline zinniatide.Millis
	// timeoutNowSent is set once the target has been told to campaign. From then
	// on the target may win an election at any time, so this leader's lease is
	// no longer valid.
	timeoutNowSent bool
}

// TransferLeadership starts a transfer of leadership to the most caught-up
// voter, preferring VMs of the desired set. It does nothing if no other voter
// has been active within the election timeout.
func (r *Replicator) TransferLeadership() {
	if r.role != Leader || r.transfer.target != (zinniatide.Voter{}) {
		return
	}
	var best *peer
	for _, desiredOnly := range []bool{true, false} {
		for _, p := range r.peers {
			if !r.isVoter(p.id) || !r.recentlyActive(p) || p.id.VM == r.self.VM || (desiredOnly && !r.isDesired(p.id.VM)) {
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
	r.transfer = transferState{target: best.id, deadline: r.now + r.cfg.ElectionTimeout}
	r.sendTimeoutNowWhenCaughtUp()
}

// sendTimeoutNowWhenCaughtUp tells the target to campaign once it has the
// complete log.
func (r *Replicator) sendTimeoutNowWhenCaughtUp() {
	if r.transfer.target == (zinniatide.Voter{}) || r.transfer.timeoutNowSent {
		return
	}
	if p := r.findPeer(r.transfer.target); p != nil && p.match == r.log.lastIndex() {
		r.transfer.timeoutNowSent = true
		r.send(Message{Kind: MessageTimeoutNow, To: p.id, Term: r.term})
	}
}

// checkTransferTimeout ends a transfer that did not complete in time. If the
// target was told to campaign, the leader steps down: the message may still be
// in transit, and an election started by it would violate the leader's lease.
func (r *Replicator) checkTransferTimeout() {
	if r.transfer.target == (zinniatide.Voter{}) || r.now < r.transfer.deadline {
		return
	}
	if r.transfer.timeoutNowSent {
		r.becomeFollower(r.term, zinniatide.Voter{})
		return
	}
	r.transfer = transferState{}
}

package replicator

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// Membership returns the membership in force here, which may not be committed
// yet. It must not be changed.
func (r *Replicator) Membership() Membership {
	if len(r.memberships) == 0 {
		return Membership{}
	}
	return r.memberships[len(r.memberships)-1].Membership
}

func (r *Replicator) isVoter(v zinniatide.Voter) bool {
	return slices.Contains(r.Membership().Voters, v)
}

func (r *Replicator) noteMembership(e *Entry) {
	if e.Kind == EntryMembership && e.Membership != nil {
		r.memberships = append(r.memberships, indexedMembership{e.Index, *e.Membership})
	}
}

func (r *Replicator) membershipAt(index uint64) Membership {
	var m Membership
	for _, im := range r.memberships {
		if im.index <= index {
			m = im.Membership
		}
	}
	return m
}

func (r *Replicator) membershipsAfter(index uint64) []indexedMembership {
	var after []indexedMembership
	for _, im := range r.memberships {
		if im.index > index {
			after = append(after, im)
		}
	}
	return after
}

// forgetMemberships keeps the membership in force at index and later ones.
func (r *Replicator) forgetMemberships(index uint64) {
	r.memberships = append([]indexedMembership{{index, r.membershipAt(index)}}, r.membershipsAfter(index)...)
}

// SetControlVMs gives the VMs that should be voters. An empty list leaves the
// choice to the membership's own list.
func (r *Replicator) SetControlVMs(vms []zinniatide.VMID) { r.wanted = slices.Clone(vms) }

func (r *Replicator) isWanted(vm zinniatide.VMID) bool {
	if len(r.wanted) > 0 {
		return slices.Contains(r.wanted, vm)
	}
	return slices.ContainsFunc(r.Membership().ControlVMs, func(c zinniatide.ControlVM) bool { return c.VM == vm })
}

// handleAnnounce makes a VM of the wanted set a learner. A VM has one learner
// at a time: that of the disk announced last.
func (r *Replicator) handleAnnounce(m Message) {
	if r.role != Leader {
		return
	}
	if p := r.findPeer(m.From); p != nil {
		p.heard = r.now
		return
	}
	if r.isVoter(m.From) || !r.isWanted(m.From.VM) {
		return
	}
	r.peers = slices.DeleteFunc(r.peers, func(p *peer) bool { return p.id.VM == m.From.VM && !r.isVoter(p.id) })
	r.addPeer(m.From)
}

// dropPeers forgets learners that went silent, and removed voters once they
// hold the entry that removed them.
func (r *Replicator) dropPeers() {
	r.peers = slices.DeleteFunc(r.peers, func(p *peer) bool {
		if r.isVoter(p.id) {
			return false
		}
		return r.now-p.heard >= learnerExpiry || (!r.isWanted(p.id.VM) && p.match >= r.commit)
	})
}

// changeMembership moves the voters towards the wanted set by at most one.
// The former change must be committed, and an entry of this term: otherwise
// two memberships could be in force whose quorums do not overlap.
func (r *Replicator) changeMembership() {
	if r.role != Leader || r.commit < r.firstIndex || r.transfer.to != (zinniatide.Voter{}) {
		return
	}
	if n := len(r.memberships); n == 0 || r.memberships[n-1].index > r.commit {
		return
	}
	current := r.Membership()
	if old, ok := r.replacedVoter(current.Voters); ok {
		r.removeVoter(current, old)
		return
	}
	for _, p := range r.peers {
		if r.promotable(p) {
			current.Voters = append(slices.Clone(current.Voters), p.id)
			r.proposeMembership(current)
			return
		}
	}
	// The list of the initial membership may be outdated. Until the state machine
	// has given the wanted set, as after a restart, nobody is removed by it.
	if len(r.wanted) == 0 {
		return
	}
	for _, v := range current.Voters {
		if r.isWanted(v.VM) {
			continue
		}
		if v == r.self {
			r.Transfer()
		} else {
			r.removeVoter(current, v)
		}
		return
	}
}

// replacedVoter returns the older of two voters of one VM.
func (r *Replicator) replacedVoter(voters []zinniatide.Voter) (zinniatide.Voter, bool) {
	for i, v := range voters {
		for _, later := range voters[i+1:] {
			if later.VM == v.VM && v != r.self {
				return v, true
			}
		}
	}
	return zinniatide.Voter{}, false
}

func (r *Replicator) active(p *peer) bool { return r.now-p.ackedAt < r.cfg.ElectionTimeout }

// promotable reports whether a learner has caught up and its VM is wanted. A
// VM whose old disk still answers is not promoted under a new one: then two
// processes run under one VM id.
func (r *Replicator) promotable(p *peer) bool {
	if r.isVoter(p.id) || !r.isWanted(p.id.VM) || p.probing || p.sending != nil || !r.active(p) {
		return false
	}
	if r.log.last()-p.match > promotionLag {
		return false
	}
	for _, other := range r.peers {
		if other.id.VM == p.id.VM && other != p && r.active(other) && r.isVoter(other.id) {
			return false
		}
	}
	return r.quorumActive(append(slices.Clone(r.Membership().Voters), p.id))
}

// quorumActive reports whether a quorum of voters answers, so that a change
// to them can be committed.
func (r *Replicator) quorumActive(voters []zinniatide.Voter) bool {
	n := 0
	for _, v := range voters {
		// A new leader counts every peer as heard at its election; only an answer
		// shows that a voter is there.
		if p := r.findPeer(v); v == r.self || (p != nil && p.answered && r.active(p)) {
			n++
		}
	}
	return n >= quorum(len(voters))
}

func (r *Replicator) removeVoter(current Membership, v zinniatide.Voter) {
	current.Voters = slices.DeleteFunc(slices.Clone(current.Voters), func(o zinniatide.Voter) bool { return o == v })
	if r.quorumActive(current.Voters) {
		r.proposeMembership(current)
	}
}

func (r *Replicator) proposeMembership(m Membership) {
	r.appendEntries(Entry{Index: r.log.last() + 1, Term: r.term, Kind: EntryMembership, Membership: &m})
	r.rebuildPeers()
	// A lone voter, or one whose peers were removed, commits by itself.
	r.advanceCommit()
}

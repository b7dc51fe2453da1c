package replicator

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// Membership returns the membership in effect on this VM, which may not be
// committed yet. The caller must not modify it.
func (r *Replicator) Membership() Membership {
	if len(r.memberships) == 0 {
		return Membership{}
	}
	return r.memberships[len(r.memberships)-1].Membership
}

func (r *Replicator) isVoter(v zinniatide.Voter) bool {
	return slices.Contains(r.Membership().Voters, v)
}

func (r *Replicator) recordMembership(e *Entry) {
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

// compactMemberships removes the memberships before the one in effect at index.
func (r *Replicator) compactMemberships(index uint64) {
	r.memberships = append([]indexedMembership{{index, r.membershipAt(index)}}, r.membershipsAfter(index)...)
}

// SetControlVMs sets the VMs that should be voters. If the list is empty, the
// list stored in the membership applies.
func (r *Replicator) SetControlVMs(vms []zinniatide.VMID) { r.desiredVMs = slices.Clone(vms) }

// isForming reports whether fewer than a majority of the VMs for which the log was
// initialised, or of the VMs that should be voters now, are voters.
func (r *Replicator) isForming() bool {
	m := r.Membership()
	target := len(m.ControlVMs)
	if n := len(r.desiredVMs); n > 0 {
		target = min(target, n)
	}
	return 2*len(m.Voters) <= target
}

func (r *Replicator) isDesired(vm zinniatide.VMID) bool {
	if len(r.desiredVMs) > 0 {
		return slices.Contains(r.desiredVMs, vm)
	}
	return slices.ContainsFunc(r.Membership().ControlVMs, func(c zinniatide.ControlVM) bool { return c.VM == vm })
}

// handleAnnounce adds a VM of the desired set as a learner. A VM has at most one
// learner, for the disk that it announced last.
func (r *Replicator) handleAnnounce(m Message) {
	if r.role != Leader {
		return
	}
	if p := r.findPeer(m.From); p != nil {
		p.lastHeardAt = r.now
		return
	}
	if r.isVoter(m.From) || !r.isDesired(m.From.VM) {
		return
	}
	r.peers = slices.DeleteFunc(r.peers, func(p *peer) bool { return p.id.VM == m.From.VM && !r.isVoter(p.id) })
	r.addPeer(m.From)
}

// dropStalePeers stops tracking non-voters that have timed out, and those
// outside the desired set once they have all committed entries. A removed voter
// thus still receives the entry that removed it.
func (r *Replicator) dropStalePeers() {
	r.peers = slices.DeleteFunc(r.peers, func(p *peer) bool {
		if r.isVoter(p.id) {
			return false
		}
		return r.now-p.lastHeardAt >= learnerTimeout || (!r.isDesired(p.id.VM) && p.match >= r.commitIndex)
	})
}

// changeMembership adds or removes at most one voter to approach the desired
// set. It waits until the previous change and an entry of the current term are
// committed. Otherwise, two memberships with disjoint quorums could be in
// effect at the same time.
func (r *Replicator) changeMembership() {
	if r.role != Leader || r.commitIndex < r.firstIndex || r.transfer.target != (zinniatide.Voter{}) {
		return
	}
	if n := len(r.memberships); n == 0 || r.memberships[n-1].index > r.commitIndex {
		return
	}
	current := r.Membership()
	if old, ok := r.supersededVoter(current.Voters); ok {
		r.removeVoter(current, old)
		return
	}
	for _, p := range r.peers {
		if r.isPromotable(p) {
			current.Voters = append(slices.Clone(current.Voters), p.id)
			r.proposeMembership(current)
			return
		}
	}
	// The list in the initial membership may be outdated. After a restart, no
	// voter is removed until the state machine has provided the desired set.
	if len(r.desiredVMs) == 0 {
		return
	}
	for _, v := range current.Voters {
		if r.isDesired(v.VM) {
			continue
		}
		if v == r.self {
			r.TransferLeadership()
		} else {
			r.removeVoter(current, v)
		}
		return
	}
}

// supersededVoter returns the older voter of a VM that has two, which is the one
// with the replaced disk.
func (r *Replicator) supersededVoter(voters []zinniatide.Voter) (zinniatide.Voter, bool) {
	for i, v := range voters {
		for _, later := range voters[i+1:] {
			if later.VM == v.VM && v != r.self {
				return v, true
			}
		}
	}
	return zinniatide.Voter{}, false
}

// recentlyActive reports whether p replied to a message sent within the last
// election timeout. Peers that have not replied yet count as active until one
// election timeout after the leader's election.
func (r *Replicator) recentlyActive(p *peer) bool { return r.now-p.ackedSentAt < r.cfg.ElectionTimeout }

// isPromotable reports whether a learner has caught up and belongs to the
// desired set. It returns false while the VM still replies with its old disk,
// because then two processes are running with the same VM ID.
func (r *Replicator) isPromotable(p *peer) bool {
	if r.isVoter(p.id) || !r.isDesired(p.id.VM) || p.probing || p.sendingSnapshot != nil || !r.recentlyActive(p) {
		return false
	}
	if r.log.lastIndex()-p.match > maxPromotionLagEntries {
		return false
	}
	for _, other := range r.peers {
		if other.id.VM == p.id.VM && other != p && r.recentlyActive(other) && r.isVoter(other.id) {
			return false
		}
	}
	return r.quorumActive(append(slices.Clone(r.Membership().Voters), p.id))
}

// quorumActive reports whether a quorum of voters is responding, so that a
// change to this set of voters can be committed.
func (r *Replicator) quorumActive(voters []zinniatide.Voter) bool {
	n := 0
	for _, v := range voters {
		// On a new leader, ackedSentAt of every peer starts at the time of the
		// election. Only an actual reply proves that the voter is running.
		if p := r.findPeer(v); v == r.self || (p != nil && p.hasReplied && r.recentlyActive(p)) {
			n++
		}
	}
	return n >= quorumSize(len(voters))
}

func (r *Replicator) removeVoter(current Membership, removed zinniatide.Voter) {
	current.Voters = slices.DeleteFunc(slices.Clone(current.Voters), func(o zinniatide.Voter) bool { return o == removed })
	if r.quorumActive(current.Voters) {
		r.proposeMembership(current)
	}
}

func (r *Replicator) proposeMembership(m Membership) {
	r.appendEntries(Entry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: EntryMembership, Membership: &m})
	r.addVoterPeers()
	// If this VM is the only voter left, no reply triggers the commit.
	r.advanceCommit()
}

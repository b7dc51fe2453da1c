package logkeeper

import (
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/replicator"
)

const (
	// maxOpenProposals limits the number of uncommitted proposals.
	maxOpenProposals = 20_000
	// maxEntryBytes keeps an entry well below the size of one link message.
	maxEntryBytes = 2 << 20
)

// Propose implements zinniatide.ReplicatedLog. In addition, it refuses entries
// larger than maxEntryBytes with CodeTooLarge, and all entries with
// CodeOverloaded while maxOpenProposals proposals are open.
func (k *Keeper) Propose(data []byte, done func(result any, err error)) {
	switch {
	case k.failure != nil:
		done(nil, zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM stopped: %v", k.failure))
		return
	case len(data) > maxEntryBytes:
		done(nil, zinniatide.Refuse(zinniatide.CodeTooLarge, "entry of %d bytes exceeds the limit of %d", len(data), maxEntryBytes))
		return
	case len(k.proposals) >= maxOpenProposals:
		done(nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "%d proposals are open", len(k.proposals)))
		return
	}
	index, term, ok := k.replicator.Propose(data)
	if !ok {
		done(nil, k.notLeaderRefusal())
		return
	}
	k.proposals[index] = proposal{term, done}
}

// notLeaderRefusal returns the refusal for a request that this VM cannot serve as
// leader. Its message names the current leader, if known.
func (k *Keeper) notLeaderRefusal() *zinniatide.Refusal {
	s := k.replicator.Status(k.cfg.Clock.Now())
	switch {
	case s.Role == replicator.Leader:
		return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM leads without a confirmed quorum, or hands over leadership")
	case s.Leader.VM != "":
		return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM does not lead; the leader is %s", s.Leader.VM)
	}
	return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM does not lead, and knows no leader")
}

func unknownOutcome(reason string) *zinniatide.Refusal {
	return &zinniatide.Refusal{Code: zinniatide.CodeNoQuorum, Outcome: zinniatide.OutcomeUnknown, Message: reason}
}

// failLostProposals fails the proposals made in a term that this VM no longer
// leads. Their outcome is unknown, because a later leader may still commit them.
func (k *Keeper) failLostProposals() {
	s := k.replicator.Status(k.cfg.Clock.Now())
	k.failProposals(func(p proposal) bool { return s.Role != replicator.Leader || p.term != s.Term },
		"this VM lost leadership before the entry was committed")
}

func (k *Keeper) failProposals(lost func(proposal) bool, reason string) {
	var indexes []uint64
	for index, p := range k.proposals {
		if lost(p) {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	for _, index := range indexes {
		p := k.proposals[index]
		delete(k.proposals, index)
		p.done(nil, unknownOutcome(reason))
	}
}

// failOpenRequests fails all open proposals, barriers and reads.
func (k *Keeper) failOpenRequests(reason error) {
	k.failProposals(func(proposal) bool { return true }, reason.Error())
	barriers, reads := k.barriers, k.pendingReads
	k.barriers, k.pendingReads = map[uint64]func(error){}, nil
	for _, done := range barriers {
		done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "%v", reason))
	}
	for _, w := range reads {
		w.done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "%v", reason))
	}
}

// Barrier implements zinniatide.ReplicatedLog.
func (k *Keeper) Barrier(done func(err error)) {
	if k.failure != nil {
		done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM stopped: %v", k.failure))
		return
	}
	id, ok := k.replicator.Barrier(k.cfg.Clock.Now())
	if !ok {
		done(k.notLeaderRefusal())
		return
	}
	k.barriers[id] = done
}

func (k *Keeper) handleBarrierResult(read replicator.BarrierResult) {
	done, ok := k.barriers[read.ID]
	if !ok {
		return
	}
	delete(k.barriers, read.ID)
	if !read.OK {
		done(k.notLeaderRefusal())
		return
	}
	k.pendingReads = append(k.pendingReads, pendingRead{read.Index, done})
	k.completeReads()
}

// completeReads completes the reads whose index the state machine has applied.
func (k *Keeper) completeReads() {
	var ready []pendingRead
	k.pendingReads = slices.DeleteFunc(k.pendingReads, func(w pendingRead) bool {
		if w.index <= k.appliedIndex {
			ready = append(ready, w)
			return true
		}
		return false
	})
	for _, w := range ready {
		w.done(nil)
	}
}

// Status implements zinniatide.ReplicatedLog.
func (k *Keeper) Status() zinniatide.LogStatus {
	s := k.replicator.Status(k.cfg.Clock.Now())
	status := zinniatide.LogStatus{
		Leader: s.Leader.VM, Term: s.Term, Commit: s.Commit, Applied: k.appliedIndex,
		Voters: slices.Clone(s.Membership.Voters), Forming: s.Forming,
	}
	if k.failure != nil {
		status.Leader, status.Failed = "", k.failure.Error()
		return status
	}
	status.Leading = s.HasLease && k.appliedTerm == s.Term
	return status
}

// TransferLeadership implements zinniatide.ReplicatedLog.
func (k *Keeper) TransferLeadership() {
	if k.failure == nil {
		k.replicator.TransferLeadership()
	}
}

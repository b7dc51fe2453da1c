package logkeeper

import (
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/replicator"
)

const (
	// maxOpenProposals bounds the proposals that wait for a quorum.
	maxOpenProposals = 20_000
	// maxEntryBytes keeps an entry well below the size of one link message.
	maxEntryBytes = 2 << 20
)

// Propose implements zinniatide.ReplicatedLog. It also refuses with
// CodeTooLarge for an entry of more than 2 MB, and with CodeOverloaded while
// 20,000 proposals are open.
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
	index, term, ok := k.machine.Propose(data)
	if !ok {
		done(nil, k.notLeading())
		return
	}
	k.proposals[index] = proposal{term, done}
}

// notLeading refuses a request and names the leader, if one is known.
func (k *Keeper) notLeading() *zinniatide.Refusal {
	s := k.machine.Status(k.cfg.Clock.Now())
	switch {
	case s.Role == replicator.Leader:
		return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM leads without a confirmed quorum, or hands over leadership")
	case s.Leader.VM != "":
		return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM does not lead; the leader is %s", s.Leader.VM)
	}
	return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM does not lead, and knows no leader")
}

func unknownFate(reason string) *zinniatide.Refusal {
	return &zinniatide.Refusal{Code: zinniatide.CodeNoQuorum, Outcome: zinniatide.OutcomeUnknown, Message: reason}
}

// dropLostProposals answers the proposals whose leader's term is over. A
// later leader may still commit them.
func (k *Keeper) dropLostProposals() {
	s := k.machine.Status(k.cfg.Clock.Now())
	k.dropProposals(func(p proposal) bool { return s.Role != replicator.Leader || p.term != s.Term },
		"this VM lost leadership before the entry was committed")
}

func (k *Keeper) dropProposals(lost func(proposal) bool, reason string) {
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
		p.done(nil, unknownFate(reason))
	}
}

// abandon fails everything that is open.
func (k *Keeper) abandon(reason error) {
	k.dropProposals(func(proposal) bool { return true }, reason.Error())
	barriers, waiting := k.barriers, k.waiting
	k.barriers, k.waiting = map[uint64]func(error){}, nil
	for _, done := range barriers {
		done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "%v", reason))
	}
	for _, w := range waiting {
		w.done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "%v", reason))
	}
}

// Barrier implements zinniatide.ReplicatedLog.
func (k *Keeper) Barrier(done func(err error)) {
	if k.failure != nil {
		done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM stopped: %v", k.failure))
		return
	}
	id, ok := k.machine.Barrier(k.cfg.Clock.Now())
	if !ok {
		done(k.notLeading())
		return
	}
	k.barriers[id] = done
}

func (k *Keeper) finishBarrier(read replicator.Read) {
	done, ok := k.barriers[read.ID]
	if !ok {
		return
	}
	delete(k.barriers, read.ID)
	if !read.OK {
		done(k.notLeading())
		return
	}
	k.waiting = append(k.waiting, waitingRead{read.Index, done})
	k.finishReads()
}

// finishReads answers the reads that the state machine has caught up with.
func (k *Keeper) finishReads() {
	var ready []waitingRead
	k.waiting = slices.DeleteFunc(k.waiting, func(w waitingRead) bool {
		if w.index <= k.applied {
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
	s := k.machine.Status(k.cfg.Clock.Now())
	status := zinniatide.LogStatus{
		Leader: s.Leader.VM, Term: s.Term, Commit: s.Commit, Applied: k.applied,
		Voters: slices.Clone(s.Membership.Voters),
	}
	if k.failure != nil {
		status.Leader, status.Failed = "", k.failure.Error()
		return status
	}
	status.Leading = s.Quorate && k.appliedTerm == s.Term
	return status
}

// TransferLeadership implements zinniatide.ReplicatedLog.
func (k *Keeper) TransferLeadership() {
	if k.failure == nil {
		k.machine.Transfer()
	}
}

package replicator

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// Receive handles a message from another replicator. It drops malformed
// messages, messages addressed to another VM or disk, and messages of another
// log.
func (r *Replicator) Receive(now zinniatide.Millis, m Message) {
	r.now = max(r.now, now)
	if m.To.VM != r.self.VM || m.From.VM == r.self.VM || m.From.VM == "" || m.From.Disk == "" {
		return
	}
	if m.To.Disk != r.self.Disk && (m.Kind != MessageAnnounce || m.To.Disk != "") {
		return
	}
	if r.logID != "" && m.LogID != "" && m.LogID != r.logID {
		return
	}
	switch m.Kind {
	case MessageAnnounce:
		r.handleAnnounce(m)
	case MessagePreVote:
		r.handlePreVote(m)
	case MessagePreVoteReply:
		r.handlePreVoteReply(m)
	case MessageVote:
		r.handleVote(m)
	case MessageAppend, MessageSnapshot:
		r.handleLeaderMessage(m)
	default:
		r.handleReply(m)
	}
}

func (r *Replicator) handleLeaderMessage(m Message) {
	if m.Term < r.term {
		// The reply carries this VM's higher term and makes the sender step
		// down. If the sender is the current leader and this VM returned from a
		// partition, the next election uses a term that this VM accepts.
		r.sendWhenDurable(Message{Kind: MessageAppendReply, To: m.From, Term: r.term, Index: m.Index, Reject: true}, 0)
		return
	}
	if r.role == Leader && m.Term == r.term {
		r.fail("two leaders in term %d: this VM and %s", r.term, m.From.VM)
		return
	}
	if r.logID == "" {
		r.logID = m.LogID
	}
	r.becomeFollower(m.Term, m.From)
	r.lastLeaderContact = r.now
	r.resetElectionDeadline()
	if m.Kind == MessageAppend {
		r.handleAppend(m)
	} else {
		r.handleSnapshot(m)
	}
}

func (r *Replicator) handleReply(m Message) {
	if m.Term > r.term {
		r.becomeFollower(m.Term, zinniatide.Voter{})
	}
	if m.Term < r.term {
		return
	}
	switch m.Kind {
	case MessageVoteReply:
		if r.role == Candidate && !m.Reject {
			r.countVote(m.From)
		}
	case MessageAppendReply:
		r.handleAppendReply(m)
	case MessageSnapshotReply:
		r.handleSnapshotReply(m)
	case MessageTimeoutNow:
		if r.role == Follower && m.From == r.leader && r.isVoter(r.self) {
			r.campaign(true)
		}
	}
}

func (r *Replicator) becomeFollower(term uint64, leader zinniatide.Voter) {
	if term > r.term {
		r.term, r.vote = term, zinniatide.Voter{}
		r.hardStateDirty = true
	}
	if r.role == Leader {
		r.failBarriers()
		r.leaderState = leaderState{}
	}
	if r.role != Follower {
		r.resetElectionDeadline()
	}
	r.role, r.leader, r.votes = Follower, leader, nil
}

// startPreVote asks the voters whether this VM could win an election. The term
// is incremented only after a quorum agrees, so that a VM that was partitioned
// does not depose the leader when it reconnects.
func (r *Replicator) startPreVote() {
	r.role, r.leader, r.votes = PreCandidate, zinniatide.Voter{}, nil
	r.requestVotes(MessagePreVote, r.term+1, false)
	r.countVote(r.self)
}

// campaign starts an election. The candidate's own vote counts once it is
// durable.
func (r *Replicator) campaign(transfer bool) {
	r.role, r.leader, r.votes = Candidate, zinniatide.Voter{}, nil
	r.term++
	r.vote = r.self
	r.hardStateDirty = true
	r.selfVoteSequence = r.writeSequence + 1
	r.resetElectionDeadline()
	r.requestVotes(MessageVote, r.term, transfer)
}

func (r *Replicator) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, v := range r.Membership().Voters {
		if v == r.self {
			continue
		}
		m := Message{Kind: kind, To: v, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Transfer: transfer}
		if kind == MessagePreVote {
			r.send(m)
		} else {
			r.sendWhenDurable(m, 0)
		}
	}
}

// countVote records a vote granted by voter. With a quorum of votes, a
// pre-candidate starts the election and a candidate becomes leader.
func (r *Replicator) countVote(voter zinniatide.Voter) {
	if !r.isVoter(voter) || slices.Contains(r.votes, voter) {
		return
	}
	r.votes = append(r.votes, voter)
	if len(r.votes) < quorumSize(len(r.Membership().Voters)) {
		return
	}
	if r.role == PreCandidate {
		r.campaign(false)
	} else {
		r.becomeLeader()
	}
}

func (r *Replicator) isLogUpToDate(m Message) bool {
	last := r.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= r.log.lastIndex())
}

// inLeaderLease reports whether this VM must not support another candidate,
// because the current leader's lease may depend on it.
func (r *Replicator) inLeaderLease() bool {
	if r.role == Leader {
		return r.hasLease()
	}
	return r.now-r.lastLeaderContact < r.cfg.ElectionTimeout
}

func (r *Replicator) handlePreVote(m Message) {
	if m.Term > r.term && r.isLogUpToDate(m) && !r.inLeaderLease() {
		r.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	r.sendWhenDurable(Message{Kind: MessagePreVoteReply, To: m.From, Term: r.term, Reject: true}, 0)
}

func (r *Replicator) handlePreVoteReply(m Message) {
	switch {
	case m.Reject && m.Term > r.term:
		r.becomeFollower(m.Term, zinniatide.Voter{})
	case !m.Reject && r.role == PreCandidate && m.Term == r.term+1:
		r.countVote(m.From)
	}
}

func (r *Replicator) handleVote(m Message) {
	if m.Term > r.term {
		if !m.Transfer && r.inLeaderLease() {
			return
		}
		r.becomeFollower(m.Term, zinniatide.Voter{})
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Term: r.term, Reject: true}
	canGrant := r.role != Leader && r.leader == zinniatide.Voter{} && (r.vote == zinniatide.Voter{} || r.vote == m.From)
	if m.Term == r.term && canGrant && r.isLogUpToDate(m) {
		reply.Reject = false
		r.role, r.votes = Follower, nil
		if r.vote != m.From {
			r.vote = m.From
			r.hardStateDirty = true
		}
		r.resetElectionDeadline()
	}
	r.sendWhenDurable(reply, 0)
}

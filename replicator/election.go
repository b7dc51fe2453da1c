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
	r.lastLeaderContact, r.heardOfLeader = r.now, true
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
	r.role, r.leader, r.votes, r.freshVoters = PreCandidate, zinniatide.Voter{}, nil, nil
	r.requestVotes(MessagePreVote, r.term+1, false, false)
	r.countVote(r.self)
}

// campaign starts an election. The candidate's own vote counts once it is
// durable.
func (r *Replicator) campaign(transfer bool) {
	fresh := r.role == PreCandidate && len(r.votes) < quorumSize(len(r.Membership().Voters))
	r.role, r.leader, r.votes, r.heardOfLeader = Candidate, zinniatide.Voter{}, nil, true
	r.term++
	r.vote = r.self
	r.hardStateDirty = true
	r.selfVoteSequence = r.writeSequence + 1
	r.resetElectionDeadline()
	r.requestVotes(MessageVote, r.term, transfer, fresh)
}

func (r *Replicator) requestVotes(kind MessageKind, term uint64, transfer, fresh bool) {
	for _, v := range r.Membership().Voters {
		if v == r.self {
			continue
		}
		m := Message{Kind: kind, To: v, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Transfer: transfer, Fresh: fresh}
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

const (
	// freshPreVoteInterval is the time between the pre-votes of a fresh voter. It
	// covers a few round trips between VMs of one region.
	freshPreVoteInterval zinniatide.Millis = 40
	// freshPreVoteHoldOff is how long a fresh voter leaves the pre-votes to one of
	// lower rank, so that voters that start together do not split the votes.
	freshPreVoteHoldOff = 4 * freshPreVoteInterval
)

// isFresh reports whether this voter has heard of no leader since its start. Once
// all voters are fresh, no process of an earlier leader is left that could hold a
// lease, so they need not wait for the end of one. A vote for a VM outside the
// voters that this VM knows shows that its membership may be outdated.
func (r *Replicator) isFresh() bool {
	return !r.heardOfLeader && r.isVoter(r.self) && (r.vote == zinniatide.Voter{} || r.isVoter(r.vote))
}

// rank returns the number of voters with a smaller VM id.
func (r *Replicator) rank(voter zinniatide.Voter) int {
	rank := 0
	for _, v := range r.Membership().Voters {
		if v.VM < voter.VM {
			rank++
		}
	}
	return rank
}

func (r *Replicator) handlePreVote(m Message) {
	if m.Term > r.term && r.isLogUpToDate(m) && (r.isFresh() || !r.inLeaderLease()) {
		r.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Fresh: r.inLeaderLease()})
		if r.isFresh() && r.rank(m.From) < r.rank(r.self) {
			r.nextFreshPreVote = r.now + freshPreVoteHoldOff
		}
		return
	}
	r.sendWhenDurable(Message{Kind: MessagePreVoteReply, To: m.From, Term: r.term, Reject: true}, 0)
}

func (r *Replicator) handlePreVoteReply(m Message) {
	switch {
	case m.Reject && m.Term > r.term:
		r.becomeFollower(m.Term, zinniatide.Voter{})
	case m.Reject || r.role != PreCandidate || m.Term != r.term+1:
	case m.Fresh:
		r.countFreshVoter(m.From)
	default:
		r.countVote(m.From)
	}
}

// countFreshVoter records a fresh voter. Once all voters are fresh, it starts the
// election.
func (r *Replicator) countFreshVoter(voter zinniatide.Voter) {
	if !r.isFresh() || !r.isVoter(voter) || slices.Contains(r.freshVoters, voter) {
		return
	}
	r.freshVoters = append(r.freshVoters, voter)
	if len(r.freshVoters) == len(r.Membership().Voters)-1 { // without this VM
		r.campaign(false)
	}
}

func (r *Replicator) handleVote(m Message) {
	if m.Term > r.term {
		excepted := m.Transfer || m.Fresh && r.isFresh()
		if !excepted && r.inLeaderLease() {
			return
		}
		r.becomeFollower(m.Term, zinniatide.Voter{})
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Term: r.term, Reject: true}
	canGrant := r.role != Leader && r.leader == zinniatide.Voter{} && (r.vote == zinniatide.Voter{} || r.vote == m.From)
	if m.Term == r.term && canGrant && r.isLogUpToDate(m) {
		reply.Reject = false
		r.role, r.votes, r.heardOfLeader = Follower, nil, true
		if r.vote != m.From {
			r.vote = m.From
			r.hardStateDirty = true
		}
		r.resetElectionDeadline()
	}
	r.sendWhenDurable(reply, 0)
}

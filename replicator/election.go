package replicator

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// Receive handles a message. Malformed messages and messages to another
// identity are dropped.
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
		r.handleFromLeader(m)
	default:
		r.handleReply(m)
	}
}

func (r *Replicator) handleFromLeader(m Message) {
	if m.Term < r.term {
		// Tells a deposed leader, or the leader of a VM that was away with a
		// higher term, which term to pass.
		r.sendAfterSync(Message{Kind: MessageAppendReply, To: m.From, Term: r.term, Index: m.Index, Reject: true}, 0)
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
	r.leaderContact = r.now
	r.resetElection()
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
		r.hardDirty = true
	}
	if r.role == Leader {
		r.dropReads()
		r.leaderState = leaderState{}
	}
	if r.role != Follower {
		r.resetElection()
	}
	r.role, r.leader, r.votes = Follower, leader, nil
}

// startPreVote asks whether an election could be won. The term grows only
// after a quorum agreed, so a VM that was cut off disturbs nobody on return.
func (r *Replicator) startPreVote() {
	r.role, r.leader, r.votes = PreCandidate, zinniatide.Voter{}, nil
	r.requestVotes(MessagePreVote, r.term+1, false)
	r.countVote(r.self)
}

// campaign starts an election. Its own vote counts once it is durable.
func (r *Replicator) campaign(transfer bool) {
	r.role, r.leader, r.votes = Candidate, zinniatide.Voter{}, nil
	r.term++
	r.vote = r.self
	r.hardDirty = true
	r.voteSequence = r.sequence + 1
	r.resetElection()
	r.requestVotes(MessageVote, r.term, transfer)
}

func (r *Replicator) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, v := range r.Membership().Voters {
		if v == r.self {
			continue
		}
		m := Message{Kind: kind, To: v, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: transfer}
		if kind == MessagePreVote {
			r.send(m)
		} else {
			r.sendAfterSync(m, 0)
		}
	}
}

// countVote adds a grant by voter and moves on when a quorum has granted.
func (r *Replicator) countVote(voter zinniatide.Voter) {
	if !r.isVoter(voter) || slices.Contains(r.votes, voter) {
		return
	}
	r.votes = append(r.votes, voter)
	if len(r.votes) < quorum(len(r.Membership().Voters)) {
		return
	}
	if r.role == PreCandidate {
		r.campaign(false)
	} else {
		r.becomeLeader()
	}
}

func (r *Replicator) upToDate(m Message) bool {
	last := r.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= r.log.last())
}

// followsLeader reports whether a leader may rely on this VM to elect nobody
// else at present.
func (r *Replicator) followsLeader() bool {
	if r.role == Leader {
		return r.quorate()
	}
	return r.now-r.leaderContact < r.cfg.ElectionTimeout
}

func (r *Replicator) handlePreVote(m Message) {
	if m.Term > r.term && r.upToDate(m) && !r.followsLeader() {
		r.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	r.sendAfterSync(Message{Kind: MessagePreVoteReply, To: m.From, Term: r.term, Reject: true}, 0)
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
		if !m.Transfer && r.followsLeader() {
			return
		}
		r.becomeFollower(m.Term, zinniatide.Voter{})
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Term: r.term, Reject: true}
	free := r.role != Leader && r.leader == zinniatide.Voter{} && (r.vote == zinniatide.Voter{} || r.vote == m.From)
	if m.Term == r.term && free && r.upToDate(m) {
		reply.Reject = false
		r.role, r.votes = Follower, nil
		if r.vote != m.From {
			r.vote = m.From
			r.hardDirty = true
		}
		r.resetElection()
	}
	r.sendAfterSync(reply, 0)
}

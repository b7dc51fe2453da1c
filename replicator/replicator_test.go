package replicator

import (
	"math/rand/v2"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
)

var (
	a  = zinniatide.Voter{VM: "a", Disk: "1"}
	b  = zinniatide.Voter{VM: "b", Disk: "1"}
	c  = zinniatide.Voter{VM: "c", Disk: "1"}
	d  = zinniatide.Voter{VM: "d", Disk: "1"}
	c2 = zinniatide.Voter{VM: "c", Disk: "2"}
)

// testReplica drives a single Replicator, voter a, step by step.
type testReplica struct {
	*testing.T
	*Replicator
	sent         []Message // messages whose writes are durable
	awaitingSync []Message // messages that depend on a write that is not durable yet
	committed    []Entry   // entries returned as committed
	readResults  []BarrierResult
	lastSequence uint64
}

// newTestReplica starts replica a in the given term. Its stored log has one entry
// for each element of terms; the first entry makes a, b and c voters.
func newTestReplica(t *testing.T, term uint64, terms ...uint64) *testReplica {
	t.Helper()
	s := PersistentState{HardState: HardState{Term: term}}
	for i, et := range terms {
		s.Entries = append(s.Entries, Entry{Index: uint64(i + 1), Term: et})
	}
	s.Entries[0].Kind = EntryMembership
	s.Entries[0].Membership = &Membership{Voters: []zinniatide.Voter{a, b, c}}
	r, err := New(Config{Self: a, State: s, Now: 10_000, Rand: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		t.Fatal(err)
	}
	r.SetControlVMs([]zinniatide.VMID{"a", "b", "c", "d"})
	return &testReplica{T: t, Replicator: r}
}

// collectOutput processes the pending outputs without completing their writes.
func (r *testReplica) collectOutput() {
	for {
		o, more := r.Output()
		if !more {
			return
		}
		r.lastSequence = max(r.lastSequence, o.WriteSequence)
		for _, m := range o.Messages {
			if m.DurableSequence > r.syncedSequence {
				r.awaitingSync = append(r.awaitingSync, m)
			} else {
				r.sent = append(r.sent, m)
			}
		}
		r.committed = append(r.committed, o.Committed...)
		r.readResults = append(r.readResults, o.BarrierResults...)
	}
}

// completeWrites marks all writes as durable.
func (r *testReplica) completeWrites() {
	r.collectOutput()
	r.Synced(r.lastSequence)
	r.sent = append(r.sent, r.awaitingSync...)
	r.awaitingSync = nil
	r.collectOutput()
}

func (r *testReplica) receive(m Message) {
	m.To = a
	r.Receive(r.now, m)
	r.collectOutput()
}

func (r *testReplica) advanceTime(ms zinniatide.Millis) {
	for range ms / 20 {
		r.Tick(r.now + 20)
		r.collectOutput()
	}
}

// takeSent reports whether a message of the given kind was sent, and clears the
// sent messages.
func (r *testReplica) takeSent(kind MessageKind, reject bool) bool {
	found := slices.ContainsFunc(r.sent, func(m Message) bool { return m.Kind == kind && m.Reject == reject })
	r.sent = nil
	return found
}

func (r *testReplica) requireEqual(what string, got, want any) {
	r.Helper()
	if got != want {
		r.Fatalf("%s = %v, want %v", what, got, want)
	}
}

// winElection makes a the leader of the next term. Its no-op entry is durable on
// a but not acknowledged by any other voter.
func (r *testReplica) winElection() {
	r.Helper()
	for r.role != PreCandidate {
		r.advanceTime(20)
	}
	r.receive(Message{Kind: MessagePreVoteReply, From: b, Term: r.term + 1})
	r.completeWrites()
	r.receive(Message{Kind: MessageVoteReply, From: b, Term: r.term})
	r.requireEqual("role", r.role, Leader)
	r.completeWrites()
}

// acknowledge delivers a reply from the given VM that acknowledges the current
// heartbeat round and the log up to match.
func (r *testReplica) acknowledge(from zinniatide.Voter, match uint64) {
	r.receive(Message{Kind: MessageAppendReply, From: from, Term: r.term, Match: match, Round: r.heartbeatRound, SentAt: r.now})
}

// safetyCases check single steps where a bug would lose entries or elect two
// leaders only in rare interleavings, which the cluster tests of logkeeper may
// miss.
var safetyCases = []struct {
	name string
	run  func(t *testing.T)
}{
	{"a vote is sent only after it is durable, and is given once per term", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.advanceTime(580)
		r.now += 40 // past the election timeout, so that this VM may vote
		vote := Message{Kind: MessageVote, From: b, Term: 5, Index: 1, LogTerm: 1}
		r.receive(vote)
		r.requireEqual("vote sent before the sync", r.takeSent(MessageVoteReply, false), false)
		r.completeWrites()
		r.requireEqual("vote sent after the sync", r.takeSent(MessageVoteReply, false), true)
		r.requireEqual("stored vote", r.State().HardState, HardState{Term: 5, Vote: b})
		vote.From = c
		r.receive(vote)
		r.completeWrites()
		r.requireEqual("second vote", r.takeSent(MessageVoteReply, false), false)
	}},
	{"a vote granted in the current term is written before it is sent", func(t *testing.T) {
		r := newTestReplica(t, 5, 1)
		r.now += 700
		r.receive(Message{Kind: MessageVote, From: b, Term: 5, Index: 1, LogTerm: 1})
		r.requireEqual("vote before the sync", r.takeSent(MessageVoteReply, false), false)
		r.completeWrites()
		r.requireEqual("vote after the sync", r.takeSent(MessageVoteReply, false), true)
	}},
	{"a voter with a live leader rejects other candidates", func(t *testing.T) {
		r := newTestReplica(t, 2, 1)
		r.receive(Message{Kind: MessageAppend, From: b, Term: 2, Index: 1, LogTerm: 1})
		r.advanceTime(500)
		r.receive(Message{Kind: MessagePreVote, From: c, Term: 3, Index: 9, LogTerm: 2})
		r.requireEqual("pre-vote granted", r.takeSent(MessagePreVoteReply, false), false)
		r.receive(Message{Kind: MessageVote, From: c, Term: 3, Index: 9, LogTerm: 2})
		r.completeWrites()
		r.requireEqual("vote granted", r.takeSent(MessageVoteReply, false), false)
		r.requireEqual("term", r.term, uint64(2))
		r.receive(Message{Kind: MessageVote, From: c, Term: 3, Index: 9, LogTerm: 2, Transfer: true})
		r.completeWrites()
		r.requireEqual("vote for a transfer granted", r.takeSent(MessageVoteReply, false), true)
	}},
	{"a restarted voter grants no vote while a leader's lease may depend on it", func(t *testing.T) {
		r := newTestReplica(t, 2, 1)
		r.advanceTime(500)
		r.receive(Message{Kind: MessageVote, From: c, Term: 3, Index: 9, LogTerm: 2})
		r.completeWrites()
		r.requireEqual("vote granted", r.takeSent(MessageVoteReply, false), false)
	}},
	{"fresh voters elect a leader at once", func(t *testing.T) {
		r := newTestReplica(t, 2, 1)
		r.advanceTime(100)
		r.requireEqual("asked", r.takeSent(MessagePreVote, false), true)
		r.receive(Message{Kind: MessagePreVoteReply, From: b, Term: 3, Fresh: true})
		r.requireEqual("role with one fresh voter of two others", r.role, PreCandidate)
		r.receive(Message{Kind: MessagePreVoteReply, From: c, Term: 3, Fresh: true})
		r.requireEqual("role with all voters fresh", r.role, Candidate)
		r.completeWrites()
		r.requireEqual("fresh vote requested", slices.ContainsFunc(r.sent, func(m Message) bool { return m.Kind == MessageVote && m.Fresh }), true)
		r.receive(Message{Kind: MessageVoteReply, From: b, Term: 3})
		r.requireEqual("role", r.role, Leader)
	}},
	{"a fresh voter votes at once for a candidate that found all voters fresh", func(t *testing.T) {
		r := newTestReplica(t, 2, 1)
		r.advanceTime(100)
		r.receive(Message{Kind: MessagePreVote, From: b, Term: 3, Index: 9, LogTerm: 2})
		r.requireEqual("fresh reply", slices.ContainsFunc(r.sent, func(m Message) bool { return m.Kind == MessagePreVoteReply && m.Fresh && !m.Reject }), true)
		r.receive(Message{Kind: MessageVote, From: b, Term: 3, Index: 9, LogTerm: 2, Fresh: true})
		r.completeWrites()
		r.requireEqual("vote granted", r.takeSent(MessageVoteReply, false), true)
		r.receive(Message{Kind: MessagePreVote, From: c, Term: 4, Index: 9, LogTerm: 2})
		r.completeWrites()
		r.requireEqual("fresh after a vote", r.takeSent(MessagePreVoteReply, false), false)
	}},
	{"a voter that has heard of a leader is not fresh", func(t *testing.T) {
		r := newTestReplica(t, 2, 1)
		r.receive(Message{Kind: MessageAppend, From: c, Term: 2, Index: 1, LogTerm: 1})
		r.completeWrites()
		r.sent = nil
		r.receive(Message{Kind: MessagePreVote, From: b, Term: 3, Index: 9, LogTerm: 2})
		r.completeWrites()
		r.requireEqual("support", r.takeSent(MessagePreVoteReply, false), false)
		r.receive(Message{Kind: MessageVote, From: b, Term: 3, Index: 9, LogTerm: 2, Fresh: true})
		r.completeWrites()
		r.requireEqual("vote granted", r.takeSent(MessageVoteReply, false), false)
	}},
	{"a voter that voted for a VM unknown to it is not fresh", func(t *testing.T) {
		r := newTestReplica(t, 2, 1)
		r.vote = d
		r.receive(Message{Kind: MessagePreVote, From: b, Term: 3, Index: 9, LogTerm: 2})
		r.completeWrites()
		r.requireEqual("support", r.takeSent(MessagePreVoteReply, false), false)
	}},
	{"an outdated candidate finds no fresh voter", func(t *testing.T) {
		r := newTestReplica(t, 2, 1, 2)
		r.receive(Message{Kind: MessagePreVote, From: b, Term: 3, Index: 9, LogTerm: 1})
		r.completeWrites()
		r.requireEqual("support", r.takeSent(MessagePreVoteReply, false), false)
	}},
	{"no vote is granted to a candidate with an outdated log", func(t *testing.T) {
		r := newTestReplica(t, 2, 1, 2)
		r.now += 700
		r.receive(Message{Kind: MessageVote, From: b, Term: 3, Index: 9, LogTerm: 1})
		r.completeWrites()
		r.requireEqual("vote granted", r.takeSent(MessageVoteReply, false), false)
	}},
	{"an entry of an earlier term is not committed by counting replicas", func(t *testing.T) {
		r := newTestReplica(t, 2, 1, 2)
		r.winElection()
		r.acknowledge(b, 2)
		r.requireEqual("commit", r.commitIndex, uint64(0))
		r.acknowledge(b, 3)
		r.requireEqual("commit", r.commitIndex, uint64(3))
	}},
	{"an entry that is not synced on the leader does not count towards the leader's quorum", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.acknowledge(b, 2)
		r.Propose([]byte("x"))
		r.collectOutput()
		r.acknowledge(b, 3)
		r.requireEqual("commit before the sync", r.commitIndex, uint64(2))
		r.completeWrites()
		r.requireEqual("commit after the sync", r.commitIndex, uint64(3))
	}},
	{"an append is acknowledged only after its entries are synced", func(t *testing.T) {
		r := newTestReplica(t, 2, 1, 2)
		entries := []Entry{{Index: 3, Term: 2}}
		r.receive(Message{Kind: MessageAppend, From: b, Term: 2, Index: 2, LogTerm: 2, Entries: entries})
		r.receive(Message{Kind: MessageAppend, From: b, Term: 2, Index: 2, LogTerm: 2, Entries: entries})
		r.requireEqual("acknowledged before the sync", r.takeSent(MessageAppendReply, false), false)
		r.completeWrites()
		r.requireEqual("acknowledged after the sync", r.takeSent(MessageAppendReply, false), true)
	}},
	{"the sync of truncated entries does not make their replacements durable", func(t *testing.T) {
		r := newTestReplica(t, 2, 1, 2, 2)
		r.receive(Message{Kind: MessageAppend, From: b, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}, {Index: 3, Term: 3}}})
		r.receive(Message{Kind: MessageAppend, From: b, Term: 3, Index: 3, LogTerm: 3, Commit: 3})
		r.requireEqual("acknowledged before the sync", r.takeSent(MessageAppendReply, false), false)
		r.requireEqual("committed before the sync", len(r.committed), 1)
	}},
	{"a snapshot is acknowledged only after it is synced", func(t *testing.T) {
		r := newTestReplica(t, 2, 1, 2)
		m := Membership{Voters: []zinniatide.Voter{a, b, c}}
		r.receive(Message{Kind: MessageSnapshot, From: b, Term: 2, Index: 9, LogTerm: 2, Total: 1, Chunk: []byte{1}, Membership: &m})
		r.receive(Message{Kind: MessageSnapshot, From: b, Term: 2, Index: 9, LogTerm: 2, Total: 1, Chunk: []byte{1}, Membership: &m})
		r.requireEqual("acknowledged before the sync", r.takeSent(MessageAppendReply, false), false)
		r.completeWrites()
		r.requireEqual("acknowledged after the sync", r.takeSent(MessageAppendReply, false), true)
	}},
	{"a barrier completes only after replies to a later heartbeat round", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.acknowledge(b, 2)
		r.Barrier(r.now)
		round := r.heartbeatRound
		r.collectOutput()
		r.receive(Message{Kind: MessageAppendReply, From: b, Term: r.term, Match: 2, Round: round, SentAt: r.now})
		r.requireEqual("reads after a reply of an earlier round", len(r.readResults), 0)
		r.acknowledge(b, 2)
		r.requireEqual("reads", len(r.readResults), 1)
	}},
	{"a leader without replies loses its lease and fails its barriers", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.acknowledge(b, 2)
		r.Barrier(r.now)
		r.now += 599
		r.requireEqual("lease held within the timeout", r.hasLease(), true)
		r.now++
		r.requireEqual("lease held after the timeout", r.hasLease(), false)
		r.advanceTime(20)
		r.requireEqual("failed reads", len(r.readResults) == 1 && !r.readResults[0].OK, true)
		_, started := r.Barrier(r.now)
		r.requireEqual("read started without a lease", started, false)
		r.advanceTime(600)
		r.requireEqual("role", r.role, Follower)
		r.requireEqual("failed reads at the end of leadership", len(r.readResults), 1)
	}},
	{"a lease starts when the acknowledged message was sent", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.acknowledge(b, 2)
		sent, round := r.now, r.heartbeatRound
		r.now += 500
		r.receive(Message{Kind: MessageAppendReply, From: b, Term: r.term, Match: 2, Round: round, SentAt: sent})
		r.requireEqual("lease held within the timeout", r.hasLease(), true)
		r.now += 100
		r.requireEqual("lease held after the timeout", r.hasLease(), false)
	}},
	{"a candidate's own vote counts only after it is synced", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		for r.role != PreCandidate {
			r.advanceTime(20)
		}
		r.receive(Message{Kind: MessagePreVoteReply, From: b, Term: 2})
		r.receive(Message{Kind: MessageVoteReply, From: b, Term: 2})
		r.requireEqual("role before the sync", r.role, Candidate)
		r.completeWrites()
		r.requireEqual("role after the sync", r.role, Leader)
	}},
	{"a transfer ends the lease, and a failed transfer ends the leadership", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.acknowledge(b, 2)
		r.TransferLeadership()
		r.collectOutput()
		r.requireEqual("sent MessageTimeoutNow", r.takeSent(MessageTimeoutNow, false), true)
		r.requireEqual("lease held during the transfer", r.hasLease(), false)
		for range 35 {
			r.advanceTime(20)
			r.acknowledge(b, 2)
		}
		r.requireEqual("role", r.role, Follower)
	}},
	{"only one membership change is in progress at a time", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.acknowledge(b, 2)
		for range 40 {
			for _, id := range []zinniatide.Voter{c2, d} {
				r.receive(Message{Kind: MessageAnnounce, From: id})
				r.acknowledge(id, 2)
			}
			r.acknowledge(b, 2)
			r.advanceTime(20)
			r.completeWrites()
		}
		r.requireEqual("memberships while the first change is uncommitted", len(r.memberships), 2)
		for range 3 {
			r.acknowledge(b, r.log.lastIndex())
			r.acknowledge(d, r.log.lastIndex())
			r.acknowledge(c2, r.log.lastIndex())
			r.completeWrites()
		}
		r.requireEqual("old disk is a voter", r.isVoter(c), false)
		r.requireEqual("new disk is a voter", r.isVoter(c2), true)
	}},
	{"no membership change starts before an entry of the leader's term is committed", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		r.receive(Message{Kind: MessageAnnounce, From: d})
		r.acknowledge(d, 2)
		r.advanceTime(100)
		r.requireEqual("voters", len(r.Membership().Voters), 3)
	}},
	{"a lagging learner is not promoted", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.winElection()
		for range maxPromotionLagEntries + 1 {
			r.Propose(nil)
		}
		r.completeWrites()
		r.acknowledge(b, r.log.lastIndex())
		r.receive(Message{Kind: MessageAnnounce, From: d})
		r.acknowledge(d, 2)
		r.advanceTime(100)
		r.requireEqual("voters", len(r.Membership().Voters), 3)
		r.acknowledge(d, 3)
		r.advanceTime(20)
		r.requireEqual("voters", len(r.Membership().Voters), 4)
	}},
	{"a message addressed to another disk is dropped", func(t *testing.T) {
		r := newTestReplica(t, 1, 1)
		r.now += 700
		r.Receive(r.now, Message{Kind: MessageVote, From: b, To: zinniatide.Voter{VM: "a", Disk: "0"}, Term: 3, Index: 9, LogTerm: 1})
		r.completeWrites()
		r.requireEqual("answered", len(r.sent), 0)
	}},
}

func TestConsensusSafety(t *testing.T) {
	for _, tc := range safetyCases {
		t.Run(tc.name, tc.run)
	}
}

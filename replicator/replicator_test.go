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

// rig drives one machine, named a, by hand.
type rig struct {
	*testing.T
	*Replicator
	out  []Message // messages that may be sent
	held []Message // messages that wait for a sync
	got  []Entry   // committed entries
	read []Read
	seq  uint64
}

// newRig restarts a with a log of one entry per given term. The first makes
// a, b and c voters.
func newRig(t *testing.T, term uint64, terms ...uint64) *rig {
	t.Helper()
	s := State{HardState: HardState{Term: term}}
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
	return &rig{T: t, Replicator: r}
}

// collect takes the outputs without syncing.
func (r *rig) collect() {
	for {
		o, more := r.Output()
		if !more {
			return
		}
		r.seq = max(r.seq, o.Sequence)
		for _, m := range o.Messages {
			if m.After > r.synced {
				r.held = append(r.held, m)
			} else {
				r.out = append(r.out, m)
			}
		}
		r.got = append(r.got, o.Committed...)
		r.read = append(r.read, o.Reads...)
	}
}

// sync completes all writes.
func (r *rig) sync() {
	r.collect()
	r.Synced(r.seq)
	r.out = append(r.out, r.held...)
	r.held = nil
	r.collect()
}

func (r *rig) receive(m Message) {
	m.To = a
	r.Receive(r.now, m)
	r.collect()
}

func (r *rig) pass(ms zinniatide.Millis) {
	for range ms / 20 {
		r.Tick(r.now + 20)
		r.collect()
	}
}

// has reports whether a message of the kind was sent, and forgets all sent.
func (r *rig) has(kind MessageKind, reject bool) bool {
	found := slices.ContainsFunc(r.out, func(m Message) bool { return m.Kind == kind && m.Reject == reject })
	r.out = nil
	return found
}

func (r *rig) expect(what string, got, want any) {
	r.Helper()
	if got != want {
		r.Fatalf("%s = %v, want %v", what, got, want)
	}
}

// lead makes a the leader of the next term, without its no-op being replicated.
func (r *rig) lead() {
	r.Helper()
	for r.role != PreCandidate {
		r.pass(20)
	}
	r.receive(Message{Kind: MessagePreVoteReply, From: b, Term: r.term + 1})
	r.sync()
	r.receive(Message{Kind: MessageVoteReply, From: b, Term: r.term})
	r.expect("role", r.role, Leader)
	r.sync()
}

// ack is b's or c's answer to everything sent until now.
func (r *rig) ack(from zinniatide.Voter, match uint64) {
	r.receive(Message{Kind: MessageAppendReply, From: from, Term: r.term, Match: match, Round: r.round, SentAt: r.now})
}

// rules are single steps whose violation loses entries or elects two leaders,
// but only in rare interleavings.
var rules = []struct {
	name string
	run  func(t *testing.T)
}{
	{"a vote is sent only after it is durable, and is given once per term", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.pass(580)
		r.now += 40
		vote := Message{Kind: MessageVote, From: b, Term: 5, Index: 1, LogTerm: 1}
		r.receive(vote)
		r.expect("vote sent before the sync", r.has(MessageVoteReply, false), false)
		r.sync()
		r.expect("vote sent after the sync", r.has(MessageVoteReply, false), true)
		r.expect("stored vote", r.State().HardState, HardState{Term: 5, Vote: b})
		vote.From = c
		r.receive(vote)
		r.sync()
		r.expect("second vote", r.has(MessageVoteReply, false), false)
	}},
	{"a granted vote makes a new write in the same term", func(t *testing.T) {
		r := newRig(t, 5, 1)
		r.now += 700
		r.receive(Message{Kind: MessageVote, From: b, Term: 5, Index: 1, LogTerm: 1})
		r.expect("vote before the sync", r.has(MessageVoteReply, false), false)
		r.sync()
		r.expect("vote after the sync", r.has(MessageVoteReply, false), true)
	}},
	{"a voter that hears a leader supports no other", func(t *testing.T) {
		r := newRig(t, 2, 1)
		r.receive(Message{Kind: MessageAppend, From: b, Term: 2, Index: 1, LogTerm: 1})
		r.pass(500)
		r.receive(Message{Kind: MessagePreVote, From: c, Term: 3, Index: 9, LogTerm: 2})
		r.expect("pre-vote granted", r.has(MessagePreVoteReply, false), false)
		r.receive(Message{Kind: MessageVote, From: c, Term: 3, Index: 9, LogTerm: 2})
		r.sync()
		r.expect("vote granted", r.has(MessageVoteReply, false), false)
		r.expect("term", r.term, uint64(2))
		r.receive(Message{Kind: MessageVote, From: c, Term: 3, Index: 9, LogTerm: 2, Transfer: true})
		r.sync()
		r.expect("vote for a transfer granted", r.has(MessageVoteReply, false), true)
	}},
	{"a restarted voter supports nobody while a leader may rely on it", func(t *testing.T) {
		r := newRig(t, 2, 1)
		r.pass(500)
		r.receive(Message{Kind: MessageVote, From: c, Term: 3, Index: 9, LogTerm: 2})
		r.sync()
		r.expect("vote granted", r.has(MessageVoteReply, false), false)
	}},
	{"no vote for a shorter log", func(t *testing.T) {
		r := newRig(t, 2, 1, 2)
		r.now += 700
		r.receive(Message{Kind: MessageVote, From: b, Term: 3, Index: 9, LogTerm: 1})
		r.sync()
		r.expect("vote granted", r.has(MessageVoteReply, false), false)
	}},
	{"an entry of an older term is not committed by counting", func(t *testing.T) {
		r := newRig(t, 2, 1, 2)
		r.lead()
		r.ack(b, 2)
		r.expect("commit", r.commit, uint64(0))
		r.ack(b, 3)
		r.expect("commit", r.commit, uint64(3))
	}},
	{"an entry that is not synced here does not count here", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.ack(b, 2)
		r.Propose([]byte("x"))
		r.collect()
		r.ack(b, 3)
		r.expect("commit before the sync", r.commit, uint64(2))
		r.sync()
		r.expect("commit after the sync", r.commit, uint64(3))
	}},
	{"an acknowledgement waits for the sync of its entries", func(t *testing.T) {
		r := newRig(t, 2, 1, 2)
		entries := []Entry{{Index: 3, Term: 2}}
		r.receive(Message{Kind: MessageAppend, From: b, Term: 2, Index: 2, LogTerm: 2, Entries: entries})
		r.receive(Message{Kind: MessageAppend, From: b, Term: 2, Index: 2, LogTerm: 2, Entries: entries})
		r.expect("acknowledged before the sync", r.has(MessageAppendReply, false), false)
		r.sync()
		r.expect("acknowledged after the sync", r.has(MessageAppendReply, false), true)
	}},
	{"replaced entries are not durable by the old entries' sync", func(t *testing.T) {
		r := newRig(t, 2, 1, 2, 2)
		r.receive(Message{Kind: MessageAppend, From: b, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}, {Index: 3, Term: 3}}})
		r.receive(Message{Kind: MessageAppend, From: b, Term: 3, Index: 3, LogTerm: 3, Commit: 3})
		r.expect("acknowledged before the sync", r.has(MessageAppendReply, false), false)
		r.expect("committed before the sync", len(r.got), 1)
	}},
	{"an installed snapshot is acknowledged after its sync", func(t *testing.T) {
		r := newRig(t, 2, 1, 2)
		m := Membership{Voters: []zinniatide.Voter{a, b, c}}
		r.receive(Message{Kind: MessageSnapshot, From: b, Term: 2, Index: 9, LogTerm: 2, Total: 1, Chunk: []byte{1}, Membership: &m})
		r.receive(Message{Kind: MessageSnapshot, From: b, Term: 2, Index: 9, LogTerm: 2, Total: 1, Chunk: []byte{1}, Membership: &m})
		r.expect("acknowledged before the sync", r.has(MessageAppendReply, false), false)
		r.sync()
		r.expect("acknowledged after the sync", r.has(MessageAppendReply, false), true)
	}},
	{"a barrier needs a round of answers sent after it", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.ack(b, 2)
		r.Barrier(r.now)
		round := r.round
		r.collect()
		r.receive(Message{Kind: MessageAppendReply, From: b, Term: r.term, Match: 2, Round: round, SentAt: r.now})
		r.expect("reads after an older answer", len(r.read), 0)
		r.ack(b, 2)
		r.expect("reads", len(r.read), 1)
	}},
	{"a leader without answers ends its barriers and its lease", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.ack(b, 2)
		r.Barrier(r.now)
		r.now += 599
		r.expect("quorate within the timeout", r.quorate(), true)
		r.now++
		r.expect("quorate after the timeout", r.quorate(), false)
		r.pass(20)
		r.expect("role", r.role, Follower)
		r.expect("failed reads", len(r.read) == 1 && !r.read[0].OK, true)
	}},
	{"a lease counts from the sending of the answered message", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.ack(b, 2)
		sent, round := r.now, r.round
		r.now += 500
		r.receive(Message{Kind: MessageAppendReply, From: b, Term: r.term, Match: 2, Round: round, SentAt: sent})
		r.expect("quorate within the timeout", r.quorate(), true)
		r.now += 100
		r.expect("quorate after the timeout", r.quorate(), false)
	}},
	{"a candidate's own vote counts after its sync", func(t *testing.T) {
		r := newRig(t, 1, 1)
		for r.role != PreCandidate {
			r.pass(20)
		}
		r.receive(Message{Kind: MessagePreVoteReply, From: b, Term: 2})
		r.receive(Message{Kind: MessageVoteReply, From: b, Term: 2})
		r.expect("role before the sync", r.role, Candidate)
		r.sync()
		r.expect("role after the sync", r.role, Leader)
	}},
	{"a transfer ends the lease, and the leadership if it fails", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.ack(b, 2)
		r.Transfer()
		r.collect()
		r.expect("told to campaign", r.has(MessageTimeoutNow, false), true)
		r.expect("quorate", r.quorate(), false)
		for range 35 {
			r.pass(20)
			r.ack(b, 2)
		}
		r.expect("role", r.role, Follower)
	}},
	{"only one membership change is under way", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.ack(b, 2)
		for range 40 {
			for _, id := range []zinniatide.Voter{c2, d} {
				r.receive(Message{Kind: MessageAnnounce, From: id})
				r.ack(id, 2)
			}
			r.ack(b, 2)
			r.pass(20)
			r.sync()
		}
		r.expect("memberships while the first change is open", len(r.memberships), 2)
		for range 3 {
			r.ack(b, r.log.last())
			r.ack(d, r.log.last())
			r.ack(c2, r.log.last())
			r.sync()
		}
		r.expect("old disk is a voter", r.isVoter(c), false)
		r.expect("new disk is a voter", r.isVoter(c2), true)
	}},
	{"no membership change before an entry of the own term is committed", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		r.receive(Message{Kind: MessageAnnounce, From: d})
		r.ack(d, 2)
		r.pass(100)
		r.expect("voters", len(r.Membership().Voters), 3)
	}},
	{"a learner that lags is not promoted", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.lead()
		for range promotionLag + 1 {
			r.Propose(nil)
		}
		r.sync()
		r.ack(b, r.log.last())
		r.receive(Message{Kind: MessageAnnounce, From: d})
		r.ack(d, 2)
		r.pass(100)
		r.expect("voters", len(r.Membership().Voters), 3)
		r.ack(d, 3)
		r.pass(20)
		r.expect("voters", len(r.Membership().Voters), 4)
	}},
	{"a message to another disk is dropped", func(t *testing.T) {
		r := newRig(t, 1, 1)
		r.now += 700
		r.Receive(r.now, Message{Kind: MessageVote, From: b, To: zinniatide.Voter{VM: "a", Disk: "0"}, Term: 3, Index: 9, LogTerm: 1})
		r.sync()
		r.expect("answered", len(r.out), 0)
	}},
}

func TestRules(t *testing.T) {
	for _, rule := range rules {
		t.Run(rule.name, rule.run)
	}
}

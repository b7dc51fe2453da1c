package replicator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
)

// Timing and sizes.
const (
	// DefaultElectionTimeout is the shortest election timeout; the longest is
	// twice as much. It spans four heartbeats, so that losing three in a row
	// does not depose a leader.
	DefaultElectionTimeout   zinniatide.Millis = 600
	DefaultHeartbeatInterval zinniatide.Millis = 150

	announceInterval zinniatide.Millis = 300
	// learnerExpiry drops a learner that went silent, so that its progress
	// does not hold memory for good.
	learnerExpiry zinniatide.Millis = 5000

	// entryOverhead is the rough size of an entry's encoding without data.
	entryOverhead  = 32
	maxAppendBytes = 256 << 10
	// maxInFlight bounds the entries sent to a follower ahead of its replies.
	maxInFlight   = 4096
	snapshotChunk = 256 << 10
	// promotionLag is how far a learner may be behind when it is promoted.
	// Such a gap is closed within one message.
	promotionLag = 64
)

// Config are the fixed inputs of a Replicator.
type Config struct {
	Self  zinniatide.Voter
	State State
	// Peers are the VMs to which a VM that knows no leader announces itself.
	Peers []zinniatide.VMID
	Now   zinniatide.Millis
	Rand  *rand.Rand
	// ElectionTimeout and HeartbeatInterval default to the constants above.
	ElectionTimeout   zinniatide.Millis
	HeartbeatInterval zinniatide.Millis
}

// Replicator is the step machine of one VM. It is not safe for concurrent use.
type Replicator struct {
	cfg  Config
	self zinniatide.Voter
	// logID is empty until this VM has heard from a leader.
	logID string
	now   zinniatide.Millis

	term   uint64
	vote   zinniatide.Voter
	role   Role
	leader zinniatide.Voter

	log         memoryLog
	snapshot    *Snapshot
	memberships []indexedMembership // ascending; the last one is in force
	commit      uint64
	emitted     uint64 // last entry given out as committed
	durable     uint64 // last entry that is synced here

	electionDeadline zinniatide.Millis
	// leaderContact is when a leader was last heard. It starts at the time of
	// the restart, because the voter may have answered a leader's heartbeat
	// just before, and the leader relies on that for an election timeout.
	leaderContact zinniatide.Millis
	nextAnnounce  zinniatide.Millis
	votes         []zinniatide.Voter
	voteSequence  uint64 // write that makes the own vote durable

	leaderState
	nextBarrier uint64 // unique over terms
	incoming    *incomingSnapshot
	wanted      []zinniatide.VMID

	sequence     uint64 // newest write given out
	synced       uint64 // newest write known to be durable
	hardSequence uint64 // newest write that holds a hard state
	hardDirty    bool
	rewrite      bool
	unwritten    []Entry
	writes       []pendingWrite
	messages     []Message
	restore      *Snapshot
	reads        []Read
	failure      error
}

type indexedMembership struct {
	index uint64
	Membership
}

type pendingWrite struct {
	sequence uint64
	last     uint64 // last entry that is durable once the write is
}

// New restarts a replicator from its stored state.
func New(cfg Config) (*Replicator, error) {
	if cfg.Self.VM == "" || cfg.Self.Disk == "" {
		return nil, errors.New("replicator needs a VM id and a disk id")
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	l, err := newMemoryLog(cfg.State)
	if err != nil {
		return nil, err
	}
	r := &Replicator{
		cfg: cfg, self: cfg.Self, now: cfg.Now, log: l,
		term: cfg.State.HardState.Term, vote: cfg.State.HardState.Vote,
		snapshot: cfg.State.Snapshot, durable: l.last(), leaderContact: cfg.Now,
	}
	if r.snapshot != nil {
		r.commit, r.emitted = r.snapshot.Index, r.snapshot.Index
		r.memberships = []indexedMembership{{r.snapshot.Index, r.snapshot.Membership}}
	}
	for i := range l.entries {
		r.noteMembership(&l.entries[i])
	}
	if l.lastTerm() > r.term {
		return nil, fmt.Errorf("stored term %d is below the term %d of the last entry", r.term, l.lastTerm())
	}
	r.cfg.State = State{}
	r.logID = r.Membership().LogID
	r.resetElection()
	if voters := r.Membership().Voters; len(voters) == 1 && voters[0] == r.self {
		r.electionDeadline = r.now
	}
	return r, nil
}

// Tick tells the time. It is called every few milliseconds.
func (r *Replicator) Tick(now zinniatide.Millis) {
	r.now = max(r.now, now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.electionDeadline {
		r.resetElection()
		if r.isVoter(r.self) {
			r.startPreVote()
		}
	}
	r.announce()
}

// announce makes a VM known to the leader when it is not a voter, or when it
// is one by its own log but hears no leader, as after its removal.
func (r *Replicator) announce() {
	if r.now < r.nextAnnounce || (r.isVoter(r.self) && r.now-r.leaderContact < r.cfg.ElectionTimeout) {
		return
	}
	r.nextAnnounce = r.now + announceInterval
	targets := slices.Clone(r.cfg.Peers)
	for _, c := range r.Membership().ControlVMs {
		targets = append(targets, c.VM)
	}
	for _, v := range r.Membership().Voters {
		targets = append(targets, v.VM)
	}
	slices.Sort(targets)
	for _, vm := range slices.Compact(targets) {
		if vm != r.self.VM {
			r.send(Message{Kind: MessageAnnounce, To: zinniatide.Voter{VM: vm}, Term: r.term})
		}
	}
}

// SetContacts replaces the VMs to which a VM that knows no leader announces
// itself.
func (r *Replicator) SetContacts(vms []zinniatide.VMID) { r.cfg.Peers = slices.Clone(vms) }

// Synced tells that all writes up to sequence are durable.
func (r *Replicator) Synced(sequence uint64) {
	r.synced = max(r.synced, sequence)
	n := 0
	for n < len(r.writes) && r.writes[n].sequence <= sequence {
		r.durable = r.writes[n].last
		n++
	}
	r.writes = r.writes[n:]
	if r.role == Candidate && r.voteSequence <= r.synced {
		r.countVote(r.self)
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Output returns what is to be done. The caller repeats it until the second
// result is false.
func (r *Replicator) Output() (Output, bool) {
	if r.role == Leader {
		r.flush()
	}
	o := Output{Messages: r.messages, Restore: r.restore, Reads: r.reads}
	r.messages, r.restore, r.reads = nil, nil, nil
	if r.hardDirty || r.rewrite || len(r.unwritten) > 0 {
		r.sequence++
		o.Sequence, o.Rewrite, o.Entries = r.sequence, r.rewrite, r.unwritten
		if r.hardDirty {
			o.HardState = &HardState{Term: r.term, Vote: r.vote}
			r.hardSequence = r.sequence
		}
		r.writes = append(r.writes, pendingWrite{r.sequence, r.log.last()})
		r.hardDirty, r.rewrite, r.unwritten = false, false, nil
	}
	if ready := min(r.commit, r.durable); ready > r.emitted {
		o.Committed = r.log.slice(r.emitted+1, ready, maxAppendBytes)
		r.emitted += uint64(len(o.Committed))
	}
	return o, !o.empty()
}

// State returns a copy of everything that must survive a restart, as of all
// writes given out so far.
func (r *Replicator) State() State {
	s := State{HardState: HardState{Term: r.term, Vote: r.vote}, Snapshot: r.snapshot, Entries: slices.Clone(r.log.entries)}
	if s.Snapshot != nil && r.log.base < s.Snapshot.Index && r.log.base > 0 {
		// The base is stored as an entry without content, for its term.
		s.Entries = slices.Insert(s.Entries, 0, Entry{Index: r.log.base, Term: r.log.baseTerm, Kind: EntryNoop})
	}
	return s
}

// Failure returns an error when the machine met a state that breaks its own
// guarantees. The caller must then stop.
func (r *Replicator) Failure() error { return r.failure }

// LogID identifies the log that this VM belongs to. It is empty until the VM
// has heard from a leader.
func (r *Replicator) LogID() string { return r.logID }

// Status describes the machine at time now. The time is passed in because a
// lease may have ended since the last step, as after a pause of the process.
func (r *Replicator) Status(now zinniatide.Millis) Status {
	r.now = max(r.now, now)
	return Status{
		Role: r.role, Term: r.term, Leader: r.leader, Commit: r.commit,
		Quorate: r.quorate(), Membership: r.Membership(),
	}
}

// Compact records a snapshot of the state machine as of entry index, which
// must have been given out as committed, and drops the entries that lie more
// than keep before it.
func (r *Replicator) Compact(index uint64, data []byte, keep uint64) error {
	term, ok := r.log.term(index)
	if !ok || index > r.emitted || (r.snapshot != nil && index <= r.snapshot.Index) {
		return fmt.Errorf("no snapshot can be taken at entry %d", index)
	}
	r.snapshot = &Snapshot{Index: index, Term: term, Membership: r.membershipAt(index), Data: data}
	if index > keep {
		r.log.compact(index - keep)
	}
	r.forgetMemberships(index)
	r.rewrite = true
	return nil
}

// send queues a message that depends on no write.
func (r *Replicator) send(m Message) {
	m.From, m.LogID = r.self, r.logID
	r.messages = append(r.messages, m)
}

// sendAfterSync queues a message that promises the current term, vote and
// entries up to match.
func (r *Replicator) sendAfterSync(m Message, match uint64) {
	next := r.sequence + 1
	switch {
	case r.hardDirty || r.rewrite:
		m.After = next
	case r.hardSequence > r.synced:
		m.After = r.hardSequence
	}
	if match > r.durable {
		m.After = r.sequence
		if r.hardDirty || r.rewrite || len(r.unwritten) > 0 {
			m.After = next
		}
	}
	r.send(m)
}

func (r *Replicator) resetElection() {
	r.electionDeadline = r.now + r.cfg.ElectionTimeout + zinniatide.Millis(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
}

// appendEntries adds entries to the log and to the next write.
func (r *Replicator) appendEntries(entries ...Entry) {
	r.log.append(entries...)
	r.unwritten = append(r.unwritten, entries...)
	for i := range entries {
		r.noteMembership(&entries[i])
	}
}

// truncate drops entry first and what follows it, and the promise that they
// are durable.
func (r *Replicator) truncate(first uint64) {
	r.log.truncate(first)
	r.durable = min(r.durable, first-1)
	for i := range r.writes {
		r.writes[i].last = min(r.writes[i].last, first-1)
	}
	for len(r.memberships) > 0 && r.memberships[len(r.memberships)-1].index >= first {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

package replicator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
)

// Timeouts, intervals and limits.
const (
	// DefaultElectionTimeout is the minimum election timeout. The actual timeout
	// is random, up to twice this value. The minimum spans four heartbeats, so
	// that losing three in a row does not trigger an election.
	DefaultElectionTimeout   zinniatide.Millis = 600
	DefaultHeartbeatInterval zinniatide.Millis = 150

	// stepDownTimeouts is the number of election timeouts without a quorum after which
	// a leader steps down. Its lease ends after one. It goes on in between, because
	// followers that are only slow would elect it again.
	stepDownTimeouts = 2

	announceInterval zinniatide.Millis = 300
	// learnerTimeout is how long a learner may be silent before the leader stops
	// tracking its progress. It keeps learners that are gone from using memory
	// forever.
	learnerTimeout zinniatide.Millis = 5000

	// entryOverheadBytes is the approximate encoded size of an entry without its
	// data.
	entryOverheadBytes = 32
	// maxBatchBytes limits the entries of one message or one Output. A larger
	// entry forms a batch of its own.
	maxBatchBytes = 256 << 10
	// maxInFlightEntries limits the unacknowledged entries sent to a follower.
	maxInFlightEntries = 4096
	// maxInFlightBytes limits the size of these entries. A larger entry is sent
	// alone.
	maxInFlightBytes   = 4 << 20
	snapshotChunkBytes = 256 << 10
	// maxPromotionLagEntries is how far a learner may lag behind the leader when
	// it is promoted. A gap of this size is sent without waiting for
	// acknowledgements, because it is below maxInFlightEntries.
	maxPromotionLagEntries = 64
)

// Config configures a Replicator.
type Config struct {
	Self  zinniatide.Voter
	State PersistentState
	// Contacts are the VMs to which this VM announces itself while it is looking
	// for a leader.
	Contacts []zinniatide.VMID
	Now      zinniatide.Millis
	Rand     *rand.Rand
	// ElectionTimeout and HeartbeatInterval default to DefaultElectionTimeout
	// and DefaultHeartbeatInterval.
	ElectionTimeout   zinniatide.Millis
	HeartbeatInterval zinniatide.Millis
}

// Replicator is the consensus core of one VM. It is not safe for concurrent use.
type Replicator struct {
	cfg  Config
	self zinniatide.Voter
	// logID is taken from the stored log. On a VM with an empty log it is empty
	// until a leader's message arrives.
	logID string
	now   zinniatide.Millis

	term   uint64
	vote   zinniatide.Voter
	role   Role
	leader zinniatide.Voter

	log          memoryLog
	snapshot     *Snapshot
	memberships  []indexedMembership // in ascending order; the last one is in effect
	commitIndex  uint64
	emittedIndex uint64 // last entry returned in Output.Committed
	durableIndex uint64 // last entry synced to the local disk

	electionDeadline zinniatide.Millis
	resumedAt        zinniatide.Millis // end of the last pause of this VM
	// lastLeaderContact is when the last message from a leader arrived. It is
	// initialised to the start time, because the voter may have replied to a
	// heartbeat just before the restart, and the leader's lease relies on that
	// reply for one election timeout.
	lastLeaderContact zinniatide.Millis
	// heardOfLeader is set once this process has led, received a message of a leader
	// or supported a candidate.
	heardOfLeader bool
	// nextFreshPreVote is when a fresh voter next asks the others whether they are
	// fresh too. freshVoters are those that said so.
	nextFreshPreVote zinniatide.Millis
	freshVoters      []zinniatide.Voter
	nextAnnounce     zinniatide.Millis
	votes            []zinniatide.Voter
	selfVoteSequence uint64 // write that makes the candidate's own vote durable

	leaderState
	lastBarrierID uint64 // not reset between terms
	incoming      *incomingSnapshot
	desiredVMs    []zinniatide.VMID

	writeSequence     uint64 // newest write returned in an Output
	syncedSequence    uint64 // newest write known to be durable
	hardStateSequence uint64 // newest write that contains a hard state
	hardStateDirty    bool
	needsRewrite      bool
	unwrittenEntries  []Entry
	pendingWrites     []pendingWrite
	messages          []Message
	restore           *Snapshot
	reads             []BarrierResult
	failure           error
}

type indexedMembership struct {
	index uint64
	Membership
}

type pendingWrite struct {
	sequence  uint64
	lastIndex uint64 // last entry that is durable once the write is synced
}

// New creates a replicator from its stored state.
func New(cfg Config) (*Replicator, error) {
	if cfg.Self.VM == "" || cfg.Self.Disk == "" {
		return nil, errors.New("replicator requires a VM ID and a disk ID")
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
		snapshot: cfg.State.Snapshot, durableIndex: l.lastIndex(), lastLeaderContact: cfg.Now,
	}
	if r.snapshot != nil {
		r.commitIndex, r.emittedIndex = r.snapshot.Index, r.snapshot.Index
		r.memberships = []indexedMembership{{r.snapshot.Index, r.snapshot.Membership}}
	}
	for i := range l.entries {
		r.recordMembership(&l.entries[i])
	}
	if l.lastTerm() > r.term {
		return nil, fmt.Errorf("stored term %d is lower than term %d of the last log entry", r.term, l.lastTerm())
	}
	r.cfg.State = PersistentState{}
	r.logID = r.Membership().LogID
	r.resetElectionDeadline()
	r.nextFreshPreVote = r.now + freshPreVoteInterval*zinniatide.Millis(r.rank(r.self))
	if voters := r.Membership().Voters; len(voters) == 1 && voters[0] == r.self {
		r.electionDeadline = r.now
	}
	return r, nil
}

// Tick advances the time and handles expired timeouts. The caller must call it
// at intervals well below the heartbeat interval.
func (r *Replicator) Tick(now zinniatide.Millis) {
	r.now = max(r.now, now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	switch {
	case r.now >= r.electionDeadline:
		r.resetElectionDeadline()
		if r.isVoter(r.self) {
			r.startPreVote()
		}
	case r.now >= r.nextFreshPreVote && r.isFresh():
		r.nextFreshPreVote = r.now + freshPreVoteInterval
		r.startPreVote()
	}
	r.announce()
}

// Resume reports that this VM did not run for the duration of pause and has not read
// what arrived in that time. Silence during the pause is no sign that the leader or the
// followers are gone. The lease and the votes of this VM do not depend on it.
func (r *Replicator) Resume(now, pause zinniatide.Millis) {
	r.now = max(r.now, now)
	r.resumedAt = r.now
	r.electionDeadline += pause
}

// announce sends MessageAnnounce to all known VMs if this VM is not a voter.
// It also does so if this VM is a voter according to its own log but receives
// nothing from a leader, for example after its removal.
func (r *Replicator) announce() {
	if r.now < r.nextAnnounce || (r.isVoter(r.self) && r.now-r.lastLeaderContact < r.cfg.ElectionTimeout) {
		return
	}
	r.nextAnnounce = r.now + announceInterval
	targets := slices.Clone(r.cfg.Contacts)
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

// SetContacts replaces Config.Contacts.
func (r *Replicator) SetContacts(vms []zinniatide.VMID) { r.cfg.Contacts = slices.Clone(vms) }

// Synced reports that all writes up to sequence are durable.
func (r *Replicator) Synced(sequence uint64) {
	r.syncedSequence = max(r.syncedSequence, sequence)
	n := 0
	for n < len(r.pendingWrites) && r.pendingWrites[n].sequence <= sequence {
		r.durableIndex = r.pendingWrites[n].lastIndex
		n++
	}
	r.pendingWrites = r.pendingWrites[n:]
	if r.role == Candidate && r.selfVoteSequence <= r.syncedSequence {
		r.countVote(r.self)
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Output returns the work that the caller must do next. The caller must call it
// until the second result is false.
func (r *Replicator) Output() (Output, bool) {
	if r.role == Leader {
		r.replicateAll()
	}
	o := Output{Messages: r.messages, Restore: r.restore, BarrierResults: r.reads}
	r.messages, r.restore, r.reads = nil, nil, nil
	if r.hardStateDirty || r.needsRewrite || len(r.unwrittenEntries) > 0 {
		r.writeSequence++
		o.WriteSequence, o.Rewrite, o.Entries = r.writeSequence, r.needsRewrite, r.unwrittenEntries
		if r.hardStateDirty {
			o.HardState = &HardState{Term: r.term, Vote: r.vote}
			r.hardStateSequence = r.writeSequence
		}
		r.pendingWrites = append(r.pendingWrites, pendingWrite{r.writeSequence, r.log.lastIndex()})
		r.hardStateDirty, r.needsRewrite, r.unwrittenEntries = false, false, nil
	}
	if ready := min(r.commitIndex, r.durableIndex); ready > r.emittedIndex {
		o.Committed = r.log.slice(r.emittedIndex+1, ready, maxBatchBytes)
		r.emittedIndex += uint64(len(o.Committed))
	}
	return o, !o.empty()
}

// State returns a copy of the state that must survive a restart. It includes
// all writes returned by Output so far.
func (r *Replicator) State() PersistentState {
	s := PersistentState{HardState: HardState{Term: r.term, Vote: r.vote}, Snapshot: r.snapshot, Entries: slices.Clone(r.log.entries)}
	if s.Snapshot != nil && r.log.baseIndex < s.Snapshot.Index && r.log.baseIndex > 0 {
		// Store the entry at baseIndex without its data, to preserve its term.
		s.Entries = slices.Insert(s.Entries, 0, Entry{Index: r.log.baseIndex, Term: r.log.baseTerm, Kind: EntryNoop})
	}
	return s
}

// Failure returns a non-nil error if the replicator detected a violation of its
// safety guarantees. The caller must then stop using it.
func (r *Replicator) Failure() error { return r.failure }

// LogID returns the ID of the log that this VM belongs to. On a VM that started
// with an empty log it is empty until a leader's message arrives.
func (r *Replicator) LogID() string { return r.logID }

// Status returns the status at time now. The time is a parameter because the
// lease may have expired since the last step, for example during a pause of the
// process.
func (r *Replicator) Status(now zinniatide.Millis) Status {
	r.now = max(r.now, now)
	return Status{
		Role: r.role, Term: r.term, Leader: r.leader, Commit: r.commitIndex,
		HasLease: r.hasLease(), Membership: r.Membership(), Forming: r.isForming(),
	}
}

// Compact records a snapshot of the state machine as of entry index, which must
// have been returned in Output.Committed. It then removes all but the last keep
// entries up to index, and as many of these as take more than keepBytes together.
func (r *Replicator) Compact(index uint64, data []byte, keep uint64, keepBytes int) error {
	term, ok := r.log.term(index)
	if !ok || index > r.emittedIndex || (r.snapshot != nil && index <= r.snapshot.Index) {
		return fmt.Errorf("cannot record a snapshot at entry %d", index)
	}
	r.snapshot = &Snapshot{Index: index, Term: term, Membership: r.membershipAt(index), Data: data}
	first := r.log.firstWithin(index, keepBytes)
	if index > keep {
		first = max(first, index-keep+1)
	}
	r.log.compact(first - 1)
	r.compactMemberships(index)
	r.needsRewrite = true
	return nil
}

// send queues a message. Unless m.DurableSequence is set, it may be sent
// immediately.
func (r *Replicator) send(m Message) {
	m.From, m.LogID = r.self, r.logID
	r.messages = append(r.messages, m)
}

// sendWhenDurable queues a message that may only be sent once the current term,
// the vote and the entries up to match are durable.
func (r *Replicator) sendWhenDurable(m Message, match uint64) {
	next := r.writeSequence + 1
	switch {
	case r.hardStateDirty || r.needsRewrite:
		m.DurableSequence = next
	case r.hardStateSequence > r.syncedSequence:
		m.DurableSequence = r.hardStateSequence
	}
	if match > r.durableIndex {
		m.DurableSequence = r.writeSequence
		if r.hardStateDirty || r.needsRewrite || len(r.unwrittenEntries) > 0 {
			m.DurableSequence = next
		}
	}
	r.send(m)
}

func (r *Replicator) resetElectionDeadline() {
	r.electionDeadline = r.now + r.cfg.ElectionTimeout + zinniatide.Millis(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
}

// appendEntries appends entries to the log and schedules them to be written.
func (r *Replicator) appendEntries(entries ...Entry) {
	r.log.append(entries...)
	r.unwrittenEntries = append(r.unwrittenEntries, entries...)
	for i := range entries {
		r.recordMembership(&entries[i])
	}
}

// truncate removes entry first and all entries after it, and no longer counts
// them as durable.
func (r *Replicator) truncate(first uint64) {
	r.log.truncate(first)
	r.durableIndex = min(r.durableIndex, first-1)
	for i := range r.pendingWrites {
		r.pendingWrites[i].lastIndex = min(r.pendingWrites[i].lastIndex, first-1)
	}
	for len(r.memberships) > 0 && r.memberships[len(r.memberships)-1].index >= first {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

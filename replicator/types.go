// Package replicator is the step machine of the replicated log: elections,
// replication, commitment by quorum and membership changes. It performs no
// input or output; time, random numbers, messages and completed syncs are
// passed in, and messages, records and committed entries come out.
package replicator

import "zinniatide.example/zinniatide"

// EntryKind tells who consumes an entry.
type EntryKind uint8

// Kinds of entries. The numbers are stored on disk and never reused.
const (
	EntryCommand    EntryKind = 0 // for the state machine
	EntryNoop       EntryKind = 1 // first entry of a leader's term
	EntryMembership EntryKind = 2 // replaces the voters
)

// Entry is one position of the log.
type Entry struct {
	Index      uint64      `cbor:"1,keyasint"`
	Term       uint64      `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// Membership is in force from the moment its entry is in the log, committed
// or not.
type Membership struct {
	// Voters is in the order of addition.
	Voters []zinniatide.Voter `cbor:"1,keyasint"`
	// ControlVMs is the wanted set given when the log was initialised. It
	// holds until the state machine provides another.
	ControlVMs []zinniatide.ControlVM `cbor:"2,keyasint,omitempty"`
	// LogID is drawn when the log is initialised, and never changes.
	LogID string `cbor:"3,keyasint,omitempty"`
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64           `cbor:"1,keyasint"`
	Vote zinniatide.Voter `cbor:"2,keyasint"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// State is everything that must survive a restart. Entries may begin before
// Snapshot.Index, so that slow followers can be served from the log.
type State struct {
	HardState HardState
	Snapshot  *Snapshot // nil before the first snapshot
	Entries   []Entry
}

// MessageKind numbers the messages between replicators.
type MessageKind uint8

// Kinds of messages. The numbers are never reused.
const (
	MessageAnnounce      MessageKind = 1 // from a VM that looks for a leader
	MessagePreVote       MessageKind = 2
	MessagePreVoteReply  MessageKind = 3
	MessageVote          MessageKind = 4
	MessageVoteReply     MessageKind = 5
	MessageAppend        MessageKind = 6 // also the heartbeat
	MessageAppendReply   MessageKind = 7
	MessageSnapshot      MessageKind = 8 // one chunk
	MessageSnapshotReply MessageKind = 9
	MessageTimeoutNow    MessageKind = 10 // the receiver must campaign at once
)

// Message is sent from one voter or learner to another. Both ends are named
// by VM and disk, so that a VM with a replaced disk is never mistaken for its
// old identity. Only MessageAnnounce leaves To.Disk empty.
type Message struct {
	Kind MessageKind      `cbor:"1,keyasint"`
	From zinniatide.Voter `cbor:"2,keyasint"`
	To   zinniatide.Voter `cbor:"3,keyasint"`
	Term uint64           `cbor:"4,keyasint,omitempty"`
	// Index and LogTerm are the entry before Entries in MessageAppend, the
	// last entry of the log in vote requests, and the position of the
	// snapshot in MessageSnapshot. MessageAppendReply repeats Index.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Match is, in MessageAppendReply, the last entry known to be equal and
	// durable; with Reject it is a hint where the logs may still be equal.
	Match  uint64 `cbor:"9,keyasint,omitempty"`
	Reject bool   `cbor:"10,keyasint,omitempty"`
	// Transfer marks a vote request that the leader asked for.
	Transfer bool `cbor:"11,keyasint,omitempty"`
	// Round and SentAt are the leader's; replies repeat them.
	Round  uint64            `cbor:"12,keyasint,omitempty"`
	SentAt zinniatide.Millis `cbor:"13,keyasint,omitempty"`
	// Offset, Total, Chunk and Membership belong to snapshot messages.
	Offset     uint64      `cbor:"14,keyasint,omitempty"`
	Total      uint64      `cbor:"15,keyasint,omitempty"`
	Chunk      []byte      `cbor:"16,keyasint,omitempty"`
	Membership *Membership `cbor:"17,keyasint,omitempty"`
	// LogID keeps apart two logs that were initialised by mistake. It is
	// empty from a VM that does not know its log yet.
	LogID string `cbor:"18,keyasint,omitempty"`

	// After is the sequence of the write that must be durable before the
	// message may be sent; zero when it depends on none.
	After uint64 `cbor:"-"`
}

// Output is what the caller must do after a step. The writes of successive
// outputs must reach the disk in order.
type Output struct {
	// Sequence numbers the write that HardState, Entries and Rewrite
	// describe. It is zero when there is nothing to write.
	Sequence  uint64
	HardState *HardState
	// Entries are appended. An entry replaces an older one of the same index
	// and everything after it.
	Entries []Entry
	// Rewrite asks for Replicator.State to be written as a whole in place of
	// the records.
	Rewrite  bool
	Messages []Message
	// Restore replaces the state machine's state before Committed is applied.
	Restore   *Snapshot
	Committed []Entry
	// Reads are the barriers decided by this step.
	Reads []Read
}

// Read is the result of a barrier: the state machine may be read once it has
// applied Index.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

func (o *Output) empty() bool {
	return o.Sequence == 0 && len(o.Messages) == 0 && o.Restore == nil && len(o.Committed) == 0 && len(o.Reads) == 0
}

// Status describes the machine at one moment.
type Status struct {
	Role   Role
	Term   uint64
	Leader zinniatide.Voter
	// Quorate is true on a leader whose quorum answered messages sent within
	// the minimum election timeout and that has committed an entry of its term.
	Quorate    bool
	Commit     uint64
	Membership Membership
}

// Role is the part that a replicator plays in its term.
type Role uint8

// Roles. A follower that is no voter is a learner.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

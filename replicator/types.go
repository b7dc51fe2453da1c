// Package replicator implements the Raft consensus core of the replicated log:
// leader election with pre-votes, log replication, quorum commit and membership
// changes. It performs no I/O. The caller passes in the time, random numbers,
// messages and completed disk syncs, and receives messages to send, records to
// write and committed entries to apply.
package replicator

import "zinniatide.example/zinniatide"

// EntryKind determines how an entry is processed.
type EntryKind uint8

// Entry kinds. The values are stored on disk and must not be reused.
const (
	EntryCommand    EntryKind = 0 // applied to the state machine
	EntryNoop       EntryKind = 1 // first entry of a leader's term
	EntryMembership EntryKind = 2 // replaces the set of voters
)

// Entry is one log entry.
type Entry struct {
	Index      uint64      `cbor:"1,keyasint"`
	Term       uint64      `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// Membership is the voter configuration. It takes effect as soon as its entry
// is appended to the log, whether or not the entry is committed.
type Membership struct {
	// Voters is ordered by time of addition.
	Voters []zinniatide.Voter `cbor:"1,keyasint"`
	// ControlVMs is the desired set of control VMs given when the log was
	// initialised. It applies until the state machine provides another set.
	ControlVMs []zinniatide.ControlVM `cbor:"2,keyasint,omitempty"`
	// LogID is generated when the log is initialised and never changes.
	LogID string `cbor:"3,keyasint,omitempty"`
}

// HardState is the persistent election state. It must be durable before any
// message that depends on it is sent.
type HardState struct {
	Term uint64           `cbor:"1,keyasint"`
	Vote zinniatide.Voter `cbor:"2,keyasint"`
}

// Snapshot is the state machine's state as of entry Index. It replaces all
// entries up to and including Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// PersistentState is the state that must survive a restart. Entries may start
// before Snapshot.Index, so that slow followers can catch up from the log
// instead of from a snapshot.
type PersistentState struct {
	HardState HardState
	Snapshot  *Snapshot // nil before the first snapshot
	Entries   []Entry
}

// MessageKind identifies the type of a message between replicators.
type MessageKind uint8

// Message kinds. The values are sent on the wire and must not be reused.
const (
	MessageAnnounce      MessageKind = 1 // sent by a VM that is looking for a leader
	MessagePreVote       MessageKind = 2
	MessagePreVoteReply  MessageKind = 3
	MessageVote          MessageKind = 4
	MessageVoteReply     MessageKind = 5
	MessageAppend        MessageKind = 6 // also serves as the heartbeat
	MessageAppendReply   MessageKind = 7
	MessageSnapshot      MessageKind = 8 // carries one chunk of a snapshot
	MessageSnapshotReply MessageKind = 9
	MessageTimeoutNow    MessageKind = 10 // tells the receiver to start an election immediately
)

// Message is sent from one voter or learner to another. Sender and recipient
// are identified by VM and disk, so that a VM whose disk was replaced is never
// mistaken for its previous identity. Only MessageAnnounce leaves To.Disk empty.
type Message struct {
	Kind MessageKind      `cbor:"1,keyasint"`
	From zinniatide.Voter `cbor:"2,keyasint"`
	To   zinniatide.Voter `cbor:"3,keyasint"`
	Term uint64           `cbor:"4,keyasint,omitempty"`
	// Index and LogTerm identify the entry before Entries in MessageAppend, the
	// last log entry in vote requests, and the last entry that the snapshot
	// covers in MessageSnapshot. MessageAppendReply echoes Index.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Match is set in MessageAppendReply. It is the last entry known to match
	// the leader's log and to be durable. With Reject set, it is the highest
	// index at which the two logs may still match.
	Match  uint64 `cbor:"9,keyasint,omitempty"`
	Reject bool   `cbor:"10,keyasint,omitempty"`
	// Transfer marks a vote request of an election that the leader asked for
	// with MessageTimeoutNow.
	Transfer bool `cbor:"11,keyasint,omitempty"`
	// Round and SentAt are set by the leader and echoed in replies.
	Round  uint64            `cbor:"12,keyasint,omitempty"`
	SentAt zinniatide.Millis `cbor:"13,keyasint,omitempty"`
	// Offset, Total, Chunk and Membership are used by snapshot messages.
	Offset     uint64      `cbor:"14,keyasint,omitempty"`
	Total      uint64      `cbor:"15,keyasint,omitempty"`
	Chunk      []byte      `cbor:"16,keyasint,omitempty"`
	Membership *Membership `cbor:"17,keyasint,omitempty"`
	// LogID prevents two logs that were initialised independently by mistake
	// from being mixed. It is empty if the sender does not know its log yet.
	LogID string `cbor:"18,keyasint,omitempty"`
	// Fresh marks a MessagePreVoteReply of a voter that has heard of no leader since
	// its start. It is no grant unless all voters are fresh. It also marks the vote
	// requests of a candidate to which all voters have sent such a reply.
	Fresh bool `cbor:"19,keyasint,omitempty"`

	// DurableSequence is the sequence number of the write that must be durable
	// before the message may be sent, or zero if the message depends on no write.
	DurableSequence uint64 `cbor:"-"`
}

// Output lists the work that the caller must do after a step. The writes of
// successive outputs must reach the disk in order.
type Output struct {
	// WriteSequence is the sequence number of the write described by HardState,
	// Entries and Rewrite. It is zero if there is nothing to write.
	WriteSequence uint64
	HardState     *HardState
	// Entries are appended to the stored log. An entry replaces an existing
	// entry with the same index and all entries after that one.
	Entries []Entry
	// Rewrite requests that the whole Replicator.State is written, replacing
	// all stored records.
	Rewrite  bool
	Messages []Message
	// Restore is the snapshot that replaces the state machine's state before
	// Committed is applied.
	Restore   *Snapshot
	Committed []Entry
	// BarrierResults are the results of the barriers that this step completed or
	// failed.
	BarrierResults []BarrierResult
}

// BarrierResult is the result of a barrier. If OK is set, the state machine may
// be read once it has applied Index.
type BarrierResult struct {
	ID    uint64
	Index uint64
	OK    bool
}

func (o *Output) empty() bool {
	return o.WriteSequence == 0 && len(o.Messages) == 0 && o.Restore == nil && len(o.Committed) == 0 && len(o.BarrierResults) == 0
}

// Status is the state of a Replicator at a point in time.
type Status struct {
	Role   Role
	Term   uint64
	Leader zinniatide.Voter
	// HasLease is true on a leader that holds a valid lease: a quorum has replied
	// to messages sent within the minimum election timeout, an entry of the
	// leader's term is committed, and no transfer target was told to campaign.
	HasLease   bool
	Commit     uint64
	Membership Membership
	// Forming is as in zinniatide.LogStatus.
	Forming bool
}

// Role is the role of a replicator in its current term.
type Role uint8

// Roles. A follower that is not a voter is a learner.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

package zinniatide

// Voter is one identity in the replicated log. A VM whose data folder was
// replaced is a new voter.
type Voter struct {
	VM   VMID   `json:"vm"`
	Disk DiskID `json:"disk"`
}

// LogStatus describes the replicated log as one control VM sees it.
type LogStatus struct {
	// Leader is empty while no leader is known.
	Leader VMID `json:"leader"`
	// Leading is true on a leader that has heard from a quorum within the
	// minimum election timeout and has applied an entry of its own term.
	Leading bool    `json:"leading"`
	Term    uint64  `json:"term"`
	Commit  uint64  `json:"commit"`
	Applied uint64  `json:"applied"`
	Voters  []Voter `json:"voters"`
	// Failed tells why the VM stopped acknowledging, such as a failed sync.
	Failed string `json:"failed,omitempty"`
}

// StateMachine is the deterministic state behind the replicated log. All
// methods are called on the control thread.
type StateMachine interface {
	// Apply applies one committed entry. Its result reaches the proposer.
	Apply(index uint64, data []byte) (result any)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by a snapshot.
	Restore(data []byte) error
}

// ReplicatedLog orders entries on the control VMs. One goroutine, the control
// thread, runs its state, its callbacks and its user's control state.
type ReplicatedLog interface {
	// Post runs f on the control thread. It may be called from anywhere.
	Post(f func())
	// Propose appends an entry. It is called on the control thread; done is
	// called there exactly once, with the result of Apply, or with a
	// *Refusal: CodeNoQuorum and OutcomeNotRun when this VM does not lead, or
	// CodeNoQuorum and OutcomeUnknown when the entry's fate is open.
	Propose(data []byte, done func(result any, err error))
	// Barrier calls done on the control thread once the state machine holds
	// everything that was committed before the call, or with an error when
	// this VM is not a leader with a quorum.
	Barrier(done func(err error))
	// Status is called on the control thread.
	Status() LogStatus
	// SetControlVMs gives the wanted set of control VMs. The leader moves the
	// voters towards it, one at a time.
	SetControlVMs(vms []ControlVM)
	// TransferLeadership asks the most caught-up voter to take over.
	TransferLeadership()
	// OnTick registers f to run on the control thread every TickInterval.
	OnTick(f func(now Millis))
	// OnLeadership registers f to run on the control thread when Leading changes.
	OnLeadership(f func(leading bool))
}

// Timing of control work. A lease outlasts the election of a new leader.
const (
	TickInterval      Millis = 50
	HeartbeatInterval Millis = 400
	LeaseDuration     Millis = 4000
	// LeaseMargin covers the drift between two clocks over one lease.
	LeaseMargin Millis = 400
	// MaxRequestTime is the longest deadline of a request. It is below the part of
	// a lease that is left between two heartbeats.
	MaxRequestTime     Millis = 3500
	AnnounceInterval   Millis = 1000
	AnnouncementExpiry Millis = 4000
	AddressLifetime    Millis = 5000
	LinkPingInterval   Millis = 500
	LinkSilenceTimeout Millis = 1500
	MaxClaimLifetime   Millis = 15 * 60 * 1000
	MaxRecordedBody           = 16 << 10 // bytes of a recorded result
	MaxRequestBody            = 1 << 20  // bytes of a caller's request
	MaxBackendAnswer          = 4 << 20  // bytes of a backend server's answer
)

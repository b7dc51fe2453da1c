package zinniatide

// Voter identifies a voting member of the replicated log. A VM whose data folder
// was replaced is a new voter.
type Voter struct {
	VM   VMID   `json:"vm"`
	Disk DiskID `json:"disk"`
}

// LogStatus is the state of the replicated log as seen by one control VM.
type LogStatus struct {
	// Leader is empty if no leader is known.
	Leader VMID `json:"leader"`
	// Leading is true on a leader that has heard from a quorum within the
	// minimum election timeout and has applied an entry of its own term.
	Leading bool    `json:"leading"`
	Term    uint64  `json:"term"`
	Commit  uint64  `json:"commit"`  // index of the last committed entry
	Applied uint64  `json:"applied"` // index of the last applied entry
	Voters  []Voter `json:"voters"`
	// Failed is the reason why the VM stopped acknowledging entries, such as a
	// failed fsync. It is empty on a working VM.
	Failed string `json:"failed,omitempty"`
}

// StateMachine is the deterministic state machine to which the replicated log is
// applied. All methods are called on the control thread.
type StateMachine interface {
	// Apply applies one committed entry. The result is passed to the done callback
	// of ReplicatedLog.Propose on the proposing VM.
	Apply(index uint64, data []byte) (result any)
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with a snapshot.
	Restore(data []byte) error
}

// ReplicatedLog replicates an ordered log among the control VMs. A single
// goroutine, the control thread, accesses the state of the log and of its user
// and runs all callbacks.
type ReplicatedLog interface {
	// Post schedules f on the control thread. It may be called from any goroutine.
	Post(f func())
	// Propose appends an entry. It must be called on the control thread. done is
	// called there exactly once, with the result of Apply or with a *Refusal. A
	// refusal with CodeNoQuorum has OutcomeNotRun if this VM is not the leader, and
	// OutcomeUnknown if the entry may still be committed.
	Propose(data []byte, done func(result any, err error))
	// Barrier calls done on the control thread once the state machine has applied
	// all entries committed before the call, or with an error if this VM is not a
	// leader with a quorum.
	Barrier(done func(err error))
	// Status must be called on the control thread.
	Status() LogStatus
	// SetControlVMs sets the target set of control VMs. The leader changes the
	// voters one at a time until they match it.
	SetControlVMs(vms []ControlVM)
	// TransferLeadership asks the voter with the most up-to-date log to become the
	// leader.
	TransferLeadership()
	// OnTick registers f to run on the control thread every TickInterval.
	OnTick(f func(now Millis))
	// OnLeadership registers f to run on the control thread when Leading changes.
	OnLeadership(f func(leading bool))
}

// Intervals, timeouts and limits that several packages share. LeaseDuration is
// longer than the election of a new leader, so that leases survive a failover.
const (
	TickInterval      Millis = 50
	HeartbeatInterval Millis = 400
	LeaseDuration     Millis = 4000
	// LeaseMargin is how much longer than the lease the control VMs wait before they
	// expire a session. It covers the drift between two clocks during one lease.
	LeaseMargin Millis = 400
	// MaxRequestTime is the maximum time from the start of a request to its
	// deadline. It is less than LeaseDuration - HeartbeatInterval, the lease time
	// that remains when the next heartbeat is due.
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

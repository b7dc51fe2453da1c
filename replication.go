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
	// Forming is true while fewer than a majority of the VMs for which a new log was
	// initialised are voters. Their first voter commits entries alone.
	Forming bool `json:"forming,omitempty"`
	// Failed is the reason why the VM stopped acknowledging entries, such as a
	// failed fsync. It is empty on a working VM.
	Failed string `json:"failed,omitempty"`
}

// StateMachine is the deterministic state machine to which the replicated log is
// applied. All methods are called on the control goroutine.
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
// goroutine, the control goroutine, accesses the state of the log and of its user
// and runs all callbacks.
type ReplicatedLog interface {
	// Post schedules f on the control goroutine. It may be called from any goroutine.
	Post(f func())
	// Propose appends an entry. It must be called on the control goroutine. done is
	// called there exactly once, with the result of Apply or with a *Refusal. A
	// refusal with CodeNoQuorum has OutcomeNotRun if this VM is not the leader, and
	// OutcomeUnknown if the entry may still be committed.
	Propose(data []byte, done func(result any, err error))
	// Barrier calls done on the control goroutine once the state machine has
	// applied all entries committed before the call, or with an error if this VM is
	// not a leader with a quorum.
	Barrier(done func(err error))
	// Status must be called on the control goroutine.
	Status() LogStatus
	// SetControlVMs sets the target set of control VMs. The leader changes the
	// voters one at a time until they match it.
	SetControlVMs(vms []ControlVM)
	// TransferLeadership asks the voter with the most up-to-date log to become the
	// leader.
	TransferLeadership()
	// OnTick registers f to run on the control goroutine every TickInterval.
	OnTick(f func(now Millis))
	// OnLeadership registers f to run on the control goroutine when Leading changes.
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
	MaxRequestTime   Millis = 3500
	AnnounceInterval Millis = 1000
	// AnnouncementExpiry is how long after its last announcement a backend server
	// is removed from the catalog.
	AnnouncementExpiry Millis = 4000
	// AddressLifetime is how long callers may use an address answer. A stopping VM
	// serves at least that long.
	AddressLifetime Millis = 5000
	// LinkPingInterval is the time without received data after which a link sends
	// a ping.
	LinkPingInterval Millis = 500
	// LinkSilenceTimeout is the time without received data after which a link is
	// closed: three ping intervals.
	LinkSilenceTimeout Millis = 1500
	// MaxClaimLifetime is how far ahead the expiry in a request id may be.
	MaxClaimLifetime Millis = 15 * 60 * 1000
	// MaxRecordedBody is the largest answer that is recorded, in bytes. Of a larger
	// answer, only the outcome is recorded.
	MaxRecordedBody  = 16 << 10
	MaxRequestBody   = 1 << 20 // bytes of a caller's request
	MaxBackendAnswer = 4 << 20 // bytes of a backend server's answer
)

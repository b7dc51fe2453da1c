package zinniatide

// Searcher is one shard replica on a backend server.
type Searcher struct {
	Version IndexVersion `json:"version"`
	KeyRange
}

// ServiceOffer lists what a backend server serves for one service.
type ServiceOffer struct {
	Service   ServiceID  `json:"service"`
	Searchers []Searcher `json:"searchers"`
}

// LoadReport is the load that a backend server reports about itself. A report
// can be stale or wrong, so server selection may use it to rank a server lower
// but never to rank it higher.
type LoadReport struct {
	Busy  uint16 `json:"busy"`  // slots in use
	Queue uint16 `json:"queue"` // requests queued
	Warm  bool   `json:"warm"`  // the cold start is over
}

// Announcement is the registration message that a backend server sends every
// AnnounceInterval.
type Announcement struct {
	Server      BackendServerID `json:"server"`
	Incarnation Incarnation     `json:"incarnation"`
	Zone        ZoneID          `json:"zone"`
	Address     string          `json:"address"`     // IP:port
	Slots       uint16          `json:"slots"`       // maximum concurrent requests
	Connections uint16          `json:"connections"` // maximum connections
	Draining    bool            `json:"draining"`
	Offers      []ServiceOffer  `json:"offers"`
	Load        LoadReport      `json:"load"`
}

// Operation distinguishes searches from non-idempotent requests.
type Operation uint8

const (
	// OperationSearch may be sent to several replicas.
	OperationSearch Operation = iota
	// OperationExecute runs at most once, on at most one backend server.
	OperationExecute
)

// SubRequest is the part of a request that one backend server runs.
type SubRequest struct {
	Operation   Operation
	RequestID   RequestID
	Service     ServiceID
	Version     IndexVersion
	Range       KeyRange
	Server      BackendServerID
	Workspace   WorkspaceID
	Class       ClassID
	Fingerprint Fingerprint
	Deadline    Millis // on the local clock
	// MaxWait limits how long the request may be delayed by the rate limit of a
	// cold server. It is set if another replica can serve the request. If it is
	// 0, only the deadline limits the delay.
	MaxWait Millis
	Body    []byte // JSON; must not be modified while the request runs
}

// SubResult is the final result of a SubRequest. Body is owned by the receiver.
type SubResult struct {
	Outcome Outcome
	Code    Code // empty when Outcome is OutcomeDone
	Body    []byte
	// Crashed is set if the connection to the backend server was lost while the
	// server ran the request.
	Crashed bool
	// InFlight and Queued are the numbers of running and queued requests of the
	// server at the time of the result. InFlight includes this request if it was
	// running.
	InFlight uint16
	Queued   uint16
}

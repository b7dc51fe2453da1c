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

// LoadReport is a backend server's own view of its load. It can lag or
// mislead, so it may lower the trust in a server and never raise it.
type LoadReport struct {
	Busy  uint16 `json:"busy"`  // slots in use
	Queue uint16 `json:"queue"` // requests waiting
	Warm  bool   `json:"warm"`
}

// Announcement is what a backend server sends every AnnounceInterval.
type Announcement struct {
	Server      BackendServerID `json:"server"`
	Incarnation Incarnation     `json:"incarnation"`
	Zone        ZoneID          `json:"zone"`
	Address     string          `json:"address"` // IP:port
	Slots       uint16          `json:"slots"`
	Connections uint16          `json:"connections"`
	Draining    bool            `json:"draining"`
	Offers      []ServiceOffer  `json:"offers"`
	Load        LoadReport      `json:"load"`
}

// Operation distinguishes searches from non-idempotent requests.
type Operation uint8

const (
	// OperationSearch may be sent to several replicas.
	OperationSearch Operation = iota
	// OperationExecute must reach at most one backend server, once.
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
	// MaxWait is the longest wait for the pace of a cold server, 0 for no bound
	// but the deadline. It is set when another replica can be asked.
	MaxWait Millis
	Body    []byte // JSON; must not be changed while the request runs
}

// SubResult ends a SubRequest. Body is owned by the receiver.
type SubResult struct {
	Outcome Outcome
	Code    Code // empty when Outcome is OutcomeDone
	Body    []byte
	// Crashed is set when the backend server lost the connection while it
	// ran the request.
	Crashed bool
	// InFlight and Queued describe the server at the time of the result. InFlight
	// counts the request itself if it was running.
	InFlight uint16
	Queued   uint16
}

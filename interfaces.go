package zinniatide

// Clock tells the time. Tests replace it with a clock that they set manually.
type Clock interface {
	// Now returns the monotonic time of this process.
	Now() Millis
	// Unix returns the wall-clock time in milliseconds since the Unix epoch.
	Unix() Millis
}

// MessageKind is the type number of a message between VMs. A number is never
// reused for another type.
type MessageKind uint16

// Message kinds. A receiver replies to an unknown kind with an error and ignores
// unknown fields of a known kind.
const (
	KindControlHeartbeat MessageKind = 10 // any VM to control VM: Heartbeat
	KindControlPush      MessageKind = 11 // control leader to any VM: ConfigurationPush
	KindControlRelease   MessageKind = 12 // owner to control leader: BucketRelease
	KindControlForward   MessageKind = 13 // control VM to leader: operator operations
	KindClaim            MessageKind = 14 // entry VM to control leader: Claim
	KindClaimResult      MessageKind = 15 // entry VM to control leader: ClaimResult
	KindControlLeader    MessageKind = 16 // any VM that has lost the control leader to any VM: request for the leader's address
	KindReplicate        MessageKind = 20 // between control VMs: messages of the replicated log
	KindSubRequest       MessageKind = 30 // coordinator to owner: sub-requests (forwarder.batchMessage)
	KindSubResult        MessageKind = 31 // owner to coordinator: results (forwarder.resultMessage)
	KindSubCancel        MessageKind = 32 // coordinator to owner: cancels a sub-request (forwarder.cancelMessage)
	KindAnnounce         MessageKind = 40 // to owner: Announcement
	KindCatalogDigest    MessageKind = 41 // entry VM to the other entry VMs: incarnation and sequence of its server list
	KindCatalogPull      MessageKind = 42 // to the sender of a digest: request for its server list
	KindWarmState        MessageKind = 43 // previous owner to next owner
	KindCanary           MessageKind = 50 // to the arbiter, which decides on the quarantine of a fingerprint: canary request or crash report
	KindCanaryVerdict    MessageKind = 51 // to the arbiter: result of a canary
	KindQuarantine       MessageKind = 52 // to all VMs
	KindUnanswered       MessageKind = 53 // relay VM to control VMs: report of a request that lost its servers
	KindEnroll           MessageKind = 70 // control VM to all VMs: []Enrollment
	KindEnrollDigest     MessageKind = 71 // control VM to all VMs: digest of its enrollments
	KindEnrollPull       MessageKind = 72 // to control VM: request for its enrollments
	KindGather           MessageKind = 80 // relay VM to another relay VM: parts of a query
	KindGatherCancel     MessageKind = 81 // cancels a KindGather
	KindGatherLateParts  MessageKind = 82 // to the asking VM: parts that came after the reply
	KindGatherAttempts   MessageKind = 83 // to the asking VM: request for attempts to send parts once more
	KindRolloutReport    MessageKind = 90 // relay VM to control leader: results by version of the servers
	KindQuotaTake        MessageKind = 91 // relay VM to the VM that counts a workspace: request for tokens
	KindQuotaHandover    MessageKind = 92 // VM that stops counting workspaces to its successors: token buckets
)

// LinkHandler handles one message. It runs on the event loop of the link and must
// not block. body is valid only until it returns. reply is nil for one-way
// messages; otherwise it must be called exactly once, from any goroutine, with a
// value to encode or an error.
type LinkHandler func(from VMID, body []byte, reply func(value any, err error))

// Peer is a VM in the peer table of a Linker.
type Peer struct {
	Address string
	// Process is the process of the VM that the configuration names, or 0.
	Process ProcessID
}

// Linker exchanges CBOR messages over one WebSocket connection per pair of VMs.
type Linker interface {
	// Handle registers the handler of a kind. All handlers must be registered
	// before the Linker is started.
	Handle(kind MessageKind, h LinkHandler)
	// SetPeers replaces the table of peers.
	SetPeers(peers map[VMID]Peer)
	// Send queues a one-way message without blocking. A nil error means that the
	// message is queued. Send returns ErrNotSent if the peer is unknown or not
	// connected, or if its queue is full.
	Send(peer VMID, kind MessageKind, body any) error
	// Call sends a request. done is called exactly once, with the reply body or
	// with ErrNotSent, ErrLinkLost, ErrTimeout or the error returned by the peer.
	// The reply body is valid only until done returns. done must not block.
	Call(peer VMID, kind MessageKind, body any, timeout Millis, done func(body []byte, err error))
	// Connected reports whether the link to peer is established.
	Connected(peer VMID) bool
}

// ConfigurationProvider provides the configuration in effect on this VM to the
// goroutines that serve requests.
type ConfigurationProvider interface {
	// Configuration returns the last installed configuration. It is never nil.
	Configuration() *Configuration
	// LeaseUntil returns when the lease of this VM expires on the local clock. The
	// VM takes new work only before that time, and sub-requests that it sends to
	// backend servers must end by then. It is zero before the first lease.
	LeaseUntil() Millis
}

// ServerStatus is the state of a backend server as known to a coordinator.
type ServerStatus struct {
	Announcement
	// Owner is the VM that sends requests to the server. It is empty during a
	// handover.
	Owner VMID
}

// CatalogProvider provides the backend servers known to this VM.
type CatalogProvider interface {
	// Catalog returns the current catalog. Its servers are sorted by id.
	Catalog() *Catalog
}

// Catalog is an immutable table of backend servers. A change by an announcement
// or a configuration creates a new Catalog.
type Catalog struct {
	Sequence uint64 // increases with each change
	Servers  []ServerStatus
}

// Dispatcher runs sub-requests on the backend servers that this VM owns. It
// enforces the limits on slots, connections and cold-start rates.
type Dispatcher interface {
	// Dispatch queues r and returns without blocking. done is called exactly
	// once, possibly before Dispatch returns. cancel may be called at any time;
	// done is still called with the result.
	Dispatch(r SubRequest, done func(SubResult)) (cancel func())
}

// Forwarder sends sub-requests to the owners of their backend servers, which may
// be this VM or others.
type Forwarder interface {
	// DispatchAll has the contract of Dispatcher.Dispatch for each sub-request. It
	// sends one message per owner with all sub-requests for that owner.
	DispatchAll(rs []SubRequest, done func(i int, result SubResult)) (cancel func(i int))
}

// ClaimStore records which VM may run a non-idempotent request. Its records
// survive the loss of any minority of control VMs.
type ClaimStore interface {
	// Claim requests the right to run a request. done is called exactly once.
	Claim(c Claim, done func(ClaimReply, error))
	// Finish records the outcome of a claim that this VM holds.
	Finish(r ClaimResult)
}

// Claim requests the right to run a non-idempotent request once.
type Claim struct {
	RequestID RequestID   `json:"request-id"`
	Expires   Millis      `json:"expires-ms"` // wall clock
	Digest    Fingerprint `json:"digest"`     // xxhash of service, workspace, key and body
	VM        VMID        `json:"vm"`
	// Token is unique per attempt. A repeated claim with the same token gets the
	// same reply.
	Token uint64 `json:"token"`
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	// Granted is true for exactly one token of a request id.
	Granted bool `json:"granted"`
	// Code is the reason for a denial: CodeInProgress, CodeRequestIDExpired or
	// CodeRequestIDReused. It is empty if the claim is granted, or if it is denied
	// and Outcome holds the recorded outcome.
	Code Code `json:"code"`
	// Holder is the VM to which the claim was granted.
	Holder VMID `json:"holder"`
	// Outcome tells whether the request ran, as far as that is known. It is empty
	// if the claim is granted. Body is the recorded answer, if one was stored.
	Outcome Outcome `json:"outcome"`
	Body    []byte  `json:"body"`
}

// ClaimResult is the result of a claimed request. OutcomeNotRun releases the
// claim, so that another attempt can use the request id.
type ClaimResult struct {
	RequestID RequestID `json:"request-id"`
	Token     uint64    `json:"token"`
	Outcome   Outcome   `json:"outcome"`
	Body      []byte    `json:"body"`
}

// SearchRequest is a caller's query after validation by the gateway.
type SearchRequest struct {
	RequestID RequestID
	Service   ServiceID
	Workspace WorkspaceID
	Class     ClassID
	Deadline  Millis // on the local clock
	Limit     int    // maximum number of hits
	Query     []byte // JSON, passed to the backend servers unchanged
}

// Coverage is the part of an index version that an answer covers.
type Coverage struct {
	ShardsAnswered int     `json:"shards-answered"`
	ShardsTotal    int     `json:"shards-total"`
	Ratio          float64 `json:"ratio"` // of the key space
}

// SearchAnswer is the merged answer to a SearchRequest.
type SearchAnswer struct {
	Version  IndexVersion
	Coverage Coverage
	Total    uint64 // matches in all shards that answered
	Hits     []Hit  // best first
}

// Hit is one match. Document is the backend server's JSON, unchanged.
type Hit struct {
	ID       string  `json:"id"`
	Score    float64 `json:"score"`
	Document []byte  `json:"document,omitempty"`
}

// Querier answers searches.
type Querier interface {
	// Search blocks until the answer is complete or the deadline has passed.
	// The error is a *Refusal.
	Search(r SearchRequest) (SearchAnswer, error)
}

// ExecuteRequest is a caller's non-idempotent request after validation by the
// gateway.
type ExecuteRequest struct {
	RequestID RequestID
	Expires   Millis // wall clock, from the request id
	Service   ServiceID
	Workspace WorkspaceID
	Class     ClassID
	Deadline  Millis // on the local clock
	Key       uint32 // selects the shard
	Body      []byte // JSON
}

// Executor runs non-idempotent requests at most once.
type Executor interface {
	// Execute blocks until the outcome is known or the deadline has passed.
	// It returns the body of the backend server's answer. The error is a *Refusal.
	Execute(r ExecuteRequest) ([]byte, error)
}

// Announcer accepts announcements from backend servers.
type Announcer interface {
	// Announce passes a to the owner of the server. announceAt is the HTTP address
	// to which the server should send its next announcement. If it is empty, the
	// server chooses the address.
	Announce(a Announcement) (announceAt string, err error)
}

// Operator executes operator commands on any control VM.
type Operator interface {
	// FileTicket submits a ticket. It blocks until the ticket is accepted or
	// refused, or the timeout has passed. The error is a *Refusal. After
	// CodeNoQuorum the ticket may or may not have been accepted, so it must be sent
	// again to find out.
	FileTicket(raw []byte, dryRun bool, timeout Millis) (TicketReply, error)
	// TicketStatus returns whether a ticket is in force.
	TicketStatus(number TicketNumber) (TicketStatus, error)
	// State returns the last accepted configuration.
	State() (*Configuration, error)
	// History returns up to limit accepted tickets, newest first.
	History(limit int) ([]TicketRecord, error)
}

// TicketReply is the reply to a submitted ticket.
type TicketReply struct {
	Number   TicketNumber `json:"ticket"`
	Epoch    Epoch        `json:"epoch"`
	Accepted bool         `json:"accepted"`
	// Repeated is set if the same ticket was accepted before.
	Repeated bool `json:"repeated"`
	// Changes lists the configuration changes made by the ticket, one per line.
	Changes []string `json:"changes,omitempty"`
}

// TicketStatus tells whether a ticket is in force, that is, installed on every
// VM. PendingVMs are the VMs that have not installed it yet.
type TicketStatus struct {
	Number     TicketNumber `json:"ticket"`
	Epoch      Epoch        `json:"epoch"`
	InForce    bool         `json:"in-force"`
	PendingVMs []VMID       `json:"not-yet-on,omitempty"`
}

// TicketRecord is one entry of the ticket history.
type TicketRecord struct {
	Number TicketNumber `json:"ticket"`
	Epoch  Epoch        `json:"epoch"`
	Digest string       `json:"digest"` // hexadecimal SHA-256 of the canonical content
}

// ClientBudget limits what all clients of a process can occupy together.
type ClientBudget interface {
	// Open counts a new connection from peer, the IP address of the client. If it
	// returns false, the connection must be closed at once. closeConn closes the
	// connection when it has to make room; it must not block.
	Open(peer string, closeConn func()) (ClientConnection, bool)
}

// ClientConnection is a connection in a ClientBudget. A new one counts as one whose
// request is being received.
type ClientConnection interface {
	// Begin is called when a request starts to arrive, and when an answer waits for its
	// reader. From then on the connection may be closed to make room.
	Begin()
	// Run is called when the request has arrived. The connection is not closed until
	// Begin or Idle. It returns false if the connection has been closed to make room;
	// the request must not run then.
	Run() bool
	// Idle is called when the answer has been written.
	Idle()
	// Reserve is called before memory is allocated for the connection beyond that of a
	// small request. It returns false if there is none, or the connection has been
	// closed.
	Reserve(bytes int) bool
	// Release gives reserved bytes back.
	Release(bytes int)
	// Close ends the connection. Later calls have no effect.
	Close()
}

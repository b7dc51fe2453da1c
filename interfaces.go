package zinniatide

// Clock tells the time. Tests drive it by hand.
type Clock interface {
	// Now returns the monotonic time of this process.
	Now() Millis
	// Unix returns the wall-clock time in milliseconds since 1970.
	Unix() Millis
}

// MessageKind numbers the messages between VMs. Kinds are never reused.
type MessageKind uint16

// Message kinds. A receiver answers an unknown kind with an error reply, and
// ignores unknown fields of a known kind.
const (
	KindControlHeartbeat MessageKind = 10 // entry VM to control VM: Heartbeat
	KindControlPush      MessageKind = 11 // control VM to entry VM: ConfigurationPush
	KindControlRelease   MessageKind = 12 // owner to control leader: BucketRelease
	KindControlForward   MessageKind = 13 // control VM to leader: operator operations
	KindClaim            MessageKind = 14 // entry VM to control leader: Claim
	KindClaimResult      MessageKind = 15 // entry VM to control leader: ClaimResult
	KindReplicate        MessageKind = 20 // between control VMs: log messages
	KindSubRequest       MessageKind = 30 // to owner: SubRequestBatch
	KindSubResult        MessageKind = 31 // to coordinator: SubResultBatch
	KindSubCancel        MessageKind = 32 // to owner: SubCancel
	KindAnnounce         MessageKind = 40 // to owner: Announcement
	KindCatalogDigest    MessageKind = 41 // owner to all: catalogue sequence
	KindCatalogPull      MessageKind = 42 // ask an owner for its catalogue
	KindWarmState        MessageKind = 43 // old owner to new owner
	KindCanary           MessageKind = 50 // to the guard of a fingerprint
	KindCanaryVerdict    MessageKind = 51
	KindQuarantine       MessageKind = 52 // to all VMs
	KindEnroll           MessageKind = 70 // control VM to all: []Enrollment
	KindEnrollDigest     MessageKind = 71 // control VM to all: state of its enrollments
	KindEnrollPull       MessageKind = 72 // ask a control VM for its enrollments
	KindGather           MessageKind = 80 // relay VM to one of another zone: parts of a query
	KindGatherCancel     MessageKind = 81
	KindGatherLateParts  MessageKind = 82 // back to the asking VM: parts that came later
	KindClaimQuery       MessageKind = 60 // to the VM that holds a claim
)

// LinkHandler serves one message. It runs on the link's thread and must not
// block. Body is valid only until it returns. For one-way messages reply is
// nil; otherwise it must be called exactly once, from any goroutine, with a
// value to encode or an error.
type LinkHandler func(from VMID, body []byte, reply func(value any, err error))

// Linker carries CBOR messages over one WebSocket connection per pair of VMs.
type Linker interface {
	// Handle registers the handler of a kind. All handlers are registered
	// before Start.
	Handle(kind MessageKind, h LinkHandler)
	// SetPeers replaces the address table of peers.
	SetPeers(peers map[VMID]string)
	// Send sends a one-way message without waiting. A nil error means queued.
	// It returns ErrNotSent when the peer is unknown, not connected or its
	// queue is full.
	Send(peer VMID, kind MessageKind, body any) error
	// Call sends a request. done is called exactly once, with the reply body
	// or with ErrNotSent, ErrLinkLost, ErrTimeout or the peer's error. Body is
	// valid only during done, which must not block.
	Call(peer VMID, kind MessageKind, body any, timeout Millis, done func(body []byte, err error))
	// Connected reports whether a live link to peer exists.
	Connected(peer VMID) bool
}

// ConfigurationProvider gives traffic threads the configuration in force here.
type ConfigurationProvider interface {
	// Configuration returns the newest installed configuration, never nil.
	Configuration() *Configuration
	// LeaseUntil returns when this VM's lease runs out on the local clock. The
	// VM takes new work only before that time, and no sub-request that it sends
	// to a backend server may last longer. It is zero before the first lease.
	LeaseUntil() Millis
}

// ServerStatus is what a coordinator knows of a backend server.
type ServerStatus struct {
	Announcement
	// Owner is the VM that sends work to the server, empty during a hand-over.
	Owner VMID
}

// CatalogProvider lists the backend servers known to this VM.
type CatalogProvider interface {
	// Catalog returns an immutable table. Entries are sorted by server id.
	Catalog() *Catalog
}

// Catalog is an immutable table of backend servers. It is replaced as a whole
// whenever an announcement or a configuration changes it.
type Catalog struct {
	Sequence uint64
	Servers  []ServerStatus
}

// Dispatcher runs sub-requests on the backend servers that this VM owns. It
// enforces slots, connections and cold-start bounds.
type Dispatcher interface {
	// Dispatch queues r and returns without blocking. done is called exactly
	// once, possibly before Dispatch returns. cancel may be called at any
	// time; done then reports what became of the request.
	Dispatch(r SubRequest, done func(SubResult)) (cancel func())
}

// Forwarder sends sub-requests to the owner of their backend server, local or
// remote. It has the contract of Dispatcher, and batches what is given to it
// in one DispatchAll call into one message per owner.
type Forwarder interface {
	DispatchAll(rs []SubRequest, done func(i int, result SubResult)) (cancel func(i int))
}

// ClaimStore records which VM may run a non-idempotent request. It survives
// the loss of any minority of control VMs.
type ClaimStore interface {
	// Claim asks for the right to run the request. done is called exactly once.
	Claim(c Claim, done func(ClaimReply, error))
	// Finish records the outcome of a claim that this VM holds.
	Finish(r ClaimResult)
}

// Claim asks for the right to run a non-idempotent request once.
type Claim struct {
	RequestID RequestID   `json:"request-id"`
	Expires   Millis      `json:"expires-ms"` // wall clock
	Digest    Fingerprint `json:"digest"`     // of service, key and body
	VM        VMID        `json:"vm"`
	// Token is unique to this attempt. A repeated claim with the same token
	// gets the same reply.
	Token uint64 `json:"token"`
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	// Granted is true for exactly one token of a request id.
	Granted bool `json:"granted"`
	// Code explains a denial: CodeInProgress, CodeRequestIDExpired or
	// CodeRequestIDReused. It is empty when the outcome is known.
	Code Code `json:"code"`
	// Holder is the VM that was granted the claim.
	Holder VMID `json:"holder"`
	// Outcome and Body repeat the recorded result, when there is one.
	Outcome Outcome `json:"outcome"`
	Body    []byte  `json:"body"`
}

// ClaimResult records how a claimed request ended. OutcomeNotRun frees the
// request id for another attempt.
type ClaimResult struct {
	RequestID RequestID `json:"request-id"`
	Token     uint64    `json:"token"`
	Outcome   Outcome   `json:"outcome"`
	Body      []byte    `json:"body"`
}

// SearchRequest is a caller's query, checked by the gateway.
type SearchRequest struct {
	RequestID RequestID
	Service   ServiceID
	Workspace WorkspaceID
	Class     ClassID
	Deadline  Millis // on the local clock
	Limit     int    // hits wanted
	Query     []byte // JSON, passed to the backend servers as it is
}

// Coverage tells how much of one index version an answer covers.
type Coverage struct {
	ShardsAnswered int     `json:"shards-answered"`
	ShardsTotal    int     `json:"shards-total"`
	Ratio          float64 `json:"ratio"` // of the key space
}

// SearchAnswer is the merged answer to a SearchRequest.
type SearchAnswer struct {
	Version  IndexVersion
	Coverage Coverage
	Total    uint64 // matches over all shards that answered
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

// ExecuteRequest is a caller's non-idempotent request, checked by the gateway.
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
	// It returns the backend server's body. The error is a *Refusal.
	Execute(r ExecuteRequest) ([]byte, error)
}

// Announcer accepts announcements from backend servers.
type Announcer interface {
	// Announce hands a to the owner of the server. announceAt is the HTTP
	// address at which the server should announce itself next time; empty
	// leaves the choice to the server.
	Announce(a Announcement) (announceAt string, err error)
}

// Operator serves the operators' commands on any control VM.
type Operator interface {
	// FileTicket proposes a ticket. It blocks until the ticket is accepted,
	// refused, or the timeout has passed. The error is a *Refusal; after
	// CodeNoQuorum the ticket must be sent again to learn its fate.
	FileTicket(raw []byte, dryRun bool, timeout Millis) (TicketReply, error)
	// TicketStatus tells where a ticket is in force.
	TicketStatus(number TicketNumber) (TicketStatus, error)
	// State returns the newest accepted configuration.
	State() (*Configuration, error)
	// History returns the newest accepted tickets, newest first.
	History(limit int) ([]TicketRecord, error)
}

// TicketReply answers a filed ticket.
type TicketReply struct {
	Number   TicketNumber `json:"ticket"`
	Epoch    Epoch        `json:"epoch"`
	Accepted bool         `json:"accepted"`
	// Repeated is set when the same ticket had been accepted before.
	Repeated bool `json:"repeated"`
	// Changes lists the differences that the ticket makes, one per line.
	Changes []string `json:"changes,omitempty"`
}

// TicketStatus tells where a ticket is in force.
type TicketStatus struct {
	Number     TicketNumber `json:"ticket"`
	Epoch      Epoch        `json:"epoch"`
	InForce    bool         `json:"in-force"`
	PendingVMs []VMID       `json:"not-yet-on,omitempty"`
}

// TicketRecord is one line of the ticket history.
type TicketRecord struct {
	Number TicketNumber `json:"ticket"`
	Epoch  Epoch        `json:"epoch"`
	Digest string       `json:"digest"` // hexadecimal SHA-256 of the canonical content
}

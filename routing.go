package zinniatide

import "slices"

// RouteID identifies a route of the routing table.
type RouteID string

// Routing is the routing table by which relay VMs proxy HTTP requests of callers
// to backend servers. A ticket always replaces the complete table.
type Routing struct {
	Routes   []Route        `json:"routes"`
	Services []RelayService `json:"services"`
	Limits   CallerLimits   `json:"limits"`
	// KeysRequired is set if requests must carry the key of a workspace, except on
	// public routes. It is set without any workspace if all of them were removed.
	KeysRequired bool             `json:"keys-required,omitempty"`
	Workspaces   []RelayWorkspace `json:"workspaces,omitempty"`
}

// KeyDigest identifies an API key: the first half of its SHA-256 digest. Keys
// themselves are only kept in the operator's document.
type KeyDigest [16]byte

// RelayWorkspace configures a workspace whose requests are relayed.
type RelayWorkspace struct {
	Workspace WorkspaceID `json:"workspace"`
	// Keys are the digests of the API keys of the workspace, in ascending order. They
	// are left out of JSON, in which configurations are shown to operators.
	Keys []KeyDigest `json:"-" cbor:"keys"`
	// Priority takes precedence over the priority of the route unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Rate is the limit over all relay VMs in requests per second, and Burst the number of
	// requests that may be made at once in addition. A Rate of 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Equal reports whether both workspaces are configured in the same way.
func (w *RelayWorkspace) Equal(o *RelayWorkspace) bool {
	samePriority := w.Priority == o.Priority || w.Priority != nil && o.Priority != nil && *w.Priority == *o.Priority
	return w.Workspace == o.Workspace && samePriority && w.Rate == o.Rate && w.Burst == o.Burst && slices.Equal(w.Keys, o.Keys)
}

// Route maps requests for one host and path prefix to a service, to one of
// several weighted services, or to all shards of an index.
type Route struct {
	ID         RouteID `json:"route"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path-prefix"` // begins and ends with a slash
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the maximum time until the caller gets a response.
	Timeout Millis `json:"timeout-ms"`
	// TargetLatency is the latency up to which an answer has its full value.
	TargetLatency Millis `json:"target-latency-ms"`
	// Priority decides, unless that of the workspace does, which requests run when
	// capacity is short. 0 is usually the highest; it also labels metrics.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of backend servers that one request, or
	// one shard of a gathered request, is sent to.
	MaxAttempts int `json:"max-attempts"`
	// Targets are the services among which requests are split by weight. Exactly
	// one of Targets and Shards is set.
	Targets []WeightedService `json:"targets,omitempty"`
	// Shards are the services whose answers are merged into one.
	Shards []ServiceID `json:"shards,omitempty"`
	// TopRecords is the number of records in a gathered answer.
	TopRecords int `json:"top-records,omitempty"`
	// MinCoverage is the minimum fraction of shards in a gathered answer, from 0
	// to 1.
	MinCoverage float64 `json:"min-coverage,omitempty"`
	// Public is set if requests need no key.
	Public bool `json:"public,omitempty"`
}

// Gathers reports whether the route merges the answers of several shards.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Equal reports whether both routes are the same.
func (r *Route) Equal(o *Route) bool {
	return r.ID == o.ID && r.Host == o.Host && r.PathPrefix == o.PathPrefix && r.Idempotent == o.Idempotent && r.Timeout == o.Timeout &&
		r.TargetLatency == o.TargetLatency && r.Priority == o.Priority && r.MaxAttempts == o.MaxAttempts && r.TopRecords == o.TopRecords &&
		r.MinCoverage == o.MinCoverage && r.Public == o.Public && slices.Equal(r.Targets, o.Targets) && slices.Equal(r.Shards, o.Shards)
}

// WeightedService is one target of a route that splits requests by weight.
type WeightedService struct {
	Service ServiceID `json:"service"`
	Weight  float64   `json:"weight"`
}

// RelayService configures a service that routes refer to.
type RelayService struct {
	Service ServiceID `json:"service"`
	// HealthPath is the path of the health check. Relay VMs do not probe it,
	// because they derive the health of a server from its answers to requests.
	HealthPath string `json:"health-path"`
	// MaxConnections is the maximum number of connections to one backend server
	// from all relay VMs together.
	MaxConnections int `json:"max-connections"`
	// ColdStart is how long a backend server is cold after its start.
	ColdStart Millis `json:"cold-start-ms"`
	// ColdRate is the rate limit of a cold backend server in requests per second.
	// 0 means no limit.
	ColdRate float64 `json:"cold-rate"`
}

// CallerLimits limits the size of requests and the time that callers may take
// to send them.
type CallerLimits struct {
	MaxHeaderBytes int    `json:"max-header-bytes"`
	MaxBodyBytes   int    `json:"max-body-bytes"`
	HeaderTimeout  Millis `json:"header-timeout-ms"`
	IdleTimeout    Millis `json:"idle-timeout-ms"`
}

// RoutingOperator serves the operators of the routing table on any control VM.
type RoutingOperator interface {
	// FileRouting submits a ticket with the given number that replaces the routing
	// table. document is the table in the operator's format and is stored
	// unchanged. The error is a *Refusal, as for Operator.FileTicket.
	FileRouting(number TicketNumber, routing *Routing, document []byte, timeout Millis) (TicketReply, error)
	// RoutingDocument returns the document of the last accepted table. The error
	// has CodeNotFound if there is none yet.
	RoutingDocument(timeout Millis) ([]byte, error)
	// SetZoneState takes an availability zone out of service or back into service.
	// It has no ticket number: the last accepted call takes effect. abandoned reports
	// whether the operator no longer waits for the result. A call that was abandoned
	// before it took effect has none, so that it cannot undo a later one.
	SetZoneState(zone ZoneID, state ServingState, abandoned func() bool, timeout Millis) error
}

// Enrollment is the last known state of a backend server that registers itself
// by sending heartbeats to control VMs.
type Enrollment struct {
	Server BackendServerID `cbor:"1,keyasint"`
	// StartedAt is the start time of the process in Unix milliseconds. It orders
	// the processes that have used the same id or address.
	StartedAt Millis `cbor:"2,keyasint"`
	// Sequence orders the heartbeats of one process.
	Sequence uint64    `cbor:"3,keyasint"`
	Service  ServiceID `cbor:"4,keyasint"`
	Address  string    `cbor:"5,keyasint"` // IP:port
	Zone     ZoneID    `cbor:"6,keyasint"`
	Slots    int       `cbor:"7,keyasint"`
	// State is StateIn or StateLeaving.
	State ServingState `cbor:"8,keyasint"`
	// Ended is set once the end of the process was reported. It is never reset for
	// the same process.
	Ended bool `cbor:"9,keyasint,omitempty"`
	// ColdRemaining is how long the server remains cold, from the moment at which the
	// enrollment is passed on. It is 0 if the server is warm.
	ColdRemaining Millis `cbor:"10,keyasint,omitempty"`
	// ColdSequence is the sequence of the heartbeat that last changed the cold time, or 0
	// if none has. It is unset in a heartbeat itself.
	ColdSequence uint64 `cbor:"11,keyasint,omitempty"`
	// Version is the version of the software that the server runs.
	Version ServerVersion `cbor:"12,keyasint,omitempty"`
}

// Enroller stores the enrollments of backend servers.
type Enroller interface {
	// Enroll merges a heartbeat. done is called once, with nil if the heartbeat
	// was recorded. A heartbeat with StateLeaving counts as recorded only once a
	// majority of control VMs has it.
	Enroll(e Enrollment, done func(error))
	// Withdraw records the end of a process. startedAt is 0 if it is unknown. done
	// is called as for a heartbeat with StateLeaving.
	Withdraw(server BackendServerID, startedAt Millis, done func(error))
}

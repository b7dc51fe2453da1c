package zinniatide

// RouteID names a route of the routing table.
type RouteID string

// Routing is the table by which entry VMs relay callers' HTTP requests to
// backend servers. A ticket replaces it as a whole.
type Routing struct {
	Routes   []Route        `json:"routes"`
	Services []RelayService `json:"services"`
	Limits   CallerLimits   `json:"limits"`
}

// Route sends the requests of one host and path prefix to a service, to one of
// several weighted services, or to all shards of an index.
type Route struct {
	ID         RouteID `json:"route"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path-prefix"` // begins and ends with a slash
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout Millis `json:"timeout-ms"`
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency Millis `json:"target-latency-ms"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts bounds the backend servers that one request, or one shard of
	// a gathered request, may reach.
	MaxAttempts int `json:"max-attempts"`
	// Targets are the services of a plain route. Exactly one of Targets and
	// Shards is set.
	Targets []WeightedService `json:"targets,omitempty"`
	// Shards are the services whose answers are gathered into one.
	Shards []ServiceID `json:"shards,omitempty"`
	// TopRecords is the number of records in a gathered answer.
	TopRecords int `json:"top-records,omitempty"`
	// MinCoverage is the least share of shards in a gathered answer, 0 to 1.
	MinCoverage float64 `json:"min-coverage,omitempty"`
}

// Gathers reports whether the route gathers the answers of shards.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// WeightedService is one part of a split route.
type WeightedService struct {
	Service ServiceID `json:"service"`
	Weight  float64   `json:"weight"`
}

// RelayService configures a service that routes name.
type RelayService struct {
	Service ServiceID `json:"service"`
	// HealthPath answers health checks. Relay VMs judge servers by their answers
	// to requests and do not probe it.
	HealthPath string `json:"health-path"`
	// MaxConnections bounds the connections of one backend server from all
	// entry VMs together.
	MaxConnections int `json:"max-connections"`
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart Millis `json:"cold-start-ms"`
	// ColdRate is the requests a second that a cold backend server bears, 0 for
	// no bound.
	ColdRate float64 `json:"cold-rate"`
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int    `json:"max-header-bytes"`
	MaxBodyBytes   int    `json:"max-body-bytes"`
	HeaderTimeout  Millis `json:"header-timeout-ms"`
	IdleTimeout    Millis `json:"idle-timeout-ms"`
}

// RoutingOperator serves the operators of the routing table on any control VM.
type RoutingOperator interface {
	// FileRouting files a ticket with the given number that replaces the
	// routing table. Document is the operator's own notation of the table; it
	// is kept unchanged. The error is a *Refusal as of Operator.FileTicket.
	FileRouting(number TicketNumber, routing *Routing, document []byte, timeout Millis) (TicketReply, error)
	// RoutingDocument returns the document of the newest accepted table, or
	// CodeNotFound before the first.
	RoutingDocument(timeout Millis) ([]byte, error)
	// SetZoneState takes an availability zone out or back in. It carries no
	// ticket number: the order accepted last holds.
	SetZoneState(zone ZoneID, state ServingState, timeout Millis) error
}

// Enrollment is what is known of one backend server that announces itself by
// heartbeats to control VMs.
type Enrollment struct {
	Server BackendServerID `cbor:"1,keyasint"`
	// StartedAt is when the process started, in unix milliseconds. It orders the
	// processes that used one id or one address.
	StartedAt Millis `cbor:"2,keyasint"`
	// Sequence orders the heartbeats of one process.
	Sequence uint64    `cbor:"3,keyasint"`
	Service  ServiceID `cbor:"4,keyasint"`
	Address  string    `cbor:"5,keyasint"` // IP:port
	Zone     ZoneID    `cbor:"6,keyasint"`
	Slots    int       `cbor:"7,keyasint"`
	// State is StateIn or StateLeaving.
	State ServingState `cbor:"8,keyasint"`
	// Ended is set once the server has announced its end. It is final for one
	// process.
	Ended bool `cbor:"9,keyasint,omitempty"`
	// ColdRemaining is how much longer the server was cold at the heartbeat.
	ColdRemaining Millis `cbor:"10,keyasint,omitempty"`
}

// Enroller keeps the enrollments of backend servers.
type Enroller interface {
	// Enroll merges a heartbeat. Done is called once, with nil when the
	// heartbeat is recorded; a leave is recorded on a majority of control VMs.
	Enroll(e Enrollment, done func(error))
	// Withdraw records that a process ends. startedAt is 0 when unknown.
	Withdraw(server BackendServerID, startedAt Millis, done func(error))
}

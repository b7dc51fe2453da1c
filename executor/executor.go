// Package executor implements zinniatide.Executor: it runs a non-idempotent
// request on at most one backend server, once, under a claim in the replicated
// log.
package executor

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/admitter"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
)

// Config holds the policy of non-idempotent requests.
type Config struct {
	// ClaimRetryDelay is the delay before a claim whose reply was lost is
	// repeated with the same token. It doubles up to ClaimRetryMax. An election
	// takes about a second, so the claim is repeated for as long as the
	// deadline allows.
	ClaimRetryDelay zinniatide.Millis
	ClaimRetryMax   zinniatide.Millis
	// DispatchRetryDelay is the delay before a server that refused with not-run
	// is asked again, or before a shard without a replica is planned again. It
	// doubles up to DispatchRetryMax.
	DispatchRetryDelay zinniatide.Millis
	DispatchRetryMax   zinniatide.Millis
	// DeadlineMargin is kept for writing the answer.
	DeadlineMargin zinniatide.Millis
}

// DefaultConfig returns the policy in use.
func DefaultConfig() Config {
	return Config{ClaimRetryDelay: 20, ClaimRetryMax: 200, DispatchRetryDelay: 10, DispatchRetryMax: 80, DeadlineMargin: 3}
}

// Dependencies are the parts that an Executor works with.
type Dependencies struct {
	VM             zinniatide.VMID
	Clock          zinniatide.Clock
	Timer          timer.Timer
	Configurations zinniatide.ConfigurationProvider
	Claims         zinniatide.ClaimStore
	Forwarder      zinniatide.Forwarder
	Planner        *planner.Planner
	Observer       *observer.Observer
	Admitter       *admitter.Admitter       // nil admits everything
	Quarantiner    *quarantiner.Quarantiner // nil sends no canaries
	Registerer     prometheus.Registerer
	// Random chooses among replicas.
	Random *mathrand.Rand
}

// Executor implements zinniatide.Executor. It is safe for concurrent use.
type Executor struct {
	Dependencies
	config  Config
	metrics *metrics
	mu      sync.Mutex // guards Random
}

// New returns an Executor.
func New(config Config, d Dependencies) *Executor {
	return &Executor{Dependencies: d, config: config, metrics: newMetrics(d.Registerer)}
}

// newToken returns a token that no other attempt has, also after a restart.
// Only attempts with the same request id are compared, so 64 random bits are
// enough.
func newToken() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Digest returns the digest of a request for its claim. It covers service, key,
// tenant and body, each with its length, so that no two requests run together.
func Digest(r *zinniatide.ExecuteRequest) zinniatide.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var n [8]byte
	number := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = d.Write(n[:])
	}
	number(uint64(len(r.Service)))
	_, _ = d.WriteString(string(r.Service))
	number(uint64(len(r.Tenant)))
	_, _ = d.WriteString(string(r.Tenant))
	number(uint64(r.Key))
	_, _ = d.Write(r.Body)
	return zinniatide.Fingerprint(d.Sum64())
}

// Execute implements zinniatide.Executor.
func (x *Executor) Execute(r zinniatide.ExecuteRequest) ([]byte, error) {
	start := x.Clock.Now()
	body, refusal := x.execute(start, r)
	x.metrics.observe(&r, x.Clock.Now()-start, refusal)
	if refusal != nil {
		return nil, refusal
	}
	return body, nil
}

func (x *Executor) execute(now zinniatide.Millis, r zinniatide.ExecuteRequest) ([]byte, *zinniatide.Refusal) {
	until := min(r.Deadline-x.config.DeadlineMargin, now+zinniatide.MaxRequestTime)
	if until <= now {
		return nil, zinniatide.Refuse(zinniatide.CodeDeadlinePassed, "the deadline of the request has passed")
	}
	if x.Configurations.LeaseUntil() <= now {
		return nil, zinniatide.Refuse(zinniatide.CodeNotServing, "this VM holds no lease")
	}
	service := x.Planner.Index().Service(r.Service)
	if service == nil {
		return nil, zinniatide.Refuse(zinniatide.CodeUnknownService, "service %q is not configured", r.Service)
	}
	if r.Key >= zinniatide.KeySpace {
		return nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "key %d is not below %d", r.Key, zinniatide.KeySpace)
	}
	c := x.newCall(r, until)
	if refusal := x.Quarantiner.Check(c.print); refusal != nil {
		return nil, refusal
	}
	ticket, refusal := x.Admitter.Admit(admitter.Request{
		Service: r.Service, Tenant: r.Tenant, Class: r.Class, Cost: 1, Deadline: until})
	if refusal != nil {
		return nil, refusal
	}
	defer ticket.Release()
	defer c.stopTimer()
	return c.run()
}

func (x *Executor) newCall(r zinniatide.ExecuteRequest, until zinniatide.Millis) *call {
	return &call{
		executor: x, request: r, until: until,
		claim: zinniatide.Claim{RequestID: r.RequestID, Expires: r.Expires, Digest: Digest(&r), VM: x.VM, Token: newToken()},
		print: quarantiner.Fingerprint(r.Service, r.Body),
	}
}

func (x *Executor) pick(v *planner.Version, shard int, barred []zinniatide.BackendServerID, now zinniatide.Millis) *planner.Replica {
	x.mu.Lock()
	defer x.mu.Unlock()
	return planner.Pick(v, shard, barred, now, x.Random)
}

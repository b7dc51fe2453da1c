// Package executor implements zinniatide.Executor. It claims the id of a
// non-idempotent request in the replicated log and then runs the request at most
// once, on a single backend server.
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

// Config holds the retry policy of non-idempotent requests.
type Config struct {
	// ClaimRetryDelay is the delay before a failed claim is retried with the same
	// token. It doubles up to MaxClaimRetryDelay. A leader election takes about a
	// second, so the claim is retried until the deadline.
	ClaimRetryDelay    zinniatide.Millis
	MaxClaimRetryDelay zinniatide.Millis
	// DispatchRetryDelay is the delay before a server that refused with not-run is
	// tried again, or before a replica is selected again for a shard without one.
	// It doubles up to MaxDispatchRetryDelay.
	DispatchRetryDelay    zinniatide.Millis
	MaxDispatchRetryDelay zinniatide.Millis
	// DeadlineMargin is reserved for writing the answer.
	DeadlineMargin zinniatide.Millis
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{ClaimRetryDelay: 20, MaxClaimRetryDelay: 200, DispatchRetryDelay: 10, MaxDispatchRetryDelay: 80, DeadlineMargin: 3}
}

// Dependencies holds the components that an Executor uses.
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
	// Random is used to choose replicas.
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

// newToken returns a token that is unique among attempts with the same request id,
// including those made before a restart. 64 random bits are enough for that.
func newToken() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Digest returns the digest of a request for its claim. It covers service,
// workspace, key and body. Service and workspace are preceded by their lengths,
// so that bytes cannot move from one part to the next without changing the
// digest.
func Digest(r *zinniatide.ExecuteRequest) zinniatide.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var buffer [8]byte
	writeUint64 := func(v uint64) {
		binary.LittleEndian.PutUint64(buffer[:], v)
		_, _ = d.Write(buffer[:])
	}
	writeUint64(uint64(len(r.Service)))
	_, _ = d.WriteString(string(r.Service))
	writeUint64(uint64(len(r.Workspace)))
	_, _ = d.WriteString(string(r.Workspace))
	writeUint64(uint64(r.Key))
	_, _ = d.Write(r.Body)
	return zinniatide.Fingerprint(d.Sum64())
}

// Execute implements zinniatide.Executor.
func (x *Executor) Execute(r zinniatide.ExecuteRequest) ([]byte, error) {
	start := x.Clock.Now()
	body, refusal := x.execute(start, r)
	x.metrics.record(&r, x.Clock.Now()-start, refusal)
	if refusal != nil {
		return nil, refusal
	}
	return body, nil
}

func (x *Executor) execute(now zinniatide.Millis, r zinniatide.ExecuteRequest) ([]byte, *zinniatide.Refusal) {
	deadline := min(r.Deadline-x.config.DeadlineMargin, now+zinniatide.MaxRequestTime)
	if deadline <= now {
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
	c := x.newCall(r, deadline)
	if refusal := x.Quarantiner.Check(c.fingerprint); refusal != nil {
		return nil, refusal
	}
	permit, refusal := x.Admitter.Admit(admitter.Request{
		Service: r.Service, Workspace: r.Workspace, Class: r.Class, Cost: 1, Deadline: deadline})
	if refusal != nil {
		return nil, refusal
	}
	defer permit.Release()
	defer c.stopTimer()
	return c.run()
}

func (x *Executor) newCall(r zinniatide.ExecuteRequest, deadline zinniatide.Millis) *call {
	return &call{
		executor: x, request: r, deadline: deadline,
		claim:       zinniatide.Claim{RequestID: r.RequestID, Expires: r.Expires, Digest: Digest(&r), VM: x.VM, Token: newToken()},
		fingerprint: quarantiner.Fingerprint(r.Service, r.Body),
	}
}

func (x *Executor) pick(v *planner.Version, shard int, excluded []zinniatide.BackendServerID, now zinniatide.Millis) *planner.Replica {
	x.mu.Lock()
	defer x.mu.Unlock()
	return planner.PickReplica(v, shard, excluded, now, x.Random)
}

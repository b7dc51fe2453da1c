// Package quarantiner detects requests that crash the backend servers that run
// them, and refuses to run these requests for some time. A request is identified
// by its fingerprint. A request whose fingerprint has not completed recently first
// runs as a canary, on no more servers than there are strikes left. The arbiter of
// a fingerprint is the serving VM chosen by rendezvous hashing; it allows one
// canary at a time over all VMs. Each backend server that is lost while it runs
// the canary adds a strike to the fingerprint. Any other loss only makes sure that
// there is one strike.
//
// Relay VMs send no canaries, because most of their requests come once. They
// report attempts of callers that lost servers and that no server answered to all
// control VMs. Each control VM counts them, and at the limit sends the quarantine
// to the relay VMs. Attempts that were in progress together count once, because
// they may have lost the same server, or several to one cause. An answer to an
// equal request clears the count and ends the quarantine.
package quarantiner

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/encoder"
)

// Dependencies are the dependencies of a Quarantiner.
type Dependencies struct {
	VM     zinniatide.VMID
	Clock  zinniatide.Clock
	Timer  timer.Timer
	Linker zinniatide.Linker
	// ServingVMs returns the entry VMs that take new work, sorted.
	ServingVMs func() []zinniatide.VMID
	// Counters returns the control VMs to which a relay VM reports unanswered
	// requests. It is nil on entry VMs.
	Counters   func() []zinniatide.VMID
	Registerer prometheus.Registerer
}

// Quarantiner decides whether a request may run, and on how many servers. It
// is safe for concurrent use. A nil Quarantiner allows all requests.
type Quarantiner struct {
	Dependencies
	config      Config
	mu          sync.Mutex
	table       *table
	pending     map[zinniatide.Fingerprint]*pendingCanary
	reports     reportLimit
	canaries    prometheus.Counter
	refusals    prometheus.Counter
	lostServers prometheus.Counter
}

// pendingCanary marks a fingerprint for which this VM is asking the arbiter or
// running a canary. Identical requests wait until it has ended instead of asking
// the arbiter as well.
type pendingCanary struct {
	start zinniatide.Millis
	ended chan struct{}
}

// New returns a Quarantiner and registers its metrics and link handlers.
func New(config Config, d Dependencies) *Quarantiner {
	q := &Quarantiner{Dependencies: d, config: config, pending: make(map[zinniatide.Fingerprint]*pendingCanary)}
	q.table = newTable(&q.config)
	q.canaries = prometheus.NewCounter(prometheus.CounterOpts{Name: "zinniatide_canaries_total", Help: "Requests that were first sent to one backend server."})
	q.refusals = prometheus.NewCounter(prometheus.CounterOpts{Name: "zinniatide_quarantine_refusals_total", Help: "Requests that were refused because they crash backend servers."})
	q.lostServers = prometheus.NewCounter(prometheus.CounterOpts{Name: "zinniatide_strikes_total", Help: "Backend servers that were lost while they ran a request."})
	if d.Registerer != nil {
		d.Registerer.MustRegister(q.canaries, q.refusals, q.lostServers)
	}
	d.Linker.Handle(zinniatide.KindCanary, q.handleCanary)
	d.Linker.Handle(zinniatide.KindCanaryVerdict, q.handleVerdict)
	d.Linker.Handle(zinniatide.KindQuarantine, q.handleNotice)
	d.Linker.Handle(zinniatide.KindUnanswered, q.handleUnanswered)
	return q
}

// Fingerprint returns the fingerprint of a request.
func Fingerprint(service zinniatide.ServiceID, body []byte) zinniatide.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return zinniatide.Fingerprint(d.Sum64())
}

// canaryRequest is the body of KindCanary. Crashed reports a lost backend
// server; CrashToken is the token of the canary that it ran, or zero if it did
// not run a canary. Ask requests a decision.
type canaryRequest struct {
	Fingerprint zinniatide.Fingerprint `json:"fingerprint"`
	Token       uint64                 `json:"token"`
	Crashed     bool                   `json:"crashed"`
	CrashToken  uint64                 `json:"crash-token"`
	Ask         bool                   `json:"ask"`
}

// canaryReply answers a canaryRequest.
type canaryReply struct {
	Decision decision `json:"decision"`
	Servers  int      `json:"servers"`
}

// canaryVerdict is the body of KindCanaryVerdict.
type canaryVerdict struct {
	Fingerprint zinniatide.Fingerprint `json:"fingerprint"`
	Token       uint64                 `json:"token"`
	Completed   bool                   `json:"completed"`
}

// quarantineNotice is the body of KindQuarantine. Remaining is zero if the
// fingerprint has strikes but is not quarantined. Cleared is set if it is no longer
// suspected.
type quarantineNotice struct {
	Fingerprint zinniatide.Fingerprint `json:"fingerprint"`
	Strikes     int                    `json:"strikes"`
	Remaining   zinniatide.Millis      `json:"remaining-ms"`
	Cleared     bool                   `json:"cleared,omitempty"`
}

// newToken returns a random token that is not zero.
func newToken() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// arbiter returns the VM that decides about f. It is this VM if there are no
// serving VMs.
func (q *Quarantiner) arbiter(f zinniatide.Fingerprint) zinniatide.VMID {
	if vm := picker.Pick(strconv.FormatUint(uint64(f), 16), q.ServingVMs()); vm != "" {
		return vm
	}
	return q.VM
}

// decide processes a canary request on this VM, as the arbiter or in place of an
// unreachable one.
func (q *Quarantiner) decide(r *canaryRequest) canaryReply {
	if r.Crashed {
		q.recordCrash(r.Fingerprint, r.CrashToken, true)
	}
	if !r.Ask {
		return canaryReply{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	d, servers := q.table.decide(q.Clock.Now(), r.Fingerprint, r.Token)
	return canaryReply{Decision: d, Servers: servers}
}

// recordCrash counts a lost server, and notifies the other VMs if notify is set.
func (q *Quarantiner) recordCrash(f zinniatide.Fingerprint, token uint64, notify bool) {
	now := q.Clock.Now()
	q.mu.Lock()
	quarantined := q.table.recordCrash(now, f, token)
	q.mu.Unlock()
	if quarantined {
		klog.InfoS("quarantining a request that crashed backend servers", "vm", q.VM, "step", "canary", "fingerprint", uint64(f), "lifetime-ms", q.config.QuarantineLifetime)
	}
	if notify {
		q.broadcastNotice(now, f)
	}
}

// broadcastNotice sends the strikes and the quarantine of a fingerprint to the
// other VMs. A VM that misses the notice still gets the decision when it asks
// the arbiter.
func (q *Quarantiner) broadcastNotice(now zinniatide.Millis, f zinniatide.Fingerprint) {
	q.mu.Lock()
	s := q.table.lookup(now, f)
	if s == nil {
		q.mu.Unlock()
		return
	}
	notice := quarantineNotice{Fingerprint: f, Strikes: s.strikes, Remaining: max(s.quarantinedUntil-now, 0)}
	q.mu.Unlock()
	q.sendNotice(q.ServingVMs(), &notice)
}

func (q *Quarantiner) sendNotice(to []zinniatide.VMID, notice *quarantineNotice) {
	for _, vm := range to {
		if vm == q.VM {
			continue
		}
		if err := q.Linker.Send(vm, zinniatide.KindQuarantine, notice); err != nil {
			klog.V(1).InfoS("quarantine notice not sent", "vm", q.VM, "step", "quarantine", "peer", vm, "err", err)
		}
	}
}

func (q *Quarantiner) handleCanary(_ zinniatide.VMID, body []byte, reply func(any, error)) {
	var r canaryRequest
	if err := encoder.Unmarshal(body, &r); err != nil {
		reply(nil, err)
		return
	}
	reply(q.decide(&r), nil)
}

func (q *Quarantiner) handleVerdict(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var v canaryVerdict
	if err := encoder.Unmarshal(body, &v); err != nil {
		klog.ErrorS(err, "malformed canary verdict", "vm", q.VM, "step", "canary-verdict", "peer", from)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.endCanary(q.Clock.Now(), v.Fingerprint, v.Token, v.Completed)
}

func (q *Quarantiner) handleNotice(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var n quarantineNotice
	if err := encoder.Unmarshal(body, &n); err != nil {
		klog.ErrorS(err, "malformed quarantine notice", "vm", q.VM, "step", "quarantine", "peer", from)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if n.Cleared {
		q.table.clear(n.Fingerprint)
		return
	}
	q.table.mergeNotice(q.Clock.Now(), n.Fingerprint, n.Strikes, n.Remaining)
}

// askArbiter sends r to the arbiter. If that is unreachable, this VM decides by
// itself after at most ArbiterTimeout. done may be called on a goroutine of the
// linker.
func (q *Quarantiner) askArbiter(r canaryRequest, done func(reply canaryReply)) {
	arbiter := q.arbiter(r.Fingerprint)
	if r.Crashed {
		q.lostServers.Inc()
	}
	if arbiter == q.VM {
		done(q.decide(&r))
		return
	}
	if r.Crashed {
		q.recordCrash(r.Fingerprint, r.CrashToken, false)
	}
	q.Linker.Call(arbiter, zinniatide.KindCanary, r, q.config.ArbiterTimeout, func(body []byte, err error) {
		var reply canaryReply
		if err == nil {
			err = encoder.Unmarshal(body, &reply)
		}
		if err == nil {
			q.recordGrant(&r, &reply)
			done(reply)
			return
		}
		klog.V(1).InfoS("arbiter is unreachable; deciding locally", "vm", q.VM, "step", "canary", "peer", arbiter, "err", err)
		if r.Crashed {
			q.broadcastNotice(q.Clock.Now(), r.Fingerprint)
			r.Crashed = false // this VM has already counted it above
		}
		done(q.decide(&r))
	})
}

// recordGrant records a canary granted by the arbiter in this VM's table.
func (q *Quarantiner) recordGrant(r *canaryRequest, reply *canaryReply) {
	if reply.Decision != decisionCanary {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.recordGrant(q.Clock.Now(), r.Fingerprint, r.Token, reply.Servers)
}

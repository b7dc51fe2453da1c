// Package quarantiner recognises requests that crash the backend servers that
// run them. A fingerprint that has not completed recently is first sent to one
// server, the canary. The guard of a fingerprint, one of the serving VMs,
// allows one canary at a time over all VMs.
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

// Dependencies are the parts that a Quarantiner works with.
type Dependencies struct {
	VM     zinniatide.VMID
	Clock  zinniatide.Clock
	Timer  timer.Timer
	Linker zinniatide.Linker
	// ServingVMs returns the entry VMs that take new work, sorted.
	ServingVMs func() []zinniatide.VMID
	Registerer prometheus.Registerer
}

// Quarantiner decides whether a request may run, and on how many servers. It
// is safe for concurrent use. A nil Quarantiner lets everything run.
type Quarantiner struct {
	Dependencies
	config   Config
	mu       sync.Mutex
	table    *table
	flights  map[zinniatide.Fingerprint]*flight
	canaries prometheus.Counter
	refused  prometheus.Counter
	strikes  prometheus.Counter
}

// flight is a fingerprint that this VM asks about or runs a canary of. Others
// with the same fingerprint wait for its end instead of asking the guard too.
type flight struct {
	start zinniatide.Millis
	ended chan struct{}
}

// New returns a Quarantiner and registers its handlers at the linker.
func New(config Config, d Dependencies) *Quarantiner {
	q := &Quarantiner{Dependencies: d, config: config, flights: make(map[zinniatide.Fingerprint]*flight)}
	q.table = newTable(&q.config)
	q.canaries = prometheus.NewCounter(prometheus.CounterOpts{Name: "zinniatide_canaries_total", Help: "Requests that were first sent to one backend server."})
	q.refused = prometheus.NewCounter(prometheus.CounterOpts{Name: "zinniatide_quarantine_refusals_total", Help: "Requests that were refused because they crash backend servers."})
	q.strikes = prometheus.NewCounter(prometheus.CounterOpts{Name: "zinniatide_strikes_total", Help: "Backend servers that were lost while they ran a request."})
	if d.Registerer != nil {
		d.Registerer.MustRegister(q.canaries, q.refused, q.strikes)
	}
	d.Linker.Handle(zinniatide.KindCanary, q.onCanary)
	d.Linker.Handle(zinniatide.KindCanaryVerdict, q.onVerdict)
	d.Linker.Handle(zinniatide.KindQuarantine, q.onQuarantine)
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

// canaryRequest is the body of KindCanary. With Crashed set it also reports a
// lost backend server, under the token of a canary or without one. With Ask
// set it asks for a decision.
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

// quarantineNotice is the body of KindQuarantine. Remaining is zero when the
// fingerprint only has strikes.
type quarantineNotice struct {
	Fingerprint zinniatide.Fingerprint `json:"fingerprint"`
	Strikes     int                    `json:"strikes"`
	Remaining   zinniatide.Millis      `json:"remaining-ms"`
}

func newToken() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (q *Quarantiner) guard(f zinniatide.Fingerprint) zinniatide.VMID {
	if vm := picker.Pick(strconv.FormatUint(uint64(f), 16), q.ServingVMs()); vm != "" {
		return vm
	}
	return q.VM
}

// handle runs a request at this VM as the guard.
func (q *Quarantiner) handle(r *canaryRequest) canaryReply {
	if r.Crashed {
		q.strike(r.Fingerprint, r.CrashToken, true)
	}
	if !r.Ask {
		return canaryReply{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	d, servers := q.table.ask(q.Clock.Now(), r.Fingerprint, r.Token)
	return canaryReply{Decision: d, Servers: servers}
}

// strike counts a lost server. With tell set it tells the other VMs.
func (q *Quarantiner) strike(f zinniatide.Fingerprint, token uint64, tell bool) {
	now := q.Clock.Now()
	q.mu.Lock()
	condemned := q.table.crash(now, f, token)
	q.mu.Unlock()
	if condemned {
		klog.InfoS("fingerprint quarantined", "vm", q.VM, "step", "canary", "fingerprint", uint64(f), "lifetime-ms", q.config.QuarantineTime)
	}
	if tell {
		q.broadcast(now, f)
	}
}

// broadcast tells the other VMs what this VM knows of a fingerprint. A VM that
// misses the notice learns it when it asks the guard.
func (q *Quarantiner) broadcast(now zinniatide.Millis, f zinniatide.Fingerprint) {
	q.mu.Lock()
	s := q.table.current(now, f)
	if s == nil {
		q.mu.Unlock()
		return
	}
	notice := quarantineNotice{Fingerprint: f, Strikes: s.strikes, Remaining: max(s.quarantined-now, 0)}
	q.mu.Unlock()
	for _, vm := range q.ServingVMs() {
		if vm == q.VM {
			continue
		}
		if err := q.Linker.Send(vm, zinniatide.KindQuarantine, notice); err != nil {
			klog.V(1).InfoS("quarantine notice not sent", "vm", q.VM, "step", "quarantine", "peer", vm, "err", err)
		}
	}
}

func (q *Quarantiner) onCanary(_ zinniatide.VMID, body []byte, reply func(any, error)) {
	var r canaryRequest
	if err := encoder.Unmarshal(body, &r); err != nil {
		reply(nil, err)
		return
	}
	reply(q.handle(&r), nil)
}

func (q *Quarantiner) onVerdict(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var v canaryVerdict
	if err := encoder.Unmarshal(body, &v); err != nil {
		klog.ErrorS(err, "malformed canary verdict", "vm", q.VM, "step", "canary-verdict", "peer", from)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.end(q.Clock.Now(), v.Fingerprint, v.Token, v.Completed)
}

func (q *Quarantiner) onQuarantine(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var n quarantineNotice
	if err := encoder.Unmarshal(body, &n); err != nil {
		klog.ErrorS(err, "malformed quarantine notice", "vm", q.VM, "step", "quarantine", "peer", from)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.learn(q.Clock.Now(), n.Fingerprint, n.Strikes, n.Remaining)
}

// call asks the guard. With an unreachable guard this VM decides by itself,
// after at most GuardTimeout. Done may be called on a thread of the linker.
func (q *Quarantiner) call(r canaryRequest, done func(reply canaryReply)) {
	guard := q.guard(r.Fingerprint)
	if r.Crashed {
		q.strikes.Inc()
	}
	if guard == q.VM {
		done(q.handle(&r))
		return
	}
	if r.Crashed {
		q.strike(r.Fingerprint, r.CrashToken, false)
	}
	q.Linker.Call(guard, zinniatide.KindCanary, r, q.config.GuardTimeout, func(body []byte, err error) {
		var reply canaryReply
		if err == nil {
			err = encoder.Unmarshal(body, &reply)
		}
		if err == nil {
			q.adopt(&r, &reply)
			done(reply)
			return
		}
		klog.V(1).InfoS("guard not reached", "vm", q.VM, "step", "canary", "peer", guard, "err", err)
		if r.Crashed {
			q.broadcast(q.Clock.Now(), r.Fingerprint)
			r.Crashed = false // it has been counted here
		}
		done(q.handle(&r))
	})
}

// adopt keeps a grant of the guard in the own table.
func (q *Quarantiner) adopt(r *canaryRequest, reply *canaryReply) {
	if reply.Decision != decisionCanary {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.adopt(q.Clock.Now(), r.Fingerprint, r.Token, reply.Servers)
}

// Package subscriber runs on every VM. It keeps the VM's lease by heartbeats
// to the control leader, installs the configurations that the leader pushes,
// releases buckets, and carries claims of non-idempotent requests.
package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// Timing towards the control VMs.
const (
	// heartbeatTimeout is a little above the interval. A VM so finds a silent
	// leader several times within one lease.
	heartbeatTimeout zinniatide.Millis = 450
	// failoverDelay is the upper bound of the random delay before another
	// control VM is asked, so that not all VMs ask at the same moment.
	failoverDelay zinniatide.Millis = 300
	// releaseTimeout is the wait for the answer to a bucket release.
	releaseTimeout zinniatide.Millis = 500
	// releaseRetry is the delay between two releases. What is drained in the
	// meantime goes into one message.
	releaseRetry zinniatide.Millis = 50
)

// Config tells a Subscriber about its VM.
type Config struct {
	// Member describes this VM. Its state is StateIn; Leave changes it.
	Member zinniatide.Member
	// Control is set on a VM with the role control.
	Control bool
	// ControlVMs is the set from the settings. The set of the configuration
	// replaces it once one is installed.
	ControlVMs []zinniatide.ControlVM
	// Peering returns the members to which this VM keeps links; nil selects all.
	Peering func(*zinniatide.Configuration) []zinniatide.VMID
	// Load returns the load of this VM as of controlproto.Heartbeat; nil reports
	// none.
	Load func() float64
	// HeartbeatInterval is used once a configuration is installed. The default
	// is zinniatide.HeartbeatInterval, which holds before.
	HeartbeatInterval zinniatide.Millis
}

// Subscriber implements zinniatide.ConfigurationProvider and
// zinniatide.ClaimStore. Configuration and LeaseUntil may be called from any
// thread, and so may the other methods. Its state is used by Step only.
type Subscriber struct {
	config  Config
	links   zinniatide.Linker
	clock   zinniatide.Clock
	random  *rand.Rand
	metrics *metrics

	installed  atomic.Pointer[zinniatide.Configuration]
	leaseUntil atomic.Int64

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	observers   []func(*zinniatide.Configuration)
	lease       leaseState
	contact     contact
	releases    map[zinniatide.Epoch][]bucketID
	releasing   bool
	nextRelease zinniatide.Millis
	releaseSent zinniatide.Epoch // of the last message
	claims      claimQueue
	// hints are addresses of leaders that the configuration does not name yet.
	hints map[zinniatide.VMID]string
	// knownLeader is the VM that last answered as leader.
	knownLeader atomic.Pointer[zinniatide.VMID]
	goodbyes    []func(error)
	gone        bool
}

var (
	_ zinniatide.ConfigurationProvider = (*Subscriber)(nil)
	_ zinniatide.ClaimStore            = (*Subscriber)(nil)
)

// New returns a subscriber. It registers its handlers with links, so it is
// called before links is started. Links must deliver messages to this VM
// itself, because the control leader may run here. Random is used by Step only.
func New(config Config, links zinniatide.Linker, clock zinniatide.Clock, random *rand.Rand, registerer prometheus.Registerer) *Subscriber {
	if config.Member.State == "" {
		config.Member.State = zinniatide.StateIn
	}
	s := &Subscriber{
		config: config, links: links, clock: clock, random: random,
		metrics:  newMetrics(registerer),
		wake:     make(chan struct{}, 1),
		releases: map[zinniatide.Epoch][]bucketID{},
	}
	s.installed.Store(registrar.NewConfiguration())
	links.Handle(zinniatide.KindControlPush, s.pushHandler)
	links.SetPeers(s.Peers())
	return s
}

// Configuration implements zinniatide.ConfigurationProvider.
func (s *Subscriber) Configuration() *zinniatide.Configuration { return s.installed.Load() }

// LeaseUntil implements zinniatide.ConfigurationProvider.
func (s *Subscriber) LeaseUntil() zinniatide.Millis { return zinniatide.Millis(s.leaseUntil.Load()) }

// KnownLeader returns the VM that last answered as control leader, or empty.
func (s *Subscriber) KnownLeader() zinniatide.VMID {
	if vm := s.knownLeader.Load(); vm != nil {
		return *vm
	}
	return ""
}

// OnConfiguration registers f to run on the subscriber's goroutine after each
// installed configuration. It is called before Run.
func (s *Subscriber) OnConfiguration(f func(*zinniatide.Configuration)) {
	s.observers = append(s.observers, f)
}

// Peers returns the address table for zinniatide.Linker.SetPeers: the control
// VMs and all members, without this VM. The subscriber sets it by itself
// whenever a configuration changes it.
func (s *Subscriber) Peers() map[zinniatide.VMID]string {
	c := s.Configuration()
	peers := make(map[zinniatide.VMID]string, len(c.Members)+len(s.config.ControlVMs))
	for _, vm := range controlVMs(c, s.config.ControlVMs) {
		peers[vm.VM] = vm.PeerAddress
	}
	for vm, address := range s.hints {
		peers[vm] = address
	}
	if s.config.Peering != nil {
		for _, vm := range s.config.Peering(c) {
			peers[vm] = c.Members[vm].PeerAddress
		}
	} else {
		for vm, m := range c.Members {
			peers[vm] = m.PeerAddress
		}
	}
	delete(peers, s.config.Member.VM)
	return peers
}

func controlVMs(c *zinniatide.Configuration, settings []zinniatide.ControlVM) []zinniatide.ControlVM {
	if len(c.ControlVMs) > 0 {
		return c.ControlVMs
	}
	return settings
}

// Run calls Step when something arrives or is due, until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.Step()
		now := s.clock.Now()
		timer.Reset((s.nextStep(now) - now).Duration())
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// nextStep returns when something is due that no message announces. What is
// overdue waits for a tick, because Step has just had it.
func (s *Subscriber) nextStep(now zinniatide.Millis) zinniatide.Millis {
	next := now + zinniatide.HeartbeatInterval
	if !s.lease.waiting {
		next = min(next, s.lease.nextAt)
	}
	if len(s.releases) > 0 && !s.releasing {
		next = min(next, s.nextRelease)
	}
	next = min(next, s.claims.next(next))
	return max(next, now+zinniatide.TickInterval)
}

// Step runs what has arrived and what is due. Run calls it; tests call it
// instead of Run.
func (s *Subscriber) Step() {
	for {
		s.mu.Lock()
		queue := s.queue
		s.queue = nil
		s.mu.Unlock()
		if len(queue) == 0 {
			break
		}
		for _, f := range queue {
			f()
		}
	}
	now := s.clock.Now()
	s.tickHeartbeat(now)
	s.tickReleases(now)
	s.claims.tick(s, now)
}

// post runs f in the next Step.
func (s *Subscriber) post(f func()) {
	s.mu.Lock()
	s.queue = append(s.queue, f)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// call sends a message and runs done in a later Step, with the decoded reply.
func call[T any](s *Subscriber, peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func(reply *T, err error)) {
	s.links.Call(peer, kind, body, timeout, func(body []byte, err error) {
		reply := new(T)
		if err == nil {
			err = encoder.Unmarshal(body, reply)
		}
		s.post(func() { done(reply, err) })
	})
}

// Leave announces a planned leave. The VM keeps its lease while it finishes its
// work, gets no new buckets and drops out of address answers. It cannot be
// taken back.
func (s *Subscriber) Leave() {
	s.post(func() {
		if s.config.Member.State != zinniatide.StateLeaving {
			klog.InfoS("announcing a planned leave", "step", "leave")
			s.config.Member.State = zinniatide.StateLeaving
			s.lease.nextAt = 0
		}
	})
}

// OwnedBuckets returns how many buckets this process owns in the installed
// configuration. A leaving VM waits for 0 before it calls Goodbye, unless it
// is the last one.
func (s *Subscriber) OwnedBuckets() int {
	n := 0
	for _, table := range s.Configuration().Buckets {
		for i := range table {
			if s.owns(&table[i]) {
				n++
			}
		}
	}
	return n
}

// Goodbye gives up the lease and asks the leader to remove this VM at once.
// The VM must not have work left. Done is called once, with nil when the leader
// has removed the VM. It is called with an error after the lease time without
// an answer; the leader then removes the VM when its lease has run out.
func (s *Subscriber) Goodbye(done func(error)) {
	s.post(func() {
		if !s.gone {
			s.gone = true
			s.lease.goneAt = s.clock.Now()
			s.leaseUntil.Store(0)
		}
		s.goodbyes = append(s.goodbyes, done)
		s.lease.nextAt = 0
	})
}

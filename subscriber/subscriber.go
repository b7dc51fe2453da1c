// Package subscriber is the client of the control plane and runs on every VM. It
// keeps the VM's lease by heartbeats to the control leader, installs the
// configurations that the leader pushes, releases buckets, and submits claims of
// non-idempotent requests.
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

// Timeouts and intervals of requests to control VMs.
const (
	// heartbeatTimeout is slightly longer than zinniatide.HeartbeatInterval and far
	// below LeaseDuration, so that a VM can try several control VMs within one lease
	// when the leader does not answer.
	heartbeatTimeout zinniatide.Millis = 450
	// maxFailoverDelay bounds the random delay before another control VM is
	// contacted. It keeps all VMs from doing so at the same moment.
	maxFailoverDelay zinniatide.Millis = 300
	// releaseTimeout bounds the wait for the reply to a bucket release.
	releaseTimeout zinniatide.Millis = 500
	// releaseInterval is the time between two release messages. Buckets drained
	// in the meantime share one message.
	releaseInterval zinniatide.Millis = 50
)

// Config configures a Subscriber.
type Config struct {
	// Member describes this VM. Its state is StateIn; StartLeave changes it.
	Member zinniatide.Member
	// Control is set on a VM with the control role. It is only logged;
	// Member.Control decides who may join the set of control VMs.
	Control bool
	// ControlVMs is the set from the settings file. It is used until a
	// configuration with its own set is installed, and while no control leader
	// answers.
	ControlVMs []zinniatide.ControlVM
	// OnSearch is called repeatedly while no control leader answers, so that changed
	// settings can be passed to SetControlVMs. It must not block and may be nil.
	OnSearch func()
	// SelectPeers returns the members to which this VM keeps links. A nil function
	// selects all members.
	SelectPeers func(*zinniatide.Configuration) []zinniatide.VMID
	// Load returns the value of controlproto.Heartbeat.Load. It may be nil.
	Load func() float64
	// HeartbeatInterval is used once a configuration is installed. Until then, or
	// if it is 0, zinniatide.HeartbeatInterval applies.
	HeartbeatInterval zinniatide.Millis
}

// Subscriber implements zinniatide.ConfigurationProvider and
// zinniatide.ClaimStore. Its methods may be called from any goroutine unless
// stated otherwise. State that is neither atomic nor protected by mu is used by
// Step only.
type Subscriber struct {
	config  Config
	links   zinniatide.Linker
	clock   zinniatide.Clock
	random  *rand.Rand
	metrics *metrics

	installed  atomic.Pointer[zinniatide.Configuration]
	leaseUntil atomic.Int64

	mu    sync.Mutex
	tasks []func()
	wake  chan struct{}

	configurationCallbacks []func(*zinniatide.Configuration)
	lease                  leaseState
	contact                controlContact
	releases               map[zinniatide.Epoch][]bucketID
	releaseInFlight        bool
	nextReleaseAt          zinniatide.Millis
	lastReleaseEpoch       zinniatide.Epoch // epoch of the last release message
	claims                 claimQueue
	// leaderAddresses holds the address of a leader that is not yet part of the
	// configuration.
	leaderAddresses map[zinniatide.VMID]string
	// knownLeader is the VM that last replied as leader.
	knownLeader         atomic.Pointer[zinniatide.VMID]
	deregisterCallbacks []func(error)
	deregistering       bool
}

var (
	_ zinniatide.ConfigurationProvider = (*Subscriber)(nil)
	_ zinniatide.ClaimStore            = (*Subscriber)(nil)
)

// New returns a subscriber. It registers its handlers with links, so it must be
// called before links is started. links must also deliver messages addressed to
// this VM, because the control leader may run here. random is used by Step only.
func New(config Config, links zinniatide.Linker, clock zinniatide.Clock, random *rand.Rand, registerer prometheus.Registerer) *Subscriber {
	if config.Member.State == "" {
		config.Member.State = zinniatide.StateIn
	}
	s := &Subscriber{
		config: config, links: links, clock: clock, random: random,
		metrics:  newMetrics(registerer),
		wake:     make(chan struct{}, 1),
		releases: map[zinniatide.Epoch][]bucketID{},
		contact:  controlContact{errors: map[zinniatide.VMID]string{}},
	}
	s.contact.answeredAt.Store(int64(clock.Now()))
	registerContactAge(registerer, func() zinniatide.Millis { return s.contact.silence(clock.Now()) })
	s.installed.Store(registrar.NewConfiguration())
	links.Handle(zinniatide.KindControlPush, s.pushHandler)
	links.Handle(zinniatide.KindControlLeader, s.leaderHandler)
	links.SetPeers(s.Peers())
	return s
}

// Configuration implements zinniatide.ConfigurationProvider.
func (s *Subscriber) Configuration() *zinniatide.Configuration { return s.installed.Load() }

// LeaseUntil implements zinniatide.ConfigurationProvider.
func (s *Subscriber) LeaseUntil() zinniatide.Millis { return zinniatide.Millis(s.leaseUntil.Load()) }

// ConfirmedAt returns when the control leader was last known to have no newer
// configuration than the installed one, or a time long past.
func (s *Subscriber) ConfirmedAt() zinniatide.Millis {
	return s.LeaseUntil() - zinniatide.LeaseDuration
}

// KnownLeader returns the VM that last replied as control leader, or empty if it has
// not done so for a while.
func (s *Subscriber) KnownLeader() zinniatide.VMID {
	if vm := s.knownLeader.Load(); vm != nil && s.contact.silence(s.clock.Now()) < contactLossAfter {
		return *vm
	}
	return ""
}

// OnConfiguration registers f to run on the subscriber's goroutine after each
// installed configuration. It must be called before Run.
func (s *Subscriber) OnConfiguration(f func(*zinniatide.Configuration)) {
	s.configurationCallbacks = append(s.configurationCallbacks, f)
}

// Peers returns the address table for zinniatide.Linker.SetPeers: the control
// VMs and the members selected by Config.SelectPeers, without this VM. The
// subscriber updates the links itself whenever the table changes. It must be
// called before Run or on the goroutine of Run.
func (s *Subscriber) Peers() map[zinniatide.VMID]zinniatide.Peer {
	c := s.Configuration()
	peers := make(map[zinniatide.VMID]zinniatide.Peer, len(c.Members)+len(s.config.ControlVMs))
	for _, vm := range s.controlVMs() {
		peers[vm.VM] = zinniatide.Peer{Address: vm.PeerAddress, Process: c.Members[vm.VM].Process}
	}
	for vm, address := range s.leaderAddresses {
		peers[vm] = zinniatide.Peer{Address: address, Process: c.Members[vm].Process}
	}
	add := func(vm zinniatide.VMID) {
		m := c.Members[vm]
		peers[vm] = zinniatide.Peer{Address: m.PeerAddress, Process: m.Process}
	}
	if s.config.SelectPeers != nil {
		for _, vm := range s.config.SelectPeers(c) {
			add(vm)
		}
		for _, vm := range s.contact.search.referrers {
			if _, member := c.Members[vm]; member {
				add(vm)
			}
		}
	} else {
		for vm := range c.Members {
			add(vm)
		}
	}
	delete(peers, s.config.Member.VM)
	return peers
}

// SetControlVMs replaces the control VMs of Config.
func (s *Subscriber) SetControlVMs(vms []zinniatide.ControlVM) {
	s.post(func() {
		s.config.ControlVMs = vms
		s.links.SetPeers(s.Peers())
	})
}

// Run calls Step whenever a task is posted or a timer is due, until ctx is done.
func (s *Subscriber) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.Step()
		now := s.clock.Now()
		timer.Reset((s.nextStepAt(now) - now).Duration())
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// nextStepAt returns when the next timed work is due, at least one tick from now:
// work that is already due was handled by the Step just before.
func (s *Subscriber) nextStepAt(now zinniatide.Millis) zinniatide.Millis {
	next := now + zinniatide.HeartbeatInterval
	if !s.lease.inFlight {
		next = min(next, s.lease.nextHeartbeatAt)
	}
	if s.contact.search.active {
		next = min(next, s.contact.search.nextStepAt)
	}
	if len(s.releases) > 0 && !s.releaseInFlight {
		next = min(next, s.nextReleaseAt)
	}
	next = min(next, s.claims.nextDue(next))
	return max(next, now+zinniatide.TickInterval)
}

// Step runs the posted tasks and the timed work that is due. Run calls it; tests
// call it instead of Run.
func (s *Subscriber) Step() {
	for {
		s.mu.Lock()
		tasks := s.tasks
		s.tasks = nil
		s.mu.Unlock()
		if len(tasks) == 0 {
			break
		}
		for _, f := range tasks {
			f()
		}
	}
	now := s.clock.Now()
	s.searchIfDue(now)
	s.sendHeartbeatIfDue(now)
	s.sendReleasesIfDue(now)
	s.claims.sendDue(s, now)
}

// post queues f for the next Step.
func (s *Subscriber) post(f func()) {
	s.mu.Lock()
	s.tasks = append(s.tasks, f)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// call sends a message and passes the decoded reply to done in a later Step.
func call[T any](s *Subscriber, peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func(reply *T, err error)) {
	s.links.Call(peer, kind, body, timeout, func(body []byte, err error) {
		reply := new(T)
		if err == nil {
			err = encoder.Unmarshal(body, reply)
		}
		s.post(func() { done(reply, err) })
	})
}

// StartLeave announces a planned leave. The VM keeps its lease while it
// finishes its work, gets no new buckets and is omitted from address replies.
// It cannot be undone.
func (s *Subscriber) StartLeave() {
	s.post(func() {
		if s.config.Member.State != zinniatide.StateLeaving {
			klog.InfoS("announcing a planned leave", "step", "leave")
			s.config.Member.State = zinniatide.StateLeaving
			s.lease.nextHeartbeatAt = 0
		}
	})
}

// OwnedBuckets returns the number of buckets that this process owns in the
// installed configuration. A leaving VM waits until it is 0 before it calls
// Deregister, unless it is the last VM.
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

// Deregister gives up the lease and requests the immediate removal of this VM.
// The VM must have no work left. done is called once: with nil when the leader
// has removed the VM, or with an error if no leader confirms it within the
// lease duration. In that case the leader removes the VM when its lease
// expires.
func (s *Subscriber) Deregister(done func(error)) {
	s.post(func() {
		if !s.deregistering {
			s.deregistering = true
			s.lease.deregisteringSince = s.clock.Now()
			s.leaseUntil.Store(0)
		}
		s.deregisterCallbacks = append(s.deregisterCallbacks, done)
		s.lease.nextHeartbeatAt = 0
	})
}

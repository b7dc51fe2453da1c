// Package controller implements the control plane on control VMs. The leader's
// controller keeps a session for every member VM, pushes configurations, and
// proposes tickets, membership changes, bucket moves and claims to the
// replicated log. The other controllers redirect VMs to the leader and forward
// operator requests to it.
package controller

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/registrar"
)

// Timeouts and intervals of the leader.
const (
	// replyConfirmTimeout is how long a VM may leave replies unconfirmed before
	// its lease is no longer extended. It bounds the session of a VM that does
	// not receive replies: this timeout plus the lease and its margin stays below
	// the 5 s within which an unreachable VM must be out of the configuration.
	replyConfirmTimeout zinniatide.Millis = 500
	// maxTickGap is the longest interval between two ticks after which leases
	// are still trusted. After a longer one this process was suspended and may
	// not have read heartbeats.
	maxTickGap zinniatide.Millis = 500
	// pushTimeout bounds the wait for the acknowledgement of a push.
	pushTimeout zinniatide.Millis = 1000
	// pushRetryDelay is the delay before a failed push is sent again.
	pushRetryDelay zinniatide.Millis = 200
	// forwardTimeout bounds a request to the leader in Operator methods that have
	// no timeout parameter.
	forwardTimeout zinniatide.Millis = 2000
)

// Config configures a Controller.
type Config struct {
	VM zinniatide.VMID
	// ControlVMs is the initial set of control VMs of a system that has none
	// configured yet.
	ControlVMs []zinniatide.ControlVM
	// TargetControlVMs is the target size of the set of control VMs. The leader
	// adds VMs up to this size and replaces those that are absent or not in
	// service. With 0, only tickets change the set.
	TargetControlVMs int
	// AdjustRelayCounts enables the leader's adjustment of the number of active
	// relay VMs to the load.
	AdjustRelayCounts bool
	// KnownLeader returns the leader that the subscriber of this VM last heard
	// from, or empty. It is used while the log knows no leader, as on a VM outside
	// the set of control VMs. It may be nil.
	KnownLeader func() zinniatide.VMID
	// Rollouts is nil where rollouts are not in use.
	Rollouts *Rollouts
}

// Controller implements zinniatide.Operator. Its state is accessed on the
// control goroutine only.
type Controller struct {
	config        Config
	log           zinniatide.ReplicatedLog
	links         zinniatide.Linker
	clock         zinniatide.Clock
	stateMachine  *registrar.Registrar
	ticketChecker *checker.Checker
	metrics       *metrics
	timeAfter     func(zinniatide.Millis) <-chan time.Time

	leading  bool
	sessions sessionTable
	pushes   pushCache
	lastTick zinniatide.Millis
	// nextControlSetCheck is the time of the next check of the control VM set.
	nextControlSetCheck zinniatide.Millis
	relayCounts         relayCountPlanner
	routing             routingQueue
	installWaits        []installWait
	rollouts            rolloutTable
	// routingTable is the newest table applied on this VM. It is read on any
	// goroutine.
	routingTable atomic.Pointer[registrar.RoutingTable]
	// preparing lets one routing ticket at a time be compared with the table of this
	// VM, so that a burst of tickets does not delay the control goroutine.
	preparing sync.Mutex
	// pendingJoins wait for the join entry in flight to be committed.
	pendingJoins []pendingJoin
	joinInFlight bool
}

// New returns a controller for stateMachine, which must be the state machine of
// log. It registers its handlers with links and its callbacks with log, so it
// must be called before either is started.
func New(config Config, log zinniatide.ReplicatedLog, links zinniatide.Linker, clock zinniatide.Clock, stateMachine *registrar.Registrar, ticketChecker *checker.Checker, registerer Registerer) *Controller {
	c := &Controller{
		config: config, log: log, links: links, clock: clock, stateMachine: stateMachine, ticketChecker: ticketChecker,
		metrics:   newMetrics(registerer),
		timeAfter: func(d zinniatide.Millis) <-chan time.Time { return time.After(d.Duration()) },
		sessions:  newSessionTable(),
	}
	c.routingTable.Store(&registrar.RoutingTable{})
	c.keepTable()
	stateMachine.Observe(c.onChange)
	log.OnLeadership(c.onLeadership)
	log.OnTick(c.onTick)
	c.handle(zinniatide.KindControlHeartbeat, c.heartbeatHandler)
	c.handle(zinniatide.KindControlRelease, c.releaseHandler)
	c.handle(zinniatide.KindClaim, c.claimHandler)
	c.handle(zinniatide.KindClaimResult, c.claimResultHandler)
	c.handle(zinniatide.KindControlForward, c.forwardHandler)
	c.rollouts.reset(clock.Now())
	c.handle(zinniatide.KindRolloutReport, c.rolloutReportHandler)
	return c
}

// replyFunc sends the reply to one message.
type replyFunc = func(value any, err error)

// handle registers h. For one-way messages h gets a no-op reply function.
func (c *Controller) handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	c.links.Handle(kind, func(from zinniatide.VMID, body []byte, reply func(any, error)) {
		if reply == nil {
			reply = func(any, error) {}
		}
		h(from, body, reply)
	})
}

// leadership returns the header of a reply. Leading is true only while the log
// confirms that this VM leads with a quorum.
func (c *Controller) leadership() controlproto.LeaderStatus {
	status := c.log.Status()
	leadership := controlproto.LeaderStatus{Leading: c.leading && status.Leading, Leader: status.Leader}
	if leadership.Leader == "" && c.config.KnownLeader != nil {
		leadership.Leader = c.config.KnownLeader()
	}
	configuration := c.stateMachine.Configuration()
	if m, known := configuration.Members[leadership.Leader]; known {
		leadership.LeaderAddress = m.PeerAddress
	}
	return leadership
}

// onLeadership starts or stops leading.
func (c *Controller) onLeadership(leading bool) {
	c.leading = leading
	c.sessions.reset()
	c.rollouts.reset(c.clock.Now())
	if !leading {
		c.failInstallWaits()
		return
	}
	now := c.clock.Now()
	c.lastTick = now
	// Leases granted by the previous leader may still be valid, so no member is
	// removed before a full lease has passed from now.
	members := c.stateMachine.Configuration().Members
	for _, vm := range slices.Sorted(maps.Keys(members)) {
		c.sessions.open(vm, members[vm].Process, 0, now)
	}
	klog.InfoS("became control leader", "step", "lead", "members", c.sessions.size())
	if len(c.stateMachine.Configuration().ControlVMs) == 0 && len(c.config.ControlVMs) > 0 {
		c.propose(&registrar.Command{Bootstrap: &registrar.Bootstrap{ControlVMs: c.config.ControlVMs}}, func(any, error) {})
	}
}

// onChange is called by the state machine on every control VM after each
// configuration change.
func (c *Controller) onChange(configuration *zinniatide.Configuration, delta *registrar.Delta) {
	c.metrics.epoch.Set(float64(configuration.Epoch))
	c.pushes.add(configuration, delta)
	if delta == nil || delta.Routing != nil {
		c.keepTable()
	}
	if (delta == nil || len(delta.ControlVMs) > 0) && len(configuration.ControlVMs) > 0 {
		// Posted, so that it runs after this entry has been applied: the log may
		// change its voters within the call.
		c.log.Post(func() { c.log.SetControlVMs(c.stateMachine.Configuration().ControlVMs) })
	}
	if !c.leading {
		return
	}
	if delta != nil {
		now := c.clock.Now()
		c.sessions.restartProgress(configuration.Epoch-1, now)
		for _, vm := range slices.Sorted(maps.Keys(delta.Members)) {
			m := delta.Members[vm]
			if m == nil {
				c.sessions.close(vm)
				continue
			}
			c.sessions.open(vm, m.Process, configuration.Epoch, now)
		}
	}
	c.pushToOutdated()
}

// propose encodes command and proposes it to the log. A refusal returned by the
// state machine reaches done as an error.
func (c *Controller) propose(command *registrar.Command, done func(result any, err error)) {
	command.Now = c.clock.Unix()
	data, err := command.Encode()
	if err != nil {
		done(nil, zinniatide.WrapStep(err, "encode command", string(c.config.VM)))
		return
	}
	c.log.Propose(data, func(result any, err error) {
		if refusal, ok := result.(*zinniatide.Refusal); ok && err == nil {
			err = refusal
		}
		done(result, err)
	})
}

// onTick runs the leader's periodic work: it removes members whose lease has
// expired, adjusts the control VM set and the relay counts, and retries pushes.
func (c *Controller) onTick(now zinniatide.Millis) {
	paused := now-c.lastTick > maxTickGap
	c.lastTick = now
	c.updateGauges()
	if !c.leading || !c.log.Status().Leading {
		return
	}
	c.finishInstallWaits()
	if paused {
		// This process was suspended, so heartbeats may still be unread.
		c.sessions.restartLeases(now)
		c.rollouts.ledSince = now
		return
	}
	c.removeExpired(now)
	c.reconcileControlSet(now)
	c.adjustRelayCounts(now)
	c.decideRollouts(now)
	c.pushToOutdated()
}

// updateGauges updates the gauges.
func (c *Controller) updateGauges() {
	claims, bytes := c.stateMachine.ClaimUsage()
	c.metrics.claims.Set(float64(claims))
	c.metrics.claimBytes.Set(float64(bytes))
	c.metrics.sessions.Set(float64(c.sessions.size()))
}

// removeExpired proposes one entry for all expired sessions, so that the loss
// of a zone takes a single epoch.
func (c *Controller) removeExpired(now zinniatide.Millis) {
	expired := c.sessions.expired(now)
	if len(expired) == 0 {
		return
	}
	for _, s := range expired {
		klog.InfoS("lease expired, removing VM", "step", "expire", "peer", s.VM, "process", s.Process)
	}
	c.metrics.expiredLeases.Add(float64(len(expired)))
	c.removeSessions(expired, func(error) {})
}

// removeSessions proposes the removal of sessions. Their leases are not extended
// until the outcome of the proposal is known.
func (c *Controller) removeSessions(sessions []registrar.Session, done func(error)) {
	for _, s := range sessions {
		c.sessions.setRemoving(s, true)
	}
	c.propose(&registrar.Command{Remove: &registrar.Removal{Sessions: sessions}}, func(_ any, err error) {
		refusal := controlproto.FromError(err)
		for _, s := range sessions {
			// After an unknown outcome the entry may still be committed, so the
			// session gets no lease until this VM becomes leader again.
			if refusal == nil || refusal.Outcome == zinniatide.OutcomeNotRun {
				c.sessions.setRemoving(s, false)
			}
		}
		done(err)
	})
}

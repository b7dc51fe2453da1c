// Package controller runs on control VMs. The controller of the leader keeps
// the sessions of all VMs, pushes configurations to them, and proposes
// tickets, members, bucket moves and claims. The other controllers name the
// leader and forward operators' requests to it.
package controller

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/registrar"
)

// Timing of the leader's work.
const (
	// confirmWindow is how long a VM may leave replies unconfirmed before its
	// lease is no longer extended. It bounds how long a VM whose replies are
	// lost on the way keeps a session: window, lease and margin are below the
	// 5 s within which a VM that is cut off must be out of the configuration.
	confirmWindow zinniatide.Millis = 500
	// pauseLimit is the gap between two ticks after which heartbeats may have
	// been missed because this process did not run.
	pauseLimit zinniatide.Millis = 500
	// pushTimeout bounds the wait for the acknowledgement of a push.
	pushTimeout zinniatide.Millis = 1000
	// pushRetry is the delay before a failed push is repeated.
	pushRetry zinniatide.Millis = 200
	// forwardTimeout bounds a request forwarded to the leader when the caller
	// gives no timeout.
	forwardTimeout zinniatide.Millis = 2000
)

// Config tells a Controller about its VM.
type Config struct {
	VM zinniatide.VMID
	// ControlVMs is the set given to a system that has none configured yet.
	ControlVMs []zinniatide.ControlVM
	// Voters is the wanted number of control VMs. The leader then adds and
	// replaces them by itself; with 0 only tickets change them.
	Voters int
	// CountRelays has the leader follow the load with the number of relay VMs
	// that callers are sent to.
	CountRelays bool
	// KnownLeader names the leader known to this VM while its log knows none,
	// as on a control VM that is not in the set. It may be nil.
	KnownLeader func() zinniatide.VMID
}

// Controller implements zinniatide.Operator. Its state is used on the control
// thread only.
type Controller struct {
	config   Config
	log      zinniatide.ReplicatedLog
	links    zinniatide.Linker
	clock    zinniatide.Clock
	machine  *registrar.Registrar
	checker  *checker.Checker
	metrics  *metrics
	waitTime func(zinniatide.Millis) <-chan time.Time

	leading  bool
	sessions sessionTable
	pushes   pushCache
	lastTick zinniatide.Millis
	// nextControlSet is when the set of control VMs is checked again.
	nextControlSet zinniatide.Millis
	relays         relayCounter
	// joins wait for the entry of the members before them.
	joins     []joining
	joinsOpen bool
}

// New returns a controller over machine, which must be the state machine of
// log. It registers its handlers with links and its callbacks with log, so it
// is called before either is started.
func New(config Config, log zinniatide.ReplicatedLog, links zinniatide.Linker, clock zinniatide.Clock, machine *registrar.Registrar, tickets *checker.Checker, registerer Registerer) *Controller {
	c := &Controller{
		config: config, log: log, links: links, clock: clock, machine: machine, checker: tickets,
		metrics:  newMetrics(registerer),
		waitTime: func(d zinniatide.Millis) <-chan time.Time { return time.After(d.Duration()) },
		sessions: newSessionTable(),
	}
	machine.Observe(c.onChange)
	log.OnLeadership(c.onLeadership)
	log.OnTick(c.onTick)
	c.handle(zinniatide.KindControlHeartbeat, c.heartbeatHandler)
	c.handle(zinniatide.KindControlRelease, c.releaseHandler)
	c.handle(zinniatide.KindClaim, c.claimHandler)
	c.handle(zinniatide.KindClaimResult, c.claimResultHandler)
	c.handle(zinniatide.KindControlForward, c.forwardHandler)
	return c
}

// replyFunc answers one message.
type replyFunc = func(value any, err error)

// handle registers h. Reply is never nil within h.
func (c *Controller) handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	c.links.Handle(kind, func(from zinniatide.VMID, body []byte, reply func(any, error)) {
		if reply == nil {
			reply = func(any, error) {}
		}
		h(from, body, reply)
	})
}

// leadership opens every reply. Heartbeats and claims are only answered while
// the log says that this VM leads with a quorum at this moment.
func (c *Controller) leadership() controlproto.Leadership {
	status := c.log.Status()
	lead := controlproto.Leadership{Leading: c.leading && status.Leading, Leader: status.Leader}
	if lead.Leader == "" && c.config.KnownLeader != nil {
		lead.Leader = c.config.KnownLeader()
	}
	configuration := c.machine.Configuration()
	if m, known := configuration.Members[lead.Leader]; known {
		lead.LeaderAddress = m.PeerAddress
	}
	return lead
}

// onLeadership starts or ends the leader's work.
func (c *Controller) onLeadership(leading bool) {
	c.leading = leading
	c.sessions.reset()
	if !leading {
		return
	}
	now := c.clock.Now()
	c.lastTick = now
	// Leases that the last leader granted may still run, so every member gets
	// a full lease from here before it can be removed.
	members := c.machine.Configuration().Members
	for _, vm := range slices.Sorted(maps.Keys(members)) {
		c.sessions.open(vm, members[vm].Incarnation, 0, now)
	}
	klog.InfoS("leading the control VMs", "step", "lead", "members", c.sessions.size())
	if len(c.machine.Configuration().ControlVMs) == 0 && len(c.config.ControlVMs) > 0 {
		c.propose(&registrar.Command{Bootstrap: &registrar.Bootstrap{ControlVMs: c.config.ControlVMs}}, func(any, error) {})
	}
}

// onChange follows the state machine on every control VM.
func (c *Controller) onChange(configuration *zinniatide.Configuration, delta *registrar.Delta) {
	c.metrics.epoch.Set(float64(configuration.Epoch))
	c.pushes.add(configuration, delta)
	if (delta == nil || len(delta.ControlVMs) > 0) && len(configuration.ControlVMs) > 0 {
		// After this entry: the log may change its voters in the call.
		c.log.Post(func() { c.log.SetControlVMs(c.machine.Configuration().ControlVMs) })
	}
	if !c.leading {
		return
	}
	if delta != nil {
		now := c.clock.Now()
		for _, vm := range slices.Sorted(maps.Keys(delta.Members)) {
			m := delta.Members[vm]
			if m == nil {
				c.sessions.close(vm)
				continue
			}
			c.sessions.open(vm, m.Incarnation, configuration.Epoch, now)
		}
	}
	c.pushAll()
}

// propose encodes command and hands it to the log.
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

// onTick removes members whose lease has run out, and repeats failed pushes.
func (c *Controller) onTick(now zinniatide.Millis) {
	paused := now-c.lastTick > pauseLimit
	c.lastTick = now
	c.measure()
	if !c.leading || !c.log.Status().Leading {
		return
	}
	if paused {
		// This process stood still, so heartbeats may wait unread.
		c.sessions.restart(now)
		return
	}
	c.removeExpired(now)
	c.tendControlSet(now)
	c.tendRelays(now)
	c.pushAll()
}

// measure updates the gauges.
func (c *Controller) measure() {
	claims, bytes := c.machine.ClaimLoad()
	c.metrics.claims.Set(float64(claims))
	c.metrics.claimBytes.Set(float64(bytes))
	c.metrics.sessions.Set(float64(c.sessions.size()))
}

// removeExpired proposes one entry for all expired sessions, so that the loss
// of a zone costs one epoch.
func (c *Controller) removeExpired(now zinniatide.Millis) {
	expired := c.sessions.expired(now)
	if len(expired) == 0 {
		return
	}
	for _, s := range expired {
		klog.InfoS("removing a VM whose lease has expired", "step", "expire", "peer", s.VM, "incarnation", s.Incarnation)
	}
	c.metrics.expired.Add(float64(len(expired)))
	c.remove(expired, func(error) {})
}

// remove proposes the removal of sessions. Until its fate is known they get no
// lease.
func (c *Controller) remove(gone []registrar.Session, done func(error)) {
	for _, s := range gone {
		c.sessions.setRemoving(s, true)
	}
	c.propose(&registrar.Command{Remove: &registrar.Removal{Sessions: gone}}, func(_ any, err error) {
		refusal := controlproto.FromError(err)
		for _, s := range gone {
			// An entry of open fate may still be committed. The session then
			// stays without lease until this VM leads again.
			if refusal == nil || refusal.Outcome == zinniatide.OutcomeNotRun {
				c.sessions.setRemoving(s, false)
			}
		}
		done(err)
	})
}

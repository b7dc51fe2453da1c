// Package registrar holds the control state: configuration, ticket numbers,
// members, bucket owners and claims of non-idempotent requests. It is a
// deterministic state machine behind the replicated log.
package registrar

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Registrar implements zinniatide.StateMachine. All methods are called on the
// control thread. The configurations that it hands out are immutable.
type Registrar struct {
	configuration *zinniatide.Configuration
	clock         zinniatide.Millis // log clock, unix milliseconds
	tickets       ticketTable
	moves         map[bucketKey]zinniatide.Epoch // epoch at which the pending move began
	claims        claimTable
	// document is the operator's notation of the routing table in force.
	document []byte
	// serving belongs to configuration; nil when it has to be computed. Only
	// entries that call assignBuckets change it.
	serving   *serving
	observers []Observer
}

// Observer is called after the configuration has changed. Delta is nil after a
// snapshot has replaced the whole state.
type Observer func(c *zinniatide.Configuration, delta *Delta)

// New returns the state before the first entry.
func New() *Registrar {
	return &Registrar{
		configuration: NewConfiguration(),
		tickets:       newTicketTable(),
		moves:         map[bucketKey]zinniatide.Epoch{},
		claims:        newClaimTable(),
	}
}

// Observe registers f.
func (r *Registrar) Observe(f Observer) { r.observers = append(r.observers, f) }

// Configuration returns the newest accepted configuration.
func (r *Registrar) Configuration() *zinniatide.Configuration { return r.configuration }

// LogClock returns the highest wall-clock time that an entry has carried, in
// unix milliseconds.
func (r *Registrar) LogClock() zinniatide.Millis { return r.clock }

// Apply implements zinniatide.StateMachine. The result is a
// zinniatide.TicketReply for a ticket, a zinniatide.ClaimReply for a claim, a
// *zinniatide.Refusal when the command was refused, and the zinniatide.Epoch
// after the entry otherwise. A malformed entry changes nothing.
func (r *Registrar) Apply(index uint64, data []byte) any {
	if len(data) == 0 {
		return r.configuration.Epoch
	}
	command, err := DecodeCommand(data)
	if err != nil {
		klog.ErrorS(err, "ignored a malformed log entry", "step", "apply", "index", index)
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "log entry %d: %v", index, err)
	}
	r.clock = max(r.clock, command.Now)
	r.claims.dropExpired(r.clock)
	return r.apply(command)
}

func (r *Registrar) apply(c *Command) any {
	switch {
	case c.Ticket != nil:
		return r.applyTicket(c.Ticket)
	case c.Join != nil:
		return r.applyJoin(c.Join)
	case c.Remove != nil:
		return r.applyRemoval(c.Remove)
	case c.Release != nil:
		return r.applyRelease(c.Release)
	case c.Claim != nil:
		return r.applyClaim(c.Claim)
	case c.Result != nil:
		r.claims.finish(c.Result, r.clock)
		return r.configuration.Epoch
	case c.Zone != nil:
		return r.applyZone(c.Zone)
	case c.Relays != nil:
		change := newChange(r.configuration)
		change.add(Delta{ActiveRelays: c.Relays.Zones})
		return r.commit(change)
	case c.Control != nil:
		return r.applyControl(c.Control)
	default:
		return r.applyBootstrap(c.Bootstrap)
	}
}

// commit publishes c as the next epoch, unless it changes nothing.
func (r *Registrar) commit(c *change) zinniatide.Epoch {
	if c.delta.empty() {
		return r.configuration.Epoch
	}
	c.delta.Epoch = r.configuration.Epoch + 1
	c.next.Epoch = c.delta.Epoch
	r.configuration = c.next
	for _, f := range r.observers {
		f(r.configuration, &c.delta)
	}
	return r.configuration.Epoch
}

// applyBootstrap takes effect only while no control VMs are configured, so a
// second leader cannot undo a ticket with it.
func (r *Registrar) applyBootstrap(b *Bootstrap) any {
	if len(r.configuration.ControlVMs) > 0 || len(b.ControlVMs) == 0 {
		return r.configuration.Epoch
	}
	c := newChange(r.configuration)
	c.add(Delta{ControlVMs: b.ControlVMs})
	return r.commit(c)
}

// Package registrar implements the control state: configuration, accepted
// tickets, members, bucket owners and claims of non-idempotent requests. It is
// the deterministic state machine applied by the replicated log.
package registrar

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Registrar implements zinniatide.StateMachine. All methods must be called on
// the control goroutine. The configurations it returns are immutable.
type Registrar struct {
	configuration *zinniatide.Configuration
	logClock      zinniatide.Millis // unix milliseconds
	tickets       ticketTable
	pendingMoves  map[bucketKey]zinniatide.Epoch // epoch at which each pending bucket move began
	claims        claimTable
	// replaced are the last processes of each member that other processes have
	// replaced, oldest first.
	replaced map[zinniatide.VMID][]zinniatide.ProcessID
	// routingDocument is the current routing table as the operator wrote it.
	routingDocument []byte
	// zoneOrders counts the zone state changes that took effect, also those that
	// changed nothing.
	zoneOrders uint64
	// eligible caches the VMs of configuration that may own buckets; nil means it
	// must be computed. It stays valid between calls of assignBuckets, because
	// only entries that call it can change these VMs.
	eligible  *eligibleOwners
	observers []Observer
}

// Observer is called after the configuration has changed. Delta is nil when a
// snapshot has replaced the whole state.
type Observer func(c *zinniatide.Configuration, delta *Delta)

// New returns the state before the first log entry.
func New() *Registrar {
	return &Registrar{
		configuration: NewConfiguration(),
		tickets:       newTicketTable(),
		pendingMoves:  map[bucketKey]zinniatide.Epoch{},
		claims:        newClaimTable(),
		replaced:      map[zinniatide.VMID][]zinniatide.ProcessID{},
	}
}

// Observe registers f.
func (r *Registrar) Observe(f Observer) { r.observers = append(r.observers, f) }

// Configuration returns the current configuration.
func (r *Registrar) Configuration() *zinniatide.Configuration { return r.configuration }

// LogClock returns the highest wall-clock time carried by any applied entry, in
// unix milliseconds.
func (r *Registrar) LogClock() zinniatide.Millis { return r.logClock }

// Apply implements zinniatide.StateMachine. The result is a
// zinniatide.TicketReply for a ticket, a zinniatide.ClaimReply for a claim, a
// zinniatide.Rollout for the start of a rollout, a *zinniatide.Refusal if the command is refused, and otherwise the
// zinniatide.Epoch after the entry. A malformed entry has no effect.
func (r *Registrar) Apply(index uint64, data []byte) any {
	if len(data) == 0 {
		return r.configuration.Epoch
	}
	command, err := DecodeCommand(data)
	if err != nil {
		klog.ErrorS(err, "ignoring malformed log entry", "step", "apply", "index", index)
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "log entry %d: %v", index, err)
	}
	r.logClock = max(r.logClock, command.Now)
	r.claims.dropExpired(r.logClock)
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
		r.claims.recordResult(c.Result, r.logClock)
		return r.configuration.Epoch
	case c.ZoneState != nil:
		return r.applyZoneState(c.ZoneState)
	case c.Routing != nil:
		return r.applyRouting(c.Routing)
	case c.RolloutStart != nil:
		return r.applyRolloutStart(c.RolloutStart)
	case c.RolloutStep != nil:
		return r.applyRolloutStep(c.RolloutStep)
	case c.ActiveRelays != nil:
		tx := newTransaction(r.configuration)
		tx.add(Delta{ActiveRelays: c.ActiveRelays.Zones})
		return r.commit(tx)
	case c.ControlVMs != nil:
		return r.applyControlChange(c.ControlVMs)
	default:
		return r.applyBootstrap(c.Bootstrap)
	}
}

// commit publishes the configuration of tx as the next epoch and returns the
// current epoch. An empty transaction starts no epoch.
func (r *Registrar) commit(tx *transaction) zinniatide.Epoch {
	if tx.delta.empty() {
		return r.configuration.Epoch
	}
	tx.delta.Epoch = r.configuration.Epoch + 1
	tx.next.Epoch = tx.delta.Epoch
	r.configuration = tx.next
	for _, f := range r.observers {
		f(r.configuration, &tx.delta)
	}
	return r.configuration.Epoch
}

// applyBootstrap sets the control VMs if none are configured. Otherwise it has
// no effect, so that the bootstrap of a second leader cannot overwrite a ticket.
func (r *Registrar) applyBootstrap(b *Bootstrap) any {
	if len(r.configuration.ControlVMs) > 0 || len(b.ControlVMs) == 0 {
		return r.configuration.Epoch
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{ControlVMs: b.ControlVMs})
	return r.commit(tx)
}

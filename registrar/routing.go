package registrar

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// RoutingDocument returns the current routing table as the operator wrote it,
// or nil if none has been accepted yet.
func (r *Registrar) RoutingDocument() []byte { return r.routingDocument }

// ZoneOrders returns the number of zone state changes so far.
func (r *Registrar) ZoneOrders() uint64 { return r.zoneOrders }

func (r *Registrar) applyZoneState(z *ZoneStateChange) any {
	if z.Zone == "" || len(z.Zone) > zinniatide.MaxIDLength || z.State != zinniatide.StateIn && z.State != zinniatide.StateOut {
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "zone %q cannot be set to %q", z.Zone, z.State)
	}
	if z.After != nil && *z.After != r.zoneOrders {
		return zinniatide.Epoch(0) // another change came first
	}
	r.zoneOrders++
	state := zinniatide.StateSetting{State: z.State}
	if old, known := r.configuration.AvailabilityZones[z.Zone]; known && old == state {
		return r.configuration.Epoch
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{AvailabilityZones: map[zinniatide.ZoneID]*zinniatide.StateSetting{z.Zone: &state}})
	r.assignBuckets(tx)
	return r.commit(tx)
}

// applyControlChange replaces the set of control VMs if it still equals
// change.Before.
func (r *Registrar) applyControlChange(change *ControlVMsChange) any {
	if len(change.After) == 0 || !checker.EqualControlVMs(r.configuration.ControlVMs, change.Before) {
		return r.configuration.Epoch
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{ControlVMs: change.After})
	return r.commit(tx)
}

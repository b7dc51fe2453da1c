package registrar

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// RoutingDocument returns the operator's notation of the routing table in
// force, or nil before the first.
func (r *Registrar) RoutingDocument() []byte { return r.document }

// applyZone sets the state of a zone.
func (r *Registrar) applyZone(z *ZoneOrder) any {
	if z.Zone == "" || len(z.Zone) > zinniatide.MaxIDLength || z.State != zinniatide.StateIn && z.State != zinniatide.StateOut {
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "zone %q cannot be set to %q", z.Zone, z.State)
	}
	state := zinniatide.StateSetting{State: z.State}
	if old, known := r.configuration.AvailabilityZones[z.Zone]; known && old == state {
		return r.configuration.Epoch
	}
	c := newChange(r.configuration)
	c.add(Delta{AvailabilityZones: map[zinniatide.ZoneID]*zinniatide.StateSetting{z.Zone: &state}})
	r.assignBuckets(c)
	return r.commit(c)
}

// applyControl replaces the set of control VMs.
func (r *Registrar) applyControl(change *ControlChange) any {
	if len(change.After) == 0 || !checker.SameControlVMs(r.configuration.ControlVMs, change.Before) {
		return r.configuration.Epoch
	}
	c := newChange(r.configuration)
	c.add(Delta{ControlVMs: change.After})
	return r.commit(c)
}

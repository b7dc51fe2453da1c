package registrar

import (
	"zinniatide.example/zinniatide"
)

// applyJoin adds a member, replaces its incarnation or updates its state.
func (r *Registrar) applyJoin(m *zinniatide.Member) any {
	if err := CheckMember(m); err != nil {
		return err
	}
	old, known := r.configuration.Members[m.VM]
	if known && old == *m {
		return r.configuration.Epoch
	}
	if known && old.Incarnation > m.Incarnation {
		return zinniatide.Refuse(zinniatide.CodeSuperseded, "VM %s has incarnation %d, not %d", m.VM, old.Incarnation, m.Incarnation)
	}
	c := newChange(r.configuration)
	c.add(Delta{Members: map[zinniatide.VMID]*zinniatide.Member{m.VM: m}})
	r.assignBuckets(c)
	return r.commit(c)
}

// CheckMember returns a *zinniatide.Refusal when m cannot become a member.
func CheckMember(m *zinniatide.Member) error {
	switch {
	case m.VM == "" || len(m.VM) > zinniatide.MaxIDLength:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "VM id must have 1 to %d bytes", zinniatide.MaxIDLength)
	case m.Zone == "" || len(m.Zone) > zinniatide.MaxIDLength:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "zone of VM %s must have 1 to %d bytes", m.VM, zinniatide.MaxIDLength)
	case m.State != zinniatide.StateIn && m.State != zinniatide.StateLeaving:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "state of VM %s is %q, want in or leaving", m.VM, m.State)
	}
	return nil
}

// applyRemoval removes members. A session that has been replaced by a later
// incarnation stays.
func (r *Registrar) applyRemoval(removal *Removal) any {
	gone := map[zinniatide.VMID]*zinniatide.Member{}
	for _, s := range removal.Sessions {
		if m, ok := r.configuration.Members[s.VM]; ok && m.Incarnation == s.Incarnation {
			gone[s.VM] = nil
		}
	}
	c := newChange(r.configuration)
	c.add(Delta{Members: gone})
	r.assignBuckets(c)
	return r.commit(c)
}

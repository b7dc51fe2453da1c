package registrar

import (
	"zinniatide.example/zinniatide"
)

// applyJoin adds members, replaces their incarnation or updates their state. A
// member that is malformed or has been replaced by a later incarnation is left
// out; its VM learns that from its next heartbeat.
func (r *Registrar) applyJoin(join *Join) any {
	joined := map[zinniatide.VMID]*zinniatide.Member{}
	for i := range join.Members {
		m := &join.Members[i]
		old, known := r.configuration.Members[m.VM]
		if earlier := joined[m.VM]; earlier != nil {
			old, known = *earlier, true
		}
		if CheckMember(m) == nil && (!known || old.Incarnation <= m.Incarnation && old != *m) {
			joined[m.VM] = m
		}
	}
	if len(joined) == 0 {
		return r.configuration.Epoch
	}
	c := newChange(r.configuration)
	c.add(Delta{Members: joined})
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
	if len(gone) == 0 {
		return r.configuration.Epoch
	}
	c := newChange(r.configuration)
	c.add(Delta{Members: gone})
	r.assignBuckets(c)
	return r.commit(c)
}

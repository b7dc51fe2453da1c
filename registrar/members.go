package registrar

import (
	"zinniatide.example/zinniatide"
)

// applyJoin adds members, replaces their incarnation or updates their state. It
// skips members that are malformed or already replaced by a later incarnation;
// their VMs learn of it from the reply to their next heartbeat.
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
	tx := newTransaction(r.configuration)
	tx.add(Delta{Members: joined})
	r.assignBuckets(tx)
	return r.commit(tx)
}

// CheckMember returns a *zinniatide.Refusal if m is not a valid member.
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

// applyRemoval removes members. It skips members whose current incarnation
// differs from the one to remove.
func (r *Registrar) applyRemoval(removal *Removal) any {
	removed := map[zinniatide.VMID]*zinniatide.Member{}
	for _, s := range removal.Sessions {
		if m, ok := r.configuration.Members[s.VM]; ok && m.Incarnation == s.Incarnation {
			removed[s.VM] = nil
		}
	}
	if len(removed) == 0 {
		return r.configuration.Epoch
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{Members: removed})
	r.assignBuckets(tx)
	return r.commit(tx)
}

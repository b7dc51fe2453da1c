package controller

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

// session is what the leader knows of one member.
type session struct {
	vm          zinniatide.VMID
	incarnation zinniatide.Incarnation
	// heard is when the last heartbeat that extended the lease was received.
	heard zinniatide.Millis
	// confirmed is when the VM last showed that it received a reply, and
	// answered is the sequence of the heartbeat that was replied to.
	confirmed zinniatide.Millis
	answered  uint64
	// contacted is set by the first heartbeat to this leader.
	contacted bool
	// installed is the epoch that the VM last acknowledged, 0 if unknown.
	installed zinniatide.Epoch
	// floor is the epoch at which the incarnation became a member. It gets no
	// lease before it has installed this epoch.
	floor zinniatide.Epoch
	// pushing is set while a push waits for its acknowledgement, retryAt
	// delays the next one after a failure.
	pushing bool
	pushed  zinniatide.Millis
	retryAt zinniatide.Millis
	// removing is set while the removal of the member is proposed.
	removing bool
	// load is what the VM reported of itself, 1 for what it should have.
	load float64
}

// sessionTable holds the sessions of all members.
type sessionTable struct {
	rows  []session
	index map[zinniatide.VMID]int
}

func newSessionTable() sessionTable { return sessionTable{index: map[zinniatide.VMID]int{}} }

func (t *sessionTable) size() int { return len(t.rows) }

func (t *sessionTable) reset() {
	t.rows = t.rows[:0]
	clear(t.index)
}

// get returns the session of vm, or nil. The pointer is valid until the table
// changes.
func (t *sessionTable) get(vm zinniatide.VMID) *session {
	if i, ok := t.index[vm]; ok {
		return &t.rows[i]
	}
	return nil
}

// open starts the session of an incarnation unless it exists. Epoch is the one
// at which it became a member, or 0 when that is unknown.
func (t *sessionTable) open(vm zinniatide.VMID, incarnation zinniatide.Incarnation, epoch zinniatide.Epoch, now zinniatide.Millis) {
	s := t.get(vm)
	if s == nil {
		t.index[vm] = len(t.rows)
		t.rows = append(t.rows, session{})
		s = &t.rows[len(t.rows)-1]
	} else if s.incarnation == incarnation {
		return
	}
	*s = session{vm: vm, incarnation: incarnation, floor: epoch, heard: now, confirmed: now}
}

func (t *sessionTable) close(vm zinniatide.VMID) {
	i, ok := t.index[vm]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.index[t.rows[i].vm] = i
	t.rows = t.rows[:last]
	delete(t.index, vm)
}

// restart counts all leases from now.
func (t *sessionTable) restart(now zinniatide.Millis) {
	for i := range t.rows {
		t.rows[i].heard = now
		t.rows[i].confirmed = now
	}
}

// expired returns the sessions whose lease and margin have run out.
func (t *sessionTable) expired(now zinniatide.Millis) []registrar.Session {
	var out []registrar.Session
	for i := range t.rows {
		s := &t.rows[i]
		if !s.removing && now-s.heard > zinniatide.LeaseDuration+zinniatide.LeaseMargin {
			out = append(out, registrar.Session{VM: s.vm, Incarnation: s.incarnation})
		}
	}
	return out
}

func (t *sessionTable) setRemoving(id registrar.Session, removing bool) {
	if s := t.get(id.VM); s != nil && s.incarnation == id.Incarnation {
		s.removing = removing
	}
}

// hear notes a heartbeat and reports whether it extends the lease. It does not
// once the VM has failed to confirm replies for longer than confirmWindow:
// otherwise a VM that can send but not receive would keep its buckets for
// ever without a lease to serve them.
func (s *session) hear(answered uint64, now zinniatide.Millis) bool {
	if !s.contacted || answered > s.answered {
		s.contacted = true
		s.answered = answered
		s.confirmed = now
	}
	if s.removing || now-s.confirmed > confirmWindow {
		return false
	}
	s.heard = now
	return true
}

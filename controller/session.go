package controller

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

// session is the leader's state of one member.
type session struct {
	vm      zinniatide.VMID
	process zinniatide.ProcessID
	// leaseExtendedAt is when the last heartbeat that extended the lease was
	// received.
	leaseExtendedAt zinniatide.Millis
	// replyConfirmedAt is when the VM last confirmed the receipt of a reply, and
	// lastAnswered is the sequence of the heartbeat that the reply answered.
	replyConfirmedAt zinniatide.Millis
	lastAnswered     uint64
	// heartbeatSeen is set by the first heartbeat to this leader.
	heartbeatSeen bool
	// installedEpoch is the newest epoch acknowledged by the VM, 0 if unknown.
	installedEpoch zinniatide.Epoch
	// joinEpoch is the epoch at which the process became a member, 0 if
	// unknown. The VM holds no lease before it has installed this epoch.
	joinEpoch zinniatide.Epoch
	// progressAt is when the VM last installed an epoch, or when there was one to
	// install after it had installed all. reportedBehind is set once the VM has been
	// reported as behind since then.
	progressAt     zinniatide.Millis
	reportedBehind bool
	// pushInFlight is set while a push sent at pushedAt is unacknowledged.
	// nextPushAt delays the next push after a failure.
	pushInFlight bool
	pushedAt     zinniatide.Millis
	nextPushAt   zinniatide.Millis
	// removing is set while a proposed removal of the member is undecided.
	removing bool
	// load is the load reported by the VM, as a share of its target load.
	load float64
}

// sessionTable holds the sessions of all members.
type sessionTable struct {
	entries []session
	index   map[zinniatide.VMID]int
}

func newSessionTable() sessionTable { return sessionTable{index: map[zinniatide.VMID]int{}} }

func (t *sessionTable) size() int { return len(t.entries) }

func (t *sessionTable) reset() {
	t.entries = t.entries[:0]
	clear(t.index)
}

// get returns the session of vm, or nil. The pointer is valid until a session is
// opened or closed.
func (t *sessionTable) get(vm zinniatide.VMID) *session {
	if i, ok := t.index[vm]; ok {
		return &t.entries[i]
	}
	return nil
}

// open starts the session of a process unless it exists. Epoch is the one
// at which the process became a member, or 0 if unknown.
func (t *sessionTable) open(vm zinniatide.VMID, process zinniatide.ProcessID, epoch zinniatide.Epoch, now zinniatide.Millis) {
	s := t.get(vm)
	if s == nil {
		t.index[vm] = len(t.entries)
		t.entries = append(t.entries, session{})
		s = &t.entries[len(t.entries)-1]
	} else if s.process == process {
		return
	}
	*s = session{vm: vm, process: process, joinEpoch: epoch, leaseExtendedAt: now, replyConfirmedAt: now, progressAt: now}
}

func (t *sessionTable) close(vm zinniatide.VMID) {
	i, ok := t.index[vm]
	if !ok {
		return
	}
	last := len(t.entries) - 1
	t.entries[i] = t.entries[last]
	t.index[t.entries[i].vm] = i
	t.entries = t.entries[:last]
	delete(t.index, vm)
}

// restartLeases restarts the expiry of all leases at now.
func (t *sessionTable) restartLeases(now zinniatide.Millis) {
	for i := range t.entries {
		t.entries[i].leaseExtendedAt = now
		t.entries[i].replyConfirmedAt = now
	}
}

// expired returns the sessions whose lease and margin have expired.
func (t *sessionTable) expired(now zinniatide.Millis) []registrar.Session {
	var out []registrar.Session
	for i := range t.entries {
		s := &t.entries[i]
		if !s.removing && now-s.leaseExtendedAt > zinniatide.LeaseDuration+zinniatide.LeaseMargin {
			out = append(out, registrar.Session{VM: s.vm, Process: s.process})
		}
	}
	return out
}

func (t *sessionTable) setRemoving(id registrar.Session, removing bool) {
	if s := t.get(id.VM); s != nil && s.process == id.Process {
		s.removing = removing
	}
}

// recordHeartbeat records a heartbeat and reports whether it extends the lease.
// It does not extend it once the VM has not confirmed a reply for longer than
// replyConfirmTimeout: otherwise a VM that can send but not receive would own
// its buckets forever without a lease to serve them.
func (s *session) recordHeartbeat(answered uint64, now zinniatide.Millis) bool {
	if !s.heartbeatSeen || answered > s.lastAnswered {
		s.heartbeatSeen = true
		s.lastAnswered = answered
		s.replyConfirmedAt = now
	}
	if s.removing || now-s.replyConfirmedAt > replyConfirmTimeout {
		return false
	}
	s.leaseExtendedAt = now
	return true
}

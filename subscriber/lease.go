package subscriber

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// leaseState is the state of the heartbeats and of the granted lease.
type leaseState struct {
	sequence           uint64
	lastAnswered       uint64 // highest sequence answered by a leader
	nextHeartbeatAt    zinniatide.Millis
	inFlight           bool
	deregisteringSince zinniatide.Millis
	// pendingUntil is the end of a granted lease that becomes valid once
	// pendingEpoch is installed.
	pendingUntil zinniatide.Millis
	pendingEpoch zinniatide.Epoch
}

// sendHeartbeatIfDue sends the next heartbeat if it is due and none is in flight.
func (s *Subscriber) sendHeartbeatIfDue(now zinniatide.Millis) {
	if s.deregistering && now-s.lease.deregisteringSince > zinniatide.LeaseDuration {
		s.completeDeregistration(errors.New("no control leader confirmed the deregistration within the lease duration"))
		return
	}
	if s.lease.inFlight || now < s.lease.nextHeartbeatAt || s.deregistering && len(s.deregisterCallbacks) == 0 {
		return
	}
	contacted := s.contactVM()
	if contacted == "" {
		return
	}
	s.lease.inFlight = true
	s.lease.sequence++
	s.lease.nextHeartbeatAt = now + s.heartbeatInterval()
	h := &controlproto.Heartbeat{
		Member: s.config.Member, Epoch: s.Configuration().Epoch, Sequence: s.lease.sequence,
		LastAnswered: s.lease.lastAnswered, Deregister: s.deregistering, Control: s.config.Control,
	}
	if s.config.Load != nil {
		h.Load = s.config.Load()
	}
	call(s, contacted, zinniatide.KindControlHeartbeat, h, heartbeatTimeout, func(reply *controlproto.HeartbeatReply, err error) {
		s.lease.inFlight = false
		s.handleHeartbeatReply(contacted, h, now, reply, err)
	})
}

func (s *Subscriber) heartbeatInterval() zinniatide.Millis {
	if s.config.HeartbeatInterval == 0 || s.Configuration().Epoch == 0 {
		return zinniatide.HeartbeatInterval
	}
	return s.config.HeartbeatInterval
}

// handleHeartbeatReply processes the reply to h, which was sent at sentAt.
func (s *Subscriber) handleHeartbeatReply(contacted zinniatide.VMID, h *controlproto.Heartbeat, sentAt zinniatide.Millis, reply *controlproto.HeartbeatReply, err error) {
	if err != nil {
		s.contact.logUnanswered(s, contacted, err)
		s.switchContact(contacted, "")
		return
	}
	if !reply.Leading {
		s.storeLeaderAddress(reply.Leader, reply.LeaderAddress)
		s.switchContact(contacted, reply.Leader)
		return
	}
	s.contact.answered(s, contacted)
	if known := s.knownLeader.Load(); known == nil || *known != contacted {
		s.knownLeader.Store(&contacted)
	}
	s.lease.lastAnswered = max(s.lease.lastAnswered, h.Sequence)
	if s.deregistering {
		if h.Deregister {
			s.completeDeregistration(nil)
		}
		return
	}
	if reply.Epoch < h.Epoch {
		klog.ErrorS(nil, "lease ignored, epoch of the control leader is older than the installed one", "step", "heartbeat", "peer", contacted, "epoch", h.Epoch, "leaderEpoch", reply.Epoch)
		return
	}
	if reply.Push != nil {
		s.install(reply.Push)
	}
	if !reply.LeaseExtended {
		// The leader requires a confirmation that its replies arrive, so the next
		// heartbeat is sent early.
		s.lease.nextHeartbeatAt = min(s.lease.nextHeartbeatAt, s.clock.Now()+zinniatide.TickInterval)
		return
	}
	s.lease.pendingUntil, s.lease.pendingEpoch = max(s.lease.pendingUntil, sentAt+zinniatide.LeaseDuration), max(s.lease.pendingEpoch, reply.Epoch)
	s.extendLease()
}

// extendLease applies a granted lease once its epoch is installed. Applying it
// earlier would let this VM continue to work with a configuration that the
// leader has replaced.
func (s *Subscriber) extendLease() {
	if s.deregistering || s.Configuration().Epoch < s.lease.pendingEpoch {
		return
	}
	if until := int64(s.lease.pendingUntil); until > s.leaseUntil.Load() {
		s.leaseUntil.Store(until)
	}
}

func (s *Subscriber) completeDeregistration(err error) {
	for _, done := range s.deregisterCallbacks {
		done(err)
	}
	s.deregisterCallbacks = nil
}

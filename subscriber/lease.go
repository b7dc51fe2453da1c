package subscriber

import (
	"errors"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// leaseState is the exchange of heartbeats.
type leaseState struct {
	sequence uint64
	answered uint64 // highest sequence that a leader has answered
	nextAt   zinniatide.Millis
	waiting  bool
	reported string // last cause of an unanswered heartbeat that was logged
	goneAt   zinniatide.Millis
	// pending is a granted lease that holds once epoch is installed.
	pending      zinniatide.Millis
	pendingEpoch zinniatide.Epoch
}

// contact is the control VM that is asked.
type contact struct {
	vm    zinniatide.VMID
	index int
}

// tickHeartbeat sends the next heartbeat when it is due.
func (s *Subscriber) tickHeartbeat(now zinniatide.Millis) {
	if s.gone && now-s.lease.goneAt > zinniatide.LeaseDuration {
		s.finishGoodbye(errors.New("no control leader has answered the leave"))
		return
	}
	if s.lease.waiting || now < s.lease.nextAt || s.gone && len(s.goodbyes) == 0 {
		return
	}
	leader := s.leader()
	if leader == "" {
		return
	}
	s.lease.waiting = true
	s.lease.sequence++
	s.lease.nextAt = now + s.heartbeatInterval()
	h := &controlproto.Heartbeat{
		Member: s.config.Member, Epoch: s.Configuration().Epoch, Sequence: s.lease.sequence,
		Answered: s.lease.answered, Gone: s.gone, Control: s.config.Control,
	}
	if s.config.Load != nil {
		h.Load = s.config.Load()
	}
	call(s, leader, zinniatide.KindControlHeartbeat, h, heartbeatTimeout, func(reply *controlproto.HeartbeatReply, err error) {
		s.lease.waiting = false
		s.heartbeatDone(leader, h, now, reply, err)
	})
}

func (s *Subscriber) heartbeatInterval() zinniatide.Millis {
	if s.config.HeartbeatInterval == 0 || s.Configuration().Epoch == 0 {
		return zinniatide.HeartbeatInterval
	}
	return s.config.HeartbeatInterval
}

// heartbeatDone takes the answer to h, which was sent at sentAt.
func (s *Subscriber) heartbeatDone(leader zinniatide.VMID, h *controlproto.Heartbeat, sentAt zinniatide.Millis, reply *controlproto.HeartbeatReply, err error) {
	if err != nil {
		s.reportUnanswered(leader, err)
		s.changeLeader(leader, "")
		return
	}
	if !reply.Leading {
		s.noteHint(reply.Leader, reply.LeaderAddress)
		s.changeLeader(leader, reply.Leader)
		return
	}
	s.lease.reported = ""
	if known := s.knownLeader.Load(); known == nil || *known != leader {
		s.knownLeader.Store(&leader)
	}
	s.lease.answered = max(s.lease.answered, h.Sequence)
	if s.gone {
		if h.Gone {
			s.finishGoodbye(nil)
		}
		return
	}
	if reply.Epoch < h.Epoch {
		klog.ErrorS(nil, "control leader is behind this VM; its lease is not used", "step", "heartbeat", "peer", leader, "epoch", h.Epoch, "leaderEpoch", reply.Epoch)
		return
	}
	if reply.Push != nil {
		s.install(reply.Push)
	}
	if !reply.Granted {
		// The leader wants to see that its replies arrive.
		s.lease.nextAt = min(s.lease.nextAt, s.clock.Now()+zinniatide.TickInterval)
		return
	}
	s.lease.pending, s.lease.pendingEpoch = max(s.lease.pending, sentAt+zinniatide.LeaseDuration), max(s.lease.pendingEpoch, reply.Epoch)
	s.extendLease()
}

// noteHint keeps the address of a leader that is not among the peers, so that
// a VM whose settings name other control VMs reaches it.
func (s *Subscriber) noteHint(leader zinniatide.VMID, address string) {
	if leader == "" || address == "" || leader == s.config.Member.VM {
		return
	}
	if _, known := s.Peers()[leader]; known {
		return
	}
	s.hints = map[zinniatide.VMID]string{leader: address}
	s.links.SetPeers(s.Peers())
}

// reportUnanswered logs each cause once until it changes. A refusal, such as
// that of a second process with the same VM id, stays until an operator acts.
func (s *Subscriber) reportUnanswered(peer zinniatide.VMID, err error) {
	s.metrics.unanswered.Inc()
	text := err.Error()
	if text == s.lease.reported {
		return
	}
	s.lease.reported = text
	if errors.Is(err, zinniatide.ErrNotSent) {
		// Usual while links are being set up.
		klog.InfoS("heartbeat not sent", "step", "heartbeat", "peer", peer, "err", text)
		return
	}
	klog.ErrorS(err, "heartbeat without answer", "step", "heartbeat", "peer", peer)
}

// extendLease puts a granted lease in force once its epoch is installed. A
// lease on an older configuration would let this VM work for longer on a
// configuration that the leader has replaced.
func (s *Subscriber) extendLease() {
	if s.gone || s.Configuration().Epoch < s.lease.pendingEpoch {
		return
	}
	if until := int64(s.lease.pending); until > s.leaseUntil.Load() {
		s.leaseUntil.Store(until)
	}
}

func (s *Subscriber) finishGoodbye(err error) {
	for _, done := range s.goodbyes {
		done(err)
	}
	s.goodbyes = nil
}

// leader returns the control VM to ask, or empty when none is known.
func (s *Subscriber) leader() zinniatide.VMID {
	if s.contact.vm == "" {
		s.nextContact()
	}
	return s.contact.vm
}

func (s *Subscriber) nextContact() {
	vms := controlVMs(s.Configuration(), s.config.ControlVMs)
	if len(vms) == 0 {
		return
	}
	if s.contact.vm == "" {
		s.contact.index = s.random.IntN(len(vms))
	} else {
		s.contact.index++
	}
	s.contact.vm = vms[s.contact.index%len(vms)].VM
}

// changeLeader leaves a control VM that failed or does not lead. A named leader
// is asked at once; without a hint the next control VM is asked after a random
// delay.
func (s *Subscriber) changeLeader(failed, hint zinniatide.VMID) {
	if s.contact.vm != failed {
		return // another answer has already led elsewhere
	}
	now := s.clock.Now()
	if hint != "" && hint != failed {
		s.contact.vm = hint
		s.lease.nextAt = now
		return
	}
	s.nextContact()
	s.lease.nextAt = now + zinniatide.Millis(s.random.Int64N(int64(failoverDelay)+1))
}

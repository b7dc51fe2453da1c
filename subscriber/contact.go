package subscriber

import (
	"errors"
	"maps"
	"slices"
	"sync/atomic"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

const (
	// contactLossAfter is how long no control leader has answered when the loss is logged
	// and the search for one begins. It is longer than an election.
	contactLossAfter zinniatide.Millis = 2000
	// contactLossInterval is the time between two log lines on a loss that lasts.
	contactLossInterval zinniatide.Millis = 10_000
)

// controlContact is the control VM to which messages are sent, and the search for the
// leader while none answers.
type controlContact struct {
	vm     zinniatide.VMID
	index  int
	search leaderSearch
	// answeredAt is when a leader last answered a heartbeat, at first when the
	// subscriber was created. It is read on any goroutine.
	answeredAt atomic.Int64
	// reportedAt is when the loss of contact was last logged, 0 after an answer.
	reportedAt zinniatide.Millis
	// errors holds the logged error of each VM contacted since a leader answered.
	errors map[zinniatide.VMID]string
}

func (c *controlContact) silence(now zinniatide.Millis) zinniatide.Millis {
	return now - zinniatide.Millis(c.answeredAt.Load())
}

// answered records that vm answered as leader.
func (c *controlContact) answered(s *Subscriber, vm zinniatide.VMID) {
	now := s.clock.Now()
	if c.reportedAt != 0 {
		klog.InfoS("regained contact with the control leader", "step", "heartbeat", "peer", vm, "silence-ms", c.silence(now), "epoch", s.Configuration().Epoch)
	}
	c.answeredAt.Store(int64(now))
	c.reportedAt = 0
	clear(c.errors)
	if c.search.active {
		c.search = leaderSearch{}
		s.links.SetPeers(s.Peers())
	}
}

// reportLoss logs that no leader has answered for a while, and which VMs were asked.
func (c *controlContact) reportLoss(s *Subscriber, now zinniatide.Millis) {
	if c.reportedAt != 0 && now-c.reportedAt < contactLossInterval {
		return
	}
	c.reportedAt = now
	configuration := s.Configuration()
	klog.InfoS("no contact with a control leader", "step", "heartbeat", "silence-ms", c.silence(now), "epoch", configuration.Epoch,
		"table", configuration.RoutingNumber, "contacted", slices.Sorted(maps.Keys(c.errors)))
}

// logUnanswered logs the error of an unanswered heartbeat if it differs from the
// last one of the same VM. Some errors, such as the refusal of a second process with
// the same VM id, recur until an operator intervenes.
func (c *controlContact) logUnanswered(s *Subscriber, peer zinniatide.VMID, err error) {
	s.metrics.unansweredHeartbeats.Inc()
	text := err.Error()
	if text == c.errors[peer] {
		return
	}
	c.errors[peer] = text
	if errors.Is(err, zinniatide.ErrNotSent) {
		// Expected while links are being established.
		klog.InfoS("heartbeat not sent", "step", "heartbeat", "peer", peer, "err", text)
		return
	}
	klog.ErrorS(err, "heartbeat not answered", "step", "heartbeat", "peer", peer)
}

// storeLeaderAddress adds the address of a leader that is not among the peers, so
// that a VM whose settings name other control VMs can reach it.
func (s *Subscriber) storeLeaderAddress(leader zinniatide.VMID, address string) {
	if leader == "" || address == "" || leader == s.config.Member.VM {
		return
	}
	if _, known := s.Peers()[leader]; known {
		return
	}
	s.leaderAddresses = map[zinniatide.VMID]string{leader: address}
	s.links.SetPeers(s.Peers())
}

// contactVM returns the control VM to contact, or empty if none is known.
func (s *Subscriber) contactVM() zinniatide.VMID {
	if s.contact.vm == "" {
		s.rotateContact()
	}
	return s.contact.vm
}

// controlVMs returns the control VMs that this VM contacts: those of the configuration,
// and during a search or without any also those of the settings and the leader that
// another VM has named.
func (s *Subscriber) controlVMs() []zinniatide.ControlVM {
	vms := s.Configuration().ControlVMs
	if len(vms) > 0 && !s.contact.search.active {
		return vms
	}
	vms = slices.Clone(vms)
	add := func(vm zinniatide.ControlVM) {
		if !slices.Contains(vms, vm) {
			vms = append(vms, vm)
		}
	}
	for _, vm := range s.config.ControlVMs {
		add(vm)
	}
	for vm, address := range s.leaderAddresses {
		add(zinniatide.ControlVM{VM: vm, PeerAddress: address})
	}
	return vms
}

func (s *Subscriber) rotateContact() {
	vms := s.controlVMs()
	if len(vms) == 0 {
		return
	}
	if s.contact.vm == "" {
		s.contact.index = s.random.IntN(len(vms))
	} else {
		s.contact.index++
	}
	if s.contact.search.active {
		s.contact.index = s.nextConnected(vms, s.contact.index)
	}
	s.contact.vm = vms[s.contact.index%len(vms)].VM
}

// nextConnected returns the index, from first on, of a VM with a link, or first if there
// is none.
func (s *Subscriber) nextConnected(vms []zinniatide.ControlVM, first int) int {
	for i := range vms {
		if s.links.Connected(vms[(first+i)%len(vms)].VM) {
			return first + i
		}
	}
	return first
}

// switchContact switches away from a control VM that failed or does not lead. If
// newLeader is known it is contacted at once, otherwise the next control VM is
// contacted after a random delay.
func (s *Subscriber) switchContact(failed, newLeader zinniatide.VMID) {
	if s.contact.vm != failed {
		return // an earlier reply already caused a switch
	}
	now := s.clock.Now()
	if newLeader != "" && newLeader != failed {
		s.contact.vm = newLeader
		s.lease.nextHeartbeatAt = now
		return
	}
	s.rotateContact()
	s.lease.nextHeartbeatAt = now + zinniatide.Millis(s.random.Int64N(int64(maxFailoverDelay)+1))
}

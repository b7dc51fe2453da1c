package subscriber

import (
	"fmt"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

const (
	// searchInterval is the time between two steps of a search for the leader.
	searchInterval zinniatide.Millis = 500
	// searchTimeout bounds the wait for the answer of a VM that is asked for the leader.
	searchTimeout zinniatide.Millis = 450
	// minReferrers is the number of VMs to be asked that get links for the search if this
	// VM has no link to any.
	minReferrers = 3
)

// leaderSearch is the search for the control leader while none answers. What this VM
// knows of the control VMs may be outdated as a whole then, so the search does not
// depend on the installed configuration alone: the control VMs of the settings are
// contacted too, the settings are read again, and other VMs are asked for the leader.
type leaderSearch struct {
	active     bool
	nextStepAt zinniatide.Millis
	inFlight   bool
	// referrers are VMs that are linked only to be asked.
	referrers []zinniatide.VMID
}

// searchIfDue starts or continues the search for a leader.
func (s *Subscriber) searchIfDue(now zinniatide.Millis) {
	c := &s.contact
	if s.deregistering || c.silence(now) < contactLossAfter || now < c.search.nextStepAt {
		return
	}
	c.search.nextStepAt = now + searchInterval
	if !c.search.active {
		c.search.active = true
		s.links.SetPeers(s.Peers())
	}
	c.reportLoss(s, now)
	if s.config.OnSearch != nil {
		s.config.OnSearch()
	}
	if !c.search.inFlight {
		s.askForLeader()
	}
}

// askForLeader asks a random linked VM that is no control VM which leader it is in
// contact with. Without any such link it has some established.
func (s *Subscriber) askForLeader() {
	search, peers := &s.contact.search, s.Peers()
	for _, vm := range s.controlVMs() {
		delete(peers, vm.VM)
	}
	var linked []zinniatide.VMID
	for _, vm := range slices.Sorted(maps.Keys(peers)) {
		if s.links.Connected(vm) {
			linked = append(linked, vm)
		}
	}
	if len(linked) == 0 {
		search.referrers = s.chooseReferrers()
		s.links.SetPeers(s.Peers())
		return
	}
	vm := linked[s.random.IntN(len(linked))]
	search.inFlight = true
	call(s, vm, zinniatide.KindControlLeader, nil, searchTimeout, func(reply *controlproto.LeaderStatus, err error) {
		search.inFlight = false
		s.handleReferral(vm, reply, err)
	})
}

// chooseReferrers returns random members that are no control VMs.
func (s *Subscriber) chooseReferrers() []zinniatide.VMID {
	var candidates, chosen []zinniatide.VMID
	for vm, m := range s.Configuration().Members {
		if !m.Control && vm != s.config.Member.VM {
			candidates = append(candidates, vm)
		}
	}
	slices.Sort(candidates)
	for range min(minReferrers, len(candidates)) {
		i := s.random.IntN(len(candidates))
		chosen = append(chosen, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
	return chosen
}

// handleReferral contacts the leader that vm has named.
func (s *Subscriber) handleReferral(vm zinniatide.VMID, reply *controlproto.LeaderStatus, err error) {
	if err == nil && (len(reply.Leader) > zinniatide.MaxIDLength || len(reply.LeaderAddress) > zinniatide.MaxIDLength) {
		err = fmt.Errorf("leader of %d bytes at an address of %d bytes, want at most %d each", len(reply.Leader), len(reply.LeaderAddress), zinniatide.MaxIDLength)
	}
	if err != nil {
		klog.ErrorS(err, "no referral to the control leader", "step", "search", "peer", vm)
		return
	}
	if !s.contact.search.active || reply.Leader == "" || reply.Leader == s.config.Member.VM {
		return
	}
	if _, known := s.Peers()[reply.Leader]; !known {
		klog.InfoS("another VM has named the control leader", "step", "search", "peer", vm, "leader", reply.Leader, "address", reply.LeaderAddress)
	}
	s.storeLeaderAddress(reply.Leader, reply.LeaderAddress)
	s.contact.vm = reply.Leader
	s.lease.nextHeartbeatAt = s.clock.Now()
}

// leaderHandler answers a VM that has lost the control leader. The answer is empty if
// this VM is not in contact with a leader itself.
func (s *Subscriber) leaderHandler(_ zinniatide.VMID, _ []byte, reply func(any, error)) {
	if reply == nil {
		return
	}
	s.post(func() {
		status := &controlproto.LeaderStatus{Leader: s.KnownLeader()}
		if m, known := s.Configuration().Members[status.Leader]; known {
			status.LeaderAddress = m.PeerAddress
		} else {
			status.LeaderAddress = s.leaderAddresses[status.Leader]
		}
		reply(status, nil)
	})
}

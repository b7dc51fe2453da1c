package controller

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

const ticketZoneOut = `{"ticket": 7, "availability-zones": {"z9": {"state": "out"}}}`

// Guards against a VM that works without a lease, a member that is removed
// while its lease is valid, and a partition that delays a ticket by more than
// 5 s.
func TestUnreachableVMLosesLease(t *testing.T) {
	faults := map[string]func(sim *simulation){
		"both ways":         func(sim *simulation) { sim.setIsolated("e1", true) },
		"VM cannot receive": func(sim *simulation) { sim.blockedLinks[[2]zinniatide.VMID{"c1", "e1"}] = true },
		"VM cannot send":    func(sim *simulation) { sim.blockedLinks[[2]zinniatide.VMID{"e1", "c1"}] = true },
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			e1 := sim.startEntryVM("e1", "z1", 1)
			sim.startEntryVM("e2", "z1", 1)
			sim.run(2000)
			injectFault(sim)
			sim.run(2 * zinniatide.TickInterval) // until messages in flight have arrived
			sim.fileTicket(ticketZoneOut)
			if got := sim.ticketStatus(7).PendingVMs; !slices.Contains(got, "e1") {
				t.Errorf("ticket not yet in force on %v, want e1 among them", got)
			}
			leaseEnd := e1.subscriber.LeaseUntil()
			for step := 0; step < 500; step++ {
				_, member := sim.leaderController().stateMachine.Configuration().Members["e1"]
				if !member && e1.hasLease() {
					t.Fatal("e1 was removed while it had a lease")
				}
				sim.run(10)
			}
			if e1.hasLease() || e1.subscriber.LeaseUntil() > leaseEnd {
				t.Errorf("lease until %d, want no extension of %d", e1.subscriber.LeaseUntil(), leaseEnd)
			}
			if got := sim.ticketStatus(7); !got.InForce {
				t.Errorf("ticket after 5 s: %+v, want in force", got)
			}
			if owned, want := sim.leaderController().stateMachine.Configuration().Buckets["z1"][0].Owner, zinniatide.VMID("e2"); owned != want {
				t.Errorf("bucket owner %s, want %s", owned, want)
			}
			clear(sim.blockedLinks)
			sim.run(2000)
			if !e1.hasLease() || e1.subscriber.Configuration().ZoneServing("z9") {
				t.Error("e1 did not return with the ticket in force")
			}
		})
	}
}

// Guards against a new leader that removes members whose lease from the previous
// leader is still valid, and against one that never removes a lost member.
func TestNewLeaderWaitsForExistingLeases(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.startEntryVM("e1", "z1", 1)
	sim.run(2000)
	sim.setIsolated("e1", true)
	sim.run(3000)
	sim.setLeader("")
	sim.run(1000)
	sim.setLeader("c2")
	const full = zinniatide.LeaseDuration + zinniatide.LeaseMargin
	sim.run(full - 100)
	if _, ok := sim.leaderController().stateMachine.Configuration().Members["e1"]; !ok {
		t.Error("the new leader removed e1 before a full lease and margin")
	}
	sim.run(200)
	if _, ok := sim.leaderController().stateMachine.Configuration().Members["e1"]; ok {
		t.Error("the new leader never removed e1")
	}
	if got := len(sim.leaderController().stateMachine.Configuration().Members); got != 3 {
		t.Errorf("%d members are left, want the 3 control VMs", got)
	}
}

// Guards against a lease granted between the proposal of a removal and its
// commit, which would let the VM work in buckets that have a new owner.
func TestNoLeaseDuringPendingRemoval(t *testing.T) {
	sim := newSimulation(t, 1)
	e1 := sim.startEntryVM("e1", "z1", 1)
	sim.run(2000)
	sim.setIsolated("e1", true)
	sim.run(zinniatide.LeaseDuration)
	sim.commitDelay = 1500
	sim.run(zinniatide.LeaseMargin + 500)
	clear(sim.blockedLinks)
	for range 90 {
		sim.run(10)
		if e1.hasLease() {
			t.Fatal("e1 has a lease while its removal is pending")
		}
	}
	sim.commitDelay = 1
	sim.run(4000)
	if !e1.hasLease() {
		t.Error("e1 did not return after its removal")
	}
}

// Guards against a leader that removes every VM after its own process was
// suspended, because their heartbeats are still unread.
func TestPausedLeaderKeepsMembers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startEntryVM("e1", "z1", 1)
	sim.run(2000)
	before := sim.leaderController().stateMachine.Configuration().Epoch
	sim.clock.Advance(10_000)
	sim.run(1000)
	if got := sim.leaderController().stateMachine.Configuration().Epoch; got != before {
		t.Errorf("epoch %d after the pause, want %d", got, before)
	}
}

// Guards against VMs that take work without a control quorum, leases that
// expire during a normal election, and a Deregister call that is never
// answered.
func TestLeasesWithoutLeader(t *testing.T) {
	sim := newSimulation(t, 3)
	e1 := sim.startEntryVM("e1", "z1", 1)
	sim.run(2000)
	sim.setLeader("")
	sim.run(1500)
	sim.setLeader("c3")
	for range 300 {
		sim.run(10)
		if !e1.hasLease() {
			t.Fatal("e1 lost its lease in an election of 1.5 s")
		}
	}
	sim.setLeader("")
	sim.run(zinniatide.LeaseDuration)
	if e1.hasLease() {
		t.Error("e1 has a lease 4 s after the quorum was lost")
	}
	var answers []error
	e1.subscriber.Deregister(func(err error) { answers = append(answers, err) })
	sim.run(6000)
	if len(answers) != 1 || answers[0] == nil {
		t.Errorf("answers to Deregister %v, want one error", answers)
	}
}

// Guards against epochs that decrease or skip a change when messages are lost,
// duplicated or reordered, and against VMs that stay behind.
func TestEpochsIncreaseOverUnreliableLinks(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.lossRate, sim.duplicateRate, sim.maxDelay = 0.05, 0.2, 60
	for _, id := range []string{"e1", "e2", "e3"} {
		v := sim.startEntryVM(id, zinniatide.ZoneID("z"+id), 1)
		var last zinniatide.Epoch
		v.subscriber.OnConfiguration(func(c *zinniatide.Configuration) {
			if c.Epoch <= last {
				t.Errorf("VM %s installed epoch %d after %d", id, c.Epoch, last)
			}
			last = c.Epoch
		})
	}
	for n := range 40 {
		sim.run(150)
		sim.fileTicket(fmt.Sprintf(`{"ticket": %d, "availability-zones": {"z9": {"state": %q}}}`, n+1, []string{"out", "in"}[n%2]))
		if n == 20 {
			sim.setLeader("c2")
		}
	}
	sim.run(8000)
	want := sim.leaderController().stateMachine.Configuration()
	for _, id := range sim.vmIDs {
		if got := sim.vms[id].subscriber.Configuration().Epoch; got != want.Epoch {
			t.Errorf("VM %s installed epoch %d, want %d", id, got, want.Epoch)
		}
	}
	if want.ZoneServing("z9") != true {
		t.Error("the last ticket is not in the configuration")
	}
}

// Guards against one epoch per VM when a zone returns, which would delay the
// heartbeats of all other VMs.
func TestReturningZoneUsesFewEpochs(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.run(1000)
	before := sim.leaderController().stateMachine.Configuration().Epoch
	for i := range 200 {
		sim.startEntryVM(fmt.Sprintf("e%d", i), "z1", 1)
	}
	sim.run(1000)
	c := sim.leaderController().stateMachine.Configuration()
	if got := int(c.Epoch - before); len(c.Members) != 201 || got > 8 {
		t.Errorf("%d members after %d epochs, want 201 after at most 8", len(c.Members), got)
	}
	if got := len(sim.leaderController().membersBehind(c.Epoch)); got != 0 {
		t.Errorf("%d members lack the newest epoch", got)
	}
}

// Guards against a VM that keeps an old configuration because pushes are lost
// while its heartbeats are answered.
func TestHeartbeatRepliesReplaceLostPushes(t *testing.T) {
	sim := newSimulation(t, 1)
	e1 := sim.startEntryVM("e1", "z1", 1)
	sim.run(2000)
	sim.droppedKind = zinniatide.KindControlPush
	sim.fileTicket(ticketZoneOut)
	sim.run(1200)
	if e1.subscriber.Configuration().ZoneServing("z9") {
		t.Error("e1 lacks the ticket 1.2 s after it was accepted")
	}
	sim.run(3000)
	if !e1.hasLease() || !sim.ticketStatus(7).InForce {
		t.Errorf("leased %v, ticket %+v, want a lease and the ticket in force", e1.hasLease(), sim.ticketStatus(7))
	}
}

// Guards against full configurations sent to VMs that lack a single change.
func TestPushesContainOnlyDeltas(t *testing.T) {
	sim := newSimulation(t, 1)
	e1 := sim.startEntryVM("e1", "z1", 1)
	sim.run(1000)
	epoch := e1.subscriber.Configuration().Epoch
	sim.fileTicket(ticketZoneOut)
	push := sim.leaderController().pushes.since(epoch)
	if push == nil || len(push.Deltas) != 1 || push.Full != nil {
		t.Fatalf("push %+v, want one delta", push)
	}
	before := sim.callCount[zinniatide.KindControlPush]
	sim.run(3000)
	if got := sim.callCount[zinniatide.KindControlPush] - before; got != 0 {
		t.Errorf("%d more pushes while nothing changed, want 0", got)
	}
}

// Guards against a leaving VM that keeps its buckets, gets new ones, or stays
// a member until its lease expires.
func TestPlannedLeave(t *testing.T) {
	sim := newSimulation(t, 3)
	e1, e2 := sim.startEntryVM("e1", "z1", 1), sim.startEntryVM("e2", "z1", 1)
	for _, v := range []*vm{e1, e2} {
		v.subscriber.OnConfiguration(func(c *zinniatide.Configuration) {
			for i := range c.Buckets["z1"] {
				v.subscriber.ReleaseBucket("z1", i)
			}
		})
	}
	sim.run(3000)
	if e1.subscriber.OwnedBuckets() == 0 || e2.subscriber.OwnedBuckets() == 0 {
		t.Fatalf("e1 owns %d buckets and e2 %d, want both some", e1.subscriber.OwnedBuckets(), e2.subscriber.OwnedBuckets())
	}
	e1.subscriber.StartLeave()
	sim.run(2000)
	if got := e1.subscriber.OwnedBuckets(); got != 0 || !e1.hasLease() {
		t.Errorf("leaving VM owns %d buckets, leased %v, want 0 and a lease", got, e1.hasLease())
	}
	answers, failed := 0, error(nil)
	e1.subscriber.Deregister(func(err error) { answers, failed = answers+1, err })
	sim.run(200)
	if _, member := sim.leaderController().stateMachine.Configuration().Members["e1"]; member || answers != 1 || failed != nil || e1.hasLease() {
		t.Errorf("member %v, %d answers, error %v, leased %v after the leave", member, answers, failed, e1.hasLease())
	}
	sim.run(10_000)
	if _, member := sim.leaderController().stateMachine.Configuration().Members["e1"]; member {
		t.Error("e1 joined again after it had left")
	}
}

// Guards against two different tickets with the same number that are both
// reported as accepted, and a conflict message without the accepted digest.
func TestConcurrentTicketsWithSameNumber(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(1000)
	accepted, conflicts := 0, map[string]int{}
	for i, id := range []zinniatide.VMID{"c1", "c2", "c3", "c2"} {
		text := fmt.Sprintf(`{"ticket": 50, "vms": {"e%d": {"state": "leaving"}}}`, i)
		f := &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: []byte(text)}
		sim.vms[id].controller.dispatch(f, 1000, func(response controlproto.ForwardReply) {
			if response.Refusal == nil {
				accepted++
			} else if response.Refusal.Code == zinniatide.CodeTicketConflict {
				// The seventh word of the message is the accepted digest and a comma.
				conflicts[strings.Fields(response.Refusal.Message)[6]]++
			}
		})
	}
	sim.run(1000)
	winner := sim.leaderController().stateMachine.History(1)[0].Digest
	if accepted != 1 || conflicts[winner+","] != 3 {
		t.Errorf("%d tickets accepted, conflicts with %v, want 1 and three with %s", accepted, conflicts, winner)
	}
	if got := sim.vms["c3"].log.requestedControlVMs; !slices.Equal(got, sim.controlVMs) {
		t.Errorf("the log of c3 was given the control VMs %v, want %v", got, sim.controlVMs)
	}
	if got := len(sim.leaderController().stateMachine.Configuration().VMs); got != 1 {
		t.Errorf("%d VMs are configured, want 1", got)
	}
}

// Guards against a follower that cannot serve operators, and against a ticket
// that is reported as failed although it may still be accepted.
func TestOperatorRequestsOnAnyControlVM(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(1000)
	var reply zinniatide.TicketReply
	ticket := &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: []byte(ticketZoneOut)}
	if err := sim.operatorRequest(sim.vms["c2"], ticket, &reply); err != nil || !reply.Accepted || len(reply.Changes) != 1 {
		t.Fatalf("follower answered %+v, error %v", reply, err)
	}
	dry := &controlproto.Forward{Operation: controlproto.ForwardFileTicket, DryRun: true,
		Ticket: []byte(`{"ticket": 8, "availability-zones": {"z9": null}}`)}
	if err := sim.operatorRequest(sim.vms["c3"], dry, &reply); err != nil || reply.Accepted {
		t.Errorf("dry run: %+v, error %v, want not accepted", reply, err)
	}
	var history []zinniatide.TicketRecord
	if err := sim.operatorRequest(sim.vms["c2"], &controlproto.Forward{Operation: controlproto.ForwardHistory, Limit: 10}, &history); err != nil || len(history) != 1 {
		t.Errorf("history %v, error %v, want one ticket", history, err)
	}
	cases := []struct {
		name        string
		injectFault func()
		outcome     zinniatide.Outcome
	}{
		{"no leader", func() { sim.setLeader("") }, zinniatide.OutcomeNotRun},
		{"leader lost after the proposal", func() {
			sim.setLeader("c1")
			sim.commitDelay = 50
			sim.schedule(20, func() { sim.setLeader("") })
		}, zinniatide.OutcomeUnknown},
		{"leader does not answer", func() { sim.setLeader("c1"); sim.setIsolated("c1", true) }, zinniatide.OutcomeUnknown},
	}
	for i, c := range cases {
		sim.maxDelay = 0
		c.injectFault()
		next := []byte(`{"ticket": ` + string(rune('1'+i)) + `0, "vms": {"e1": {"state": "leaving"}}}`)
		err := sim.operatorRequest(sim.vms["c2"], &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: next}, nil)
		var refusal *zinniatide.Refusal
		if !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeNoQuorum || refusal.Outcome != c.outcome {
			t.Errorf("%s: got %v, want no-quorum with outcome %s", c.name, err, c.outcome)
		}
	}
}

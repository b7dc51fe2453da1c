package controller

import (
	"errors"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/registrar"
)

// claimAttempt records the replies that a coordinator gets to one claim.
type claimAttempt struct {
	replies int
	reply   zinniatide.ClaimReply
	err     error
}

func (sim *simulation) startClaim(v *vm, token uint64) *claimAttempt {
	attempt := &claimAttempt{}
	expires := startUnixMillis + 60_000
	v.subscriber.Claim(zinniatide.Claim{RequestID: sim.claimedRequestID(), Expires: expires, Digest: 5, VM: v.member.VM, Token: token},
		func(reply zinniatide.ClaimReply, err error) {
			attempt.replies, attempt.reply, attempt.err = attempt.replies+1, reply, err
		})
	return attempt
}

// claimedRequestID returns the one id that all attempts claim.
func (sim *simulation) claimedRequestID() zinniatide.RequestID {
	return zinniatide.RequestID(fmt.Sprintf("%d-abcdefgh", startUnixMillis+60_000))
}

// Guards against claims that are lost, answered twice or granted twice while
// links fail and leaders change, and against request ids that stay claimed after
// the outcome not-run.
func TestClaimsDuringFaults(t *testing.T) {
	cases := map[string]func(sim *simulation){
		"no fault":       func(*simulation) {},
		"lossy links":    func(sim *simulation) { sim.lossRate, sim.duplicateRate, sim.maxDelay = 0.3, 0.3, 80 },
		"leader changes": func(sim *simulation) { sim.setLeader(""); sim.schedule(700, func() { sim.setLeader("c2") }) },
		"leader lost after the proposal": func(sim *simulation) {
			sim.commitDelay = 60
			sim.schedule(45, func() { sim.setLeader("c2") })
		},
		"reply lost": func(sim *simulation) {
			sim.blockedLinks[[2]zinniatide.VMID{"c1", "e1"}] = true
			sim.schedule(600, func() { clear(sim.blockedLinks) })
		},
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			e1, e2 := sim.startEntryVM("e1", "z1", 1), sim.startEntryVM("e2", "z2", 1)
			sim.run(2000)
			injectFault(sim)
			first, second := sim.startClaim(e1, 1), sim.startClaim(e2, 2)
			sim.run(3000)
			granted := 0
			for _, attempt := range []*claimAttempt{first, second} {
				if attempt.replies != 1 {
					t.Fatalf("%d answers, want 1", attempt.replies)
				}
				if attempt.err == nil && attempt.reply.Granted {
					granted++
				}
			}
			if granted > 1 || granted == 0 && first.err == nil && second.err == nil {
				t.Fatalf("%d grants: %+v and %+v", granted, first, second)
			}
			sim.lossRate, sim.duplicateRate, sim.maxDelay, sim.commitDelay = 0, 0, 2, 1
			holder, token := e1, uint64(1)
			if second.reply.Granted {
				holder, token = e2, 2
			}
			holder.subscriber.Finish(zinniatide.ClaimResult{RequestID: sim.claimedRequestID(), Token: token, Outcome: zinniatide.OutcomeNotRun})
			sim.run(1000)
			third := sim.startClaim(e2, 3)
			sim.run(1000)
			if !third.reply.Granted {
				t.Fatalf("claim after not-run: %+v, want granted", third)
			}
			e2.subscriber.Finish(zinniatide.ClaimResult{RequestID: sim.claimedRequestID(), Token: 3, Outcome: zinniatide.OutcomeDone, Body: []byte("b")})
			sim.run(1000)
			fourth := sim.startClaim(e1, 4)
			sim.run(1000)
			if fourth.reply.Granted || string(fourth.reply.Body) != "b" || fourth.reply.Outcome != zinniatide.OutcomeDone {
				t.Errorf("claim after the result: %+v, want the recorded result", fourth)
			}
		})
	}
}

// Guards against a request id that stays claimed until it expires because its
// coordinator never received the grant.
func TestUnansweredClaimIsReleased(t *testing.T) {
	cases := map[string]func(sim *simulation){
		"replies are lost": func(sim *simulation) {
			sim.blockedLinks[[2]zinniatide.VMID{"c1", "e1"}] = true
			sim.schedule(2500, func() { clear(sim.blockedLinks) })
		},
		"outcome is unknown": func(sim *simulation) {
			sim.commitDelay = 100
			sim.schedule(60, func() { sim.setLeader("") })
			sim.schedule(2500, func() { sim.commitDelay = 1; sim.setLeader("c2") })
		},
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			e1, e2 := sim.startEntryVM("e1", "z1", 1), sim.startEntryVM("e2", "z2", 1)
			sim.run(2000)
			injectFault(sim)
			lost := sim.startClaim(e1, 1)
			sim.run(5000)
			if lost.replies != 1 || lost.err == nil {
				t.Fatalf("%+v, want one error", lost)
			}
			next := sim.startClaim(e2, 2)
			sim.run(1000)
			if !next.reply.Granted {
				t.Errorf("next attempt: %+v, want granted", next)
			}
		})
	}
}

// Guards against a coordinator that dispatches a request, or waits forever,
// without a control quorum.
func TestClaimWithoutLeader(t *testing.T) {
	sim := newSimulation(t, 3)
	e1 := sim.startEntryVM("e1", "z1", 1)
	sim.run(2000)
	sim.setLeader("")
	attempt := sim.startClaim(e1, 1)
	sim.run(3000)
	var refusal *zinniatide.Refusal
	if attempt.replies != 1 || !errors.As(attempt.err, &refusal) || refusal.Code != zinniatide.CodeNoQuorum || refusal.Outcome != zinniatide.OutcomeNotRun {
		t.Errorf("%d answers, error %v, want one no-quorum with not-run", attempt.replies, attempt.err)
	}
}

// synchronousLog commits at once on the calling goroutine. While unresponsive it
// drops everything posted to it.
type synchronousLog struct {
	fakeLog
	stateMachine *registrar.Registrar
	unresponsive bool
}

func (l *synchronousLog) Post(f func()) {
	if !l.unresponsive {
		f()
	}
}
func (l *synchronousLog) Status() zinniatide.LogStatus {
	return zinniatide.LogStatus{Leader: "c1", Leading: true}
}
func (l *synchronousLog) Barrier(done func(error)) { done(nil) }
func (l *synchronousLog) Propose(data []byte, done func(any, error)) {
	done(l.stateMachine.Apply(1, data), nil)
}

// Guards against operator calls that block forever, and against refusals that
// lose their code on the way to the operator.
func TestOperatorCallsAlwaysReturn(t *testing.T) {
	sim := newSimulation(t, 1)
	stateMachine := registrar.New()
	log := &synchronousLog{stateMachine: stateMachine}
	ticketChecker, err := checker.New()
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{VM: "c1"}, log, &vm{sim: sim, handlers: sim.vms["c1"].handlers}, sim.clock, stateMachine, ticketChecker, prometheus.NewRegistry())
	log.onLeadership(true)
	if reply, err := c.FileTicket([]byte(ticketZoneOut), false, 1000); err != nil || !reply.Accepted || reply.Epoch != 1 {
		t.Errorf("file: %+v, error %v", reply, err)
	}
	if reply, err := c.FileTicket([]byte(ticketZoneOut), false, 1000); err != nil || !reply.Repeated {
		t.Errorf("file again: %+v, error %v", reply, err)
	}
	if state, err := c.State(); err != nil || state.ZoneServing("z9") {
		t.Errorf("state: %+v, error %v", state, err)
	}
	if status, err := c.TicketStatus(7); err != nil || !status.InForce {
		t.Errorf("status: %+v, error %v", status, err)
	}
	refusals := []struct {
		name string
		call func() error
		want zinniatide.Code
	}{
		{"unknown ticket", func() error { _, err := c.TicketStatus(8); return err }, zinniatide.CodeNotFound},
		{"bad ticket", func() error { _, err := c.FileTicket([]byte(`{}`), false, 1000); return err }, zinniatide.CodeBadRequest},
		{"no answer", func() error {
			log.unresponsive = true
			_, err := c.FileTicket([]byte(ticketZoneOut), false, 1)
			return err
		}, zinniatide.CodeNoQuorum},
	}
	for _, r := range refusals {
		var refusal *zinniatide.Refusal
		if err := r.call(); !errors.As(err, &refusal) || refusal.Code != r.want {
			t.Errorf("%s: got %v, want %s", r.name, err, r.want)
		}
	}
}

package controller

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
	"zinniatide.example/zinniatide/rollouter"
)

var testRollouts = &Rollouts{
	Limits: rollouter.Config{CanaryShare: 0.1, CanarySlack: 50, RollbackTime: 5000},
	Versions: func(_ zinniatide.ServiceID, target zinniatide.ServerVersion) (zinniatide.ServerVersion, bool) {
		if target == "only" {
			return "", true
		}
		return "v1", true
	},
}

// reporter counts requests on a relay VM by the share that its configuration has, and
// reports them.
type reporter struct {
	sim      *simulation
	vm       *vm
	credit   float64
	sequence uint64
	report   zinniatide.RolloutReport
	// failing is the share of the responses of the target that are failures.
	failing float64
	// oldInFlight is how many requests stay in flight at old servers.
	oldInFlight int
	frozen      bool
	since       zinniatide.Millis // when it saw the rollout first
	random      *rand.Rand
}

const (
	testRate           = 300 // requests per second and VM
	testReportInterval = 200
)

func startReporters(sim *simulation, relays []*vm) []*reporter {
	out := make([]*reporter, 0, len(relays))
	for _, r := range relays {
		p := &reporter{sim: sim, vm: r, random: rand.New(rand.NewPCG(3, 4))}
		out = append(out, p)
		sim.schedule(0, p.serve)
		sim.schedule(testReportInterval, p.send)
	}
	return out
}

// rollout returns the rollout of the service by the configuration of the VM.
func (p *reporter) rollout() zinniatide.Rollout { return p.vm.subscriber.Configuration().Rollouts["s"] }

func (p *reporter) serve() {
	p.sim.schedule(10, p.serve)
	rollout := p.rollout()
	if p.frozen || p.vm.stopped || rollout.State != zinniatide.RolloutRunning {
		return
	}
	if p.report.Number != rollout.Number {
		p.report = zinniatide.RolloutReport{Service: "s", Number: rollout.Number, TargetAvailable: true, Routes: []zinniatide.RolloutCounts{{Route: "r"}}}
		p.since = p.sim.clock.Now()
		p.report.Routes[0].Old.Latencies, p.report.Routes[0].Target.Latencies = make([]uint64, 8), make([]uint64, 8)
	}
	c := &p.report.Routes[0]
	for range testRate / 100 {
		p.report.Requests++
		if p.credit += rollout.Share; p.credit < 1 {
			c.Old.Sent++
			c.Old.Latencies[6]++
			continue
		}
		p.credit--
		c.Target.Sent++
		if p.random.Float64() < p.failing {
			c.Target.Failures++
		} else {
			c.Target.Latencies[6]++
		}
	}
}

func (p *reporter) send() {
	p.sim.schedule(testReportInterval, p.send)
	if p.frozen || p.vm.stopped || p.rollout().State != zinniatide.RolloutRunning {
		return
	}
	p.sequence++
	p.report.OldInFlight, p.report.Age = p.oldInFlight, p.sim.clock.Now()-p.since
	body, err := encoder.Marshal(&zinniatide.RolloutReports{Process: p.vm.member.Process, Epoch: p.vm.subscriber.Configuration().Epoch, Sequence: p.sequence,
		Reports: []zinniatide.RolloutReport{p.report}})
	if err != nil {
		p.sim.t.Fatal(err)
	}
	leader := p.vm.subscriber.KnownLeader()
	if target := p.sim.vms[leader]; target != nil && !target.stopped {
		p.sim.deliver(p.vm.member.VM, leader, func() { target.handlers[zinniatide.KindRolloutReport](p.vm.member.VM, body, nil) })
	}
}

// start sends the command through a control VM.
func (sim *simulation) startRollout(through string, target zinniatide.ServerVersion) error {
	sim.t.Helper()
	return sim.operatorRequest(sim.vms[zinniatide.VMID(through)], &controlproto.Forward{Operation: controlproto.ForwardStartRollout, Service: "s", Version: target, Ramp: 12_000}, nil)
}

func (sim *simulation) rollout(through string) (zinniatide.Rollout, error) {
	sim.t.Helper()
	var out zinniatide.Rollout
	err := sim.operatorRequest(sim.vms[zinniatide.VMID(through)], &controlproto.Forward{Operation: controlproto.ForwardRollout, Service: "s"}, &out)
	return out, err
}

// awaitEnd runs until the rollout has ended and returns its state and the time.
func (sim *simulation) awaitEnd(t *testing.T, limit zinniatide.Millis) (zinniatide.RolloutState, zinniatide.Millis) {
	t.Helper()
	begin := sim.clock.Now()
	for sim.clock.Now()-begin < limit {
		sim.run(20)
		if r := sim.vms["c2"].stateMachine.Configuration().Rollouts["s"]; r.State != zinniatide.RolloutRunning {
			return r.State, sim.clock.Now() - begin
		}
	}
	return zinniatide.RolloutRunning, limit
}

func refusalCode(err error) zinniatide.Code {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

// Guards against a command that is lost or refused after a change of leader, and against
// two rollouts of one service at a time.
func TestRolloutCommandSurvivesLeader(t *testing.T) {
	sim, _ := newRelaySimulation(t)
	if _, err := sim.rollout("c3"); refusalCode(err) != zinniatide.CodeNotFound {
		t.Errorf("before any rollout: got %v, want %s", err, zinniatide.CodeNotFound)
	}
	if err := sim.startRollout("c2", "v2"); err != nil {
		t.Fatal(err)
	}
	sim.setLeader("c3")
	sim.run(100)
	for _, through := range []string{"c1", "c2", "c3"} {
		got, err := sim.rollout(through)
		if err != nil || got.State != zinniatide.RolloutRunning || got.Target != "v2" || got.Previous != "v1" {
			t.Errorf("through %s: got %+v, %v, want a running rollout from v1 to v2", through, got, err)
		}
		if err := sim.startRollout(through, "v2"); err != nil {
			t.Errorf("repeat through %s: got %v, want it acknowledged", through, err)
		}
		if err := sim.startRollout(through, "v3"); refusalCode(err) != zinniatide.CodeInProgress {
			t.Errorf("another version through %s: got %v, want %s", through, err, zinniatide.CodeInProgress)
		}
	}
	sim.setLeader("")
	if _, err := sim.rollout("c1"); refusalCode(err) != zinniatide.CodeNoQuorum {
		t.Errorf("without a leader: got %v, want %s", err, zinniatide.CodeNoQuorum)
	}
}

// Guards against a rollout that ends in the wrong state, or late, when the leader is lost
// at any of its steps.
func TestRolloutSurvivesLossOfLeader(t *testing.T) {
	for _, row := range []struct {
		failing float64
		want    zinniatide.RolloutState
	}{{0, zinniatide.RolloutComplete}, {0.5, zinniatide.RolloutRolledBack}} {
		for _, lostAt := range []zinniatide.Millis{1, 150, 400, 900, 5000, 11_000, 11_500, 12_000, 12_500, 13_000, 13_500, 14_000} {
			t.Run(fmt.Sprintf("failing %v lost at %d", row.failing, lostAt), func(t *testing.T) {
				sim, relays := newRelaySimulation(t)
				reporters := startReporters(sim, relays)
				for _, p := range reporters {
					p.failing = row.failing
				}
				if err := sim.startRollout("c1", "v2"); err != nil {
					t.Fatal(err)
				}
				sim.schedule(lostAt, func() { sim.setLeader("") })
				sim.schedule(lostAt+700, func() { sim.setLeader("c2") })
				got, at := sim.awaitEnd(t, 30_000)
				if got != row.want || at > 12_000+5000+2000 {
					t.Errorf("got %s after %d ms, want %s within 19000 ms", got, at, row.want)
				}
				var requests, sent uint64
				for _, p := range reporters {
					requests += p.report.Requests
					sent += p.report.Routes[0].Target.Sent
				}
				if most := 0.1*float64(requests) + 50; row.failing > 0 && float64(sent) > most {
					t.Errorf("got %d of %d requests on the bad version, want at most %.0f", sent, requests, most)
				}
			})
		}
	}
}

// Guards against a share that rises while a relay VM that may still send is silent, or
// while the log has no majority, and against a completion while old servers have requests.
func TestRolloutWaitsForRelays(t *testing.T) {
	sim, relays := newRelaySimulation(t)
	reporters := startReporters(sim, relays)
	reporters[0].oldInFlight = 1
	if err := sim.startRollout("c1", "v2"); err != nil {
		t.Fatal(err)
	}
	if got, at := sim.awaitEnd(t, 20_000); got != zinniatide.RolloutRunning {
		t.Errorf("got %s after %d ms while a request is in flight at an old server, want %s", got, at, zinniatide.RolloutRunning)
	}
	if got := sim.vms["c1"].stateMachine.Configuration().Rollouts["s"].Share; got != 1 {
		t.Errorf("got share %v, want 1", got)
	}
	reporters[0].oldInFlight = 0
	if got, at := sim.awaitEnd(t, 1000); got != zinniatide.RolloutComplete {
		t.Errorf("got %s after %d ms with idle old servers, want %s", got, at, zinniatide.RolloutComplete)
	}
	for _, r := range relays {
		if got := r.subscriber.Configuration().Rollouts["s"].Share; got != 1 {
			t.Errorf("got share %v on %s after completion, want 1", got, r.member.VM)
		}
	}
}

// Guards against a new leader that raises the share before it has heard from all relay
// VMs, of which one may know that the version is bad.
func TestNewLeaderWaitsForReports(t *testing.T) {
	sim, relays := newRelaySimulation(t)
	reporters := startReporters(sim, relays)
	if err := sim.startRollout("c1", "v2"); err != nil {
		t.Fatal(err)
	}
	sim.run(11_000)
	reporters[2].frozen = true // it still sends heartbeats
	sim.setLeader("c2")
	before := sim.vms["c2"].stateMachine.Configuration().Rollouts["s"].Share
	sim.run(8000)
	if got := sim.vms["c2"].stateMachine.Configuration().Rollouts["s"].Share; got != before {
		t.Errorf("got share %v without the reports of a VM in contact, want it to stay %v", got, before)
	}
	reporters[2].frozen = false
	if got, at := sim.awaitEnd(t, 6000); got != zinniatide.RolloutComplete {
		t.Errorf("got %s after %d ms, want %s", got, at, zinniatide.RolloutComplete)
	}
}

// Guards against a lost relay VM that holds up a rollout for good.
func TestRolloutWithLostRelay(t *testing.T) {
	for _, lostAt := range []zinniatide.Millis{100, 6000, 11_800, 13_000} {
		t.Run(fmt.Sprint(lostAt), func(t *testing.T) {
			sim, relays := newRelaySimulation(t)
			startReporters(sim, relays)
			if err := sim.startRollout("c1", "v2"); err != nil {
				t.Fatal(err)
			}
			sim.schedule(lostAt, func() { relays[1].stopped = true })
			if got, at := sim.awaitEnd(t, 30_000); got != zinniatide.RolloutComplete || at > 12_000+9000 {
				t.Errorf("got %s after %d ms, want %s within 21000 ms", got, at, zinniatide.RolloutComplete)
			}
		})
	}
}

// Guards against a rollout that runs on, also at a new leader, after a configuration has
// dropped its service.
func TestRolloutOfDroppedService(t *testing.T) {
	for _, order := range []string{"command first", "configuration first", "together"} {
		t.Run(order, func(t *testing.T) {
			sim, relays := newRelaySimulation(t)
			startReporters(sim, relays)
			without := testTable(2)
			without.Table.Services[0].Service = "other"
			for i := range without.Table.Routes {
				without.Table.Routes[i].Targets = []zinniatide.WeightedService{{Service: "other", Weight: 1}}
			}
			drop := func() {
				sim.fileRouting(sim.vms["c1"], testTable(1), without, func(_ zinniatide.TicketReply, err error) {
					if err != nil {
						t.Errorf("drop the service: %v", err)
					}
				})
			}
			if order != "command first" {
				drop()
			}
			if order == "configuration first" {
				sim.run(1000)
			}
			err := sim.startRollout("c2", "v2")
			if order == "command first" {
				sim.run(3000)
				drop()
			}
			sim.run(1000)
			sim.setLeader("c3")
			sim.run(3000)
			got, getErr := sim.rollout("c1")
			switch {
			case err == nil && (getErr != nil || got.State != zinniatide.RolloutRolledBack):
				t.Errorf("accepted: got %+v, %v, want it rolled back", got, getErr)
			case err != nil && (refusalCode(err) != zinniatide.CodeNotFound || refusalCode(getErr) != zinniatide.CodeNotFound):
				t.Errorf("refused: got %v and %v, want %s", err, getErr, zinniatide.CodeNotFound)
			case order == "command first" && err != nil:
				t.Errorf("got %v, want the command accepted", err)
			}
		})
	}
}

// Guards against a report that makes a leader fail: one that is garbled, of another
// rollout or of a process that has not joined.
func TestInvalidRolloutReports(t *testing.T) {
	sim, _ := newRelaySimulation(t)
	if err := sim.startRollout("c1", "v2"); err != nil {
		t.Fatal(err)
	}
	good := zinniatide.RolloutReport{Service: "s", Number: 1, Routes: []zinniatide.RolloutCounts{{Route: "r"}}}
	for _, reports := range []any{"garbage", registrar.Command{}, &zinniatide.RolloutReports{}, &zinniatide.RolloutReports{Process: 99, Reports: []zinniatide.RolloutReport{good}}} {
		body, err := encoder.Marshal(reports)
		if err != nil {
			t.Fatal(err)
		}
		sim.vms["c1"].handlers[zinniatide.KindRolloutReport]("stranger", body, nil)
	}
	sim.run(100)
	if got := sim.leaderController().rollouts.reports["stranger"]; got != nil {
		t.Errorf("got report %+v of a VM that is no member kept, want none", got)
	}
}

// Guards against two commands for one service that arrive at once through different control
// VMs and are both accepted.
func TestSimultaneousRolloutCommands(t *testing.T) {
	for _, second := range []zinniatide.ServerVersion{"v2", "v3"} {
		sim, _ := newRelaySimulation(t)
		results := map[string]error{}
		for through, target := range map[string]zinniatide.ServerVersion{"c2": "v2", "c3": second} {
			f := &controlproto.Forward{Operation: controlproto.ForwardStartRollout, Service: "s", Version: target, Ramp: 12_000}
			sim.vms[zinniatide.VMID(through)].controller.dispatch(f, 1000, func(response controlproto.ForwardReply) {
				results[through] = response.Refusal.Err()
			})
		}
		sim.run(500)
		refused := 0
		for through, err := range results {
			if err == nil {
				continue
			}
			if refused++; refusalCode(err) != zinniatide.CodeInProgress {
				t.Errorf("through %s: got %v, want %s", through, err, zinniatide.CodeInProgress)
			}
		}
		want := 0
		if second != "v2" {
			want = 1
		}
		if len(results) != 2 || refused != want {
			t.Errorf("commands for v2 and %s: got %d answers with %d refused, want 2 with %d", second, len(results), refused, want)
		}
	}
}

// Guards against a new leader that takes the target version for the only one because it
// does not know all servers yet, and completes its rollout at once.
func TestNewLeaderDoesNotKnowVersions(t *testing.T) {
	sim, _ := newRelaySimulation(t)
	sim.setLeader("c2")
	if err := sim.startRollout("c2", "only"); refusalCode(err) != zinniatide.CodeNoQuorum {
		t.Errorf("on a new leader: got %v, want %s", err, zinniatide.CodeNoQuorum)
	}
	sim.run(contactTime)
	if err := sim.startRollout("c2", "only"); err != nil {
		t.Errorf("later: got %v, want the command accepted", err)
	}
	if got, err := sim.rollout("c2"); err != nil || got.State != zinniatide.RolloutComplete {
		t.Errorf("got %+v, %v, want a complete rollout", got, err)
	}
}

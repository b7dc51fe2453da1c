package registrar

import (
	"errors"
	"testing"

	"zinniatide.example/zinniatide"
)

// rolloutState returns a state whose routing table has the service s.
func rolloutState(t *testing.T) *Registrar {
	t.Helper()
	r := New()
	routeServices(t, r, 1, "s", "other")
	return r
}

// routeServices applies a routing table with services.
func routeServices(t *testing.T, r *Registrar, number zinniatide.TicketNumber, services ...zinniatide.ServiceID) {
	t.Helper()
	table := &zinniatide.Routing{}
	for _, s := range services {
		table.Services = append(table.Services, zinniatide.RelayService{Service: s, MaxConnections: 8})
	}
	entry := NewRoutingEntry(r.RoutingTable(), &RoutingTable{Number: number, Table: table, Document: []byte("{}")})
	if reply, ok := apply(t, r, 1000, Command{Routing: entry}).(zinniatide.TicketReply); !ok || !reply.Accepted {
		t.Fatalf("got %+v, want an accepted routing table", reply)
	}
}

func start(target zinniatide.ServerVersion) Command {
	return Command{RolloutStart: &RolloutStart{Service: "s", Target: target, Ramp: 12_000, Current: "v1"}}
}

func step(r *Registrar, state zinniatide.RolloutState, share float64) Command {
	last := r.Configuration().Rollouts["s"]
	return Command{RolloutStep: &RolloutStep{Service: "s", Number: last.Number, State: state, Share: share, Before: last.Share}}
}

// Guards against a command that has no effect, is refused when repeated, starts a second
// time, or replaces a running rollout to another version.
func TestRolloutCommands(t *testing.T) {
	r := rolloutState(t)
	first, ok := apply(t, r, 5000, start("v2")).(zinniatide.Rollout)
	want := zinniatide.Rollout{Service: "s", Target: "v2", Previous: "v1", Ramp: 12_000, State: zinniatide.RolloutRunning, StartedAt: baseTime + 5000, Number: r.Configuration().Epoch}
	if !ok || first != want {
		t.Fatalf("got %+v, want %+v", first, want)
	}
	epoch := r.Configuration().Epoch
	if again := apply(t, r, 5100, start("v2")); again != any(want) || r.Configuration().Epoch != epoch {
		t.Errorf("repeat: got %+v at epoch %d, want %+v at epoch %d", again, r.Configuration().Epoch, want, epoch)
	}
	checkRefusal(t, apply(t, r, 5200, start("v3")), zinniatide.CodeInProgress)
	checkRefusal(t, apply(t, r, 5200, Command{RolloutStart: &RolloutStart{Service: "no", Target: "v3", Ramp: 1}}), zinniatide.CodeNotFound)
	for _, bad := range []RolloutStart{{Service: "s", Target: "v3"}, {Service: "s", Ramp: 1}, {Target: "v3", Ramp: 1}, {Service: "s", Target: "v3", Ramp: maxRampMillis + 1}} {
		checkRefusal(t, apply(t, r, 5200, Command{RolloutStart: &bad}), zinniatide.CodeBadRequest)
	}
	apply(t, r, 6000, step(r, zinniatide.RolloutRunning, 0.1))
	if got := r.Configuration().Rollouts["s"].Share; got != 0.1 {
		t.Errorf("got share %v, want 0.1", got)
	}
	outdated := step(r, zinniatide.RolloutRunning, 0.5)
	apply(t, r, 6100, step(r, zinniatide.RolloutRunning, 0.05))
	apply(t, r, 6200, outdated)
	if got := r.Configuration().Rollouts["s"].Share; got != 0.05 {
		t.Errorf("got share %v after a step of an earlier leader, want 0.05", got)
	}
	late := step(r, zinniatide.RolloutRolledBack, 0)
	apply(t, r, 7000, step(r, zinniatide.RolloutComplete, 1))
	apply(t, r, 7100, late)
	if got := r.Configuration().Rollouts["s"]; got.State != zinniatide.RolloutComplete || got.Share != 1 {
		t.Errorf("got %+v after a step that came late, want complete", got)
	}
	if next, ok := apply(t, r, 8000, start("v3")).(zinniatide.Rollout); !ok || next.Previous != "v2" {
		t.Errorf("got %+v, want a rollout from v2", next)
	}
	apply(t, r, 8500, late) // of the earlier rollout
	if got := r.Configuration().Rollouts["s"]; got.State != zinniatide.RolloutRunning {
		t.Errorf("got %+v after a step of an earlier rollout, want running", got)
	}
	apply(t, r, 9000, step(r, zinniatide.RolloutRolledBack, 0))
	if repeat, ok := apply(t, r, 9500, start("v3")).(zinniatide.Rollout); !ok || repeat.State != zinniatide.RolloutRolledBack {
		t.Errorf("got %+v for a repeat after the roll-back, want no new rollout", repeat)
	}
	if next, ok := apply(t, r, 8000+restartDelay, start("v3")).(zinniatide.Rollout); !ok || next.State != zinniatide.RolloutRunning || next.Previous != "v2" {
		t.Errorf("got %+v for a later command, want a new rollout from v2", next)
	}
}

// Guards against a rollout that runs on after its service was removed, and against state
// that a snapshot loses: both would differ after a change of leader.
func TestRolloutOfRemovedService(t *testing.T) {
	r := rolloutState(t)
	apply(t, r, 5000, start("v2"))
	apply(t, r, 5500, step(r, zinniatide.RolloutRunning, 0.1))
	routeServices(t, r, 2, "other")
	got := r.Configuration().Rollouts["s"]
	if got.State != zinniatide.RolloutRolledBack || got.Share != 0 {
		t.Errorf("got %+v, want rolled back", got)
	}
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if after := restored.Configuration().Rollouts["s"]; after != got {
		t.Errorf("restored: got %+v, want %+v", after, got)
	}
	if repeat, ok := apply(t, r, 6000, start("v2")).(zinniatide.Rollout); !ok || repeat != got {
		t.Errorf("got %+v for a repeat after the removal, want %+v", repeat, got)
	}
	checkRefusal(t, apply(t, r, 6000, start("v3")), zinniatide.CodeNotFound)
}

// Guards against ended rollouts of removed services that fill the configuration.
func TestRemovedRolloutsAreBounded(t *testing.T) {
	r := rolloutState(t)
	rollouts := map[zinniatide.ServiceID]*zinniatide.Rollout{}
	for i := range 2 * maxRemovedRollouts {
		rollouts[zinniatide.ServiceID(rune('a'+i))+"-gone"] = &zinniatide.Rollout{State: zinniatide.RolloutComplete, Service: zinniatide.ServiceID(rune('a'+i)) + "-gone", Number: zinniatide.Epoch(i)}
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{Rollouts: rollouts})
	r.commit(tx)
	routeServices(t, r, 2, "s")
	if got, want := len(r.Configuration().Rollouts), maxRemovedRollouts; got != want {
		t.Errorf("got %d rollouts of removed services, want %d", got, want)
	}
}

func checkRefusal(t *testing.T, result any, code zinniatide.Code) {
	t.Helper()
	err, _ := result.(error)
	var refusal *zinniatide.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code {
		t.Errorf("got %+v, want a refusal with %s", result, code)
	}
}

// Guards against a rollout to the only version that there is, in which nothing could serve
// the requests until the share rises.
func TestRolloutToOnlyVersion(t *testing.T) {
	r := rolloutState(t)
	only := Command{RolloutStart: &RolloutStart{Service: "s", Target: "v2", Ramp: 12_000, OnlyTarget: true}}
	if got, ok := apply(t, r, 5000, only).(zinniatide.Rollout); !ok || got.State != zinniatide.RolloutComplete || got.Share != 1 {
		t.Errorf("got %+v, want it complete", got)
	}
}

package relayer

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// newRolloutSimulation returns a simulation in which rollouts are in use. All servers run
// v1, and each service has as many servers of v2 that started later.
func newRolloutSimulation(t *testing.T, shards int) *simulation {
	t.Helper()
	sim := newSimulation(t, shards)
	sim.relayer.config.Rollouts = true
	sim.addVersion("v2")
	sim.updateRelayer()
	return sim
}

// addVersion sets the version of all servers without one to v1 and adds a server of
// another version for each.
func (sim *simulation) addVersion(version zinniatide.ServerVersion) {
	for _, e := range sim.enrollments {
		sim.addServer(string(e.Server)+string(version), e.Service, e.Zone, e.Slots)
	}
	for i := range sim.enrollments {
		e := &sim.enrollments[i]
		if e.Version == "" {
			e.Version = "v1"
		}
		if i >= len(sim.enrollments)/2 {
			e.Version, e.StartedAt = version, 5000
		}
	}
}

// setRollout sets the rollout of a service to v2.
func (sim *simulation) setRollout(service zinniatide.ServiceID, state zinniatide.RolloutState, share float64) {
	rollouts := map[zinniatide.ServiceID]zinniatide.Rollout{}
	for id, r := range sim.config.Rollouts {
		rollouts[id] = r
	}
	rollouts[service] = zinniatide.Rollout{Service: service, Target: "v2", Previous: "v1", Ramp: 12_000, State: state, Share: share, Number: 7, StartedAt: 1_000_000}
	sim.config.Rollouts = rollouts
	sim.config.Epoch++
	sim.updateRelayer()
}

// sends returns the requests that reached the servers of a version of a service so far.
func (sim *simulation) sends(service zinniatide.ServiceID, version zinniatide.ServerVersion) int {
	n := 0
	for _, e := range sim.enrollments {
		if e.Service == service && e.Version == version {
			n += sim.servers[e.Server].arrived
		}
	}
	return n
}

func (sim *simulation) setFault(version zinniatide.ServerVersion, result transporter.Result, status int) {
	for _, e := range sim.enrollments {
		if e.Version == version {
			sim.servers[e.Server].fault = func() (transporter.Result, int) { return result, status }
		}
	}
}

// setState changes the enrollments that match.
func (sim *simulation) change(f func(e *zinniatide.Enrollment)) {
	for i := range sim.enrollments {
		f(&sim.enrollments[i])
	}
	sim.updateRelayer()
}

// Guards against a target version that gets more than its share: by chance, because its
// failures are retried on it, or because slow responses are hedged on it. Its failures must
// not reach callers.
func TestShareOfTargetIsExact(t *testing.T) {
	faults := map[string]func(sim *simulation){
		"good":         func(*simulation) {},
		"target fails": func(sim *simulation) { sim.setFault("v2", transporter.Answered, 500) },
		"target drops": func(sim *simulation) { sim.setFault("v2", transporter.ConnectionLost, 0) },
		"target sheds": func(sim *simulation) { sim.setFault("v2", transporter.NotRun, 503) },
		"target absent": func(sim *simulation) {
			sim.change(func(e *zinniatide.Enrollment) { e.Ended = e.Ended || e.Version == "v2" })
		},
		"old is slow": func(sim *simulation) {
			for _, e := range sim.enrollments {
				if e.Version == "v1" && e.Server < "plain-2" {
					sim.servers[e.Server].drawWorkTime = func() zinniatide.Millis { return 300 }
				}
			}
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			sim := newRolloutSimulation(t, 0)
			sim.setRollout("plain", zinniatide.RolloutRunning, 0.05)
			inject(sim)
			out := sim.runLoad("/p/x", 100, 10_000, 5000, 0)
			got, want := sim.sends("plain", "v2"), out.sent*5/100
			if name == "target absent" {
				want = 0
			}
			if got > want || got < want-1 {
				t.Errorf("got %d of %d requests on the target version, want %d", got, out.sent, want)
			}
			if out.inTarget < out.sent*99/100 {
				t.Errorf("got %+v, want nearly all answered", *out)
			}
		})
	}
}

// Guards against a relay VM that sends to the target version after it may have missed a
// roll-back, and against one that does so again later with its old configuration.
func TestUnconfirmedVMSendsNothingToTarget(t *testing.T) {
	sim := newRolloutSimulation(t, 2)
	confirmedAt := sim.clock.Now()
	sim.relayer.deps.ConfirmedAt = func() zinniatide.Millis { return confirmedAt }
	for _, share := range []float64{0.5, 1} {
		confirmedAt = sim.clock.Now()
		sim.setRollout("plain", zinniatide.RolloutRunning, share)
		sim.setRollout("shard-00", zinniatide.RolloutRunning, share)
		sim.run(confirmedAt + maxConfirmationAge + 1)
		before := sim.sends("plain", "v2") + sim.sends("shard-00", "v2")
		plain := sim.runLoad("/p/x", 50, 2000, 5000, 0)
		gathered := sim.runLoad("/q/x", 20, 2000, 5000, 2)
		if got := sim.sends("plain", "v2") + sim.sends("shard-00", "v2") - before; got != 0 {
			t.Errorf("share %v: got %d requests on the target version, want 0", share, got)
		}
		if plain.inTarget != plain.sent || gathered.inTarget != gathered.sent {
			t.Errorf("share %v: got %+v and %+v, want all answered by the old version", share, *plain, *gathered)
		}
		confirmedAt = sim.clock.Now() + 1_000_000
		if sim.runLoad("/p/x", 50, 1000, 5000, 0); sim.sends("plain", "v2") == before {
			t.Errorf("share %v: got no request on the target version after a confirmation", share)
		}
	}
}

// Guards against requests to the wrong version in each state of a rollout, also when the
// servers of the right one are gone: old servers are stopped after completion, and a
// rolled-back version must get nothing.
func TestVersionsByState(t *testing.T) {
	const none, some = 0, 1
	for _, row := range []struct {
		name         string
		state        zinniatide.RolloutState // empty for no rollout
		share        float64
		gone         zinniatide.ServerVersion // leaves
		disabled     bool
		old, target  int
		wantAnswered bool
	}{
		{"unnamed version", "", 0, "", false, some, none, true},
		{"unnamed version, current one has left", "", 0, "v1", false, none, some, true},
		{"rollouts not in use", "", 0, "", true, some, some, true},
		{"rollout that is not in use", zinniatide.RolloutRolledBack, 0, "", true, some, some, true},
		{"start", zinniatide.RolloutRunning, 0, "", false, some, none, true},
		{"start, old version has left", zinniatide.RolloutRunning, 0, "v1", false, none, some, true},
		{"half", zinniatide.RolloutRunning, 0.5, "", false, some, some, true},
		{"half, target has left", zinniatide.RolloutRunning, 0.5, "v2", false, some, none, true},
		{"all", zinniatide.RolloutRunning, 1, "", false, none, some, true},
		{"complete", zinniatide.RolloutComplete, 1, "", false, none, some, true},
		{"complete, target has left", zinniatide.RolloutComplete, 1, "v2", false, none, none, false},
		{"rolled back", zinniatide.RolloutRolledBack, 0, "", false, some, none, true},
		{"rolled back, old version has left", zinniatide.RolloutRolledBack, 0, "v1", false, none, none, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim := newRolloutSimulation(t, 2)
			sim.relayer.config.Rollouts = !row.disabled
			for _, service := range []zinniatide.ServiceID{"plain", "shard-00", "shard-01"} {
				if row.state != "" {
					sim.setRollout(service, row.state, row.share)
				}
			}
			sim.change(func(e *zinniatide.Enrollment) {
				if e.Version == row.gone {
					e.State = zinniatide.StateLeaving
				}
			})
			plain, gathered := sim.runLoad("/p/x", 60, 3000, 5000, 0), sim.runLoad("/q/x", 20, 3000, 5000, 2)
			for _, service := range []zinniatide.ServiceID{"plain", "shard-00", "shard-01"} {
				for version, want := range map[zinniatide.ServerVersion]int{"v1": row.old, "v2": row.target} {
					if got := sim.sends(service, version); min(got, 1) != want {
						t.Errorf("%s: got %d requests on %s, want some: %v", service, got, version, want == some)
					}
				}
			}
			if got := plain.inTarget == plain.sent && gathered.inTarget == gathered.sent; got != row.wantAnswered {
				t.Errorf("got %+v and %+v, want all answered: %v", *plain, *gathered, row.wantAnswered)
			}
		})
	}
}

// Guards against an old server that gets a request at share 1, as a retry or a hedge, after
// the leader was told that none is in flight.
func TestFullShareSendsNothingToOldVersion(t *testing.T) {
	sim := newRolloutSimulation(t, 2)
	for _, service := range []zinniatide.ServiceID{"plain", "shard-00", "shard-01"} {
		sim.setRollout(service, zinniatide.RolloutRunning, 1)
	}
	for i, e := range sim.enrollments {
		if e.Version == "v2" && i%2 == 0 {
			sim.servers[e.Server].fault = func() (transporter.Result, int) { return transporter.Answered, 500 }
		}
	}
	sim.runLoad("/p/x", 60, 3000, 5000, 0)
	sim.runLoad("/q/x", 20, 3000, 5000, 2)
	for _, service := range []zinniatide.ServiceID{"plain", "shard-00", "shard-01"} {
		if got := sim.sends(service, "v1"); got != 0 {
			t.Errorf("%s: got %d requests on the old version, want 0", service, got)
		}
	}
}

// Guards against a rollout that goes wrong when it coincides with another operation.
func TestRolloutCoincides(t *testing.T) {
	zoneOut := func(sim *simulation, zone zinniatide.ZoneID) {
		sim.config.AvailabilityZones = map[zinniatide.ZoneID]zinniatide.StateSetting{zone: {State: zinniatide.StateOut}}
		sim.updateRelayer()
	}
	for _, row := range []struct {
		name   string
		during func(sim *simulation)
		// most and least are the bounds of the share of the target version.
		least, most float64
	}{
		{"evacuated zone with one of two targets", func(sim *simulation) { zoneOut(sim, "b") }, 0.19, 0.2},
		{"drain of one target", func(sim *simulation) {
			sim.change(func(e *zinniatide.Enrollment) {
				if e.Version == "v2" && e.Zone == "a" {
					e.State = zinniatide.StateLeaving
				}
			})
		}, 0.19, 0.2},
		{"drain of all targets", func(sim *simulation) {
			sim.change(func(e *zinniatide.Enrollment) {
				if e.Version == "v2" {
					e.State = zinniatide.StateLeaving
				}
			})
		}, 0, 0},
		{"servers of the old version replaced one by one", func(sim *simulation) {
			for i := range 4 {
				sim.After(zinniatide.Millis(500*i), func() {
					sim.change(func(e *zinniatide.Enrollment) {
						if e.Version == "v1" && e.StartedAt < 100 && int(e.Server[len(e.Server)-1])%4 == i {
							e.StartedAt += 100
						}
					})
				})
			}
		}, 0.19, 0.2},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim := newRolloutSimulation(t, 4)
			services := []zinniatide.ServiceID{"shard-01", "shard-03"}
			for _, service := range services {
				sim.setRollout(service, zinniatide.RolloutRunning, 0.2)
			}
			row.during(sim)
			out := sim.runLoad("/q/x", 50, 5000, 5000, 4)
			if out.inTarget != out.sent {
				t.Errorf("got %+v, want all answered", *out)
			}
			for _, service := range services {
				got := float64(sim.sends(service, "v2"))
				if got < row.least*float64(out.sent)-1 || got > row.most*float64(out.sent) {
					t.Errorf("%s: got %.0f of %d on the target version, want a share of %v to %v", service, got, out.sent, row.least, row.most)
				}
			}
			for _, service := range []zinniatide.ServiceID{"shard-00", "shard-02"} {
				if got := sim.sends(service, "v2"); got != 0 {
					t.Errorf("%s without a rollout: got %d on the other version, want 0", service, got)
				}
			}
		})
	}
}

// Guards against a changed set of shards that moves a rollout to another service, and
// against a route split by weight whose other target gets the share.
func TestRolloutWithChangedRoutes(t *testing.T) {
	sim := newRolloutSimulation(t, 4)
	sim.setRollout("shard-01", zinniatide.RolloutRunning, 0.2)
	first := sim.runLoad("/q/x", 50, 2000, 5000, 4)
	routing := *sim.config.Routing
	routing.Routes = append([]zinniatide.Route(nil), routing.Routes...)
	routing.Routes[0].Shards = []zinniatide.ServiceID{"shard-03", "shard-01"}
	routing.Routes[1].Targets = []zinniatide.WeightedService{{Service: "shard-01", Weight: 1}, {Service: "plain", Weight: 3}}
	sim.config.Routing, sim.config.RoutingNumber = &routing, 2
	sim.updateRelayer()
	second := sim.runLoad("/q/x", 50, 2000, 5000, 2)
	if got, want := sim.sends("shard-01", "v2"), (first.sent+second.sent)/5; got > want || got < want-1 {
		t.Errorf("got %d of %d on the target version of a shard, want %d", got, first.sent+second.sent, want)
	}
	before := sim.arrivals("shard-01")
	targetBefore := sim.sends("shard-01", "v2")
	split := sim.runLoad("/p/x", 50, 4000, 5000, 0)
	if split.inTarget != split.sent {
		t.Errorf("got %+v, want all answered", *split)
	}
	requests := float64(sim.arrivals("shard-01") - before) // with hedges, which go to the old version
	if got := float64(sim.sends("shard-01", "v2") - targetBefore); got > 0.2*requests+1 || got < 0.15*requests-1 {
		t.Errorf("got %.0f of %.0f split requests on the target version, want a fifth", got, requests)
	}
	if got := sim.sends("plain", "v2"); got != 0 {
		t.Errorf("got %d requests on the other version of the other target, want 0", got)
	}
}

// Guards against a rollout that floods cold servers of the target version.
func TestRolloutToColdServers(t *testing.T) {
	sim := newRolloutSimulation(t, 0)
	const rate = 5.0 // requests per second at each of four servers
	for i := range sim.config.Routing.Services {
		sim.config.Routing.Services[i].ColdRate = rate
	}
	sim.config.RoutingNumber++
	sim.change(func(e *zinniatide.Enrollment) {
		if e.Version == "v2" {
			e.ColdRemaining = 60_000
		}
	})
	sim.setRollout("plain", zinniatide.RolloutRunning, 0.5)
	out := sim.runLoad("/p/x", 100, 4000, 5000, 0)
	if got, most := sim.sends("plain", "v2"), int(4*rate*4)+4; got == 0 || got > most {
		t.Errorf("got %d requests at cold servers of the target version, want 1 to %d", got, most)
	}
	if out.inTarget != out.sent {
		t.Errorf("got %+v, want all answered", *out)
	}
}

// Guards against sends by delegates that exceed the share or hedge on the target version,
// and against counts that miss them.
func TestShareOfTargetWithDelegates(t *testing.T) {
	const shards, share = 8, 0.1
	m := newMesh(t, shards, map[zinniatide.VMID]zinniatide.ZoneID{"self": "a", "other": "b", "third": "b"})
	reports := map[zinniatide.VMID]*zinniatide.RolloutReports{}
	m.addVersion("v2")
	for vm, p := range m.processes {
		p.relayer.config.Rollouts = true
		p.relayer.deps.ReportRollouts = func(r *zinniatide.RolloutReports) { reports[vm] = r }
	}
	m.config.Rollouts = map[zinniatide.ServiceID]zinniatide.Rollout{}
	for i := range shards {
		service := zinniatide.ServiceID(fmt.Sprintf("shard-%02d", i))
		m.config.Rollouts[service] = zinniatide.Rollout{Service: service, Target: "v2", Previous: "v1", State: zinniatide.RolloutRunning, Share: share, Number: 3}
	}
	// Zone a has no server of the old version of half of the shards.
	for i := range m.enrollments {
		e := &m.enrollments[i]
		e.Ended = e.Zone == "a" && e.Version == "v1" && i%4 < 2
		if e.Version == "v2" {
			m.servers[e.Server].drawWorkTime = func() zinniatide.Millis { return 70 } // late, so that it is hedged
		}
	}
	m.update()
	const queries = 400
	for i := range queries {
		m.ask("self", fmt.Sprint("q", i))
		m.run(m.clock.Now() + 15)
	}
	m.run(m.clock.Now() + 3000)
	for service := range m.config.Rollouts {
		got := m.sends(service, "v2")
		// The requests are not divided evenly, so each VM may be ahead by its first credit.
		if want := int(share * queries); got > want+1 || got < want-3 {
			t.Errorf("%s: got %d of %d requests on the target version, want %d, at most 1 more", service, got, queries, want)
		}
		var requests, sent uint64
		for _, r := range reports {
			for _, report := range r.Reports {
				if report.Service != service {
					continue
				}
				requests += report.Requests
				for _, counts := range report.Routes {
					sent += counts.Target.Sent
				}
			}
		}
		if int(requests) != queries || int(sent) != got {
			t.Errorf("%s: got %d requests and %d sends to the target version reported, want %d and %d", service, requests, sent, queries, got)
		}
	}
}

// Guards against reports that miss results, go on without a rollout, or do not say that
// requests are in flight at old servers.
func TestRolloutReports(t *testing.T) {
	sim := newRolloutSimulation(t, 0)
	var last *zinniatide.RolloutReports
	reports := 0
	sim.relayer.deps.ReportRollouts = func(r *zinniatide.RolloutReports) {
		last = r
		reports++
	}
	sim.runLoad("/p/x", 50, 1000, 5000, 0)
	if reports != 0 {
		t.Errorf("got %d reports without a rollout, want 0", reports)
	}
	sim.setRollout("plain", zinniatide.RolloutRunning, 0.25)
	for _, e := range sim.enrollments {
		if e.Version == "v2" {
			sim.servers[e.Server].fault = func() (transporter.Result, int) { return transporter.Answered, 500 }
		}
	}
	out := sim.runLoad("/p/x", 50, 1000, 5000, 0)
	if last == nil || len(last.Reports) != 1 || len(last.Reports[0].Routes) != 1 {
		t.Fatalf("got %+v, want a report on one route", last)
	}
	report, counts := &last.Reports[0], &last.Reports[0].Routes[0]
	target := uint64(sim.sends("plain", "v2"))
	if report.Requests != uint64(out.sent) || !report.TargetAvailable || report.OldInFlight != 0 || counts.Route != "plain" || last.Process != 1 || last.Epoch != sim.config.Epoch {
		t.Errorf("got %+v, want %d requests on route plain, a target and none in flight", report, out.sent)
	}
	if counts.Target.Sent != target || counts.Target.Failures != target {
		t.Errorf("got %+v on the target version, want %d sent and failed", counts.Target, target)
	}
	var old uint64
	for _, n := range counts.Old.Latencies {
		old += n
	}
	if counts.Old.Sent != old || counts.Old.Sent < uint64(out.sent)-target || counts.Old.Failures != 0 {
		t.Errorf("got %+v on the old version, want at least %d sent and answered", counts.Old, uint64(out.sent)-target)
	}
	for _, e := range sim.enrollments {
		sim.servers[e.Server].drawWorkTime = func() zinniatide.Millis { return 2000 }
	}
	for range 8 {
		sim.sendRequest("/once/x", 5000, 0, out) // not hedged
	}
	sim.run(sim.clock.Now() + 250)
	if last.Reports[0].OldInFlight != 6 {
		t.Errorf("got %d requests in flight at old servers, want 6 of 8", last.Reports[0].OldInFlight)
	}
	sim.relayer.deps.ConfirmedAt = func() zinniatide.Millis { return 0 }
	sim.run(sim.clock.Now() + 6000)
	if last.Reports[0].OldInFlight == 0 {
		t.Error("got no request in flight at old servers on an unconfirmed VM, want it to count as one that sends to them")
	}
	sim.setRollout("plain", zinniatide.RolloutComplete, 1)
	before := reports
	sim.run(sim.clock.Now() + 3000)
	if reports != before {
		t.Errorf("got %d reports after the end of the rollout, want 0", reports-before)
	}
}

// Guards against a frozen relay VM that sends to the target version on after its
// configuration has become too old.
func TestFrozenVMAfterRollBack(t *testing.T) {
	sim := newRolloutSimulation(t, 0)
	confirmedAt := sim.clock.Now()
	sim.relayer.deps.ConfirmedAt = func() zinniatide.Millis { return confirmedAt }
	sim.setRollout("plain", zinniatide.RolloutRunning, 0.5)
	// The VM stands still for 4 s, in which the version is rolled back. It serves callers
	// before it gets the new configuration.
	sim.clock.Advance(4000)
	out := sim.runLoad("/p/x", 100, 500, 5000, 0)
	if got := sim.sends("plain", "v2"); got != 0 || out.inTarget != out.sent {
		t.Errorf("got %d requests on the target version and %+v, want none and all answered", got, *out)
	}
}

// Guards against a version that no command has named and that gets all requests because
// the servers of the current version were replaced by later ones.
func TestReplacedServersKeepCurrentVersion(t *testing.T) {
	sim := newRolloutSimulation(t, 0)
	for i := range 4 {
		sim.change(func(e *zinniatide.Enrollment) {
			if e.Version == "v1" && e.StartedAt < 100 && int(e.Server[len(e.Server)-1])%4 == i {
				e.StartedAt = 9000
			}
		})
	}
	out := sim.runLoad("/p/x", 50, 2000, 5000, 0)
	if got := sim.sends("plain", "v2"); got != 0 || out.inTarget != out.sent {
		t.Errorf("got %d requests on the other version and %+v, want none and all answered", got, *out)
	}
}

// Guards against a target version that gets nothing, or too much, because each of many VMs
// has few requests.
func TestShareOfTargetOnManyVMs(t *testing.T) {
	const vms, perVM, share = 40, 4, 0.05
	zones := map[zinniatide.VMID]zinniatide.ZoneID{}
	for i := range vms {
		zones[zinniatide.VMID(fmt.Sprintf("vm-%02d", i))] = "a"
	}
	m := newMesh(t, 2, zones)
	m.addVersion("v2")
	for _, p := range m.processes {
		p.relayer.config.Rollouts = true
	}
	m.config.Rollouts = map[zinniatide.ServiceID]zinniatide.Rollout{}
	for _, service := range []zinniatide.ServiceID{"shard-00", "shard-01"} {
		m.config.Rollouts[service] = zinniatide.Rollout{Service: service, Target: "v2", Previous: "v1", State: zinniatide.RolloutRunning, Share: share, Number: 3}
	}
	m.update()
	for i := range vms * perVM {
		m.ask(sortedKeys(zones)[i%vms], fmt.Sprint("q", i))
		m.run(m.clock.Now() + 40)
	}
	m.run(m.clock.Now() + 3000)
	for service := range m.config.Rollouts {
		if got, want := m.sends(service, "v2"), int(vms*perVM*share); got != want {
			t.Errorf("%s: got %d of %d requests on the target version, want %d", service, got, vms*perVM, want)
		}
	}
}

// Guards against a target version that gets all requests while the old servers are only
// unreachable, or their zone is out.
func TestUnreachableOldServersDoNotRaiseShare(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		sim := newRolloutSimulation(t, 0)
		sim.change(func(e *zinniatide.Enrollment) {
			if e.Version == "v2" {
				e.Zone = "b"
			}
		})
		sim.setRollout("plain", zinniatide.RolloutRunning, 0.05)
		sim.runLoad("/p/x", 100, 1000, 5000, 0)
		for _, e := range sim.enrollments {
			if e.Version == "v1" {
				sim.servers[e.Server].unreachable = !evacuated
			}
		}
		if evacuated {
			sim.config.AvailabilityZones = map[zinniatide.ZoneID]zinniatide.StateSetting{"a": {State: zinniatide.StateOut}}
			sim.updateRelayer()
		}
		before := sim.sends("plain", "v2")
		out := sim.runLoad("/p/x", 100, 5000, 5000, 0)
		if got, most := sim.sends("plain", "v2")-before, out.sent*5/100+1; got > most {
			t.Errorf("evacuated %v: got %d of %d requests on the target version, want at most %d", evacuated, got, out.sent, most)
		}
	}
}

// Guards against a service without servers for most requests, when the servers of the old
// version are replaced one by one by servers of the target version before the share is 1.
func TestServersReplacedByTargetVersion(t *testing.T) {
	sim := newSimulation(t, 0)
	sim.relayer.config.Rollouts = true
	sim.change(func(e *zinniatide.Enrollment) { e.Version = "v1" })
	sim.setRollout("plain", zinniatide.RolloutRunning, 0.05)
	for i := range 4 {
		sim.After(zinniatide.Millis(1000*i), func() {
			e := &sim.enrollments[i]
			e.StartedAt, e.Version = 9000, "v2"
			sim.updateRelayer()
		})
	}
	out := sim.runLoad("/p/x", 60, 6000, 5000, 0)
	if out.inTarget+out.late != out.sent {
		t.Errorf("got %+v, want all answered", *out)
	}
}

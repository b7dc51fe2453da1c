package relayer

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/throttler"
	"zinniatide.example/zinniatide/transporter"
)

// replace enrolls a new process of each of the named servers.
func (sim *simulation) replace(ids ...zinniatide.BackendServerID) {
	for i := range sim.enrollments {
		for _, id := range ids {
			if sim.enrollments[i].Server == id {
				sim.enrollments[i].StartedAt++
			}
		}
	}
	sim.updateRelayer()
}

func (sim *simulation) paces(cause throttler.Cause) int {
	return int(testutil.ToFloat64(sim.relayer.metrics.paces.WithLabelValues(string(cause))))
}

// Guards against a pace of servers that have not returned from anything: those that a
// VM finds at its start, and all in undisturbed operation.
func TestNoPaceWithoutReturn(t *testing.T) {
	sim := newSimulation(t, testShards)
	for _, path := range []string{"/p/x", "/q/x"} {
		sim.runLoad(path, 50, 3000, testTarget, testShards)
	}
	sim.updateRelayer()
	if got := sim.relayer.pacedServers(); got != 0 {
		t.Errorf("got %d paced servers, want 0", got)
	}
	for _, cause := range []throttler.Cause{throttler.CauseNew, throttler.CauseCold, throttler.CauseBackoff, throttler.CausePause, throttler.CauseFailures} {
		if got := sim.paces(cause); got != 0 {
			t.Errorf("got %d paces by %s, want 0", got, cause)
		}
	}
}

// Guards against a healthy new process that stays paced, and against a burst at it:
// one request in flight at first.
func TestNewProcessIsPacedUntilItAnswers(t *testing.T) {
	sim := newSimulation(t, testShards)
	sim.runLoad("/p/x", 300, 2000, testTarget, 0)
	sim.replace("plain-1")
	s := sim.servers["plain-1"]
	begin := sim.clock.Now()
	s.drawWorkTime = func() zinniatide.Millis { return 15 }
	out := &outcomeCounts{}
	for range 20 {
		sim.sendRequest("/p/x", testTarget, 0, out) // all at once
	}
	if got, want := s.arrivedBetween(begin, begin+1), 1; got != want {
		t.Errorf("got %d requests of a burst at the new process, want %d", got, want)
	}
	if got, want := sim.paces(throttler.CauseNew), 1; got != want {
		t.Errorf("got %d paces of new processes, want %d", got, want)
	}
	out = sim.runLoad("/p/x", 300, 1000, testTarget, 0)
	if got := sim.relayer.pacedServers(); got != 0 {
		t.Errorf("got %d paced servers after 1 s of good answers, want 0", got)
	}
	if out.failed+out.refused > 0 {
		t.Errorf("got %d failed and %d refused requests, want none", out.failed, out.refused)
	}
}

// Guards against VMs that each send what a returned server can take from all of them: of
// ten VMs in the zone, this one, the last in order, waits for the others' first requests.
func TestPaceIsSharedByTheVMsOfTheZone(t *testing.T) {
	sim := newSimulation(t, testShards)
	sim.runLoad("/p/x", 300, 2000, testTarget, 0)
	for _, vm := range []zinniatide.VMID{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"} {
		sim.config.Members[vm] = zinniatide.Member{VM: vm, Zone: "a", Relay: true, State: zinniatide.StateIn}
	}
	sim.replace("plain-1")
	begin := sim.clock.Now()
	for range 150 {
		sim.sendRequest("/p/x", testTarget, 0, &outcomeCounts{})
		sim.run(sim.clock.Now() + 10)
	}
	// 0.9 of the time between sends at the start, 10 VMs x 15 ms for one in flight.
	s := sim.servers["plain-1"]
	if got := s.arrivedBetween(begin, begin+100); got != 0 {
		t.Errorf("got %d requests at the new process in 100 ms, want 0", got)
	}
	if got := s.arrivedBetween(begin+100, begin+1500); got < 3 {
		t.Errorf("got %d requests at the new process in 1.5 s, want at least 3", got)
	}
}

// Guards against refusals because all servers of a service are paced.
func TestRequestsAreServedIfAllServersArePaced(t *testing.T) {
	sim := newSimulation(t, testShards)
	sim.runLoad("/p/x", 300, 2000, testTarget, 0)
	sim.replace("plain-0", "plain-1", "plain-2", "plain-3")
	out := &outcomeCounts{}
	for range 12 { // as many as there are slots
		sim.sendRequest("/p/x", testTarget, 0, out)
	}
	sim.run(sim.clock.Now() + 1000)
	if out.inTarget != 12 {
		t.Errorf("got %d of 12 requests served, %d refused and %d failed, want all served", out.inTarget, out.refused, out.failed)
	}
	for _, id := range []zinniatide.BackendServerID{"plain-0", "plain-1", "plain-2", "plain-3"} {
		if got, most := sim.servers[id].arrivedBetween(sim.clock.Now()-1000, sim.clock.Now()), 3; got > most {
			t.Errorf("got %d requests at %s, want at most %d: the least loaded server gets the next one", got, id, most)
		}
	}
	if got := testutil.ToFloat64(sim.relayer.metrics.paceExceeded); got == 0 {
		t.Error("got no count of requests sent against the pace, want some")
	}
}

// Guards against a request that is refused by full servers while one that is held back
// by its pace would take it. Its rules come first: it is not asked while it is paused.
func TestLastAttemptIgnoresThePace(t *testing.T) {
	for _, paused := range []bool{false, true} {
		sim := newSimulation(t, testShards)
		sim.runLoad("/p/x", 100, 2000, testTarget, 0)
		sim.replace("plain-3")
		begin := sim.clock.Now()
		for _, id := range []zinniatide.BackendServerID{"plain-0", "plain-1", "plain-2"} {
			sim.servers[id].slots, sim.servers[id].queue = 0, 0
			sim.relayer.servers[processKey{id, 1}].SetReportedQueue(12, begin)
		}
		s := sim.relayer.servers[processKey{"plain-3", 2}]
		s.RecordStart(begin) // one request in flight is its limit
		if paused {
			s.PauseUntil(begin + 10_000)
		}
		out := &outcomeCounts{}
		sim.sendRequest("/p/x", testTarget, 0, out)
		sim.run(begin + 100)
		if got, want := out.inTarget == 1, !paused; got != want {
			t.Errorf("paused %v: got served %v, want %v", paused, got, want)
		}
		if got, want := sim.servers["plain-3"].arrivedBetween(begin, begin+100) > 0, !paused; got != want {
			t.Errorf("paused %v: got a request at the paced server %v, want %v", paused, got, want)
		}
	}
}

// Guards against hedges that flood a server that is paced: they go only as its pace
// allows, since the request already waits for another server.
func TestHedgesObserveThePace(t *testing.T) {
	sim := newSimulation(t, testShards)
	sim.runLoad("/q/x", 50, 2000, testTarget, testShards)
	sim.replace("shard-00b")
	begin := sim.clock.Now()
	sim.servers["shard-00a"].drawWorkTime = func() zinniatide.Millis { return 100 }
	sim.servers["shard-00b"].drawWorkTime = func() zinniatide.Millis { return 100 }
	out := &outcomeCounts{}
	for range 5 {
		sim.sendRequest("/q/x", testTarget, testShards, out)
	}
	sim.run(begin + 90) // hedged, and nothing is answered
	if got, most := sim.servers["shard-00b"].arrivedBetween(begin, begin+90), 1; got > most {
		t.Errorf("got %d hedges at the paced server, want at most %d", got, most)
	}
}

// Guards against a server that is not paced when it returns from a backoff, and one that
// is not paced after a run of failures.
func TestPaceAfterBackoffAndFailures(t *testing.T) {
	sim := newSimulation(t, testShards)
	sim.runLoad("/p/x", 300, 1000, testTarget, 0)
	sim.servers["plain-1"].unreachable = true
	sim.runLoad("/p/x", 300, 1000, testTarget, 0)
	sim.servers["plain-1"].unreachable = false
	sim.runLoad("/p/x", 300, 3000, testTarget, 0)
	if got := sim.paces(throttler.CauseBackoff); got != 1 {
		t.Errorf("got %d paces after a backoff, want 1", got)
	}
	sim.servers["plain-2"].fault = func() (transporter.Result, int) { return transporter.Answered, 500 }
	sim.runLoad("/p/x", 300, 10_000, testTarget, 0)
	if got := sim.paces(throttler.CauseFailures); got != 1 {
		t.Errorf("got %d paces after a run of failures, want 1", got)
	}
	sim.servers["plain-2"].fault = nil
	sim.runLoad("/p/x", 300, 15_000, testTarget, 0)
	if got := sim.relayer.pacedServers(); got != 0 {
		t.Errorf("got %d paced servers at the end, want 0", got)
	}
}

package relayer

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
)

// arrivedBetween returns the number of requests that reached the server in
// [from, until).
func (s *simServer) arrivedBetween(from, until zinniatide.Millis) int {
	n := 0
	for _, at := range s.arrivedAt {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

// Guards against work for a server that has said in an answer that it is leaving:
// not by a retry or a hedge, and not because a late heartbeat or an older table says
// that it is ready. Only a new process at the address is used again.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/p/x", "/once/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			sim := newSimulation(t, testShards)
			leaving := sim.servers["plain-1"]
			if path == "/q/x" {
				leaving = sim.servers["shard-03a"]
			}
			leaving.leaving = true
			load := func(n int) {
				for range n {
					sim.requestCount++
					if got := sim.serve(fmt.Sprint("r", sim.requestCount), path).Status; got != 200 {
						t.Errorf("got status %d, want 200", got)
					}
				}
			}
			load(60)
			if got, want := leaving.arrived, 1; got != want {
				t.Fatalf("got %d requests at the leaving server, want %d", got, want)
			}
			if leaving.recalls == 0 {
				t.Error("requests that waited for the leaving server were not recalled")
			}
			enrollments := sim.enrollments
			for name, change := range map[string]func(e *zinniatide.Enrollment){
				"late heartbeat":  func(e *zinniatide.Enrollment) { e.Sequence += 10 },
				"older table":     func(*zinniatide.Enrollment) {},
				"warm again":      func(e *zinniatide.Enrollment) { e.ColdRemaining = 0 },
				"ready once more": func(e *zinniatide.Enrollment) { e.State = zinniatide.StateIn },
			} {
				sim.enrollments = nil
				if name == "older table" {
					sim.updateRelayer() // the process is unknown for a moment
				}
				for _, e := range enrollments {
					if e.Server == leaving.id {
						change(&e)
					}
					sim.enrollments = append(sim.enrollments, e)
				}
				sim.updateRelayer()
				load(40)
				if got, want := leaving.arrived, 1; got != want {
					t.Fatalf("%s: got %d requests at the leaving server, want %d", name, got, want)
				}
			}
			leaving.leaving = false
			for i := range sim.enrollments {
				if sim.enrollments[i].Server == leaving.id {
					sim.enrollments[i].StartedAt++
				}
			}
			sim.updateRelayer()
			load(60)
			if leaving.arrived <= 1 {
				t.Error("got no request at a new process of the server, want some")
			}
		})
	}
}

// Guards against a leaving server that only a delegate has heard of.
func TestDelegatingVMLearnsOfLeavingServers(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	sim.servers["shard-03a"].leaving = true
	for n := range 20 {
		sim.serve(fmt.Sprint("r", n), "/q/x")
	}
	if links.calls == 0 {
		t.Fatal("got no call to the delegate, want one for each query")
	}
	if s := sim.relayer.servers[processKey{"shard-03a", 1}]; !s.IsLeaving() {
		t.Error("got a server that is not leaving at the delegating VM, want it leaving")
	}
}

// Guards against requests to a server that has asked for a pause, against a burst at
// its end, and against callers that wait or return together while all servers of a
// service are paused.
func TestPausedServerIsLeftAlone(t *testing.T) {
	const pause, half = 3000, 500
	sim := newSimulation(t, testShards)
	paused := sim.servers["plain-1"]
	paused.pause = pause
	answered := zinniatide.Millis(0)
	out := &outcomeCounts{}
	for range 1000 { // ten seconds
		for range 4 {
			sim.sendRequest("/p/x", 500, 0, out)
		}
		sim.run(sim.clock.Now() + 10)
		if answered == 0 && paused.arrived > 0 {
			answered = sim.clock.Now()
			paused.pause = 0 // it serves again afterwards
		}
	}
	if got, most := paused.arrivedBetween(answered+half, answered+pause-10), 2; got > most {
		t.Errorf("got %d requests during the pause, want %d at most", got, most)
	}
	if got, most := paused.arrivedBetween(answered+pause-10, answered+pause+250), 40; got > most || got == 0 {
		t.Errorf("got %d requests in the first 250 ms after the pause, want 1 to %d", got, most)
	}
	if out.failed+out.refused > 0 {
		t.Errorf("got %d failed and %d refused requests while other servers were free, want none", out.failed, out.refused)
	}

	sim = newSimulation(t, testShards)
	for i := range 4 {
		sim.servers[zinniatide.BackendServerID(fmt.Sprint("plain-", i))].pause = pause
	}
	start := sim.clock.Now()
	first := &outcomeCounts{}
	for range 4 { // until all are paused
		sim.sendRequest("/p/x", 500, 0, first)
		sim.run(sim.clock.Now() + 20)
	}
	sent := sim.arrived()
	times := map[zinniatide.Millis]bool{}
	for n := range 40 {
		asked := sim.clock.Now()
		var reply Reply
		sim.relayer.Serve(&Request{ID: fmt.Sprint("r", n), Host: "h", Path: "/p/x", Head: []byte("GET /p/x HTTP/1.1\r\n"), ArrivedAt: asked, Timeout: 1000},
			func(r Reply) { reply = r })
		if reply.Status != 503 {
			t.Fatalf("got status %d %d ms after the start, want 503 at once", reply.Status, asked-start)
		}
		times[reply.RetryAfter] = true
		if reply.RetryAfter <= 0 || reply.RetryAfter > pause*5/4+1 {
			t.Errorf("got retry after %d ms, want more than 0 and at most %d", reply.RetryAfter, pause*5/4+1)
		}
	}
	if got := sim.arrived(); got != sent {
		t.Errorf("got %d requests at paused servers, want none", got-sent)
	}
	if got, least := len(times), 20; got < least {
		t.Errorf("got %d different times to return for 40 callers, want at least %d", got, least)
	}
}

package relayer

import (
	"fmt"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against delegates whose replies miss the cutoff again and again because they need
// longer than the round trip: each costs a query the parts of the delegate, and the delegate
// gets nothing for a second. The load is that of a VM with a fifth of a core.
func TestSlowRepliesAreAskedForEarlier(t *testing.T) {
	for _, row := range []struct {
		name      string
		latency   zinniatide.Millis // of a message between VMs
		wantDelay bool
	}{{"fast", 1, false}, {"slow", 6, true}} {
		m := newMesh(t, testShards, map[zinniatide.VMID]zinniatide.ZoneID{"self": "a", "other": "b"})
		m.enrollments = slices.DeleteFunc(m.enrollments, func(e zinniatide.Enrollment) bool { return e.Zone == "a" })
		m.latency = func() zinniatide.Millis { return row.latency }
		// One shard is always late, so that the delegate waits until its cutoff.
		m.servers["shard-00b"].drawWorkTime = func() zinniatide.Millis { return 150 }
		m.update()
		late := 0
		const queries, counted = 40, 15
		for i := range queries {
			answer, _ := m.ask("self", fmt.Sprint("r", i))
			sentAt := m.clock.Now()
			m.run(sentAt + 1100)
			if answer.reply.Status != 200 {
				t.Fatalf("%s: got status %d, want 200", row.name, answer.reply.Status)
			}
			if d := m.processes["self"].relayer.delegates["b"][0]; i >= queries-counted && d.backoffUntil > sentAt {
				late++
			}
		}
		if got, want := late, counted/3; got > want {
			t.Errorf("%s: got %d late replies in the last %d queries, want at most %d", row.name, got, counted, want)
		}
		if got := m.processes["self"].relayer.remoteReplyTime.Estimate() > remoteRoundTrip; got != row.wantDelay {
			t.Errorf("%s: got a reply time above the round trip: %v, want %v", row.name, got, row.wantDelay)
		}
	}
}

// Guards against a query with many shards and a short target that waits for its parts until
// the answer cannot arrive in time any more.
func TestCutoffLeavesTimeForTheReply(t *testing.T) {
	for _, row := range []struct {
		shards       int
		target, want zinniatide.Millis
	}{{8, 120, 109}, {8, 40, 29}, {90, 40, 19}, {135, 40, 14}, {400, 40, 14}} {
		sim := newSimulation(t, row.shards)
		sim.config.Routing.Routes[0].TargetLatency = row.target
		sim.config.RoutingNumber++
		sim.updateRelayer()
		g := &gatherRequest{activeRequest: activeRequest{r: sim.relayer, req: &Request{ID: "r", ArrivedAt: sim.clock.Now()}, respond: func(Reply) {},
			route: sim.relayer.table.Match("h", "/q/x"), startedAt: sim.clock.Now(), deadline: sim.clock.Now() + 1000}}
		sim.lock.Lock()
		g.start()
		sim.lock.Unlock()
		if got := g.cutoff - g.req.ArrivedAt; got != row.want {
			t.Errorf("%d shards, target %d ms: got a cutoff of %d ms, want %d ms", row.shards, row.target, got, row.want)
		}
	}
}

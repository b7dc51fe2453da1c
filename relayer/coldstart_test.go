package relayer

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against several VMs that each send the whole rate of a cold server, because
// none of them knows the active relay VMs yet.
func TestColdServersWithoutKnownRelays(t *testing.T) {
	sim := newSimulation(t, testShards)
	for i := range sim.config.Routing.Services {
		sim.config.Routing.Services[i].ColdRate = 10
	}
	sim.config.RoutingNumber++
	sim.config.Members = map[zinniatide.VMID]zinniatide.Member{}
	for i := range sim.enrollments {
		sim.enrollments[i].ColdRemaining, sim.enrollments[i].Sequence = 60_000, 2
	}
	sim.updateRelayer()
	for _, path := range []string{"/q/x", "/p/x"} {
		sim.runLoad(path, 20, 1000, testTarget, testShards)
	}
	for id, s := range sim.servers {
		if s.arrived > 0 {
			t.Errorf("got %d requests at cold server %s, want 0", s.arrived, id)
		}
	}
}

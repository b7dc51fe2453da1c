package relayer

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against requests that wait for a connection to a server and reach it after
// its zone was taken out.
func TestEvacuationRecallsWaitingRequests(t *testing.T) {
	sim := newSimulation(t, 2)
	setZone := func(state zinniatide.ServingState) {
		sim.config.AvailabilityZones = map[zinniatide.ZoneID]zinniatide.StateSetting{"b": {State: state}}
		sim.updateRelayer()
	}
	for _, step := range []struct {
		state zinniatide.ServingState
		want  int
	}{{zinniatide.StateIn, 0}, {zinniatide.StateOut, 1}, {zinniatide.StateOut, 1}, {zinniatide.StateIn, 1}, {zinniatide.StateOut, 2}} {
		setZone(step.state)
		for _, e := range sim.enrollments {
			want := 0
			if e.Zone == "b" {
				want = step.want
			}
			if got := sim.servers[e.Server].recalls; got != want {
				t.Errorf("zone b %s: got %d recalls at server %s in zone %s, want %d", step.state, got, e.Server, e.Zone, want)
			}
		}
	}
}

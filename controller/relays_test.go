package controller

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against too few active relay VMs during a burst of load, and against
// counts that are reduced after every short drop in load.
func TestRelayCountFollowsLoad(t *testing.T) {
	c := &zinniatide.Configuration{
		Members:      map[zinniatide.VMID]zinniatide.Member{"1": {Relay: true, Zone: "a"}},
		ActiveRelays: map[zinniatide.ZoneID]int{},
	}
	var r relayCountPlanner
	for _, step := range []struct {
		at   zinniatide.Millis
		load float64
		want int
	}{
		{1000, 0, minRelaysPerZone}, {2000, 9.5, 10}, {3000, 4.5, 10}, {4000, 25, 25}, {5000, 1, 25}, {12_000, 25, 25},
		{13_000, 1, 25}, {27_000, 1, 25}, {28_000, 1, minRelaysPerZone},
	} {
		for zone, n := range r.plan(c, map[zinniatide.ZoneID]float64{"a": step.load}, step.at) {
			c.ActiveRelays[zone] = n
		}
		if got := c.ActiveRelays["a"]; got != step.want {
			t.Errorf("at %d with load %.1f: got %d, want %d", step.at, step.load, got, step.want)
		}
	}
}

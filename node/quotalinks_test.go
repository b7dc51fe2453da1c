package node

import (
	"fmt"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/granter"
)

// Guards against relay VMs that cannot reach the VM that counts a workspace, and against
// more links where no workspace has a limit.
func TestLinksToCountingVMs(t *testing.T) {
	c := &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{}, ActiveRelays: map[zinniatide.ZoneID]int{"a": 8, "b": 8, "c": 8}}
	for i := range 60 {
		vm := zinniatide.VMID(fmt.Sprintf("relay-%d", i))
		c.Members[vm] = zinniatide.Member{VM: vm, Zone: zinniatide.ZoneID(rune('a' + i%3)), Relay: true, State: zinniatide.StateIn}
	}
	peersOf := func(vm zinniatide.VMID) []zinniatide.VMID {
		r := &Relay{cfg: RelayConfig{VM: vm, Zone: c.Members[vm].Zone, CallerAddress: "x"}}
		return r.linkedPeers(c)
	}
	before := map[zinniatide.VMID]int{}
	for vm := range c.Members {
		before[vm] = len(peersOf(vm))
	}
	c.Routing = &zinniatide.Routing{Workspaces: []zinniatide.RelayWorkspace{{Workspace: "free"}}}
	for vm := range c.Members {
		if got := len(peersOf(vm)); got != before[vm] {
			t.Errorf("%s: got %d links without a limit, want %d", vm, got, before[vm])
		}
	}
	c.Routing.Workspaces = append(c.Routing.Workspaces, zinniatide.RelayWorkspace{Workspace: "limited", Rate: 1})
	counters := granter.Counters(c)
	if got, want := len(counters), 3*granter.CountersPerZone; got != want {
		t.Errorf("got %d counting VMs, want %d", got, want)
	}
	for vm := range c.Members {
		for _, counter := range counters {
			if !slices.Contains(peersOf(vm), counter) {
				t.Errorf("%s: got no link to %s, which counts", vm, counter)
			}
		}
	}
}

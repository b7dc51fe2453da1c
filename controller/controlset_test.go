package controller

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a set of control VMs that shrinks because a VM is absent, grows
// beyond its target size, or never replaces a VM that was lost permanently.
func TestNextControlSet(t *testing.T) {
	member := func(state zinniatide.ServingState, control bool) zinniatide.Member {
		return zinniatide.Member{Control: control, State: state, PeerAddress: "x"}
	}
	in, leaving := member(zinniatide.StateIn, true), member(zinniatide.StateLeaving, true)
	relay := member(zinniatide.StateIn, false)
	type members = map[zinniatide.VMID]zinniatide.Member
	for _, row := range []struct {
		name    string
		set     []zinniatide.VMID
		members members
		wanted  int
		want    []zinniatide.VMID // nil for no change
	}{
		{"complete", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in}, 3, nil},
		{"absent without a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "r": relay}, 3, nil},
		{"absent with a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "3": in, "4": in}, 3, []zinniatide.VMID{"1", "4", "3"}},
		{"leaving with a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": leaving, "2": in, "3": in, "4": in}, 3, []zinniatide.VMID{"4", "2", "3"}},
		{"candidate for a complete set", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in, "4": in}, 3, nil},
		{"three of five", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in, "4": in, "5": in}, 5, []zinniatide.VMID{"1", "2", "3", "4"}},
		{"no set yet", nil, members{"1": in}, 3, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := &zinniatide.Configuration{Members: row.members}
			for _, vm := range row.set {
				c.ControlVMs = append(c.ControlVMs, zinniatide.ControlVM{VM: vm, PeerAddress: "x"})
			}
			got, ok := nextControlSet(c, row.wanted)
			if ok != (row.want != nil) || len(got) != len(row.want) {
				t.Fatalf("got %v, change %v, want %v", got, ok, row.want)
			}
			for i, vm := range got {
				if vm.VM != row.want[i] {
					t.Errorf("got %s at %d, want %s", vm.VM, i, row.want[i])
				}
			}
		})
	}
}

package controller

import (
	"slices"
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
		silent  zinniatide.VMID
		wanted  int
		want    []zinniatide.VMID // nil for no change
	}{
		{"complete", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in}, "", 3, nil},
		{"absent without a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "r": relay}, "", 3, nil},
		{"absent with a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "3": in, "4": in}, "", 3, []zinniatide.VMID{"1", "4", "3"}},
		{"leaving with a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": leaving, "2": in, "3": in, "4": in}, "", 3, []zinniatide.VMID{"4", "2", "3"}},
		{"candidate for a complete set", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in, "4": in}, "", 3, nil},
		{"three of five", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in, "4": in, "5": in}, "", 5, []zinniatide.VMID{"1", "2", "3", "4"}},
		{"silent without a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in}, "2", 3, nil},
		{"silent with a candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "2": in, "3": in, "4": in}, "2", 3, []zinniatide.VMID{"1", "4", "3"}},
		{"absent with a silent candidate", []zinniatide.VMID{"1", "2", "3"}, members{"1": in, "3": in, "4": in}, "4", 3, nil},
		{"no set yet", nil, members{"1": in}, "", 3, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := &zinniatide.Configuration{Members: row.members}
			for _, vm := range row.set {
				c.ControlVMs = append(c.ControlVMs, zinniatide.ControlVM{VM: vm, PeerAddress: "x"})
			}
			got, ok := nextControlSet(c, row.wanted, func(vm zinniatide.VMID) bool { return vm == row.silent })
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

// catchUpTime is the time after the start of its successor from which the loss of a
// control VM no longer counts, so that another one may be lost.
const catchUpTime zinniatide.Millis = 4000

// Guards against a lost control VM that is a voter until its lease has expired although
// a successor waits: the next loss, which is allowed by then, takes the quorum for good.
func TestLostControlVMIsReplacedInTime(t *testing.T) {
	for _, lost := range []zinniatide.VMID{"c1", "c2"} { // the leader and a follower
		sim := newSimulation(t, 3)
		for _, vm := range sim.controlVMs {
			sim.vms[vm.VM].controller.config.TargetControlVMs = 3
		}
		sim.run(1000)
		sim.vms[lost].stopped = true
		sim.setIsolated(lost, true)
		sim.startVM(zinniatide.Member{VM: "c4", Zone: "z1", PeerAddress: "10.0.0.4:7000", Process: 1, Control: true})
		if lost == sim.leader {
			sim.setLeader("")
			sim.run(1200) // the longest election timeout
			sim.setLeader("c3")
			sim.run(catchUpTime - 1200)
		} else {
			sim.run(catchUpTime)
		}
		var got []zinniatide.VMID
		for _, vm := range sim.leaderController().stateMachine.Configuration().ControlVMs {
			got = append(got, vm.VM)
		}
		if slices.Contains(got, lost) || !slices.Contains(got, "c4") {
			t.Errorf("got control VMs %v %d ms after the loss of %s, want c4 in its place", got, catchUpTime, lost)
		}
	}
}

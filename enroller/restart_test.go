package enroller

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// restart replaces the enroller of a VM by one without state.
func (n *fakeNetwork) restart(vm zinniatide.VMID) {
	n.enrollers[vm] = New(Dependencies{VM: vm, Control: n.configuration.Members[vm].Control, Clock: clock.NewManual(0, 0), Linker: fakeLinker{n, vm},
		Configurations: staticConfiguration{n.configuration}, Voters: n.passVoters, Registerer: prometheus.NewRegistry()})
}

// compareTables lets all control VMs compare their tables once with the others.
func (n *fakeNetwork) compareTables() {
	for _, vm := range n.configuration.ControlVMs {
		n.enrollers[vm.VM].tick()
	}
}

// stillUsing returns the number of VMs whose table has a server that has not ended.
func (n *fakeNetwork) stillUsing() int {
	using := 0
	for _, e := range n.enrollers {
		for _, row := range e.Table() {
			if !row.Ended {
				using++
			}
		}
	}
	return using
}

// Guards against a server that has left and is used again after a restart of
// control VMs, because a delayed heartbeat arrives at one that knows nothing of it.
func TestRestartedControlVMsForgetNoLeave(t *testing.T) {
	for name, restarted := range map[string][]zinniatide.VMID{
		"one control VM":                  {"control-a"},
		"all control VMs":                 {"control-a", "control-b", "control-c"},
		"all control VMs and some relays": {"control-a", "control-b", "control-c", "a0", "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newFakeNetwork(t)
			n.enrollers["control-a"].Enroll(heartbeat(1, 4, nil), func(error) {})
			n.enrollers["control-a"].Withdraw("i1", 1, func(error) {})
			if got := n.stillUsing(); got != 0 {
				t.Fatalf("got %d VMs with the server after it left, want 0", got)
			}
			for _, vm := range restarted {
				n.restart(vm)
			}
			n.enrollers["control-a"].Enroll(heartbeat(1, 3, nil), func(error) {})
			n.compareTables()
			n.compareTables()
			if got := n.stillUsing(); got != 0 {
				t.Errorf("got %d VMs that use the server again, want 0", got)
			}
		})
	}
}

// Guards against an acknowledged leave that nobody records, because it arrives at
// a control VM that has restarted and does not know the server.
func TestLeaveAtRestartedControlVM(t *testing.T) {
	n := newFakeNetwork(t)
	n.enrollers["control-b"].Enroll(heartbeat(1, 4, nil), func(error) {})
	n.restart("control-a")
	var got []error
	n.enrollers["control-a"].Withdraw("i1", 1, func(err error) { got = append(got, err) })
	if len(got) != 1 || got[0] != nil {
		t.Errorf("got answers %v, want one acknowledgement", got)
	}
	if got := n.stillUsing(); got != 0 {
		t.Errorf("got %d VMs that use the server after the acknowledgement, want 0", got)
	}
	n.enrollers["control-a"].Withdraw("i2", 0, func(err error) { got = append(got, err) })
	if len(got) != 2 || got[1] == nil {
		t.Errorf("got answers %v, want an error for an unknown server without a start time", got)
	}
}

// Guards against a leave that ends a later process under the same id.
func TestLeaveOfEarlierProcess(t *testing.T) {
	n := newFakeNetwork(t)
	n.enrollers["control-b"].Enroll(heartbeat(9, 1, nil), func(error) {})
	n.restart("control-a")
	n.enrollers["control-a"].Withdraw("i1", 1, func(error) {})
	n.compareTables()
	for vm, e := range n.enrollers {
		if table := e.Table(); len(table) != 1 || table[0].StartedAt != 9 || table[0].Ended {
			t.Errorf("%s: got %+v, want the later process", vm, table)
		}
	}
}

// Guards against a change of slots that a VM missed and never learns.
func TestDigestShowsChangedSlots(t *testing.T) {
	n := newFakeNetwork(t)
	n.enrollers["control-a"].Enroll(heartbeat(1, 1, nil), func(error) {})
	n.disconnected["b0"] = true
	n.enrollers["control-a"].Enroll(heartbeat(1, 2, func(e *zinniatide.Enrollment) { e.Slots = 7 }), func(error) {})
	n.disconnected["b0"] = false
	n.compareTables()
	if got := n.enrollers["b0"].Table()[0].Slots; got != 7 {
		t.Errorf("got %d slots after the comparison, want 7", got)
	}
}

// Guards against a server that is given up because it was silent for a while.
func TestSilentServerStaysEnrolled(t *testing.T) {
	n := newFakeNetwork(t)
	n.enrollers["control-a"].Enroll(heartbeat(1, 1, nil), func(error) {})
	for range 20 {
		for _, e := range n.enrollers {
			e.deps.Clock.(*clock.Clock).Advance(60_000)
		}
		n.compareTables()
	}
	if got, want := n.stillUsing(), len(n.enrollers); got != want {
		t.Errorf("got %d VMs that use the server after 20 min of silence, want %d", got, want)
	}
}

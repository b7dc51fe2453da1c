package subscriber

import (
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// controlSetPush returns a push of a configuration with the given control VMs.
func controlSetPush(t *testing.T, epoch zinniatide.Epoch, vms ...zinniatide.VMID) *controlproto.ConfigurationPush {
	t.Helper()
	c := registrar.NewConfiguration()
	c.Epoch = epoch
	for _, vm := range vms {
		c.ControlVMs = append(c.ControlVMs, zinniatide.ControlVM{VM: vm, PeerAddress: "h:" + string(vm)})
	}
	raw, err := encoder.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return &controlproto.ConfigurationPush{Full: raw}
}

// Guards against a VM that asks only the control VMs of its last configuration for a
// newer one. If all of them were replaced while it was away, it follows that
// configuration for good, although its settings name the new control VMs.
func TestControlVMsOfSettingsAreContacted(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	s.install(controlSetPush(t, 5, "c1", "c2", "c3"))
	s.SetControlVMs([]zinniatide.ControlVM{{VM: "n1", PeerAddress: "h:11"}, {VM: "n2", PeerAddress: "h:12"}})
	contacted := map[zinniatide.VMID]int{}
	links.respond = func(peer zinniatide.VMID, _ zinniatide.MessageKind, _ any) (any, error) {
		contacted[peer]++
		return nil, zinniatide.ErrNotSent
	}
	for range 20 {
		s.Step()
		manual.Advance(maxFailoverDelay)
	}
	for _, vm := range []zinniatide.VMID{"c1", "c2", "c3", "n1", "n2"} {
		if contacted[vm] == 0 {
			t.Errorf("got no heartbeat to %s among %v, want some", vm, contacted)
		}
		if _, linked := links.peers[vm]; !linked {
			t.Errorf("got no link to %s, want one", vm)
		}
	}
	if slices.Max([]int{contacted["n1"], contacted["n2"]}) > 2*contacted["c1"]+1 {
		t.Errorf("got %v, want all contacted in turn", contacted)
	}
}

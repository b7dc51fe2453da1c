package subscriber

import (
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// installRelays installs a configuration with control VMs c1 to c3 and relay VMs.
func installRelays(t *testing.T, s *Subscriber, relays ...zinniatide.VMID) {
	t.Helper()
	c := registrar.NewConfiguration()
	c.Epoch = 5
	for _, vm := range []zinniatide.VMID{"c1", "c2", "c3"} {
		c.ControlVMs = append(c.ControlVMs, zinniatide.ControlVM{VM: vm, PeerAddress: "h:" + string(vm)})
		c.Members[vm] = zinniatide.Member{VM: vm, PeerAddress: "h:" + string(vm), Control: true}
	}
	for _, vm := range relays {
		c.Members[vm] = zinniatide.Member{VM: vm, PeerAddress: "h:" + string(vm), Relay: true}
	}
	raw, err := encoder.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	s.install(&controlproto.ConfigurationPush{Full: raw})
}

// Guards against a VM that follows an outdated configuration for good because its
// settings name only control VMs that are gone too, although other VMs know the leader.
func TestOtherVMsNameTheLeader(t *testing.T) {
	for _, row := range []struct {
		name      string
		linked    bool // to relay VMs, before the search
		referral  controlproto.LeaderStatus
		wantFound bool
	}{
		{"linked", true, controlproto.LeaderStatus{Leader: "n1", LeaderAddress: "h:20"}, true},
		{"not linked", false, controlproto.LeaderStatus{Leader: "n1", LeaderAddress: "h:20"}, true},
		{"without contact", true, controlproto.LeaderStatus{}, false},
		{"names the asking VM", true, controlproto.LeaderStatus{Leader: "e1", LeaderAddress: "h:20"}, false},
		{"oversized name", true, controlproto.LeaderStatus{Leader: zinniatide.VMID(strings.Repeat("n", 1000)), LeaderAddress: "h:20"}, false},
		{"oversized address", true, controlproto.LeaderStatus{Leader: "n1", LeaderAddress: strings.Repeat("h", 1000)}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s, links, manual := newTestSubscriber(t)
			if !row.linked {
				s.config.SelectPeers = func(*zinniatide.Configuration) []zinniatide.VMID { return nil }
			}
			installRelays(t, s, "r1", "r2")
			asked, found := 0, false
			links.respond = func(peer zinniatide.VMID, kind zinniatide.MessageKind, _ any) (any, error) {
				switch {
				case kind == zinniatide.KindControlLeader:
					asked++
					return &row.referral, nil
				case peer == "n1" && links.peers["n1"].Address == "h:20":
					found = true
					return &controlproto.HeartbeatReply{LeaderStatus: controlproto.LeaderStatus{Leading: true, Leader: "n1"}, Epoch: 5, LeaseExtended: true}, nil
				}
				return nil, zinniatide.ErrNotSent
			}
			links.down = []zinniatide.VMID{"c1", "c2", "c3"}
			for range 40 {
				s.Step()
				manual.Advance(100)
			}
			if found != row.wantFound || asked == 0 {
				t.Errorf("got contact to the leader %v after asking %d times, want %v", found, asked, row.wantFound)
			}
			if found && s.contact.search.active {
				t.Error("got a search that goes on with a leader, want it to end")
			}
			for vm := range links.peers {
				if len(vm) > zinniatide.MaxIDLength || slices.Contains([]zinniatide.VMID{"", "e1"}, vm) {
					t.Errorf("got peer %q, want none with this name", vm)
				}
			}
		})
	}
}

// Guards against VMs that pass on what they once knew of a leader after they have lost
// it themselves.
func TestOnlyLeadersInContactAreNamed(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	installRelays(t, s)
	ask := func() (got controlproto.LeaderStatus) {
		links.handlers[zinniatide.KindControlLeader]("r1", nil, func(value any, _ error) { got = *value.(*controlproto.LeaderStatus) })
		s.Step()
		return got
	}
	links.respond = func(zinniatide.VMID, zinniatide.MessageKind, any) (any, error) {
		return &controlproto.HeartbeatReply{LeaderStatus: controlproto.LeaderStatus{Leading: true}, Epoch: 5, LeaseExtended: true}, nil
	}
	s.Step()
	s.Step()
	leader := s.contact.vm
	if got, want := ask(), (controlproto.LeaderStatus{Leader: leader, LeaderAddress: "h:" + string(leader)}); got != want {
		t.Errorf("got %+v in contact, want %+v", got, want)
	}
	links.respond = func(zinniatide.VMID, zinniatide.MessageKind, any) (any, error) { return nil, zinniatide.ErrNotSent }
	manual.Advance(contactLossAfter)
	if got := ask(); got != (controlproto.LeaderStatus{}) {
		t.Errorf("got %+v without contact, want none", got)
	}
}

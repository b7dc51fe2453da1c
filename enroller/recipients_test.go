package enroller

import (
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/encoder"
)

// fakeNetwork delivers messages between the enrollers of several VMs
// synchronously. It drops those to and from disconnected VMs.
type fakeNetwork struct {
	t                 *testing.T
	configuration     *zinniatide.Configuration
	enrollers         map[zinniatide.VMID]*Enroller
	handlers          map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	disconnected      map[zinniatide.VMID]bool // VMs whose messages are dropped
	disconnectVisible bool                     // Connected reports disconnected VMs
	crossZoneMessages map[zinniatide.MessageKind]int
	// voters are those that the replicated log knows. Nil stands for the configured
	// control VMs.
	voters []zinniatide.VMID
}

func (n *fakeNetwork) passVoters(f func([]zinniatide.VMID)) {
	voters := n.voters
	if voters == nil {
		for _, vm := range n.configuration.ControlVMs {
			voters = append(voters, vm.VM)
		}
	}
	f(voters)
}

// fakeLinker is the zinniatide.Linker of one VM.
type fakeLinker struct {
	network *fakeNetwork
	vm      zinniatide.VMID
}

func (p fakeLinker) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	p.network.handlers[p.vm][kind] = h
}
func (p fakeLinker) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {}
func (p fakeLinker) Connected(vm zinniatide.VMID) bool {
	return !p.network.disconnectVisible || !p.network.disconnected[vm]
}

func (p fakeLinker) Send(vm zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	p.deliver(vm, kind, body, nil)
	return nil
}

func (p fakeLinker) Call(vm zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	if p.network.disconnected[vm] || p.network.disconnected[p.vm] {
		done(nil, zinniatide.ErrTimeout)
		return
	}
	p.deliver(vm, kind, body, func(value any, err error) {
		reply, encodeErr := encoder.Marshal(value)
		if encodeErr != nil {
			p.network.t.Error(encodeErr)
		}
		done(reply, err)
	})
}

func (p fakeLinker) deliver(vm zinniatide.VMID, kind zinniatide.MessageKind, body any, reply func(any, error)) {
	if p.network.configuration.Members[vm].Zone != p.network.configuration.Members[p.vm].Zone {
		p.network.crossZoneMessages[kind]++
	}
	if p.network.disconnected[vm] || p.network.disconnected[p.vm] {
		return
	}
	raw, err := encoder.Marshal(body)
	if err != nil {
		p.network.t.Error(err)
	}
	p.network.handlers[vm][kind](p.vm, raw, reply)
}

type staticConfiguration struct{ configuration *zinniatide.Configuration }

func (f staticConfiguration) Configuration() *zinniatide.Configuration { return f.configuration }
func (f staticConfiguration) LeaseUntil() zinniatide.Millis            { return 0 }

// newFakeNetwork returns three zones with one control VM and five relay VMs each,
// and a fourth zone with five relay VMs only.
func newFakeNetwork(t *testing.T) *fakeNetwork {
	n := &fakeNetwork{t: t, enrollers: map[zinniatide.VMID]*Enroller{}, handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{},
		disconnected: map[zinniatide.VMID]bool{}, crossZoneMessages: map[zinniatide.MessageKind]int{},
		configuration: &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{}}}
	for _, zone := range []string{"a", "b", "c", "d"} {
		for _, name := range []string{"0", "1", "2", "3", "4"} {
			vm := zinniatide.VMID(zone + name)
			n.configuration.Members[vm] = zinniatide.Member{VM: vm, Zone: zinniatide.ZoneID(zone), Relay: true}
		}
		if zone != "d" {
			vm := zinniatide.VMID("control-" + zone)
			n.configuration.Members[vm] = zinniatide.Member{VM: vm, Zone: zinniatide.ZoneID(zone), Control: true}
			n.configuration.ControlVMs = append(n.configuration.ControlVMs, zinniatide.ControlVM{VM: vm})
		}
	}
	for vm, m := range n.configuration.Members {
		n.handlers[vm] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
		n.enrollers[vm] = New(Dependencies{VM: vm, Control: m.Control, Clock: clock.NewManual(0, 0), Linker: fakeLinker{n, vm},
			Configurations: staticConfiguration{n.configuration}, Voters: n.passVoters, Registerer: prometheus.NewRegistry()})
	}
	return n
}

// vmsWithoutState returns the connected VMs whose table does not hold the server
// with the given state.
func (n *fakeNetwork) vmsWithoutState(state zinniatide.ServingState) []zinniatide.VMID {
	var out []zinniatide.VMID
	for vm, e := range n.enrollers {
		table := e.Table()
		if !n.disconnected[vm] && (len(table) != 1 || table[0].State != state) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against enrollments that do not reach VMs whose zone has no control VM
// or an unreachable one, and against enrollments that cross zones once per VM.
func TestEnrollmentsReachAllZones(t *testing.T) {
	n := newFakeNetwork(t)
	n.enrollers["control-a"].Enroll(heartbeat(1, 1, nil), func(error) {})
	if got := n.vmsWithoutState(zinniatide.StateIn); len(got) > 0 {
		t.Errorf("got %v without the enrollment, want none", got)
	}
	if got, want := n.crossZoneMessages[zinniatide.KindEnroll], 2+3*5; got > want { // two control VMs, and zone d from each
		t.Errorf("got %d messages between zones, want %d at most", got, want)
	}

	n.disconnected["control-b"], n.disconnectVisible = true, true
	acknowledged := false
	n.enrollers["control-a"].Enroll(heartbeat(1, 2, leaving), func(err error) { acknowledged = err == nil })
	if got := n.vmsWithoutState(zinniatide.StateLeaving); len(got) > 0 || !acknowledged {
		t.Errorf("with a control VM lost: got %v without the enrollment, acknowledged %v, want none, true", got, acknowledged)
	}
}

// Guards against VMs that continue sending to a leaving server because the
// control VM of their zone has failed and its links are still shown as connected.
func TestDigestsFromOtherZones(t *testing.T) {
	n := newFakeNetwork(t)
	n.enrollers["control-a"].Enroll(heartbeat(1, 1, nil), func(error) {})
	n.disconnected["control-b"] = true
	n.enrollers["control-a"].Enroll(heartbeat(1, 2, leaving), func(error) {})
	for range 3 { // ticks of digestInterval: a leaving server must get no new work after 3 s
		for _, vm := range []zinniatide.VMID{"control-a", "control-c"} {
			n.enrollers[vm].tick()
		}
	}
	if got := n.vmsWithoutState(zinniatide.StateLeaving); len(got) > 0 {
		t.Errorf("got %v without the enrollment after three digests, want none", got)
	}
}

// Guards against digests that cross zones to every VM at every tick.
func TestDigestsRarelyCrossZones(t *testing.T) {
	n := newFakeNetwork(t)
	for range 6 {
		for vm, e := range n.enrollers {
			if n.configuration.Members[vm].Control {
				e.tick()
			}
		}
	}
	// Each tick: 6 between control VMs and 15 to zone d. Each control VM also sends
	// to a third of its ten indirect recipients.
	if got, want := n.crossZoneMessages[zinniatide.KindEnrollDigest], 6*(6+15)+6*3*10/3; got > want {
		t.Errorf("got %d digests between zones in six ticks, want %d at most", got, want)
	}
}

package enroller

import (
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/encoder"
)

// network passes messages between the enrollers of several VMs at once, but
// for those to and from VMs in cut.
type network struct {
	t         *testing.T
	c         *zinniatide.Configuration
	enrollers map[zinniatide.VMID]*Enroller
	handlers  map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	cut       map[zinniatide.VMID]bool // their messages are lost
	known     bool                     // the links show who is cut
	crossed   map[zinniatide.MessageKind]int
}

// port is the zinniatide.Linker of one VM.
type port struct {
	n    *network
	self zinniatide.VMID
}

func (p port) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	p.n.handlers[p.self][kind] = h
}
func (p port) SetPeers(map[zinniatide.VMID]string) {}
func (p port) Connected(vm zinniatide.VMID) bool   { return !p.n.known || !p.n.cut[vm] }

func (p port) Send(vm zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	p.deliver(vm, kind, body, nil)
	return nil
}

func (p port) Call(vm zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	if p.n.cut[vm] || p.n.cut[p.self] {
		done(nil, zinniatide.ErrTimeout)
		return
	}
	p.deliver(vm, kind, body, func(value any, err error) {
		reply, encodeErr := encoder.Marshal(value)
		if encodeErr != nil {
			p.n.t.Error(encodeErr)
		}
		done(reply, err)
	})
}

func (p port) deliver(vm zinniatide.VMID, kind zinniatide.MessageKind, body any, reply func(any, error)) {
	if p.n.c.Members[vm].Zone != p.n.c.Members[p.self].Zone {
		p.n.crossed[kind]++
	}
	if p.n.cut[vm] || p.n.cut[p.self] {
		return
	}
	raw, err := encoder.Marshal(body)
	if err != nil {
		p.n.t.Error(err)
	}
	p.n.handlers[vm][kind](p.self, raw, reply)
}

type fixed struct{ c *zinniatide.Configuration }

func (f fixed) Configuration() *zinniatide.Configuration { return f.c }
func (f fixed) LeaseUntil() zinniatide.Millis            { return 0 }

// newNetwork returns three zones with five relay VMs each, a control VM in each,
// and a fourth zone with relay VMs only.
func newNetwork(t *testing.T) *network {
	n := &network{t: t, enrollers: map[zinniatide.VMID]*Enroller{}, handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{},
		cut: map[zinniatide.VMID]bool{}, crossed: map[zinniatide.MessageKind]int{},
		c: &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{}}}
	for _, zone := range []string{"a", "b", "c", "d"} {
		for _, name := range []string{"0", "1", "2", "3", "4"} {
			vm := zinniatide.VMID(zone + name)
			n.c.Members[vm] = zinniatide.Member{VM: vm, Zone: zinniatide.ZoneID(zone), Relay: true}
		}
		if zone != "d" {
			vm := zinniatide.VMID("control-" + zone)
			n.c.Members[vm] = zinniatide.Member{VM: vm, Zone: zinniatide.ZoneID(zone), Control: true}
			n.c.ControlVMs = append(n.c.ControlVMs, zinniatide.ControlVM{VM: vm})
		}
	}
	for vm, m := range n.c.Members {
		n.handlers[vm] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
		n.enrollers[vm] = New(Dependencies{VM: vm, Control: m.Control, Clock: clock.NewManual(0, 0), Linker: port{n, vm},
			Configurations: fixed{n.c}, Registerer: prometheus.NewRegistry()})
	}
	return n
}

// unaware lists the VMs that do not know the state of a server.
func (n *network) unaware(state zinniatide.ServingState) []zinniatide.VMID {
	var out []zinniatide.VMID
	for vm, e := range n.enrollers {
		table := e.Table()
		if !n.cut[vm] && (len(table) != 1 || table[0].State != state) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against statements that miss VMs whose zone has no control VM, or one
// that cannot be reached, and against statements that cross zones once for
// each VM.
func TestStatementsReachAllZones(t *testing.T) {
	n := newNetwork(t)
	n.enrollers["control-a"].Enroll(beat(1, 1, nil), func(error) {})
	if got := n.unaware(zinniatide.StateIn); len(got) > 0 {
		t.Errorf("got %v without the statement, want none", got)
	}
	if got, want := n.crossed[zinniatide.KindEnroll], 2+3*5; got > want { // two control VMs, and zone d from each
		t.Errorf("got %d messages between zones, want %d at most", got, want)
	}

	n.cut["control-b"], n.known = true, true
	acknowledged := false
	n.enrollers["control-a"].Enroll(beat(1, 2, leaving), func(err error) { acknowledged = err == nil })
	if got := n.unaware(zinniatide.StateLeaving); len(got) > 0 || !acknowledged {
		t.Errorf("with a control VM lost: got %v without the statement, acknowledged %v, want none, true", got, acknowledged)
	}
}

// Guards against VMs that go on sending to a leaving server because the control
// VM of their zone has gone silent and its links do not show it yet.
func TestDigestsFromOtherZones(t *testing.T) {
	n := newNetwork(t)
	n.enrollers["control-a"].Enroll(beat(1, 1, nil), func(error) {})
	n.cut["control-b"] = true
	n.enrollers["control-a"].Enroll(beat(1, 2, leaving), func(error) {})
	for range 3 { // a leaving server gets no new work after 4 s
		for _, vm := range []zinniatide.VMID{"control-a", "control-c"} {
			n.enrollers[vm].tick()
		}
	}
	if got := n.unaware(zinniatide.StateLeaving); len(got) > 0 {
		t.Errorf("got %v without the statement after three digests, want none", got)
	}
}

// Guards against digests that cross zones to every VM at every tick.
func TestDigestsCrossZonesSeldom(t *testing.T) {
	n := newNetwork(t)
	for range 6 {
		for vm, e := range n.enrollers {
			if n.c.Members[vm].Control {
				e.tick()
			}
		}
	}
	// Each tick: 6 between control VMs and 15 to zone d. Each control VM has ten
	// far members and tells a third of them.
	if got, want := n.crossed[zinniatide.KindEnrollDigest], 6*(6+15)+6*3*10/3; got > want {
		t.Errorf("got %d digests between zones in six ticks, want %d at most", got, want)
	}
}

package cataloger

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// network connects catalogers. Messages wait until run delivers them.
type network struct {
	t       *testing.T
	clock   *clock.Clock
	nodes   map[zinniatide.VMID]*node
	waiting []func()
	sent    map[zinniatide.MessageKind]int
}

type node struct {
	*Cataloger
	net           *network
	vm            zinniatide.VMID
	configuration *zinniatide.Configuration
	handlers      map[zinniatide.MessageKind]zinniatide.LinkHandler
	cut           bool
	due           zinniatide.Millis // of the next tick
}

func newNetwork(t *testing.T, vms ...zinniatide.VMID) *network {
	n := &network{t: t, clock: clock.NewManual(10_000, 0), nodes: map[zinniatide.VMID]*node{}, sent: map[zinniatide.MessageKind]int{}}
	for _, vm := range vms {
		n.start(vm, 1)
	}
	return n
}

func (n *network) start(vm zinniatide.VMID, incarnation zinniatide.Incarnation) {
	h := &node{net: n, vm: vm, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{}, configuration: &zinniatide.Configuration{}}
	h.Cataloger = New(Options{VM: vm, Incarnation: incarnation, Clock: n.clock, Configuration: h, Linker: h})
	n.nodes[vm] = h
}

func (h *node) Configuration() *zinniatide.Configuration { return h.configuration }
func (h *node) LeaseUntil() zinniatide.Millis            { return 1 << 40 }
func (h *node) SetPeers(map[zinniatide.VMID]string)      {}
func (h *node) Connected(zinniatide.VMID) bool           { return true }
func (h *node) Handle(kind zinniatide.MessageKind, handler zinniatide.LinkHandler) {
	h.handlers[kind] = handler
}

func (h *node) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	return h.deliver(peer, kind, body, nil)
}

func (h *node) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	err := h.deliver(peer, kind, body, func(value any, err error) {
		raw, _ := cbor.Marshal(value)
		h.net.waiting = append(h.net.waiting, func() { done(raw, err) })
	})
	if err != nil {
		done(nil, err)
	}
}

func (h *node) deliver(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, reply func(any, error)) error {
	to := h.net.nodes[peer]
	raw, err := cbor.Marshal(body)
	if to == nil || to.cut || h.cut || err != nil {
		return zinniatide.ErrNotSent
	}
	h.net.sent[kind]++
	h.net.waiting = append(h.net.waiting, func() { to.handlers[kind](h.vm, raw, reply) })
	return nil
}

// run advances the clock, ticks what is due and delivers messages.
func (n *network) run(d zinniatide.Millis) {
	for end := n.clock.Now() + d; ; n.clock.Advance(orphanInterval) {
		for _, vm := range []zinniatide.VMID{"a", "b", "c"} {
			if h := n.nodes[vm]; h != nil && n.clock.Now() >= h.due {
				h.due = h.Tick()
			}
		}
		for len(n.waiting) > 0 {
			next := n.waiting[0]
			n.waiting = n.waiting[1:]
			next()
		}
		if n.clock.Now() >= end {
			return
		}
	}
}

// configure gives all buckets of zone z to owner.
func (n *network) configure(epoch zinniatide.Epoch, owner zinniatide.VMID, incarnation zinniatide.Incarnation, next zinniatide.VMID) {
	c := &zinniatide.Configuration{Epoch: epoch, Members: map[zinniatide.VMID]zinniatide.Member{}}
	for vm, h := range n.nodes {
		c.Members[vm] = zinniatide.Member{VM: vm, Incarnation: h.o.Incarnation, Entry: true, HTTPAddress: "http-" + string(vm)}
	}
	buckets := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
	for i := range buckets {
		buckets[i] = zinniatide.Bucket{Owner: owner, OwnerIncarnation: incarnation, Next: next}
	}
	c.Buckets = map[zinniatide.ZoneID][]zinniatide.Bucket{"z": buckets}
	for _, h := range n.nodes {
		h.configuration, h.due = c, 0 // as Wake does
	}
}

// want checks that every VM lists exactly the servers, with this owner.
func (n *network) want(owner zinniatide.VMID, ids ...zinniatide.BackendServerID) {
	n.t.Helper()
	for vm, h := range n.nodes {
		servers := h.Catalog().Servers
		if len(servers) != len(ids) {
			n.t.Fatalf("got %d servers at %s, want %v", len(servers), vm, ids)
		}
		for i, id := range ids {
			if servers[i].Server != id || servers[i].Owner != owner {
				n.t.Errorf("got %s owned by %q at %s, want %s owned by %q", servers[i].Server, servers[i].Owner, vm, id, owner)
			}
		}
	}
}

func announcement(id zinniatide.BackendServerID) zinniatide.Announcement {
	return zinniatide.Announcement{
		Server: id, Incarnation: 2, Zone: "z", Address: "10.0.0.1:80", Slots: 2, Connections: 9,
		Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{
			{Version: 1, KeyRange: zinniatide.KeyRange{First: 0, Last: 100}}}}},
	}
}

func (n *network) announce(vm zinniatide.VMID, a zinniatide.Announcement, wantAt string) {
	n.t.Helper()
	if at, err := n.nodes[vm].Announce(a); err != nil || at != wantAt {
		n.t.Errorf("got %q, %v, want %q", at, err, wantAt)
	}
}

// TestSpreads guards against VMs with different catalogues, against traffic for
// load reports, and against servers that stay listed after they fell silent.
func TestSpreads(t *testing.T) {
	n := newNetwork(t, "a", "b", "c")
	n.configure(1, "a", 1, "")
	n.announce("b", announcement("s2"), "http-a")
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	n.want("a", "s1", "s2")
	pulls, sequence := n.sent[zinniatide.KindCatalogPull], n.nodes["c"].Catalog().Sequence
	for i := range 5 {
		a := announcement("s1")
		a.Load = zinniatide.LoadReport{Busy: uint16(i)}
		n.announce("c", a, "http-a")
		n.run(1000)
	}
	if got := n.sent[zinniatide.KindCatalogPull]; got != pulls+2 {
		t.Errorf("got %d pulls, want %d: two for the loss of s2 and none for load", got, pulls+2)
	}
	n.want("a", "s1")
	if got := n.nodes["c"].Catalog().Sequence; got != sequence+1 {
		t.Errorf("got sequence %d, want %d", got, sequence+1)
	}
	a := announcement("s1")
	a.Draining = true
	n.announce("b", a, "http-a")
	n.run(40)
	if !n.nodes["c"].Catalog().Servers[0].Draining {
		t.Error("draining is not known on c after 40 ms")
	}
}

// TestLostDigest guards against a VM that stays behind after missing a change.
func TestLostDigest(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.configure(1, "a", 1, "")
	n.nodes["b"].cut = true
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	n.nodes["b"].cut = false
	n.run(digestInterval)
	n.want("a", "s1")
}

// TestHandOver guards against a catalogue that is empty while a bucket moves,
// after the old owner is gone, and after it restarted.
func TestHandOver(t *testing.T) {
	n := newNetwork(t, "a", "b", "c")
	n.configure(1, "a", 1, "")
	n.announce("a", announcement("s1"), "http-a")
	n.announce("a", announcement("s2"), "http-a")
	n.run(100)
	n.configure(2, "a", 1, "b")
	n.run(100)
	n.want("", "s1", "s2")
	n.configure(3, "b", 1, "")
	n.announce("c", announcement("s1"), "http-b")
	n.run(2000)
	n.want("b", "s1", "s2")
	n.announce("c", announcement("s1"), "http-b")
	n.run(2500)
	n.want("b", "s1") // s2 has not announced itself for AnnouncementExpiry
	delete(n.nodes, "b")
	n.configure(4, "c", 1, "")
	n.run(1000)
	n.want("c", "s1")
	n.announce("a", announcement("s1"), "http-c")
	n.run(2000)
	n.start("c", 2)
	n.configure(5, "c", 2, "")
	n.announce("a", announcement("s3"), "http-c")
	n.run(100)
	delete(n.nodes, "c") // it alone has forgotten s1
	n.want("c", "s1", "s3")
	n.run(zinniatide.AnnouncementExpiry)
	n.want("c", "s3")
}

// TestOldIncarnation guards against a replaced process that takes the place
// of its successor, at the owner, at another VM and at the next owner.
func TestOldIncarnation(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.configure(1, "a", 1, "")
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	old := announcement("s1")
	old.Incarnation = 1
	for _, owner := range []zinniatide.VMID{"a", "b"} {
		n.configure(2, owner, 1, "")
		for _, vm := range []zinniatide.VMID{"a", "b"} {
			var refusal *zinniatide.Refusal
			if _, err := n.nodes[vm].Announce(old); !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeSuperseded {
				t.Errorf("got %v at %s, want superseded", err, vm)
			}
		}
		n.run(100)
		if got := n.nodes["b"].Catalog().Servers[0].Incarnation; got != 2 {
			t.Errorf("got incarnation %d, want 2", got)
		}
	}
}

// TestOldIncarnationLater guards against a replaced process that announces
// itself where its successor is not known, or no longer.
func TestOldIncarnationLater(t *testing.T) {
	n := newNetwork(t, "a", "b")
	old := announcement("s1")
	old.Incarnation = 1
	n.nodes["b"].cut = true
	n.configure(1, "a", 1, "")
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	n.configure(2, "b", 1, "")
	n.announce("b", old, "http-b")
	n.nodes["b"].cut = false
	n.run(2 * digestInterval)
	for vm, h := range n.nodes {
		if got := h.Catalog().Servers[0].Incarnation; got != 2 {
			t.Errorf("got incarnation %d at %s, want 2", got, vm)
		}
	}
	n.configure(3, "a", 1, "")
	n.run(2 * zinniatide.AnnouncementExpiry)
	n.want("a")
	if _, err := n.nodes["a"].Announce(old); err == nil {
		t.Error("got no error for a replaced process whose successor has expired")
	}
}

// TestNoOwner guards against an announcement that is accepted and lost.
func TestNoOwner(t *testing.T) {
	n := newNetwork(t, "a", "b")
	for _, tt := range []struct {
		cut  bool
		code zinniatide.Code
	}{{false, zinniatide.CodeNotOwner}, {true, zinniatide.CodePeerLost}} {
		if tt.cut {
			n.configure(1, "a", 1, "")
			n.nodes["a"].cut = true
		}
		var refusal *zinniatide.Refusal
		if _, err := n.nodes["b"].Announce(announcement("s1")); !errors.As(err, &refusal) || refusal.Code != tt.code {
			t.Errorf("got %v, want %s", err, tt.code)
		}
	}
}

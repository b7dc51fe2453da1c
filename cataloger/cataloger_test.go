package cataloger

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// fakeNetwork connects catalogers. Messages are queued until run delivers them.
type fakeNetwork struct {
	t               *testing.T
	clock           *clock.Clock
	vms             map[zinniatide.VMID]*fakeVM
	pendingMessages []func()
	sentCount       map[zinniatide.MessageKind]int
}

type fakeVM struct {
	*Cataloger
	network       *fakeNetwork
	id            zinniatide.VMID
	configuration *zinniatide.Configuration
	handlers      map[zinniatide.MessageKind]zinniatide.LinkHandler
	disconnected  bool
	nextTickAt    zinniatide.Millis
}

func newFakeNetwork(t *testing.T, vms ...zinniatide.VMID) *fakeNetwork {
	n := &fakeNetwork{t: t, clock: clock.NewManual(10_000, 0), vms: map[zinniatide.VMID]*fakeVM{}, sentCount: map[zinniatide.MessageKind]int{}}
	for _, vm := range vms {
		n.startVM(vm, 1)
	}
	return n
}

func (n *fakeNetwork) startVM(vm zinniatide.VMID, process zinniatide.ProcessID) {
	v := &fakeVM{network: n, id: vm, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{}, configuration: &zinniatide.Configuration{}}
	v.Cataloger = New(Options{VM: vm, Process: process, Clock: n.clock, Configuration: v, Linker: v})
	n.vms[vm] = v
}

func (v *fakeVM) Configuration() *zinniatide.Configuration     { return v.configuration }
func (v *fakeVM) LeaseUntil() zinniatide.Millis                { return 1 << 40 }
func (v *fakeVM) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {}
func (v *fakeVM) Connected(zinniatide.VMID) bool               { return true }
func (v *fakeVM) Handle(kind zinniatide.MessageKind, handler zinniatide.LinkHandler) {
	v.handlers[kind] = handler
}

func (v *fakeVM) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	return v.deliver(peer, kind, body, nil)
}

func (v *fakeVM) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	err := v.deliver(peer, kind, body, func(value any, err error) {
		raw, _ := cbor.Marshal(value)
		v.network.pendingMessages = append(v.network.pendingMessages, func() { done(raw, err) })
	})
	if err != nil {
		done(nil, err)
	}
}

func (v *fakeVM) deliver(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, reply func(any, error)) error {
	to := v.network.vms[peer]
	raw, err := cbor.Marshal(body)
	if to == nil || to.disconnected || v.disconnected || err != nil {
		return zinniatide.ErrNotSent
	}
	v.network.sentCount[kind]++
	v.network.pendingMessages = append(v.network.pendingMessages, func() { to.handlers[kind](v.id, raw, reply) })
	return nil
}

// run advances the clock by d, runs the ticks that are due and delivers messages.
func (n *fakeNetwork) run(d zinniatide.Millis) {
	for end := n.clock.Now() + d; ; n.clock.Advance(orphanCheckInterval) {
		for _, vm := range []zinniatide.VMID{"a", "b", "c"} {
			if v := n.vms[vm]; v != nil && n.clock.Now() >= v.nextTickAt {
				v.nextTickAt = v.Tick()
			}
		}
		for len(n.pendingMessages) > 0 {
			next := n.pendingMessages[0]
			n.pendingMessages = n.pendingMessages[1:]
			next()
		}
		if n.clock.Now() >= end {
			return
		}
	}
}

// assignBuckets gives all buckets of zone z to owner.
func (n *fakeNetwork) assignBuckets(epoch zinniatide.Epoch, owner zinniatide.VMID, process zinniatide.ProcessID, next zinniatide.VMID) {
	c := &zinniatide.Configuration{Epoch: epoch, Members: map[zinniatide.VMID]zinniatide.Member{}}
	for vm, v := range n.vms {
		c.Members[vm] = zinniatide.Member{VM: vm, Process: v.options.Process, Entry: true, HTTPAddress: "http-" + string(vm)}
	}
	buckets := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
	for i := range buckets {
		buckets[i] = zinniatide.Bucket{Owner: owner, OwnerProcess: process, NextOwner: next}
	}
	c.Buckets = map[zinniatide.ZoneID][]zinniatide.Bucket{"z": buckets}
	for _, v := range n.vms {
		v.configuration, v.nextTickAt = c, 0 // as TriggerTick does
	}
}

// checkCatalogs checks that the catalog of every VM holds exactly these servers,
// with this owner.
func (n *fakeNetwork) checkCatalogs(owner zinniatide.VMID, ids ...zinniatide.BackendServerID) {
	n.t.Helper()
	for vm, v := range n.vms {
		servers := v.Catalog().Servers
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
			{Version: 1, KeyRange: zinniatide.KeyRange{First: 0, End: 100}}}}},
	}
}

func (n *fakeNetwork) announce(vm zinniatide.VMID, a zinniatide.Announcement, wantAt string) {
	n.t.Helper()
	if at, err := n.vms[vm].Announce(a); err != nil || at != wantAt {
		n.t.Errorf("got %q, %v, want %q", at, err, wantAt)
	}
}

// TestAnnouncementsReachAllVMs guards against VMs with different catalogs,
// against pulls for load reports, and against servers that stay listed after they
// stopped announcing themselves.
func TestAnnouncementsReachAllVMs(t *testing.T) {
	n := newFakeNetwork(t, "a", "b", "c")
	n.assignBuckets(1, "a", 1, "")
	n.announce("b", announcement("s2"), "http-a")
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	n.checkCatalogs("a", "s1", "s2")
	pulls, sequence := n.sentCount[zinniatide.KindCatalogPull], n.vms["c"].Catalog().Sequence
	for i := range 5 {
		a := announcement("s1")
		a.Load = zinniatide.LoadReport{Busy: uint16(i)}
		n.announce("c", a, "http-a")
		n.run(1000)
	}
	if got := n.sentCount[zinniatide.KindCatalogPull]; got != pulls+2 {
		t.Errorf("got %d pulls, want %d: two for the loss of s2 and none for load", got, pulls+2)
	}
	n.checkCatalogs("a", "s1")
	if got := n.vms["c"].Catalog().Sequence; got != sequence+1 {
		t.Errorf("got sequence %d, want %d", got, sequence+1)
	}
	a := announcement("s1")
	a.Draining = true
	n.announce("b", a, "http-a")
	n.run(40)
	if !n.vms["c"].Catalog().Servers[0].Draining {
		t.Error("draining is not known on c after 40 ms")
	}
}

// TestLostDigestIsRepeated guards against a VM whose catalog stays outdated after
// a lost digest.
func TestLostDigestIsRepeated(t *testing.T) {
	n := newFakeNetwork(t, "a", "b")
	n.assignBuckets(1, "a", 1, "")
	n.vms["b"].disconnected = true
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	n.vms["b"].disconnected = false
	n.run(digestInterval)
	n.checkCatalogs("a", "s1")
}

// TestBucketHandOver guards against a catalog that loses servers while a bucket
// moves, after the old owner has left, and after the owner has restarted.
func TestBucketHandOver(t *testing.T) {
	n := newFakeNetwork(t, "a", "b", "c")
	n.assignBuckets(1, "a", 1, "")
	n.announce("a", announcement("s1"), "http-a")
	n.announce("a", announcement("s2"), "http-a")
	n.run(100)
	n.assignBuckets(2, "a", 1, "b")
	n.run(100)
	n.checkCatalogs("", "s1", "s2")
	n.assignBuckets(3, "b", 1, "")
	n.announce("c", announcement("s1"), "http-b")
	n.run(2000)
	n.checkCatalogs("b", "s1", "s2")
	n.announce("c", announcement("s1"), "http-b")
	n.run(2500)
	n.checkCatalogs("b", "s1") // s2 has not announced itself for AnnouncementExpiry
	delete(n.vms, "b")
	n.assignBuckets(4, "c", 1, "")
	n.run(1000)
	n.checkCatalogs("c", "s1")
	n.announce("a", announcement("s1"), "http-c")
	n.run(2000)
	n.startVM("c", 2)
	n.assignBuckets(5, "c", 2, "")
	n.announce("a", announcement("s3"), "http-c")
	n.run(100)
	delete(n.vms, "c") // c has restarted without s1, so it is left out of the checks
	n.checkCatalogs("c", "s1", "s3")
	n.run(zinniatide.AnnouncementExpiry)
	n.checkCatalogs("c", "s3")
}

// TestOldIncarnationIsRefused guards against a replaced process that replaces its
// successor in the catalog, after an announcement to the owner, another VM or the
// next owner.
func TestOldIncarnationIsRefused(t *testing.T) {
	n := newFakeNetwork(t, "a", "b")
	n.assignBuckets(1, "a", 1, "")
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	old := announcement("s1")
	old.Incarnation = 1
	for _, owner := range []zinniatide.VMID{"a", "b"} {
		n.assignBuckets(2, owner, 1, "")
		for _, vm := range []zinniatide.VMID{"a", "b"} {
			var refusal *zinniatide.Refusal
			if _, err := n.vms[vm].Announce(old); !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeSuperseded {
				t.Errorf("got %v at %s, want superseded", err, vm)
			}
		}
		n.run(100)
		if got := n.vms["b"].Catalog().Servers[0].Incarnation; got != 2 {
			t.Errorf("got incarnation %d, want 2", got)
		}
	}
}

// TestOldIncarnationWhereSuccessorUnknown guards against a replaced process that
// announces itself to a VM that does not know its successor, or no longer does.
func TestOldIncarnationWhereSuccessorUnknown(t *testing.T) {
	n := newFakeNetwork(t, "a", "b")
	old := announcement("s1")
	old.Incarnation = 1
	n.vms["b"].disconnected = true
	n.assignBuckets(1, "a", 1, "")
	n.announce("a", announcement("s1"), "http-a")
	n.run(100)
	n.assignBuckets(2, "b", 1, "")
	n.announce("b", old, "http-b")
	n.vms["b"].disconnected = false
	n.run(2 * digestInterval)
	for vm, v := range n.vms {
		if got := v.Catalog().Servers[0].Incarnation; got != 2 {
			t.Errorf("got incarnation %d at %s, want 2", got, vm)
		}
	}
	n.assignBuckets(3, "a", 1, "")
	n.run(2 * zinniatide.AnnouncementExpiry)
	n.checkCatalogs("a")
	if _, err := n.vms["a"].Announce(old); err == nil {
		t.Error("got no error for a replaced process whose successor has expired")
	}
}

// TestAnnounceWithoutReachableOwner guards against an announcement that is
// accepted although it reaches no owner.
func TestAnnounceWithoutReachableOwner(t *testing.T) {
	n := newFakeNetwork(t, "a", "b")
	for _, tt := range []struct {
		ownerDisconnected bool
		code              zinniatide.Code
	}{{false, zinniatide.CodeNotOwner}, {true, zinniatide.CodePeerLost}} {
		if tt.ownerDisconnected {
			n.assignBuckets(1, "a", 1, "")
			n.vms["a"].disconnected = true
		}
		var refusal *zinniatide.Refusal
		if _, err := n.vms["b"].Announce(announcement("s1")); !errors.As(err, &refusal) || refusal.Code != tt.code {
			t.Errorf("got %v, want %s", err, tt.code)
		}
	}
}

package node

import (
	"errors"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/relayer"
)

// The number of links must not grow with the square of the number of VMs, and
// every active relay needs links to relays of the other zones that can help it.
func TestLinkedPeers(t *testing.T) {
	c := &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{}}
	for i := range 60 {
		zone := zinniatide.ZoneID(rune('a' + i%3))
		c.Members[zinniatide.VMID(fmt.Sprintf("relay-%d", i))] = zinniatide.Member{Zone: zone, Relay: true, State: zinniatide.StateIn}
	}
	for i := range 5 {
		c.Members[zinniatide.VMID(fmt.Sprintf("control-%d", i))] = zinniatide.Member{Zone: "a", Control: true, State: zinniatide.StateIn}
	}
	for _, activePerZone := range []int{0, 4} { // active relays per zone; 0 means all
		if activePerZone > 0 {
			c.ActiveRelays = map[zinniatide.ZoneID]int{"a": activePerZone, "b": activePerZone, "c": activePerZone}
		}
		isActive := map[zinniatide.VMID]bool{}
		for _, zone := range c.RelayZones() {
			for _, vm := range c.Relays(zone) {
				isActive[vm] = true
			}
		}
		for vm, m := range c.Members {
			r := &Relay{cfg: RelayConfig{VM: vm, Zone: m.Zone}}
			if m.Control {
				r.cfg.DataFolder = "data"
			}
			byZone, control := map[zinniatide.ZoneID]int{}, 0
			for _, peer := range r.linkedPeers(c) {
				switch p := c.Members[peer]; {
				case p.Control:
					control++
				case !m.Control && !isActive[peer]:
					t.Errorf("relay %s has a link to %s, which is not an active relay", vm, peer)
				default:
					byZone[p.Zone]++
				}
			}
			if got, want := control, 5; got != want {
				t.Errorf("%s: got %d links to control VMs, want %d", vm, got, want)
			}
			want := 0
			if !m.Control && isActive[vm] {
				want = 2*remoteRelaysPerZone + min(relayer.MaxZonePeers, len(c.Relays(m.Zone))) // two other zones
			}
			got := 0
			for _, n := range byZone {
				got += n
			}
			if !m.Control && got != want {
				t.Errorf("%s: got %d links to relays, want %d", vm, got, want)
			}
		}
	}
}

// After a restart of all processes, control VMs must be able to elect a leader.
// They cannot if voters that are not seeds do not know each other: if the disks
// of two seeds are lost, the newest log entry may remain only on voters that are
// not seeds.
func TestRestartedControlVMKnowsItsVoters(t *testing.T) {
	folder := t.TempDir()
	var all []zinniatide.ControlVM
	for i := range 5 {
		address := fmt.Sprintf("127.0.0.1:%d", 7001+i)
		all = append(all, zinniatide.ControlVM{VM: zinniatide.VMID(address), PeerAddress: address})
	}
	self := all[4].VM
	if err := logkeeper.Init(journal.OSFileSystem{}, folder, self, all); err != nil {
		t.Fatal(err)
	}
	r, err := NewRelay(RelayConfig{VM: self, Zone: "a", ControlAddress: "127.0.0.1:7100", DataFolder: folder, Seeds: all[:3], Voters: 5},
		clock.New(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	peers := r.subscriber.Peers()
	for _, vm := range all[:4] {
		if got, want := peers[vm.VM].Address, vm.PeerAddress; got != want {
			t.Errorf("got address %q of %s, want %q", got, vm.VM, want)
		}
	}
}

// Guards against backend servers that are directed to send their heartbeats to the
// address of a VM for callers.
func TestHeartbeatsGoToControlAddresses(t *testing.T) {
	c := &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{
		"a": {Zone: "z", Relay: true, Control: true, HTTPAddress: "callers:1", State: zinniatide.StateIn},
		"b": {Zone: "z", Relay: true, HTTPAddress: "callers:2", State: zinniatide.StateIn},
	}}
	if got := controlAddressIn(c, "z"); got != "" {
		t.Errorf("got %q with VMs whose address is for callers, want none", got)
	}
	c.Members["c"] = zinniatide.Member{Zone: "z", Control: true, HTTPAddress: "control:1", State: zinniatide.StateIn}
	if got := controlAddressIn(c, "z"); got != "control:1" {
		t.Errorf("got %q, want control:1", got)
	}
}

// Guards against seeds of reloaded settings that are used once, while the next
// configuration or contact brings the old ones back.
func TestReloadedSeedsStay(t *testing.T) {
	before := []zinniatide.ControlVM{{VM: "127.0.0.1:7001", PeerAddress: "127.0.0.1:7001"}}
	after := []zinniatide.ControlVM{{VM: "127.0.0.1:7002", PeerAddress: "127.0.0.1:7002"}}
	r, err := NewRelay(RelayConfig{VM: "127.0.0.1:7100", Zone: "a", CallerAddress: "127.0.0.1:7101", Seeds: before}, clock.New(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	r.SetSeeds(after)
	r.subscriber.Step()
	if got := r.seeds(); len(got) != 1 || got[0] != after[0] {
		t.Errorf("got seeds %v, want %v", got, after)
	}
	peers := r.subscriber.Peers()
	if peers["127.0.0.1:7002"].Address == "" || peers["127.0.0.1:7001"].Address != "" {
		t.Errorf("got peers %v before the first configuration, want the new seed only", peers)
	}
}

// Guards against a VM that uses the seeds it started with although its settings have
// changed without a signal, while none of those seeds exists any more.
func TestSeedsAreReadAgainWithoutLeader(t *testing.T) {
	before := []zinniatide.ControlVM{{VM: "127.0.0.1:7001", PeerAddress: "127.0.0.1:7001"}}
	after := []zinniatide.ControlVM{{VM: "127.0.0.1:7002", PeerAddress: "127.0.0.1:7002"}}
	manual, reads := clock.NewManual(1000, 0), 0
	load := func() ([]zinniatide.ControlVM, error) {
		reads++
		if reads == 1 {
			return nil, errors.New("the file is just being written")
		}
		return after, nil
	}
	r, err := NewRelay(RelayConfig{VM: "127.0.0.1:7100", Zone: "a", CallerAddress: "127.0.0.1:7101", Seeds: before, LoadSeeds: load}, manual, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	r.subscriber.Step()
	if reads != 0 {
		t.Errorf("got %d reads of the settings at the start, want 0", reads)
	}
	for range 20 {
		manual.Advance(200)
		r.subscriber.Step()
	}
	if got := r.subscriber.Peers()["127.0.0.1:7002"].Address; got != after[0].PeerAddress {
		t.Errorf("got address %q of the new seed after %d reads, want %q", got, reads, after[0].PeerAddress)
	}
}

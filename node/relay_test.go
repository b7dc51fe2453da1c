package node

import (
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
		if got, want := peers[vm.VM], vm.PeerAddress; got != want {
			t.Errorf("got address %q of %s, want %q", got, vm.VM, want)
		}
	}
}

package node

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/relayer"
)

// Guards against links that grow with the square of the VMs, and against
// relays without a helper in another zone.
func TestPeering(t *testing.T) {
	c := &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{}}
	for i := range 60 {
		zone := zinniatide.ZoneID(rune('a' + i%3))
		c.Members[zinniatide.VMID(fmt.Sprintf("relay-%d", i))] = zinniatide.Member{Zone: zone, Relay: true, State: zinniatide.StateIn}
	}
	for i := range 5 {
		c.Members[zinniatide.VMID(fmt.Sprintf("control-%d", i))] = zinniatide.Member{Zone: "a", Control: true, State: zinniatide.StateIn}
	}
	for _, active := range []int{0, 4} {
		if active > 0 {
			c.ActiveRelays = map[zinniatide.ZoneID]int{"a": active, "b": active, "c": active}
		}
		allowed := map[zinniatide.VMID]bool{}
		for _, zone := range c.RelayZones() {
			for _, vm := range c.Relays(zone) {
				allowed[vm] = true
			}
		}
		for vm, m := range c.Members {
			r := &Relay{cfg: RelayConfig{VM: vm, Zone: m.Zone}}
			if m.Control {
				r.cfg.DataFolder = "data"
			}
			byZone, control := map[zinniatide.ZoneID]int{}, 0
			for _, peer := range r.peering(c) {
				switch p := c.Members[peer]; {
				case p.Control:
					control++
				case !m.Control && !allowed[peer]:
					t.Errorf("relay %s has a link to %s, to which no caller is sent", vm, peer)
				default:
					byZone[p.Zone]++
				}
			}
			if got, want := control, 5; got != want {
				t.Errorf("%s: got %d links to control VMs, want %d", vm, got, want)
			}
			want := 0
			if !m.Control && allowed[vm] {
				want = 2*helpersPerZone + min(relayer.MaxSiblings, len(c.Relays(m.Zone)))
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

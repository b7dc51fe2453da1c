package enroller

import (
	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
)

// audience sorts the members by the way in which they hear of enrollments. A
// control VM tells the other control VMs, and each of them the members of its
// zone, so that a statement crosses zones once for each control VM instead of
// once for each member.
type audience struct {
	// control is set when this VM is one of the control VMs, peers are the others.
	control bool
	peers   []zinniatide.VMID
	// near are members that hear from this VM: those of its zone and of zones
	// without a control VM that can be reached.
	near []zinniatide.VMID
	// far are members that hear from a control VM of their zone.
	far []zinniatide.VMID
}

func newAudience(self zinniatide.VMID, c *zinniatide.Configuration, connected func(zinniatide.VMID) bool) audience {
	var a audience
	control := map[zinniatide.VMID]bool{}
	served := map[zinniatide.ZoneID]bool{}
	for _, vm := range c.ControlVMs {
		control[vm.VM] = true
		if vm.VM == self {
			a.control = true
			continue
		}
		a.peers = append(a.peers, vm.VM)
		if m, known := c.Members[vm.VM]; known && connected(vm.VM) {
			served[m.Zone] = true
		}
	}
	own, known := c.Members[self]
	for vm, m := range c.Members {
		switch {
		case vm == self || control[vm]:
		case known && m.Zone != own.Zone && served[m.Zone]:
			a.far = append(a.far, vm)
		default:
			a.near = append(a.near, vm)
		}
	}
	return a
}

// farAt returns the far members that get a digest from this VM at a tick: each
// one in as many ticks as there are control VMs. With all control VMs of other
// zones doing so, a member hears about once a tick.
func (a *audience) farAt(tick uint64) []zinniatide.VMID {
	turns := uint64(len(a.peers) + 1)
	var due []zinniatide.VMID
	for _, vm := range a.far {
		if (xxhash.Sum64String(string(vm))+tick)%turns == 0 {
			due = append(due, vm)
		}
	}
	return due
}

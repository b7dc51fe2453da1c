package enroller

import (
	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
)

// recipients groups the members by the path on which enrollments reach them. A
// control VM sends an enrollment to the other control VMs, and each of them to
// the members of its own zone, so that it crosses zones once per control VM
// instead of once per member.
type recipients struct {
	// selfInControlSet is set if this VM is in the configured set of control VMs.
	// controlPeers are the others of the set.
	selfInControlSet bool
	controlPeers     []zinniatide.VMID
	// direct are the members that this VM sends to: those of its own zone and of
	// zones without a reachable control VM.
	direct []zinniatide.VMID
	// indirect are the members that get enrollments from a control VM of their own
	// zone.
	indirect []zinniatide.VMID
}

func newRecipients(self zinniatide.VMID, c *zinniatide.Configuration, connected func(zinniatide.VMID) bool) recipients {
	var r recipients
	control := map[zinniatide.VMID]bool{}
	reachableZones := map[zinniatide.ZoneID]bool{}
	for _, vm := range c.ControlVMs {
		control[vm.VM] = true
		if vm.VM == self {
			r.selfInControlSet = true
			continue
		}
		r.controlPeers = append(r.controlPeers, vm.VM)
		if m, known := c.Members[vm.VM]; known && connected(vm.VM) {
			reachableZones[m.Zone] = true
		}
	}
	own, known := c.Members[self]
	for vm, m := range c.Members {
		switch {
		case vm == self || control[vm]:
		case known && m.Zone != own.Zone && reachableZones[m.Zone]:
			r.indirect = append(r.indirect, vm)
		default:
			r.direct = append(r.direct, vm)
		}
	}
	return r
}

// indirectAt returns the indirect recipients that get a digest from this VM at
// the given tick. Each is selected once in as many ticks as there are control
// VMs, so that it gets about one digest per tick from the control VMs of other
// zones together.
func (r *recipients) indirectAt(tick uint64) []zinniatide.VMID {
	period := uint64(len(r.controlPeers) + 1)
	var due []zinniatide.VMID
	for _, vm := range r.indirect {
		if (xxhash.Sum64String(string(vm))+tick)%period == 0 {
			due = append(due, vm)
		}
	}
	return due
}

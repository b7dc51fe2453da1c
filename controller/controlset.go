package controller

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

const (
	// controlSetCheckInterval is the time between the leader's checks of the set of
	// control VMs.
	controlSetCheckInterval zinniatide.Millis = 500
	// controlVMSilence is how long a control VM without a link may send no heartbeat
	// before a waiting candidate replaces it. With an election and a check, it stays
	// below the 4 s after which the loss of the next control VM must be survived.
	controlVMSilence zinniatide.Millis = 1500
)

// reconcileControlSet adds a control VM to a set that is too small, or replaces
// an absent one by a candidate outside the set. Without a candidate an absent VM
// stays in the set: a smaller set would only reduce the number of disks that
// hold an entry.
func (c *Controller) reconcileControlSet(now zinniatide.Millis) {
	if c.config.TargetControlVMs == 0 || now < c.nextControlSetCheck {
		return
	}
	c.nextControlSetCheck = now + controlSetCheckInterval
	configuration := c.stateMachine.Configuration()
	next, ok := nextControlSet(configuration, c.config.TargetControlVMs, func(vm zinniatide.VMID) bool { return c.isSilent(vm, now) })
	if !ok || !c.votersMatch(configuration) {
		return
	}
	klog.InfoS("changing the set of control VMs", "step", "control set", "before", configuration.ControlVMs, "after", next)
	change := &registrar.ControlVMsChange{Before: configuration.ControlVMs, After: next}
	c.propose(&registrar.Command{ControlVMs: change}, func(_ any, err error) {
		if err != nil {
			klog.InfoS("failed to change the set of control VMs", "step", "control set", "err", err.Error())
		}
	})
}

// isSilent reports whether vm is a member that has no link to this VM and has sent no
// heartbeat for a while.
func (c *Controller) isSilent(vm zinniatide.VMID, now zinniatide.Millis) bool {
	s := c.sessions.get(vm)
	return s != nil && vm != c.config.VM && now-s.leaseExtendedAt > controlVMSilence && !c.links.Connected(vm)
}

// votersMatch reports whether the voters of the log are the configured control
// VMs, so that one change completes before the next begins.
func (c *Controller) votersMatch(configuration *zinniatide.Configuration) bool {
	voters := map[zinniatide.VMID]bool{}
	for _, voter := range c.log.Status().Voters {
		voters[voter.VM] = true
	}
	if len(voters) != len(configuration.ControlVMs) {
		return false
	}
	for _, vm := range configuration.ControlVMs {
		if !voters[vm.VM] {
			return false
		}
	}
	return true
}

// nextControlSet returns the set after the next single change, or false if none
// is needed. A silent VM is absent although its lease has not expired: waiting for that
// would leave the lost VM a voter when the next one may be lost.
func nextControlSet(c *zinniatide.Configuration, size int, silent func(zinniatide.VMID) bool) ([]zinniatide.ControlVM, bool) {
	set := map[zinniatide.VMID]bool{}
	for _, vm := range c.ControlVMs {
		set[vm.VM] = true
	}
	present := func(vm zinniatide.VMID) bool {
		m, ok := c.Members[vm]
		return ok && m.Control && m.State == zinniatide.StateIn && !silent(vm)
	}
	var candidate *zinniatide.ControlVM
	for _, vm := range slices.Sorted(maps.Keys(c.Members)) {
		if present(vm) && !set[vm] {
			candidate = &zinniatide.ControlVM{VM: vm, PeerAddress: c.Members[vm].PeerAddress}
			break
		}
	}
	if candidate == nil || len(set) == 0 {
		return nil, false
	}
	if len(set) < size {
		return append(slices.Clone(c.ControlVMs), *candidate), true
	}
	for i, vm := range c.ControlVMs {
		if !present(vm.VM) {
			after := slices.Clone(c.ControlVMs)
			after[i] = *candidate
			return after, true
		}
	}
	return nil, false
}

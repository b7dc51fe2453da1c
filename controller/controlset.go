package controller

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

// controlSetInterval spaces the leader's checks of the set of control VMs.
const controlSetInterval zinniatide.Millis = 500

// tendControlSet adds a control VM to a set that is too small, or replaces one
// that has left by one that has come. Silence alone removes nobody: without a
// newcomer, a smaller set would only lower the number of disks that hold an
// entry.
func (c *Controller) tendControlSet(now zinniatide.Millis) {
	if c.config.Voters == 0 || now < c.nextControlSet {
		return
	}
	c.nextControlSet = now + controlSetInterval
	configuration := c.machine.Configuration()
	after, ok := nextControlSet(configuration, c.config.Voters)
	if !ok || !c.votersSettled(configuration) {
		return
	}
	klog.InfoS("changing the control VMs", "step", "control set", "before", configuration.ControlVMs, "after", after)
	change := &registrar.ControlChange{Before: configuration.ControlVMs, After: after}
	c.propose(&registrar.Command{Control: change}, func(_ any, err error) {
		if err != nil {
			klog.InfoS("control VMs not changed", "step", "control set", "err", err.Error())
		}
	})
}

// votersSettled reports whether the voters are those of the configured set, so
// that one change ends before the next begins.
func (c *Controller) votersSettled(configuration *zinniatide.Configuration) bool {
	voters := map[zinniatide.VMID]bool{}
	for _, v := range c.log.Status().Voters {
		voters[v.VM] = true
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

// nextControlSet returns the set after the next single change, or false when
// none is due.
func nextControlSet(c *zinniatide.Configuration, wanted int) ([]zinniatide.ControlVM, bool) {
	set := map[zinniatide.VMID]bool{}
	for _, vm := range c.ControlVMs {
		set[vm.VM] = true
	}
	present := func(vm zinniatide.VMID) bool {
		m, ok := c.Members[vm]
		return ok && m.Control && m.State == zinniatide.StateIn
	}
	var newcomer *zinniatide.ControlVM
	for _, vm := range slices.Sorted(maps.Keys(c.Members)) {
		if present(vm) && !set[vm] {
			newcomer = &zinniatide.ControlVM{VM: vm, PeerAddress: c.Members[vm].PeerAddress}
			break
		}
	}
	if newcomer == nil || len(set) == 0 {
		return nil, false
	}
	if len(set) < wanted {
		return append(slices.Clone(c.ControlVMs), *newcomer), true
	}
	for i, vm := range c.ControlVMs {
		if !present(vm.VM) {
			after := slices.Clone(c.ControlVMs)
			after[i] = *newcomer
			return after, true
		}
	}
	return nil, false
}

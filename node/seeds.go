package node

import (
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// seeds returns the seeds of the settings that were loaded last.
func (r *Relay) seeds() []zinniatide.ControlVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Seeds
}

// ReloadSeeds reads the seeds of the settings again.
func (r *Relay) ReloadSeeds() { r.reloadSeeds(true) }

// reloadSeeds reads the seeds of the settings again, and applies and logs them if they
// have changed or always is set.
func (r *Relay) reloadSeeds(always bool) {
	if r.cfg.LoadSeeds == nil {
		return
	}
	seeds, err := r.cfg.LoadSeeds()
	if err != nil {
		r.mu.Lock()
		repeated := err.Error() == r.lastReloadError
		r.lastReloadError = err.Error()
		r.mu.Unlock()
		if !repeated || always {
			klog.ErrorS(err, "failed to reload settings; keeping the previous ones", "step", "reload")
		}
		return
	}
	if always || !slices.Equal(seeds, r.seeds()) {
		r.SetSeeds(seeds)
	}
}

// SetSeeds replaces the seeds after the settings have been reloaded.
func (r *Relay) SetSeeds(seeds []zinniatide.ControlVM) {
	klog.InfoS("reloaded settings", "step", "reload", "seeds", seeds)
	r.mu.Lock()
	r.cfg.Seeds, r.lastReloadError = seeds, ""
	r.mu.Unlock()
	r.subscriber.SetControlVMs(r.knownControlVMs())
	if r.replicatedLog != nil {
		r.replicatedLog.Post(func() { r.replicatedLog.SetContacts(contactIDs(r.subscriber.Configuration(), seeds)) })
	}
}

// knownControlVMs returns the seeds and, on a control VM, also the control VMs
// and voters in its log. After a restart of all processes, voters that are not
// seeds must find each other too, before any of them can be elected leader.
func (r *Relay) knownControlVMs() []zinniatide.ControlVM {
	known := slices.Clone(r.seeds())
	if r.replicatedLog == nil {
		return known
	}
	add := func(vm zinniatide.VMID) {
		if !slices.ContainsFunc(known, func(c zinniatide.ControlVM) bool { return c.VM == vm }) {
			known = append(known, zinniatide.ControlVM{VM: vm, PeerAddress: string(vm)})
		}
	}
	for _, vm := range r.replicatedLog.ControlVMs() {
		add(vm.VM)
	}
	for _, voter := range r.replicatedLog.Status().Voters {
		add(voter.VM)
	}
	return known
}

// contactIDs returns the control VMs that a control VM contacts while it knows
// no leader.
func contactIDs(c *zinniatide.Configuration, seeds []zinniatide.ControlVM) []zinniatide.VMID {
	var ids []zinniatide.VMID
	for _, list := range [][]zinniatide.ControlVM{c.ControlVMs, seeds} {
		for _, vm := range list {
			ids = append(ids, vm.VM)
		}
	}
	return ids
}

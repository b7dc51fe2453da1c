package checker

import (
	"fmt"
	"maps"
	"net"
	"slices"

	"zinniatide.example/zinniatide"
)

// semanticProblems returns the problems of t that the schema cannot express.
func semanticProblems(t *zinniatide.Ticket) []string {
	var problems []string
	for _, id := range slices.Sorted(maps.Keys(t.Services)) {
		if s := t.Services[id]; s != nil {
			problems = append(problems, serviceProblems("services."+string(id), s)...)
		}
	}
	if t.Routing != nil {
		problems = append(problems, routingProblems(t.Routing)...)
	}
	seen := map[zinniatide.VMID]bool{}
	for _, vm := range t.ControlVMs {
		if seen[vm.VM] {
			problems = append(problems, fmt.Sprintf("at control-vms: VM %s appears twice", vm.VM))
		}
		seen[vm.VM] = true
		if _, _, err := net.SplitHostPort(vm.PeerAddress); err != nil {
			problems = append(problems, fmt.Sprintf("at control-vms: peer address %q of VM %s is not host:port", vm.PeerAddress, vm.VM))
		}
	}
	return problems
}

func serviceProblems(at string, s *zinniatide.ServiceSetting) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, "at "+at+": "+fmt.Sprintf(format, args...))
	}
	versions := map[zinniatide.IndexVersion]bool{}
	for i := range s.Versions {
		v := &s.Versions[i]
		if versions[v.Version] {
			report("version %d appears twice", v.Version)
		}
		versions[v.Version] = true
		for _, problem := range versionProblems(v) {
			report("version %d: %s", v.Version, problem)
		}
	}
	if s.ColdStart.InitialRate > s.ColdStart.FullRate {
		report("cold-start initial-rate %d is above full-rate %d", s.ColdStart.InitialRate, s.ColdStart.FullRate)
	}
	if s.Connections < s.Slots {
		report("%d connections cannot serve %d slots", s.Connections, s.Slots)
	}
	for _, id := range slices.Sorted(maps.Keys(s.Classes)) {
		if deadline := s.Classes[id].MaxDeadline; deadline > zinniatide.MaxRequestTime {
			report("class %s: max-deadline-ms %d is above %d", id, deadline, zinniatide.MaxRequestTime)
		}
	}
	return problems
}

func versionProblems(v *zinniatide.IndexVersionSetting) []string {
	if (v.ShardCount > 0) == (len(v.ShardBounds) > 0) {
		return []string{"exactly one of shard-count and shard-bounds must be given"}
	}
	if len(v.ShardBounds) == 0 {
		return nil
	}
	var problems []string
	if v.ShardBounds[0] != 0 {
		problems = append(problems, fmt.Sprintf("shard-bounds start at %d, not at 0", v.ShardBounds[0]))
	}
	for i, bound := range v.ShardBounds {
		if i > 0 && bound <= v.ShardBounds[i-1] {
			problems = append(problems, fmt.Sprintf("shard-bounds are not ascending: %d follows %d", bound, v.ShardBounds[i-1]))
		}
		if bound >= zinniatide.KeySpace {
			problems = append(problems, fmt.Sprintf("shard bound %d is not below %d", bound, zinniatide.KeySpace))
		}
	}
	return problems
}

// CheckAgainst validates t against the current configuration. A ticket may add,
// remove or change only one control VM, except for the first set.
func CheckAgainst(c *zinniatide.Configuration, t *zinniatide.Ticket) error {
	if len(t.ControlVMs) == 0 || len(c.ControlVMs) == 0 {
		return nil
	}
	current, wanted := map[zinniatide.ControlVM]bool{}, map[zinniatide.ControlVM]bool{}
	changed := map[zinniatide.VMID]bool{}
	for _, vm := range c.ControlVMs {
		current[vm] = true
	}
	for _, vm := range t.ControlVMs {
		wanted[vm] = true
		if !current[vm] {
			changed[vm.VM] = true
		}
	}
	for vm := range current {
		if !wanted[vm] {
			changed[vm.VM] = true
		}
	}
	if len(changed) > 1 {
		return fmt.Errorf("at control-vms: VMs %v are added, removed or changed; a ticket may touch one of the set at a time",
			slices.Sorted(maps.Keys(changed)))
	}
	return nil
}

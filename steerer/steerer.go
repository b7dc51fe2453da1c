// Package steerer chooses the relay VMs that callers are sent to.
package steerer

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// leastAddresses are named to a caller when there are as many, so that the
// loss of one VM leaves it another.
const leastAddresses = 2

// Steerer answers callers that ask for addresses.
type Steerer struct {
	self    zinniatide.VMID
	c       zinniatide.ConfigurationProvider
	servers func() []zinniatide.Enrollment
}

// New returns a Steerer of the VM self. Servers returns the backend servers.
func New(self zinniatide.VMID, c zinniatide.ConfigurationProvider, servers func() []zinniatide.Enrollment) *Steerer {
	return &Steerer{self: self, c: c, servers: servers}
}

// Addresses returns the addresses of the active relay VMs for callers in zone: those
// of the zone when searchable shards have servers there, else those of the zones
// that have. Bytes then cross zones once for each answer instead of once for
// each part. The list is empty while no relay VM is known.
func (s *Steerer) Addresses(zone zinniatide.ZoneID) []string {
	c := s.c.Configuration()
	near := s.zonesWithShards(c)
	if near[zone] {
		near = map[zinniatide.ZoneID]bool{zone: true}
	}
	var chosen, others []string
	for _, relayZone := range c.RelayZones() {
		for _, vm := range c.Relays(relayZone) {
			if near[relayZone] {
				chosen = append(chosen, c.Members[vm].HTTPAddress)
			} else {
				others = append(others, c.Members[vm].HTTPAddress)
			}
		}
	}
	if len(chosen) < leastAddresses {
		chosen = append(chosen, others...)
	}
	slices.Sort(chosen)
	return chosen
}

// zonesWithShards returns the zones that hold servers of a gathered service
// and take work.
func (s *Steerer) zonesWithShards(c *zinniatide.Configuration) map[zinniatide.ZoneID]bool {
	zones := map[zinniatide.ZoneID]bool{}
	if c.Routing == nil {
		return zones
	}
	gathered := map[zinniatide.ServiceID]bool{}
	for i := range c.Routing.Routes {
		for _, shard := range c.Routing.Routes[i].Shards {
			gathered[shard] = true
		}
	}
	for _, e := range s.servers() {
		if gathered[e.Service] && !e.Gone && e.State == zinniatide.StateIn && c.ZoneIn(e.Zone) {
			zones[e.Zone] = true
		}
	}
	return zones
}

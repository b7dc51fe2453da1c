// Package resolver selects the relay VMs to which callers send their requests.
package resolver

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// minAddresses is the minimum number of addresses returned to a caller if that
// many exist, so that a caller survives the loss of one VM.
const minAddresses = 2

// Resolver returns the addresses of relay VMs to callers.
type Resolver struct {
	configurations zinniatide.ConfigurationProvider
	servers        func() []zinniatide.Enrollment
}

// New returns a Resolver. The function servers returns the enrolled backend
// servers.
func New(configurations zinniatide.ConfigurationProvider, servers func() []zinniatide.Enrollment) *Resolver {
	return &Resolver{configurations: configurations, servers: servers}
}

// Addresses returns the addresses of the active relay VMs for callers in zone.
// They are in the caller's zone if it has servers of gathered shards, and
// otherwise in all zones that have some. Each answer then crosses zones once,
// instead of once per part. VMs of the other zones are added if there are fewer
// than minAddresses. The list is empty while no relay VM is known.
func (r *Resolver) Addresses(zone zinniatide.ZoneID) []string {
	c := r.configurations.Configuration()
	preferred := r.zonesWithShards(c)
	if preferred[zone] {
		preferred = map[zinniatide.ZoneID]bool{zone: true}
	}
	var addresses, otherAddresses []string
	for _, relayZone := range c.RelayZones() {
		for _, vm := range c.Relays(relayZone) {
			if preferred[relayZone] {
				addresses = append(addresses, c.Members[vm].HTTPAddress)
			} else {
				otherAddresses = append(otherAddresses, c.Members[vm].HTTPAddress)
			}
		}
	}
	if len(addresses) < minAddresses {
		addresses = append(addresses, otherAddresses...)
	}
	slices.Sort(addresses)
	return addresses
}

// zonesWithShards returns the zones in service that have servers of gathered
// shards.
func (r *Resolver) zonesWithShards(c *zinniatide.Configuration) map[zinniatide.ZoneID]bool {
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
	for _, e := range r.servers() {
		if gathered[e.Service] && !e.Ended && e.State == zinniatide.StateIn && c.ZoneServing(e.Zone) {
			zones[e.Zone] = true
		}
	}
	return zones
}

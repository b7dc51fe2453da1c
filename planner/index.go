// Package planner chooses the index version of a request and a replica for
// each of its shards.
package planner

import (
	"cmp"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
)

// Replica is a backend server to which sub-requests of a shard may be sent.
type Replica struct {
	Server   zinniatide.BackendServerID
	Owner    zinniatide.VMID
	SameZone bool // in the zone of this VM
	Slots    uint16
	Record   *observer.Server
}

// Version holds the replicas of every shard of one index version. It is
// immutable.
type Version struct {
	Number zinniatide.IndexVersion
	Shards []zinniatide.KeyRange
	// ServedShards is the number of shards with a replica, ServedKeys the number of
	// their keys.
	ServedShards int
	ServedKeys   uint32
	// PendingKeys is the number of keys of shards that are served only by servers
	// whose bucket is moving to another VM.
	PendingKeys uint32

	replicas []Replica
	offsets  []uint32 // shard i has replicas[offsets[i]:offsets[i+1]]
	pending  []bool
}

// Replicas returns the usable replicas of a shard. The slice must not be modified.
func (v *Version) Replicas(shard int) []Replica {
	return v.replicas[v.offsets[shard]:v.offsets[shard+1]]
}

// AwaitsOwner reports whether a server of the shard currently has no owner,
// because its bucket is moving to another VM.
func (v *Version) AwaitsOwner(shard int) bool { return v.pending[shard] }

// ShardOf returns the index of the shard that contains key, or -1.
func (v *Version) ShardOf(key uint32) int {
	i, found := slices.BinarySearchFunc(v.Shards, key, func(s zinniatide.KeyRange, k uint32) int {
		switch {
		case k < s.First:
			return 1
		case k >= s.End:
			return -1
		}
		return 0
	})
	if !found {
		return -1
	}
	return i
}

// Service holds the index versions of one service. It is immutable.
type Service struct {
	Setting zinniatide.ServiceSetting
	// Slots is the sum of the slots of the usable backend servers.
	Slots int
	// byPreference is sorted by comparePreference, best first.
	byPreference []*Version
	newestFirst  []*Version
}

// PreferredVersion returns the preferred version: the newest one with a replica
// of every shard, or else the one with the best coverage. Unless zero, excluded
// is the number of a version to skip. PreferredVersion returns nil when no
// other version has a usable replica or a server that waits for an owner.
func (s *Service) PreferredVersion(excluded zinniatide.IndexVersion) *Version {
	for _, v := range s.byPreference {
		if v.ServedKeys+v.PendingKeys == 0 {
			continue
		}
		if excluded == 0 || v.Number != excluded {
			return v
		}
	}
	return nil
}

// VersionsNewestFirst returns all versions, newest first. The slice must not be
// modified.
func (s *Service) VersionsNewestFirst() []*Version { return s.newestFirst }

// Version returns the version with the given number, or nil.
func (s *Service) Version(number zinniatide.IndexVersion) *Version {
	for _, v := range s.byPreference {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// Index maps the services, versions and shards of one configuration to the
// backend servers of one catalog. It is immutable.
type Index struct {
	configuration *zinniatide.Configuration
	catalog       *zinniatide.Catalog
	services      map[zinniatide.ServiceID]*Service
	// ServingVMs lists the entry VMs that accept new work, sorted by id.
	ServingVMs []zinniatide.VMID
}

// Service returns the entry of a service, or nil when it is not configured.
func (x *Index) Service(id zinniatide.ServiceID) *Service { return x.services[id] }

// placement assigns a server of the catalog to a shard.
type placement struct {
	shard  int32
	server int32
}

// versionBuilder collects the placements of one version.
type versionBuilder struct {
	version    *Version
	shardIndex map[zinniatide.KeyRange]int32
	placements []placement
}

// BuildIndex returns the index for a VM in zone. It also records the announced
// load of every usable server in observations.
func BuildIndex(c *zinniatide.Configuration, catalog *zinniatide.Catalog, zone zinniatide.ZoneID, observations *observer.Observer, now zinniatide.Millis) *Index {
	x := &Index{configuration: c, catalog: catalog, services: make(map[zinniatide.ServiceID]*Service, len(c.Services))}
	for vm := range c.Members {
		if c.VMServing(vm) {
			x.ServingVMs = append(x.ServingVMs, vm)
		}
	}
	slices.Sort(x.ServingVMs)
	builders := make(map[zinniatide.ServiceID]map[zinniatide.IndexVersion]*versionBuilder, len(c.Services))
	for id, setting := range c.Services {
		x.services[id] = &Service{Setting: setting}
		builders[id] = newBuilders(&setting)
	}
	records := make([]*observer.Server, len(catalog.Servers))
	for i := range catalog.Servers {
		s := &catalog.Servers[i]
		if s.Draining || !c.BackendServerServing(s.Server, s.Zone) {
			continue
		}
		records[i] = observations.Server(s.Server)
		records[i].RecordLoadReport(now, s.Load)
		addPlacements(s, int32(i), builders, x)
	}
	for id, versions := range builders {
		service := x.services[id]
		for _, b := range versions {
			service.byPreference = append(service.byPreference, b.build(catalog, records, zone, &service.Setting))
		}
		service.newestFirst = slices.Clone(service.byPreference)
		slices.SortFunc(service.newestFirst, func(a, b *Version) int { return cmp.Compare(b.Number, a.Number) })
		slices.SortFunc(service.byPreference, comparePreference)
	}
	return x
}

func newBuilders(setting *zinniatide.ServiceSetting) map[zinniatide.IndexVersion]*versionBuilder {
	builders := make(map[zinniatide.IndexVersion]*versionBuilder, len(setting.Versions))
	for i := range setting.Versions {
		shards := setting.Versions[i].Shards()
		b := &versionBuilder{
			version:    &Version{Number: setting.Versions[i].Version, Shards: shards},
			shardIndex: make(map[zinniatide.KeyRange]int32, len(shards)),
		}
		for j, r := range shards {
			b.shardIndex[r] = int32(j)
		}
		builders[b.version.Number] = b
	}
	return builders
}

// addPlacements adds the searchers of a usable server to the versions whose
// number and shard key range they match exactly.
func addPlacements(s *zinniatide.ServerStatus, index int32, builders map[zinniatide.ServiceID]map[zinniatide.IndexVersion]*versionBuilder, x *Index) {
	for _, offer := range s.Offers {
		used := false
		for _, searcher := range offer.Searchers {
			b := builders[offer.Service][searcher.Version]
			if b == nil {
				continue
			}
			if shard, ok := b.shardIndex[searcher.KeyRange]; ok {
				b.placements = append(b.placements, placement{shard, index})
				used = true
			}
		}
		if service := x.services[offer.Service]; used && s.Owner != "" {
			service.Slots += int(effectiveSlots(s, &service.Setting))
		}
	}
}

// effectiveSlots returns the number of requests that a server may run at once:
// the announced number, limited by the setting of the service.
func effectiveSlots(s *zinniatide.ServerStatus, setting *zinniatide.ServiceSetting) uint16 {
	if setting.Slots > 0 {
		return min(max(s.Slots, 1), setting.Slots)
	}
	return max(s.Slots, 1)
}

func (b *versionBuilder) build(catalog *zinniatide.Catalog, records []*observer.Server, zone zinniatide.ZoneID, setting *zinniatide.ServiceSetting) *Version {
	v := b.version
	slices.SortFunc(b.placements, func(a, c placement) int {
		if a.shard != c.shard {
			return int(a.shard - c.shard)
		}
		return int(a.server - c.server)
	})
	b.placements = slices.Compact(b.placements)
	v.offsets = make([]uint32, len(v.Shards)+1)
	v.pending = make([]bool, len(v.Shards))
	v.replicas = make([]Replica, 0, len(b.placements))
	next := 0
	for i, shard := range v.Shards {
		for ; next < len(b.placements) && int(b.placements[next].shard) == i; next++ {
			s := &catalog.Servers[b.placements[next].server]
			if s.Owner == "" {
				v.pending[i] = true
				continue
			}
			v.replicas = append(v.replicas, Replica{
				Server: s.Server, Owner: s.Owner, SameZone: s.Zone == zone,
				Slots: effectiveSlots(s, setting), Record: records[b.placements[next].server],
			})
		}
		v.offsets[i+1] = uint32(len(v.replicas))
		switch keys := shard.End - shard.First; {
		case v.offsets[i+1] > v.offsets[i]:
			v.ServedShards++
			v.ServedKeys += keys
		case v.pending[i]:
			v.PendingKeys += keys
		}
	}
	return v
}

// comparePreference orders versions: complete before partial ones, complete ones
// by descending number, and partial ones by descending coverage.
func comparePreference(a, b *Version) int {
	completeA, completeB := a.ServedShards == len(a.Shards), b.ServedShards == len(b.Shards)
	switch {
	case completeA != completeB:
		if completeA {
			return -1
		}
		return 1
	case !completeA && a.ServedKeys != b.ServedKeys:
		return int(b.ServedKeys) - int(a.ServedKeys)
	case !completeA && a.PendingKeys != b.PendingKeys:
		return int(b.PendingKeys) - int(a.PendingKeys)
	case a.Number > b.Number:
		return -1
	case a.Number < b.Number:
		return 1
	}
	return 0
}

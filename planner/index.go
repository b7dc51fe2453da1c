// Package planner chooses the index version of a request and a replica for
// each of its shards.
package planner

import (
	"cmp"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
)

// Replica is a backend server that may get work for a shard.
type Replica struct {
	Server zinniatide.BackendServerID
	Owner  zinniatide.VMID
	Near   bool // in the zone of this VM
	Slots  uint16
	Record *observer.Server
}

// Version lists the replicas of every shard of one index version. It is
// immutable.
type Version struct {
	Number zinniatide.IndexVersion
	Shards []zinniatide.KeyRange
	// Served counts the shards with a replica, ServedKeys their keys.
	Served     int
	ServedKeys uint32
	// PendingKeys counts the keys of shards that are served only by servers
	// whose bucket is being handed over.
	PendingKeys uint32

	replicas []Replica
	offsets  []uint32 // replicas of shard i: offsets[i] to offsets[i+1]
	pending  []bool
}

// Replicas returns the usable replicas of a shard. The slice must not be changed.
func (v *Version) Replicas(shard int) []Replica {
	return v.replicas[v.offsets[shard]:v.offsets[shard+1]]
}

// Pending reports whether a server of the shard has no owner at the moment, as
// happens while its bucket is handed over.
func (v *Version) Pending(shard int) bool { return v.pending[shard] }

// ShardOf returns the shard that holds key, or -1.
func (v *Version) ShardOf(key uint32) int {
	i, found := slices.BinarySearchFunc(v.Shards, key, func(s zinniatide.KeyRange, k uint32) int {
		switch {
		case k < s.First:
			return 1
		case k >= s.Last:
			return -1
		}
		return 0
	})
	if !found {
		return -1
	}
	return i
}

// Service is the part of an Index that concerns one service. It is immutable.
type Service struct {
	Setting zinniatide.ServiceSetting
	// Slots is the sum of the slots of the usable backend servers.
	Slots int
	// versions is sorted by preference, best first.
	versions []*Version
	newest   []*Version
}

// Best returns the preferred version: the newest that is served as a whole, or
// else the one with the best coverage. Version except is left out unless it is
// zero. Best returns nil when no version has a usable replica.
func (s *Service) Best(except zinniatide.IndexVersion) *Version {
	for _, v := range s.versions {
		if v.ServedKeys+v.PendingKeys == 0 {
			continue
		}
		if except == 0 || v.Number != except {
			return v
		}
	}
	return nil
}

// Newest returns all versions, newest first. The slice must not be changed.
func (s *Service) Newest() []*Version { return s.newest }

// Version returns the version with the given number, or nil.
func (s *Service) Version(number zinniatide.IndexVersion) *Version {
	for _, v := range s.versions {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// Index is the immutable result of one configuration and one catalogue.
type Index struct {
	configuration *zinniatide.Configuration
	catalog       *zinniatide.Catalog
	services      map[zinniatide.ServiceID]*Service
	// ServingVMs lists the entry VMs that take new work, sorted.
	ServingVMs []zinniatide.VMID
}

// Service returns the part that concerns a service, or nil when the service is
// not configured.
func (x *Index) Service(id zinniatide.ServiceID) *Service { return x.services[id] }

// placement is one replica before it is sorted into its shard.
type placement struct {
	shard  int32
	server int32
}

// builder collects the placements of one version.
type builder struct {
	version *Version
	shardOf map[zinniatide.KeyRange]int32
	placed  []placement
}

// Build computes the index for a VM in zone.
func Build(c *zinniatide.Configuration, catalog *zinniatide.Catalog, zone zinniatide.ZoneID, table *observer.Observer, now zinniatide.Millis) *Index {
	x := &Index{configuration: c, catalog: catalog, services: make(map[zinniatide.ServiceID]*Service, len(c.Services))}
	for vm := range c.Members {
		if c.VMServing(vm) {
			x.ServingVMs = append(x.ServingVMs, vm)
		}
	}
	slices.Sort(x.ServingVMs)
	builders := make(map[zinniatide.ServiceID]map[zinniatide.IndexVersion]*builder, len(c.Services))
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
		records[i] = table.Server(s.Server)
		records[i].Report(now, s.Load)
		place(s, int32(i), builders, x)
	}
	for id, versions := range builders {
		service := x.services[id]
		for _, b := range versions {
			service.versions = append(service.versions, b.finish(catalog, records, zone, &service.Setting))
		}
		service.newest = slices.Clone(service.versions)
		slices.SortFunc(service.newest, func(a, b *Version) int { return cmp.Compare(b.Number, a.Number) })
		slices.SortFunc(service.versions, preferred)
	}
	return x
}

func newBuilders(setting *zinniatide.ServiceSetting) map[zinniatide.IndexVersion]*builder {
	builders := make(map[zinniatide.IndexVersion]*builder, len(setting.Versions))
	for i := range setting.Versions {
		shards := setting.Versions[i].Shards()
		b := &builder{
			version: &Version{Number: setting.Versions[i].Version, Shards: shards},
			shardOf: make(map[zinniatide.KeyRange]int32, len(shards)),
		}
		for j, r := range shards {
			b.shardOf[r] = int32(j)
		}
		builders[b.version.Number] = b
	}
	return builders
}

// place adds the searchers of a usable server to the versions that they match
// exactly in number and key range.
func place(s *zinniatide.ServerStatus, index int32, builders map[zinniatide.ServiceID]map[zinniatide.IndexVersion]*builder, x *Index) {
	for _, offer := range s.Offers {
		used := false
		for _, searcher := range offer.Searchers {
			b := builders[offer.Service][searcher.Version]
			if b == nil {
				continue
			}
			if shard, ok := b.shardOf[searcher.KeyRange]; ok {
				b.placed = append(b.placed, placement{shard, index})
				used = true
			}
		}
		if service := x.services[offer.Service]; used && s.Owner != "" {
			service.Slots += int(slots(s, &service.Setting))
		}
	}
}

// slots returns how many requests a server may run at once: what it announces,
// at most what the service allows.
func slots(s *zinniatide.ServerStatus, setting *zinniatide.ServiceSetting) uint16 {
	if setting.Slots > 0 {
		return min(max(s.Slots, 1), setting.Slots)
	}
	return max(s.Slots, 1)
}

func (b *builder) finish(catalog *zinniatide.Catalog, records []*observer.Server, zone zinniatide.ZoneID, setting *zinniatide.ServiceSetting) *Version {
	v := b.version
	slices.SortFunc(b.placed, func(a, c placement) int {
		if a.shard != c.shard {
			return int(a.shard - c.shard)
		}
		return int(a.server - c.server)
	})
	b.placed = slices.Compact(b.placed)
	v.offsets = make([]uint32, len(v.Shards)+1)
	v.pending = make([]bool, len(v.Shards))
	v.replicas = make([]Replica, 0, len(b.placed))
	next := 0
	for i, shard := range v.Shards {
		for ; next < len(b.placed) && int(b.placed[next].shard) == i; next++ {
			s := &catalog.Servers[b.placed[next].server]
			if s.Owner == "" {
				v.pending[i] = true
				continue
			}
			v.replicas = append(v.replicas, Replica{
				Server: s.Server, Owner: s.Owner, Near: s.Zone == zone,
				Slots: slots(s, setting), Record: records[b.placed[next].server],
			})
		}
		v.offsets[i+1] = uint32(len(v.replicas))
		switch keys := shard.Last - shard.First; {
		case v.offsets[i+1] > v.offsets[i]:
			v.Served++
			v.ServedKeys += keys
		case v.pending[i]:
			v.PendingKeys += keys
		}
	}
	return v
}

// preferred orders versions: whole before partial, then newest among whole
// ones, and best coverage among partial ones.
func preferred(a, b *Version) int {
	wholeA, wholeB := a.Served == len(a.Shards), b.Served == len(b.Shards)
	switch {
	case wholeA != wholeB:
		if wholeA {
			return -1
		}
		return 1
	case !wholeA && a.ServedKeys != b.ServedKeys:
		return int(b.ServedKeys) - int(a.ServedKeys)
	case !wholeA && a.PendingKeys != b.PendingKeys:
		return int(b.PendingKeys) - int(a.PendingKeys)
	case a.Number > b.Number:
		return -1
	case a.Number < b.Number:
		return 1
	}
	return 0
}

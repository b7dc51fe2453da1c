package zinniatide

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IndexVersionSetting describes one allowed index version of a service.
// Exactly one of ShardCount and ShardBounds is set.
type IndexVersionSetting struct {
	Version IndexVersion `json:"version"`
	// ShardCount is the number of equal ranges into which the key space is
	// divided.
	ShardCount uint32 `json:"shard-count,omitempty"`
	// ShardBounds lists the first key of each shard, ascending from 0.
	ShardBounds []uint32 `json:"shard-bounds,omitempty"`
}

// Shards returns the key range of every shard of the version, in order.
func (v *IndexVersionSetting) Shards() []KeyRange {
	if v.ShardCount > 0 {
		shards := make([]KeyRange, v.ShardCount)
		for i := range shards {
			shards[i].First = uint32(uint64(i) * KeySpace / uint64(v.ShardCount))
			shards[i].End = uint32(uint64(i+1) * KeySpace / uint64(v.ShardCount))
		}
		return shards
	}
	shards := make([]KeyRange, len(v.ShardBounds))
	for i, first := range v.ShardBounds {
		shards[i] = KeyRange{First: first, End: KeySpace}
		if i > 0 {
			shards[i-1].End = first
		}
	}
	return shards
}

// ColdStartSetting limits the request rate of a newly started backend server.
// The limit starts at InitialRate and doubles after every DoubleAfter successful
// requests. Once it reaches FullRate, only the slots limit the server.
type ColdStartSetting struct {
	InitialRate uint32 `json:"initial-rate"` // requests per second
	DoubleAfter uint32 `json:"double-after"` // successful requests
	FullRate    uint32 `json:"full-rate"`    // requests per second
}

// ClassSetting configures the requests of one class.
type ClassSetting struct {
	MaxDeadline Millis `json:"max-deadline-ms"`
	// Weight is the relative weight of the class within the share of a workspace
	// under overload.
	Weight uint32 `json:"weight"`
}

// WorkspaceSetting configures a workspace of a service. Share is the relative
// share of the service that the workspace gets under overload.
type WorkspaceSetting struct {
	Share uint32 `json:"share"`
}

// ServiceSetting is the complete configuration of one service.
type ServiceSetting struct {
	Versions    []IndexVersionSetting            `json:"versions"`
	Slots       uint16                           `json:"slots"`       // per backend server
	Connections uint16                           `json:"connections"` // per backend server
	ColdStart   ColdStartSetting                 `json:"cold-start"`
	Classes     map[ClassID]ClassSetting         `json:"classes"`
	Workspaces  map[WorkspaceID]WorkspaceSetting `json:"tenants"`
}

// ServingState says whether a VM, backend server or availability zone takes new work.
type ServingState string

const (
	// StateIn means in service: new work is accepted. It is the default.
	StateIn ServingState = "in"
	// StateOut marks an availability zone that operators took out of service.
	StateOut ServingState = "out"
	// StateLeaving marks a VM or backend server that is draining: it completes
	// its requests, takes no new ones and then stops.
	StateLeaving ServingState = "leaving"
)

// StateSetting is the configured state of a zone, VM or backend server.
type StateSetting struct {
	State ServingState `json:"state"`
}

// ControlVM identifies a VM that replicates the control log.
type ControlVM struct {
	VM          VMID   `json:"vm"`
	PeerAddress string `json:"peer-address"`
}

// Ticket is a configuration change submitted by an operator. Each entity in it
// replaces the previous value completely; a null value removes the entity.
type Ticket struct {
	Number            TicketNumber                      `json:"ticket"`
	Services          map[ServiceID]*ServiceSetting     `json:"services,omitempty"`
	AvailabilityZones map[ZoneID]*StateSetting          `json:"availability-zones,omitempty"`
	VMs               map[VMID]*StateSetting            `json:"vms,omitempty"`
	BackendServers    map[BackendServerID]*StateSetting `json:"backend-servers,omitempty"`
	ControlVMs        []ControlVM                       `json:"control-vms,omitempty"`
	Routing           *Routing                          `json:"routing,omitempty"`
}

// Member is a VM with a live session.
type Member struct {
	VM VMID `json:"vm"`
	// Process is the process that runs on the VM. Its key is that of versions whose
	// processes were numbered in the order of their starts.
	Process     ProcessID `json:"incarnation"`
	Zone        ZoneID    `json:"zone"`
	HTTPAddress string    `json:"http-address"`
	PeerAddress string    `json:"peer-address"`
	Entry       bool      `json:"entry"` // serves callers and owns buckets
	// Relay is set on a VM that proxies HTTP requests according to the routing
	// table. It owns no buckets.
	Relay bool `json:"relay,omitempty"`
	// Control is set on a VM that replicates the control log.
	Control bool         `json:"control,omitempty"`
	State   ServingState `json:"state"` // StateIn or StateLeaving
}

// BucketsPerZone is the number of buckets into which the backend servers of
// one zone are hashed. A bucket is the unit of ownership transfer.
const BucketsPerZone = 64

// Bucket records which VM may send requests to the backend servers of a bucket.
type Bucket struct {
	// Owner is the only VM that may send requests. It is empty if no VM owns the
	// bucket.
	Owner VMID `json:"owner"`
	// OwnerProcess is the process of Owner that owns the bucket.
	OwnerProcess ProcessID `json:"owner-incarnation"`
	// NextOwner is the VM that becomes the owner once Owner has released the
	// bucket. It may be Owner itself, which still has to release the bucket. It is
	// empty if no move is pending. While it is set, Owner must not start new work.
	NextOwner VMID `json:"next"`
	// DelayStart is set if the VM of the previous owner has rejoined with another
	// incarnation, so that the old lease may not have expired. Requests of the old
	// incarnation may still be running, so the new owner starts no work in the
	// bucket for MaxRequestTime.
	DelayStart bool `json:"settle,omitempty"`
}

// Configuration is the configuration in effect at one epoch. It is immutable
// once published.
type Configuration struct {
	Epoch             Epoch                            `json:"epoch"`
	Services          map[ServiceID]ServiceSetting     `json:"services"`
	AvailabilityZones map[ZoneID]StateSetting          `json:"availability-zones"`
	VMs               map[VMID]StateSetting            `json:"vms"`
	BackendServers    map[BackendServerID]StateSetting `json:"backend-servers"`
	ControlVMs        []ControlVM                      `json:"control-vms"`
	Members           map[VMID]Member                  `json:"members"`
	// Buckets holds BucketsPerZone entries for every zone that has or had a member.
	Buckets map[ZoneID][]Bucket `json:"buckets"`
	// Routing is nil until a ticket sets it. RoutingNumber is the number of that
	// ticket.
	Routing       *Routing     `json:"routing,omitempty"`
	RoutingNumber TicketNumber `json:"routing-number,omitempty"`
	// ActiveRelays is the number of relay VMs per zone whose addresses are given
	// to callers. A zone without an entry uses all its relay VMs.
	ActiveRelays map[ZoneID]int `json:"active-relays,omitempty"`
	// Rollouts holds the last rollout of each service that had one.
	Rollouts map[ServiceID]Rollout `json:"rollouts,omitempty"`
}

// ZoneServing reports whether zone may take new work.
func (c *Configuration) ZoneServing(zone ZoneID) bool {
	return c.AvailabilityZones[zone].State != StateOut
}

// VMServing reports whether vm may take new work from callers and own buckets.
func (c *Configuration) VMServing(vm VMID) bool {
	m, ok := c.Members[vm]
	return ok && m.Entry && m.State == StateIn &&
		c.VMs[vm].State != StateLeaving && c.ZoneServing(m.Zone)
}

// Relays returns the relay VMs of a zone whose addresses are given to callers.
// They are ordered by the hash of their ids, so that a change of ActiveRelays
// moves few callers to another VM.
func (c *Configuration) Relays(zone ZoneID) []VMID {
	var vms []VMID
	for vm, m := range c.Members {
		if m.Relay && m.Zone == zone && m.State == StateIn {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b VMID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	if n, limited := c.ActiveRelays[zone]; limited && n < len(vms) {
		vms = vms[:n]
	}
	return vms
}

// RelayZones returns the zones that have relay VMs, in no particular order.
func (c *Configuration) RelayZones() []ZoneID {
	seen := map[ZoneID]bool{}
	var zones []ZoneID
	for _, m := range c.Members {
		if m.Relay && !seen[m.Zone] {
			seen[m.Zone] = true
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

// BackendServerServing reports whether the backend server may get new work.
func (c *Configuration) BackendServerServing(id BackendServerID, zone ZoneID) bool {
	return c.ZoneServing(zone) && c.BackendServers[id].State != StateLeaving
}

// BucketOf returns the bucket of a backend server within its zone.
func BucketOf(id BackendServerID) int {
	return int(xxhash.Sum64String(string(id)) % BucketsPerZone)
}

package registrar

import (
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
)

// Delta lists what one entry changes in the configuration. A nil value removes
// the entity.
type Delta struct {
	Epoch             zinniatide.Epoch                                        `cbor:"1,keyasint"`
	Services          map[zinniatide.ServiceID]*zinniatide.ServiceSetting     `cbor:"2,keyasint,omitempty"`
	AvailabilityZones map[zinniatide.ZoneID]*zinniatide.StateSetting          `cbor:"3,keyasint,omitempty"`
	VMs               map[zinniatide.VMID]*zinniatide.StateSetting            `cbor:"4,keyasint,omitempty"`
	BackendServers    map[zinniatide.BackendServerID]*zinniatide.StateSetting `cbor:"5,keyasint,omitempty"`
	ControlVMs        []zinniatide.ControlVM                                  `cbor:"6,keyasint,omitempty"`
	Members           map[zinniatide.VMID]*zinniatide.Member                  `cbor:"7,keyasint,omitempty"`
	Buckets           []BucketChange                                          `cbor:"8,keyasint,omitempty"`
	Routing           *RoutingChange                                          `cbor:"9,keyasint,omitempty"`
	ActiveRelays      map[zinniatide.ZoneID]int                               `cbor:"10,keyasint,omitempty"`
}

// BucketChange replaces one bucket.
type BucketChange struct {
	Zone   zinniatide.ZoneID `cbor:"1,keyasint"`
	Index  int               `cbor:"2,keyasint"`
	Bucket zinniatide.Bucket `cbor:"3,keyasint"`
}

func (d *Delta) empty() bool {
	return len(d.Services)+len(d.AvailabilityZones)+len(d.VMs)+len(d.BackendServers)+
		len(d.ControlVMs)+len(d.Members)+len(d.Buckets)+len(d.ActiveRelays) == 0 && d.Routing == nil
}

// NewConfiguration returns the configuration of epoch 0, which has no
// entities.
func NewConfiguration() *zinniatide.Configuration {
	return &zinniatide.Configuration{
		Services:          map[zinniatide.ServiceID]zinniatide.ServiceSetting{},
		AvailabilityZones: map[zinniatide.ZoneID]zinniatide.StateSetting{},
		VMs:               map[zinniatide.VMID]zinniatide.StateSetting{},
		BackendServers:    map[zinniatide.BackendServerID]zinniatide.StateSetting{},
		Members:           map[zinniatide.VMID]zinniatide.Member{},
		Buckets:           map[zinniatide.ZoneID][]zinniatide.Bucket{},
	}
}

// ApplyDeltas returns base with all deltas applied in order. Base is not
// changed. Maps that no delta touches are shared with base, and the others are
// copied once for all deltas.
func ApplyDeltas(base *zinniatide.Configuration, deltas []Delta) *zinniatide.Configuration {
	e := newEditor(base)
	for i := range deltas {
		e.apply(&deltas[i])
	}
	return e.next
}

// editor builds a configuration by copy on write.
type editor struct {
	next                                   *zinniatide.Configuration
	services, zones, vms, servers, members bool
	buckets                                map[zinniatide.ZoneID]bool
}

func newEditor(base *zinniatide.Configuration) *editor {
	next := *base
	return &editor{next: &next}
}

func (e *editor) apply(d *Delta) {
	e.next.Epoch = d.Epoch
	edit(&e.next.Services, &e.services, d.Services)
	edit(&e.next.AvailabilityZones, &e.zones, d.AvailabilityZones)
	edit(&e.next.VMs, &e.vms, d.VMs)
	edit(&e.next.BackendServers, &e.servers, d.BackendServers)
	edit(&e.next.Members, &e.members, d.Members)
	if len(d.ControlVMs) > 0 {
		e.next.ControlVMs = d.ControlVMs
	}
	for i := range d.Buckets {
		e.setBucket(&d.Buckets[i])
	}
	if len(d.ActiveRelays) > 0 {
		e.next.ActiveRelays = maps.Clone(e.next.ActiveRelays)
		merge(&e.next.ActiveRelays, d.ActiveRelays)
	}
	if d.Routing != nil {
		e.next.Routing, e.next.RoutingNumber = d.Routing.apply(e.next.Routing), d.Routing.Number
	}
}

// edit applies changes to *m, which it copies before the first write.
func edit[K comparable, V any](m *map[K]V, copied *bool, changes map[K]*V) {
	if len(changes) == 0 {
		return
	}
	if !*copied {
		*m = maps.Clone(*m)
		if *m == nil {
			*m = map[K]V{}
		}
		*copied = true
	}
	for key, value := range changes {
		if value == nil {
			delete(*m, key)
		} else {
			(*m)[key] = *value
		}
	}
}

func (e *editor) setBucket(c *BucketChange) {
	if c.Index < 0 || c.Index >= zinniatide.BucketsPerZone {
		return
	}
	if e.buckets == nil {
		e.buckets = map[zinniatide.ZoneID]bool{}
		e.next.Buckets = maps.Clone(e.next.Buckets)
		if e.next.Buckets == nil {
			e.next.Buckets = map[zinniatide.ZoneID][]zinniatide.Bucket{}
		}
	}
	if !e.buckets[c.Zone] {
		e.buckets[c.Zone] = true
		table := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		copy(table, e.next.Buckets[c.Zone])
		e.next.Buckets[c.Zone] = table
	}
	e.next.Buckets[c.Zone][c.Index] = c.Bucket
}

// change collects the delta of one entry and keeps the edited configuration
// beside it.
type change struct {
	*editor
	delta Delta
}

func newChange(base *zinniatide.Configuration) *change { return &change{editor: newEditor(base)} }

// add applies d and records it.
func (c *change) add(d Delta) {
	d.Epoch = c.next.Epoch
	c.apply(&d)
	merge(&c.delta.Services, d.Services)
	merge(&c.delta.AvailabilityZones, d.AvailabilityZones)
	merge(&c.delta.VMs, d.VMs)
	merge(&c.delta.BackendServers, d.BackendServers)
	merge(&c.delta.Members, d.Members)
	if len(d.ControlVMs) > 0 {
		c.delta.ControlVMs = slices.Clone(d.ControlVMs)
	}
	c.delta.Buckets = append(c.delta.Buckets, d.Buckets...)
	merge(&c.delta.ActiveRelays, d.ActiveRelays)
	if d.Routing != nil {
		c.delta.Routing = d.Routing
	}
}

func merge[K comparable, V any](into *map[K]V, from map[K]V) {
	if len(from) == 0 {
		return
	}
	if *into == nil {
		*into = map[K]V{}
	}
	maps.Copy(*into, from)
}

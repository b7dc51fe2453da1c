package registrar

import (
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
)

// Delta lists what one log entry changes in the configuration. A nil map value
// removes the entity.
type Delta struct {
	Epoch             zinniatide.Epoch                                        `cbor:"1,keyasint"`
	Services          map[zinniatide.ServiceID]*zinniatide.ServiceSetting     `cbor:"2,keyasint,omitempty"`
	AvailabilityZones map[zinniatide.ZoneID]*zinniatide.StateSetting          `cbor:"3,keyasint,omitempty"`
	VMs               map[zinniatide.VMID]*zinniatide.StateSetting            `cbor:"4,keyasint,omitempty"`
	BackendServers    map[zinniatide.BackendServerID]*zinniatide.StateSetting `cbor:"5,keyasint,omitempty"`
	ControlVMs        []zinniatide.ControlVM                                  `cbor:"6,keyasint,omitempty"`
	Members           map[zinniatide.VMID]*zinniatide.Member                  `cbor:"7,keyasint,omitempty"`
	Buckets           []BucketChange                                          `cbor:"8,keyasint,omitempty"`
	Routing           *RoutingDelta                                           `cbor:"9,keyasint,omitempty"`
	ActiveRelays      map[zinniatide.ZoneID]int                               `cbor:"10,keyasint,omitempty"`
	Rollouts          map[zinniatide.ServiceID]*zinniatide.Rollout            `cbor:"11,keyasint,omitempty"`
}

// BucketChange replaces one bucket.
type BucketChange struct {
	Zone   zinniatide.ZoneID `cbor:"1,keyasint"`
	Index  int               `cbor:"2,keyasint"`
	Bucket zinniatide.Bucket `cbor:"3,keyasint"`
}

func (d *Delta) empty() bool {
	return len(d.Services)+len(d.AvailabilityZones)+len(d.VMs)+len(d.BackendServers)+
		len(d.ControlVMs)+len(d.Members)+len(d.Buckets)+len(d.ActiveRelays)+len(d.Rollouts) == 0 && d.Routing == nil
}

// NewConfiguration returns the empty configuration of epoch 0.
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

// ApplyDeltas returns base with all deltas applied in order. It does not modify
// base. Maps without changes are shared with base; the others are copied once
// for all deltas.
func ApplyDeltas(base *zinniatide.Configuration, deltas []Delta) *zinniatide.Configuration {
	b := newConfigurationBuilder(base)
	for i := range deltas {
		b.apply(&deltas[i])
	}
	return b.next
}

// configurationBuilder modifies a copy of a configuration. It copies each map on
// the first write.
type configurationBuilder struct {
	next *zinniatide.Configuration
	// The flags tell which maps of next have been copied.
	servicesCopied, zonesCopied, vmsCopied, serversCopied, membersCopied, rolloutsCopied bool
	// bucketsCopied holds the zones whose bucket table has been copied.
	bucketsCopied map[zinniatide.ZoneID]bool
}

func newConfigurationBuilder(base *zinniatide.Configuration) *configurationBuilder {
	next := *base
	return &configurationBuilder{next: &next}
}

func (b *configurationBuilder) apply(d *Delta) {
	b.next.Epoch = d.Epoch
	applyChanges(&b.next.Services, &b.servicesCopied, d.Services)
	applyChanges(&b.next.AvailabilityZones, &b.zonesCopied, d.AvailabilityZones)
	applyChanges(&b.next.VMs, &b.vmsCopied, d.VMs)
	applyChanges(&b.next.BackendServers, &b.serversCopied, d.BackendServers)
	applyChanges(&b.next.Members, &b.membersCopied, d.Members)
	applyChanges(&b.next.Rollouts, &b.rolloutsCopied, d.Rollouts)
	if len(d.ControlVMs) > 0 {
		b.next.ControlVMs = d.ControlVMs
	}
	for i := range d.Buckets {
		b.setBucket(&d.Buckets[i])
	}
	if len(d.ActiveRelays) > 0 {
		b.next.ActiveRelays = maps.Clone(b.next.ActiveRelays)
		merge(&b.next.ActiveRelays, d.ActiveRelays)
	}
	if d.Routing != nil {
		b.next.Routing, b.next.RoutingNumber = d.Routing.apply(b.next.Routing), d.Routing.Number
	}
}

// applyChanges applies changes to *m, copying the map before the first write. A
// nil value deletes the key.
func applyChanges[K comparable, V any](m *map[K]V, copied *bool, changes map[K]*V) {
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

func (b *configurationBuilder) setBucket(c *BucketChange) {
	if c.Index < 0 || c.Index >= zinniatide.BucketsPerZone {
		return
	}
	if b.bucketsCopied == nil {
		b.bucketsCopied = map[zinniatide.ZoneID]bool{}
		b.next.Buckets = maps.Clone(b.next.Buckets)
		if b.next.Buckets == nil {
			b.next.Buckets = map[zinniatide.ZoneID][]zinniatide.Bucket{}
		}
	}
	if !b.bucketsCopied[c.Zone] {
		b.bucketsCopied[c.Zone] = true
		table := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		copy(table, b.next.Buckets[c.Zone])
		b.next.Buckets[c.Zone] = table
	}
	b.next.Buckets[c.Zone][c.Index] = c.Bucket
}

// transaction collects the changes of one log entry, both as a delta and as the
// resulting configuration.
type transaction struct {
	*configurationBuilder
	delta Delta
}

func newTransaction(base *zinniatide.Configuration) *transaction {
	return &transaction{configurationBuilder: newConfigurationBuilder(base)}
}

// add applies d to the configuration and merges it into the delta.
func (tx *transaction) add(d Delta) {
	d.Epoch = tx.next.Epoch
	tx.apply(&d)
	merge(&tx.delta.Services, d.Services)
	merge(&tx.delta.AvailabilityZones, d.AvailabilityZones)
	merge(&tx.delta.VMs, d.VMs)
	merge(&tx.delta.BackendServers, d.BackendServers)
	merge(&tx.delta.Members, d.Members)
	merge(&tx.delta.Rollouts, d.Rollouts)
	if len(d.ControlVMs) > 0 {
		tx.delta.ControlVMs = slices.Clone(d.ControlVMs)
	}
	tx.delta.Buckets = append(tx.delta.Buckets, d.Buckets...)
	merge(&tx.delta.ActiveRelays, d.ActiveRelays)
	if d.Routing != nil {
		tx.delta.Routing = d.Routing
	}
}

// merge copies src into *dst, creating the map if necessary.
func merge[K comparable, V any](dst *map[K]V, src map[K]V) {
	if len(src) == 0 {
		return
	}
	if *dst == nil {
		*dst = map[K]V{}
	}
	maps.Copy(*dst, src)
}

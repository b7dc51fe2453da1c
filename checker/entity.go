package checker

import (
	"cmp"
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
)

// Entity identifies a part of the configuration that tickets replace as a whole.
type Entity struct {
	// Kind is a field of the ticket, such as "services".
	Kind string `cbor:"1,keyasint"`
	// ID is empty for the set of control VMs and the routing table.
	ID string `cbor:"2,keyasint,omitempty"`
}

func (e Entity) String() string {
	if e.ID == "" {
		return e.Kind
	}
	return e.Kind + " " + e.ID
}

// Compare orders entities by kind and id.
func (e Entity) Compare(other Entity) int {
	return cmp.Or(cmp.Compare(e.Kind, other.Kind), cmp.Compare(e.ID, other.ID))
}

// Kinds of entities. They equal the JSON fields of a ticket.
const (
	kindServices       = "services"
	kindZones          = "availability-zones"
	kindVMs            = "vms"
	kindBackendServers = "backend-servers"
	kindControlVMs     = "control-vms"
	kindRouting        = "routing"
)

// Entities returns the entities that t replaces or removes. The order is
// deterministic.
func Entities(t *zinniatide.Ticket) []Entity {
	out := entitiesOf(kindServices, t.Services)
	out = append(out, entitiesOf(kindZones, t.AvailabilityZones)...)
	out = append(out, entitiesOf(kindVMs, t.VMs)...)
	out = append(out, entitiesOf(kindBackendServers, t.BackendServers)...)
	if len(t.ControlVMs) > 0 {
		out = append(out, Entity{Kind: kindControlVMs})
	}
	if t.Routing != nil {
		out = append(out, Entity{Kind: kindRouting})
	}
	return out
}

func entitiesOf[K ~string, V any](kind string, settings map[K]V) []Entity {
	var out []Entity
	for _, id := range slices.Sorted(maps.Keys(settings)) {
		out = append(out, Entity{Kind: kind, ID: string(id)})
	}
	return out
}

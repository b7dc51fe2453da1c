package registrar

import (
	"cmp"
	"reflect"
	"slices"

	"zinniatide.example/zinniatide"
)

// RoutingDelta lists what one ticket changes in the routing table. Tables are
// large, a ticket usually changes few routes, and every change is sent to all
// VMs, so only the differences are sent.
type RoutingDelta struct {
	Number          zinniatide.TicketNumber   `cbor:"1,keyasint"`
	Routes          []zinniatide.Route        `cbor:"2,keyasint,omitempty"` // added or replaced
	RemovedRoutes   []routeKey                `cbor:"3,keyasint,omitempty"`
	Services        []zinniatide.RelayService `cbor:"4,keyasint,omitempty"` // added or replaced
	RemovedServices []zinniatide.ServiceID    `cbor:"5,keyasint,omitempty"`
	Limits          zinniatide.CallerLimits   `cbor:"6,keyasint"`
}

// routeKey identifies a route within a table.
type routeKey struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

func keyOfRoute(r *zinniatide.Route) routeKey { return routeKey{r.Host, r.PathPrefix} }

func (k routeKey) compare(o routeKey) int {
	return cmp.Or(cmp.Compare(k.Host, o.Host), cmp.Compare(k.Prefix, o.Prefix))
}

func keyOfService(s *zinniatide.RelayService) zinniatide.ServiceID { return s.Service }

// newRoutingDelta returns the changes from current, which may be nil, to next.
func newRoutingDelta(number zinniatide.TicketNumber, current, next *zinniatide.Routing) *RoutingDelta {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	d := &RoutingDelta{Number: number, Limits: next.Limits}
	d.Routes, d.RemovedRoutes = diffItems(current.Routes, next.Routes, keyOfRoute)
	d.Services, d.RemovedServices = diffItems(current.Services, next.Services, keyOfService)
	return d
}

// apply returns the table that results from applying d to current, which may be
// nil. Its items are sorted by key, so equal deltas give equal tables.
func (d *RoutingDelta) apply(current *zinniatide.Routing) *zinniatide.Routing {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	next := &zinniatide.Routing{
		Routes:   patchItems(current.Routes, d.Routes, d.RemovedRoutes, keyOfRoute),
		Services: patchItems(current.Services, d.Services, d.RemovedServices, keyOfService),
		Limits:   d.Limits,
	}
	slices.SortFunc(next.Routes, func(a, b zinniatide.Route) int { return keyOfRoute(&a).compare(keyOfRoute(&b)) })
	slices.SortFunc(next.Services, func(a, b zinniatide.RelayService) int { return cmp.Compare(a.Service, b.Service) })
	return next
}

// diffItems returns the items of next that are new or differ from current, and
// the keys of current that next lacks.
func diffItems[T any, K comparable](current, next []T, key func(*T) K) (changed []T, removed []K) {
	before := make(map[K]*T, len(current))
	for i := range current {
		before[key(&current[i])] = &current[i]
	}
	for i := range next {
		k := key(&next[i])
		if old := before[k]; old == nil || !reflect.DeepEqual(*old, next[i]) {
			changed = append(changed, next[i])
		}
		delete(before, k)
	}
	for i := range current {
		if k := key(&current[i]); before[k] != nil {
			removed = append(removed, k)
		}
	}
	return changed, removed
}

// patchItems returns current with the changed items added or replaced and the
// removed ones left out.
func patchItems[T any, K comparable](current, changed []T, removed []K, key func(*T) K) []T {
	superseded := touchedKeys(changed, removed, key)
	out := make([]T, 0, len(current)+len(changed))
	for i := range current {
		if !superseded[key(&current[i])] {
			out = append(out, current[i])
		}
	}
	return append(out, changed...)
}

// touchedKeys returns the keys of the changed and the removed items.
func touchedKeys[T any, K comparable](changed []T, removed []K, key func(*T) K) map[K]bool {
	keys := make(map[K]bool, len(removed)+len(changed))
	for _, k := range removed {
		keys[k] = true
	}
	for i := range changed {
		keys[key(&changed[i])] = true
	}
	return keys
}

package registrar

import (
	"cmp"
	"reflect"
	"slices"

	"zinniatide.example/zinniatide"
)

// RoutingChange lists what one ticket changes in the routing table. Tables are
// large and change in a few routes, and every change goes to all VMs.
type RoutingChange struct {
	Number   zinniatide.TicketNumber   `cbor:"1,keyasint"`
	Routes   []zinniatide.Route        `cbor:"2,keyasint,omitempty"` // added or replaced
	Dropped  []routePlace              `cbor:"3,keyasint,omitempty"`
	Services []zinniatide.RelayService `cbor:"4,keyasint,omitempty"` // added or replaced
	Removed  []zinniatide.ServiceID    `cbor:"5,keyasint,omitempty"`
	Limits   zinniatide.CallerLimits   `cbor:"6,keyasint"`
}

// routePlace identifies a route within a table.
type routePlace struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

func placeOf(r *zinniatide.Route) routePlace { return routePlace{r.Host, r.PathPrefix} }

func (p routePlace) compare(o routePlace) int {
	return cmp.Or(cmp.Compare(p.Host, o.Host), cmp.Compare(p.Prefix, o.Prefix))
}

func nameOf(s *zinniatide.RelayService) zinniatide.ServiceID { return s.Service }

// routingChange returns the change from current, which may be nil, to next.
func routingChange(number zinniatide.TicketNumber, current, next *zinniatide.Routing) *RoutingChange {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	c := &RoutingChange{Number: number, Limits: next.Limits}
	c.Routes, c.Dropped = changedItems(current.Routes, next.Routes, placeOf)
	c.Services, c.Removed = changedItems(current.Services, next.Services, nameOf)
	return c
}

// apply returns the table after the change. Its items are in the order of their
// keys, so equal changes give equal tables.
func (c *RoutingChange) apply(current *zinniatide.Routing) *zinniatide.Routing {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	next := &zinniatide.Routing{
		Routes:   replacedItems(current.Routes, c.Routes, c.Dropped, placeOf),
		Services: replacedItems(current.Services, c.Services, c.Removed, nameOf),
		Limits:   c.Limits,
	}
	slices.SortFunc(next.Routes, func(a, b zinniatide.Route) int { return placeOf(&a).compare(placeOf(&b)) })
	slices.SortFunc(next.Services, func(a, b zinniatide.RelayService) int { return cmp.Compare(a.Service, b.Service) })
	return next
}

// changedItems returns the items of next that are not in current, and the keys
// that next lacks.
func changedItems[T any, K comparable](current, next []T, key func(*T) K) (changed []T, dropped []K) {
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
			dropped = append(dropped, k)
		}
	}
	return changed, dropped
}

// replacedItems returns current without the dropped items and with the changed
// ones.
func replacedItems[T any, K comparable](current, changed []T, dropped []K, key func(*T) K) []T {
	gone := make(map[K]bool, len(dropped)+len(changed))
	for _, k := range dropped {
		gone[k] = true
	}
	for i := range changed {
		gone[key(&changed[i])] = true
	}
	out := make([]T, 0, len(current)+len(changed))
	for i := range current {
		if !gone[key(&current[i])] {
			out = append(out, current[i])
		}
	}
	return append(out, changed...)
}

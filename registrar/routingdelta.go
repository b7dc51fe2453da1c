package registrar

import (
	"cmp"
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
	// Workspaces are added or replaced.
	Workspaces        []zinniatide.RelayWorkspace `cbor:"7,keyasint,omitempty"`
	RemovedWorkspaces []zinniatide.WorkspaceID    `cbor:"8,keyasint,omitempty"`
	KeysRequired      bool                        `cbor:"9,keyasint,omitempty"`
	// KeyChanges are the changes of workspaces of which nothing but the keys differs. A
	// workspace may have thousands of keys.
	KeyChanges []keyChange `cbor:"10,keyasint,omitempty"`
}

// keyChange lists what changes in the keys of a workspace.
type keyChange struct {
	Workspace zinniatide.WorkspaceID `cbor:"1,keyasint"`
	Added     []zinniatide.KeyDigest `cbor:"2,keyasint,omitempty"`
	Removed   []zinniatide.KeyDigest `cbor:"3,keyasint,omitempty"`
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

func keyOfWorkspace(w *zinniatide.RelayWorkspace) zinniatide.WorkspaceID { return w.Workspace }

func keyOfDigest(d *zinniatide.KeyDigest) zinniatide.KeyDigest { return *d }

func keyOfService(s *zinniatide.RelayService) zinniatide.ServiceID { return s.Service }

// newRoutingDelta returns the changes from current, which may be nil, to next.
func newRoutingDelta(number zinniatide.TicketNumber, current, next *zinniatide.Routing) *RoutingDelta {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	d := &RoutingDelta{Number: number, Limits: next.Limits, KeysRequired: next.KeysRequired}
	d.Routes, d.RemovedRoutes = diffItems(current.Routes, next.Routes, keyOfRoute, (*zinniatide.Route).Equal)
	d.Services, d.RemovedServices = diffItems(current.Services, next.Services, keyOfService, func(a, b *zinniatide.RelayService) bool { return *a == *b })
	d.Workspaces, d.RemovedWorkspaces = diffItems(current.Workspaces, next.Workspaces, keyOfWorkspace, (*zinniatide.RelayWorkspace).Equal)
	d.shortenWorkspaces(current.Workspaces)
	return d
}

// shortenWorkspaces replaces workspaces that differ from the current ones in their keys
// only by the changes of the keys.
func (d *RoutingDelta) shortenWorkspaces(current []zinniatide.RelayWorkspace) {
	before := make(map[zinniatide.WorkspaceID]*zinniatide.RelayWorkspace, len(current))
	for i := range current {
		before[current[i].Workspace] = &current[i]
	}
	d.Workspaces = slices.DeleteFunc(d.Workspaces, func(w zinniatide.RelayWorkspace) bool {
		old := before[w.Workspace]
		if old == nil {
			return false
		}
		sameKeys := *old
		sameKeys.Keys = w.Keys
		if !sameKeys.Equal(&w) {
			return false
		}
		c := keyChange{Workspace: w.Workspace}
		c.Added, c.Removed = diffItems(old.Keys, w.Keys, keyOfDigest, func(a, b *zinniatide.KeyDigest) bool { return *a == *b })
		d.KeyChanges = append(d.KeyChanges, c)
		return true
	})
}

// changedWorkspaces returns the workspaces that d adds to current or replaces in it.
func (d *RoutingDelta) changedWorkspaces(current []zinniatide.RelayWorkspace) []zinniatide.RelayWorkspace {
	if len(d.KeyChanges) == 0 {
		return d.Workspaces
	}
	out := slices.Clone(d.Workspaces)
	changes := make(map[zinniatide.WorkspaceID]*keyChange, len(d.KeyChanges))
	for i := range d.KeyChanges {
		changes[d.KeyChanges[i].Workspace] = &d.KeyChanges[i]
	}
	for i := range current {
		w := current[i]
		if c := changes[w.Workspace]; c != nil {
			w.Keys = patchItems(w.Keys, c.Added, c.Removed, keyOfDigest, zinniatide.KeyDigest.Compare)
			out = append(out, w)
		}
	}
	return out
}

// apply returns the table that results from applying d to current, which may be
// nil. Its items are sorted by key, so equal deltas give equal tables.
func (d *RoutingDelta) apply(current *zinniatide.Routing) *zinniatide.Routing {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	return &zinniatide.Routing{
		Routes:   patchItems(current.Routes, d.Routes, d.RemovedRoutes, keyOfRoute, routeKey.compare),
		Services: patchItems(current.Services, d.Services, d.RemovedServices, keyOfService, cmp.Compare[zinniatide.ServiceID]),
		Limits:   d.Limits, KeysRequired: d.KeysRequired,
		Workspaces: patchItems(current.Workspaces, d.changedWorkspaces(current.Workspaces), d.RemovedWorkspaces, keyOfWorkspace, cmp.Compare[zinniatide.WorkspaceID]),
	}
}

// diffItems returns the items of next that are new or differ from current, and
// the keys of current that next lacks.
func diffItems[T any, K comparable](current, next []T, key func(*T) K, equal func(a, b *T) bool) (changed []T, removed []K) {
	before := make(map[K]*T, len(current))
	for i := range current {
		before[key(&current[i])] = &current[i]
	}
	for i := range next {
		k := key(&next[i])
		if old := before[k]; old == nil || !equal(old, &next[i]) {
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
// removed ones left out, sorted by key.
func patchItems[T any, K comparable](current, changed []T, removed []K, key func(*T) K, compare func(a, b K) int) []T {
	current, changed = sortItems(current, key, compare), sortItems(changed, key, compare)
	removed = slices.SortedFunc(slices.Values(removed), compare)
	out := make([]T, 0, len(current)+len(changed))
	for i := range current {
		k := key(&current[i])
		for len(changed) > 0 && compare(key(&changed[0]), k) < 0 {
			out, changed = append(out, changed[0]), changed[1:]
		}
		for len(removed) > 0 && compare(removed[0], k) < 0 {
			removed = removed[1:]
		}
		replaced := len(changed) > 0 && key(&changed[0]) == k
		if !replaced && (len(removed) == 0 || removed[0] != k) {
			out = append(out, current[i])
		}
	}
	return append(out, changed...)
}

// sortItems returns items sorted by key. Tables are sorted already.
func sortItems[T any, K comparable](items []T, key func(*T) K, compare func(a, b K) int) []T {
	for i := 1; i < len(items); i++ {
		if compare(key(&items[i-1]), key(&items[i])) > 0 {
			return slices.SortedFunc(slices.Values(items), func(a, b T) int { return compare(key(&a), key(&b)) })
		}
	}
	return items
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

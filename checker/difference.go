package checker

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
)

// EqualServices reports whether a and b are equal.
func EqualServices(a, b zinniatide.ServiceSetting) bool { return reflect.DeepEqual(a, b) }

// EqualStates reports whether a and b are equal.
func EqualStates(a, b zinniatide.StateSetting) bool { return a == b }

// EqualControlVMs reports whether a and b contain the same VMs in any order.
func EqualControlVMs(a, b []zinniatide.ControlVM) bool {
	order := func(x, y zinniatide.ControlVM) int { return strings.Compare(string(x.VM), string(y.VM)) }
	return slices.Equal(slices.SortedFunc(slices.Values(a), order), slices.SortedFunc(slices.Values(b), order))
}

// Difference lists what t changes in c, one line per value. Lines of added values
// start with "+", of removed ones with "-" and of changed ones with "~". The list
// is empty if t changes nothing.
func Difference(c *zinniatide.Configuration, t *zinniatide.Ticket) []string {
	out := diffEntities(kindServices, c.Services, t.Services)
	out = append(out, diffEntities(kindZones, c.AvailabilityZones, t.AvailabilityZones)...)
	out = append(out, diffEntities(kindVMs, c.VMs, t.VMs)...)
	out = append(out, diffEntities(kindBackendServers, c.BackendServers, t.BackendServers)...)
	if len(t.ControlVMs) > 0 {
		out = append(out, diffValues(kindControlVMs, controlVMsByID(c.ControlVMs), controlVMsByID(t.ControlVMs))...)
	}
	if t.Routing != nil {
		out = append(out, diffRouting(c.Routing, t.Routing)...)
	}
	return out
}

func diffEntities[K ~string, V any](kind string, current map[K]V, wanted map[K]*V) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		var before, after any
		if old, ok := current[id]; ok {
			before = toJSONValue(old)
		}
		if value := wanted[id]; value != nil {
			after = toJSONValue(*value)
		}
		out = append(out, diffValues(kind+"."+string(id), before, after)...)
	}
	return out
}

// toJSONValue converts v to a decoded JSON value. It converts the list of versions
// to a map, so that adding a version does not shift the others.
func toJSONValue(v any) any {
	encoded, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	var out any
	decoder := json.NewDecoder(strings.NewReader(string(encoded)))
	decoder.UseNumber()
	if err := decoder.Decode(&out); err != nil {
		return err.Error()
	}
	fields, ok := out.(map[string]any)
	if !ok {
		return out
	}
	if versions, ok := fields["versions"].([]any); ok {
		byVersion := map[string]any{}
		for _, version := range versions {
			if entry, ok := version.(map[string]any); ok {
				number := fmt.Sprint(entry["version"])
				delete(entry, "version")
				byVersion[number] = entry
			}
		}
		fields["versions"] = byVersion
	}
	return fields
}

// controlVMsByID returns the peer addresses by VM as a JSON object.
func controlVMsByID(vms []zinniatide.ControlVM) any {
	out := map[string]any{}
	for _, vm := range vms {
		out[string(vm.VM)] = vm.PeerAddress
	}
	return out
}

// diffRouting compares two routing tables. It converts only the differing items
// to JSON values: large tables differ in few routes, and every control VM runs
// this for each ticket it applies.
func diffRouting(current, wanted *zinniatide.Routing) []string {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	out := diffItems("routes", current.Routes, wanted.Routes, func(r *zinniatide.Route) string { return r.Host + r.PathPrefix })
	out = append(out, diffItems("services", current.Services, wanted.Services,
		func(s *zinniatide.RelayService) string { return string(s.Service) })...)
	out = append(out, diffWorkspaces(current.Workspaces, wanted.Workspaces)...)
	if current.KeysRequired != wanted.KeysRequired {
		out = append(out, diffValues(kindRouting+".keys-required", current.KeysRequired, wanted.KeysRequired)...)
	}
	if current.Limits != wanted.Limits {
		out = append(out, diffValues(kindRouting+".limits", toJSONValue(current.Limits), toJSONValue(wanted.Limits))...)
	}
	return out
}

// diffWorkspaces compares two lists of workspaces. JSON values of workspaces hold no
// keys, so changes of keys are listed as numbers.
func diffWorkspaces(current, wanted []zinniatide.RelayWorkspace) []string {
	id := func(w *zinniatide.RelayWorkspace) string { return string(w.Workspace) }
	out := diffItems("workspaces", current, wanted, id)
	before, after := indexByKey(current, id), indexByKey(wanted, id)
	names := slices.Collect(maps.Keys(before))
	for name := range after {
		if before[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		var old, next []zinniatide.KeyDigest
		if w := before[name]; w != nil {
			old = w.Keys
		}
		if w := after[name]; w != nil {
			next = w.Keys
		}
		if !slices.Equal(old, next) {
			out = append(out, fmt.Sprintf("~ %s.workspaces.%s.keys: %d added, %d removed", kindRouting, name, countMissing(next, old), countMissing(old, next)))
		}
	}
	return out
}

// countMissing returns the number of digests that others lacks.
func countMissing(digests, others []zinniatide.KeyDigest) int {
	known := make(map[zinniatide.KeyDigest]bool, len(others))
	for _, d := range others {
		known[d] = true
	}
	n := 0
	for _, d := range digests {
		if !known[d] {
			n++
		}
	}
	return n
}

// diffItems compares two lists of a routing table whose items are identified by
// key.
func diffItems[T any](list string, current, wanted []T, key func(*T) string) []string {
	currentByKey, wantedByKey := indexByKey(current, key), indexByKey(wanted, key)
	keys := slices.Collect(maps.Keys(currentByKey))
	for k := range wantedByKey {
		if currentByKey[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var out []string
	for _, k := range keys {
		currentItem, wantedItem := currentByKey[k], wantedByKey[k]
		if currentItem != nil && wantedItem != nil && reflect.DeepEqual(*currentItem, *wantedItem) {
			continue
		}
		var before, after any
		if currentItem != nil {
			before = toJSONValue(*currentItem)
		}
		if wantedItem != nil {
			after = toJSONValue(*wantedItem)
		}
		out = append(out, diffValues(kindRouting+"."+list+"."+k, before, after)...)
	}
	return out
}

func indexByKey[T any](items []T, key func(*T) string) map[string]*T {
	out := make(map[string]*T, len(items))
	for i := range items {
		out[key(&items[i])] = &items[i]
	}
	return out
}

// diffValues compares two JSON values. It descends into objects and returns one
// line per differing value, in key order.
func diffValues(path string, before, after any) []string {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	beforeFields, beforeIsObject := before.(map[string]any)
	afterFields, afterIsObject := after.(map[string]any)
	switch {
	case beforeIsObject && afterIsObject || beforeIsObject && after == nil || before == nil && afterIsObject:
		keys := slices.Sorted(maps.Keys(beforeFields))
		for key := range afterFields {
			if _, both := beforeFields[key]; !both {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		var out []string
		for _, key := range keys {
			out = append(out, diffValues(path+"."+key, beforeFields[key], afterFields[key])...)
		}
		return out
	case before == nil:
		return []string{fmt.Sprintf("+ %s: %s", path, encodeValue(after))}
	case after == nil:
		return []string{fmt.Sprintf("- %s: %s", path, encodeValue(before))}
	}
	return []string{fmt.Sprintf("~ %s: %s -> %s", path, encodeValue(before), encodeValue(after))}
}

func encodeValue(v any) string {
	encoded, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

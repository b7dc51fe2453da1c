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

// SameService reports whether a and b configure a service alike.
func SameService(a, b zinniatide.ServiceSetting) bool { return reflect.DeepEqual(a, b) }

// SameState reports whether a and b are equal.
func SameState(a, b zinniatide.StateSetting) bool { return a == b }

// SameControlVMs reports whether a and b hold the same VMs in any order.
func SameControlVMs(a, b []zinniatide.ControlVM) bool {
	order := func(x, y zinniatide.ControlVM) int { return strings.Compare(string(x.VM), string(y.VM)) }
	return slices.Equal(slices.SortedFunc(slices.Values(a), order), slices.SortedFunc(slices.Values(b), order))
}

// Difference lists what t changes in c, one line per value: added values start
// with "+", removed ones with "-" and changed ones with "~". It is empty when t
// changes nothing.
func Difference(c *zinniatide.Configuration, t *zinniatide.Ticket) []string {
	out := differences(kindServices, c.Services, t.Services)
	out = append(out, differences(kindZones, c.AvailabilityZones, t.AvailabilityZones)...)
	out = append(out, differences(kindVMs, c.VMs, t.VMs)...)
	out = append(out, differences(kindBackendServers, c.BackendServers, t.BackendServers)...)
	if len(t.ControlVMs) > 0 {
		out = append(out, compare(kindControlVMs, controlSet(c.ControlVMs), controlSet(t.ControlVMs))...)
	}
	if t.Routing != nil {
		out = append(out, routingDifferences(c.Routing, t.Routing)...)
	}
	return out
}

func differences[K ~string, V any](kind string, current map[K]V, wanted map[K]*V) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		var before, after any
		if old, ok := current[id]; ok {
			before = generic(old)
		}
		if value := wanted[id]; value != nil {
			after = generic(*value)
		}
		out = append(out, compare(kind+"."+string(id), before, after)...)
	}
	return out
}

// generic returns v as decoded JSON. Lists of versions become maps by version,
// so that a new version does not shift the others.
func generic(v any) any {
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

func controlSet(vms []zinniatide.ControlVM) any {
	out := map[string]any{}
	for _, vm := range vms {
		out[string(vm.VM)] = vm.PeerAddress
	}
	return out
}

// routingDifferences compares two routing tables. Only what differs is put
// into generic form: large tables differ in a few routes, and every control VM
// does this for each ticket that it applies.
func routingDifferences(current, wanted *zinniatide.Routing) []string {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	out := differingItems("routes", current.Routes, wanted.Routes, func(r *zinniatide.Route) string { return r.Host + r.PathPrefix })
	out = append(out, differingItems("services", current.Services, wanted.Services,
		func(s *zinniatide.RelayService) string { return string(s.Service) })...)
	if current.Limits != wanted.Limits {
		out = append(out, compare(kindRouting+".limits", generic(current.Limits), generic(wanted.Limits))...)
	}
	return out
}

func differingItems[T any](list string, current, wanted []T, key func(*T) string) []string {
	before, after := byKey(current, key), byKey(wanted, key)
	keys := slices.Collect(maps.Keys(before))
	for k := range after {
		if before[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var out []string
	for _, k := range keys {
		old, now := before[k], after[k]
		if old != nil && now != nil && reflect.DeepEqual(*old, *now) {
			continue
		}
		var was, is any
		if old != nil {
			was = generic(*old)
		}
		if now != nil {
			is = generic(*now)
		}
		out = append(out, compare(kindRouting+"."+list+"."+k, was, is)...)
	}
	return out
}

func byKey[T any](items []T, key func(*T) string) map[string]*T {
	out := make(map[string]*T, len(items))
	for i := range items {
		out[key(&items[i])] = &items[i]
	}
	return out
}

// compare returns the differing values below path, in key order.
func compare(path string, before, after any) []string {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	old, oldFields := before.(map[string]any)
	now, nowFields := after.(map[string]any)
	switch {
	case oldFields && nowFields || oldFields && after == nil || before == nil && nowFields:
		keys := slices.Sorted(maps.Keys(old))
		for key := range now {
			if _, both := old[key]; !both {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		var out []string
		for _, key := range keys {
			out = append(out, compare(path+"."+key, old[key], now[key])...)
		}
		return out
	case before == nil:
		return []string{fmt.Sprintf("+ %s: %s", path, compact(after))}
	case after == nil:
		return []string{fmt.Sprintf("- %s: %s", path, compact(before))}
	}
	return []string{fmt.Sprintf("~ %s: %s -> %s", path, compact(before), compact(after))}
}

func compact(v any) string {
	encoded, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

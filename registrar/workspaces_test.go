package registrar

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/authenticator"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/router"
)

// newWorkspaces returns workspaces with the given number of keys each, and a document
// that holds the keys.
func newWorkspaces(workspaces, keys int) (*zinniatide.Routing, []byte) {
	table := &zinniatide.Routing{KeysRequired: true, Services: []zinniatide.RelayService{{Service: "s"}}}
	var document []byte
	for i := range workspaces {
		w := zinniatide.RelayWorkspace{Workspace: zinniatide.WorkspaceID(fmt.Sprintf("workspace-%05d", i))}
		document = fmt.Appendf(document, `{"name":%q,"api_keys":[`, w.Workspace)
		for k := range keys {
			key := fmt.Sprintf("%032x", i*keys+k)
			w.Keys = append(w.Keys, zinniatide.DigestKey([]byte(key)))
			document = fmt.Appendf(document, `%q,`, key)
		}
		document = append(document, "]},"...)
		slices.SortFunc(w.Keys, zinniatide.KeyDigest.Compare)
		table.Workspaces = append(table.Workspaces, w)
	}
	return table, document
}

// withKeys returns table with one workspace changed.
func withKeys(table *zinniatide.Routing, i int, change func(keys []zinniatide.KeyDigest) []zinniatide.KeyDigest) *zinniatide.Routing {
	next := *table
	next.Workspaces = slices.Clone(table.Workspaces)
	w := &next.Workspaces[i]
	w.Keys = change(slices.Clone(w.Keys))
	slices.SortFunc(w.Keys, zinniatide.KeyDigest.Compare)
	return &next
}

func encodedSize(t testing.TB, v any) int {
	t.Helper()
	encoded, err := encoder.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// Guards against a change of one key that sends all keys of its workspace, or all
// workspaces, to all VMs and to the disks of the control VMs.
func TestChangeOfOneKeyIsSmall(t *testing.T) {
	// smallChange bounds one digest of 16 bytes, the name of its workspace and the fixed
	// fields of a delta, in bytes.
	const smallChange = 200
	added := zinniatide.DigestKey([]byte("added"))
	for _, row := range []struct{ workspaces, keys int }{{1, 5000}, {50, 100}, {5000, 1}} {
		table, document := newWorkspaces(row.workspaces, row.keys)
		i := row.workspaces / 2
		for name, change := range map[string]func(keys []zinniatide.KeyDigest) []zinniatide.KeyDigest{
			"added":    func(keys []zinniatide.KeyDigest) []zinniatide.KeyDigest { return append(keys, added) },
			"removed":  func(keys []zinniatide.KeyDigest) []zinniatide.KeyDigest { return keys[1:] },
			"replaced": func(keys []zinniatide.KeyDigest) []zinniatide.KeyDigest { return append(keys[1:], added) },
		} {
			delta := newRoutingDelta(2, table, withKeys(table, i, change))
			if got := encodedSize(t, delta); got > smallChange {
				t.Errorf("%d workspaces with %d keys, one key %s: got a delta of %d bytes, want at most %d", row.workspaces, row.keys, name, got, smallChange)
			}
		}
		base := &RoutingTable{Number: 1, Table: table, Document: document}
		next := &RoutingTable{Number: 2, Table: withKeys(table, i, func(k []zinniatide.KeyDigest) []zinniatide.KeyDigest { return append(k, added) }),
			Document: []byte(strings.Replace(string(document), `{"name":"workspace-`+fmt.Sprintf("%05d", i)+`","api_keys":[`, `{"name":"workspace-`+fmt.Sprintf("%05d", i)+`","api_keys":["added",`, 1))}
		if got, want := encodedSize(t, NewRoutingEntry(base, next)), 3*smallChange; got > want {
			t.Errorf("%d workspaces with %d keys: got a log entry of %d bytes, want at most %d", row.workspaces, row.keys, got, want)
		}
	}
}

// Guards against a rotation of many keys in two steps (new keys are added, then the old
// ones removed) after which the tables of VMs differ from the operator's, or during which
// a delta is larger than the digests that it changes.
func TestRotationOfManyKeys(t *testing.T) {
	const workspaces, keys = 50, 80
	// perKey bounds the bytes of a digest in a delta: 16 bytes and the header of a byte
	// string. perWorkspace bounds the rest of its entry.
	const perKey, perWorkspace, fixed = 17, 40, 100
	before, _ := newWorkspaces(workspaces, keys)
	both, after := before, before
	for i := range workspaces {
		fresh := make([]zinniatide.KeyDigest, 0, keys)
		for k := range keys {
			fresh = append(fresh, zinniatide.DigestKey(fmt.Appendf(nil, "fresh-%d-%d", i, k)))
		}
		both = withKeys(both, i, func(old []zinniatide.KeyDigest) []zinniatide.KeyDigest { return append(old, fresh...) })
		after = withKeys(after, i, func([]zinniatide.KeyDigest) []zinniatide.KeyDigest { return fresh })
	}
	held := newRoutingDelta(1, nil, before).apply(nil)
	for number, next := range []*zinniatide.Routing{before, both, after} {
		delta := newRoutingDelta(zinniatide.TicketNumber(number+1), held, next)
		if got, limit := encodedSize(t, delta), fixed+workspaces*(perWorkspace+perKey*keys); got > limit {
			t.Errorf("step %d: got a delta of %d bytes, want at most %d", number, got, limit)
		}
		held = delta.apply(held)
		if !reflect.DeepEqual(held.Workspaces, next.Workspaces) {
			t.Fatalf("step %d: got other workspaces than the operator's", number)
		}
	}
}

// randomWorkspaces returns workspaces of which few differ between two calls.
func randomWorkspaces(random *rand.Rand) []zinniatide.RelayWorkspace {
	var out []zinniatide.RelayWorkspace
	for i := range 12 {
		if random.IntN(8) == 0 {
			continue
		}
		w := zinniatide.RelayWorkspace{Workspace: zinniatide.WorkspaceID(fmt.Sprintf("w%02d", i)), Rate: float64(random.IntN(2)), Burst: float64(random.IntN(2))}
		if priority := random.IntN(3); priority > 0 {
			w.Priority = &priority
		}
		for k := range 6 {
			if random.IntN(4) > 0 {
				w.Keys = append(w.Keys, zinniatide.DigestKey(fmt.Appendf(nil, "%d-%d", i, k)))
			}
		}
		slices.SortFunc(w.Keys, zinniatide.KeyDigest.Compare)
		out = append(out, w)
	}
	return out
}

// Guards against a chain of deltas after which VMs hold other workspaces, keys or limits
// than the operator's table, and against losing them in a snapshot.
func TestDeltasOfWorkspaces(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // fixed seed
		r, restored := New(), New()
		for number := zinniatide.TicketNumber(1); number <= 30; number++ {
			next := &RoutingTable{Number: number, Document: fmt.Appendf(nil, "%d", number),
				Table: &zinniatide.Routing{KeysRequired: random.IntN(3) > 0, Workspaces: randomWorkspaces(random)}}
			entry := NewRoutingEntry(r.RoutingTable(), next)
			resolved, err := entry.Resolve(r.RoutingTable())
			if err != nil || !sameWorkspaces(resolved.Table, next.Table) {
				t.Fatalf("seed %d, ticket %d: got %+v, %v resolved, want %+v", seed, number, resolved, err, next.Table)
			}
			if reply, ok := applyEntry(t, r, entry).(zinniatide.TicketReply); !ok || !reply.Accepted {
				t.Fatalf("seed %d, ticket %d: got %+v, want an accepted one", seed, number, reply)
			}
			if got := r.Configuration().Routing; !sameWorkspaces(got, next.Table) {
				t.Fatalf("seed %d, ticket %d: got %+v, want %+v", seed, number, got, next.Table)
			}
		}
		data, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		if got, want := restored.Configuration().Routing, r.Configuration().Routing; !sameWorkspaces(got, want) {
			t.Errorf("seed %d: got %+v restored, want %+v", seed, got, want)
		}
	}
}

func sameWorkspaces(a, b *zinniatide.Routing) bool {
	return a.KeysRequired == b.KeysRequired && slices.EqualFunc(a.Workspaces, b.Workspaces, func(a, b zinniatide.RelayWorkspace) bool { return a.Equal(&b) })
}

// Guards against a field of a workspace that is left out of the comparison, so that a
// ticket that changes it has no effect.
func TestWorkspaceEqualComparesAllFields(t *testing.T) {
	one, two := 1, 2
	base := zinniatide.RelayWorkspace{Priority: &one}
	for name, changed := range map[string]zinniatide.RelayWorkspace{
		"Workspace": {Workspace: "w", Priority: &one}, "Keys": {Keys: make([]zinniatide.KeyDigest, 1), Priority: &one}, "Priority": {Priority: &two},
		"no Priority": {}, "Rate": {Rate: 1, Priority: &one}, "Burst": {Burst: 1, Priority: &one},
	} {
		if base.Equal(&changed) {
			t.Errorf("got equal workspaces although %s differs", name)
		}
	}
	if got, want := reflect.TypeFor[zinniatide.RelayWorkspace]().NumField(), 5; got != want {
		t.Errorf("got %d fields, but this test compares %d", got, want)
	}
	same := 1
	if !base.Equal(&zinniatide.RelayWorkspace{Priority: &same}) {
		t.Error("got different workspaces, want equal ones")
	}
}

// Guards against keys or digests in the reply to a ticket or in the state that operators
// read, and against changes of workspaces that the reply leaves out.
func TestReplyShowsNoKeys(t *testing.T) {
	const key = "k3y-5ecret"
	digest := zinniatide.DigestKey([]byte(key))
	table := &zinniatide.Routing{KeysRequired: true, Workspaces: []zinniatide.RelayWorkspace{{Workspace: "a", Keys: []zinniatide.KeyDigest{digest}}}}
	r := New()
	var shown []string
	for number, next := range []*zinniatide.Routing{table, withKeys(table, 0, func(k []zinniatide.KeyDigest) []zinniatide.KeyDigest {
		return append(k, zinniatide.DigestKey([]byte("other")))
	}), {}} {
		entry := NewRoutingEntry(r.RoutingTable(), &RoutingTable{Number: zinniatide.TicketNumber(number + 1), Table: next, Document: []byte(key)})
		reply, ok := applyEntry(t, r, entry).(zinniatide.TicketReply)
		if !ok || !slices.ContainsFunc(reply.Changes, func(line string) bool { return strings.Contains(line, "workspaces.a.keys") }) {
			t.Errorf("step %d: got %+v, want a change of the keys of workspace a", number, reply)
		}
		pushed, err := encoder.Marshal(&entry.Delta)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(pushed), key) {
			t.Errorf("step %d: got the key in the delta that VMs get", number)
		}
		shown = append(shown, reply.Changes...)
		state, err := json.Marshal(r.Configuration())
		if err != nil {
			t.Fatal(err)
		}
		shown = append(shown, string(state))
	}
	numbers, err := json.Marshal(digest)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range shown {
		if strings.Contains(text, key) || strings.Contains(text, string(numbers)) || strings.Contains(text, fmt.Sprintf("%x", digest)) {
			t.Errorf("got %s, want no key and no digest", text)
		}
	}
}

// BenchmarkKeys measures tables of different numbers of keys: bytes of the whole table in
// a message, memory of a table as a relay VM holds it, and the time to apply the delta of
// one key. Lists of one and of 100 keys for each workspace are the extremes.
func BenchmarkKeys(b *testing.B) {
	for _, perWorkspace := range []int{1, 100} {
		for _, keys := range []int{1000, 2000, 5000, 10_000} {
			b.Run(fmt.Sprintf("per-workspace=%d/keys=%d", perWorkspace, keys), func(b *testing.B) {
				table, document := newWorkspaces(keys/perWorkspace, perWorkspace)
				whole := newRoutingDelta(1, nil, table)
				encoded, err := encoder.Marshal(whole)
				if err != nil {
					b.Fatal(err)
				}
				memory := heapGrowth(func() any {
					var received RoutingDelta
					if err := encoder.Unmarshal(encoded, &received); err != nil {
						b.Fatal(err)
					}
					held := received.apply(nil)
					return []any{held, router.New(1, held), authenticator.New(held, "Token")}
				})
				next := withKeys(table, 0, func(k []zinniatide.KeyDigest) []zinniatide.KeyDigest {
					return append(k, zinniatide.DigestKey([]byte("added")))
				})
				delta := newRoutingDelta(2, table, next)
				for b.Loop() {
					held := delta.apply(table)
					router.New(2, held)
					authenticator.New(held, "Token")
				}
				b.ReportMetric(float64(len(encoded)), "table-bytes")
				b.ReportMetric(float64(encodedSize(b, delta)), "delta-bytes")
				b.ReportMetric(float64(memory), "memory-bytes")
				b.ReportMetric(float64(len(document)), "document-bytes")
				if err := checker.CheckRouting(1, table); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}

// heapGrowth returns the bytes that the result of f keeps on the heap.
func heapGrowth(f func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - before.HeapAlloc
}

package registrar

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// randomTable returns a table with a random selection of routes and its document.
func randomTable(random *rand.Rand, number zinniatide.TicketNumber) *RoutingTable {
	table := &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: "s"}}, Limits: zinniatide.CallerLimits{MaxBodyBytes: random.IntN(3)}}
	var document strings.Builder
	fmt.Fprintf(&document, "{%d", number)
	for i := range 60 {
		if random.IntN(10) == 0 {
			continue
		}
		route := zinniatide.Route{ID: zinniatide.RouteID(fmt.Sprint(i)), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Timeout: zinniatide.Millis(1 + random.IntN(3)),
			Targets: []zinniatide.WeightedService{{Service: "s", Weight: 1}}}
		table.Routes = append(table.Routes, route)
		fmt.Fprintf(&document, "{%s %d}", route.PathPrefix, route.Timeout)
	}
	document.WriteString("}")
	return &RoutingTable{Number: number, Table: table, Document: []byte(document.String())}
}

func applyEntry(t *testing.T, r *Registrar, e *RoutingEntry) any {
	t.Helper()
	data, err := (&Command{Routing: e}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return r.Apply(1, data)
}

// Guards against a table that differs from the ticket after a chain of differences,
// and against a difference that is applied to another table than it was made for.
func TestRoutingEntries(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		changed, restored := New(), New()
		var tables []*RoutingTable
		for number := zinniatide.TicketNumber(1); number <= 30; number++ {
			base, next := changed.RoutingTable(), randomTable(random, number)
			tables = append(tables, next)
			if stale := tables[random.IntN(len(tables))]; stale.Number < base.Number {
				before := changed.Configuration()
				if got, want := applyEntry(t, changed, NewRoutingEntry(stale, next)), (BaseChanged{}); got != want {
					t.Fatalf("entry based on table %d instead of %d: got %v, want %v", stale.Number, base.Number, got, want)
				}
				if got, want := changed.Configuration(), before; got != want {
					t.Fatalf("entry based on another table changed the configuration to epoch %d", got.Epoch)
				}
			}
			entry := NewRoutingEntry(base, next)
			resolved, err := entry.Resolve(base)
			if err != nil || !bytes.Equal(resolved.Document, next.Document) {
				t.Fatalf("resolve: got %+v, %v, want document %q", resolved, err, next.Document)
			}
			reply, ok := applyEntry(t, changed, entry).(zinniatide.TicketReply)
			if !ok || !reply.Accepted || reply.Repeated {
				t.Fatalf("ticket %d: got %+v, want an accepted one", number, reply)
			}
			again, ok := applyEntry(t, changed, NewRoutingEntry(&RoutingTable{}, next)).(zinniatide.TicketReply)
			if !ok || !again.Repeated || again.Epoch != reply.Epoch {
				t.Errorf("ticket %d sent again: got %+v, want the reply of epoch %d", number, again, reply.Epoch)
			}
			if got, want := changed.RoutingDocument(), next.Document; !bytes.Equal(got, want) {
				t.Fatalf("ticket %d: got document %q, want %q", number, got, want)
			}
			if got, want := changed.Configuration().Routing, resolved.Table; !sameTable(got, want) || !sameRoutes(got.Routes, next.Table.Routes) {
				t.Fatalf("ticket %d: got table %+v, want %+v", number, got, want)
			}
		}
		data, err := changed.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		if got, want := restored.RoutingTable(), changed.RoutingTable(); got.Number != want.Number || !bytes.Equal(got.Document, want.Document) || !sameTable(got.Table, want.Table) {
			t.Errorf("restored: got table %d, want %d", got.Number, want.Number)
		}
	}
}

func sameTable(a, b *zinniatide.Routing) bool {
	return sameRoutes(a.Routes, b.Routes) && reflect.DeepEqual(a.Services, b.Services) && a.Limits == b.Limits
}

// sameRoutes compares lists of routes regardless of their order.
func sameRoutes(a, b []zinniatide.Route) bool {
	changed, removed := diffItems(a, b, keyOfRoute, (*zinniatide.Route).Equal)
	return len(changed)+len(removed) == 0
}

// Guards against a log entry that is as large as the table although it changes one
// route: control VMs and their disks then take seconds for a burst of tickets.
func TestRoutingEntrySize(t *testing.T) {
	base := &RoutingTable{Number: 1, Table: &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: "s"}}}}
	for i := range 800 {
		base.Table.Routes = append(base.Table.Routes, zinniatide.Route{ID: zinniatide.RouteID(fmt.Sprint("route-", i)), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i),
			Targets: []zinniatide.WeightedService{{Service: "s", Weight: 1}}})
		base.Document = fmt.Appendf(base.Document, `{"route":"route-%d","prefix":"/%d/","targets":[{"service":"s"}]},`, i, i)
	}
	next := &RoutingTable{Number: 2, Table: &zinniatide.Routing{Services: base.Table.Services}}
	next.Table.Routes = append(append(next.Table.Routes, base.Table.Routes[1:]...), zinniatide.Route{ID: "new", Host: "h", PathPrefix: "/new/"})
	next.Document = append(base.Document[bytes.IndexByte(base.Document, ',')+1:len(base.Document):len(base.Document)], `{"route":"new"}`...)
	encoded, err := encoder.Marshal(NewRoutingEntry(base, next))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(encoded), len(next.Document)/20; got > want {
		t.Errorf("one route of 800 added and one removed: got an entry of %d bytes, want at most %d", got, want)
	}
}

package registrar

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

func applyRouting(t *testing.T, r *Registrar, number zinniatide.TicketNumber, document string) any {
	t.Helper()
	command := &Command{Ticket: &TicketEntry{
		Ticket: zinniatide.Ticket{Number: number, Routing: &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: zinniatide.ServiceID(document)}}}},
		Digest: checker.RoutingDocumentDigest([]byte(document)), Document: []byte(document),
	}}
	data, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return r.Apply(1, data)
}

// Guards against replacing the routing table by a ticket with a lower or equal
// number, and against losing the table in a snapshot.
func TestHighestRoutingTicketWins(t *testing.T) {
	r := New()
	for _, step := range []struct {
		number   zinniatide.TicketNumber
		document string
		refused  zinniatide.Code
	}{
		{5, "five", ""}, {5, "five", ""}, {5, "other", zinniatide.CodeTicketConflict}, {3, "three", zinniatide.CodeSuperseded}, {9, "nine", ""},
		{5, "five", ""}, {8, "eight", zinniatide.CodeSuperseded},
	} {
		result := applyRouting(t, r, step.number, step.document)
		refusal, refused := result.(*zinniatide.Refusal)
		if refused != (step.refused != "") || refused && refusal.Code != step.refused {
			t.Errorf("ticket %d %s: got %v, want refusal %q", step.number, step.document, result, step.refused)
		}
	}
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*Registrar{"applied": r, "restored": restored} {
		c := state.Configuration()
		if got, want := c.RoutingNumber, zinniatide.TicketNumber(9); got != want {
			t.Errorf("%s: got table %d, want %d", name, got, want)
		}
		if got, want := state.RoutingDocument(), []byte("nine"); !bytes.Equal(got, want) {
			t.Errorf("%s: got document %q, want %q", name, got, want)
		}
		if got, want := c.Routing.Services[0].Service, zinniatide.ServiceID("nine"); got != want {
			t.Errorf("%s: got service %s, want %s", name, got, want)
		}
	}
}

// Guards against zones that cannot be put back in, and against malformed states
// that take a zone out.
func TestZoneState(t *testing.T) {
	r := New()
	setState := func(zone zinniatide.ZoneID, state zinniatide.ServingState) any {
		data, err := (&Command{ZoneState: &ZoneStateChange{Zone: zone, State: state}}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		return r.Apply(1, data)
	}
	for _, step := range []struct {
		state   zinniatide.ServingState
		in      bool
		refused bool
	}{{zinniatide.StateOut, false, false}, {zinniatide.StateOut, false, false}, {"sideways", false, true}, {zinniatide.StateIn, true, false}} {
		_, refused := setState("a", step.state).(*zinniatide.Refusal)
		if got := r.Configuration().ZoneServing("a"); got != step.in || refused != step.refused {
			t.Errorf("after %s: got in %v, refused %v, want %v, %v", step.state, got, refused, step.in, step.refused)
		}
	}
	if _, refused := setState("", zinniatide.StateOut).(*zinniatide.Refusal); !refused {
		t.Error("empty zone: got no refusal, want one")
	}
}

// Guards against VMs whose routing table differs from the leader's after a
// series of deltas, and against deltas that contain unchanged items.
func TestRoutingDeltasRebuildTable(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8)) //nolint:gosec // fixed seed
	r := New()
	var deltas []Delta
	r.Observe(func(_ *zinniatide.Configuration, d *Delta) { deltas = append(deltas, *d) })
	table := &zinniatide.Routing{}
	for number := zinniatide.TicketNumber(1); number < 60; number++ {
		next := &zinniatide.Routing{Limits: zinniatide.CallerLimits{MaxBodyBytes: random.IntN(3)}}
		for i := range 30 {
			if random.IntN(10) > 0 {
				next.Routes = append(next.Routes, zinniatide.Route{Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Timeout: zinniatide.Millis(1 + random.IntN(2))})
			}
			if random.IntN(10) > 0 {
				next.Services = append(next.Services, zinniatide.RelayService{Service: zinniatide.ServiceID(fmt.Sprint("s", i))})
			}
		}
		random.Shuffle(len(next.Routes), func(i, j int) { next.Routes[i], next.Routes[j] = next.Routes[j], next.Routes[i] })
		delta := newRoutingDelta(number, table, next)
		table = delta.apply(table)
		if again := newRoutingDelta(number, table, next); len(again.Routes)+len(again.RemovedRoutes)+len(again.Services)+len(again.RemovedServices) > 0 || again.Limits != table.Limits {
			t.Fatalf("ticket %d: got remaining changes %+v, want none", number, again)
		}
		command := &Command{Ticket: &TicketEntry{Ticket: zinniatide.Ticket{Number: number, Routing: next}}}
		data, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		r.Apply(uint64(number), data)
	}
	installed := ApplyDeltas(NewConfiguration(), deltas)
	if !reflect.DeepEqual(installed.Routing, r.Configuration().Routing) || installed.RoutingNumber != 59 {
		t.Errorf("got table %d, want table 59 with the leader's content", installed.RoutingNumber)
	}
	same := newRoutingDelta(60, table, table)
	if len(same.Routes)+len(same.Services)+len(same.RemovedRoutes)+len(same.RemovedServices) > 0 {
		t.Errorf("got delta %+v between equal tables, want no items", same)
	}
}

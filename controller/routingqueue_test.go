package controller

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// testTable returns a table of several routes, of which one depends on the number.
func testTable(number zinniatide.TicketNumber) *registrar.RoutingTable {
	table := &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: "s"}}}
	document := fmt.Sprintf(`{"version":%d}`, number)
	for i := range 40 {
		prefix := fmt.Sprintf("/%d/", i)
		if i == 0 {
			prefix = fmt.Sprintf("/version-%d/", number)
		}
		table.Routes = append(table.Routes, zinniatide.Route{ID: zinniatide.RouteID(prefix), Host: "h", PathPrefix: prefix, Timeout: 100, Idempotent: true,
			Targets: []zinniatide.WeightedService{{Service: "s", Weight: 1}}})
		document += fmt.Sprintf("{%s}", prefix)
	}
	return &registrar.RoutingTable{Number: number, Table: table, Document: []byte(document)}
}

// fileRouting sends a routing ticket to v without waiting for its answer. Base is the
// table that it is compared with.
func (sim *simulation) fileRouting(v *vm, base, next *registrar.RoutingTable, done func(zinniatide.TicketReply, error)) {
	sim.t.Helper()
	encoded, err := encoder.Marshal(registrar.NewRoutingEntry(base, next))
	if err != nil {
		sim.t.Fatal(err)
	}
	v.controller.dispatch(&controlproto.Forward{Operation: controlproto.ForwardFileRouting, Routing: encoded}, 5000, func(response controlproto.ForwardReply) {
		var reply zinniatide.TicketReply
		err := response.Refusal.Err()
		if err == nil {
			err = encoder.Unmarshal(response.Result, &reply)
		}
		done(reply, err)
	})
}

// Guards against a burst of tickets that takes a log entry each: on a busy VM they are
// acknowledged late, and leadership is lost. All get a true answer.
func TestBurstOfRoutingTicketsSharesEntries(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(2000)
	file := func(v *vm, number zinniatide.TicketNumber, done func(zinniatide.TicketReply, error)) {
		sim.fileRouting(v, v.controller.routingTable.Load(), testTable(number), done)
	}
	answered := 0
	file(sim.vms["c1"], 1, func(reply zinniatide.TicketReply, err error) {
		if answered++; err != nil || !reply.Accepted {
			t.Errorf("first ticket: got %+v, %v, want it accepted", reply, err)
		}
	})
	sim.run(1000)
	sim.commitDelay = 300
	entries := len(sim.logEntries)
	const burst = 25
	accepted, superseded := 0, 0
	for i, n := range sim.random.Perm(burst) {
		v := sim.vms[zinniatide.VMID(fmt.Sprintf("c%d", i%3+1))]
		file(v, zinniatide.TicketNumber(n+2), func(_ zinniatide.TicketReply, err error) {
			var refusal *zinniatide.Refusal
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &refusal) && refusal.Code == zinniatide.CodeSuperseded:
				superseded++
			default:
				t.Errorf("ticket %d: got %v, want it accepted or superseded", n+2, err)
			}
		})
		sim.run(20)
	}
	sim.run(4000)
	if got, want := accepted+superseded, burst; got != want || accepted == 0 || answered != 1 {
		t.Errorf("got %d tickets accepted and %d superseded, want %d in all and the first answered once", accepted, superseded, want)
	}
	if got, want := len(sim.logEntries)-entries, 8; got > want {
		t.Errorf("got %d log entries for %d tickets within 500 ms and commits of 300 ms, want at most %d", got, burst, want)
	}
	for id, v := range sim.vms {
		if got, want := v.stateMachine.RoutingTable().Number, zinniatide.TicketNumber(burst+1); got != want {
			t.Errorf("%s: got table %d, want %d", id, got, want)
		}
		if got, want := v.subscriber.Configuration().RoutingNumber, zinniatide.TicketNumber(burst+1); got != want {
			t.Errorf("%s: got installed table %d, want %d", id, got, want)
		}
	}
}

// Guards against a ticket that is lost or applied to the wrong table if the leader
// does not have the table that it was compared with.
func TestUnknownBaseTable(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.run(1000)
	v := sim.vms["c1"]
	for number := zinniatide.TicketNumber(1); number <= maxKeptTables+3; number++ {
		sim.fileRouting(v, v.controller.routingTable.Load(), testTable(number), func(_ zinniatide.TicketReply, err error) {
			if err != nil {
				t.Errorf("ticket %d: got %v, want it accepted", number, err)
			}
		})
		sim.run(1000)
	}
	for _, step := range []struct {
		base        zinniatide.TicketNumber
		wantRefused bool
	}{{1, true}, {3, true}, {4, false}, {0, false}, {maxKeptTables + 3, false}} {
		base, wantRefused, table := step.base, step.wantRefused, &registrar.RoutingTable{}
		if base > 0 {
			table = testTable(base)
		}
		number := v.stateMachine.RoutingTable().Number + 1
		sim.fileRouting(v, table, testTable(number), func(_ zinniatide.TicketReply, err error) {
			if got := isUnknownBase(err); got != wantRefused || err != nil && !got {
				t.Errorf("ticket %d based on table %d: got %v, want refused %t", number, base, err, wantRefused)
			}
		})
		sim.run(1000)
		if got, want := string(v.stateMachine.RoutingTable().Document), string(testTable(number).Document); (got != want) != wantRefused {
			t.Errorf("ticket %d based on table %d: got document %q, want %q", number, base, got, want)
		}
	}
	sim.fileRouting(v, testTable(2), &registrar.RoutingTable{Number: 99, Table: testTable(99).Table, Document: []byte(strings.Repeat("x", 10))}, func(_ zinniatide.TicketReply, err error) {
		if !isUnknownBase(err) {
			t.Errorf("ticket 99: got %v, want a refusal that asks for the whole table", err)
		}
	})
	sim.run(1000)
}

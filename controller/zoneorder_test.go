package controller

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/registrar"
)

// Guards against an evacuation order that is delayed at a control VM, for example
// because the VM is frozen, and takes effect after a later order that was
// acknowledged.
func TestDelayedZoneOrderDoesNotOvertake(t *testing.T) {
	const zone = zinniatide.ZoneID("b")
	waiting := func() bool { return false }
	for name, row := range map[string]struct {
		delayed zinniatide.ServingState
		// later are the orders that others give while the order is delayed.
		later     []zinniatide.ServingState
		abandoned bool // known at the control VM before the order is proposed
		wantError bool
		wantIn    bool
	}{
		"no delay":                         {delayed: zinniatide.StateOut},
		"operator has gone":                {delayed: zinniatide.StateOut, abandoned: true, wantError: true, wantIn: true},
		"taken back and evacuated again":   {delayed: zinniatide.StateIn, later: []zinniatide.ServingState{zinniatide.StateIn, zinniatide.StateOut}, wantError: true},
		"later order changes nothing":      {delayed: zinniatide.StateIn, later: []zinniatide.ServingState{zinniatide.StateOut}, wantError: true},
		"delayed evacuation, taken back":   {delayed: zinniatide.StateOut, later: []zinniatide.ServingState{zinniatide.StateOut, zinniatide.StateIn}, wantError: true, wantIn: true},
		"gone, and later orders were made": {delayed: zinniatide.StateOut, later: []zinniatide.ServingState{zinniatide.StateIn}, abandoned: true, wantError: true, wantIn: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			stateMachine := registrar.New()
			log := &synchronousLog{stateMachine: stateMachine}
			ticketChecker, err := checker.New()
			if err != nil {
				t.Fatal(err)
			}
			c := New(Config{VM: "c1"}, log, &vm{sim: sim, handlers: sim.vms["c1"].handlers}, sim.clock, stateMachine, ticketChecker, prometheus.NewRegistry())
			log.onLeadership(true)
			if row.delayed == zinniatide.StateIn {
				if err := c.SetZoneState(zone, zinniatide.StateOut, waiting, 1000); err != nil {
					t.Fatal(err)
				}
			}
			checks := 0
			err = c.SetZoneState(zone, row.delayed, func() bool {
				checks++
				if checks == 1 {
					for _, state := range row.later {
						if err := c.SetZoneState(zone, state, waiting, 1000); err != nil {
							t.Errorf("later order: got %v, want no error", err)
						}
					}
				}
				// The operator's end of the connection becomes known after the delay.
				return row.abandoned || checks > 1
			}, 1000)
			if got := err != nil; got != row.wantError {
				t.Errorf("got error %v, want an error: %v", err, row.wantError)
			}
			if got := stateMachine.Configuration().ZoneServing(zone); got != row.wantIn {
				t.Errorf("got zone in service %v, want %v", got, row.wantIn)
			}
		})
	}
}

// Guards against a restored snapshot that lets a delayed order take effect.
func TestZoneOrdersSurviveSnapshot(t *testing.T) {
	r := registrar.New()
	apply := func(r *registrar.Registrar, state zinniatide.ServingState, after *uint64) any {
		data, err := (&registrar.Command{ZoneState: &registrar.ZoneStateChange{Zone: "b", State: state, After: after}}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		return r.Apply(1, data)
	}
	before := r.ZoneOrders()
	apply(r, zinniatide.StateOut, &before)
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := registrar.New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got, want := apply(restored, zinniatide.StateIn, &before), any(zinniatide.Epoch(0)); got != want {
		t.Errorf("got %v for an order of before the snapshot, want %v", got, want)
	}
	if restored.Configuration().ZoneServing("b") {
		t.Error("got the zone in service, want it out")
	}
}

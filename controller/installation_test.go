package controller

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/registrar"
)

func (sim *simulation) startRelayVM(id string) *vm {
	return sim.startVM(zinniatide.Member{VM: zinniatide.VMID(id), Zone: "z1", Relay: true, Process: 1, HTTPAddress: id + ":80", PeerAddress: id + ":70"})
}

// newRelaySimulation starts three control VMs and three relay VMs with table 1.
func newRelaySimulation(t *testing.T) (sim *simulation, relays []*vm) {
	sim = newSimulation(t, 3)
	for _, id := range []string{"r1", "r2", "r3"} {
		relays = append(relays, sim.startRelayVM(id))
	}
	sim.run(2000)
	sim.fileRouting(sim.vms["c1"], &registrar.RoutingTable{}, testTable(1), func(_ zinniatide.TicketReply, err error) {
		if err != nil {
			t.Errorf("first table: %v", err)
		}
	})
	sim.run(2000)
	return sim, relays
}

// Guards against a change that is acknowledged although relay VMs do not follow it: a
// leader that loses its leadership right after the acknowledgement cannot push the
// change, and its successors may take seconds to do so on busy processors.
func TestAcknowledgedChangesAreInstalled(t *testing.T) {
	faults := map[string]func(sim *simulation, step int){
		"pushes lost": func(sim *simulation, _ int) { sim.droppedKind = zinniatide.KindControlPush },
		"leadership moves": func(sim *simulation, step int) {
			sim.droppedKind = zinniatide.KindControlPush
			if step%60 == 0 {
				sim.setLeader([]zinniatide.VMID{"c1", "c2", "c3"}[step/60%3])
			}
		},
		// The lease of a leader lapses and it leads on in the same term, as when its disk or
		// its processor stalls. Entries are committed in between.
		"leadership lapses": func(sim *simulation, step int) {
			sim.commitDelay = 300
			switch step % 100 {
			case 0:
				sim.vms[sim.leader].log.onLeadership(false)
			case 35:
				sim.vms[sim.leader].log.onLeadership(true)
			}
		},
		"slow links": func(sim *simulation, _ int) { sim.maxDelay = 250 },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			sim, relays := newRelaySimulation(t)
			acknowledged := zinniatide.TicketNumber(1)
			filing, zoneOut := false, false
			for step := range 600 {
				inject(sim, step)
				if !filing {
					filing = true
					number := acknowledged + 1
					sim.fileRouting(sim.vms["c1"], testTable(1), testTable(number), func(_ zinniatide.TicketReply, err error) {
						filing = false
						if err != nil {
							return // unknown; it is sent again
						}
						acknowledged = number
						for _, r := range relays {
							if got, want := r.subscriber.Configuration().RoutingNumber, number; got < want {
								t.Errorf("table %d was acknowledged while %s has table %d", want, r.member.VM, got)
							}
						}
					})
				}
				if step == 300 {
					zoneOut = sim.takeZoneOut(t, relays)
				}
				sim.run(10)
			}
			if got, want := acknowledged, zinniatide.TicketNumber(4); got < want {
				t.Errorf("got changes up to %d acknowledged in 6 s, want at least %d", got, want)
			}
			if name != "leadership moves" && name != "leadership lapses" && !zoneOut {
				t.Error("the zone order was not acknowledged")
			}
		})
	}
}

// takeZoneOut takes a zone out of service and reports whether that was acknowledged,
// at which time all relay VMs must follow it.
func (sim *simulation) takeZoneOut(t *testing.T, relays []*vm) bool {
	t.Helper()
	err := sim.operatorRequest(sim.vms["c1"], &controlproto.Forward{Operation: controlproto.ForwardSetZone, Zone: "z9", State: zinniatide.StateOut}, nil)
	if err != nil {
		return false
	}
	for _, r := range relays {
		if r.subscriber.Configuration().ZoneServing("z9") {
			t.Errorf("zone z9 was acknowledged to be out while %s uses it", r.member.VM)
		}
	}
	return true
}

// Guards against changes that are never acknowledged, or late, because a relay VM is
// gone, cut off or installs nothing.
func TestAcknowledgementsDoNotWaitForLostVMs(t *testing.T) {
	for name, row := range map[string]struct {
		lose    func(sim *simulation, relay *vm)
		atMost  zinniatide.Millis
		atLeast zinniatide.Millis
	}{
		"stopped": {func(_ *simulation, relay *vm) { relay.stopped = true }, 100, 0},
		"cut off": {func(sim *simulation, relay *vm) {
			sim.unlinked[relay.member.VM] = true
			sim.setIsolated(relay.member.VM, true)
		}, 100, 0},
		"silent, connected": {func(sim *simulation, relay *vm) { sim.setIsolated(relay.member.VM, true) }, installTimeout + 100, installTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			sim, relays := newRelaySimulation(t)
			row.lose(sim, relays[0])
			for number := zinniatide.TicketNumber(2); number <= 4; number++ {
				startedAt, took := sim.clock.Now(), zinniatide.Millis(-1)
				sim.fileRouting(sim.vms["c1"], testTable(number-1), testTable(number), func(_ zinniatide.TicketReply, err error) {
					took = sim.clock.Now() - startedAt
					if err != nil {
						t.Errorf("table %d: %v", number, err)
					}
				})
				sim.run(installTimeout + 500)
				atLeast, atMost := row.atLeast, row.atMost
				if number > 2 { // known to install nothing
					atLeast, atMost = 0, 100
				}
				if took < atLeast || took > atMost {
					t.Errorf("table %d: acknowledged after %d ms, want %d to %d", number, took, atLeast, atMost)
				}
			}
		})
	}
}

package controller

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against VMs that never get a lease, a configuration or buckets and
// would therefore refuse all requests.
func TestVMsGetLeaseConfigurationAndBuckets(t *testing.T) {
	sim := newSimulation(t, 3)
	e1, e2 := sim.startEntryVM("e1", "z1", 1), sim.startEntryVM("e2", "z2", 1)
	sim.run(1500)
	for _, v := range []*vm{e1, e2} {
		if !v.hasLease() {
			t.Errorf("VM %s has no lease", v.member.VM)
		}
		if got, want := v.subscriber.Configuration().Epoch, sim.leaderController().stateMachine.Configuration().Epoch; got != want {
			t.Errorf("VM %s installed epoch %d, want %d", v.member.VM, got, want)
		}
		if got, want := v.subscriber.OwnedBuckets(), zinniatide.BucketsPerZone; got != want {
			t.Errorf("VM %s owns %d buckets, want %d", v.member.VM, got, want)
		}
	}
	reply := sim.fileTicket(`{"ticket": 7, "availability-zones": {"z3": {"state": "out"}}}`)
	sim.run(100)
	if got := sim.ticketStatus(7); !got.InForce || got.Epoch != reply.Epoch {
		t.Errorf("ticket 7: %+v, want in force at epoch %d", got, reply.Epoch)
	}
	if e1.subscriber.Configuration().ZoneServing("z3") {
		t.Error("zone z3 still has state in on e1 after the ticket")
	}
}

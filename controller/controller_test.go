package controller

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against VMs that never get a lease, a configuration or buckets, which
// would refuse all work.
func TestVMsGetLeaseConfigurationAndBuckets(t *testing.T) {
	w := newWorld(t, 3)
	e1, e2 := w.entry("e1", "z1", 1), w.entry("e2", "z2", 1)
	w.run(1500)
	for _, v := range []*vm{e1, e2} {
		if !v.leased() {
			t.Errorf("VM %s has no lease", v.member.VM)
		}
		if got, want := v.subscriber.Configuration().Epoch, w.lead().machine.Configuration().Epoch; got != want {
			t.Errorf("VM %s installed epoch %d, want %d", v.member.VM, got, want)
		}
		if got, want := v.subscriber.OwnedBuckets(), zinniatide.BucketsPerZone; got != want {
			t.Errorf("VM %s owns %d buckets, want %d", v.member.VM, got, want)
		}
	}
	reply := w.file(`{"ticket": 7, "availability-zones": {"z3": {"state": "out"}}}`)
	w.run(100)
	if got := w.status(7); !got.InForce || got.Epoch != reply.Epoch {
		t.Errorf("ticket 7: %+v, want in force at epoch %d", got, reply.Epoch)
	}
	if e1.subscriber.Configuration().ZoneIn("z3") {
		t.Error("zone z3 is in on e1 after the ticket")
	}
}

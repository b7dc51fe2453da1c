package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// bucketOwner simulates the owner role of one process: it starts requests in the
// buckets that it may use, and releases a bucket once its requests have ended.
type bucketOwner struct {
	v         *vm
	busyUntil map[controlproto.BucketID]zinniatide.Millis // end of the last request
}

// step starts and ends requests, and adds the process to the active senders of
// each bucket in which it has a request in flight.
func (owner *bucketOwner) step(active map[controlproto.BucketID][]string) {
	sim, now := owner.v.sim, owner.v.sim.clock.Now()
	if !owner.v.stopped {
		c := owner.v.subscriber.Configuration()
		for _, zone := range slices.Sorted(maps.Keys(c.Buckets)) {
			for i, b := range c.Buckets[zone] {
				if b.Owner != owner.v.member.VM || b.OwnerProcess != owner.v.member.Process {
					continue
				}
				id := controlproto.BucketID{Zone: zone, Index: i}
				switch {
				case b.NextOwner == "" && owner.v.hasLease():
					// The lease bounds the deadline of a request.
					end := min(now+zinniatide.Millis(sim.random.Int64N(int64(zinniatide.MaxRequestTime))), owner.v.subscriber.LeaseUntil())
					owner.busyUntil[id] = max(owner.busyUntil[id], end)
				case b.NextOwner != "" && owner.busyUntil[id] <= now:
					owner.v.subscriber.ReleaseBucket(zone, i)
				}
			}
		}
	}
	// Requests of a crashed process still occupy slots of backend servers.
	for id, end := range owner.busyUntil {
		if end > now {
			active[id] = append(active[id], fmt.Sprintf("%s/%d", owner.v.member.VM, owner.v.member.Process))
		} else {
			delete(owner.busyUntil, id)
		}
	}
}

// Guards against two VMs that send to the backend servers of one bucket at the
// same time, under restarts, crashes, partitions, elections, lost releases and
// zone tickets.
func TestBucketHasOneSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 3)
		sim.lossRate, sim.duplicateRate, sim.maxDelay = 0.02, 0.1, 40
		owners := map[zinniatide.VMID]*bucketOwner{}
		names := []string{"e1", "e2", "e3", "e4"}
		start := func(i int, process zinniatide.ProcessID) {
			v := sim.startEntryVM(names[i], zinniatide.ZoneID([]string{"a", "b"}[i%2]), process)
			owners[v.member.VM] = &bucketOwner{v: v, busyUntil: map[controlproto.BucketID]zinniatide.Millis{}}
		}
		for i := range names {
			start(i, 1)
		}
		runAndCheck := func(d zinniatide.Millis) {
			for until := sim.clock.Now() + d; sim.clock.Now() < until; {
				sim.run(20)
				active := map[controlproto.BucketID][]string{}
				for _, name := range names {
					owners[zinniatide.VMID(name)].step(active)
				}
				for id, senders := range active {
					if len(senders) > 1 {
						t.Fatalf("at %d ms bucket %v has the senders %v, want at most one", sim.clock.Now(), id, senders)
					}
				}
			}
		}
		runAndCheck(2000)
		ticket := 1
		for range rapid.IntRange(4, 14).Draw(t, "faults") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "vm")
			id := zinniatide.VMID(names[i])
			switch rapid.SampledFrom([]string{"restart", "crash", "isolate", "block replies", "heal", "elect", "zone", "leave"}).Draw(t, "kind") {
			case "restart":
				start(i, sim.vms[id].member.Process+1)
			case "crash":
				sim.vms[id].stopped = true
			case "isolate":
				sim.setIsolated(id, true)
			case "block replies":
				for _, c := range sim.controlVMs {
					sim.blockedLinks[[2]zinniatide.VMID{c.VM, id}] = true
				}
			case "heal":
				clear(sim.blockedLinks)
			case "elect":
				sim.setLeader("")
				runAndCheck(800)
				sim.setLeader(sim.controlVMs[rapid.IntRange(0, 2).Draw(t, "leader")].VM)
			case "zone":
				state := rapid.SampledFrom([]string{"in", "out"}).Draw(t, "state")
				sim.fileTicket(fmt.Sprintf(`{"ticket": %d, "availability-zones": {"a": {"state": %q}}}`, ticket, state))
				ticket++
			case "leave":
				sim.vms[id].subscriber.StartLeave()
			}
			runAndCheck(zinniatide.Millis(rapid.IntRange(100, 6000).Draw(t, "pause")))
		}
		// After all faults have ended, each bucket of a serving zone must get an
		// owner. Otherwise the property would hold trivially without any sender.
		clear(sim.blockedLinks)
		for i := range names {
			start(i, sim.vms[zinniatide.VMID(names[i])].member.Process+1)
		}
		sim.fileTicket(fmt.Sprintf(`{"ticket": %d, "availability-zones": {"a": null}}`, ticket))
		runAndCheck(16_000)
		for zone, table := range sim.leaderController().stateMachine.Configuration().Buckets {
			for i, b := range table {
				if b.Owner == "" || b.NextOwner != "" {
					t.Fatalf("bucket %s/%d is %+v after recovery", zone, i, b)
				}
			}
		}
	})
}

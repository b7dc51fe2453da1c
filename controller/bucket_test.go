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

// worker plays the owner side of one process: it starts work in the buckets
// that it may use, and releases a bucket once its work has ended.
type worker struct {
	v    *vm
	busy map[controlproto.BucketID]zinniatide.Millis // end of the last request
}

// step starts and ends work, and returns whether the process may send or has
// work in flight, by bucket.
func (k *worker) step(active map[controlproto.BucketID][]string) {
	w, now := k.v.w, k.v.w.clock.Now()
	if !k.v.dead {
		c := k.v.subscriber.Configuration()
		for _, zone := range slices.Sorted(maps.Keys(c.Buckets)) {
			for i, b := range c.Buckets[zone] {
				if b.Owner != k.v.member.VM || b.OwnerIncarnation != k.v.member.Incarnation {
					continue
				}
				id := controlproto.BucketID{Zone: zone, Index: i}
				switch {
				case b.Next == "" && k.v.leased():
					// The lease bounds the deadline of a request.
					end := min(now+zinniatide.Millis(w.random.Int64N(int64(zinniatide.MaxRequestTime))), k.v.subscriber.LeaseUntil())
					k.busy[id] = max(k.busy[id], end)
				case b.Next != "" && k.busy[id] <= now:
					k.v.subscriber.ReleaseBucket(zone, i)
				}
			}
		}
	}
	// The work of a crashed process still holds slots of backend servers.
	for id, end := range k.busy {
		if end > now {
			active[id] = append(active[id], fmt.Sprintf("%s/%d", k.v.member.VM, k.v.member.Incarnation))
		} else {
			delete(k.busy, id)
		}
	}
}

// Guards against two VMs that send to the backend servers of one bucket at one
// time, through restarts, crashes, cuts, elections, lost releases and tickets.
func TestBucketHasOneSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.loss, w.duplicate, w.delay = 0.02, 0.1, 40
		workers := map[zinniatide.VMID]*worker{}
		names := []string{"e1", "e2", "e3", "e4"}
		start := func(i int, incarnation zinniatide.Incarnation) {
			v := w.entry(names[i], zinniatide.ZoneID([]string{"a", "b"}[i%2]), incarnation)
			workers[v.member.VM] = &worker{v: v, busy: map[controlproto.BucketID]zinniatide.Millis{}}
		}
		for i := range names {
			start(i, 1)
		}
		pass := func(d zinniatide.Millis) {
			for until := w.clock.Now() + d; w.clock.Now() < until; {
				w.run(20)
				active := map[controlproto.BucketID][]string{}
				for _, name := range names {
					workers[zinniatide.VMID(name)].step(active)
				}
				for id, senders := range active {
					if len(senders) > 1 {
						t.Fatalf("at %d ms bucket %v is used by %v", w.clock.Now(), id, senders)
					}
				}
			}
		}
		pass(2000)
		ticket := 1
		for range rapid.IntRange(4, 14).Draw(t, "disturbances") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "vm")
			id := zinniatide.VMID(names[i])
			switch rapid.SampledFrom([]string{"restart", "crash", "isolate", "deafen", "heal", "elect", "zone", "leave"}).Draw(t, "kind") {
			case "restart":
				start(i, w.vms[id].member.Incarnation+1)
			case "crash":
				w.vms[id].dead = true
			case "isolate":
				w.isolate(id, true)
			case "deafen":
				for _, c := range w.control {
					w.cut[[2]zinniatide.VMID{c.VM, id}] = true
				}
			case "heal":
				clear(w.cut)
			case "elect":
				w.elect("")
				pass(800)
				w.elect(w.control[rapid.IntRange(0, 2).Draw(t, "leader")].VM)
			case "zone":
				state := rapid.SampledFrom([]string{"in", "out"}).Draw(t, "state")
				w.file(fmt.Sprintf(`{"ticket": %d, "availability-zones": {"a": {"state": %q}}}`, ticket, state))
				ticket++
			case "leave":
				w.vms[id].subscriber.Leave()
			}
			pass(zinniatide.Millis(rapid.IntRange(100, 6000).Draw(t, "pause")))
		}
		// After everything is healed each bucket of a serving zone must find an
		// owner, or the property would hold by refusing all work.
		clear(w.cut)
		for i := range names {
			start(i, w.vms[zinniatide.VMID(names[i])].member.Incarnation+1)
		}
		w.file(fmt.Sprintf(`{"ticket": %d, "availability-zones": {"a": null}}`, ticket))
		pass(16_000)
		for zone, table := range w.lead().machine.Configuration().Buckets {
			for i, b := range table {
				if b.Owner == "" || b.Next != "" {
					t.Fatalf("bucket %s/%d is %+v after recovery", zone, i, b)
				}
			}
		}
	})
}

package logkeeper

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against leadership that moves although all control VMs run and are connected,
// because their processes wait for a processor and their disks are slow. Each election
// delays all changes and reads.
func TestNoElectionsOnSlowProcessors(t *testing.T) {
	const changes = 1000
	for seed := range uint64(10) {
		c := newCluster(t, seed+1, 3)
		c.writeRetryDelay, c.electionTimeout, c.maxSyncMs = 200, 400, 250
		for _, n := range c.nodes {
			n.crash()
			n.start()
		}
		c.waitForVoters(c.nodes...)
		for _, n := range c.nodes {
			n.stallRepeatedly()
		}
		before, committed := len(c.leaders), 0
		for i := range changes {
			if l := c.leader(); l != nil {
				c.propose(l, operation{2, uint64(i)}, func(_ any, err error) {
					if err == nil {
						committed++
					}
				})
			}
			c.advance(60)
		}
		if got, want := len(c.leaders)-before, 0; got != want {
			t.Errorf("seed %d: got %d elections during %d changes, want %d", seed, got, changes, want)
		}
		if got, want := committed, changes/2; got < want {
			t.Errorf("seed %d: got %d changes committed, want at least %d of %d", seed, got, want, changes)
		}
	}
}

// stallRepeatedly takes the processor from n for up to 300 ms at a time, for most of
// the time.
func (n *node) stallRepeatedly() {
	n.c.schedule(n.c.random.IntN(150), func() {
		n.stalledUntil = n.c.clock.Now() + zinniatide.Millis(n.c.random.IntN(300))
		n.c.schedule(int(n.stalledUntil-n.c.clock.Now()), n.stallRepeatedly)
	})
}

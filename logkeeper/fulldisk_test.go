package logkeeper

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against control VMs that accept no changes after their disks were full for a
// few seconds each, one after another, while all processes went on. Every change must
// be accepted within the 5 s in which operators expect an acknowledgement.
func TestDisksFullInTurn(t *testing.T) {
	const (
		fullFor        = 4500
		changeInterval = 300
		acceptWithin   = 5000
		turns          = 6
	)
	for seed := range uint64(30) {
		c := newCluster(t, seed+1, 3)
		c.writeRetryDelay, c.electionTimeout = 200, 400
		for _, n := range c.nodes {
			n.crash()
			n.start()
		}
		c.waitForVoters(c.nodes...)
		c.writeMany(0, 20)
		value := uint64(100)
		for turn := range turns {
			n := c.nodes[(turn+int(seed))%3]
			// Some room may be left, so that only the next large write fails.
			n.disk.Capacity = n.disk.Used() + c.random.IntN(2)*c.random.IntN(4000) + 1
			for end := c.clock.Now() + fullFor; c.clock.Now() < end; c.advance(changeInterval) {
				value++
				c.writeWithin(value, acceptWithin)
			}
			n.disk.Capacity = 0
			c.advance(zinniatide.Millis(c.random.IntN(2) * c.random.IntN(1000)))
		}
		for range 5 {
			value++
			c.writeWithin(value, acceptWithin)
		}
		c.waitConverged()
		c.checkValuesApplied(c.acknowledged)
	}
}

// writeWithin is like write for a change that must be committed within limit.
func (c *cluster) writeWithin(value uint64, limit zinniatide.Millis) {
	c.t.Helper()
	startedAt := c.clock.Now()
	c.write(value)
	if got := c.clock.Now() - startedAt; got > limit {
		c.t.Errorf("change %d: accepted after %d ms, want at most %d; %s", value, got, limit, c.describe())
	}
}

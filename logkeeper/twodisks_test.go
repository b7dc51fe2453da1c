package logkeeper

import "testing"

// Guards against five control VMs that stay without a leader after two of them
// came back with empty disks at the same moment as all others restarted.
func TestTwoDisksLostInARestartOfAll(t *testing.T) {
	for seed := range uint64(12) {
		c := newCluster(t, seed+1, 5)
		c.waitVoters(c.nodes...)
		c.write(1)
		for _, n := range c.nodes {
			n.crash()
		}
		for i, n := range c.nodes {
			if i == int(seed)%5 || i == int(seed+2)%5 {
				n.replaceDisk()
			} else {
				n.start()
			}
		}
		c.run(10_000)
		c.waitVoters(c.nodes...)
		c.write(2)
		c.checkEqual()
		c.checkContains(c.acknowledged)
	}
}

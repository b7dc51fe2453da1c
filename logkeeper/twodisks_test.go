package logkeeper

import (
	"testing"

	"zinniatide.example/zinniatide"
)

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

// Guards against a leader that removes a live voter after a restart of all,
// because it still goes by the control VMs that the log was initialised with,
// and counts lost voters as present just after its election: with two of five
// disks lost, what is left is no quorum.
func TestRestartKeepsVotersOfTheWantedSet(t *testing.T) {
	for seed := range uint64(12) {
		c := newClusterOf(t, seed+1, 5, 3)
		var wanted []zinniatide.ControlVM
		for _, n := range c.nodes {
			wanted = append(wanted, zinniatide.ControlVM{VM: n.vm, PeerAddress: "127.0.0.1:1"})
		}
		want := func() {
			for _, n := range c.nodes {
				n.keeper.SetControlVMs(wanted)
			}
		}
		want()
		c.waitVoters(c.nodes...)
		c.write(1)
		for _, n := range c.nodes {
			n.crash()
		}
		for i, n := range c.nodes {
			if i == 1 || i == 2 {
				n.replaceDisk()
			} else {
				n.start()
			}
		}
		c.run(5000) // the state machine gives the wanted set late
		want()
		c.waitVoters(c.nodes...)
		c.write(2)
		c.checkEqual()
		c.checkContains(c.acknowledged)
	}
}

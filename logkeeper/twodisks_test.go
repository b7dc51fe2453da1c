package logkeeper

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against five control VMs that elect no leader after all of them
// restarted at the same time, two of them with empty disks.
func TestTwoDisksLostInFullRestart(t *testing.T) {
	for seed := range uint64(12) {
		c := newCluster(t, seed+1, 5)
		c.waitForVoters(c.nodes...)
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
		c.advance(10_000)
		c.waitForVoters(c.nodes...)
		c.write(2)
		c.waitConverged()
		c.checkValuesApplied(c.acknowledged)
	}
}

// Guards against a leader that removes a live voter after a restart of all VMs.
// The cause was that the leader still used the control VMs given at initialisation
// as the desired set, and counted lost voters as active just after its election.
// With two of five disks lost, the remaining voters were then no quorum.
func TestRestartKeepsDesiredVoters(t *testing.T) {
	for seed := range uint64(12) {
		c := newClusterWithInitial(t, seed+1, 5, 3)
		var desired []zinniatide.ControlVM
		for _, n := range c.nodes {
			desired = append(desired, zinniatide.ControlVM{VM: n.vm, PeerAddress: "127.0.0.1:1"})
		}
		setControlVMs := func() {
			for _, n := range c.nodes {
				n.keeper.SetControlVMs(desired)
			}
		}
		setControlVMs()
		c.waitForVoters(c.nodes...)
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
		c.advance(5000) // the desired set becomes known only after a delay
		setControlVMs()
		c.waitForVoters(c.nodes...)
		c.write(2)
		c.waitConverged()
		c.checkValuesApplied(c.acknowledged)
	}
}

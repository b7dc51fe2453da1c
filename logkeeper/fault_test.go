package logkeeper

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/journal/journaltest"
	"zinniatide.example/zinniatide/replicator"
)

// faults are fault scenarios that three voters must survive without losing a
// committed entry. At the end of each scenario, all VMs are running.
var faults = []struct {
	name string
	run  func(c *cluster)
}{
	{"messages dropped, duplicated and reordered", func(c *cluster) {
		c.dropPercent, c.duplicatePercent, c.maxDelayMs = 20, 20, 120
		c.writeMany(100, 60)
		c.dropPercent, c.duplicatePercent, c.maxDelayMs = 0, 0, 10
	}},
	{"leader cannot send", func(c *cluster) { c.partitionLeader(true, false) }},
	{"leader cannot receive", func(c *cluster) { c.partitionLeader(false, true) }},
	{"leader partitioned", func(c *cluster) { c.partitionLeader(true, true) }},
	{"a random VM crashes during writes", func(c *cluster) {
		for i := range 30 {
			n := c.nodes[c.random.IntN(3)]
			c.advance(zinniatide.Millis(c.random.IntN(300)))
			n.crash()
			c.write(uint64(100 + i))
			n.start()
		}
	}},
	{"all VMs crash during writes", func(c *cluster) {
		for i := range 10 {
			c.propose(c.leader(), operation{2, uint64(i)}, func(any, error) {})
			c.advance(zinniatide.Millis(c.random.IntN(25)))
			for _, n := range c.nodes {
				n.crash()
			}
			for _, n := range c.nodes {
				n.start()
			}
			c.write(uint64(100 + i))
		}
	}},
	{"disk replaced, then a second VM lost", func(c *cluster) {
		c.nodes[2].replaceDisk()
		c.waitForVoters(c.nodes...)
		c.nodes[0].crash()
		c.writeMany(100, 60)
		c.nodes[0].start()
	}},
	{"leader disk replaced, then a second VM lost", func(c *cluster) {
		l := c.leader()
		l.replaceDisk()
		c.waitForVoters(c.nodes...)
		c.nextNode(l).crash()
		c.writeMany(100, 60)
		for _, n := range c.nodes {
			if n.keeper == nil {
				n.start()
			}
		}
	}},
	{"old disk returns after its replacement", func(c *cluster) {
		n := c.nodes[1]
		old := n.disk
		n.replaceDisk()
		c.waitForVoters(c.nodes...)
		c.writeMany(100, 200)
		n.crash()
		n.disk = old
		n.start()
		c.waitForVoters(c.nodes...)
	}},
	{"sync fails on the leader", func(c *cluster) { c.failDisk(c.leader(), func(n *node) { n.disk.FailSyncs = true }) }},
	{"sync fails on a follower", func(c *cluster) {
		c.failDisk(c.nextNode(c.leader()), func(n *node) { n.disk.FailSyncs = true })
	}},
	{"disk full on the leader", func(c *cluster) { c.failDisk(c.leader(), func(n *node) { n.disk.Capacity = 1 }) }},
	{"disk full on a follower", func(c *cluster) {
		c.failDisk(c.nextNode(c.leader()), func(n *node) { n.disk.Capacity = 1 })
	}},
	{"leadership transferred repeatedly", func(c *cluster) {
		for i := range 10 {
			c.leader().keeper.TransferLeadership()
			c.write(uint64(100 + i))
		}
	}},
}

func TestFaultsLoseNoEntries(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(5) {
				c := newCluster(t, seed, 3)
				c.waitForVoters(c.nodes...)
				c.writeMany(0, 20)
				f.run(c)
				clear(c.cutLinks)
				c.write(9999)
				c.waitConverged()
				c.checkValuesApplied(c.acknowledged)
			}
		})
	}
}

func (c *cluster) writeMany(first, n uint64) {
	c.t.Helper()
	for i := range n {
		c.write(first + i)
	}
}

func (c *cluster) nextNode(n *node) *node {
	i := slices.Index(c.nodes, n)
	return c.nodes[(i+1)%len(c.nodes)]
}

// partitionLeader cuts the links on which the leader sends, receives or both for
// more than 20 s. It verifies that the leader stops leading, and that it does not
// depose the new leader when it reconnects.
func (c *cluster) partitionLeader(cutSend, cutReceive bool) {
	c.t.Helper()
	old := c.leader()
	for _, n := range c.nodes {
		c.cutLinks[[2]zinniatide.VMID{old.vm, n.vm}] = cutSend
		c.cutLinks[[2]zinniatide.VMID{n.vm, old.vm}] = cutReceive
	}
	c.propose(old, operation{2, 77}, func(_ any, err error) {
		if err == nil {
			c.t.Error("a leader without a quorum committed an entry")
		}
	})
	c.advance(700)
	if old.keeper.Status().Leading {
		c.t.Error("a leader without contact for an election timeout still reports that it leads")
	}
	c.writeMany(200, 80)
	c.advance(20_000)
	l := c.leader()
	if l == nil {
		c.t.Fatal("no leader:", c.describe())
	}
	term := l.keeper.Status().Term
	clear(c.cutLinks)
	c.advance(3000)
	if got := l.keeper.Status(); !got.Leading || got.Term != term {
		c.t.Errorf("after the partitioned VM reconnected, leading = %v in term %d, want true in term %d", got.Leading, got.Term, term)
	}
}

// failDisk makes a VM's disk fail, verifies that the VM stops and that the other
// VMs continue, and restarts it with a repaired disk.
func (c *cluster) failDisk(n *node, fault func(*node)) {
	c.t.Helper()
	fault(n)
	for c.t.Context().Err() == nil && n.keeper.failure == nil {
		if l := c.leader(); l != nil {
			c.propose(l, operation{2, 5}, func(any, error) {})
		}
		c.advance(20)
	}
	if s := n.keeper.Status(); s.Failed == "" || s.Leading {
		c.t.Errorf("status after a failed write = %+v, want Failed set and not Leading", s)
	}
	n.keeper.Propose(nil, func(_ any, err error) {
		if err == nil || !strings.Contains(err.Error(), "stopped") {
			c.t.Errorf("error of a proposal to a stopped VM = %v, want one that contains \"stopped\"", err)
		}
	})
	c.writeMany(300, 60)
	n.crash()
	n.disk.FailSyncs, n.disk.Capacity = false, 0
	n.start()
}

// Guards against a VM with an empty data folder that votes under its previous
// identity: entries that the previous identity acknowledged may be stored on only
// one other VM and would be lost.
func TestReplacedDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.waitForVoters(c.nodes...)
	c.nodes[1].crash()
	c.write(1) // on c1 and c3 only
	c.nodes[0].crash()
	c.nodes[1].start()
	c.nodes[2].replaceDisk()
	c.advance(30_000)
	if l := c.leader(); l != nil {
		t.Fatalf("%s leads with a replaced disk in its quorum", l.vm)
	}
	c.nodes[0].start()
	c.waitForVoters(c.nodes...)
	c.waitConverged()
	c.checkValuesApplied(c.acknowledged)
}

// Verifies that the leader changes the voters to the desired set one at a time,
// and transfers leadership before its own removal.
func TestVotersFollowDesiredControlVMs(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.waitForVoters(c.nodes...)
	l := c.leader()
	var desired []zinniatide.ControlVM
	var remaining []*node
	for _, n := range c.nodes {
		if n != l && len(remaining) < 3 {
			remaining = append(remaining, n)
			desired = append(desired, zinniatide.ControlVM{VM: n.vm, PeerAddress: "127.0.0.1:1"})
		}
	}
	for _, n := range c.nodes {
		n.keeper.SetControlVMs(desired)
	}
	c.waitForVoters(remaining...)
	for _, n := range c.nodes {
		if !slices.Contains(remaining, n) {
			n.crash()
		}
	}
	c.writeMany(0, 60)
	c.waitConverged()
	c.checkValuesApplied(c.acknowledged)
}

// Verifies that a VM with an empty disk catches up by a snapshot of several
// chunks, over a network that loses some of them.
func TestLargeSnapshotInChunks(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.waitForVoters(c.nodes...)
	c.leader().stateMachine.snapshotPadding = 900_000
	c.writeMany(0, 120)
	c.dropPercent = 20
	n := c.nextNode(c.leader())
	n.replaceDisk()
	c.waitForVoters(c.nodes...)
	c.waitConverged()
	if n.stateMachine.restoredBytes < 900_000 {
		t.Errorf("restored a snapshot of %d bytes, want more than 900,000", n.stateMachine.restoredBytes)
	}
}

// Guards against mixing two logs when Init was run on two VMs by mistake: a third
// VM may join only one of them.
func TestTwoLogsAreNotMixed(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, seed, 3)
		c.nodes[1].crash()
		c.nodes[1].disk = journaltest.NewFaultyFileSystem()
		vms := []zinniatide.ControlVM{{VM: "c1", PeerAddress: "x"}, {VM: "c2", PeerAddress: "x"}, {VM: "c3", PeerAddress: "x"}}
		if err := Init(c.nodes[1].disk, "data", "c2", vms); err != nil {
			t.Fatal(err)
		}
		c.nodes[1].start()
		ids := map[string]int{}
		c.advance(4000)
		for _, n := range c.nodes {
			ids[n.keeper.replicator.LogID()]++
			for _, v := range n.keeper.Status().Voters {
				if other := c.node(v.VM); other.keeper.replicator.LogID() != n.keeper.replicator.LogID() {
					t.Errorf("seed %d: %s counts %s of another log as a voter", seed, n.vm, v.VM)
				}
			}
		}
		if len(ids) != 2 {
			t.Errorf("seed %d: VMs by log ID = %v, want two logs", seed, ids)
		}
	}
}

// Guards against a leader that serves reads under an expired lease after its
// process was paused: the first thing it runs may be a read instead of a tick.
func TestPausedLeaderLosesLease(t *testing.T) {
	c := newCluster(t, 6, 3)
	c.waitForVoters(c.nodes...)
	l := c.leader()
	c.clock.Advance(replicator.DefaultElectionTimeout)
	if l.keeper.Status().Leading {
		t.Error("a leader still reports that it leads after a pause of an election timeout")
	}
	l.keeper.Barrier(func(err error) {
		if err == nil {
			t.Error("a barrier succeeded after a pause of an election timeout")
		}
	})
}

// Verifies that proposals arriving while the disk is busy share a sync.
func TestProposalsShareSyncs(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.waitForVoters(c.nodes...)
	l := c.leader()
	before, committed := l.disk.Syncs, 0
	for i := range uint64(40) {
		c.propose(l, operation{1, i}, func(_ any, err error) {
			if err == nil {
				committed++
			}
		})
	}
	c.advance(500)
	if got := l.disk.Syncs - before; committed != 40 || got > 4 {
		t.Errorf("%d of 40 proposals committed with %d syncs, want 40 with at most 4", committed, got)
	}
}

// Verifies that a follower's refusal of a proposal names the leader, so that the
// caller can forward the proposal.
func TestFollowerRefusalNamesLeader(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.waitForVoters(c.nodes...)
	c.advance(500)
	l := c.leader()
	c.propose(c.nextNode(l), operation{1, 1}, func(_ any, err error) {
		var refusal *zinniatide.Refusal
		if !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeNoQuorum || refusal.Outcome != zinniatide.OutcomeNotRun ||
			!strings.Contains(refusal.Message, string(l.vm)) {
			t.Errorf("refusal = %v, want no-quorum that names %s", err, l.vm)
		}
	})
}

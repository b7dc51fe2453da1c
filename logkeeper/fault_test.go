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

// faults are situations that three voters must survive without losing a
// committed entry. Each ends with every VM running and in agreement.
var faults = []struct {
	name string
	run  func(c *cluster)
}{
	{"messages dropped, duplicated and reordered", func(c *cluster) {
		c.dropPercent, c.duplicatePercent, c.maxDelay = 20, 20, 120
		c.writeMany(100, 60)
		c.dropPercent, c.duplicatePercent, c.maxDelay = 0, 0, 10
	}},
	{"leader cannot send", func(c *cluster) { c.cutLeader(true, false) }},
	{"leader cannot receive", func(c *cluster) { c.cutLeader(false, true) }},
	{"leader cut off", func(c *cluster) { c.cutLeader(true, true) }},
	{"each VM crashes in turn while it writes", func(c *cluster) {
		for i := range 30 {
			n := c.nodes[c.random.IntN(3)]
			c.run(zinniatide.Millis(c.random.IntN(300)))
			n.crash()
			c.write(uint64(100 + i))
			n.start()
		}
	}},
	{"all VMs crash while they write", func(c *cluster) {
		for i := range 10 {
			c.propose(c.leader(), operation{2, uint64(i)}, func(any, error) {})
			c.run(zinniatide.Millis(c.random.IntN(25)))
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
		c.waitVoters(c.nodes...)
		c.nodes[0].crash()
		c.writeMany(100, 60)
		c.nodes[0].start()
	}},
	{"disk of the leader replaced, then a second VM lost", func(c *cluster) {
		l := c.leader()
		l.replaceDisk()
		c.waitVoters(c.nodes...)
		c.other(l).crash()
		c.writeMany(100, 60)
		for _, n := range c.nodes {
			if n.keeper == nil {
				n.start()
			}
		}
	}},
	{"old disk comes back after its replacement", func(c *cluster) {
		n := c.nodes[1]
		old := n.disk
		n.replaceDisk()
		c.waitVoters(c.nodes...)
		c.writeMany(100, 200)
		n.crash()
		n.disk = old
		n.start()
		c.waitVoters(c.nodes...)
	}},
	{"sync fails on the leader", func(c *cluster) { c.breakDisk(c.leader(), func(n *node) { n.disk.FailSyncs = true }) }},
	{"sync fails on a follower", func(c *cluster) {
		c.breakDisk(c.other(c.leader()), func(n *node) { n.disk.FailSyncs = true })
	}},
	{"disk full on the leader", func(c *cluster) { c.breakDisk(c.leader(), func(n *node) { n.disk.Capacity = 1 }) }},
	{"disk full on a follower", func(c *cluster) {
		c.breakDisk(c.other(c.leader()), func(n *node) { n.disk.Capacity = 1 })
	}},
	{"leadership handed over again and again", func(c *cluster) {
		for i := range 10 {
			c.leader().keeper.TransferLeadership()
			c.write(uint64(100 + i))
		}
	}},
}

func TestFaultsLoseNothing(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(5) {
				c := newCluster(t, seed, 3)
				c.waitVoters(c.nodes...)
				c.writeMany(0, 20)
				f.run(c)
				clear(c.cut)
				c.write(9999)
				c.checkEqual()
				c.checkContains(c.acknowledged)
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

func (c *cluster) other(n *node) *node {
	i := slices.Index(c.nodes, n)
	return c.nodes[(i+1)%len(c.nodes)]
}

// cutLeader cuts the leader's links in one or both directions for long, and
// requires that it stops leading and that its return deposes nobody.
func (c *cluster) cutLeader(send, receive bool) {
	c.t.Helper()
	old := c.leader()
	for _, n := range c.nodes {
		c.cut[[2]zinniatide.VMID{old.vm, n.vm}] = send
		c.cut[[2]zinniatide.VMID{n.vm, old.vm}] = receive
	}
	c.propose(old, operation{2, 77}, func(_ any, err error) {
		if err == nil {
			c.t.Error("a leader without a quorum committed")
		}
	})
	c.run(700)
	if old.keeper.Status().Leading {
		c.t.Error("a leader that heard nobody for an election timeout still says that it leads")
	}
	c.writeMany(200, 80)
	c.run(20_000)
	l := c.leader()
	if l == nil {
		c.t.Fatal("no leader:", c.describe())
	}
	term := l.keeper.Status().Term
	clear(c.cut)
	c.run(3000)
	if got := l.keeper.Status(); !got.Leading || got.Term != term {
		c.t.Errorf("after the cut-off VM returned, leading = %v in term %d, want term %d", got.Leading, got.Term, term)
	}
}

// breakDisk makes a VM's disk fail, requires that the VM stops and the others
// go on, and restarts it on the repaired disk.
func (c *cluster) breakDisk(n *node, fault func(*node)) {
	c.t.Helper()
	fault(n)
	for c.t.Context().Err() == nil && n.keeper.failure == nil {
		if l := c.leader(); l != nil {
			c.propose(l, operation{2, 5}, func(any, error) {})
		}
		c.run(20)
	}
	if s := n.keeper.Status(); s.Failed == "" || s.Leading {
		c.t.Errorf("after a failed write the status is %+v", s)
	}
	n.keeper.Propose(nil, func(_ any, err error) {
		if err == nil || !strings.Contains(err.Error(), "stopped") {
			c.t.Errorf("proposal to a stopped VM: %v", err)
		}
	})
	c.writeMany(300, 60)
	n.crash()
	n.disk.FailSyncs, n.disk.Capacity = false, 0
	n.start()
}

// A VM with an empty folder must not stand in for its old identity: the
// entries that the old one acknowledged may be on one other VM only.
func TestReplacedDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.waitVoters(c.nodes...)
	c.nodes[1].crash()
	c.write(1) // on c1 and c3 only
	c.nodes[0].crash()
	c.nodes[1].start()
	c.nodes[2].replaceDisk()
	c.run(30_000)
	if l := c.leader(); l != nil {
		t.Fatalf("%s leads with an empty disk in its quorum", l.vm)
	}
	c.nodes[0].start()
	c.waitVoters(c.nodes...)
	c.checkEqual()
	c.checkContains(c.acknowledged)
}

// The leader follows the wanted set one voter at a time, and hands over
// before its own removal.
func TestControlVMsFollowTheWantedSet(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.waitVoters(c.nodes...)
	l := c.leader()
	var wanted []zinniatide.ControlVM
	var rest []*node
	for _, n := range c.nodes {
		if n != l && len(rest) < 3 {
			rest = append(rest, n)
			wanted = append(wanted, zinniatide.ControlVM{VM: n.vm, PeerAddress: "127.0.0.1:1"})
		}
	}
	for _, n := range c.nodes {
		n.keeper.SetControlVMs(wanted)
	}
	c.waitVoters(rest...)
	for _, n := range c.nodes {
		if !slices.Contains(rest, n) {
			n.crash()
		}
	}
	c.writeMany(0, 60)
	c.checkEqual()
	c.checkContains(c.acknowledged)
}

// An empty VM far behind must get a snapshot of several chunks, over a
// network that loses some of them.
func TestLargeSnapshotInChunks(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.waitVoters(c.nodes...)
	c.leader().machine.padding = 900_000
	c.writeMany(0, 120)
	c.dropPercent = 20
	n := c.other(c.leader())
	n.replaceDisk()
	c.waitVoters(c.nodes...)
	c.checkEqual()
	if n.machine.restored < 900_000 {
		t.Errorf("restored a snapshot of %d bytes, want more than 900,000", n.machine.restored)
	}
}

// A log initialised on two VMs by mistake must not be mixed: a third VM may
// serve only one of them.
func TestTwoLogsAreNotMixed(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, seed, 3)
		c.nodes[1].crash()
		c.nodes[1].disk = journaltest.NewDisk()
		vms := []zinniatide.ControlVM{{VM: "c1", PeerAddress: "x"}, {VM: "c2", PeerAddress: "x"}, {VM: "c3", PeerAddress: "x"}}
		if err := Init(c.nodes[1].disk, "data", "c2", vms); err != nil {
			t.Fatal(err)
		}
		c.nodes[1].start()
		ids := map[string]int{}
		c.run(4000)
		for _, n := range c.nodes {
			ids[n.keeper.machine.LogID()]++
			for _, v := range n.keeper.Status().Voters {
				if other := c.node(v.VM); other.keeper.machine.LogID() != n.keeper.machine.LogID() {
					t.Errorf("seed %d: %s counts %s of another log as a voter", seed, n.vm, v.VM)
				}
			}
		}
		if len(ids) != 2 {
			t.Errorf("seed %d: logs %v, want two", seed, ids)
		}
	}
}

// A leader that was paused must not answer from a lease that ended meanwhile:
// the first thing it runs may be a read, not a tick.
func TestPausedLeaderDoesNotLead(t *testing.T) {
	c := newCluster(t, 6, 3)
	c.waitVoters(c.nodes...)
	l := c.leader()
	c.clock.Advance(replicator.DefaultElectionTimeout)
	if l.keeper.Status().Leading {
		t.Error("a leader says that it leads after a pause of an election timeout")
	}
	l.keeper.Barrier(func(err error) {
		if err == nil {
			t.Error("a barrier passed after a pause of an election timeout")
		}
	})
}

// One sync must cover the proposals that arrive while the disk is busy.
func TestProposalsShareSyncs(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.waitVoters(c.nodes...)
	l := c.leader()
	before, committed := l.disk.Syncs, 0
	for i := range uint64(40) {
		c.propose(l, operation{1, i}, func(_ any, err error) {
			if err == nil {
				committed++
			}
		})
	}
	c.run(500)
	if got := l.disk.Syncs - before; committed != 40 || got > 4 {
		t.Errorf("%d of 40 proposals committed with %d syncs, want 40 with at most 4", committed, got)
	}
}

// A refused proposal names the leader, so that the caller can forward it.
func TestFollowerNamesTheLeader(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.waitVoters(c.nodes...)
	c.run(500)
	l := c.leader()
	c.propose(c.other(l), operation{1, 1}, func(_ any, err error) {
		var refusal *zinniatide.Refusal
		if !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeNoQuorum || refusal.Outcome != zinniatide.OutcomeNotRun ||
			!strings.Contains(refusal.Message, string(l.vm)) {
			t.Errorf("refusal = %v, want no-quorum that names %s", err, l.vm)
		}
	})
}

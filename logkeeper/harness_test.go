package logkeeper

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal/journaltest"
	"zinniatide.example/zinniatide/replicator"
)

// cluster runs several Keepers on a single goroutine, with a manual clock,
// in-memory disks and a network that loses, delays, duplicates and reorders
// messages.
type cluster struct {
	t             *testing.T
	random        *rand.Rand
	clock         *clock.Clock
	nodes         []*node
	events        map[zinniatide.Millis][]func() // by due time
	cutLinks      map[[2]zinniatide.VMID]bool    // from, to
	snapshotEvery uint64                         // entries between snapshots
	// writeRetryDelay and electionTimeout are those of Config.
	writeRetryDelay, electionTimeout zinniatide.Millis

	dropPercent, duplicatePercent int
	maxDelayMs                    int // maximum delay of a message
	maxSyncMs                     int // maximum duration of a write

	applied      map[uint64]string           // entry data applied at each index, on any VM
	leaders      map[logTerm]zinniatide.VMID // leader of each term of each log
	acknowledged []uint64                    // values passed to cluster.write, which waits until they are committed
}

type logTerm struct {
	log  string
	term uint64
}

// registerMachine is a state machine with a few registers. It records all applied
// operations, so that the tests detect lost and repeated ones.
type registerMachine struct {
	node    *node
	Values  map[uint8]uint64
	Applied []string

	snapshotPadding int // bytes added to each snapshot
	restoredBytes   int // size of the last restored snapshot
}

type operation struct {
	Key   uint8  `cbor:"1,keyasint"`
	Value uint64 `cbor:"2,keyasint"`
}

func (r *registerMachine) Apply(index uint64, data []byte) any {
	r.Applied = append(r.Applied, fmt.Sprintf("%d:%x", index, data))
	r.node.c.checkApplied(r.node, index, string(data))
	var op operation
	if err := cbor.Unmarshal(data, &op); err != nil {
		r.node.c.t.Fatalf("entry %d: %v", index, err)
	}
	old := r.Values[op.Key]
	r.Values[op.Key] = op.Value
	return old
}

func (r *registerMachine) Snapshot() ([]byte, error) {
	return cbor.Marshal([]any{r.Values, r.Applied, make([]byte, r.snapshotPadding)})
}

func (r *registerMachine) Restore(data []byte) error {
	var parts []cbor.RawMessage
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return err
	}
	r.Values, r.Applied, r.restoredBytes = nil, nil, len(data)
	if err := cbor.Unmarshal(parts[0], &r.Values); err != nil {
		return err
	}
	return cbor.Unmarshal(parts[1], &r.Applied)
}

func newCluster(t *testing.T, seed uint64, vms int) *cluster {
	return newClusterWithInitial(t, seed, vms, vms)
}

// newClusterWithInitial starts a cluster of vms VMs, of which only the first
// controlVMCount are control VMs of the initialised log.
func newClusterWithInitial(t *testing.T, seed uint64, vms, controlVMCount int) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), clock: clock.NewManual(1000, 1_700_000_000_000),
		cutLinks: map[[2]zinniatide.VMID]bool{}, events: map[zinniatide.Millis][]func(){}, snapshotEvery: 50, maxDelayMs: 10, maxSyncMs: 8,
		applied: map[uint64]string{}, leaders: map[logTerm]zinniatide.VMID{},
	}
	var controlVMs []zinniatide.ControlVM
	for i := range vms {
		vm := zinniatide.VMID(fmt.Sprintf("c%d", i+1))
		controlVMs = append(controlVMs, zinniatide.ControlVM{VM: vm, PeerAddress: "127.0.0.1:1"})
		c.nodes = append(c.nodes, &node{c: c, vm: vm, disk: journaltest.NewFaultyFileSystem()})
	}
	if err := Init(c.nodes[0].disk, "data", c.nodes[0].vm, controlVMs[:controlVMCount]); err != nil {
		t.Fatal(err)
	}
	for _, n := range c.nodes {
		n.start()
	}
	return c
}

func (c *cluster) node(vm zinniatide.VMID) *node {
	for _, n := range c.nodes {
		if n.vm == vm {
			return n
		}
	}
	c.t.Fatalf("no VM %s", vm)
	return nil
}

// advance advances the clock by d and runs the events that become due.
func (c *cluster) advance(d zinniatide.Millis) {
	for end := c.clock.Now() + d; c.clock.Now() < end; c.clock.Advance(1) {
		now := c.clock.Now()
		for len(c.events[now]) > 0 {
			due := c.events[now]
			i, last := c.random.IntN(len(due)), len(due)-1
			f := due[i]
			due[i] = due[last]
			c.events[now] = due[:last]
			f()
		}
		delete(c.events, now)
	}
}

// schedule runs f after delay milliseconds. Events that are due at the same time
// run in random order.
func (c *cluster) schedule(delay int, f func()) {
	at := c.clock.Now() + zinniatide.Millis(delay)
	c.events[at] = append(c.events[at], f)
}

// waitUntil advances the clock until cond holds. The test fails after limit.
func (c *cluster) waitUntil(what string, limit zinniatide.Millis, cond func() bool) {
	c.t.Helper()
	for end := c.clock.Now() + limit; !cond(); c.advance(5) {
		if c.clock.Now() >= end {
			c.t.Fatalf("timed out after %d ms waiting for: %s; %s", limit, what, c.describe())
		}
	}
}

func (c *cluster) describe() string {
	s := ""
	for _, n := range c.nodes {
		if n.keeper == nil {
			s += fmt.Sprintf("[%s down] ", n.vm)
		} else {
			st := n.keeper.Status()
			s += fmt.Sprintf("[%s %+v role %d] ", n.vm, st, n.keeper.replicator.Status(c.clock.Now()).Role)
		}
	}
	return s
}

func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.keeper != nil && n.keeper.Status().Leading {
			return n
		}
	}
	return nil
}

// waitForVoters waits for a leader whose committed membership consists of exactly
// the current identities of the given nodes.
func (c *cluster) waitForVoters(nodes ...*node) {
	c.t.Helper()
	c.waitUntil("the expected voters", 20_000, func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		s := l.keeper.Status()
		if len(s.Voters) != len(nodes) || s.Commit != s.Applied {
			return false
		}
		for _, n := range nodes {
			if n.keeper == nil || !slices.Contains(s.Voters, n.keeper.Identity()) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) propose(n *node, op operation, done func(any, error)) {
	data, err := cbor.Marshal(op)
	if err != nil {
		c.t.Fatal(err)
	}
	n.keeper.Propose(data, done)
	n.processPosted()
}

// clusterWriteKey is the register that cluster.write uses. Recorded histories use
// other registers, because a value that is missing from the history would make
// it invalid.
const clusterWriteKey = 9

// write proposes the value until a leader has committed it.
func (c *cluster) write(value uint64) {
	c.t.Helper()
	finished := false
	c.acknowledged = append(c.acknowledged, value)
	c.waitUntil(fmt.Sprintf("commit of value %d", value), 20_000, func() bool {
		if l := c.leader(); l != nil && !finished {
			replied := false
			c.propose(l, operation{clusterWriteKey, value}, func(_ any, err error) { replied, finished = true, err == nil })
			c.waitUntil("reply", 20_000, func() bool { return replied || l.keeper == nil })
		}
		return finished
	})
}

// checkApplied verifies that all VMs apply the same entry at an index.
func (c *cluster) checkApplied(n *node, index uint64, data string) {
	if old, ok := c.applied[index]; ok && old != data {
		c.t.Fatalf("%s applied %x at index %d, where %x was applied before", n.vm, data, index, old)
	}
	c.applied[index] = data
}

// checkLeaders verifies that each term of a log has at most one leader.
func (c *cluster) checkLeaders() {
	for _, n := range c.nodes {
		if n.keeper == nil || n.keeper.failure != nil {
			continue
		}
		s := n.keeper.replicator.Status(c.clock.Now())
		if s.Role != replicator.Leader {
			continue
		}
		key := logTerm{n.keeper.replicator.LogID(), s.Term}
		if other, ok := c.leaders[key]; ok && other != n.vm {
			c.t.Fatalf("term %d has two leaders: %s and %s", s.Term, other, n.vm)
		}
		c.leaders[key] = n.vm
	}
}

// waitConverged waits until all running nodes have applied the same operations.
func (c *cluster) waitConverged() {
	c.t.Helper()
	c.waitUntil("all running VMs to apply the same operations", 20_000, func() bool {
		l := c.leader()
		for _, n := range c.nodes {
			if l == nil || (n.keeper != nil && n.keeper.failure == nil && !slices.Equal(n.stateMachine.Applied, l.stateMachine.Applied)) {
				return false
			}
		}
		return true
	})
}

// checkValuesApplied verifies that every given value was applied on every running
// VM.
func (c *cluster) checkValuesApplied(values []uint64) {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.keeper == nil {
			continue
		}
		have := map[uint64]bool{}
		for _, line := range n.stateMachine.Applied {
			var op operation
			_, text, _ := strings.Cut(line, ":")
			data, err := hex.DecodeString(text)
			if err == nil {
				err = cbor.Unmarshal(data, &op)
			}
			if err != nil {
				c.t.Fatal(err)
			}
			have[op.Value] = true
		}
		for _, v := range values {
			if !have[v] {
				c.t.Fatalf("%s lost the acknowledged value %d", n.vm, v)
			}
		}
	}
}

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

// cluster runs keepers on one goroutine, with a manual clock, disks in memory
// and a network that loses, delays, duplicates and reorders messages.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	clock  *clock.Clock
	nodes  []*node
	events map[zinniatide.Millis][]func() // by time
	cut    map[[2]zinniatide.VMID]bool    // from, to
	every  uint64                         // entries between snapshots

	dropPercent, duplicatePercent int
	maxDelay                      int // of a message, in ms
	maxSync                       int // of a write, in ms

	applied      map[uint64]string           // what was applied at each index, anywhere
	leaders      map[logTerm]zinniatide.VMID // of each term of each log
	acknowledged []uint64                    // values whose write was acknowledged
}

type logTerm struct {
	log  string
	term uint64
}

// register is a state machine of a few registers. It keeps all operations, so
// that a lost or repeated one shows.
type register struct {
	node    *node
	Values  map[uint8]uint64
	Applied []string

	padding  int // bytes added to snapshots
	restored int // size of the last snapshot restored
}

type operation struct {
	Key   uint8  `cbor:"1,keyasint"`
	Value uint64 `cbor:"2,keyasint"`
}

func (r *register) Apply(index uint64, data []byte) any {
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

func (r *register) Snapshot() ([]byte, error) {
	return cbor.Marshal([]any{r.Values, r.Applied, make([]byte, r.padding)})
}

func (r *register) Restore(data []byte) error {
	var parts []cbor.RawMessage
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return err
	}
	r.Values, r.Applied, r.restored = nil, nil, len(data)
	if err := cbor.Unmarshal(parts[0], &r.Values); err != nil {
		return err
	}
	return cbor.Unmarshal(parts[1], &r.Applied)
}

func newCluster(t *testing.T, seed uint64, vms int) *cluster { return newClusterOf(t, seed, vms, vms) }

// newClusterOf initialises the log with the first VMs only.
func newClusterOf(t *testing.T, seed uint64, vms, initial int) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), clock: clock.NewManual(1000, 1_700_000_000_000),
		cut: map[[2]zinniatide.VMID]bool{}, events: map[zinniatide.Millis][]func(){}, every: 50, maxDelay: 10, maxSync: 8,
		applied: map[uint64]string{}, leaders: map[logTerm]zinniatide.VMID{},
	}
	var wanted []zinniatide.ControlVM
	for i := range vms {
		vm := zinniatide.VMID(fmt.Sprintf("c%d", i+1))
		wanted = append(wanted, zinniatide.ControlVM{VM: vm, PeerAddress: "127.0.0.1:1"})
		c.nodes = append(c.nodes, &node{c: c, vm: vm, disk: journaltest.NewDisk()})
	}
	if err := Init(c.nodes[0].disk, "data", c.nodes[0].vm, wanted[:initial]); err != nil {
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

// run passes d of time, event by event.
func (c *cluster) run(d zinniatide.Millis) {
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

// at runs f after delay, in random order among the events of that time.
func (c *cluster) at(delay int, f func()) {
	at := c.clock.Now() + zinniatide.Millis(delay)
	c.events[at] = append(c.events[at], f)
}

// until runs until cond holds, or fails after limit.
func (c *cluster) until(what string, limit zinniatide.Millis, cond func() bool) {
	c.t.Helper()
	for end := c.clock.Now() + limit; !cond(); c.run(5) {
		if c.clock.Now() >= end {
			c.t.Fatalf("after %d ms not: %s; %s", limit, what, c.describe())
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
			s += fmt.Sprintf("[%s %+v role %d] ", n.vm, st, n.keeper.machine.Status(c.clock.Now()).Role)
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

// waitVoters waits for a leader whose committed voters are the current
// identities of exactly these nodes.
func (c *cluster) waitVoters(nodes ...*node) {
	c.t.Helper()
	c.until("voters match", 20_000, func() bool {
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
	n.settle()
}

// ownKey is the register of write. Recorded histories use others: a value that
// is not in the history would make it illegal.
const ownKey = 9

// write proposes until a leader has committed the value.
func (c *cluster) write(value uint64) {
	c.t.Helper()
	finished := false
	c.acknowledged = append(c.acknowledged, value)
	c.until(fmt.Sprintf("value %d committed", value), 20_000, func() bool {
		if l := c.leader(); l != nil && !finished {
			replied := false
			c.propose(l, operation{ownKey, value}, func(_ any, err error) { replied, finished = true, err == nil })
			c.until("reply", 20_000, func() bool { return replied || l.keeper == nil })
		}
		return finished
	})
}

// checkApplied guards the central property: an index holds one entry for ever.
func (c *cluster) checkApplied(n *node, index uint64, data string) {
	if old, ok := c.applied[index]; ok && old != data {
		c.t.Fatalf("%s applied %x at %d, where %x was applied before", n.vm, data, index, old)
	}
	c.applied[index] = data
}

func (c *cluster) checkLeaders() {
	for _, n := range c.nodes {
		if n.keeper == nil || n.keeper.failure != nil {
			continue
		}
		s := n.keeper.machine.Status(c.clock.Now())
		if s.Role != replicator.Leader {
			continue
		}
		key := logTerm{n.keeper.machine.LogID(), s.Term}
		if other, ok := c.leaders[key]; ok && other != n.vm {
			c.t.Fatalf("term %d has the leaders %s and %s", s.Term, other, n.vm)
		}
		c.leaders[key] = n.vm
	}
}

// checkEqual waits until all running nodes have applied the same operations.
func (c *cluster) checkEqual() {
	c.t.Helper()
	c.until("all have applied the same", 20_000, func() bool {
		l := c.leader()
		for _, n := range c.nodes {
			if l == nil || (n.keeper != nil && n.keeper.failure == nil && !slices.Equal(n.machine.Applied, l.machine.Applied)) {
				return false
			}
		}
		return true
	})
}

// checkContains requires that every acknowledged value was applied on every
// running VM.
func (c *cluster) checkContains(values []uint64) {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.keeper == nil {
			continue
		}
		have := map[uint64]bool{}
		for _, line := range n.machine.Applied {
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

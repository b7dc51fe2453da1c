package logkeeper

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"zinniatide.example/zinniatide"
)

// input of one client operation on a register.
type input struct {
	key   uint8
	read  bool
	value uint64
}

// output is the former value. It is unknown when the reply was lost.
type output struct {
	value   uint64
	unknown bool
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[uint8][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		i, o, old := in.(input), out.(output), state.(uint64)
		if i.read {
			return o.value == old, old
		}
		return o.unknown || o.value == old, i.value
	},
}

// clients issue one operation at a time each and record the history.
type clients struct {
	c        *cluster
	busy     []bool
	history  []porcupine.Operation
	next     uint64 // value of the next write; values are unique
	sequence int64  // orders calls and returns that fall into one millisecond
	acked    []uint64
	counts   [3]int // writes, barrier reads and lease reads that succeeded
}

func (cs *clients) stamp() int64 {
	cs.sequence++
	return cs.sequence
}

// issue starts an operation of client i on a random VM.
func (cs *clients) issue(i int) {
	n := cs.c.nodes[cs.c.random.IntN(len(cs.c.nodes))]
	if l := cs.c.leader(); l != nil && cs.c.random.IntN(3) > 0 {
		n = l
	}
	if cs.busy[i] || n.keeper == nil {
		return
	}
	op := porcupine.Operation{ClientId: i, Call: cs.stamp(), Return: math.MaxInt64}
	key := uint8(cs.c.random.IntN(2))
	switch kind := cs.c.random.IntN(4); kind {
	case 0, 1:
		cs.write(i, n, op, key)
	case 2:
		cs.busy[i] = true
		finished := false
		n.keeper.Barrier(func(err error) {
			finished, cs.busy[i] = true, false
			if err == nil {
				cs.record(op, input{key: key, read: true}, output{value: n.machine.Values[key]}, 1)
			}
		})
		n.settle()
		cs.giveUp(n, &finished, func() { cs.busy[i] = false })
	case 3:
		if n.keeper.Status().Leading {
			cs.record(op, input{key: key, read: true}, output{value: n.machine.Values[key]}, 2)
		}
	}
}

func (cs *clients) record(op porcupine.Operation, in input, out output, kind int) {
	op.Input, op.Output, op.Return = in, out, cs.stamp()
	cs.history = append(cs.history, op)
	cs.counts[kind]++
}

func (cs *clients) write(i int, n *node, op porcupine.Operation, key uint8) {
	cs.next++
	in := input{key: key, value: cs.next}
	cs.busy[i] = true
	finished := false
	lost := func() {
		finished, cs.busy[i] = true, false
		op.Input, op.Output = in, output{unknown: true}
		cs.history = append(cs.history, op)
	}
	cs.c.propose(n, operation{key, in.value}, func(result any, err error) {
		var refusal *zinniatide.Refusal
		refused := errors.As(err, &refusal)
		switch {
		case finished:
			cs.c.t.Error("a proposal was answered twice")
		case err == nil:
			finished, cs.busy[i] = true, false
			cs.acked = append(cs.acked, in.value)
			cs.record(op, in, output{value: result.(uint64)}, 0)
		case refused && refusal.Outcome == zinniatide.OutcomeNotRun:
			// The value must never appear; a read of it fails the model.
			finished, cs.busy[i] = true, false
		default:
			lost()
		}
	})
	cs.giveUp(n, &finished, lost)
}

// giveUp ends an operation whose VM crashed before it was finished.
func (cs *clients) giveUp(n *node, finished *bool, f func()) {
	life := n.life
	var check func()
	check = func() {
		switch {
		case *finished:
		case n.life != life:
			f()
		default:
			cs.c.at(100, check)
		}
	}
	check()
}

// disturb makes one random fault, or repairs one.
func (c *cluster) disturb() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(9) {
	case 0:
		n.crash()
	case 1, 2:
		if n.keeper == nil {
			n.start()
		}
	case 3:
		c.cut[[2]zinniatide.VMID{n.vm, c.other(n).vm}] = true
	case 4:
		for _, o := range c.nodes {
			c.cut[[2]zinniatide.VMID{n.vm, o.vm}] = true
			c.cut[[2]zinniatide.VMID{o.vm, n.vm}] = true
		}
	case 5, 6:
		clear(c.cut)
	case 7:
		if l := c.leader(); l != nil {
			l.keeper.TransferLeadership()
		}
	case 8:
		// Losing a disk is survivable only while no other is missing.
		if c.allVotersUp() {
			n.replaceDisk()
		}
	}
}

// allVotersUp reports whether every VM runs, is reachable, and is a voter
// under its present identity by the committed membership, and nothing else is.
func (c *cluster) allVotersUp() bool {
	l := c.leader()
	if l == nil || len(c.cut) > 0 {
		return false
	}
	s := l.keeper.Status()
	for _, n := range c.nodes {
		if n.keeper == nil || n.keeper.Status().Commit != s.Commit || !slices.Contains(s.Voters, n.keeper.Identity()) {
			return false
		}
	}
	return len(s.Voters) == len(c.nodes) && s.Commit == s.Applied
}

// Guards linearizability of writes, barrier reads and reads under the
// leader's lease, and that nothing acknowledged is lost, under random crashes,
// cuts, transfers and replaced disks.
func TestHistoriesAreLinearizable(t *testing.T) {
	var counts [3]int
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		c := newCluster(t, 1000+seed, 3+2*int(seed%2))
		c.waitVoters(c.nodes...)
		c.dropPercent, c.duplicatePercent, c.maxDelay, c.maxSync = 3, 3, 30, 30
		cs := &clients{c: c, busy: make([]bool, 4)}
		for range 600 {
			for i := range cs.busy {
				cs.issue(i)
			}
			if c.random.IntN(20) == 0 {
				c.disturb()
			}
			c.run(zinniatide.Millis(5 + c.random.IntN(60)))
		}
		c.repair()
		c.write(math.MaxUint32)
		c.checkEqual()
		c.run(2000)
		if slices.Contains(cs.busy, true) {
			t.Errorf("seed %d: an operation was never answered", seed)
		}
		c.checkContains(append(cs.acked, c.acknowledged...))
		if result := porcupine.CheckOperationsTimeout(registerModel, cs.history, 20*time.Second); result != porcupine.Ok {
			t.Fatalf("seed %d: history of %d operations: %s", seed, len(cs.history), result)
		}
		for i, n := range cs.counts {
			counts[i] += n
		}
	}
	t.Logf("%d writes, %d barrier reads, %d lease reads succeeded", counts[0], counts[1], counts[2])
	for _, n := range counts {
		if n < int(seeds)*20 {
			t.Errorf("successful operations by kind = %v, too few to mean anything", counts)
		}
	}
}

func (c *cluster) repair() {
	clear(c.cut)
	c.dropPercent, c.duplicatePercent, c.maxDelay, c.maxSync = 0, 0, 10, 8
	for _, n := range c.nodes {
		if n.keeper == nil {
			n.start()
		}
	}
	c.waitVoters(c.nodes...)
}

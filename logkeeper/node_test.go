package logkeeper

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/journal/journaltest"
)

type node struct {
	c       *cluster
	vm      zinniatide.VMID
	disk    *journaltest.Disk
	keeper  *Keeper // nil while down
	machine *register
	handler zinniatide.LinkHandler
	life    int // counts starts; events of former lives are void
	open    *write
}

func (n *node) start() {
	n.c.t.Helper()
	if err := n.tryStart(); err != nil {
		n.c.t.Fatalf("start %s: %v", n.vm, err)
	}
}

func (n *node) tryStart() error {
	n.life++
	n.machine = &register{node: n, Values: map[uint8]uint64{}}
	var peers []zinniatide.VMID
	for _, o := range n.c.nodes {
		peers = append(peers, o.vm)
	}
	k, err := New(Config{
		VM: n.vm, Folder: "data", Files: n.disk, ControlVMs: peers, Linker: n, Clock: n.c.clock, Machine: n.machine,
		Rand: rand.New(rand.NewPCG(n.c.random.Uint64(), 2)), SnapshotEvery: n.c.every,
	})
	if err != nil {
		return err
	}
	k.disk = func(w write) {
		n.open = &w
		n.after(n.c.random.IntN(n.c.maxSync+1), func() {
			n.open = nil
			k.finishWrite(w, k.perform(w))
		})
	}
	n.keeper = k
	n.after(n.c.random.IntN(20), n.tick)
	return nil
}

func (n *node) tick() {
	n.keeper.tick()
	n.after(int(zinniatide.TickInterval), n.tick)
}

// after runs f on n's control thread unless n was stopped in the meantime.
func (n *node) after(delay int, f func()) {
	life := n.life
	n.c.at(delay, func() {
		if n.life == life && n.keeper != nil {
			f()
			n.settle()
		}
	})
}

func (n *node) settle() {
	n.keeper.drain()
	n.keeper.pump()
	n.keeper.drain()
	n.keeper.pump()
	n.c.checkLeaders()
}

// crash stops n. Half of the time a write under way has reached the file but
// was not synced, or was synced but not yet reported.
func (n *node) crash() {
	if n.keeper == nil {
		return
	}
	if n.open != nil {
		switch n.c.random.IntN(3) {
		case 0:
			n.disk.FailSyncs = true
			_ = n.keeper.perform(*n.open)
			n.disk.FailSyncs = false
		case 1:
			_ = n.keeper.perform(*n.open)
		}
	}
	n.keeper, n.open = nil, nil
	n.life++
	n.disk.Crash(n.c.random)
}

// replaceDisk stops n and gives it an empty data folder.
func (n *node) replaceDisk() {
	n.crash()
	n.disk = journaltest.NewDisk()
	n.start()
}

// Linker of a node.

func (n *node) Handle(_ zinniatide.MessageKind, h zinniatide.LinkHandler) { n.handler = h }
func (n *node) SetPeers(map[zinniatide.VMID]string)                       {}
func (n *node) Connected(zinniatide.VMID) bool                            { return true }

func (n *node) Call(zinniatide.VMID, zinniatide.MessageKind, any, zinniatide.Millis, func([]byte, error)) {
	n.c.t.Fatal("the log sends one-way messages only")
}

func (n *node) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	if kind != zinniatide.KindReplicate {
		n.c.t.Fatalf("message of kind %d", kind)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		n.c.t.Fatal(err)
	}
	copies := 1
	if n.c.random.IntN(100) < n.c.duplicatePercent {
		copies = 2
	}
	for range copies {
		if n.c.cut[[2]zinniatide.VMID{n.vm, peer}] || n.c.random.IntN(100) < n.c.dropPercent {
			continue
		}
		to := n.c.node(peer)
		n.c.at(n.c.random.IntN(n.c.maxDelay+1), func() {
			if to.keeper != nil {
				to.handler(n.vm, data, nil)
				to.settle()
			}
		})
	}
	return nil
}

package logkeeper

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/journal/journaltest"
)

// node is one VM of a cluster. It implements zinniatide.Linker for its Keeper.
type node struct {
	c            *cluster
	vm           zinniatide.VMID
	disk         *journaltest.FaultyFileSystem
	keeper       *Keeper // nil while down
	stateMachine *registerMachine
	handler      zinniatide.LinkHandler
	generation   int    // changes at each start and crash; events of earlier generations are ignored
	openWrite    *write // write in progress
	// stalledUntil is when the process gets processor time again. What is due before
	// runs then, in random order.
	stalledUntil zinniatide.Millis
}

func (n *node) start() {
	n.c.t.Helper()
	if err := n.tryStart(); err != nil {
		n.c.t.Fatalf("start %s: %v", n.vm, err)
	}
}

func (n *node) tryStart() error {
	n.generation++
	n.stateMachine = &registerMachine{node: n, Values: map[uint8]uint64{}}
	var peers []zinniatide.VMID
	for _, o := range n.c.nodes {
		peers = append(peers, o.vm)
	}
	k, err := New(Config{
		VM: n.vm, Folder: "data", FileSystem: n.disk, ControlVMs: peers, Linker: n, Clock: n.c.clock, StateMachine: n.stateMachine,
		Rand: rand.New(rand.NewPCG(n.c.random.Uint64(), 2)), SnapshotEvery: n.c.snapshotEvery,
		WriteRetryDelay: n.c.writeRetryDelay, ElectionTimeout: n.c.electionTimeout, HeartbeatInterval: n.c.electionTimeout / 4,
	})
	if err != nil {
		return err
	}
	k.submitWrite = func(w write) {
		n.openWrite = &w
		n.after(n.c.random.IntN(n.c.maxSyncMs+1), func() {
			n.openWrite = nil
			k.finishWrite(w, k.writeJournal(w))
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

// after runs f after delay milliseconds, as on n's control goroutine, unless n
// was stopped in the meantime.
func (n *node) after(delay int, f func()) {
	generation := n.generation
	n.c.schedule(delay, func() {
		n.whenRunning(func() {
			if n.generation == generation && n.keeper != nil {
				f()
				n.processPosted()
			}
		})
	})
}

// whenRunning runs f now, or at the end of the stall of n.
func (n *node) whenRunning(f func()) {
	if left := n.stalledUntil - n.c.clock.Now(); left > 0 {
		n.c.schedule(int(left), func() { n.whenRunning(f) })
		return
	}
	f()
}

func (n *node) processPosted() {
	n.keeper.runPosted()
	n.keeper.processOutputs()
	n.keeper.runPosted()
	n.keeper.processOutputs()
	n.c.checkLeaders()
}

// crash stops n. A write in progress has, at random, reached the file without
// being synced, been synced without being reported, or not reached the file.
func (n *node) crash() {
	if n.keeper == nil {
		return
	}
	if n.openWrite != nil {
		switch n.c.random.IntN(3) {
		case 0:
			n.disk.FailSyncs = true
			_ = n.keeper.writeJournal(*n.openWrite)
			n.disk.FailSyncs = false
		case 1:
			_ = n.keeper.writeJournal(*n.openWrite)
		}
	}
	n.keeper, n.openWrite = nil, nil
	n.generation++
	n.disk.Crash(n.c.random)
}

// replaceDisk stops n and gives it an empty data folder.
func (n *node) replaceDisk() {
	n.crash()
	n.disk = journaltest.NewFaultyFileSystem()
	n.start()
}

func (n *node) Handle(_ zinniatide.MessageKind, h zinniatide.LinkHandler) { n.handler = h }
func (n *node) SetPeers(map[zinniatide.VMID]zinniatide.Peer)              {}
func (n *node) Connected(zinniatide.VMID) bool                            { return true }

func (n *node) Call(zinniatide.VMID, zinniatide.MessageKind, any, zinniatide.Millis, func([]byte, error)) {
	n.c.t.Fatal("unexpected Call: the log sends only one-way messages")
}

func (n *node) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	if kind != zinniatide.KindReplicate {
		n.c.t.Fatalf("unexpected message of kind %d", kind)
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
		if n.c.cutLinks[[2]zinniatide.VMID{n.vm, peer}] || n.c.random.IntN(100) < n.c.dropPercent {
			continue
		}
		to := n.c.node(peer)
		n.c.schedule(n.c.random.IntN(n.c.maxDelayMs+1), func() {
			to.whenRunning(func() {
				if to.keeper != nil {
					to.handler(n.vm, data, nil)
					to.processPosted()
				}
			})
		})
	}
	return nil
}

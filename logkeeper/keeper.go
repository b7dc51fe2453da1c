// Package logkeeper implements zinniatide.ReplicatedLog. It binds the step
// machine of package replicator to the disk, the links and the clock.
package logkeeper

import (
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/replicator"
)

// DefaultSnapshotEvery is the number of entries between two snapshots.
const DefaultSnapshotEvery = 1000

// Config are the dependencies and settings of a Keeper.
type Config struct {
	VM     zinniatide.VMID
	Folder string
	// Files defaults to the operating system's files.
	Files journal.FileSystem
	// ControlVMs are the control VMs known from the settings. A VM that knows
	// no leader announces itself to them. The caller gives their addresses to
	// the Linker.
	ControlVMs []zinniatide.VMID
	Linker     zinniatide.Linker
	Clock      zinniatide.Clock
	Machine    zinniatide.StateMachine
	Rand       *mathrand.Rand
	// SnapshotEvery defaults to DefaultSnapshotEvery.
	SnapshotEvery uint64
	// DiskRetry is the pause before a failed write is tried again, as a whole
	// new file. With 0 a failed write stops the log until restart.
	DiskRetry zinniatide.Millis
	// ElectionTimeout and HeartbeatInterval default to those of the replicator.
	ElectionTimeout, HeartbeatInterval zinniatide.Millis
	Registerer                         prometheus.Registerer
}

// Keeper runs the replicated log of one control VM.
type Keeper struct {
	cfg     Config
	journal *journal.Journal
	disk    diskWriter
	metrics *metrics

	mu     sync.Mutex
	queue  []func()
	closed bool
	wake   chan struct{}
	stop   chan struct{}
	done   sync.WaitGroup

	// All fields below belong to the control thread.
	machine     *replicator.Replicator
	self        zinniatide.Voter
	applied     uint64
	appliedTerm uint64
	snapshotAt  uint64
	leading     bool
	failure     error
	proposals   map[uint64]proposal
	barriers    map[uint64]func(error)
	waiting     []waitingRead
	pending     write // gathered while the disk is busy
	writing     bool
	writeStart  zinniatide.Millis
	retryAt     zinniatide.Millis // of a failed write, 0 when none failed
	synced      uint64
	held        []replicator.Message
	onTick      []func(zinniatide.Millis)
	onLeading   []func(bool)
	foreign     map[zinniatide.VMID]bool // peers whose foreign log was reported
}

type proposal struct {
	term uint64
	done func(any, error)
}

// waitingRead is a confirmed barrier that waits for the state machine.
type waitingRead struct {
	index uint64
	done  func(error)
}

// Init writes the first record of a new log: vm is the sole voter, and
// controlVMs are the VMs that the leader adds as they appear. It refuses a
// folder that holds anything.
func Init(files journal.FileSystem, folder string, vm zinniatide.VMID, controlVMs []zinniatide.ControlVM) error {
	seen := map[zinniatide.VMID]bool{}
	for _, c := range controlVMs {
		if c.VM == "" || len(c.VM) > zinniatide.MaxIDLength || c.PeerAddress == "" {
			return fmt.Errorf("control VM %q at %q: id and peer address are required", c.VM, c.PeerAddress)
		}
		if seen[c.VM] {
			return fmt.Errorf("control VM %s is listed twice", c.VM)
		}
		seen[c.VM] = true
	}
	if !seen[vm] {
		return fmt.Errorf("VM %q is not among the control VMs", vm)
	}
	disk := newDiskID()
	first := replicator.Entry{Index: 1, Term: 1, Kind: replicator.EntryMembership, Membership: &replicator.Membership{
		Voters: []zinniatide.Voter{{VM: vm, Disk: disk}}, ControlVMs: controlVMs, LogID: rand.Text(),
	}}
	state := replicator.State{HardState: replicator.HardState{Term: 1}, Entries: []replicator.Entry{first}}
	return journal.Create(files, folder, vm, disk, state)
}

func newDiskID() zinniatide.DiskID { return zinniatide.DiskID(rand.Text()) }

// New opens the data folder, restores the state machine from its snapshot and
// registers the handler of log messages. An empty folder becomes a learner's.
func New(cfg Config) (*Keeper, error) {
	if cfg.VM == "" || len(cfg.VM) > zinniatide.MaxIDLength {
		return nil, fmt.Errorf("bad VM id %q", cfg.VM)
	}
	if cfg.Files == nil {
		cfg.Files = journal.Disk{}
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	j, c, err := journal.Open(cfg.Files, cfg.Folder, cfg.VM, newDiskID())
	if err != nil {
		return nil, err
	}
	k := &Keeper{
		cfg: cfg, journal: j, metrics: newMetrics(cfg.Registerer),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
		self:      zinniatide.Voter{VM: cfg.VM, Disk: c.Disk},
		proposals: map[uint64]proposal{}, barriers: map[uint64]func(error){}, foreign: map[zinniatide.VMID]bool{},
	}
	if err := k.restore(c); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	klog.InfoS("data folder opened", "vm", cfg.VM, "step", "open journal", "disk", c.Disk,
		"entries", len(c.State.Entries), "snapshot", k.snapshotAt, "truncated-bytes", c.Truncated)
	cfg.Linker.Handle(zinniatide.KindReplicate, k.receive)
	return k, nil
}

func (k *Keeper) restore(c journal.Contents) error {
	if s := c.State.Snapshot; s != nil {
		if err := k.cfg.Machine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore snapshot at entry %d: %w", s.Index, err)
		}
		k.applied, k.appliedTerm, k.snapshotAt = s.Index, s.Term, s.Index
	}
	var err error
	k.machine, err = replicator.New(replicator.Config{
		Self: k.self, State: c.State, Peers: k.cfg.ControlVMs, Now: k.cfg.Clock.Now(), Rand: k.cfg.Rand,
		ElectionTimeout: k.cfg.ElectionTimeout, HeartbeatInterval: k.cfg.HeartbeatInterval,
	})
	return err
}

// Start starts the control thread and the disk thread.
func (k *Keeper) Start() {
	writes := make(chan write, 1)
	k.disk = func(w write) { writes <- w }
	k.done.Add(2)
	go func() {
		defer k.done.Done()
		k.runDisk(writes)
	}()
	go func() {
		defer k.done.Done()
		defer close(writes)
		k.run()
	}()
}

// Close stops both threads and releases the data folder. Open proposals and
// barriers fail.
func (k *Keeper) Close() error {
	k.mu.Lock()
	closed := k.closed
	k.closed = true
	k.mu.Unlock()
	if closed {
		return nil
	}
	close(k.stop)
	k.done.Wait()
	return k.journal.Close()
}

// Post implements zinniatide.ReplicatedLog. Functions posted after Close are
// dropped.
func (k *Keeper) Post(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return
	}
	k.queue = append(k.queue, f)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run() {
	ticker := time.NewTicker(zinniatide.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-k.stop:
			k.abandon(errors.New("this VM is stopping"))
			return
		case <-k.wake:
		case <-ticker.C:
			k.tick()
		}
		k.drain()
		k.pump()
	}
}

// drain runs what was posted.
func (k *Keeper) drain() {
	k.mu.Lock()
	queue := k.queue
	k.queue = nil
	k.mu.Unlock()
	for _, f := range queue {
		f()
	}
}

func (k *Keeper) tick() {
	now := k.cfg.Clock.Now()
	if k.failure == nil {
		k.machine.Tick(now)
		k.tickDisk(now)
	}
	for _, f := range k.onTick {
		f(now)
	}
}

// receive handles a message on the link's thread.
func (k *Keeper) receive(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var m replicator.Message
	if err := encoder.Unmarshal(body, &m); err != nil {
		klog.ErrorS(err, "log message dropped", "vm", k.cfg.VM, "step", "decode log message", "peer", from)
		return
	}
	if m.From.VM != from {
		klog.ErrorS(nil, "log message dropped: it names another sender", "vm", k.cfg.VM, "step", "receive log message",
			"peer", from, "named", m.From.VM)
		return
	}
	k.Post(func() {
		if k.failure == nil {
			k.reportForeign(m)
			k.machine.Receive(k.cfg.Clock.Now(), m)
		}
	})
}

// reportForeign logs the first message of each peer that belongs to another
// log, as after two runs of Init. The step machine drops them all.
func (k *Keeper) reportForeign(m replicator.Message) {
	own := k.machine.LogID()
	if own == "" || m.LogID == "" || m.LogID == own || k.foreign[m.From.VM] {
		return
	}
	k.foreign[m.From.VM] = true
	klog.ErrorS(nil, "messages of another replicated log are dropped; the log was initialised more than once",
		"vm", k.cfg.VM, "step", "receive log message", "peer", m.From.VM, "log", own, "other-log", m.LogID)
}

// SetControlVMs implements zinniatide.ReplicatedLog.
func (k *Keeper) SetControlVMs(vms []zinniatide.ControlVM) {
	ids := make([]zinniatide.VMID, len(vms))
	for i := range vms {
		ids[i] = vms[i].VM
	}
	k.machine.SetControlVMs(ids)
}

// SetContacts gives the VMs to which this VM announces itself while it knows no
// leader. It is called on the control thread.
func (k *Keeper) SetContacts(vms []zinniatide.VMID) { k.machine.SetContacts(vms) }

// ControlVMs returns the control VMs that the log was initialised with. It is
// called on the control thread, and is empty on a VM that has not yet
// received the first entry.
func (k *Keeper) ControlVMs() []zinniatide.ControlVM {
	return slices.Clone(k.machine.Membership().ControlVMs)
}

// Identity returns this VM's identity in the log.
func (k *Keeper) Identity() zinniatide.Voter { return k.self }

// OnTick implements zinniatide.ReplicatedLog.
func (k *Keeper) OnTick(f func(now zinniatide.Millis)) { k.onTick = append(k.onTick, f) }

// OnLeadership implements zinniatide.ReplicatedLog.
func (k *Keeper) OnLeadership(f func(leading bool)) { k.onLeading = append(k.onLeading, f) }

// Package logkeeper implements zinniatide.ReplicatedLog. It connects the
// consensus core of package replicator to the disk, the links between VMs and
// the clock.
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

// Limits of the log in bytes, so that its memory and its file follow the size of
// the state instead of the number of changes.
const (
	// minSnapshotBytes and snapshotSizeFactor times the size of the last snapshot
	// are the size of the entries after which a snapshot is taken; the larger value
	// applies.
	minSnapshotBytes   = 4 << 20
	snapshotSizeFactor = 4
	// keptLogBytes limits the entries kept before a snapshot.
	keptLogBytes = 2 << 20
)

// Config contains the dependencies and settings of a Keeper.
type Config struct {
	VM     zinniatide.VMID
	Folder string
	// FileSystem defaults to the operating system's file system.
	FileSystem journal.FileSystem
	// ControlVMs are the control VMs known from the settings. This VM announces
	// itself to them while it is looking for a leader. The caller must register
	// their addresses with the Linker.
	ControlVMs   []zinniatide.VMID
	Linker       zinniatide.Linker
	Clock        zinniatide.Clock
	StateMachine zinniatide.StateMachine
	Rand         *mathrand.Rand
	// SnapshotEvery defaults to DefaultSnapshotEvery.
	SnapshotEvery uint64
	// WriteRetryDelay is the delay before a failed write is retried by writing the
	// complete state to a new file. If it is 0, a failed write stops the log
	// until the process is restarted.
	WriteRetryDelay zinniatide.Millis
	// ElectionTimeout and HeartbeatInterval default to those of the replicator.
	ElectionTimeout, HeartbeatInterval zinniatide.Millis
	Registerer                         prometheus.Registerer
}

// Keeper runs the replicated log of one control VM.
type Keeper struct {
	cfg     Config
	journal *journal.Journal
	metrics *metrics
	// submitWrite passes a write to the disk goroutine, which posts a call to
	// finishWrite when the write ends. Tests replace it.
	submitWrite func(write)

	mu         sync.Mutex
	posted     []func()
	closed     bool
	wake       chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup

	// The fields below are only accessed on the control goroutine, which executes
	// run.
	replicator          *replicator.Replicator
	lastTick            zinniatide.Millis // 0 before the first tick
	self                zinniatide.Voter
	appliedIndex        uint64
	appliedTerm         uint64
	snapshotIndex       uint64
	snapshotBytes       int // size of the last snapshot
	bytesSinceSnapshot  int // size of the entries applied since the last snapshot
	leading             bool
	failure             error
	proposals           map[uint64]proposal
	barriers            map[uint64]func(error)
	pendingReads        []pendingRead
	nextWrite           write // changes not yet submitted to the disk goroutine
	writing             bool
	writeStartedAt      zinniatide.Millis
	retryAt             zinniatide.Millis // when to retry a failed write; 0 if none failed
	syncedSequence      uint64
	unsentMessages      []replicator.Message // messages that wait for a write to become durable
	onTick              []func(zinniatide.Millis)
	onLeadership        []func(bool)
	reportedForeignLogs map[zinniatide.VMID]bool // peers already reported as belonging to another log
}

type proposal struct {
	term uint64
	done func(any, error)
}

// pendingRead is a confirmed barrier that waits until the state machine has
// applied the entry at index.
type pendingRead struct {
	index uint64
	done  func(error)
}

// Init initialises a new log in an empty data folder. The VM vm is the only
// voter; the leader adds the other controlVMs as voters when they announce
// themselves. Init returns an error if the folder is not empty.
func Init(files journal.FileSystem, folder string, vm zinniatide.VMID, controlVMs []zinniatide.ControlVM) error {
	seen := map[zinniatide.VMID]bool{}
	for _, c := range controlVMs {
		if c.VM == "" || len(c.VM) > zinniatide.MaxIDLength || c.PeerAddress == "" {
			return fmt.Errorf("control VM %q at %q: ID and peer address are required", c.VM, c.PeerAddress)
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
	state := replicator.PersistentState{HardState: replicator.HardState{Term: 1}, Entries: []replicator.Entry{first}}
	return journal.Create(files, folder, vm, disk, state)
}

func newDiskID() zinniatide.DiskID { return zinniatide.DiskID(rand.Text()) }

// New opens the data folder, restores the state machine from its snapshot and
// registers the handler for replication messages. With an empty folder, this VM
// starts as a learner.
func New(cfg Config) (*Keeper, error) {
	if cfg.VM == "" || len(cfg.VM) > zinniatide.MaxIDLength {
		return nil, fmt.Errorf("invalid VM ID %q", cfg.VM)
	}
	if cfg.FileSystem == nil {
		cfg.FileSystem = journal.OSFileSystem{}
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	j, c, err := journal.Open(cfg.FileSystem, cfg.Folder, cfg.VM, newDiskID())
	if err != nil {
		return nil, err
	}
	k := &Keeper{
		cfg: cfg, journal: j, metrics: newMetrics(cfg.Registerer),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
		self:      zinniatide.Voter{VM: cfg.VM, Disk: c.DiskID},
		proposals: map[uint64]proposal{}, barriers: map[uint64]func(error){}, reportedForeignLogs: map[zinniatide.VMID]bool{},
	}
	if err := k.restore(c); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	klog.InfoS("data folder opened", "vm", cfg.VM, "step", "open journal", "disk", c.DiskID,
		"entries", len(c.State.Entries), "snapshot", k.snapshotIndex, "truncated-bytes", c.TruncatedBytes)
	cfg.Linker.Handle(zinniatide.KindReplicate, k.receive)
	return k, nil
}

func (k *Keeper) restore(c journal.RecoveredState) error {
	if s := c.State.Snapshot; s != nil {
		if err := k.cfg.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore snapshot at entry %d: %w", s.Index, err)
		}
		k.appliedIndex, k.appliedTerm, k.snapshotIndex, k.snapshotBytes = s.Index, s.Term, s.Index, len(s.Data)
	}
	var err error
	k.replicator, err = replicator.New(replicator.Config{
		Self: k.self, State: c.State, Contacts: k.cfg.ControlVMs, Now: k.cfg.Clock.Now(), Rand: k.cfg.Rand,
		ElectionTimeout: k.cfg.ElectionTimeout, HeartbeatInterval: k.cfg.HeartbeatInterval,
	})
	return err
}

// Start starts the control goroutine, which executes run, and the disk goroutine,
// which executes runWrites.
func (k *Keeper) Start() {
	writes := make(chan write, 1)
	k.submitWrite = func(w write) { writes <- w }
	k.goroutines.Add(2)
	go func() {
		defer k.goroutines.Done()
		k.runWrites(writes)
	}()
	go func() {
		defer k.goroutines.Done()
		defer close(writes)
		k.run()
	}()
}

// Close stops both goroutines and closes the data folder. Open proposals and
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
	k.goroutines.Wait()
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
	k.posted = append(k.posted, f)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run() {
	ticker := time.NewTicker(zinniatide.TickInterval.Duration())
	defer ticker.Stop()
	for {
		due := false
		select {
		case <-k.stop:
			k.failOpenRequests(errors.New("this VM is stopping"))
			return
		case <-k.wake:
		case <-ticker.C:
			due = true
		}
		startedAt := time.Now()
		// Messages first: after a pause, a tick would take the leader for silent although
		// its messages wait here.
		k.runPosted()
		if due {
			k.tick()
		}
		k.processOutputs()
		k.metrics.turnSeconds.Observe(time.Since(startedAt).Seconds())
	}
}

// runPosted runs the functions queued by Post.
func (k *Keeper) runPosted() {
	k.mu.Lock()
	posted := k.posted
	k.posted = nil
	k.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

func (k *Keeper) tick() {
	now := k.cfg.Clock.Now()
	if k.failure == nil {
		k.detectPause(now)
		k.replicator.Tick(now)
		k.checkDisk(now)
	}
	for _, f := range k.onTick {
		f(now)
	}
}

// maxTickGap is the longest time between two ticks in which this VM counts as running.
const maxTickGap = 3 * zinniatide.TickInterval

// detectPause tells the replicator if this process was suspended or got no processor
// time. A write that was in progress may have ended meanwhile.
func (k *Keeper) detectPause(now zinniatide.Millis) {
	pause := now - k.lastTick
	if k.lastTick > 0 && pause > maxTickGap {
		klog.InfoS("control goroutine was late", "vm", k.cfg.VM, "step", "tick", "pause-ms", pause, "writing", k.writing)
		k.metrics.pauses.Inc()
		k.replicator.Resume(now, pause)
		k.writeStartedAt += pause
	}
	k.lastTick = now
}

// receive handles a replication message. It runs on the link's event loop.
func (k *Keeper) receive(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var m replicator.Message
	if err := encoder.Unmarshal(body, &m); err != nil {
		klog.ErrorS(err, "replication message dropped: it cannot be decoded", "vm", k.cfg.VM, "step", "decode log message", "peer", from)
		return
	}
	if m.From.VM != from {
		klog.ErrorS(nil, "replication message dropped: its sender is not the connected peer", "vm", k.cfg.VM, "step", "receive log message",
			"peer", from, "named", m.From.VM)
		return
	}
	k.Post(func() {
		if k.failure == nil {
			k.reportForeignLog(m)
			k.replicator.Receive(k.cfg.Clock.Now(), m)
		}
	})
}

// reportForeignLog logs the first message from each peer that belongs to another
// log, for example because Init was run on two VMs. The replicator drops all
// such messages.
func (k *Keeper) reportForeignLog(m replicator.Message) {
	own := k.replicator.LogID()
	if own == "" || m.LogID == "" || m.LogID == own || k.reportedForeignLogs[m.From.VM] {
		return
	}
	k.reportedForeignLogs[m.From.VM] = true
	klog.ErrorS(nil, "dropping messages of another replicated log; the log was initialised more than once",
		"vm", k.cfg.VM, "step", "receive log message", "peer", m.From.VM, "log", own, "other-log", m.LogID)
}

// SetControlVMs implements zinniatide.ReplicatedLog.
func (k *Keeper) SetControlVMs(vms []zinniatide.ControlVM) {
	ids := make([]zinniatide.VMID, len(vms))
	for i := range vms {
		ids[i] = vms[i].VM
	}
	k.replicator.SetControlVMs(ids)
}

// SetContacts sets the VMs to which this VM announces itself while it is looking
// for a leader. It must be called on the control goroutine.
func (k *Keeper) SetContacts(vms []zinniatide.VMID) { k.replicator.SetContacts(vms) }

// ControlVMs returns the control VMs that the log was initialised with. The
// result is empty on a VM that has not received the first entry yet. It must be
// called on the control goroutine.
func (k *Keeper) ControlVMs() []zinniatide.ControlVM {
	return slices.Clone(k.replicator.Membership().ControlVMs)
}

// Identity returns this VM's identity in the log.
func (k *Keeper) Identity() zinniatide.Voter { return k.self }

// OnTick implements zinniatide.ReplicatedLog.
func (k *Keeper) OnTick(f func(now zinniatide.Millis)) { k.onTick = append(k.onTick, f) }

// OnLeadership implements zinniatide.ReplicatedLog.
func (k *Keeper) OnLeadership(f func(leading bool)) { k.onLeadership = append(k.onLeadership, f) }

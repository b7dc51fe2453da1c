package logkeeper

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/replicator"
)

// write is one job of the disk thread. It covers all records up to sequence.
type write struct {
	sequence uint64
	hard     *replicator.HardState
	entries  []replicator.Entry
	rewrite  *replicator.State // replaces everything; nil to append
	wanted   bool              // a rewrite is due
	recover  bool              // the write before failed
}

// diskWriter starts a write. Its end is posted to the control thread as a
// call of finishWrite.
type diskWriter func(write)

func (k *Keeper) runDisk(writes <-chan write) {
	for w := range writes {
		start := time.Now()
		err := k.perform(w)
		k.metrics.syncSeconds.Observe(time.Since(start).Seconds())
		k.Post(func() { k.finishWrite(w, err) })
	}
}

// perform runs a write to its end, including the sync.
func (k *Keeper) perform(w write) error {
	if w.recover && w.rewrite != nil {
		return k.journal.Recover(*w.rewrite)
	}
	if w.rewrite != nil {
		return k.journal.Rewrite(*w.rewrite)
	}
	return k.journal.Append(w.hard, w.entries)
}

func (k *Keeper) finishWrite(w write, err error) {
	k.writing = false
	if err != nil && k.cfg.DiskRetry > 0 {
		k.retryWrite(w, err)
		return
	}
	if err != nil {
		k.fail(fmt.Errorf("the data folder failed: %w", err))
		return
	}
	if k.failure != nil {
		return
	}
	if w.recover {
		klog.InfoS("data folder takes writes again", "vm", k.cfg.VM, "step", "write journal", "sequence", w.sequence)
	}
	k.synced = w.sequence
	k.metrics.syncedEntries.Add(float64(len(w.entries)))
	k.machine.Synced(w.sequence)
}

// pump carries out what the step machine wants until it wants nothing more.
func (k *Keeper) pump() {
	for k.failure == nil {
		o, more := k.machine.Output()
		if !more {
			break
		}
		k.gather(o)
		k.apply(o)
		for _, read := range o.Reads {
			k.finishBarrier(read)
		}
		if err := k.machine.Failure(); err != nil {
			k.fail(err)
		}
	}
	if k.failure == nil {
		k.takeSnapshot()
		k.startWrite()
		k.release()
		k.dropLostProposals()
	}
	k.noticeLeadership()
}

func (k *Keeper) gather(o replicator.Output) {
	if o.Sequence != 0 {
		k.pending.sequence = o.Sequence
		if o.HardState != nil {
			k.pending.hard = o.HardState
		}
		k.pending.entries = append(k.pending.entries, o.Entries...)
		k.pending.wanted = k.pending.wanted || o.Rewrite
	}
	k.held = append(k.held, o.Messages...)
}

// startWrite hands everything gathered to the disk as one write, unless one
// is under way.
func (k *Keeper) startWrite() {
	now := k.cfg.Clock.Now()
	if k.writing || k.pending.sequence == 0 || now < k.retryAt {
		return
	}
	k.retryAt = 0
	k.writeStart = now
	w := k.pending
	k.pending = write{}
	if w.wanted {
		state := k.machine.State()
		w.rewrite = &state
	}
	k.writing = true
	k.disk(w)
}

// release sends the messages whose writes are durable, in order per kind of
// dependency. A message that was not sent is repeated by the step machine.
func (k *Keeper) release() {
	k.held = slices.DeleteFunc(k.held, func(m replicator.Message) bool {
		if m.After > k.synced {
			return false
		}
		_ = k.cfg.Linker.Send(m.To.VM, zinniatide.KindReplicate, m)
		return true
	})
}

func (k *Keeper) apply(o replicator.Output) {
	if s := o.Restore; s != nil {
		if err := k.cfg.Machine.Restore(s.Data); err != nil {
			k.fail(fmt.Errorf("restore snapshot at entry %d: %w", s.Index, err))
			return
		}
		k.applied, k.appliedTerm, k.snapshotAt = s.Index, s.Term, s.Index
	}
	for i := range o.Committed {
		e := &o.Committed[i]
		var result any
		if e.Kind == replicator.EntryCommand {
			result = k.cfg.Machine.Apply(e.Index, e.Data)
		} else if e.Membership != nil {
			klog.InfoS("voters changed", "vm", k.cfg.VM, "step", "membership", "voters", e.Membership.Voters)
		}
		k.applied, k.appliedTerm = e.Index, e.Term
		if p, ok := k.proposals[e.Index]; ok && p.term == e.Term {
			delete(k.proposals, e.Index)
			p.done(result, nil)
		}
	}
	k.metrics.applied.Add(float64(len(o.Committed)))
	k.finishReads()
}

// takeSnapshot lets the log forget what the state machine holds. As many
// entries again are kept, so that a follower that was away for a short time
// is served from the log.
func (k *Keeper) takeSnapshot() {
	if k.applied-k.snapshotAt < k.cfg.SnapshotEvery {
		return
	}
	data, err := k.cfg.Machine.Snapshot()
	if err == nil {
		err = k.machine.Compact(k.applied, data, k.cfg.SnapshotEvery)
	}
	// A snapshot that failed is tried again after as many entries.
	k.snapshotAt = k.applied
	if err != nil {
		klog.ErrorS(err, "no snapshot taken", "vm", k.cfg.VM, "step", "snapshot", "entry", k.applied)
		return
	}
	k.metrics.snapshots.Inc()
	k.pump()
}

// fail stops all participation in the log until restart: after a failed
// write it is unknown what reached the disk, and nothing more may be
// acknowledged.
func (k *Keeper) fail(err error) {
	if k.failure != nil {
		return
	}
	k.failure = err
	k.held, k.pending = nil, write{}
	klog.ErrorS(err, "the replicated log stopped; this VM acknowledges nothing until it is restarted",
		"vm", k.cfg.VM, "step", "replicated log")
	k.abandon(err)
	k.noticeLeadership()
}

func (k *Keeper) noticeLeadership() {
	leading := k.Status().Leading
	if leading == k.leading {
		return
	}
	k.leading = leading
	k.metrics.setLeading(leading)
	klog.InfoS("leadership changed", "vm", k.cfg.VM, "step", "election", "leading", leading, "term", k.machine.Status(k.cfg.Clock.Now()).Term)
	for _, f := range k.onLeading {
		f(leading)
	}
	k.Post(func() {}) // pumps what the callbacks proposed
}

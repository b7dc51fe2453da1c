package logkeeper

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/replicator"
)

// write is a unit of work for the disk goroutine. It covers all writes of the
// replicator up to sequence.
type write struct {
	sequence     uint64
	hardState    *replicator.HardState
	entries      []replicator.Entry
	rewriteState *replicator.PersistentState // replaces the whole journal; nil to append
	needsRewrite bool                        // the whole state must be written
	afterFailure bool                        // the previous write failed
}

// runWrites performs the submitted writes on the disk goroutine.
func (k *Keeper) runWrites(writes <-chan write) {
	for w := range writes {
		start := time.Now()
		err := k.writeJournal(w)
		k.metrics.syncSeconds.Observe(time.Since(start).Seconds())
		k.Post(func() { k.finishWrite(w, err) })
	}
}

// writeJournal performs a write, including the sync.
func (k *Keeper) writeJournal(w write) error {
	if w.afterFailure && w.rewriteState != nil {
		return k.journal.Recover(*w.rewriteState)
	}
	if w.rewriteState != nil {
		return k.journal.Rewrite(*w.rewriteState)
	}
	return k.journal.Append(w.hardState, w.entries)
}

func (k *Keeper) finishWrite(w write, err error) {
	k.writing = false
	if err != nil && k.cfg.WriteRetryDelay > 0 {
		k.scheduleWriteRetry(w, err)
		return
	}
	if err != nil {
		k.fail(fmt.Errorf("the data folder failed: %w", err))
		return
	}
	if k.failure != nil {
		return
	}
	if w.afterFailure {
		klog.InfoS("journal write succeeded after a failure", "vm", k.cfg.VM, "step", "write journal", "sequence", w.sequence)
	}
	k.syncedSequence = w.sequence
	k.metrics.syncedEntries.Add(float64(len(w.entries)))
	k.replicator.Synced(w.sequence)
}

// processOutputs processes the replicator's outputs until there are none left. It
// then starts the resulting write and sends the messages whose writes are
// durable.
func (k *Keeper) processOutputs() {
	for k.failure == nil {
		o, more := k.replicator.Output()
		if !more {
			break
		}
		k.queueOutput(o)
		k.applyOutput(o)
		for _, read := range o.BarrierResults {
			k.handleBarrierResult(read)
		}
		if err := k.replicator.Failure(); err != nil {
			k.fail(err)
		}
	}
	if k.failure == nil {
		k.maybeTakeSnapshot()
		k.startWrite()
		k.sendDurableMessages()
		k.failLostProposals()
	}
	k.updateLeadership()
}

func (k *Keeper) queueOutput(o replicator.Output) {
	if o.WriteSequence != 0 {
		k.nextWrite.sequence = o.WriteSequence
		if o.HardState != nil {
			k.nextWrite.hardState = o.HardState
		}
		k.nextWrite.entries = append(k.nextWrite.entries, o.Entries...)
		k.nextWrite.needsRewrite = k.nextWrite.needsRewrite || o.Rewrite
	}
	k.unsentMessages = append(k.unsentMessages, o.Messages...)
}

// startWrite submits all queued changes to the disk goroutine as a single write,
// unless a write is already in progress or a retry is not due yet.
func (k *Keeper) startWrite() {
	now := k.cfg.Clock.Now()
	if k.writing || k.nextWrite.sequence == 0 || now < k.retryAt {
		return
	}
	k.retryAt = 0
	k.writeStartedAt = now
	w := k.nextWrite
	k.nextWrite = write{}
	if w.needsRewrite {
		state := k.replicator.State()
		w.rewriteState = &state
	}
	k.writing = true
	k.submitWrite(w)
}

// sendDurableMessages sends the messages whose writes are durable. Messages that
// depend on the same write stay in order. Send errors are ignored, because the
// replicator repeats lost messages.
func (k *Keeper) sendDurableMessages() {
	k.unsentMessages = slices.DeleteFunc(k.unsentMessages, func(m replicator.Message) bool {
		if m.DurableSequence > k.syncedSequence {
			return false
		}
		_ = k.cfg.Linker.Send(m.To.VM, zinniatide.KindReplicate, m)
		return true
	})
}

func (k *Keeper) applyOutput(o replicator.Output) {
	if s := o.Restore; s != nil {
		if err := k.cfg.StateMachine.Restore(s.Data); err != nil {
			k.fail(fmt.Errorf("restore snapshot at entry %d: %w", s.Index, err))
			return
		}
		k.appliedIndex, k.appliedTerm, k.snapshotIndex = s.Index, s.Term, s.Index
		k.snapshotBytes, k.bytesSinceSnapshot = len(s.Data), 0
	}
	for i := range o.Committed {
		e := &o.Committed[i]
		var result any
		if e.Kind == replicator.EntryCommand {
			result = k.cfg.StateMachine.Apply(e.Index, e.Data)
		} else if e.Membership != nil {
			klog.InfoS("voters changed", "vm", k.cfg.VM, "step", "membership", "voters", e.Membership.Voters)
		}
		k.appliedIndex, k.appliedTerm = e.Index, e.Term
		k.bytesSinceSnapshot += len(e.Data)
		if p, ok := k.proposals[e.Index]; ok && p.term == e.Term {
			delete(k.proposals, e.Index)
			p.done(result, nil)
		}
	}
	k.metrics.applied.Add(float64(len(o.Committed)))
	k.completeReads()
}

// maybeTakeSnapshot takes a snapshot every SnapshotEvery entries, or earlier if the
// entries are large, and compacts the log. It keeps the last entries before the
// snapshot, so that a follower that was disconnected for a short time can catch up
// from the log.
func (k *Keeper) maybeTakeSnapshot() {
	large := k.bytesSinceSnapshot >= max(minSnapshotBytes, snapshotSizeFactor*k.snapshotBytes)
	if k.appliedIndex == k.snapshotIndex || k.appliedIndex-k.snapshotIndex < k.cfg.SnapshotEvery && !large {
		return
	}
	data, err := k.cfg.StateMachine.Snapshot()
	if err == nil {
		err = k.replicator.Compact(k.appliedIndex, data, k.cfg.SnapshotEvery, keptLogBytes)
	}
	// A failed snapshot is retried after as many entries again.
	k.snapshotIndex, k.bytesSinceSnapshot = k.appliedIndex, 0
	if err == nil {
		k.snapshotBytes = len(data)
	}
	if err != nil {
		klog.ErrorS(err, "snapshot failed", "vm", k.cfg.VM, "step", "snapshot", "entry", k.appliedIndex)
		return
	}
	k.metrics.snapshots.Inc()
	// Process the rewrite that Compact requested. snapshotIndex is already
	// advanced, so the recursion ends.
	k.processOutputs()
}

// fail stops all participation in the log until the process is restarted. After
// a failed write it is unknown what reached the disk, so this VM must not
// acknowledge anything.
func (k *Keeper) fail(err error) {
	if k.failure != nil {
		return
	}
	k.failure = err
	k.unsentMessages, k.nextWrite = nil, write{}
	klog.ErrorS(err, "replicated log stopped; this VM acknowledges no entries until it is restarted",
		"vm", k.cfg.VM, "step", "replicated log")
	k.failOpenRequests(err)
	k.updateLeadership()
}

func (k *Keeper) updateLeadership() {
	leading := k.Status().Leading
	if leading == k.leading {
		return
	}
	k.leading = leading
	k.metrics.setLeading(leading)
	klog.InfoS("leadership changed", "vm", k.cfg.VM, "step", "election", "leading", leading, "term", k.replicator.Status(k.cfg.Clock.Now()).Term)
	for _, f := range k.onLeadership {
		f(leading)
	}
	k.Post(func() {}) // triggers processOutputs for proposals made by the callbacks
}

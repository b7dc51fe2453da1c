package logkeeper

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// diskStallLimit is how long a write may take before a leader hands over. It
// is below the shortest election timeout, within which a transfer is the
// cheaper way to a new leader.
const diskStallLimit zinniatide.Millis = 400

// retryWrite schedules everything to be written anew after a failed write. The
// log in memory holds all that the failed write held, and nothing that depends
// on it has been sent.
func (k *Keeper) retryWrite(w write, err error) {
	if !w.recover {
		klog.ErrorS(err, "write failed; this VM acknowledges nothing until the data folder takes writes again",
			"vm", k.cfg.VM, "step", "write journal", "sequence", w.sequence)
	}
	k.metrics.failedWrites.Inc()
	k.pending.sequence = max(k.pending.sequence, w.sequence)
	k.pending.wanted, k.pending.recover = true, true
	k.retryAt = k.cfg.Clock.Now() + k.cfg.DiskRetry
}

// tickDisk hands leadership over while the disk fails or stalls: entries are
// applied on the leader only once they are durable there.
func (k *Keeper) tickDisk(now zinniatide.Millis) {
	if k.cfg.DiskRetry == 0 {
		return
	}
	if k.retryAt > 0 || k.writing && now-k.writeStart > diskStallLimit {
		k.machine.Transfer()
	}
}

package logkeeper

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// diskStallTimeout is how long a write may take before the leader transfers
// leadership. It is below the minimum election timeout, so that replacing a
// leader with a stalled disk usually takes no longer than replacing one that
// crashed.
const diskStallTimeout zinniatide.Millis = 400

// scheduleWriteRetry schedules a rewrite of the complete state after a failed
// write. No data is lost: the in-memory log contains everything that the failed
// write contained, and no message that depends on it has been sent.
func (k *Keeper) scheduleWriteRetry(w write, err error) {
	if !w.afterFailure {
		klog.ErrorS(err, "journal write failed; this VM acknowledges no entries until a write succeeds",
			"vm", k.cfg.VM, "step", "write journal", "sequence", w.sequence)
	}
	k.metrics.failedWrites.Inc()
	k.nextWrite.sequence = max(k.nextWrite.sequence, w.sequence)
	k.nextWrite.needsRewrite, k.nextWrite.afterFailure = true, true
	k.retryAt = k.cfg.Clock.Now() + k.cfg.WriteRetryDelay
}

// checkDisk transfers leadership while the disk fails or stalls. A leader applies
// entries only once they are durable on its own disk, so such a leader cannot
// complete proposals. checkDisk does nothing if the retry delay is 0.
func (k *Keeper) checkDisk(now zinniatide.Millis) {
	if k.cfg.WriteRetryDelay == 0 {
		return
	}
	if k.retryAt > 0 || k.writing && now-k.writeStartedAt > diskStallTimeout {
		k.replicator.TransferLeadership()
	}
}

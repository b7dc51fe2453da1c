package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Durations of the graceful shutdown of a relay VM.
const (
	// staleAddressWait is how long requests are still accepted from callers that
	// use an address answer from before the shutdown. Callers that use an answer
	// for longer are refused and retry on another VM.
	staleAddressWait = RelayAddressLifetime + 200
	// closeMargin is the part of RelayConfig.StopLimit that remains after the last
	// requests have been ended: for writing their answers, for deregistering, which
	// takes at most deregisterTimeout, and for the exit of the process.
	closeMargin zinniatide.Millis = 900
	// lastAnswersWait is the part of closeMargin in which callers can still read
	// the answers to the last requests.
	lastAnswersWait zinniatide.Millis = 200
)

// RelayAddressLifetime is how long callers may use an address answer. A shorter
// lifetime adds latency: after each new answer a caller has to set up a
// connection, which takes a round trip, before it can send its request.
const RelayAddressLifetime zinniatide.Millis = 4000

// Stop shuts the process down gracefully: it directs callers to other VMs,
// transfers leadership, finishes open requests and deregisters from the control
// leader. The process must exit afterwards; Stop does not stop the other
// components.
func (r *Relay) Stop() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	serving, stopServing := context.WithTimeout(context.Background(), (r.cfg.StopLimit - closeMargin).Duration())
	defer stopServing()
	closing, stopClosing := context.WithTimeout(context.Background(), (r.cfg.StopLimit - closeMargin + lastAnswersWait).Duration())
	defer stopClosing()
	if r.relayer != nil {
		r.relayer.StopBy(r.clock.Now() + r.cfg.StopLimit - closeMargin)
		context.AfterFunc(serving, r.relayer.EndRequests)
	}
	r.subscriber.StartLeave()
	if r.replicatedLog != nil {
		r.replicatedLog.Post(r.replicatedLog.TransferLeadership)
	}
	aborted := 0
	if r.acceptor != nil {
		r.acceptor.CloseAfterReply()
		sleepContext(serving, staleAddressWait)
		r.acceptor.RefuseRequests()
		aborted = r.acceptor.Close(closing)
	} else {
		sleepContext(serving, leadershipTransferWait)
	}
	done := make(chan error, 1)
	r.subscriber.Deregister(func(err error) { done <- err })
	select {
	case err := <-done:
		if err != nil {
			klog.InfoS("leader did not confirm the deregistration; it removes this VM when the lease expires", "step", "goodbye", "err", err.Error())
		}
	case <-time.After(deregisterTimeout):
	}
	klog.InfoS("stopped", "step", "stop", "requests-cut", aborted)
}

const (
	// leadershipTransferWait is how long a VM without callers waits for another
	// VM to take over leadership.
	leadershipTransferWait zinniatide.Millis = 600
	// deregisterTimeout limits the wait for the leader to confirm the
	// deregistration.
	deregisterTimeout = 300 * time.Millisecond
)

// sleepContext waits for d or until ctx is done.
func sleepContext(ctx context.Context, d zinniatide.Millis) {
	select {
	case <-time.After(d.Duration()):
	case <-ctx.Done():
	}
}

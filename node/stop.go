package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

const (
	stopPoll = 50 * time.Millisecond
	// leaveMargin is added to the lifetime of address answers: it covers the
	// time until every VM has installed the leave.
	leaveMargin zinniatide.Millis = 1000
)

// Stop ends the process by plan: it leaves the address list, serves until
// every address answer has expired, finishes open requests, hands over
// buckets and leadership, and closes. When ctx ends first, it closes at once
// and returns an error that tells what was cut off.
func (n *Node) Stop(ctx context.Context) error {
	n.subscriber.Leave()
	err := errors.Join(
		n.waitFor(ctx, "leave the address list", n.leaveSeen),
		n.sleep(ctx, zinniatide.AddressLifetime+leaveMargin),
		zinniatide.WrapStep(n.gateway.Drain(ctx), "finish open requests", string(n.cfg.VM)),
		n.waitFor(ctx, "hand over buckets", n.bucketsGone),
		n.handOverLeadership(ctx),
		zinniatide.WrapStep(n.gateway.Close(ctx), "close the HTTP server", string(n.cfg.VM)),
		n.goodbye(ctx),
	)
	n.closeParts()
	return err
}

// leaveSeen reports whether the configuration shows that this VM leaves. A VM
// without a lease has no session and takes no work, so it need not wait.
func (n *Node) leaveSeen() bool {
	member, known := n.Configuration().Members[n.cfg.VM]
	return !known || member.State == zinniatide.StateLeaving || n.LeaseUntil() <= n.clock.Now()
}

// bucketsGone reports whether this VM owns no bucket, or nobody can take them.
func (n *Node) bucketsGone() bool {
	if n.subscriber.OwnedBuckets() == 0 || n.LeaseUntil() <= n.clock.Now() {
		return true
	}
	c := n.Configuration()
	for vm := range c.Members {
		if c.VMServing(vm) {
			return false
		}
	}
	return true
}

func (n *Node) handOverLeadership(ctx context.Context) error {
	if n.keeper == nil {
		return nil
	}
	leads := func() bool {
		answer := make(chan bool, 1)
		n.keeper.Post(func() {
			status := n.keeper.Status()
			answer <- status.Leading && len(status.Voters) > 1
		})
		select {
		case leading := <-answer:
			return leading
		case <-ctx.Done():
			return false
		}
	}
	if !leads() {
		return nil
	}
	n.keeper.Post(n.keeper.TransferLeadership)
	return n.waitFor(ctx, "hand over leadership", func() bool { return !leads() })
}

func (n *Node) goodbye(ctx context.Context) error {
	done := make(chan error, 1)
	n.subscriber.Goodbye(func(err error) { done <- err })
	select {
	case err := <-done:
		if err != nil {
			// The lease has been given up, so the leader removes the VM later.
			klog.InfoS("left without the leader's answer", "step", "goodbye", "err", err.Error())
		}
		return nil
	case <-ctx.Done():
		return zinniatide.WrapStep(ctx.Err(), "goodbye", "control leader")
	}
}

func (n *Node) sleep(ctx context.Context, d zinniatide.Millis) error {
	select {
	case <-time.After(d.Duration()):
		return nil
	case <-ctx.Done():
		return zinniatide.WrapStep(ctx.Err(), "wait for address answers to expire", string(n.cfg.VM))
	}
}

func (n *Node) waitFor(ctx context.Context, step string, ready func() bool) error {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return zinniatide.WrapStep(ctx.Err(), step, string(n.cfg.VM))
		}
	}
	return nil
}

// Kill ends the process without any hand-over, as a crash does.
func (n *Node) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.linker.Close()
	_ = n.gateway.Close(ctx)
	n.closeParts()
}

func (n *Node) closeParts() {
	n.cancel()
	n.forwarder.Close()
	n.dispatcher.Close()
	n.cataloger.Close()
	if n.keeper != nil {
		if err := n.keeper.Close(); err != nil {
			klog.ErrorS(err, "data folder was not closed cleanly", "step", "close", "peer", n.cfg.DataFolder)
		}
	}
	n.linker.Close()
	n.running.Wait()
}

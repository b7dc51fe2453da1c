package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

const (
	stopPollInterval = 50 * time.Millisecond
	// leaveInstallMargin is added to the lifetime of address answers. It covers
	// the time until every VM has installed the configuration in which this VM
	// leaves.
	leaveInstallMargin zinniatide.Millis = 1000
)

// Stop shuts the process down gracefully: it has this VM removed from the
// address list, serves until every address answer has expired, finishes open
// requests, hands over buckets, transfers leadership, closes the HTTP server and
// deregisters from the control leader. If ctx is done first, it closes at once
// and returns an error that names the unfinished steps.
func (n *Node) Stop(ctx context.Context) error {
	n.subscriber.StartLeave()
	err := errors.Join(
		n.waitUntil(ctx, "wait for removal from the address list", n.leaveInstalled),
		n.waitForAddressExpiry(ctx, zinniatide.AddressLifetime+leaveInstallMargin),
		zinniatide.WrapStep(n.gateway.Drain(ctx), "finish open requests", string(n.cfg.VM)),
		n.waitUntil(ctx, "hand over buckets", n.bucketsHandedOver),
		n.transferLeadership(ctx),
		zinniatide.WrapStep(n.gateway.Close(ctx), "close HTTP server", string(n.cfg.VM)),
		n.deregister(ctx),
	)
	n.closeComponents()
	return err
}

// leaveInstalled reports whether the installed configuration marks this VM as
// leaving or no longer contains it. It also returns true without a lease: such
// a VM has no session and takes no work, so there is nothing to wait for.
func (n *Node) leaveInstalled() bool {
	member, known := n.Configuration().Members[n.cfg.VM]
	return !known || member.State == zinniatide.StateLeaving || n.LeaseUntil() <= n.clock.Now()
}

// bucketsHandedOver reports whether this VM owns no buckets. It also returns
// true if its lease has expired or no other VM can take over the buckets.
func (n *Node) bucketsHandedOver() bool {
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

func (n *Node) transferLeadership(ctx context.Context) error {
	if n.replicatedLog == nil {
		return nil
	}
	// A sole voter has no other voter to transfer leadership to.
	isLeader := func() bool {
		result := make(chan bool, 1)
		n.replicatedLog.Post(func() {
			status := n.replicatedLog.Status()
			result <- status.Leading && len(status.Voters) > 1
		})
		select {
		case leading := <-result:
			return leading
		case <-ctx.Done():
			return false
		}
	}
	if !isLeader() {
		return nil
	}
	n.replicatedLog.Post(n.replicatedLog.TransferLeadership)
	return n.waitUntil(ctx, "transfer leadership", func() bool { return !isLeader() })
}

func (n *Node) deregister(ctx context.Context) error {
	done := make(chan error, 1)
	n.subscriber.Deregister(func(err error) { done <- err })
	select {
	case err := <-done:
		if err != nil {
			// This does not fail the shutdown: this VM has given up its lease, so
			// the leader removes it later.
			klog.InfoS("leader did not confirm the deregistration; it removes this VM when the lease expires", "step", "goodbye", "err", err.Error())
		}
		return nil
	case <-ctx.Done():
		return zinniatide.WrapStep(ctx.Err(), "goodbye", "control leader")
	}
}

func (n *Node) waitForAddressExpiry(ctx context.Context, d zinniatide.Millis) error {
	select {
	case <-time.After(d.Duration()):
		return nil
	case <-ctx.Done():
		return zinniatide.WrapStep(ctx.Err(), "wait for address answers to expire", string(n.cfg.VM))
	}
}

func (n *Node) waitUntil(ctx context.Context, step string, condition func() bool) error {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return zinniatide.WrapStep(ctx.Err(), step, string(n.cfg.VM))
		}
	}
	return nil
}

// Kill stops the process without handing anything over, as a crash does.
func (n *Node) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.linker.Close()
	_ = n.gateway.Close(ctx)
	n.closeComponents()
}

func (n *Node) closeComponents() {
	n.cancel()
	n.forwarder.Close()
	n.dispatcher.Close()
	n.cataloger.Close()
	if n.replicatedLog != nil {
		if err := n.replicatedLog.Close(); err != nil {
			klog.ErrorS(err, "failed to close the replicated log", "step", "close", "peer", n.cfg.DataFolder)
		}
	}
	n.linker.Close()
	n.wg.Wait()
}

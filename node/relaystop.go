package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Stages of a planned stop of a relay VM, counted from its begin.
const (
	// moveAway is how long callers may go on with addresses that they were given
	// before. Those that keep an answer for longer are refused and go elsewhere.
	moveAway = RelayAddressLifetime + 200
	// cutMargin is left at the end of a stop for closing.
	cutMargin zinniatide.Millis = 900
)

// RelayAddressLifetime is how long callers may use an address answer. Each new
// one costs a caller a connection and a way there and back before its request.
const RelayAddressLifetime zinniatide.Millis = 4000

// Stop ends the process by plan: callers are sent elsewhere, open requests are
// finished, and leadership is handed over.
func (r *Relay) Stop() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), (r.cfg.StopLimit - cutMargin).Duration())
	defer cancel()
	r.subscriber.Leave()
	if r.keeper != nil {
		r.keeper.Post(r.keeper.TransferLeadership)
	}
	cut := 0
	if r.acceptor != nil {
		r.acceptor.Leave()
		sleep(ctx, moveAway)
		r.acceptor.Refuse()
		cut = r.acceptor.Close(ctx)
	} else {
		sleep(ctx, handOver)
	}
	done := make(chan error, 1)
	r.subscriber.Goodbye(func(err error) { done <- err })
	select {
	case err := <-done:
		if err != nil {
			klog.InfoS("left without the leader's answer; its lease ends this VM's session", "step", "goodbye", "err", err.Error())
		}
	case <-time.After(goodbyeTimeout):
	}
	klog.InfoS("stopped", "step", "stop", "requests-cut", cut)
}

const (
	// handOver is the time for a transfer of leadership.
	handOver zinniatide.Millis = 600
	// goodbyeTimeout bounds the wait for the leader's answer.
	goodbyeTimeout = 300 * time.Millisecond
)

func sleep(ctx context.Context, d zinniatide.Millis) {
	select {
	case <-time.After(d.Duration()):
	case <-ctx.Done():
	}
}

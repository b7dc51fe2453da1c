// Package drainer closes TCP listeners without resetting the connections that wait
// in the backlog, whose callers may already have sent a request.
package drainer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// backlogGrace is how long connections are still accepted after Close was called.
const backlogGrace = 20 * time.Millisecond

// Drainer is a listener whose Close first lets Accept return the connections in
// the backlog. A connection that the kernel completes in the instant of the close
// is still reset; no process has read from it.
type Drainer struct {
	net.Listener
	closing atomic.Bool
	drained chan struct{} // closed once Accept has returned an error after Close
	once    sync.Once
}

// New returns a Drainer of l.
func New(l net.Listener) *Drainer { return &Drainer{Listener: l, drained: make(chan struct{})} }

// Accept implements net.Listener. Once the backlog is empty after Close, it
// returns net.ErrClosed.
func (d *Drainer) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil && d.closing.Load() {
		d.once.Do(func() { close(d.drained) })
		return nil, net.ErrClosed
	}
	return c, err
}

// Close implements net.Listener. It waits until Accept has emptied the backlog, for
// at most twice backlogGrace.
func (d *Drainer) Close() error {
	if d.closing.CompareAndSwap(false, true) {
		if l, ok := d.Listener.(interface{ SetDeadline(time.Time) error }); ok && l.SetDeadline(time.Now().Add(backlogGrace)) == nil {
			select {
			case <-d.drained:
			case <-time.After(2 * backlogGrace):
			}
		}
	}
	return d.Listener.Close()
}

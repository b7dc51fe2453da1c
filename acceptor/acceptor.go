// Package acceptor serves callers' HTTP connections and hands their requests to
// the relayer. A caller that leaves while its request runs is noticed at once.
package acceptor

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/relayer"
)

// Names are the HTTP headers spoken with callers.
type Names struct {
	// RequestID carries the caller's id of an attempt.
	RequestID string
	// Deadline carries how many milliseconds the caller will wait.
	Deadline string
	// Dropped are headers that the system sets itself towards backend servers.
	Dropped []string
}

// Server answers requests.
type Server interface {
	Serve(req *relayer.Request, respond func(relayer.Reply)) (cancel func())
	Limits() (zinniatide.CallerLimits, bool)
}

// Limits that hold before the first routing table.
var defaultLimits = zinniatide.CallerLimits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3000, IdleTimeout: 15_000,
}

// Acceptor serves one address.
type Acceptor struct {
	names   Names
	dropped map[string]bool
	server  Server
	clock   zinniatide.Clock

	listener net.Listener
	// closing is set once answers end their connections, and refusing once new
	// requests are refused.
	closing, refusing atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an Acceptor that does nothing until Serve.
func New(names Names, server Server, clock zinniatide.Clock) *Acceptor {
	a := &Acceptor{names: names, server: server, clock: clock, conns: map[*conn]struct{}{}, dropped: map[string]bool{
		"Host": true, "Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true, "Te": true,
		"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Proxy-Authorization": true, "Expect": true,
		names.Deadline: true,
	}}
	for _, name := range names.Dropped {
		a.dropped[name] = true
	}
	return a
}

// acceptPause spaces attempts to accept after a failure, such as a lack of file
// descriptors.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections until Close.
func (a *Acceptor) Serve(listener net.Listener) {
	a.mu.Lock()
	a.listener = listener
	a.mu.Unlock()
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "connection not accepted", "step", "accept", "peer", listener.Addr().String())
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(a, nc)
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		go c.run()
	}
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
}

// Leave has every later answer end its connection, so that callers move on.
func (a *Acceptor) Leave() { a.closing.Store(true) }

// Refuse has later requests refused as not run.
func (a *Acceptor) Refuse() { a.refusing.Store(true) }

// Busy is the number of requests without an answer.
func (a *Acceptor) Busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for c := range a.conns {
		if c.busy() {
			n++
		}
	}
	return n
}

// busyPoll spaces the looks of Close at open requests.
const busyPoll = 20 * time.Millisecond

// Close waits until open requests are answered or ctx ends, and closes all
// connections. It returns the number of requests that were cut off.
func (a *Acceptor) Close(ctx context.Context) int {
	a.Leave()
	poll := time.NewTicker(busyPoll)
	defer poll.Stop()
	for a.Busy() > 0 && ctx.Err() == nil {
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener != nil {
		_ = a.listener.Close()
	}
	cut := 0
	for c := range a.conns {
		if c.busy() {
			cut++
		}
		_ = c.net.Close()
	}
	return cut
}

func (a *Acceptor) limits() zinniatide.CallerLimits {
	if limits, ok := a.server.Limits(); ok {
		return limits
	}
	return defaultLimits
}

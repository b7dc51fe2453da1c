// Package acceptor implements the HTTP server for callers and passes their
// requests to the relayer. If a caller disconnects, its request is cancelled
// immediately.
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

// HeaderNames are the names of the HTTP headers exchanged with callers.
type HeaderNames struct {
	// RequestID contains the id that the caller gave to the request.
	RequestID string
	// Deadline contains the time in milliseconds that the caller will wait.
	Deadline string
	// NotForwarded are headers that are not forwarded, because the system sets them
	// itself in requests to backend servers.
	NotForwarded []string
}

// Handler answers requests. Serve calls respond once, possibly before it returns.
// Limits returns false before the first routing table is available.
type Handler interface {
	Serve(req *relayer.Request, respond func(relayer.Reply)) (cancel func())
	Limits() (zinniatide.CallerLimits, bool)
}

// defaultLimits apply before the first routing table is available.
var defaultLimits = zinniatide.CallerLimits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3000, IdleTimeout: 15_000,
}

// Acceptor is an HTTP server for one listener.
type Acceptor struct {
	names          HeaderNames
	droppedHeaders map[string]bool
	handler        Handler
	clock          zinniatide.Clock

	listener net.Listener
	// closeAfterReply is set by CloseAfterReply, refuseRequests by RefuseRequests.
	closeAfterReply, refuseRequests atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an Acceptor. Serve starts it.
func New(names HeaderNames, handler Handler, clock zinniatide.Clock) *Acceptor {
	a := &Acceptor{names: names, handler: handler, clock: clock, conns: map[*conn]struct{}{}, droppedHeaders: map[string]bool{
		"Host": true, "Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true, "Te": true,
		"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Proxy-Authorization": true, "Expect": true,
		names.Deadline: true,
	}}
	for _, name := range names.NotForwarded {
		a.droppedHeaders[name] = true
	}
	return a
}

// acceptRetryDelay is the time between attempts to accept after a failure, such
// as a lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

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
			klog.ErrorS(err, "failed to accept connection", "step", "accept", "peer", listener.Addr().String())
			time.Sleep(acceptRetryDelay)
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

// CloseAfterReply closes each connection after its next reply, so that callers
// connect to another VM.
func (a *Acceptor) CloseAfterReply() { a.closeAfterReply.Store(true) }

// RefuseRequests refuses all later requests with status 503, without running
// them.
func (a *Acceptor) RefuseRequests() { a.refuseRequests.Store(true) }

// ActiveRequests returns the number of requests in progress.
func (a *Acceptor) ActiveRequests() int {
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

// closePollInterval is the interval at which Close checks for requests in
// progress.
const closePollInterval = 20 * time.Millisecond

// Close waits until no request is in progress or ctx ends, and then closes the
// listener and all connections. New requests are accepted until then, unless
// RefuseRequests was called. It returns the number of requests that were aborted.
func (a *Acceptor) Close(ctx context.Context) int {
	a.CloseAfterReply()
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	for a.ActiveRequests() > 0 && ctx.Err() == nil {
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
	aborted := 0
	for c := range a.conns {
		if c.busy() {
			aborted++
		}
		_ = c.netConn.Close()
	}
	return aborted
}

func (a *Acceptor) limits() zinniatide.CallerLimits {
	if limits, ok := a.handler.Limits(); ok {
		return limits
	}
	return defaultLimits
}

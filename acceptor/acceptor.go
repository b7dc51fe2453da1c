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
	"zinniatide.example/zinniatide/common/drainer"
	"zinniatide.example/zinniatide/relayer"
)

// HeaderNames are the names of the HTTP headers exchanged with callers.
type HeaderNames struct {
	// RequestID contains the id that the caller gave to the request.
	RequestID string
	// Deadline contains the time in milliseconds that the caller will wait.
	Deadline string
	// Credential contains the scheme and the key of the caller, and Workspace the name of
	// its workspace. Both are kept apart from the other headers.
	Credential, Workspace string
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
	budget         zinniatide.ClientBudget
	clock          zinniatide.Clock

	listener net.Listener
	// closeAfterReply is set by CloseAfterReply, refuseRequests by RefuseRequests.
	closeAfterReply, refuseRequests atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an Acceptor. Serve starts it.
func New(names HeaderNames, handler Handler, budget zinniatide.ClientBudget, clock zinniatide.Clock) *Acceptor {
	a := &Acceptor{names: names, handler: handler, budget: budget, clock: clock, conns: map[*conn]struct{}{}, droppedHeaders: map[string]bool{
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
	listener = drainer.New(listener)
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
		if c == nil {
			reset(nc)
			continue
		}
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

// Durations of Close.
const (
	// closePollInterval is the interval at which Close checks for requests in
	// progress.
	closePollInterval = 20 * time.Millisecond
	// idleGrace is how long an idle connection may still bring a request that its
	// caller has sent before it could see the close.
	idleGrace = 100 * time.Millisecond
	// closeLimit bounds the time that Close adds after the last request that was
	// in progress when it was called.
	closeLimit = 300 * time.Millisecond
)

// Close waits until no request is in progress or ctx ends, then closes the listener
// and all connections. Connections that were just accepted and requests that were
// just sent are still served; new requests are accepted until then, unless
// RefuseRequests was called. It returns the number of requests that were aborted.
func (a *Acceptor) Close(ctx context.Context) int {
	a.CloseAfterReply()
	waitUntil(ctx, func() bool { return a.ActiveRequests() == 0 })
	a.mu.Lock()
	listener := a.listener
	a.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // fails only if it is closed already
	}
	a.mu.Lock()
	for c := range a.conns {
		c.expireIfIdle(idleGrace)
	}
	a.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, closeLimit)
	defer cancel()
	waitUntil(limited, func() bool { return a.openConnections() == 0 })
	a.mu.Lock()
	defer a.mu.Unlock()
	aborted := 0
	for c := range a.conns {
		if c.busy() {
			aborted++
		}
		_ = c.netConn.Close()
	}
	return aborted
}

// waitUntil polls condition until it is true or ctx ends.
func waitUntil(ctx context.Context, condition func() bool) {
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	for !condition() && ctx.Err() == nil {
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
}

// openConnections returns the number of connections that may still bring or
// answer a request.
func (a *Acceptor) openConnections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for c := range a.conns {
		if !c.answeredLast() {
			n++
		}
	}
	return n
}

// minIdleTimeout is applied if the configured one is shorter. A connection is idle too
// until its first request has arrived.
const minIdleTimeout zinniatide.Millis = 250

func (a *Acceptor) limits() zinniatide.CallerLimits {
	limits, ok := a.handler.Limits()
	if !ok {
		return defaultLimits
	}
	limits.IdleTimeout = max(limits.IdleTimeout, minIdleTimeout)
	return limits
}

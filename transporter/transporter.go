// Package transporter is an HTTP client with connection pools for backend
// servers. It sends each request once and reports whether the request may have
// run, so that its user can decide whether to retry.
package transporter

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/answerreader"
	"zinniatide.example/zinniatide/common/timer"
)

// Timeouts and limits of connections.
const (
	// dialTimeout limits the TCP connect. A server that does not answer within
	// it is down or unreachable.
	dialTimeout = 500 * time.Millisecond
	// defaultKeepAliveTimeout applies to connections whose server sends no
	// keep-alive timeout.
	defaultKeepAliveTimeout zinniatide.Millis = 20_000
	// keepAliveMargin is subtracted from the server's keep-alive timeout, so
	// that this side closes idle connections first.
	keepAliveMargin zinniatide.Millis = 1000
	// nonIdempotentIdleTimeout is the maximum idle time of a connection that is
	// reused for a request that cannot be retried.
	nonIdempotentIdleTimeout zinniatide.Millis = 1500
	// deadlineGrace is how long an exchange waits after its deadline for the
	// server's error answer.
	deadlineGrace zinniatide.Millis = 60
	// ackTimeout is how long written data may stay unacknowledged by the peer
	// before the connection is closed.
	ackTimeout = 1500 * time.Millisecond
)

// Dependencies are the settings and collaborators of a Transporter.
type Dependencies struct {
	// Lock guards the Transporter and the state of its user. Methods of Pool and
	// Exchange are called with the lock held.
	Lock  *sync.Mutex
	Clock zinniatide.Clock
	Timer timer.Timer
	Names HeaderNames
	// OnOpen and OnClose are called for each opened and closed connection. They
	// may be nil.
	OnOpen, OnClose func()
}

// Transporter creates connection pools.
type Transporter struct {
	deps   Dependencies
	dialer net.Dialer
	// answerBudget is the memory for large answers of all pools.
	answerBudget *answerreader.Budget
	ctx          context.Context
	cancel       context.CancelFunc
}

// New returns a Transporter.
func New(d Dependencies) *Transporter {
	if d.OnOpen == nil {
		d.OnOpen = func() {}
	}
	if d.OnClose == nil {
		d.OnClose = func() {}
	}
	t := &Transporter{deps: d, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setAckTimeout},
		answerBudget: answerreader.NewBudget(answerreader.DefaultBudgetBytes)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// setAckTimeout makes the kernel close a connection whose peer no longer
// acknowledges data.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Close aborts all dials. It does not close the pools.
func (t *Transporter) Close() { t.cancel() }

// Pool is a pool of connections to one process of a backend server.
type Pool struct {
	transporter *Transporter
	address     string
	server      zinniatide.BackendServerID
	maxConns    int
	// idleTimeout is how long an unused connection is kept. If it is 0, only the
	// server's keep-alive timeout applies.
	idleTimeout    zinniatide.Millis
	sweepScheduled bool
	idle           []*conn // ordered by last use, most recent last
	numConns       int
	dialing        int
	waiting        []*Exchange
	closed         bool
}

// Pool returns an empty pool of up to limit connections to a process.
func (t *Transporter) Pool(server zinniatide.BackendServerID, address string, limit int) *Pool {
	return &Pool{transporter: t, address: address, server: server, maxConns: max(limit, 1)}
}

// SetLimit sets the maximum number of connections and the idle timeout. If idle
// is 0, only the server's keep-alive timeout applies. Connections above the limit
// are closed when they become idle.
func (p *Pool) SetLimit(limit int, idle zinniatide.Millis) {
	p.maxConns, p.idleTimeout = max(limit, 1), idle
	for len(p.idle) > 0 && p.numConns > p.maxConns {
		p.idle[0].close()
	}
}

// EnsureOpen opens connections until the pool has n, up to its limit.
func (p *Pool) EnsureOpen(n int) {
	for p.numConns+p.dialing < min(n, p.maxConns) && !p.closed {
		p.dial()
	}
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int { return p.numConns }

// Close closes the idle connections and fails the waiting exchanges. Exchanges
// in progress continue.
func (p *Pool) Close() {
	p.closed = true
	for len(p.idle) > 0 {
		p.idle[len(p.idle)-1].close()
	}
	p.failWaiting()
}

// Send sends x over an idle connection, or queues it until a connection is free.
func (p *Pool) Send(x *Exchange) {
	x.pool = p
	now := p.transporter.deps.Clock.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		allowed := c.keepAliveTimeout
		if x.NonIdempotent {
			allowed = min(allowed, nonIdempotentIdleTimeout)
		}
		if now-c.lastUsed >= allowed {
			c.close()
			continue
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.send(x, now) {
			return
		}
	}
	if p.closed {
		x.Finish(Answer{Result: NotSent, QueueLength: -1})
		return
	}
	p.waiting = append(p.waiting, x)
	if p.numConns+p.dialing < p.maxConns && p.dialing < len(p.waiting) {
		p.dial()
	}
}

// removeWaiting removes an exchange from the queue for a connection.
func (p *Pool) removeWaiting(x *Exchange) {
	for i, other := range p.waiting {
		if other == x {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (p *Pool) dial() {
	p.dialing++
	go func() {
		nc, err := p.transporter.dialer.DialContext(p.transporter.ctx, "tcp", p.address)
		p.transporter.deps.Lock.Lock()
		defer p.transporter.deps.Lock.Unlock()
		p.dialing--
		if err != nil {
			if p.dialing == 0 {
				p.failWaiting()
			}
			return
		}
		if p.closed {
			_ = nc.Close()
			return
		}
		p.transporter.deps.OnOpen()
		p.numConns++
		c := newConn(p, nc)
		go c.readLoop()
		p.release(c)
	}()
}

// Recall ends all exchanges that still wait for a connection with NotSent.
func (p *Pool) Recall() {
	waiting := p.waiting
	p.waiting = nil
	for _, x := range waiting {
		x.Finish(Answer{Result: NotSent, QueueLength: -1})
	}
}

// failWaiting ends all waiting exchanges with NotSent. It does nothing if the
// pool is open and has a connection, because that connection will serve them.
func (p *Pool) failWaiting() {
	if p.numConns > 0 && !p.closed {
		return
	}
	p.Recall()
}

// release uses a free connection for the next waiting exchange, or puts it into
// the idle list.
func (p *Pool) release(c *conn) {
	now := p.transporter.deps.Clock.Now()
	c.lastUsed = now
	for len(p.waiting) > 0 && !c.closed {
		x := p.waiting[0]
		p.waiting = p.waiting[1:]
		if x.withdrawn {
			x.Finish(Answer{Result: NotSent, QueueLength: -1})
			continue
		}
		if c.send(x, now) {
			return
		}
		p.waiting = append([]*Exchange{x}, p.waiting...)
	}
	if c.closed {
		return
	}
	if p.closed || p.numConns > p.maxConns {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.scheduleSweep()
}

// scheduleSweep schedules the closing of connections that have reached the idle
// timeout.
func (p *Pool) scheduleSweep() {
	if p.idleTimeout == 0 || p.sweepScheduled {
		return
	}
	p.sweepScheduled = true
	p.transporter.deps.Timer.After(p.idleTimeout, func() {
		p.transporter.deps.Lock.Lock()
		defer p.transporter.deps.Lock.Unlock()
		p.sweepScheduled = false
		now := p.transporter.deps.Clock.Now()
		for len(p.idle) > 0 && p.idleTimeout > 0 && now-p.idle[0].lastUsed >= p.idleTimeout {
			p.idle[0].close()
		}
		if len(p.idle) > 0 {
			p.scheduleSweep()
		}
	})
}

// removeConn removes a closed connection from the pool and dials a new one if
// exchanges are waiting.
func (p *Pool) removeConn(c *conn) {
	p.numConns--
	p.transporter.deps.OnClose()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if len(p.waiting) > 0 && p.numConns+p.dialing < p.maxConns && p.dialing < len(p.waiting) && !p.closed {
		p.dial()
	}
}

// Package transporter sends HTTP requests to backend servers over kept
// connections. A request is sent once: whether to send it again is decided by
// the caller, who learns whether the first may have run.
package transporter

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/timer"
)

// Timing of connections.
const (
	// dialTimeout bounds the set-up of a connection. A server that does not
	// answer within it is down or cut off.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept idle when the server states
	// no time.
	defaultIdle zinniatide.Millis = 20_000
	// idleMargin is how much sooner than the server a connection is closed here.
	idleMargin zinniatide.Millis = 1000
	// exclusiveIdle is how long a connection may have been idle to carry a
	// request that cannot be repeated.
	exclusiveIdle zinniatide.Millis = 1500
	// expiryGrace is how long after its deadline an exchange waits for the
	// server's own failure answer.
	expiryGrace zinniatide.Millis = 60
	// silenceTimeout closes a connection on which written bytes are not
	// acknowledged by the other end.
	silenceTimeout = 1500 * time.Millisecond
	// maxAnswer bounds the body of an answer in bytes.
	maxAnswer = zinniatide.MaxBackendAnswer
)

// Dependencies of a Transporter.
type Dependencies struct {
	// Lock guards the Transporter and the state of its user.
	Lock  *sync.Mutex
	Clock zinniatide.Clock
	Timer timer.Timer
	Names Names
	// Dialled and Closed count connections; they may be nil.
	Dialled, Closed func()
}

// Transporter opens pools of connections.
type Transporter struct {
	d      Dependencies
	dialer net.Dialer
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Transporter.
func New(d Dependencies) *Transporter {
	if d.Dialled == nil {
		d.Dialled = func() {}
	}
	if d.Closed == nil {
		d.Closed = func() {}
	}
	t := &Transporter{d: d, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setSilenceTimeout}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// setSilenceTimeout has the kernel end a connection whose peer no longer
// acknowledges what is sent.
func setSilenceTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Close ends all dials. Pools are closed by their users.
func (t *Transporter) Close() { t.cancel() }

// Pool holds the connections to one process of a backend server.
type Pool struct {
	t       *Transporter
	address string
	server  zinniatide.BackendServerID
	limit   int
	// idleLimit is how long a connection is kept without use, 0 for as long as
	// the server allows.
	idleLimit zinniatide.Millis
	sweeping  bool
	idle      []*conn // used last at the end
	conns     int
	dialing   int
	waiting   []*Exchange
	closed    bool
}

// Pool returns an empty pool of at most limit connections to a process.
func (t *Transporter) Pool(server zinniatide.BackendServerID, address string, limit int) *Pool {
	return &Pool{t: t, address: address, server: server, limit: max(limit, 1)}
}

// SetLimit changes the number of connections and, unless idle is 0, how long
// one is kept without use. Connections beyond the limit close when idle.
func (p *Pool) SetLimit(limit int, idle zinniatide.Millis) {
	p.limit, p.idleLimit = max(limit, 1), idle
	for len(p.idle) > 0 && p.conns > p.limit {
		p.idle[0].close()
	}
}

// Warm opens connections until n are there.
func (p *Pool) Warm(n int) {
	for p.conns+p.dialing < min(n, p.limit) && !p.closed {
		p.dial()
	}
}

// Conns returns the number of open connections.
func (p *Pool) Conns() int { return p.conns }

// Close closes the idle connections. Exchanges under way go on.
func (p *Pool) Close() {
	p.closed = true
	for len(p.idle) > 0 {
		p.idle[len(p.idle)-1].close()
	}
	p.failWaiting()
}

// Send runs x on a connection, or queues it until one is free.
func (p *Pool) Send(x *Exchange) {
	x.pool = p
	now := p.t.d.Clock.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		allowed := c.idleFor
		if x.Exclusive {
			allowed = min(allowed, exclusiveIdle)
		}
		if now-c.used >= allowed {
			c.close()
			continue
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.start(x, now) {
			return
		}
	}
	if p.closed {
		x.Finish(Answer{Result: NotSent, Waiting: -1})
		return
	}
	p.waiting = append(p.waiting, x)
	if p.conns+p.dialing < p.limit && p.dialing < len(p.waiting) {
		p.dial()
	}
}

// forget removes an exchange that waits for a connection.
func (p *Pool) forget(x *Exchange) {
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
		nc, err := p.t.dialer.DialContext(p.t.ctx, "tcp", p.address)
		p.t.d.Lock.Lock()
		defer p.t.d.Lock.Unlock()
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
		p.t.d.Dialled()
		p.conns++
		c := newConn(p, nc)
		go c.read()
		p.ready(c)
	}()
}

// failWaiting ends the exchanges that wait, when no connection comes about.
// Those behind a busy connection go on waiting for it.
func (p *Pool) failWaiting() {
	if p.conns > 0 && !p.closed {
		return
	}
	waiting := p.waiting
	p.waiting = nil
	for _, x := range waiting {
		x.Finish(Answer{Result: NotSent, Waiting: -1})
	}
}

// ready gives a free connection to the next exchange, or keeps it.
func (p *Pool) ready(c *conn) {
	now := p.t.d.Clock.Now()
	c.used = now
	for len(p.waiting) > 0 && !c.dead {
		x := p.waiting[0]
		p.waiting = p.waiting[1:]
		if c.start(x, now) {
			return
		}
		p.waiting = append([]*Exchange{x}, p.waiting...)
	}
	if c.dead {
		return
	}
	if p.closed || p.conns > p.limit {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.planSweep()
}

// planSweep has connections closed that are no longer used.
func (p *Pool) planSweep() {
	if p.idleLimit == 0 || p.sweeping {
		return
	}
	p.sweeping = true
	p.t.d.Timer.After(p.idleLimit, func() {
		p.t.d.Lock.Lock()
		defer p.t.d.Lock.Unlock()
		p.sweeping = false
		now := p.t.d.Clock.Now()
		for len(p.idle) > 0 && p.idleLimit > 0 && now-p.idle[0].used >= p.idleLimit {
			p.idle[0].close()
		}
		if len(p.idle) > 0 {
			p.planSweep()
		}
	})
}

// remove takes a closed connection out of the pool.
func (p *Pool) remove(c *conn) {
	p.conns--
	p.t.d.Closed()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if len(p.waiting) > 0 && p.conns+p.dialing < p.limit && p.dialing < len(p.waiting) && !p.closed {
		p.dial()
	}
}

// Package connector keeps the connections to one backend server. It knows for
// every request whether a byte of it was written, and hands out no answer that
// does not belong to its request.
package connector

import (
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"zinniatide.example/zinniatide"
)

const (
	// connectTimeout bounds one connection attempt.
	connectTimeout zinniatide.Millis = 1000
	// The delay after failed attempts doubles up to maxRedial, with jitter of half.
	minRedial zinniatide.Millis = 50
	maxRedial zinniatide.Millis = 1000
	// silenceGrace is how long past its deadline an exchange may stay without
	// an answer before a fresh connection checks whether the server answers.
	silenceGrace zinniatide.Millis = 100
	// cancelTimeout is the deadline of a cancellation.
	cancelTimeout zinniatide.Millis = 500
	// maxCancels bounds the cancellations that wait for a connection.
	maxCancels = 64
	// tickInterval is the time to the next Tick while something waits for it.
	tickInterval zinniatide.Millis = 10
	// goneAfter failed connects in a row the server counts as gone.
	goneAfter = 2
)

// Dialer opens a connection. Address is IP:port.
type Dialer func(address string, timeout zinniatide.Millis) (net.Conn, error)

// Options are the dependencies and bounds of a Pool.
type Options struct {
	Address string
	// Limit is the most connections ever open, those being opened included.
	Limit int
	// Warm is how many connections are kept open.
	Warm   int
	Clock  zinniatide.Clock
	Random *rand.Rand // used under the pool's lock
	Dial   Dialer     // nil for TCP
	// Ready is called without locks when a connection has become free other
	// than by the end of an exchange.
	Ready func()
	// Wake, when set, asks for a Tick at a time or earlier. It is called under
	// the pool's lock.
	Wake func(at zinniatide.Millis)
}

// Pool is the connections to one backend server. It is safe for concurrent use.
type Pool struct {
	o       Options
	running sync.WaitGroup

	mu      sync.Mutex
	conns   []*conn
	idle    []*conn // the last one was used last
	dialing int
	closed  bool
	paused  bool
	cancels []*Exchange
	// failures counts connects that failed in a row, redialAt is the earliest
	// time of the next one.
	failures int
	redialAt zinniatide.Millis
	// probing is the exchange on whose behalf a fresh connection is being
	// tried since probeStart; nil when no connection is suspected.
	probing    *Exchange
	probeStart zinniatide.Millis
	probed     bool // the probe is on its way
}

// New returns a pool without connections. Tick opens them.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Pool{o: o}
}

func dialTCP(address string, timeout zinniatide.Millis) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout.Duration())
}

// Send writes x on a free connection without waiting. It returns false when no
// connection is free; no byte of x was written then and its handler is not called.
func (p *Pool) Send(x *Exchange) bool {
	now := p.o.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := !p.closed && !p.paused && p.send(x, now)
	p.wake(now)
	return sent
}

func (p *Pool) send(x *Exchange, now zinniatide.Millis) bool {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.start(x, now) {
			return true
		}
		c.closeLocked("")
	}
	return false
}

// Cancel asks the server to stop x. It does not wait, and does not free the
// connection of x.
func (p *Pool) Cancel(x *Exchange) {
	now := p.o.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.cancels) >= maxCancels || p.connOf(x) == nil {
		return
	}
	p.cancels = append(p.cancels, cancellation(x, now))
	p.sendCancels(now)
	p.wake(now)
}

func cancellation(x *Exchange, now zinniatide.Millis) *Exchange {
	return &Exchange{Request: x.Request, Deadline: now + cancelTimeout, cancel: true, target: x}
}

func (p *Pool) sendCancels(now zinniatide.Millis) {
	for len(p.cancels) > 0 {
		x := p.cancels[0]
		// A cancellation that comes after the end of its request could hit a
		// later attempt with the same id.
		wanted := x.Deadline > now && p.connOf(x.target) != nil
		if wanted && !p.send(x, now) {
			return
		}
		p.cancels = p.cancels[1:]
	}
}

// Free reports whether a connection is free.
func (p *Pool) Free() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && !p.paused && !p.closed
}

// Open returns the connections that are open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.dialing
}

// Gone reports whether there is no connection and the server takes none.
func (p *Pool) Gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) == 0 && p.failures >= goneAfter
}

// SetBounds changes the limit and the number of warm connections. Surplus idle
// connections are closed.
func (p *Pool) SetBounds(limit, warm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.o.Limit, p.o.Warm = limit, min(warm, limit)
	defer p.wake(p.o.Clock.Now())
	for len(p.idle) > 0 && len(p.conns)+p.dialing > limit {
		p.idle[0].closeLocked("")
	}
}

// Pause closes every connection and opens none until Resume. Exchanges that
// run end as lost.
func (p *Pool) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	p.closeAll()
}

// Resume ends a Pause.
func (p *Pool) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
	p.wake(p.o.Clock.Now())
}

// Close closes every connection for good.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAll()
}

// Wait waits for the pool's goroutines to end after Close.
func (p *Pool) Wait() { p.running.Wait() }

func (p *Pool) closeAll() {
	for _, c := range slices.Clone(p.conns) {
		c.closeLocked(zinniatide.CodeServerGone)
	}
	p.cancels = nil
	p.probing = nil
}

func (p *Pool) remove(c *conn) {
	defer p.wake(p.o.Clock.Now())
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
}

func (p *Pool) connOf(x *Exchange) *conn {
	for _, c := range p.conns {
		if c.current == x {
			return c
		}
	}
	return nil
}

// Tick opens connections ahead of need, sends waiting cancellations and closes
// connections that have gone silent.
func (p *Pool) Tick(now zinniatide.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.paused {
		return
	}
	p.sendCancels(now)
	p.watch(now)
	p.warm(now)
}

// Next returns when Tick has work that no call of Wake announces, at most limit.
func (p *Pool) Next(now, limit zinniatide.Millis) zinniatide.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(limit, p.next(now))
}

// next returns when Tick has work. The pool's lock is held.
func (p *Pool) next(now zinniatide.Millis) zinniatide.Millis {
	next := zinniatide.Millis(math.MaxInt64)
	switch {
	case p.closed || p.paused:
		return next
	case len(p.cancels) > 0 || p.probing != nil:
		return now + tickInterval
	case len(p.conns)+p.dialing < p.wanted():
		next = max(p.redialAt, now+tickInterval)
	}
	for _, c := range p.conns {
		if c.current != nil {
			next = min(next, max(c.current.Deadline+silenceGrace, now+tickInterval))
		}
	}
	return next
}

func (p *Pool) wake(now zinniatide.Millis) {
	if p.o.Wake != nil {
		p.o.Wake(p.next(now))
	}
}

// wanted is the number of connections to keep: Warm, and one more than are busy
// when the limit allows it.
func (p *Pool) wanted() int {
	return min(max(p.o.Warm, len(p.conns)-len(p.idle)+1), p.o.Limit)
}

// warm opens connections until as many as wanted are open.
func (p *Pool) warm(now zinniatide.Millis) {
	wanted := p.wanted()
	if now < p.redialAt {
		return
	}
	for len(p.conns)+p.dialing < wanted {
		p.dial()
		if p.failures > 0 {
			return // one attempt at a time until one succeeds
		}
	}
}

func (p *Pool) dial() {
	p.dialing++
	p.running.Add(1)
	go p.open()
}

// open connects and adds the connection to the pool.
func (p *Pool) open() {
	defer p.running.Done()
	nc, err := p.o.Dial(p.o.Address, connectTimeout)
	now := p.o.Clock.Now()
	p.mu.Lock()
	p.dialing--
	switch {
	case err != nil:
		p.failures++
		p.redialAt = now + p.redialDelay()
	case p.closed || p.paused || len(p.conns)+p.dialing >= p.o.Limit:
		_ = nc.Close()
	default:
		p.failures = 0
		c := newConn(p, nc)
		c.opened = now
		p.conns = append(p.conns, c)
		p.idle = append(p.idle, c)
		p.running.Add(1)
		go c.serve()
		p.probe(c, now)
	}
	p.wake(now)
	p.mu.Unlock()
	if p.o.Ready != nil {
		p.o.Ready()
	}
}

func (p *Pool) redialDelay() zinniatide.Millis {
	delay := min(minRedial<<min(p.failures-1, 10), maxRedial)
	if p.o.Random == nil {
		return delay
	}
	return delay/2 + zinniatide.Millis(p.o.Random.Int64N(int64(delay/2)+1))
}

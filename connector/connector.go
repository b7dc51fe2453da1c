// Package connector implements an HTTP/1.1 connection pool for one backend
// server. It tracks for each request whether any byte of it was written, and
// discards responses that do not match their request.
package connector

import (
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/answerreader"
)

const (
	// connectTimeout limits a single connection attempt.
	connectTimeout zinniatide.Millis = 1000
	// After each failed connection attempt the delay before the next one doubles,
	// from minReconnectDelay up to maxReconnectDelay. Jitter takes off up to half.
	minReconnectDelay zinniatide.Millis = 50
	maxReconnectDelay zinniatide.Millis = 1000
	// responseGracePeriod is how long after its deadline an exchange may lack a
	// response before the server is probed over a new connection.
	responseGracePeriod zinniatide.Millis = 100
	// cancelTimeout is the time to the deadline of a cancellation request.
	cancelTimeout zinniatide.Millis = 500
	// maxPendingCancels limits the cancellations that wait for a connection.
	maxPendingCancels = 64
	// tickInterval is the time between calls of Tick while work is pending.
	tickInterval zinniatide.Millis = 10
	// unreachableAfterFailures is the number of consecutive failed connection
	// attempts after which the server is considered unreachable.
	unreachableAfterFailures = 2
)

// Dialer opens a connection to address, which has the form IP:port.
type Dialer func(address string, timeout zinniatide.Millis) (net.Conn, error)

// Options are the dependencies and limits of a Pool.
type Options struct {
	Address string
	// MaxConns limits the connections, including those being opened.
	MaxConns int
	// MinConns is the number of connections kept open at all times.
	MinConns int
	Clock    zinniatide.Clock
	// AnswerBudget is the memory for large responses, shared by the pools of a VM.
	// If it is nil, the pool has a budget of its own.
	AnswerBudget *answerreader.Budget
	// Random provides the jitter of reconnect delays; nil disables jitter. It is
	// used only while the pool's lock is held.
	Random *rand.Rand
	// Dial defaults to TCP.
	Dial Dialer
	// OnDialDone is called after every connection attempt, whether or not it added
	// an idle connection. The pool's lock is not held. It is not called when an
	// exchange ends and its connection becomes idle again.
	OnDialDone func()
	// RequestTick, if not nil, requests a call of Tick no later than at. It is
	// called with the pool's lock held.
	RequestTick func(at zinniatide.Millis)
}

// Pool manages the connections to one backend server. It is safe for concurrent
// use. Its unexported methods require mu to be held, except for connect.
type Pool struct {
	options    Options
	goroutines sync.WaitGroup

	mu             sync.Mutex
	conns          []*conn
	idle           []*conn // least recently used first
	dialing        int
	closed         bool
	paused         bool
	pendingCancels []*Exchange
	// dialFailures is the number of consecutive failed connection attempts, and
	// nextDialAt the earliest time of the next attempt.
	dialFailures int
	nextDialAt   zinniatide.Millis
	// probedExchange is the overdue exchange because of which the server has been
	// probed since probeStartedAt. It is nil while no probe is in progress.
	probedExchange *Exchange
	probeStartedAt zinniatide.Millis
	probeSent      bool // the probe request has been written
}

// New returns an empty pool. Tick opens its connections.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.AnswerBudget == nil {
		o.AnswerBudget = answerreader.NewBudget(answerreader.DefaultBudgetBytes)
	}
	return &Pool{options: o}
}

func dialTCP(address string, timeout zinniatide.Millis) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout.Duration())
}

// TrySend writes x to an idle connection without blocking. It returns false if
// no connection is idle. In that case no byte of x was written, and the handler
// of x is not called.
func (p *Pool) TrySend(x *Exchange) bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := !p.closed && !p.paused && p.sendOnIdle(x, now)
	p.requestTick(now)
	return sent
}

// sendOnIdle writes x to the most recently used idle connection that accepts it.
// It reports false, with no byte of x written, if there is none.
func (p *Pool) sendOnIdle(x *Exchange, now zinniatide.Millis) bool {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.startExchange(x, now) {
			return true
		}
		c.closeLocked("")
	}
	return false
}

// Cancel asks the server to stop processing x. It does not block, and does not
// make the connection of x available.
func (p *Pool) Cancel(x *Exchange) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.pendingCancels) >= maxPendingCancels || p.connFor(x) == nil {
		return
	}
	p.pendingCancels = append(p.pendingCancels, newCancellation(x, now))
	p.sendPendingCancels(now)
	p.requestTick(now)
}

// newCancellation returns a request to cancel x.
func newCancellation(x *Exchange, now zinniatide.Millis) *Exchange {
	return &Exchange{Request: x.Request, Deadline: now + cancelTimeout, isCancellation: true, cancelTarget: x}
}

// sendPendingCancels sends cancellations in order while connections are idle.
func (p *Pool) sendPendingCancels(now zinniatide.Millis) {
	for len(p.pendingCancels) > 0 {
		x := p.pendingCancels[0]
		// A cancellation that arrives after its request has ended could cancel a
		// later attempt with the same request id.
		needed := x.Deadline > now && p.connFor(x.cancelTarget) != nil
		if needed && !p.sendOnIdle(x, now) {
			return
		}
		p.pendingCancels = p.pendingCancels[1:]
	}
}

// HasIdleConn reports whether a connection is idle and may be used.
func (p *Pool) HasIdleConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && !p.paused && !p.closed
}

// NumOpen returns the number of connections, including those being opened.
func (p *Pool) NumOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.dialing
}

// Unreachable reports whether the server is unreachable: no connection is open,
// and the last connection attempts have failed.
func (p *Pool) Unreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) == 0 && p.dialFailures >= unreachableAfterFailures
}

// SetConnLimits sets the maximum and minimum number of connections. Idle
// connections above the maximum are closed.
func (p *Pool) SetConnLimits(maxConns, minConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.MaxConns, p.options.MinConns = maxConns, min(minConns, maxConns)
	defer p.requestTick(p.options.Clock.Now())
	for len(p.idle) > 0 && len(p.conns)+p.dialing > maxConns {
		p.idle[0].closeLocked("")
	}
}

// Pause closes all connections and opens none until Resume is called. Exchanges
// in progress end with CodeServerGone and are not reported as crashed.
func (p *Pool) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	p.closeConns()
}

// Resume allows connections to be opened again after Pause.
func (p *Pool) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
	p.requestTick(p.options.Clock.Now())
}

// Close closes all connections. The pool can't be used afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeConns()
}

// Wait blocks until the pool's goroutines have ended. Call it after Close.
func (p *Pool) Wait() { p.goroutines.Wait() }

func (p *Pool) closeConns() {
	for _, c := range slices.Clone(p.conns) {
		c.closeLocked(zinniatide.CodeServerGone)
	}
	p.pendingCancels = nil
	p.probedExchange = nil
}

func (p *Pool) removeConn(c *conn) {
	defer p.requestTick(p.options.Clock.Now())
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
}

// connFor returns the connection on which x is in progress, or nil.
func (p *Pool) connFor(x *Exchange) *conn {
	for _, c := range p.conns {
		if c.current == x {
			return c
		}
	}
	return nil
}

// Tick sends pending cancellations, closes connections that no longer respond
// and opens connections ahead of demand.
func (p *Pool) Tick(now zinniatide.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.paused {
		return
	}
	p.sendPendingCancels(now)
	p.checkOverdue(now)
	p.openMissingConns(now)
}

// NextTick returns the time at which Tick next has work, or limit if that is
// earlier.
func (p *Pool) NextTick(now, limit zinniatide.Millis) zinniatide.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(limit, p.nextTick(now))
}

// nextTick returns the time at which Tick next has work, or math.MaxInt64 if it
// has none.
func (p *Pool) nextTick(now zinniatide.Millis) zinniatide.Millis {
	next := zinniatide.Millis(math.MaxInt64)
	switch {
	case p.closed || p.paused:
		return next
	case len(p.pendingCancels) > 0 || p.probedExchange != nil:
		return now + tickInterval
	case len(p.conns)+p.dialing < p.targetConns():
		next = max(p.nextDialAt, now+tickInterval)
	}
	for _, c := range p.conns {
		if c.current != nil {
			next = min(next, max(c.current.Deadline+responseGracePeriod, now+tickInterval))
		}
	}
	return next
}

// requestTick passes the time of the next Tick to Options.RequestTick.
func (p *Pool) requestTick(now zinniatide.Millis) {
	if p.options.RequestTick != nil {
		p.options.RequestTick(p.nextTick(now))
	}
}

// targetConns returns the number of connections to keep open: at least MinConns
// and one more than are in use, but no more than MaxConns.
func (p *Pool) targetConns() int {
	return min(max(p.options.MinConns, len(p.conns)-len(p.idle)+1), p.options.MaxConns)
}

// openMissingConns starts dialing until targetConns connections are open or being
// opened.
func (p *Pool) openMissingConns(now zinniatide.Millis) {
	target := p.targetConns()
	if now < p.nextDialAt {
		return
	}
	for len(p.conns)+p.dialing < target {
		p.startDial()
		if p.dialFailures > 0 {
			// After a failure, make one attempt at a time until one succeeds.
			return
		}
	}
}

func (p *Pool) startDial() {
	p.dialing++
	p.goroutines.Add(1)
	go p.connect()
}

// connect dials the server and adds the connection to the pool.
func (p *Pool) connect() {
	defer p.goroutines.Done()
	nc, err := p.options.Dial(p.options.Address, connectTimeout)
	now := p.options.Clock.Now()
	p.mu.Lock()
	p.dialing--
	switch {
	case err != nil:
		p.dialFailures++
		p.nextDialAt = now + p.reconnectDelay()
	case p.closed || p.paused || len(p.conns)+p.dialing >= p.options.MaxConns:
		_ = nc.Close()
	default:
		p.dialFailures = 0
		c := newConn(p, nc)
		c.openedAt = now
		p.conns = append(p.conns, c)
		p.idle = append(p.idle, c)
		p.goroutines.Add(1)
		go c.readLoop()
		p.sendProbe(c, now)
	}
	p.requestTick(now)
	p.mu.Unlock()
	if p.options.OnDialDone != nil {
		p.options.OnDialDone()
	}
}

// reconnectDelay returns the delay after the last of dialFailures failed attempts.
func (p *Pool) reconnectDelay() zinniatide.Millis {
	delay := min(minReconnectDelay<<min(p.dialFailures-1, 10), maxReconnectDelay)
	if p.options.Random == nil {
		return delay
	}
	return delay/2 + zinniatide.Millis(p.options.Random.Int64N(int64(delay/2)+1))
}

package connector

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// checkOverdue looks for exchanges without a response after their deadline. If there
// is one, the server is probed: a cancellation of the exchange is sent over a new
// connection. Once a new connection gets a response, older connections that are
// idle or overdue and have received nothing since the probe started are closed.
// The connection of an overdue exchange that was started MaxRequestTime ago or
// earlier is closed in any case.
func (p *Pool) checkOverdue(now zinniatide.Millis) {
	var overdue *conn
	// Iterate backwards, because closing a connection removes it from p.conns.
	for i := len(p.conns) - 1; i >= 0; i-- {
		c := p.conns[i]
		x := c.current
		switch {
		case x == nil || now < x.Deadline+responseGracePeriod:
		case now >= x.startedAt+zinniatide.MaxRequestTime:
			c.closeLocked(zinniatide.CodeServerGone)
		case overdue == nil:
			overdue = c
		}
	}
	if overdue == nil {
		p.probedExchange = nil
		return
	}
	// A probe that gets no response is repeated after cancelTimeout.
	if p.probedExchange != nil && now < p.probeStartedAt+cancelTimeout {
		return
	}
	p.startProbe(overdue, now)
}

// startProbe opens a new connection to probe the server because of the overdue
// exchange on c. If the pool is full, it first closes the least recently used idle
// connection, or does nothing if none is idle.
func (p *Pool) startProbe(c *conn, now zinniatide.Millis) {
	if len(p.conns)+p.dialing >= p.options.MaxConns {
		if len(p.idle) == 0 {
			return
		}
		p.idle[0].closeLocked("")
	}
	p.probedExchange, p.probeStartedAt, p.probeSent = c.current, now, false
	p.startDial()
}

// sendProbe sends the cancellation of the overdue exchange on c if c was opened after
// the probe started.
func (p *Pool) sendProbe(c *conn, now zinniatide.Millis) {
	if p.probedExchange == nil || p.probeSent || c.openedAt < p.probeStartedAt {
		return
	}
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	x := newCancellation(p.probedExchange, now)
	if c.startExchange(x, now) {
		p.probeSent = true
	} else {
		c.closeLocked("")
	}
}

// closeUnresponsive is called when a response arrives on responder. If responder was
// opened after the probe started, the server is responsive, so the older connections
// that are idle or overdue and have received nothing since are broken and are closed.
func (p *Pool) closeUnresponsive(responder *conn, now zinniatide.Millis) {
	if p.probedExchange == nil || !p.probeSent || responder.openedAt < p.probeStartedAt {
		return
	}
	for _, c := range slices.Clone(p.conns) {
		unresponsive := c.openedAt <= p.probeStartedAt && c.lastResponseAt < p.probeStartedAt
		overdue := c.current != nil && now >= c.current.Deadline+responseGracePeriod
		if unresponsive && (overdue || c.current == nil) {
			c.closeLocked(zinniatide.CodeServerGone)
		}
	}
	p.probedExchange = nil
}

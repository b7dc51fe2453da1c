package connector

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// watch looks for connections that have gone silent. An exchange past its
// deadline makes its connection suspect. A fresh connection then carries its
// cancellation; when that is answered, the suspect and all idle connections
// that have been silent since are closed. An exchange that outlasts
// MaxRequestTime is closed in any case.
func (p *Pool) watch(now zinniatide.Millis) {
	var overdue *conn
	// Backwards, because closing removes the connection.
	for i := len(p.conns) - 1; i >= 0; i-- {
		c := p.conns[i]
		x := c.current
		switch {
		case x == nil || now < x.Deadline+silenceGrace:
		case now >= x.started+zinniatide.MaxRequestTime:
			c.closeLocked(zinniatide.CodeServerGone)
		case overdue == nil:
			overdue = c
		}
	}
	if overdue == nil {
		p.probing = nil
		return
	}
	// A probe that got no answer either is repeated after cancelTimeout.
	if p.probing != nil && now < p.probeStart+cancelTimeout {
		return
	}
	p.suspect(overdue, now)
}

func (p *Pool) suspect(c *conn, now zinniatide.Millis) {
	if len(p.conns)+p.dialing >= p.o.Limit {
		if len(p.idle) == 0 {
			return
		}
		p.idle[0].closeLocked("")
	}
	p.probing, p.probeStart, p.probed = c.current, now, false
	p.dial()
}

// probe sends the cancellation of the suspected exchange on a fresh connection.
func (p *Pool) probe(c *conn, now zinniatide.Millis) {
	if p.probing == nil || p.probed || c.opened < p.probeStart {
		return
	}
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	x := cancellation(p.probing, now)
	if c.start(x, now) {
		p.probed = true
	} else {
		c.closeLocked("")
	}
}

// answered notes that the server has answered on from. If that is a fresh
// connection, those that were opened before the probe, and have yielded nothing
// since, are silent.
func (p *Pool) answered(from *conn, now zinniatide.Millis) {
	if p.probing == nil || !p.probed || from.opened < p.probeStart {
		return
	}
	for _, c := range slices.Clone(p.conns) {
		quiet := c.opened <= p.probeStart && c.heard < p.probeStart
		overdue := c.current != nil && now >= c.current.Deadline+silenceGrace
		if quiet && (overdue || c.current == nil) {
			c.closeLocked(zinniatide.CodeServerGone)
		}
	}
	p.probing = nil
}

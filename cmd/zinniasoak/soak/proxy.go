package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy stands between the system and one backend server and harms the
// connections.
type proxy struct {
	listener net.Listener
	target   string
	// delay holds each piece of bytes back; silent drops what comes from the
	// server, refuse closes new connections at once.
	delay  atomic.Int64
	silent atomic.Bool
	refuse atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = c.Close()
			continue
		}
		go p.join(c)
	}
}

func (p *proxy) join(c net.Conn) {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.pipe(s, c, false)
	p.pipe(c, s, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

func (p *proxy) pipe(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!answers || !p.silent.Load()) {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF { //nolint:errorlint // returned as it is
				p.resetOne(to)
			}
			return
		}
	}
}

// reset ends all connections without an orderly end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.resetOne(c)
		_ = c.Close()
	}
}

func (p *proxy) resetOne(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

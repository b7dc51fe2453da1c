package soak

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is a TCP proxy in front of one backend server that injects connection
// faults.
type proxy struct {
	listener net.Listener
	target   string
	// delay is the time in ns before each chunk is forwarded. dropResponses
	// discards data from the server. refuseNew closes new connections at once.
	// endless replaces data from the server by bytes without end, and secondCopies
	// sends it a second time, late.
	delay         atomic.Int64
	dropResponses atomic.Bool
	refuseNew     atomic.Bool
	endless       atomic.Bool
	secondCopies  atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuseNew.Load() {
			_ = c.Close()
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copyData(server, client, false)
	p.copyData(client, server, true)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) copyData(dst, src net.Conn, fromServer bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && (!fromServer || !p.dropResponses.Load()) {
			time.Sleep(time.Duration(p.delay.Load()))
			if fromServer && p.endless.Load() {
				writeEndless(dst)
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
			if fromServer && p.secondCopies.Load() {
				time.Sleep(secondCopyDelay)
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if err != io.EOF { //nolint:errorlint // net.Conn returns io.EOF unwrapped
				p.disableLinger(dst)
			}
			return
		}
	}
}

// secondCopyDelay is longer than most requests take, so that the connection is
// often in use again when the second copy arrives.
const secondCopyDelay = 8 * time.Millisecond

// writeEndless writes interim answers until the caller closes the connection.
func writeEndless(dst net.Conn) {
	block := bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"), 512)
	for {
		if _, err := dst.Write(block); err != nil {
			return
		}
	}
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.disableLinger(c)
		_ = c.Close()
	}
}

// disableLinger makes the next Close of c send a TCP reset instead of a FIN.
func (p *proxy) disableLinger(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConnections()
}

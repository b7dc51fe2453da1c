package emulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultListener counts connections, closes those in excess of the limit, and can
// make open connections unresponsive.
type faultListener struct {
	net.Listener
	limit  int
	counts *Counts

	mu    sync.Mutex
	conns map[*faultConn]struct{}
}

func newFaultListener(inner net.Listener, limit int, counts *Counts) *faultListener {
	return &faultListener{Listener: inner, limit: limit, counts: counts, conns: make(map[*faultConn]struct{})}
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit registers a new connection. It returns nil if the limit is reached.
func (l *faultListener) admit(inner net.Conn) *faultConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		l.counts.BeyondLimit.Add(1)
		return nil
	}
	c := &faultConn{Conn: inner, listener: l, closed: make(chan struct{}), opened: time.Now()}
	l.conns[c] = struct{}{}
	if n := int64(len(l.conns)); n > l.counts.MaxConnections.Load() {
		l.counts.MaxConnections.Store(n)
	}
	return c
}

func (l *faultListener) silenceAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// closeAll stops listening and resets all connections.
func (l *faultListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	conns := make([]*faultConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // send RST, as when a process with unread data exits
		}
		_ = c.Close()
	}
}

// faultConn is a connection that can become silent: reads block and writes are
// discarded, but the connection stays open.
type faultConn struct {
	net.Conn
	listener *faultListener
	opened   time.Time
	used     atomic.Bool
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

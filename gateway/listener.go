package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// limitListener limits the number of open connections. A connection over the
// limit gets a refusal with the same JSON body as every other refusal, and is
// closed.
type limitListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	refused  prometheus.Counter
	response []byte
}

const (
	// refusalWriteTimeout limits the write of a refusal, because the next Accept
	// waits for it. The response fits into the send buffer of the socket, so the
	// write normally does not block.
	refusalWriteTimeout = 100 * time.Millisecond
	// acceptRetryDelay is the delay before the next attempt after a temporary
	// accept error, such as running out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

func newLimitListener(listener net.Listener, limit int, refused prometheus.Counter) *limitListener {
	refusal := zinniatide.Refuse(zinniatide.CodeOverloaded, "%d connections are open", limit)
	body, _ := json.Marshal(refusalBody{Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message})
	response := fmt.Appendf(nil, "HTTP/1.1 %d Too Many Requests\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		httpStatus(refusal.Code), len(body), body)
	return &limitListener{Listener: listener, limit: int64(limit), refused: refused, response: response}
}

// Accept implements net.Listener. It retries when file descriptors run out or the
// peer has aborted the connection, because an error would end the HTTP server.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Inc()
		_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = conn.Write(l.response)
		_ = conn.Close()
	}
}

// limitConn frees its slot in the limit of the listener on the first Close.
type limitConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

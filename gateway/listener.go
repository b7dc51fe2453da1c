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

// boundedListener bounds the open connections. The connections beyond get a
// refusal in the form of all others.
type boundedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused prometheus.Counter
	answer  []byte
}

const (
	// refuseTimeout bounds the write of a refusal, which delays the next
	// accept. The answer fits the socket's buffer, so it does not block.
	refuseTimeout = 100 * time.Millisecond
	// acceptPause spaces attempts while the process has no file descriptors.
	acceptPause = 20 * time.Millisecond
)

func newBoundedListener(listener net.Listener, limit int, refused prometheus.Counter) *boundedListener {
	refusal := zinniatide.Refuse(zinniatide.CodeOverloaded, "%d connections are open", limit)
	body, _ := json.Marshal(refusalBody{Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message})
	answer := fmt.Appendf(nil, "HTTP/1.1 %d Too Many Requests\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		StatusOf(refusal.Code), len(body), body)
	return &boundedListener{Listener: listener, limit: int64(limit), refused: refused, answer: answer}
}

// Accept implements net.Listener. Running out of file descriptors is not the
// end of the listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &boundedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Inc()
		_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = conn.Write(l.answer)
		_ = conn.Close()
	}
}

type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

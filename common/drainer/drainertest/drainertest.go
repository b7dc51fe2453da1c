// Package drainertest checks that a server answers the requests that it accepted
// before it stopped.
package drainertest

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	callers = 16
	// answersBeforeStop is the number of answers after which the server is stopped.
	answersBeforeStop = 200
	// timeout only ends a test that would otherwise hang.
	timeout = 10 * time.Second
)

// Listener counts the connections that were accepted.
type Listener struct {
	*net.TCPListener
	accepted atomic.Int64
}

// Listen returns a Listener on loopback.
func Listen(t testing.TB) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// CutRequests sends request on new connections to the server behind l, calls stop
// under this load, and returns how many accepted requests got no answer, and how
// many were answered. A connection that the kernel completes while the listener
// closes was not accepted; its caller sees a reset and may send any request again.
func (l *Listener) CutRequests(request string, stop func()) (cut, answered int64) {
	var dialled, unanswered, answers atomic.Int64
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return // the listener has closed
				}
				dialled.Add(1)
				if !exchange(c, request) {
					unanswered.Add(1)
					return
				}
				answers.Add(1)
			}
		})
	}
	for answers.Load() < answersBeforeStop {
		time.Sleep(time.Millisecond)
	}
	stop()
	running.Wait()
	return unanswered.Load() - (dialled.Load() - l.accepted.Load()), answers.Load()
}

// exchange sends a request and reports whether an answer came. It closes c.
func exchange(c net.Conn, request string) bool {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	if _, err := c.Write([]byte(request)); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

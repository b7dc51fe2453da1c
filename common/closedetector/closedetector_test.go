package closedetector

import (
	"net"
	"testing"
	"time"
)

// Guards against orders of operators who have hung up, and against taking data from
// the connection of one who has not.
func TestPeerClosed(t *testing.T) {
	for name, row := range map[string]struct {
		act  func(*net.TCPConn)
		want bool
	}{
		"open":       {func(*net.TCPConn) {}, false},
		"data":       {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }, false},
		"closed":     {func(c *net.TCPConn) { _ = c.Close() }, true},
		"reset":      {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
		"half close": {func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			s, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			row.act(c.(*net.TCPConn))
			for until := time.Now().Add(5 * time.Second); PeerClosed(s) != row.want && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			if got := PeerClosed(s); got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
			if name == "data" {
				var b [1]byte
				if n, err := s.Read(b[:]); n != 1 || err != nil || b[0] != 'x' {
					t.Errorf("got %d bytes, %v, want the data that was sent", n, err)
				}
			}
		})
	}
}

package linker

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

func newHandshakeTest(tb testing.TB) (*Linker, *clock.Clock) {
	tb.Helper()
	manual := clock.NewManual(1000, 0)
	l, err := New(Config{Self: "b", Process: 1, ListenAddress: "127.0.0.1:0"}, manual, prometheus.NewRegistry())
	if err != nil {
		tb.Fatal(err)
	}
	return l, manual
}

// Guards against connections that are closed in another order than that of their
// acceptance, closed again at each tick, or kept after their end, when connections
// without a hello come, go and are answered in any order.
func TestHandshakesEndInOrderOfAcceptance(t *testing.T) {
	l, manual := newHandshakeTest(t)
	random := rand.New(rand.NewPCG(1, 2))
	var waiting []*queuedConn // the connections to be kept, oldest first
	remove := func(c *queuedConn) {
		waiting = slices.DeleteFunc(waiting, func(other *queuedConn) bool { return other == c })
	}
	for step := range 20_000 {
		switch {
		case random.IntN(10) < 6 || len(waiting) == 0:
			if len(waiting) == maxHandshakes {
				waiting = waiting[1:]
			}
			c := &queuedConn{}
			l.server.OnOpen(c)
			waiting = append(waiting, c)
		case random.IntN(3) == 0: // a VM that is to be dialled back
			c := waiting[random.IntN(len(waiting))]
			hs := c.context.(*handshake)
			if !l.server.claimHandshake(hs) {
				t.Fatalf("step %d: a waiting connection was chosen to be closed", step)
			}
			l.server.returnHandshake(hs)
		case random.IntN(20) == 0:
			c := waiting[random.IntN(len(waiting))]
			l.server.OnClose(c, nil)
			remove(c)
		default:
			manual.Advance(zinniatide.Millis(random.IntN(3)))
			l.server.closeOverdueHandshakes(manual.Now())
			for len(waiting) > 0 && manual.Now()-waiting[0].context.(*handshake).acceptedAt >= zinniatide.LinkSilenceTimeout {
				if got := waiting[0].closes; got != 1 {
					t.Fatalf("step %d: got an overdue connection closed %d times, want once", step, got)
				}
				l.server.OnClose(waiting[0], nil)
				waiting = waiting[1:]
			}
		}
		for _, c := range waiting {
			if c.closes != 0 {
				t.Fatalf("step %d: got a connection closed that is neither the oldest nor overdue", step)
			}
		}
	}
	manual.Advance(zinniatide.LinkSilenceTimeout)
	for range 3 { // the closes take effect later
		l.server.closeOverdueHandshakes(manual.Now())
	}
	for _, c := range waiting {
		if got := c.closes; got != 1 {
			t.Fatalf("got an overdue connection closed %d times, want once", got)
		}
		l.server.OnClose(c, nil)
	}
	if l.server.closeOverdueHandshakes(manual.Now()) {
		t.Error("got connections that wait after all have ended, want none")
	}
}

// BenchmarkAcceptAboveLimit measures the time of one more connection when the limit of
// connections without a hello is reached.
func BenchmarkAcceptAboveLimit(b *testing.B) {
	l, _ := newHandshakeTest(b)
	for range maxHandshakes {
		l.server.OnOpen(&queuedConn{})
	}
	for b.Loop() {
		l.server.OnOpen(&queuedConn{})
	}
}

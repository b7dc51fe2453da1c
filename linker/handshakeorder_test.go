package linker

import (
	"net"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// queuedConn is a connection whose close takes effect later, as in gnet, where it is a
// task of the event loop.
type queuedConn struct {
	upgradeConn
	context any
	closes  int
}

func (c *queuedConn) Context() any           { return c.context }
func (c *queuedConn) SetContext(context any) { c.context = context }
func (c *queuedConn) RemoteAddr() net.Addr   { return nil }
func (c *queuedConn) Close() error           { c.closes++; return nil }
func (c *queuedConn) OutboundBuffered() int  { return 0 }

// Guards against a connection that becomes a link although it was already chosen to be
// closed for a newer one: its link ends right after it was established, and calls on it
// are lost.
func TestConnectionChosenForClosingBecomesNoLink(t *testing.T) {
	for name, row := range map[string]struct {
		newer      int
		wantLinked bool
	}{"chosen": {maxHandshakes, false}, "room is left": {maxHandshakes - 1, true}} {
		t.Run(name, func(t *testing.T) {
			l, err := New(Config{Self: "b", Process: 1, ListenAddress: "127.0.0.1:0"}, clock.NewManual(1000, 0), prometheus.NewRegistry())
			if err != nil {
				t.Fatal(err)
			}
			sound := &queuedConn{}
			l.server.OnOpen(sound)
			for range row.newer {
				l.server.OnOpen(&queuedConn{})
			}
			message, err := encodeHello(hello{VM: "a", Process: 1, VersionMin: 1, VersionMax: protocolVersion, Address: "127.0.0.1:1"}, true)
			if err != nil {
				t.Fatal(err)
			}
			sound.context.(*handshake).upgraded = true
			sound.sliceReader = sliceReader{message}
			// The hello arrives before the queued close is carried out.
			action := l.server.OnTraffic(sound)
			_, linked := sound.context.(*link)
			if got := linked; got != row.wantLinked {
				t.Errorf("got a link: %t, want %t", got, row.wantLinked)
			}
			if got, want := sound.closes > 0 || action == gnet.Close, !row.wantLinked; got != want {
				t.Errorf("got the connection closed: %t, want %t", got, want)
			}
			if got, want := l.Connected("a"), row.wantLinked; got != want {
				t.Errorf("got VM a connected: %t, want %t", got, want)
			}
			if got, want := sound.written > 0, row.wantLinked; got != want {
				t.Errorf("got an answer to the hello: %t, want %t", got, want)
			}
		})
	}
}

// Guards against a connection that its peer has given up, and whose hello was delayed,
// that replaces the newer link of the same process. Calls on that link are lost.
func TestDelayedHelloReplacesNoNewerLink(t *testing.T) {
	l, err := New(Config{Self: "b", Process: 1, ListenAddress: "127.0.0.1:0"}, clock.NewManual(1000, 0), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	connect := func(process zinniatide.ProcessID, dial uint64) *queuedConn {
		t.Helper()
		c := &queuedConn{}
		l.server.OnOpen(c)
		message, err := encodeHello(hello{VM: "a", Process: process, VersionMin: 1, VersionMax: protocolVersion, Address: "127.0.0.1:1", Dial: dial}, true)
		if err != nil {
			t.Fatal(err)
		}
		c.context.(*handshake).upgraded = true
		c.sliceReader = sliceReader{message}
		if l.server.OnTraffic(c) == gnet.Close {
			l.server.OnClose(c, nil)
		}
		return c
	}
	linked := func(c *queuedConn) bool {
		lk, ok := c.context.(*link)
		return ok && l.linkTo("a") == lk
	}
	newer := connect(1, 2)
	if delayed := connect(1, 1); linked(delayed) || !linked(newer) {
		t.Error("got the link of a delayed hello, want that of the newer connection")
	}
	if redialled := connect(1, 3); !linked(redialled) {
		t.Error("got no link of a newer dial, want one")
	}
	if old := connect(1, 0); !linked(old) {
		t.Error("got no link of a peer that does not number its dials, want one")
	}
	l.dropLink(l.linkTo("a"), "connection closed", nil)
	if again := connect(2, 1); !linked(again) {
		t.Error("got no link of another process whose dials count from 1, want one")
	}
}

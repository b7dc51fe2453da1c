package linker

import (
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// Guards against call deadlines, pings and silence that are noticed late because
// the tick sleeps, and against ticks for calls that have ended.
func TestTickIsDue(t *testing.T) {
	c := clock.NewManual(0, 0)
	l, err := New(Config{Self: "a", ListenAddress: "127.0.0.1:0"}, c, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	k := newLink(l, "b", 1)
	k.transport = &memoryTransport{}
	if err := l.install(k); err != nil {
		t.Fatal(err)
	}
	want := func(name string, due zinniatide.Millis) {
		t.Helper()
		if got := l.tick(); got != due {
			t.Errorf("%s: the next tick is due at %d, want %d", name, got, due)
		}
	}
	want("ping", zinniatide.LinkPingInterval)
	var ended [2]error
	l.Call("b", 9, "x", 100, func(_ []byte, err error) { ended[0] = err })
	l.Call("b", 9, "x", 120, func(_ []byte, err error) { ended[1] = err })
	want("deadline of a call", 100)
	k.finish(&frameHeader{Kind: 9, Reply: true, Call: 1}, []byte{0})
	want("deadline of a call after another has ended", 120)
	c.Advance(120)
	want("ping after a timeout", zinniatide.LinkPingInterval)
	if ended[0] != nil || !errors.Is(ended[1], zinniatide.ErrTimeout) {
		t.Errorf("calls ended with %v, want a reply and a timeout", ended)
	}
	c.Advance(zinniatide.LinkPingInterval - 120)
	want("second ping", 2*zinniatide.LinkPingInterval)
	// A peer that has just been heard needs no ping yet.
	c.Advance(zinniatide.LinkPingInterval - 100)
	k.received.Store(int64(c.Now()))
	c.Advance(100)
	written := len(k.out)
	want("ping after a message", 3*zinniatide.LinkPingInterval-100)
	if got := len(k.out); got != written {
		t.Errorf("got %d bytes queued for a peer that was just heard, want none", got-written)
	}
	c.Advance(zinniatide.LinkSilenceTimeout - 100)
	l.tick()
	if l.Connected("b") {
		t.Error("a silent link is still up")
	}
}

package linker

import (
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// Guards against call timeouts, pings and silent peers that are handled late
// because the next tick is scheduled too late, and against ticks for calls that
// have already ended.
func TestNextTickTime(t *testing.T) {
	c := clock.NewManual(0, 0)
	l, err := New(Config{Self: "a", ListenAddress: "127.0.0.1:0"}, c, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	lk := newLink(l, "b", 1)
	lk.transport = &memoryTransport{}
	if err := l.installLink(lk); err != nil {
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
	lk.completeCall(&frameHeader{Kind: 9, Reply: true, Call: 1}, []byte{0})
	want("deadline of a call after another has ended", 120)
	c.Advance(120)
	want("ping after a timeout", zinniatide.LinkPingInterval)
	if ended[0] != nil || !errors.Is(ended[1], zinniatide.ErrTimeout) {
		t.Errorf("calls ended with %v, want a reply and a timeout", ended)
	}
	c.Advance(zinniatide.LinkPingInterval - 120)
	want("second ping", 2*zinniatide.LinkPingInterval)
	// A peer that has just sent data needs no ping yet.
	c.Advance(zinniatide.LinkPingInterval - 100)
	lk.lastReceived.Store(int64(c.Now()))
	c.Advance(100)
	written := len(lk.queue)
	want("ping after a message", 3*zinniatide.LinkPingInterval-100)
	if got := len(lk.queue); got != written {
		t.Errorf("got %d bytes queued for a peer that has just sent data, want none", got-written)
	}
	c.Advance(zinniatide.LinkSilenceTimeout - 100)
	l.tick()
	if l.Connected("b") {
		t.Error("silent link is still open")
	}
}

package dispatcher

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// refuse answers a request as a server does that did not run it.
func refuse(ctx *fasthttp.RequestCtx, header, value string) {
	ctx.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set("X-Outcome", string(zinniatide.OutcomeNotRun))
	ctx.Response.Header.Set(header, value)
}

// Guards against work for a server that has said in an answer that it is leaving,
// until a new process serves at its address.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	h, b, s := newWarmHost(t)
	b.setHook(func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set("Server-Leaving", "1") })
	got := make(results, 8)
	h.dispatcher.Dispatch(h.request("first", 1000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
	for n := range 3 {
		h.setServers(announcementOf(b)) // a late announcement that it is ready
		h.clock.Advance(TickInterval)
		h.dispatcher.Tick()
		h.dispatcher.Dispatch(h.request(fmt.Sprint("r", n), 1000), got.done)
		got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeShed)
	}
	if got := b.starts.Load(); got != 1 {
		t.Errorf("got %d requests at the leaving server, want 1", got)
	}
	b.setHook(func(*fasthttp.RequestCtx) {})
	b.incarnation.Store(2)
	h.setServers(announcementOf(b))
	h.clock.Advance(TickInterval)
	h.dispatcher.Tick()
	s.mu.Lock()
	code := s.refusalCode(h.clock.Now())
	s.mu.Unlock()
	if code != "" {
		t.Errorf("got %q for a new process, want that it may get requests", code)
	}
}

// Guards against requests to a server that has asked for a pause, among them those
// that were queued for it.
func TestPausedServerIsLeftAlone(t *testing.T) {
	h, b, _ := newWarmHost(t)
	hold := make(chan struct{})
	b.setHook(func(ctx *fasthttp.RequestCtx) {
		<-hold
		refuse(ctx, "Retry-After", "2.5")
	})
	got := make(results, 16)
	for n := range 4 { // two slots, so two are queued
		h.dispatcher.Dispatch(h.request(fmt.Sprint("first", n), 5000), got.done)
	}
	close(hold)
	for range 4 {
		got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeShed)
	}
	if got := b.starts.Load(); got > 2 {
		t.Errorf("got %d requests at the server, want the two that were sent before its answer", got)
	}
	started := b.starts.Load()
	b.setHook(func(*fasthttp.RequestCtx) {})
	for range 24 {
		h.clock.Advance(100)
		h.dispatcher.Tick()
		h.dispatcher.Dispatch(h.request(fmt.Sprint("r", h.clock.Now()), 5000), got.done)
		got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeShed)
	}
	if got := b.starts.Load(); got != started {
		t.Errorf("got %d requests during the pause, want none", got-started)
	}
	h.clock.Advance(200)
	h.dispatcher.Dispatch(h.request("after", 5000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
}

package dispatcher

import (
	"fmt"
	"maps"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

type results chan zinniatide.SubResult

func (r results) done(result zinniatide.SubResult) { r <- result }

func (r results) want(t *testing.T, outcome zinniatide.Outcome, code zinniatide.Code) zinniatide.SubResult {
	t.Helper()
	select {
	case got := <-r:
		if got.Outcome != outcome || got.Code != code {
			t.Errorf("got %v %q, want %v %q", got.Outcome, got.Code, outcome, code)
		}
		return got
	case <-time.After(5 * time.Second):
		t.Fatalf("no result, want %v %q", outcome, code)
	}
	return zinniatide.SubResult{}
}

// newWarmHost returns a host with one server that has no rate limit.
func newWarmHost(t *testing.T) (*host, *backend, *server) {
	b := newBackend(t)
	h := newHost(t, "a", clock.NewManual(10_000, 0))
	h.setServers(announcementOf(b))
	return h, b, h.connectedServer(t)
}

// blockAnswers makes b delay its answers until the returned function is called.
func blockAnswers(t *testing.T, b *backend) (release func()) {
	hold := make(chan struct{})
	b.setHook(func(*fasthttp.RequestCtx) { <-hold })
	released := false
	release = func() {
		if !released {
			released = true
			close(hold)
		}
	}
	t.Cleanup(release)
	return release
}

// TestRefusals guards against sending a request that the configuration, the
// lease or the server forbids, and against refusing one after a byte was sent.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *host, b *backend, r *zinniatide.SubRequest)
		code   zinniatide.Code
	}{
		{"unknown server", func(_ *host, _ *backend, r *zinniatide.SubRequest) { r.Server = "b2" }, zinniatide.CodeNotOwner},
		{"other owner", func(h *host, _ *backend, _ *zinniatide.SubRequest) {
			h.configuration.Store(configurationOf(2, "b", ""))
		}, zinniatide.CodeNotOwner},
		{"other incarnation", func(h *host, _ *backend, _ *zinniatide.SubRequest) {
			c := configurationOf(2, "a", "")
			for i := range c.Buckets[testZone] {
				c.Buckets[testZone][i].OwnerProcess = 2
			}
			h.configuration.Store(c)
		}, zinniatide.CodeNotOwner},
		{"bucket in handover", func(h *host, _ *backend, _ *zinniatide.SubRequest) {
			h.configuration.Store(configurationOf(2, "a", "b"))
		}, zinniatide.CodeNotOwner},
		{"zone out", func(h *host, _ *backend, _ *zinniatide.SubRequest) {
			c := configurationOf(2, "a", "")
			c.AvailabilityZones = map[zinniatide.ZoneID]zinniatide.StateSetting{testZone: {State: zinniatide.StateOut}}
			h.configuration.Store(c)
		}, zinniatide.CodeNotServing},
		{"server leaving", func(h *host, _ *backend, _ *zinniatide.SubRequest) {
			c := configurationOf(2, "a", "")
			c.BackendServers = map[zinniatide.BackendServerID]zinniatide.StateSetting{"b1": {State: zinniatide.StateLeaving}}
			h.configuration.Store(c)
		}, zinniatide.CodeNotServing},
		{"service removed", func(h *host, _ *backend, _ *zinniatide.SubRequest) {
			c := configurationOf(2, "a", "")
			c.Services = nil
			h.configuration.Store(c)
		}, zinniatide.CodeUnknownService},
		{"lease over", func(h *host, _ *backend, _ *zinniatide.SubRequest) { h.lease.Store(10_000) }, zinniatide.CodeNotServing},
		{"draining", func(h *host, b *backend, _ *zinniatide.SubRequest) {
			a := announcementOf(b)
			a.Draining = true
			h.setServers(a)
			h.dispatcher.Tick()
		}, zinniatide.CodeShed},
		{"server no longer in the catalog", func(h *host, _ *backend, _ *zinniatide.SubRequest) { h.setServers(); h.dispatcher.Tick() }, zinniatide.CodeNotOwner},
		{"header injection", func(_ *host, _ *backend, r *zinniatide.SubRequest) { r.RequestID = "a\r\nb: c" }, zinniatide.CodeBadRequest},
		{"deadline passed", func(_ *host, _ *backend, r *zinniatide.SubRequest) { r.Deadline = 10_000 }, zinniatide.CodeDeadlinePassed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, b, _ := newWarmHost(t)
			r := h.request("r", 1000)
			tt.change(h, b, &r)
			got := make(results, 2)
			cancel := h.dispatcher.Dispatch(r, got.done)
			cancel() // must not cause a second result
			got.want(t, zinniatide.OutcomeNotRun, tt.code)
			if n := b.starts.Load(); n != 0 || len(got) != 0 {
				t.Errorf("got %d starts and %d more results, want none", n, len(got))
			}
		})
	}
}

// TestSlots guards against running more requests on a server than it has slots,
// also after a cancellation and a timeout, and against lost or duplicate results.
func TestSlots(t *testing.T) {
	h, b, s := newWarmHost(t)
	release := blockAnswers(t, b)
	var got [5]results
	var cancel [5]func()
	for i := range got {
		got[i] = make(results, 2)
		// Later requests have earlier deadlines, so the queue reverses their order.
		cancel[i] = h.dispatcher.Dispatch(h.request(fmt.Sprint("r", i), zinniatide.Millis(1000-i*100)), got[i].done)
		if i == 1 {
			// Wait until both connections are open. Otherwise a later request with
			// an earlier deadline could start before this one.
			eventually(t, "two starts", func() bool { return b.starts.Load() == 2 })
		}
	}
	cancel[0]()
	got[0].want(t, zinniatide.OutcomeUnknown, zinniatide.CodeCancelled)
	cancel[2]()
	got[2].want(t, zinniatide.OutcomeNotRun, zinniatide.CodeCancelled)
	eventually(t, "the cancellation", func() bool { return b.cancels.Load() == 1 })
	h.clock.Advance(900)
	h.dispatcher.Tick()
	got[1].want(t, zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed)
	got[3].want(t, zinniatide.OutcomeNotRun, zinniatide.CodeDeadlinePassed)
	got[4].want(t, zinniatide.OutcomeNotRun, zinniatide.CodeDeadlinePassed)
	last := make(results, 2)
	h.dispatcher.Dispatch(h.request("r5", 5000), last.done)
	h.dispatcher.Tick()
	if n := b.starts.Load(); n != 2 || s.slots.InUse() != 2 {
		t.Errorf("got %d starts and %d slots taken, want 2 and 2", n, s.slots.InUse())
	}
	release()
	if r := last.want(t, zinniatide.OutcomeDone, ""); string(r.Body) != `{"q":1}` {
		t.Errorf("got body %s", r.Body)
	}
	for i := range got {
		cancel[i]()
		if len(got[i]) != 0 {
			t.Errorf("got a second result for request %d", i)
		}
	}
	eventually(t, "free slots", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.slots.InUse() == 0 })
}

// TestReportedLoad guards against a reported load that leaves out the request
// that has just ended. A server with all slots busy then appears to have a free
// slot, and admission control lowers its limit so far that slots stay idle under
// overload.
func TestReportedLoad(t *testing.T) {
	h, b, _ := newWarmHost(t)
	release := blockAnswers(t, b)
	done := make(results, 3)
	for i := range 3 {
		h.dispatcher.Dispatch(h.request(fmt.Sprint("r", i), 1000), done.done)
	}
	eventually(t, "two starts", func() bool { return b.starts.Load() == 2 })
	release()
	// Results from two connections can arrive in a different order than the
	// requests ended, so compare the loads without regard to their order.
	got := map[[2]uint16]int{}
	for range 3 {
		r := done.want(t, zinniatide.OutcomeDone, "")
		got[[2]uint16{r.InFlight, r.Queued}]++
	}
	if want := map[[2]uint16]int{{2, 1}: 1, {2, 0}: 1, {1, 0}: 1}; !maps.Equal(got, want) {
		t.Errorf("got loads %v of in flight and queued, want %v", got, want)
	}
}

// TestExecuteConnectionLost guards against running a non-idempotent request a
// second time after its connection was lost, and against not reporting the crash.
func TestExecuteConnectionLost(t *testing.T) {
	h, b, _ := newWarmHost(t)
	b.setHook(func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	})
	got := make(results, 2)
	r := h.request("r", 1000)
	r.Operation = zinniatide.OperationExecute
	h.dispatcher.Dispatch(r, got.done)
	if result := got.want(t, zinniatide.OutcomeUnknown, zinniatide.CodeServerGone); !result.Crashed {
		t.Error("got no report of the crash")
	}
	for range 5 {
		h.clock.Advance(TickInterval)
		h.dispatcher.Tick()
	}
	if n := b.starts.Load(); n != 1 || len(got) != 0 {
		t.Errorf("got %d starts and %d more results, want 1 and 0", n, len(got))
	}
}

// TestLeaseCapsDeadline guards against work that outlasts the owner's lease: the
// deadline sent to the server must not exceed the lease, and the connections must
// be closed when the lease ends.
func TestLeaseCapsDeadline(t *testing.T) {
	h, b, s := newWarmHost(t)
	sentDeadline := make(chan string, 1)
	hold := make(chan struct{})
	defer close(hold)
	b.setHook(func(ctx *fasthttp.RequestCtx) {
		sentDeadline <- string(ctx.Request.Header.Peek("X-Deadline-Ms"))
		<-hold
	})
	h.lease.Store(10_300)
	got := make(results, 2)
	h.dispatcher.Dispatch(h.request("r", 1000), got.done)
	if remaining := <-sentDeadline; remaining != "300" {
		t.Errorf("got a deadline of %s ms, want 300", remaining)
	}
	h.clock.Advance(300)
	h.dispatcher.Tick()
	got.want(t, zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed)
	if s.pool.HasIdleConn() {
		t.Error("got an idle connection without a lease, want none")
	}
	// A dial that was in progress counts as open until it ends; its connection is
	// then closed unused.
	eventually(t, "end of all connections without a lease", func() bool {
		h.dispatcher.Tick()
		return s.pool.NumOpen() == 0
	})
	h.lease.Store(1 << 40)
	h.dispatcher.Tick()
	eventually(t, "connections again", s.pool.HasIdleConn)
}

// TestSlowServerRecovers guards against never sending a request to a server
// again because its latency once exceeded all deadlines.
func TestSlowServerRecovers(t *testing.T) {
	h, b, s := newWarmHost(t)
	s.detector.RecordSuccess(60_000, true)
	got := make(results, 2)
	h.dispatcher.Dispatch(h.request("r", 1000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
	if n := b.starts.Load(); n != 1 {
		t.Errorf("got %d starts, want 1", n)
	}
}

// TestOverloadReportWithholdsSlot guards against a load report that gives a
// server more work or stops all work for it.
func TestOverloadReportWithholdsSlot(t *testing.T) {
	h, b, s := newWarmHost(t)
	release := blockAnswers(t, b)
	a := announcementOf(b)
	older := a
	older.Incarnation, older.Load.Queue = 0, 4
	h.dispatcher.Observe(older)
	if got := s.slots.Limit(h.clock.Now()); got != 2 {
		t.Errorf("got %d slots after the report of an older process, want 2", got)
	}
	a.Load = zinniatide.LoadReport{Busy: 9, Queue: 4}
	h.dispatcher.Observe(a)
	got := make(results, 4)
	for i := range 3 {
		h.dispatcher.Dispatch(h.request("r"+strconv.Itoa(i), 9000), got.done)
	}
	eventually(t, "one start", func() bool { return b.starts.Load() == 1 })
	h.clock.Advance(overloadReportTTL)
	h.dispatcher.Tick()
	eventually(t, "two starts", func() bool { return b.starts.Load() == 2 })
	release()
	for range 3 {
		got.want(t, zinniatide.OutcomeDone, "")
	}
}

// TestConcurrent guards against lost or duplicate results, and against more
// concurrent requests than slots, when requests, cancellations, timeouts and
// crashes coincide.
func TestConcurrent(t *testing.T) {
	b := newBackend(t)
	var running, peak, calls atomic.Int64
	b.setHook(func(ctx *fasthttp.RequestCtx) {
		if n := running.Add(1); n > peak.Load() {
			peak.Store(n)
		}
		defer running.Add(-1)
		if calls.Add(1)%37 == 0 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}
	})
	h := newHost(t, "a", clock.New())
	h.setServers(announcementOf(b))
	h.dispatcher.Start()
	h.connectedServer(t)
	const workers, requestsPerWorker = 8, 150
	var counts [workers * requestsPerWorker]atomic.Int32
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for i := range requestsPerWorker {
				ended := make(chan struct{}, 2)
				cancel := h.dispatcher.Dispatch(h.request("r", zinniatide.Millis(1+i)), func(zinniatide.SubResult) {
					counts[w*requestsPerWorker+i].Add(1)
					ended <- struct{}{}
				})
				if i%5 == 0 {
					cancel()
				}
				<-ended
			}
		})
	}
	wait.Wait()
	for i := range counts {
		if got := counts[i].Load(); got != 1 {
			t.Errorf("got %d results for request %d, want 1", got, i)
		}
	}
	if got := peak.Load(); got < 1 || got > 2 {
		t.Errorf("got %d concurrent requests, want 1 or 2", got)
	}
}

package dispatcher

import (
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

func eventually(tb testing.TB, what string, f func() bool) {
	tb.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	tb.Fatalf("never happened: %s", what)
}

// reportProcessorTime measures until the returned function is called. The
// figure includes the backend server, which runs in the same process.
func reportProcessorTime(b *testing.B) func() {
	start := processorTime(b)
	return func() { b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op") }
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkDispatch sends one request after the other through the dispatcher.
func BenchmarkDispatch(b *testing.B) {
	back := newBackend(b)
	h := newHost(b, "a", clock.New())
	h.list(announcementOf(back))
	h.dispatcher.Start()
	h.serverOf(b)
	results := make(chan zinniatide.SubResult, 1)
	done := func(r zinniatide.SubResult) { results <- r }
	b.ReportAllocs()
	defer reportProcessorTime(b)()
	b.ResetTimer()
	for range b.N {
		h.dispatcher.Dispatch(h.request("r", 1000), done)
		if r := <-results; r.Outcome != zinniatide.OutcomeDone {
			b.Fatalf("got %v %v", r.Outcome, r.Code)
		}
	}
}

// BenchmarkDispatchChained starts each request from the callback of the one
// before, as a coordinator does that need not wait for single results.
func BenchmarkDispatchChained(b *testing.B) {
	back := newBackend(b)
	h := newHost(b, "a", clock.New())
	h.list(announcementOf(back))
	h.dispatcher.Start()
	h.serverOf(b)
	finished := make(chan zinniatide.SubResult, 1)
	left := b.N
	var done func(r zinniatide.SubResult)
	done = func(r zinniatide.SubResult) {
		if left--; left <= 0 || r.Outcome != zinniatide.OutcomeDone {
			finished <- r
			return
		}
		h.dispatcher.Dispatch(h.request("r", 1000), done)
	}
	b.ReportAllocs()
	defer reportProcessorTime(b)()
	b.ResetTimer()
	h.dispatcher.Dispatch(h.request("r", 1000), done)
	if r := <-finished; r.Outcome != zinniatide.OutcomeDone {
		b.Fatalf("got %v %v", r.Outcome, r.Code)
	}
}

// BenchmarkHostClient is the baseline: the same request by fasthttp's client.
func BenchmarkHostClient(b *testing.B) {
	back := newBackend(b)
	client := &fasthttp.HostClient{Addr: back.address}
	defer client.CloseIdleConnections()
	var req fasthttp.Request
	var resp fasthttp.Response
	b.ReportAllocs()
	defer reportProcessorTime(b)()
	b.ResetTimer()
	for range b.N {
		req.Reset()
		req.SetRequestURI("http://" + back.address + "/v1/sub-query")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.Header.Set("X-Request-Id", "r")
		req.Header.Set("X-Service", "s")
		req.Header.Set("X-Index-Version", "3")
		req.Header.Set("X-First-Key", "0")
		req.Header.Set("X-Last-Key", "100")
		req.Header.Set("X-Deadline-Ms", "1000")
		req.SetBodyRaw([]byte(`{"q":1}`))
		if err := client.Do(&req, &resp); err != nil {
			b.Fatal(err)
		}
	}
}

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

// reportCPUTime reports the CPU time used until the returned function is called.
// It includes the backend server, which runs in the same process.
func reportCPUTime(b *testing.B) func() {
	start := cpuTime(b)
	return func() { b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/op") }
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkDispatch sends requests through the dispatcher one after the other
// and waits for each result.
func BenchmarkDispatch(b *testing.B) {
	back := newBackend(b)
	h := newHost(b, "a", clock.New())
	h.setServers(announcementOf(back))
	h.dispatcher.Start()
	h.connectedServer(b)
	results := make(chan zinniatide.SubResult, 1)
	done := func(r zinniatide.SubResult) { results <- r }
	b.ReportAllocs()
	defer reportCPUTime(b)()
	b.ResetTimer()
	for range b.N {
		h.dispatcher.Dispatch(h.request("r", 1000), done)
		if r := <-results; r.Outcome != zinniatide.OutcomeDone {
			b.Fatalf("got %v %v", r.Outcome, r.Code)
		}
	}
}

// BenchmarkDispatchChained starts each request from the callback of the previous
// one, as a coordinator does that doesn't wait for each result.
func BenchmarkDispatchChained(b *testing.B) {
	back := newBackend(b)
	h := newHost(b, "a", clock.New())
	h.setServers(announcementOf(back))
	h.dispatcher.Start()
	h.connectedServer(b)
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
	defer reportCPUTime(b)()
	b.ResetTimer()
	h.dispatcher.Dispatch(h.request("r", 1000), done)
	if r := <-finished; r.Outcome != zinniatide.OutcomeDone {
		b.Fatalf("got %v %v", r.Outcome, r.Code)
	}
}

// BenchmarkHostClient is the baseline: it sends the same request with
// fasthttp's client.
func BenchmarkHostClient(b *testing.B) {
	back := newBackend(b)
	client := &fasthttp.HostClient{Addr: back.address}
	defer client.CloseIdleConnections()
	var req fasthttp.Request
	var resp fasthttp.Response
	b.ReportAllocs()
	defer reportCPUTime(b)()
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

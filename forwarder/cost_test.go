package forwarder_test

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/dispatcher"
	"zinniatide.example/zinniatide/forwarder"
	"zinniatide.example/zinniatide/linker"
)

// benchmarkServers is the number of backend servers. With two slots each, they can run
// four calls of ten sub-requests at the same time.
const benchmarkServers = 20

// fixedState provides a fixed configuration, in which VM "b" owns all buckets, and a
// fixed catalog of benchmarkServers servers.
type fixedState struct {
	configuration *zinniatide.Configuration
	catalog       *zinniatide.Catalog
}

func (s *fixedState) Configuration() *zinniatide.Configuration { return s.configuration }
func (s *fixedState) LeaseUntil() zinniatide.Millis            { return 1 << 40 }
func (s *fixedState) Catalog() *zinniatide.Catalog             { return s.catalog }

func newFixedState(address string) *fixedState {
	s := &fixedState{catalog: &zinniatide.Catalog{}}
	buckets := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
	for i := range buckets {
		buckets[i] = zinniatide.Bucket{Owner: "b", OwnerProcess: 1}
	}
	s.configuration = &zinniatide.Configuration{
		Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{"s": {}},
		Buckets:  map[zinniatide.ZoneID][]zinniatide.Bucket{"z": buckets},
	}
	for i := range benchmarkServers {
		s.catalog.Servers = append(s.catalog.Servers, zinniatide.ServerStatus{Owner: "b", Announcement: zinniatide.Announcement{
			Server: zinniatide.BackendServerID(fmt.Sprintf("s%02d", i)), Incarnation: 1, Zone: "z", Address: address,
			Slots: 2, Connections: 8, Offers: []zinniatide.ServiceOffer{{Service: "s"}},
		}})
	}
	return s
}

// startFakeServer starts an HTTP server that acts as all backend servers, and returns
// its address.
func startFakeServer(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		for _, key := range []string{"X-Request-Id", "X-Index-Version", "X-First-Key", "X-Last-Key"} {
			ctx.Response.Header.SetBytesV(key, ctx.Request.Header.Peek(key))
		}
		ctx.Response.Header.Set("X-Incarnation", "1")
		ctx.Response.Header.Set("X-Busy", "1")
		ctx.SetBodyString(`{"total":1,"hits":[]}`)
	}}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// reportCPUTime runs f and reports the CPU time of the whole process, including the fake
// backend server, per sub-request.
func reportCPUTime(b *testing.B, f func()) {
	cpuTime := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			b.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime()
	f()
	b.StopTimer()
	b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
}

// BenchmarkCost sends sub-requests through forwarder, link and dispatcher. Each call has
// ten sub-requests, as in a search of 84 shards whose servers are owned by 8 VMs.
func BenchmarkCost(b *testing.B) {
	state, c := newFixedState(startFakeServer(b)), clock.New()
	links := map[zinniatide.VMID]*linker.Linker{}
	forwarders := map[zinniatide.VMID]*forwarder.Forwarder{}
	addresses := map[zinniatide.VMID]string{"a": freeAddress(b), "b": freeAddress(b)}
	for _, vm := range []zinniatide.VMID{"a", "b"} {
		l, err := linker.New(linker.Config{Self: vm, Process: 1, ListenAddress: addresses[vm], AdvertiseAddress: addresses[vm]},
			c, prometheus.NewRegistry())
		if err != nil {
			b.Fatal(err)
		}
		d := dispatcher.New(dispatcher.Options{VM: vm, Process: 1, Clock: c, Configuration: state, Catalog: state, Linker: l})
		f := forwarder.New(forwarder.Options{VM: vm, Clock: c, Catalog: state, Linker: l, Dispatcher: d})
		links[vm], forwarders[vm] = l, f
		if err := l.Start(); err != nil {
			b.Fatal(err)
		}
		l.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"a": {Address: addresses["a"]}, "b": {Address: addresses["b"]}})
		d.Start()
		f.Start()
		b.Cleanup(func() { f.Close(); d.Close(); l.Close() })
	}
	var next atomic.Int64
	call := func(n int) (failed int) {
		first := int(next.Add(int64(n)))
		rs := make([]zinniatide.SubRequest, n)
		body := []byte(`{"query":"ship"}`)
		for i := range rs {
			rs[i] = zinniatide.SubRequest{RequestID: "r", Service: "s", Version: 3, Range: zinniatide.KeyRange{End: 100}, Body: body,
				Server: state.catalog.Servers[(first+i)%benchmarkServers].Server, Deadline: c.Now() + 2000}
		}
		outcomes := make(chan zinniatide.Outcome, n)
		forwarders["a"].DispatchAll(rs, func(_ int, r zinniatide.SubResult) { outcomes <- r.Outcome })
		for range rs {
			if <-outcomes != zinniatide.OutcomeDone {
				failed++
			}
		}
		return failed
	}
	for end := time.Now().Add(5 * time.Second); call(10) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatal("backend servers did not become ready within 5 s")
		}
	}
	reportCPUTime(b, func() {
		var wait sync.WaitGroup
		var left atomic.Int64
		left.Store(int64(b.N))
		for range 4 {
			wait.Go(func() {
				for n := left.Add(-10) + 10; n > 0; n = left.Add(-10) + 10 {
					if failed := call(int(min(n, 10))); failed > 0 {
						b.Errorf("%d sub-requests failed", failed)
					}
				}
			})
		}
		wait.Wait()
	})
}

func freeAddress(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// BenchmarkCostBaseline sends the same requests with fasthttp's client and the same
// concurrency.
func BenchmarkCostBaseline(b *testing.B) {
	address := startFakeServer(b)
	client := &fasthttp.HostClient{Addr: address, MaxConns: 2 * benchmarkServers}
	b.Cleanup(client.CloseIdleConnections)
	send := func(req *fasthttp.Request, resp *fasthttp.Response) error {
		req.Reset()
		req.SetRequestURI("http://" + address + "/v1/sub-query")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.Header.Set("X-Request-Id", "r")
		req.Header.Set("X-Service", "s")
		req.Header.Set("X-Index-Version", "3")
		req.Header.Set("X-First-Key", "0")
		req.Header.Set("X-Last-Key", "100")
		req.Header.Set("X-Deadline-Ms", "2000")
		req.SetBodyString(`{"query":"ship"}`)
		return client.Do(req, resp)
	}
	reportCPUTime(b, func() {
		var wait sync.WaitGroup
		for worker := range 2 * benchmarkServers {
			wait.Go(func() {
				var req fasthttp.Request
				var resp fasthttp.Response
				for i := worker; i < b.N; i += 2 * benchmarkServers {
					if err := send(&req, &resp); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		wait.Wait()
	})
}

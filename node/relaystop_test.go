package node

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/acceptor"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/transporter"
)

// slowBackend is a backend server with one slot for each connection.
type slowBackend struct {
	address string
	work    time.Duration

	mu      sync.Mutex
	arrived map[string]bool
}

func startSlowBackend(t *testing.T, work time.Duration) *slowBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &slowBackend{address: l.Addr().String(), work: work, arrived: map[string]bool{}}
	server := &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

func (b *slowBackend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Id")
	b.mu.Lock()
	b.arrived[id] = true
	b.mu.Unlock()
	time.Sleep(b.work)
	w.Header().Set("X-Id", id)
	w.Header().Set("X-Stamp", "stamp")
	_, _ = io.WriteString(w, "done")
}

// freeAddress returns a loopback address that was free a moment ago. Its port is below the
// range from which outgoing connections take theirs, which starts at 32768 on Linux.
func freeAddress(t *testing.T) string {
	t.Helper()
	const first, last, tries = 16_000, 32_000, 1000
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(last-first)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	t.Fatalf("found no free port between %d and %d", first, last)
	return ""
}

// startRelay starts a relay VM without control VMs that sends all requests to
// the listed backend servers.
func startRelay(t *testing.T, backends []*slowBackend) *Relay {
	t.Helper()
	vm := zinniatide.VMID(freeAddress(t))
	r, err := NewRelay(RelayConfig{
		VM: vm, Zone: "a", CallerAddress: freeAddress(t), StopLimit: 6000,
		CallerNames:  acceptor.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline"},
		RelayNames:   relayer.HeaderNames{RequestID: "X-Id"},
		BackendNames: transporter.HeaderNames{RequestID: "X-Id", Deadline: "X-Left", ExpectServer: "X-Expect", Stamp: "X-Stamp"},
	}, clock.New(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Start(nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.cancel)
	var enrollments []zinniatide.Enrollment
	for i, b := range backends {
		enrollments = append(enrollments, zinniatide.Enrollment{Server: zinniatide.BackendServerID(fmt.Sprint("s", i)), StartedAt: 1, Sequence: 1,
			Service: "orders", Address: b.address, Zone: "a", Slots: 8, State: zinniatide.StateIn})
	}
	route := zinniatide.Route{ID: "order", Host: "h", PathPrefix: "/", Timeout: 5000, TargetLatency: 500, MaxAttempts: 2,
		Targets: []zinniatide.WeightedService{{Service: "orders", Weight: 1}}}
	configuration := &zinniatide.Configuration{RoutingNumber: 1, Members: map[zinniatide.VMID]zinniatide.Member{
		vm: {VM: vm, Zone: "a", Relay: true, State: zinniatide.StateIn},
	}, Routing: &zinniatide.Routing{
		Routes: []zinniatide.Route{route}, Services: []zinniatide.RelayService{{Service: "orders", MaxConnections: 96}},
		Limits: zinniatide.CallerLimits{MaxHeaderBytes: 4096, MaxBodyBytes: 4096, HeaderTimeout: 3000, IdleTimeout: 15_000},
	}}
	r.relayer.Update(configuration, enrollments)
	return r
}

// order sends a request that must run once on a new connection and returns the
// status of its answer, or 0 if the connection ended without one.
func order(address, id string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return http.StatusServiceUnavailable // no request was taken
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	request := fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: 5000\r\nContent-Length: 0\r\n\r\n", id)
	if _, err := io.WriteString(c, request); err != nil {
		return http.StatusServiceUnavailable
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a planned stop that takes requests in its last seconds and ends
// them without an answer, and against a 503 for a request that reached a server.
func TestStopAnswersRequestsOfItsLastSeconds(t *testing.T) {
	var backends []*slowBackend
	for range 4 {
		backends = append(backends, startSlowBackend(t, 1500*time.Millisecond))
	}
	r := startRelay(t, backends)
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	statuses := map[string]int{}
	var callers sync.WaitGroup
	send := func(id string) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			status := order(r.cfg.CallerAddress, id)
			mu.Lock()
			statuses[id] = status
			mu.Unlock()
		}()
	}
	stopped := make(chan struct{})
	go func() {
		r.Stop()
		close(stopped)
	}()
	const interval = 100 * time.Millisecond
	for i := range 60 {
		send(fmt.Sprintf("at %d ms", (time.Duration(i) * interval).Milliseconds()))
		time.Sleep(interval)
	}
	callers.Wait()
	<-stopped
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		ran := false
		for _, b := range backends {
			b.mu.Lock()
			ran = ran || b.arrived[id]
			b.mu.Unlock()
		}
		switch {
		case status == 0:
			t.Errorf("got no answer to the request sent %s after the stop began (at a server: %v)", strings.TrimPrefix(id, "at "), ran)
		case status == http.StatusServiceUnavailable && ran:
			t.Errorf("got 503 for the request sent %s, which reached a server", id)
		case status != http.StatusOK && status != http.StatusServiceUnavailable:
			t.Errorf("got status %d for the request sent %s, want 200 or 503", status, id)
		}
	}
	if got, want := counts[http.StatusOK], 10; got < want {
		t.Errorf("got %d requests served during the stop (by status: %v), want at least %d", got, counts, want)
	}
}

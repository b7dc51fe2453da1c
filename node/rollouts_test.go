package node_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/platform"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/rollouter"
)

// versionedBackend is a backend server of some version.
type versionedBackend struct {
	name, version, address string
	born                   int
	failing                bool
	served                 atomic.Int64
}

func startVersionedBackend(t *testing.T, name, version string, born int, failing bool) *versionedBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &versionedBackend{name: name, version: version, address: listener.Addr().String(), born: born, failing: failing}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b.served.Add(1)
		w.Header().Set(platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderServerStamp, "stamp")
		if b.failing {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

// heartbeat sends a heartbeat of the server to a control VM.
func (b *versionedBackend) heartbeat(t *testing.T, control string, seq int) {
	t.Helper()
	body := fmt.Sprintf(`{"service":"s","addr":%q,"zone":"a","version":%q,"slots":8,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`, b.address, b.version, seq, b.born)
	if got := send(t, "POST", "http://"+control+"/v1/instances/"+b.name+"/heartbeat", body); got != fasthttp.StatusOK {
		t.Fatalf("heartbeat of %s: got status %d, want 200", b.name, got)
	}
}

// startRolloutVM starts a control VM with a log of its own if control is set, or a relay
// VM that follows it.
func startRolloutVM(t *testing.T, cfg node.RelayConfig, limits *rollouter.Config) (r *node.Relay, control string) {
	t.Helper()
	return startMeasuredVM(t, cfg, limits, prometheus.NewRegistry())
}

// startMeasuredVM is startRolloutVM with the registry of the metrics.
func startMeasuredVM(t *testing.T, cfg node.RelayConfig, limits *rollouter.Config, registry *prometheus.Registry) (r *node.Relay, control string) {
	t.Helper()
	cfg.Zone, cfg.Voters, cfg.Rollouts = cmp.Or(cfg.Zone, "a"), 1, limits
	cfg.Budget = cmp.Or(cfg.Budget, retrybudget.Config{Ratio: 0.2, Slack: 52, Window: 10_000})
	cfg.CallerNames, cfg.RelayNames, cfg.BackendNames = platform.CallerHeaders(), platform.ResponseHeaders(), platform.BackendHeaders()
	r, err := node.NewRelay(cfg, clock.New(), registry)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []node.Endpoint
	if cfg.DataFolder != "" {
		control = node.FreeAddress(t)
		var options []platform.ControlOption
		if operator := r.RolloutOperator(); operator != nil {
			options = append(options, platform.WithRollouts(operator))
		}
		endpoints = append(endpoints, node.Endpoint{Address: control, Handler: platform.NewControlHandler(r.Operator(), r.Enroller(), r.HeartbeatAddress, options...)})
	}
	if err := r.Start(endpoints); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	return r, control
}

func fetch(t *testing.T, url string) string {
	t.Helper()
	status, body, err := fasthttp.GetTimeout(nil, url, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(status, " ", string(body))
}

// awaitTrue waits until f holds.
func awaitTrue(t *testing.T, what string, limit time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// Guards against parts that are not connected: the commands, the log, the configuration on
// relay VMs, their choice of servers, their reports and the decisions of the leader.
func TestRolloutsOfRunningSystem(t *testing.T) {
	const rampSeconds, limit = 2, 40 * time.Second // an order above what an idle machine needs
	limits := &rollouter.Config{CanaryShare: 0.1, CanarySlack: 50, RollbackTime: 5000}
	seed := zinniatide.VMID(node.FreeAddress(t))
	seeds := []zinniatide.ControlVM{{VM: seed, PeerAddress: string(seed)}}
	_, control := startRolloutVM(t, node.RelayConfig{VM: seed, ControlAddress: "unused", DataFolder: t.TempDir(), FirstStart: true, Seeds: seeds}, limits)
	var relays []*node.Relay
	var callers []string
	for range 2 {
		caller := node.FreeAddress(t)
		r, _ := startRolloutVM(t, node.RelayConfig{VM: zinniatide.VMID(node.FreeAddress(t)), CallerAddress: caller, Seeds: seeds}, limits)
		relays, callers = append(relays, r), append(callers, caller)
	}
	servers := []*versionedBackend{
		startVersionedBackend(t, "old-1", "v1", 1, false), startVersionedBackend(t, "old-2", "v1", 2, false),
		startVersionedBackend(t, "new-1", "v2", 3, false), startVersionedBackend(t, "new-2", "v2", 4, false),
		startVersionedBackend(t, "bad-1", "v3", 5, true), startVersionedBackend(t, "bad-2", "v3", 6, true),
	}
	table := `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":500,"max_attempts":2,"split":[{"service":"s","weight":1}]}],
		"services":[{"name":"s","health_path":"/","max_conns":64}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	awaitTrue(t, "routing table", limit, func() bool { return send(t, "POST", "http://"+control+"/v1/config/put", table) == fasthttp.StatusOK })
	for _, s := range servers {
		s.heartbeat(t, control, 1)
	}
	for _, r := range relays {
		awaitTrue(t, "relay VM is ready", limit, r.Ready)
	}
	time.Sleep(500 * time.Millisecond) // so that the VMs know all servers
	served := func(version string) (n int64) {
		for _, s := range servers {
			if s.version == version {
				n += s.served.Load()
			}
		}
		return n
	}
	// Two callers for each VM, of which none sends more than 100 requests/s.
	stop, failed, sent := make(chan struct{}), atomic.Int64{}, atomic.Int64{}
	defer close(stop)
	for i := range 4 {
		go func() {
			client := &fasthttp.Client{}
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				req.SetRequestURI("http://" + callers[i%2] + "/x")
				req.Header.SetHost("h")
				req.UseHostHeader = true
				req.Header.Set(platform.HeaderRequestID, fmt.Sprint("q", sent.Add(1)))
				if err := client.DoTimeout(req, resp, 5*time.Second); err != nil || resp.StatusCode() != 200 {
					failed.Add(1)
				}
				fasthttp.ReleaseRequest(req)
				fasthttp.ReleaseResponse(resp)
			}
		}()
	}
	awaitTrue(t, "requests are served", limit, func() bool { return served("v1") > 100 })
	if v1, v2, v3 := served("v1"), served("v2"), served("v3"); v1 == 0 || v2+v3 != 0 {
		t.Errorf("before any command: got %d, %d and %d requests by version, want them on v1 only", v1, v2, v3)
	}
	start := func(version string) int {
		return send(t, "POST", "http://"+control+"/v1/rollouts/start", fmt.Sprintf(`{"service":"s","target_version":%q,"ramp_s":%d}`, version, rampSeconds))
	}
	state := func() string { return fetch(t, "http://"+control+"/v1/rollouts/s/get") }
	if got := state(); !strings.HasPrefix(got, "404") {
		t.Errorf("got %s before any command, want 404", got)
	}
	if got := start("v2"); got != 200 {
		t.Errorf("command for v2: got status %d, want 200", got)
	}
	if got := start("v3"); got != 409 {
		t.Errorf("another command: got status %d, want 409", got)
	}
	awaitTrue(t, "completion", limit, func() bool { return state() == `200 {"state":"complete","target_version":"v2"}` })
	before := served("v1")
	time.Sleep(500 * time.Millisecond)
	if got := served("v1"); got != before {
		t.Errorf("got %d requests on the old version after completion, want none", got-before)
	}
	begin := sent.Load()
	if got := start("v3"); got != 200 {
		t.Errorf("command for v3: got status %d, want 200", got)
	}
	awaitTrue(t, "roll-back", limit, func() bool { return state() == `200 {"state":"rolled_back","target_version":"v3"}` })
	time.Sleep(500 * time.Millisecond)
	bad, requests := served("v3"), sent.Load()-begin
	time.Sleep(500 * time.Millisecond)
	if got := served("v3"); got != bad {
		t.Errorf("got %d requests on the bad version after the roll-back, want none", got-bad)
	}
	if most := limits.CanaryShare*float64(requests) + limits.CanarySlack; float64(bad) > most {
		t.Errorf("got %d of %d requests on the bad version, want at most %.0f", bad, requests, most)
	}
	if got := failed.Load(); got != 0 {
		t.Errorf("got %d of %d requests failed, want none", got, sent.Load())
	}
}

package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/drainer/drainertest"
	"zinniatide.example/zinniatide/gateway"
)

const startUnix = 1_700_000_000_000

// fakeDependencies implements all dependencies of a Gateway. It records the
// requests that it gets, and fails them if err is set.
type fakeDependencies struct {
	mu        sync.Mutex
	config    zinniatide.Configuration
	lease     zinniatide.Millis
	err       error
	block     chan struct{} // if not nil, searches wait until it is closed
	entered   chan struct{} // gets a value for each search that waits
	searched  zinniatide.SearchRequest
	executed  zinniatide.ExecuteRequest
	announced zinniatide.Announcement
	ticket    []byte
	dryRun    bool
}

func (f *fakeDependencies) Configuration() *zinniatide.Configuration { return &f.config }
func (f *fakeDependencies) LeaseUntil() zinniatide.Millis            { return f.lease }
func (f *fakeDependencies) Catalog() *zinniatide.Catalog {
	return &zinniatide.Catalog{Servers: make([]zinniatide.ServerStatus, 3)}
}

func (f *fakeDependencies) Search(r zinniatide.SearchRequest) (zinniatide.SearchAnswer, error) {
	if f.block != nil {
		f.entered <- struct{}{}
		<-f.block
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.searched = r
	return zinniatide.SearchAnswer{Version: 7, Coverage: zinniatide.Coverage{ShardsAnswered: 3, ShardsTotal: 4, Ratio: 0.75}, Total: 9,
		Hits: []zinniatide.Hit{{ID: "a\"ü", Score: 1.5, Document: []byte(`{"t": "<b>"}`)}, {ID: "b", Score: 1e-9}}}, f.err
}

func (f *fakeDependencies) Execute(r zinniatide.ExecuteRequest) ([]byte, error) {
	f.executed = r
	return []byte(`{"balance":17}`), f.err
}

func (f *fakeDependencies) Announce(a zinniatide.Announcement) (string, error) {
	f.announced = a
	return "127.0.0.1:9", f.err
}

func (f *fakeDependencies) FileTicket(raw []byte, dryRun bool, _ zinniatide.Millis) (zinniatide.TicketReply, error) {
	f.ticket, f.dryRun = raw, dryRun
	return zinniatide.TicketReply{Number: 5, Epoch: 6, Accepted: true, Changes: []string{"vm e1: in -> leaving"}}, f.err
}

func (f *fakeDependencies) TicketStatus(n zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	return zinniatide.TicketStatus{Number: n, Epoch: 6, PendingVMs: []zinniatide.VMID{"e2"}}, f.err
}

func (f *fakeDependencies) State() (*zinniatide.Configuration, error) { return &f.config, f.err }

func (f *fakeDependencies) History(limit int) ([]zinniatide.TicketRecord, error) {
	return []zinniatide.TicketRecord{{Number: 5, Epoch: 6, Digest: strings.Repeat("ab", 32)}}[:min(1, limit)], f.err
}

func newFakeDependencies() *fakeDependencies {
	f := &fakeDependencies{lease: 5000}
	f.config = zinniatide.Configuration{
		Epoch: 11,
		Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{"portal": {
			Versions: []zinniatide.IndexVersionSetting{{Version: 7, ShardCount: 4}}, Slots: 2, Connections: 25,
			ColdStart:  zinniatide.ColdStartSetting{InitialRate: 5, DoubleAfter: 10, FullRate: 100},
			Classes:    map[zinniatide.ClassID]zinniatide.ClassSetting{"interactive": {MaxDeadline: 2000, Weight: 1}, "batch": {MaxDeadline: 60000, Weight: 1}},
			Workspaces: map[zinniatide.WorkspaceID]zinniatide.WorkspaceSetting{"t1": {Share: 1}},
		}},
		AvailabilityZones: map[zinniatide.ZoneID]zinniatide.StateSetting{"z3": {State: zinniatide.StateOut}},
		VMs:               map[zinniatide.VMID]zinniatide.StateSetting{"e5": {State: zinniatide.StateLeaving}},
		Members:           map[zinniatide.VMID]zinniatide.Member{},
		Buckets:           map[zinniatide.ZoneID][]zinniatide.Bucket{"z1": {{Owner: "e1", OwnerProcess: 3}}},
	}
	// e4 (its zone is out), e5 (leaving) and e6 (no entry VM) take no work.
	for i, zone := range []zinniatide.ZoneID{"z1", "z2", "z2", "z3", "z1", "z1"} {
		id := zinniatide.VMID(fmt.Sprintf("e%d", i+1))
		f.config.Members[id] = zinniatide.Member{VM: id, Process: 1, Zone: zone, HTTPAddress: "10.0.0." + string(id[1:]) + ":80",
			PeerAddress: "10.0.0.1:81", Entry: i != 5, State: zinniatide.StateIn}
	}
	return f
}

type testServer struct {
	*gateway.Gateway
	*fakeDependencies
	clock    *clock.Clock
	registry *prometheus.Registry
	url      string
	address  string
	served   chan error
	listener *drainertest.Listener
}

func startServer(t testing.TB, change func(*gateway.Config, *gateway.Dependencies)) *testServer {
	t.Helper()
	f := newFakeDependencies()
	s := &testServer{fakeDependencies: f, clock: clock.NewManual(1000, startUnix), registry: prometheus.NewRegistry(), served: make(chan error, 1)}
	config := gateway.Config{VM: "e1", Zone: "z1"}
	deps := gateway.Dependencies{Clock: s.clock, Configuration: f, Catalog: f, Querier: f, Executor: f, Announcer: f, Operator: f, Registerer: s.registry}
	if change != nil {
		change(&config, &deps)
	}
	var err error
	if s.Gateway, err = gateway.New(config, deps); err != nil {
		t.Fatal(err)
	}
	s.listener = drainertest.Listen(t)
	s.address = s.listener.Addr().String()
	s.url = "http://" + s.address
	go func() { s.served <- s.Serve(s.listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s
}

type testResponse struct {
	status    int
	header    http.Header
	closes    bool // the response ends the connection
	body      []byte
	Code      zinniatide.Code      `json:"code"`
	Outcome   zinniatide.Outcome   `json:"outcome"`
	Message   string               `json:"message"`
	RequestID zinniatide.RequestID `json:"request-id"`
}

func (s *testServer) do(t testing.TB, method, path, body string) testResponse {
	t.Helper()
	request, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(t, response)
}

// parseResponse parses an HTTP response.
func parseResponse(t testing.TB, r io.Reader) testResponse {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(t, response)
}

func readResponse(t testing.TB, response *http.Response) testResponse {
	t.Helper()
	a := testResponse{status: response.StatusCode, header: response.Header, closes: response.Close}
	var err error
	if a.body, err = io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	if response.Header.Get("Content-Type") != "application/json" {
		t.Errorf("response has content type %q", response.Header.Get("Content-Type"))
	}
	if !json.Valid(a.body) {
		t.Fatalf("response is not JSON: %q", a.body)
	}
	if a.body[0] == '[' {
		return a
	}
	if err := json.Unmarshal(a.body, &a); err != nil {
		t.Fatalf("response %q: %v", a.body, err)
	}
	return a
}

const searchBody = `{"request-id":"r1","service":"portal","tenant":"t1","class":"interactive","deadline-ms":500,"limit":3,"query":{"q": [1, 2]}}`

// Guards against altering request fields on the way to the Querier, and documents
// on the way to the caller.
func TestSearchPassesFieldsThrough(t *testing.T) {
	s := startServer(t, nil)
	got := s.do(t, "POST", "/v1/search", searchBody)
	want := `{"request-id":"r1","outcome":"done","version":7,"coverage":{"shards-answered":3,"shards-total":4,"ratio":0.75},"total":9,` +
		`"hits":[{"id":"a\"ü","score":1.5,"document":{"t": "<b>"}},{"id":"b","score":1e-09}]}`
	if string(got.body) != want {
		t.Errorf("got  %s\nwant %s", got.body, want)
	}
	searched := s.searched
	if searched.Deadline != 1500 || searched.Limit != 3 || string(searched.Query) != `{"q": [1, 2]}` || searched.Workspace != "t1" || searched.Class != "interactive" || searched.Service != "portal" || searched.RequestID != "r1" {
		t.Errorf("Querier got %+v", searched)
	}
	// fasthttp reuses its buffers; later requests must not overwrite this one.
	for range 20 {
		s.do(t, "POST", "/v1/announce", strings.Replace(announceBody, "b1", "other", 1))
	}
	if string(searched.Query) != `{"q": [1, 2]}` || searched.RequestID != "r1" {
		t.Errorf("stored request changed to %+v", searched)
	}
}

// Guards against an address list that includes VMs which accept no work, does not
// start with the caller's zone, or starts with the same VM for all callers.
func TestAddresses(t *testing.T) {
	s := startServer(t, nil)
	s.lease = 0 // the list does not depend on the lease
	first := map[string]int{}
	for range 8 {
		var list struct {
			Addresses []struct{ VM, Zone, Address string }
		}
		if err := json.Unmarshal(s.do(t, "GET", "/v1/addresses?zone=z2", "").body, &list); err != nil || len(list.Addresses) != 3 {
			t.Fatalf("got %+v, %v", list, err)
		}
		if a := list.Addresses; a[0].Zone != "z2" || a[1].Zone != "z2" || a[2].VM != "e1" || a[2].Address != "10.0.0.1:80" {
			t.Errorf("got %+v", a)
		}
		first[list.Addresses[0].VM]++
	}
	if first["e2"] != 4 || first["e3"] != 4 {
		t.Errorf("first addresses are %v, want each serving VM of the zone 4 times", first)
	}
}

// Guards against a shutdown that aborts a request in flight or keeps connections
// of callers alive.
func TestDrainWaitsForOpenRequests(t *testing.T) {
	s := startServer(t, nil)
	s.block, s.entered = make(chan struct{}), make(chan struct{}, 9)
	responses := make(chan testResponse, 1)
	go func() { responses <- s.do(t, "POST", "/v1/search", searchBody) }()
	<-s.entered
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Drain(ended); err == nil {
		t.Error("Drain returned while a request was in flight")
	}
	if got := s.do(t, "GET", "/v1/health", ""); got.status != 200 || !got.closes {
		t.Errorf("request while draining got %d, connection closes: %v", got.status, got.closes)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	closed := make(chan error, 1)
	go func() { closed <- s.Close(context.Background()) }()
	close(s.block)
	if got := <-responses; got.status != 200 || !got.closes {
		t.Errorf("request in flight got %d, connection closes: %v", got.status, got.closes)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if err := <-s.served; err != nil {
		t.Errorf("Serve returned %v", err)
	}
}

// Guards against unbounded load: requests over MaxRequests must be refused as not
// run, and connections over MaxConnections must be refused.
func TestLimits(t *testing.T) {
	s := startServer(t, func(c *gateway.Config, _ *gateway.Dependencies) { c.MaxRequests, c.MaxConnections = 1, 3 })
	s.block, s.entered = make(chan struct{}), make(chan struct{}, 9)
	responses := make(chan testResponse, 1)
	go func() { responses <- s.do(t, "POST", "/v1/search", searchBody) }()
	<-s.entered
	if got := s.do(t, "GET", "/v1/addresses", ""); got.status != 200 {
		t.Errorf("addresses under overload got %d %s", got.status, got.body)
	}
	if got := s.do(t, "POST", "/v1/search", searchBody); got.status != 429 || got.Code != zinniatide.CodeOverloaded || got.Outcome != zinniatide.OutcomeNotRun {
		t.Errorf("second request got %d %s", got.status, got.body)
	}
	close(s.block)
	<-responses
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	refused := 0
	for range 5 {
		conn := s.dial(t)
		_, _ = fmt.Fprint(conn, "GET /v1/health HTTP/1.1\r\nHost: e1\r\n\r\n")
		if got := parseResponse(t, conn); got.status == 429 && got.Code == zinniatide.CodeOverloaded {
			refused++
		}
	}
	if refused < 2 {
		t.Errorf("%d of 5 connections refused with a limit of 3", refused)
	}
}

func (s *testServer) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against connections that a silent, slow or malformed caller keeps open
// forever, and against responses to them that are not refusals.
func TestUnreadableRequests(t *testing.T) {
	s := startServer(t, func(c *gateway.Config, _ *gateway.Dependencies) {
		c.ReadTimeout, c.IdleTimeout = 200*time.Millisecond, 200*time.Millisecond
	})
	big := strings.Repeat("x", 17<<10)
	for name, c := range map[string]struct {
		send, code string
		status     int
	}{
		"silent":         {"", "bad-request", 400},
		"idle":           {"GET /v1/health HTTP/1.1\r\nHost: e1\r\n\r\n", "", 200},
		"half a header":  {"GET /v1/health HTTP/1.1\r\nHo", "bad-request", 400},
		"half a body":    {"POST /v1/search HTTP/1.1\r\nHost: e1\r\nContent-Length: 10\r\n\r\n{", "bad-request", 400},
		"not HTTP":       {"\x16\x03\x01hello\r\n\r\n", "bad-request", 400},
		"long header":    {"GET /v1/health HTTP/1.1\r\nHost: e1\r\nX: " + big + "\r\n\r\n", "too-large", 413},
		"long body":      {"POST /v1/search HTTP/1.1\r\nHost: e1\r\nContent-Length: 1048577\r\n\r\n", "too-large", 413},
		"long chunks":    {"POST /v1/search HTTP/1.1\r\nHost: e1\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", 0x100001) + "\r\n0\r\n\r\n", "too-large", 413},
		"negative size":  {"POST /v1/search HTTP/1.1\r\nHost: e1\r\nContent-Length: -1\r\n\r\n", "bad-request", 400},
		"two body sizes": {"POST /v1/search HTTP/1.1\r\nHost: e1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}", "bad-request", 400},
	} {
		conn := s.dial(t)
		go func() { _, _ = io.WriteString(conn, c.send) }()
		all, _ := io.ReadAll(conn) // returns once the gateway closes the connection
		if got := parseResponse(t, bytes.NewReader(all)); got.status != c.status || string(got.Code) != c.code {
			t.Errorf("%s: got %d %s, want %d %s", name, got.status, got.body, c.status, c.code)
		}
	}
}

// Guards against callers that create metric label values by sending unknown names
// or paths.
func TestLabelsAreConfiguredNames(t *testing.T) {
	s := startServer(t, nil)
	for i := range 50 {
		s.do(t, "POST", "/v1/search", strings.Replace(searchBody, `"t1"`, fmt.Sprintf(`"x%d"`, i), 1))
		s.do(t, "POST", "/v1/search", strings.Replace(searchBody, `"interactive"`, fmt.Sprintf(`"x%d"`, i), 1))
		s.do(t, "GET", fmt.Sprintf("/v1/x%d", i), "")
	}
	families, err := s.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if len(f.GetMetric()) > 3 { // unknown workspace, unknown class, unknown path
			t.Errorf("%s has %d series, want at most 3", f.GetName(), len(f.GetMetric()))
		}
	}
}

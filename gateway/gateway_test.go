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
	"zinniatide.example/zinniatide/gateway"
)

const startUnix = 1_700_000_000_000

// backend stands in for all dependencies. Its answers are those of its
// fields, and it records what it was asked.
type backend struct {
	mu       sync.Mutex
	config   zinniatide.Configuration
	lease    zinniatide.Millis
	err      error
	block    chan struct{} // searches wait for it unless nil
	entered  chan struct{}
	searched zinniatide.SearchRequest
	executed zinniatide.ExecuteRequest
	heard    zinniatide.Announcement
	ticket   []byte
	dryRun   bool
}

func (b *backend) Configuration() *zinniatide.Configuration { return &b.config }
func (b *backend) LeaseUntil() zinniatide.Millis            { return b.lease }
func (b *backend) Catalog() *zinniatide.Catalog {
	return &zinniatide.Catalog{Servers: make([]zinniatide.ServerStatus, 3)}
}

func (b *backend) Search(r zinniatide.SearchRequest) (zinniatide.SearchAnswer, error) {
	if b.block != nil {
		b.entered <- struct{}{}
		<-b.block
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searched = r
	return zinniatide.SearchAnswer{Version: 7, Coverage: zinniatide.Coverage{ShardsAnswered: 3, ShardsTotal: 4, Ratio: 0.75}, Total: 9,
		Hits: []zinniatide.Hit{{ID: "a\"ü", Score: 1.5, Document: []byte(`{"t": "<b>"}`)}, {ID: "b", Score: 1e-9}}}, b.err
}

func (b *backend) Execute(r zinniatide.ExecuteRequest) ([]byte, error) {
	b.executed = r
	return []byte(`{"balance":17}`), b.err
}

func (b *backend) Announce(a zinniatide.Announcement) (string, error) {
	b.heard = a
	return "127.0.0.1:9", b.err
}

func (b *backend) FileTicket(raw []byte, dryRun bool, _ zinniatide.Millis) (zinniatide.TicketReply, error) {
	b.ticket, b.dryRun = raw, dryRun
	return zinniatide.TicketReply{Number: 5, Epoch: 6, Accepted: true, Changes: []string{"vm e1: in -> leaving"}}, b.err
}

func (b *backend) TicketStatus(n zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	return zinniatide.TicketStatus{Number: n, Epoch: 6, NotYetOn: []zinniatide.VMID{"e2"}}, b.err
}

func (b *backend) State() (*zinniatide.Configuration, error) { return &b.config, b.err }

func (b *backend) History(limit int) ([]zinniatide.TicketRecord, error) {
	return []zinniatide.TicketRecord{{Number: 5, Epoch: 6, Digest: strings.Repeat("ab", 32)}}[:min(1, limit)], b.err
}

func newBackend() *backend {
	b := &backend{lease: 5000}
	b.config = zinniatide.Configuration{
		Epoch: 11,
		Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{"portal": {
			Versions: []zinniatide.IndexVersionSetting{{Version: 7, ShardCount: 4}}, Slots: 2, Connections: 25,
			ColdStart: zinniatide.ColdStartSetting{InitialRate: 5, DoubleAfter: 10, FullRate: 100},
			Classes:   map[zinniatide.ClassID]zinniatide.ClassSetting{"interactive": {MaxDeadline: 2000, Weight: 1}, "batch": {MaxDeadline: 60000, Weight: 1}},
			Tenants:   map[zinniatide.TenantID]zinniatide.TenantSetting{"t1": {Share: 1}},
		}},
		AvailabilityZones: map[zinniatide.ZoneID]zinniatide.StateSetting{"z3": {State: zinniatide.StateOut}},
		VMs:               map[zinniatide.VMID]zinniatide.StateSetting{"e5": {State: zinniatide.StateLeaving}},
		Members:           map[zinniatide.VMID]zinniatide.Member{},
		Buckets:           map[zinniatide.ZoneID][]zinniatide.Bucket{"z1": {{Owner: "e1", OwnerIncarnation: 3}}},
	}
	for i, zone := range []zinniatide.ZoneID{"z1", "z2", "z2", "z3", "z1", "z1"} {
		id := zinniatide.VMID(fmt.Sprintf("e%d", i+1))
		b.config.Members[id] = zinniatide.Member{VM: id, Incarnation: 1, Zone: zone, HTTPAddress: "10.0.0." + string(id[1:]) + ":80",
			PeerAddress: "10.0.0.1:81", Entry: i != 5, State: zinniatide.StateIn}
	}
	return b
}

type server struct {
	*gateway.Gateway
	*backend
	clock    *clock.Clock
	registry *prometheus.Registry
	url      string
	address  string
	served   chan error
}

func serve(t testing.TB, change func(*gateway.Config, *gateway.Dependencies)) *server {
	t.Helper()
	b := newBackend()
	s := &server{backend: b, clock: clock.NewManual(1000, startUnix), registry: prometheus.NewRegistry(), served: make(chan error, 1)}
	config := gateway.Config{VM: "e1", Zone: "z1"}
	deps := gateway.Dependencies{Clock: s.clock, Configuration: b, Catalog: b, Querier: b, Executor: b, Announcer: b, Operator: b, Registerer: s.registry}
	if change != nil {
		change(&config, &deps)
	}
	var err error
	if s.Gateway, err = gateway.New(config, deps); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	s.url = "http://" + s.address
	go func() { s.served <- s.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s
}

type answer struct {
	status int
	header http.Header
	closes bool // the gateway ends the connection
	body   []byte
	Code   zinniatide.Code      `json:"code"`
	Result zinniatide.Outcome   `json:"outcome"`
	Text   string               `json:"message"`
	ID     zinniatide.RequestID `json:"request-id"`
}

func (s *server) do(t testing.TB, method, path, body string) answer {
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
	return readAnswer(t, response)
}

// parseAnswer reads an answer from a connection.
func parseAnswer(t testing.TB, r io.Reader) answer {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(t, response)
}

func readAnswer(t testing.TB, response *http.Response) answer {
	t.Helper()
	a := answer{status: response.StatusCode, header: response.Header, closes: response.Close}
	var err error
	if a.body, err = io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	if response.Header.Get("Content-Type") != "application/json" {
		t.Errorf("answer has type %q", response.Header.Get("Content-Type"))
	}
	if !json.Valid(a.body) {
		t.Fatalf("answer is no JSON: %q", a.body)
	}
	if a.body[0] == '[' {
		return a
	}
	if err := json.Unmarshal(a.body, &a); err != nil {
		t.Fatalf("answer %q: %v", a.body, err)
	}
	return a
}

const searchBody = `{"request-id":"r1","service":"portal","tenant":"t1","class":"interactive","deadline-ms":500,"limit":3,"query":{"q": [1, 2]}}`

// Guards against fields that reach the query tier altered, and documents that
// reach the caller altered.
func TestSearchPassesFieldsThrough(t *testing.T) {
	s := serve(t, nil)
	got := s.do(t, "POST", "/v1/search", searchBody)
	want := `{"request-id":"r1","outcome":"done","version":7,"coverage":{"shards-answered":3,"shards-total":4,"ratio":0.75},"total":9,` +
		`"hits":[{"id":"a\"ü","score":1.5,"document":{"t": "<b>"}},{"id":"b","score":1e-09}]}`
	if string(got.body) != want {
		t.Errorf("got  %s\nwant %s", got.body, want)
	}
	asked := s.searched
	if asked.Deadline != 1500 || asked.Limit != 3 || string(asked.Query) != `{"q": [1, 2]}` || asked.Tenant != "t1" || asked.Class != "interactive" || asked.Service != "portal" || asked.RequestID != "r1" {
		t.Errorf("query tier got %+v", asked)
	}
	// The server reuses its buffers, so later requests must not show.
	for range 20 {
		s.do(t, "POST", "/v1/announce", strings.Replace(announceBody, "b1", "other", 1))
	}
	if string(asked.Query) != `{"q": [1, 2]}` || asked.RequestID != "r1" {
		t.Errorf("kept request changed to %+v", asked)
	}
}

// Guards against callers that are sent to VMs which take no work, to another
// zone first, or all to the same VM.
func TestAddresses(t *testing.T) {
	s := serve(t, nil)
	s.lease = 0 // a VM without a lease still answers
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
		t.Errorf("first addresses are %v, want each VM of the zone 4 times", first)
	}
}

// Guards against a planned stop that cuts off a request or keeps callers on
// their connections.
func TestDrainWaitsForOpenRequests(t *testing.T) {
	s := serve(t, nil)
	s.block, s.entered = make(chan struct{}), make(chan struct{}, 9)
	answers := make(chan answer, 1)
	go func() { answers <- s.do(t, "POST", "/v1/search", searchBody) }()
	<-s.entered
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Drain(ended); err == nil {
		t.Error("Drain returned while a request was open")
	}
	if got := s.do(t, "GET", "/v1/health", ""); got.status != 200 || !got.closes {
		t.Errorf("request while draining got %d, connection closes: %v", got.status, got.closes)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	closed := make(chan error, 1)
	go func() { closed <- s.Close(context.Background()) }()
	close(s.block)
	if got := <-answers; got.status != 200 || !got.closes {
		t.Errorf("open request got %d, connection closes: %v", got.status, got.closes)
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

// Guards against unbounded work: requests and connections beyond the limits
// must be refused as not run, and served again once there is room.
func TestLimits(t *testing.T) {
	s := serve(t, func(c *gateway.Config, _ *gateway.Dependencies) { c.MaxRequests, c.MaxConnections = 1, 3 })
	s.block, s.entered = make(chan struct{}), make(chan struct{}, 9)
	answers := make(chan answer, 1)
	go func() { answers <- s.do(t, "POST", "/v1/search", searchBody) }()
	<-s.entered
	if got := s.do(t, "GET", "/v1/addresses", ""); got.status != 200 {
		t.Errorf("addresses under overload got %d %s", got.status, got.body)
	}
	if got := s.do(t, "POST", "/v1/search", searchBody); got.status != 429 || got.Code != zinniatide.CodeOverloaded || got.Result != zinniatide.OutcomeNotRun {
		t.Errorf("second request got %d %s", got.status, got.body)
	}
	close(s.block)
	<-answers
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	refused := 0
	for range 5 {
		conn := s.dial(t)
		_, _ = fmt.Fprint(conn, "GET /v1/health HTTP/1.1\r\nHost: e1\r\n\r\n")
		if got := parseAnswer(t, conn); got.status == 429 && got.Code == zinniatide.CodeOverloaded {
			refused++
		}
	}
	if refused < 2 {
		t.Errorf("%d of 5 connections refused with a limit of 3", refused)
	}
}

func (s *server) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against silent, slow or malformed callers that hold a connection for
// good, or get an answer that is no refusal.
func TestUnreadableRequests(t *testing.T) {
	s := serve(t, func(c *gateway.Config, _ *gateway.Dependencies) {
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
		all, _ := io.ReadAll(conn) // ends because the gateway closes the connection
		if got := parseAnswer(t, bytes.NewReader(all)); got.status != c.status || string(got.Code) != c.code {
			t.Errorf("%s: got %d %s, want %d %s", name, got.status, got.body, c.status, c.code)
		}
	}
}

// Guards against callers that create metrics labels at will.
func TestLabelsAreConfiguredNames(t *testing.T) {
	s := serve(t, nil)
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
		if len(f.GetMetric()) > 3 {
			t.Errorf("%s has %d series, want at most 3", f.GetName(), len(f.GetMetric()))
		}
	}
}

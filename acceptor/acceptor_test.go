package acceptor

import (
	"bufio"
	"context"
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
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/reserver"
)

// fakeHandler answers with the body of the request, or leaves the answer to the
// test if hold is set.
type fakeHandler struct {
	mu        sync.Mutex
	requests  []relayer.Request
	hold      bool
	limits    zinniatide.CallerLimits
	respond   []func(relayer.Reply)
	cancelled chan struct{}
	arrived   chan struct{}
}

func newFakeHandler() *fakeHandler {
	return &fakeHandler{cancelled: make(chan struct{}, 8), arrived: make(chan struct{}, 64),
		limits: zinniatide.CallerLimits{MaxHeaderBytes: 2048, MaxBodyBytes: 4096, HeaderTimeout: 2000, IdleTimeout: 5000}}
}

func (f *fakeHandler) Serve(req *relayer.Request, respond func(relayer.Reply)) func() {
	f.mu.Lock()
	f.requests = append(f.requests, *req)
	hold := f.hold
	if hold {
		f.respond = append(f.respond, respond)
	}
	f.mu.Unlock()
	f.arrived <- struct{}{}
	if !hold {
		respond(relayer.Reply{Status: 200, Header: []byte("X-Test: 1\r\n"), Body: append([]byte("got:"), req.Body...)})
	}
	return func() { f.cancelled <- struct{}{} }
}

func (f *fakeHandler) Limits() (zinniatide.CallerLimits, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits, true
}

func (f *fakeHandler) seen() []relayer.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]relayer.Request(nil), f.requests...)
}

// newBudget returns a budget that is never exhausted.
func newBudget() zinniatide.ClientBudget {
	return reserver.New(reserver.Config{MemoryBytes: 1 << 30, Connections: 1 << 20}, clock.New(), prometheus.NewRegistry())
}

func start(t *testing.T, f *fakeHandler) (*Acceptor, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(HeaderNames{RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms", Credential: "Authorization", Workspace: "X-Tenant", NotForwarded: []string{"X-Expect"}}, f, newBudget(), clock.New())
	go a.Serve(l)
	t.Cleanup(func() { a.Close(context.Background()) })
	return a, l.Addr().String()
}

type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) write(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads one answer. closes is set if the server closes the connection.
func (c *caller) answer() (status int, body string, closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(b), resp.Close
}

const head = "Host: h\r\nX-Request-Id: r1\r\n"

// Guards against mixing up consecutive or pipelined requests on one connection,
// with a content length, with chunked encoding and without a body.
func TestFramingOnOneConnection(t *testing.T) {
	f := newFakeHandler()
	_, address := start(t, f)
	c := dial(t, address)
	for _, row := range []struct{ name, request, want string }{
		{"none", "GET /a?b=c HTTP/1.1\r\n" + head + "X-Deadline-Ms: 250\r\n\r\n", "got:"},
		{"length", "POST /a HTTP/1.1\r\n" + head + "Content-Length: 3\r\n\r\nabc", "got:abc"},
		{"chunks", "POST /a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "got:abc"},
		{"length after chunks", "POST /a HTTP/1.1\r\n" + head + "Content-Length: 1\r\n\r\nz", "got:z"},
	} {
		c.write(row.request)
		if status, body, closes := c.answer(); status != 200 || body != row.want || closes {
			t.Errorf("%s: got %d %q, closes %v, want 200 %q on a kept connection", row.name, status, body, closes, row.want)
		}
	}
	c.write("GET /1 HTTP/1.1\r\n" + head + "\r\nGET /2 HTTP/1.1\r\n" + head + "\r\n")
	for range 2 {
		if status, _, _ := c.answer(); status != 200 {
			t.Errorf("pipelined request: got %d, want 200", status)
		}
	}
	requests := f.seen()
	if got := requests[0]; got.Path != "/a" || got.Timeout != 250 || got.ID != "r1" || !strings.HasPrefix(string(got.Head), "GET /a?b=c HTTP/1.1\r\nHost: h\r\n") {
		t.Errorf("got %+v with head %q, want path, wait time, id and request line as sent", got, got.Head)
	}
	if got, want := requests[len(requests)-1].Path, "/2"; got != want {
		t.Errorf("got %s last, want %s", got, want)
	}
}

// Guards against forwarding hop-by-hop headers and headers that the system
// sets itself, and against dropping other headers.
func TestForwardedHeaders(t *testing.T) {
	f := newFakeHandler()
	_, address := start(t, f)
	c := dial(t, address)
	c.write("GET /a HTTP/1.1\r\n" + head + "X-Keep: yes\r\nX-Expect: i-9\r\nX-Deadline-Ms: 9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\r\n")
	c.answer()
	got := string(f.seen()[0].Head)
	for _, name := range []string{"X-Expect", "X-Deadline-Ms", "Connection", "X-Hop", "Te:"} {
		if strings.Contains(got, name) {
			t.Errorf("got %q, want no %s", got, name)
		}
	}
	for _, line := range []string{"X-Keep: yes\r\n", "X-Request-Id: r1\r\n"} {
		if !strings.Contains(got, line) {
			t.Errorf("got %q, want it to contain %q", got, line)
		}
	}
}

// Guards against invalid requests that crash the process, leave the connection
// open, or are answered with the wrong status.
func TestBadRequests(t *testing.T) {
	f := newFakeHandler()
	_, address := start(t, f)
	for _, row := range []struct {
		name, request string
		want          int
	}{
		{"not HTTP", "\x00\x01nonsense\r\n\r\n", 400},
		{"no host", "GET /a HTTP/1.1\r\nX-Request-Id: r\r\n\r\n", 400},
		{"no id", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"no path", "GET a HTTP/1.1\r\n" + head + "\r\n", 400},
		{"large header", "GET /a HTTP/1.1\r\n" + head + "X-Large: " + strings.Repeat("x", 4096) + "\r\n\r\n", 431},
		{"large body", "POST /a HTTP/1.1\r\n" + head + "Content-Length: 5000\r\n\r\n", 413},
	} {
		c := dial(t, address)
		c.write(row.request)
		if status, _, closes := c.answer(); status != row.want || !closes {
			t.Errorf("%s: got %d, closes %v, want %d and the end of the connection", row.name, status, closes, row.want)
		}
	}
	if got := len(f.seen()); got != 0 {
		t.Errorf("got %d requests served, want 0", got)
	}
}

// Guards against running requests of callers that have disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFakeHandler()
	f.hold = true
	_, address := start(t, f)
	c := dial(t, address)
	c.write("GET /a HTTP/1.1\r\n" + head + "\r\n")
	<-f.arrived
	_ = c.Close()
	select {
	case <-f.cancelled:
	case <-time.After(10 * time.Second):
		t.Error("got no cancel, want one when the caller closes")
	}
}

// Guards against a planned stop that aborts requests: requests in progress are
// answered, idle connections are closed after their next answer, and later
// requests are refused without running.
func TestGracefulStopAbortsNoRequests(t *testing.T) {
	f := newFakeHandler()
	f.hold = true
	a, address := start(t, f)
	open, kept := dial(t, address), dial(t, address)
	open.write("GET /open HTTP/1.1\r\n" + head + "\r\n")
	<-f.arrived
	a.CloseAfterReply()
	f.mu.Lock()
	f.hold = false
	f.mu.Unlock()
	kept.write("GET /kept HTTP/1.1\r\n" + head + "\r\n")
	if status, _, closes := kept.answer(); status != 200 || !closes {
		t.Errorf("got %d, closes %v, want 200 and the end of the connection", status, closes)
	}
	a.RefuseRequests()
	late := dial(t, address)
	late.write("GET /late HTTP/1.1\r\n" + head + "\r\n")
	if status, _, closes := late.answer(); status != 503 || !closes {
		t.Errorf("got %d, closes %v, want 503 and the end of the connection", status, closes)
	}
	done := make(chan int)
	go func() { done <- a.Close(context.Background()) }()
	f.mu.Lock()
	respond := f.respond[0]
	f.mu.Unlock()
	respond(relayer.Reply{Status: 200, Body: []byte("whole")})
	if status, body, _ := open.answer(); status != 200 || body != "whole" {
		t.Errorf("got %d %q, want the whole answer", status, body)
	}
	if got := <-done; got != 0 {
		t.Errorf("got %d aborted requests, want 0", got)
	}
}

// Guards against requests that are cut off without an answer by a planned stop, on
// connections that were just accepted.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	for round := range 20 {
		f := newFakeHandler()
		f.arrived = make(chan struct{}, 1<<16)
		f.cancelled = make(chan struct{}, 1<<16)
		listener := drainertest.Listen(t)
		a := New(HeaderNames{RequestID: "X-Request-Id"}, f, newBudget(), clock.New())
		go a.Serve(listener)
		aborted := 0
		cut, answered := listener.CutRequests("GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n", func() {
			a.RefuseRequests()
			aborted = a.Close(context.Background())
		})
		if aborted != 0 || cut != 0 {
			t.Fatalf("round %d: got %d requests aborted and %d without an answer beside %d answers, want 0", round, aborted, cut, answered)
		}
	}
}

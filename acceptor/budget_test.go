package acceptor

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/reserver"
)

func startWithin(t *testing.T, f *fakeHandler, cfg reserver.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(HeaderNames{RequestID: "X-Request-Id"}, f, reserver.New(cfg, clock.New(), prometheus.NewRegistry()), clock.New())
	go a.Serve(l)
	t.Cleanup(func() { a.Close(context.Background()) })
	return l.Addr().String()
}

// Guards against callers that are kept out by others which hold large bodies one byte
// short, and against running a request of a connection that was closed for others.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	f := newFakeHandler()
	f.limits = zinniatide.CallerLimits{MaxHeaderBytes: 2048, MaxBodyBytes: 256 << 10, HeaderTimeout: 10_000, IdleTimeout: 10_000}
	address := startWithin(t, f, reserver.Config{MemoryBytes: 2 << 20, Connections: 100})
	for range 20 {
		c := dial(t, address)
		// The server may close the connection while the caller writes.
		_, _ = fmt.Fprintf(c, "POST /short HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", head, 256<<10, strings.Repeat("b", 256<<10-1))
	}
	c := dial(t, address)
	c.write("POST /a HTTP/1.1\r\n" + head + "Content-Length: 3\r\n\r\nabc")
	if status, body, _ := c.answer(); status != 200 || body != "got:abc" {
		t.Errorf("got %d %q, want 200 \"got:abc\"", status, body)
	}
	for _, r := range f.seen() {
		if r.Path != "/a" {
			t.Errorf("got request %s served, want only the complete one", r.Path)
		}
	}
}

// Guards against a request that is refused for lack of memory and runs, or is answered
// with a status that does not say that it has not run.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	f := newFakeHandler()
	f.limits = zinniatide.CallerLimits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 10_000, IdleTimeout: 10_000}
	for name, request := range map[string]string{
		"body":   "POST /a HTTP/1.1\r\n" + head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("b", 200_000),
		"chunks": "POST /a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("b", 200_000) + "\r\n0\r\n\r\n",
		"fields": "GET /a HTTP/1.1\r\n" + head + strings.Repeat("a:1\r\n", 3000) + "\r\n",
		"head":   "GET /a HTTP/1.1\r\n" + head + "X-Large: " + strings.Repeat("h", 60_000) + "\r\n\r\n",
	} {
		c := dial(t, startWithin(t, f, reserver.Config{MemoryBytes: reserver.ConnectionBytes + 10_000, Connections: 10}))
		_, _ = c.Write([]byte(request)) // the server may close the connection before it has read all
		line, err := c.r.ReadString('\n')
		if err == nil && !strings.Contains(line, " 503 ") { // the reset may overtake the refusal
			t.Errorf("%s: got %q, want status 503 or the end of the connection", name, line)
		}
	}
	if got := len(f.seen()); got != 0 {
		t.Errorf("got %d requests served, want 0", got)
	}
}

// Guards against requests inside the limits that a budget refuses, or that leave memory
// reserved, on one connection after the other request.
func TestBudgetIsGivenBack(t *testing.T) {
	f := newFakeHandler()
	f.limits = zinniatide.CallerLimits{MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeout: 10_000, IdleTimeout: 10_000}
	// Memory for one request at the limits: its body while it doubles, and its fields.
	address := startWithin(t, f, reserver.Config{MemoryBytes: 2*reserver.ConnectionBytes + 2*262_144 + 3000*fieldBytes, Connections: 10})
	c := dial(t, address)
	body, fields := strings.Repeat("b", 262_144), strings.Repeat("a:1\r\n", 2900)
	for n := range 10 {
		c.write(fmt.Sprintf("POST /a HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
		if status, got, _ := c.answer(); status != 200 || len(got) != len(body)+4 {
			t.Fatalf("body %d: got %d, %d bytes, want 200 and the body", n, status, len(got))
		}
		c.write("GET /a HTTP/1.1\r\n" + head + fields + "\r\n")
		if status, _, _ := c.answer(); status != 200 {
			t.Fatalf("fields %d: got %d, want 200", n, status)
		}
	}
}

// heldBudget records what is reserved by its only connection.
type heldBudget struct{ held, peak atomic.Int64 }

func (b *heldBudget) Open(string, func()) (zinniatide.ClientConnection, bool) { return b, true }
func (*heldBudget) Begin()                                                    {}
func (*heldBudget) Run() bool                                                 { return true }
func (*heldBudget) Idle()                                                     {}
func (*heldBudget) Close()                                                    {}

func (b *heldBudget) Reserve(n int) bool {
	b.peak.Store(max(b.peak.Load(), b.held.Add(int64(n))))
	return true
}

func (b *heldBudget) Release(n int) { b.held.Add(-int64(n)) }

// Guards against answers that the client does not read and nobody counts, in the process
// or in the kernel, and against counting them for longer.
func TestUnreadAnswersAreReserved(t *testing.T) {
	for _, size := range []int{60_000, 600_000} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f := newFakeHandler()
		f.hold = true
		budget := &heldBudget{}
		a := New(HeaderNames{RequestID: "X-Request-Id"}, f, budget, clock.New())
		go a.Serve(l)
		c := dial(t, l.Addr().String())
		if err := c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
			t.Fatal(err)
		}
		c.write("GET /a HTTP/1.1\r\n" + head + "\r\n")
		<-f.arrived
		f.respond[0](relayer.Reply{Status: 200, Body: make([]byte, size)})
		if got, want := budget.held.Load(), int64(reserver.UnsentBytes); got < want {
			t.Errorf("%d bytes: got %d reserved for an unread answer, want at least %d", size, got, want)
		}
		if status, _, _ := c.answer(); status != 200 {
			t.Errorf("%d bytes: got %d, want 200", size, status)
		}
		for end := time.Now().Add(10 * time.Second); budget.held.Load() != 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if got := budget.held.Load(); got != 0 {
			t.Errorf("%d bytes: got %d reserved after the answer was read, want 0", size, got)
		}
		a.Close(context.Background())
	}
}

// Guards against cutting an answer that the client reads all the time, if it takes longer
// than the idle timeout for the whole.
func TestSteadySlowReaderGetsWholeAnswer(t *testing.T) {
	f := newFakeHandler()
	f.hold = true
	f.limits.IdleTimeout = 1000
	_, address := start(t, f)
	c := dial(t, address)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	c.write("GET /a HTTP/1.1\r\n" + head + "\r\n")
	<-f.arrived
	const size = 4 << 20
	f.respond[0](relayer.Reply{Status: 200, Body: make([]byte, size)})
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := 0
	for part := int64(256 << 10); got < size; {
		n, err := io.CopyN(io.Discard, resp.Body, part)
		if got += int(n); err != nil {
			t.Fatalf("got %d bytes and %v, want %d bytes", got, err, size)
		}
		time.Sleep(100 * time.Millisecond) // 1.6 s in all
	}
}

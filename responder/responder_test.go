package responder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/reserver"
)

func start(t *testing.T, cfg reserver.Config, readsBodies bool, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := New(reserver.New(cfg, clock.New(), prometheus.NewRegistry()))
	server := r.Server(handler, readsBodies)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(r.Listen(l)) // returns when the listener is closed
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-served
	})
	return l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func exchange(t *testing.T, c net.Conn, r *bufio.Reader, request string) (status int, body string) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

func echo(ctx *fasthttp.RequestCtx) {
	_, _ = fmt.Fprintf(ctx, "%d %s", len(ctx.PostBody()), ctx.Path())
}

// Guards against bodies that are cut or mixed up when they are read in steps, and against
// memory that stays reserved after a request.
func TestBodies(t *testing.T) {
	address := start(t, reserver.Config{MemoryBytes: 8 << 20, Connections: 10}, true, echo)
	c, r := dial(t, address)
	large := strings.Repeat("b", 3<<20)
	for range 5 {
		for _, row := range []struct{ request, want string }{
			{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "0 /a"},
			{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "3 /b"},
			{"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "2 /c"},
			{fmt.Sprintf("POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(large), large), fmt.Sprintf("%d /d", len(large))},
		} {
			if status, body := exchange(t, c, r, row.request); status != 200 || body != row.want {
				t.Errorf("got %d %q, want 200 %q", status, body, row.want)
			}
		}
	}
}

// Guards against an endpoint that refuses or misreads a connection because of a body it
// does not need.
func TestUnneededBodyIsDiscarded(t *testing.T) {
	address := start(t, reserver.Config{}, false, echo)
	c, r := dial(t, address)
	body := strings.Repeat("b", 262_144)
	for range 3 {
		if status, got := exchange(t, c, r, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)); status != 200 || !strings.HasSuffix(got, " /a") {
			t.Errorf("got %d %q, want 200 from /a", status, got)
		}
	}
}

// Guards against commands that run although they were refused for lack of memory or size.
func TestRefusedBodyDoesNotRun(t *testing.T) {
	ran := make(chan struct{}, 10)
	address := start(t, reserver.Config{MemoryBytes: reserver.ConnectionBytes + requestBytes + 10_000, Connections: 10}, true, func(*fasthttp.RequestCtx) { ran <- struct{}{} })
	for _, row := range []struct {
		bytes int
		want  string
	}{{100_000, "503"}, {maxBodyBytes + 1, "413"}} {
		c, r := dial(t, address)
		_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", row.bytes, strings.Repeat("b", 50_000)) // the server may close the connection
		if line, err := r.ReadString('\n'); err == nil && !strings.Contains(line, row.want) {
			t.Errorf("%d bytes: got %q, want status %s", row.bytes, line, row.want)
		}
		_ = c.Close()
	}
	if got := len(ran); got != 0 {
		t.Errorf("got %d commands run, want 0", got)
	}
}

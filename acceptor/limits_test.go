package acceptor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"zinniatide.example/zinniatide"
)

// Guards against kept connections that go on with the limits of an older
// configuration: raised limits hold for the next request on each of them, and so do
// lowered ones.
func TestKeptConnectionsFollowLimits(t *testing.T) {
	low := zinniatide.CallerLimits{MaxHeaderBytes: 2048, MaxBodyBytes: 1000, HeaderTimeout: 300, IdleTimeout: 300}
	high := zinniatide.CallerLimits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 100_000, HeaderTimeout: 3000, IdleTimeout: 3000}
	short := "GET /a HTTP/1.1\r\n" + head + "\r\n"
	largeBody := "POST /a HTTP/1.1\r\n" + head + "Content-Length: 50000\r\n\r\n" + strings.Repeat("b", 50_000)
	largeHead := "GET /a HTTP/1.1\r\n" + head + "X-Large: " + strings.Repeat("h", 40_000) + "\r\n\r\n"
	for name, row := range map[string]struct {
		before, after zinniatide.CallerLimits
		idle          time.Duration // between the change and the request
		request       string
		pause         time.Duration // within the request
		want          int
	}{
		"body raised":           {before: low, after: high, request: largeBody, want: 200},
		"body lowered":          {before: high, after: low, request: largeBody, want: 413},
		"header raised":         {before: low, after: high, request: largeHead, want: 200},
		"header as before":      {before: low, after: low, request: largeHead, want: 431},
		"header timeout raised": {before: low, after: high, request: short, pause: 600 * time.Millisecond, want: 200},
		"idle timeout raised":   {before: low, after: high, idle: 900 * time.Millisecond, request: short, want: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeHandler()
			f.limits = row.before
			_, address := start(t, f)
			c := dial(t, address)
			c.write(short)
			if status, _, _ := c.answer(); status != 200 {
				t.Fatalf("first request: got %d, want 200", status)
			}
			f.mu.Lock()
			f.limits = row.after
			f.mu.Unlock()
			time.Sleep(row.idle)
			half := len("GET /a HTTP")
			c.write(row.request[:half])
			time.Sleep(row.pause)
			c.write(row.request[half:])
			if status, _, _ := c.answer(); status != row.want {
				t.Errorf("got %d, want %d", status, row.want)
			}
		})
	}
}

// Guards against memory that follows a limit instead of what callers send.
func TestHeaderLimitReservesNoMemory(t *testing.T) {
	for _, limit := range []int{-1, 0, 1, 1 << 40} {
		f := newFakeHandler()
		f.limits.MaxHeaderBytes = limit
		_, address := start(t, f)
		for n := range 16 {
			c := dial(t, address)
			c.write("GET /a HTTP/1.1\r\n" + head + "\r\n")
			if status, _, _ := c.answer(); status != 200 {
				t.Fatalf("limit %d, connection %d: got %d, want 200", limit, n, status)
			}
		}
		large, sound := dial(t, address), dial(t, address)
		// The server may reset the connection while the caller still writes.
		_, _ = fmt.Fprintf(large, "GET /a HTTP/1.1\r\n%sX-Large: %s\r\n\r\n", head, strings.Repeat("h", 2*maxHeaderBuffer))
		if resp, err := http.ReadResponse(large.r, nil); err == nil {
			if got, want := resp.StatusCode, 431; got != want {
				t.Errorf("limit %d: got %d for a header above the largest buffer, want %d", limit, got, want)
			}
			_ = resp.Body.Close()
		}
		sound.write("GET /a HTTP/1.1\r\n" + head + "\r\n")
		if status, _, _ := sound.answer(); status != 200 {
			t.Errorf("limit %d: got %d for another caller, want 200", limit, status)
		}
	}
}

// Guards against an idle timeout of 0 that closes connections before their first
// request, or while its body is read.
func TestIdleTimeoutOfZeroServesRequests(t *testing.T) {
	f := newFakeHandler()
	f.limits.IdleTimeout = 0
	_, address := start(t, f)
	for range 5 {
		c := dial(t, address)
		time.Sleep(20 * time.Millisecond)
		c.write("POST /a HTTP/1.1\r\n" + head + "Content-Length: 3\r\n\r\na")
		time.Sleep(20 * time.Millisecond)
		c.write("bc")
		if status, body, _ := c.answer(); status != 200 || body != "got:abc" {
			t.Errorf("got %d %q, want 200 \"got:abc\"", status, body)
		}
	}
}

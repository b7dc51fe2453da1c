package acceptor

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/relayer"
)

// phaseLimits are short, so that each of them passes within a test.
var phaseLimits = zinniatide.CallerLimits{MaxHeaderBytes: 2048, MaxBodyBytes: 4096, HeaderTimeout: 500, IdleTimeout: 700}

const (
	// slowPhase is how long the slow phase of a request takes. It is below the
	// limits of the phases.
	slowPhase = 350 * time.Millisecond
	// largeAnswer exceeds the socket buffers of a loopback connection, so that a
	// caller that does not read holds up its writer.
	largeAnswer = 16 << 20
)

// phaseHandler answers after the delay and with the size that the path names.
type phaseHandler struct{ *fakeHandler }

func (h phaseHandler) Serve(req *relayer.Request, respond func(relayer.Reply)) func() {
	reply := relayer.Reply{Status: 200, Body: []byte("short")}
	delay := time.Duration(0)
	switch req.Path {
	case "/large":
		reply.Body = bytes.Repeat([]byte("x"), largeAnswer)
	case "/late":
		delay = 2 * phaseLimits.IdleTimeout.Duration()
	}
	stop := time.AfterFunc(delay, func() { respond(reply) })
	return func() { stop.Stop() }
}

// phases send one request on a connection, each with another slow phase.
var phases = map[string]func(c *caller) error{
	"head": func(c *caller) error { return c.exchange("GET /a HTTP/1.1\r\n", head+"\r\n", 0) },
	"body": func(c *caller) error {
		return c.exchange("POST /a HTTP/1.1\r\n"+head+"Content-Length: 4\r\n\r\nab", "cd", 0)
	},
	"continue": func(c *caller) error {
		c.write("POST /a HTTP/1.1\r\n" + head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
			return fmt.Errorf("got %q, %w, want status 100", line, err)
		}
		if _, err := c.r.ReadString('\n'); err != nil {
			return err
		}
		return c.exchange("", "ab", 0)
	},
	"wait":  func(c *caller) error { return c.exchange("GET /late HTTP/1.1\r\n"+head+"\r\n", "", 0) },
	"write": func(c *caller) error { return c.exchange("GET /large HTTP/1.1\r\n"+head+"\r\n", "", slowPhase) },
	"idle": func(c *caller) error {
		time.Sleep(slowPhase)
		return c.exchange("GET /a HTTP/1.1\r\n"+head+"\r\n", "", 0)
	},
}

// exchange sends first and, after slowPhase, rest. It begins to read the answer
// after readDelay.
func (c *caller) exchange(first, rest string, readDelay time.Duration) error {
	if _, err := io.WriteString(c, first); err != nil {
		return err
	}
	if rest != "" {
		time.Sleep(slowPhase)
		if _, err := io.WriteString(c, rest); err != nil {
			return err
		}
	}
	time.Sleep(readDelay)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != 200 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Guards against a limit of one phase of a connection that stays in force and cuts
// a later request: for each pair of phases, the limits of the first one pass while
// the connection is in use.
func TestLimitsOfPhasesEndWithThem(t *testing.T) {
	f := newFakeHandler()
	f.limits = phaseLimits
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(HeaderNames{RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms"}, phaseHandler{f}, newBudget(), clock.New())
	go a.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	for first, sendFirst := range phases {
		for second, sendSecond := range phases {
			t.Run(first+" then "+second, func(t *testing.T) {
				t.Parallel()
				c := dial(t, l.Addr().String())
				if err := sendFirst(c); err != nil {
					t.Fatalf("first request: got %v, want an answer", err)
				}
				for until := time.Now().Add(phaseLimits.IdleTimeout.Duration() * 3 / 2); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
					if err := c.exchange("GET /a HTTP/1.1\r\n"+head+"\r\n", "", 0); err != nil {
						t.Fatalf("short request after the first: got %v, want an answer", err)
					}
				}
				if err := sendSecond(c); err != nil {
					t.Errorf("second request: got %v, want an answer", err)
				}
			})
		}
	}
}

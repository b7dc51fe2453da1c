package connector

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// TestResponses checks that incomplete responses and responses to other requests are
// not reported as done, that an exchange is reported as not-run only if the server
// said so, and that a connection is reused only after a single complete response to
// the request.
func TestResponses(t *testing.T) {
	tests := []struct {
		name       string
		response   string
		closeAfter bool
		outcome    zinniatide.Outcome
		code       zinniatide.Code
		crashed    bool
		reusable   bool // the connection is idle again
	}{
		{name: "valid", response: validResponse, outcome: zinniatide.OutcomeDone, reusable: true},
		{name: "valid with Connection: close", response: modifiedResponse("X-Busy", "Connection: close\r\nX-Busy"), outcome: zinniatide.OutcomeDone},
		{name: "two responses", response: validResponse + validResponse, outcome: zinniatide.OutcomeDone},
		{name: "wrong request id", response: modifiedResponse("r1", "r2"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "wrong version", response: modifiedResponse(": 7", ": 8"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "wrong first key", response: modifiedResponse(": 10", ": 11"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "wrong last key", response: modifiedResponse(": 20", ": 21"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "no incarnation", response: modifiedResponse("X-Incarnation: 5\r\n", ""), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "two request ids", response: modifiedResponse("X-Busy", "X-Request-Id: r2\r\nX-Busy"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "two versions", response: modifiedResponse("X-Busy", "X-Index-Version: 8\r\nX-Busy"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "two last keys", response: modifiedResponse("X-Busy", "X-Last-Key: 21\r\nX-Busy"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "two incarnations", response: modifiedResponse("X-Busy", "X-Incarnation: 6\r\nX-Busy"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "two outcomes", response: modifiedResponse("200 OK", "503 Busy\r\nX-Outcome: not-run\r\nX-Outcome: unknown"), outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeBadAnswer},
		{name: "request id twice", response: modifiedResponse("X-Busy", "X-Request-Id: r1\r\nX-Busy"), outcome: zinniatide.OutcomeDone, reusable: true},
		{name: "no content length", response: modifiedResponse("Content-Length: 2\r\n", ""), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "chunked", response: modifiedResponse("Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
			outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "too large", response: modifiedResponse("Length: 2", fmt.Sprintf("Length: %d", zinniatide.MaxBackendAnswer+1)),
			outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "not HTTP", response: "hello\r\n\r\n", outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "status 000", response: modifiedResponse("200 OK", "000 Odd"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "status 000 that says not run", response: modifiedResponse("200 OK", "000 Odd\r\nX-Outcome: not-run"), outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeBadAnswer},
		{name: "status 0200", response: modifiedResponse("200 OK", "0200 OK"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "status 600", response: modifiedResponse("200 OK", "600 Odd"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "closed within body", response: modifiedResponse("Length: 2", "Length: 3"), closeAfter: true, outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeServerGone, crashed: true},
		{name: "closed within header", response: validResponse[:40], closeAfter: true, outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeServerGone, crashed: true},
		{name: "closed without response", closeAfter: true, outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeServerGone, crashed: true},
		{name: "shed", response: modifiedResponse("200 OK", "503 Busy\r\nX-Outcome: not-run"), outcome: zinniatide.OutcomeNotRun,
			code: zinniatide.CodeShed, reusable: true},
		{name: "shed with wrong request id", response: strings.Replace(modifiedResponse("200 OK", "503 Busy\r\nX-Outcome: not-run"), "r1", "r2", 1),
			outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "503 that may have run", response: modifiedResponse("200 OK", "503 Busy"), outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeBadAnswer, reusable: true},
		{name: "version no longer served", response: modifiedResponse("200 OK", "409 Conflict\r\nX-Outcome: not-run"), outcome: zinniatide.OutcomeNotRun,
			code: zinniatide.CodeWrongVersion, reusable: true},
		{name: "server error", response: modifiedResponse("200 OK", "500 Error"), outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeBadAnswer, reusable: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeServer(t, func(int, *fasthttp.Request) (string, bool) { return tt.response, tt.closeAfter })
			c := clock.NewManual(1000, 0)
			p := newPool(t, f.listener.Addr().String(), c, 1, 1)
			p.Tick(c.Now())
			eventually(t, "an idle connection", p.HasIdleConn)
			x, got := newExchange(2000)
			// A connection that can't be reused must not be idle when the handler
			// is called, because the dispatcher then sends the next request.
			free := false
			x.Handler = handlerFunc(func(a Answer) { free = p.HasIdleConn(); got <- a })
			if !p.TrySend(x) {
				t.Fatal("request was not sent")
			}
			a := <-got
			if a.Outcome != tt.outcome || a.Code != tt.code || a.Crashed != tt.crashed {
				t.Errorf("got %v %q crashed %v, want %v %q %v", a.Outcome, a.Code, a.Crashed, tt.outcome, tt.code, tt.crashed)
			}
			if a.Outcome == zinniatide.OutcomeDone && (string(a.Body) != "{}" || a.Incarnation != 5 || a.BusySlots != 1) {
				t.Errorf("got body %q incarnation %d busy %d", a.Body, a.Incarnation, a.BusySlots)
			}
			if free != tt.reusable {
				t.Errorf("connection is idle again: got %v, want %v", free, tt.reusable)
			}
			if n := f.requests.Load(); n != 1 {
				t.Errorf("server got %d requests, want 1", n)
			}
			if len(got) > 0 {
				t.Errorf("handler was called again with %v", <-got)
			}
		})
	}
}

// TestConnectionLimit checks that no more than MaxConns connections are opened and
// that no request is sent on a connection in use.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	f := newFakeServer(t, func(int, *fasthttp.Request) (string, bool) { <-release; return validResponse, false })
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 2, 5)
	for range 10 {
		p.Tick(c.Now())
	}
	eventually(t, "two connections", func() bool { return p.idleCount() == 2 })
	x1, got1 := newExchange(2000)
	x2, got2 := newExchange(2000)
	x3, _ := newExchange(2000)
	if !p.TrySend(x1) || !p.TrySend(x2) || p.TrySend(x3) {
		t.Error("want two requests sent and the third refused for lack of a connection")
	}
	p.Tick(c.Now())
	close(release)
	for _, got := range []resultChan{got1, got2} {
		if a := <-got; a.Outcome != zinniatide.OutcomeDone {
			t.Errorf("got %v %q", a.Outcome, a.Code)
		}
	}
	if n := f.accepted.Load(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// TestConnectionsClosedWhileIdle checks that no request is sent on a connection that
// the server has closed, and that the pool opens new connections.
func TestConnectionsClosedWhileIdle(t *testing.T) {
	f := newFakeServer(t, func(int, *fasthttp.Request) (string, bool) { return validResponse, false })
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 3, 3)
	p.Tick(c.Now())
	eventually(t, "the minimum of idle connections", func() bool { return p.idleCount() == 3 })
	f.closeConns()
	eventually(t, "no connections", func() bool { return p.NumOpen() == 0 })
	x, got := newExchange(2000)
	if p.TrySend(x) {
		t.Error("request was sent without a connection")
	}
	p.Tick(c.Now())
	eventually(t, "three idle connections again", func() bool { return p.idleCount() == 3 })
	if !p.TrySend(x) {
		t.Fatal("request was not sent")
	}
	if a := <-got; a.Outcome != zinniatide.OutcomeDone {
		t.Errorf("got %v %q", a.Outcome, a.Code)
	}
}

// TestBytesWhileIdle guards against a connection that stays in use although its
// server sends bytes that belong to no request, also when they come slowly.
func TestBytesWhileIdle(t *testing.T) {
	f := newFakeServer(t, func(int, *fasthttp.Request) (string, bool) { return validResponse, false })
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 1, 1)
	p.Tick(c.Now())
	eventually(t, "an idle connection", func() bool { return p.idleCount() == 1 })
	f.mu.Lock()
	_, err := f.conns[0].Write([]byte("H"))
	f.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the connection", func() bool { return p.NumOpen() == 0 })
}

// TestSecondCopyOfRefusal guards against an execution that runs twice: a server
// sends a second copy of its refusal late, when the same request has been sent to
// it again and is running.
func TestSecondCopyOfRefusal(t *testing.T) {
	refusal := strings.Replace(modifiedResponse("200 OK", "503 Service Unavailable"), "X-Busy: 1", "X-Outcome: not-run", 1)
	var refused atomic.Bool
	f := newFakeServer(t, func(number int, _ *fasthttp.Request) (string, bool) {
		if refused.CompareAndSwap(false, true) {
			return refusal, false
		}
		if number == 1 {
			return refusal + validResponse, false // the late copy comes first
		}
		return validResponse, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 2, 1)
	send := func() Answer {
		t.Helper()
		p.Tick(c.Now())
		eventually(t, "an idle connection", p.HasIdleConn)
		x, got := newExchange(2000)
		x.Request.Operation = zinniatide.OperationExecute
		if !p.TrySend(x) {
			t.Fatal("request was not sent")
		}
		return <-got
	}
	if a := send(); a.Outcome != zinniatide.OutcomeNotRun {
		t.Fatalf("got %v for the refused attempt, want not-run", a.Outcome)
	}
	if a := send(); a.Outcome != zinniatide.OutcomeDone {
		t.Errorf("got %v for the attempt that ran, want done", a.Outcome)
	}
}

// TestLargeRequest checks that a request that is too large for the socket's buffer
// arrives completely.
func TestLargeRequest(t *testing.T) {
	var size atomic.Int64
	f := newFakeServer(t, func(_ int, req *fasthttp.Request) (string, bool) {
		size.Store(int64(len(req.Body())))
		return validResponse, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 1, 1)
	p.Tick(c.Now())
	eventually(t, "an idle connection", p.HasIdleConn)
	x, got := newExchange(2000)
	x.Request.Body = make([]byte, 32<<20)
	if !p.TrySend(x) {
		t.Fatal("request was not sent")
	}
	if a := <-got; a.Outcome != zinniatide.OutcomeDone || size.Load() != 32<<20 {
		t.Errorf("got %v with %d bytes at the server", a.Outcome, size.Load())
	}
}

// TestConnectionLostWhileWriting checks that the outcome is not-run if the connection
// is lost before any byte was written, and unknown afterwards. A pipe accepts no
// byte until the peer reads it.
func TestConnectionLostWhileWriting(t *testing.T) {
	// The index is the number of bytes that the peer reads before it closes.
	for read, want := range []zinniatide.Outcome{zinniatide.OutcomeNotRun, zinniatide.OutcomeUnknown} {
		here, there := net.Pipe()
		c := clock.NewManual(1000, 0)
		p := New(Options{MaxConns: 1, MinConns: 1, Clock: c, Dial: func(string, zinniatide.Millis) (net.Conn, error) {
			return here, nil
		}})
		p.Tick(c.Now())
		eventually(t, "an idle connection", p.HasIdleConn)
		x, got := newExchange(2000)
		if !p.TrySend(x) {
			t.Fatal("request was not accepted")
		}
		if _, err := there.Read(make([]byte, read)); err != nil {
			t.Fatal(err)
		}
		_ = there.Close()
		if a := <-got; a.Outcome != want || a.Crashed != (read > 0) {
			t.Errorf("got %v crashed %v after %d bytes, want %v", a.Outcome, a.Crashed, read, want)
		}
		p.Close()
		p.Wait()
	}
}

// TestUnresponsiveConnection checks the case that existing connections stop
// responding while new ones work: the existing connections are closed as soon as a
// new one gets a response, and not before.
func TestUnresponsiveConnection(t *testing.T) {
	release := make(chan struct{})
	f := newFakeServer(t, func(number int, req *fasthttp.Request) (string, bool) {
		if number <= 3 {
			<-release
			return "", true
		}
		if string(req.URI().Path()) == "/v1/cancel" {
			return cancelResponse, false
		}
		return validResponse, false
	})
	defer close(release)
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 3, 3)
	p.Tick(c.Now())
	eventually(t, "the minimum of idle connections", func() bool { return p.idleCount() == 3 })
	x, got := newExchange(1100)
	if !p.TrySend(x) {
		t.Fatal("request was not sent")
	}
	c.Advance(150) // past the deadline but within the grace period
	p.Tick(c.Now())
	if n := p.NumOpen(); n != 3 || p.probing() || len(got) != 0 {
		t.Errorf("got %d connections, probing %v and %d results within the grace period", n, p.probing(), len(got))
	}
	c.Advance(100)
	p.Tick(c.Now())
	if a := <-got; a.Outcome != zinniatide.OutcomeUnknown || a.Crashed {
		t.Errorf("got %v crashed %v, want unknown and not crashed", a.Outcome, a.Crashed)
	}
	eventually(t, "unresponsive connections closed and the new one idle", func() bool { return p.NumOpen() == 1 && p.idleCount() == 1 })
	if n := f.cancels.Load(); n != 1 {
		t.Errorf("got %d cancellations, want 1", n)
	}
}

// TestUnresponsiveServer checks that an exchange ends after MaxRequestTime if no
// connection gets a response. Otherwise its slot would be lost permanently.
func TestUnresponsiveServer(t *testing.T) {
	release := make(chan struct{})
	f := newFakeServer(t, func(int, *fasthttp.Request) (string, bool) { <-release; return "", true })
	defer close(release)
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 2, 2)
	p.Tick(c.Now())
	eventually(t, "the minimum of idle connections", func() bool { return p.idleCount() == 2 })
	x, got := newExchange(1100)
	if !p.TrySend(x) {
		t.Fatal("request was not sent")
	}
	c.Advance(300)
	p.Tick(c.Now())
	eventually(t, "a probe", func() bool { return f.cancels.Load() == 1 })
	if len(got) != 0 {
		t.Errorf("got a result although no connection has got a response")
	}
	c.Advance(zinniatide.MaxRequestTime)
	p.Tick(c.Now())
	if a := <-got; a.Outcome != zinniatide.OutcomeUnknown || a.Crashed {
		t.Errorf("got %v crashed %v", a.Outcome, a.Crashed)
	}
}

// TestCancelAfterEnd checks that no cancellation is sent after its request has ended,
// because it could cancel a later attempt with the same request id.
func TestCancelAfterEnd(t *testing.T) {
	release := make(chan struct{})
	f := newFakeServer(t, func(_ int, req *fasthttp.Request) (string, bool) {
		if string(req.URI().Path()) == "/v1/cancel" {
			return cancelResponse, false
		}
		<-release
		return validResponse, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 1, 1)
	p.Tick(c.Now())
	eventually(t, "an idle connection", p.HasIdleConn)
	x, got := newExchange(2000)
	if !p.TrySend(x) {
		t.Fatal("request was not sent")
	}
	p.Cancel(x) // stays pending, because the only connection is in use
	close(release)
	<-got
	p.Tick(c.Now())
	again, got := newExchange(2000)
	if !p.TrySend(again) {
		t.Fatal("request was not sent")
	}
	<-got
	if n := f.cancels.Load(); n != 0 {
		t.Errorf("got %d cancellations, want 0", n)
	}
}

// TestResponseOnOldConnection checks that a response on a connection opened before
// the probe does not cause another old connection to be closed, because the request
// on that one may just be slow.
func TestResponseOnOldConnection(t *testing.T) {
	// The response to the cancellation is held back until the slow request has ended,
	// because a response on the new connection closes the old one.
	release, releaseCancel := make(chan struct{}), make(chan struct{})
	defer close(releaseCancel)
	f := newFakeServer(t, func(_ int, req *fasthttp.Request) (string, bool) {
		if string(req.URI().Path()) == "/v1/cancel" {
			<-releaseCancel
			return validResponse, false
		}
		if string(req.Header.Peek("X-Request-Id")) == "slow" {
			<-release
			return strings.Replace(validResponse, "r1", "slow", 1), false
		}
		return validResponse, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 3, 2)
	p.Tick(c.Now())
	eventually(t, "the minimum of idle connections", func() bool { return p.idleCount() == 2 })
	slow, gotSlow := newExchange(1100)
	slow.Request.RequestID = "slow"
	if !p.TrySend(slow) {
		t.Fatal("request was not sent")
	}
	c.Advance(300)
	p.Tick(c.Now())
	eventually(t, "a probe", func() bool { return f.cancels.Load() == 1 })
	x, got := newExchange(2000)
	if !p.TrySend(x) {
		t.Fatal("request was not sent")
	}
	<-got
	if n := p.NumOpen(); n != 3 || len(gotSlow) != 0 {
		t.Errorf("got %d connections and %d results, want 3 and 0", n, len(gotSlow))
	}
	close(release)
	if a := <-gotSlow; a.Outcome != zinniatide.OutcomeDone {
		t.Errorf("got %v %q", a.Outcome, a.Code)
	}
}

// TestUnreachableServer checks that a server that refuses connections is reported as
// gone, and that the pool does not reconnect without a delay.
func TestUnreachableServer(t *testing.T) {
	var dials atomic.Int64
	c := clock.NewManual(1000, 0)
	p := New(Options{Address: "x", MaxConns: 3, MinConns: 3, Clock: c, Dial: func(string, zinniatide.Millis) (net.Conn, error) {
		dials.Add(1)
		return nil, net.ErrClosed
	}})
	defer p.Wait()
	defer p.Close()
	p.Tick(c.Now())
	eventually(t, "failed dials", func() bool { return p.NumOpen() == 0 })
	first := dials.Load()
	p.Tick(c.Now())
	if got := dials.Load(); got != first {
		t.Errorf("got %d dials without delay, want %d", got, first)
	}
	c.Advance(maxReconnectDelay)
	p.Tick(c.Now())
	eventually(t, "server reported as gone", func() bool { return p.Unreachable() && p.NumOpen() == 0 })
	if got := dials.Load(); got != first+1 {
		t.Errorf("got %d dials, want %d", got, first+1)
	}
}

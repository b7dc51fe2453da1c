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

// TestAnswers guards against merging an answer that is not whole or belongs to
// another request, and against a not-run that is not true.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  string
		hangUp  bool
		outcome zinniatide.Outcome
		code    zinniatide.Code
		crashed bool
		reused  bool // the connection is used again
	}{
		{name: "good", answer: goodAnswer, outcome: zinniatide.OutcomeDone, reused: true},
		{name: "good and close", answer: edit("X-Busy", "Connection: close\r\nX-Busy"), outcome: zinniatide.OutcomeDone},
		{name: "doubled", answer: goodAnswer + goodAnswer, outcome: zinniatide.OutcomeDone},
		{name: "crossed id", answer: edit("r1", "r2"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "wrong version", answer: edit(": 7", ": 8"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "wrong first key", answer: edit(": 10", ": 11"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "wrong last key", answer: edit(": 20", ": 21"), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "no incarnation", answer: edit("X-Incarnation: 5\r\n", ""), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "no length", answer: edit("Content-Length: 2\r\n", ""), outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "chunked", answer: edit("Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
			outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "too large", answer: edit("Length: 2", fmt.Sprintf("Length: %d", zinniatide.MaxBackendAnswer+1)),
			outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "not HTTP", answer: "hello\r\n\r\n", outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "cut in body", answer: edit("Length: 2", "Length: 3"), hangUp: true, outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeServerGone, crashed: true},
		{name: "cut in header", answer: goodAnswer[:40], hangUp: true, outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeServerGone, crashed: true},
		{name: "closed without answer", hangUp: true, outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeServerGone, crashed: true},
		{name: "shed", answer: edit("200 OK", "503 Busy\r\nX-Outcome: not-run"), outcome: zinniatide.OutcomeNotRun,
			code: zinniatide.CodeShed, reused: true},
		{name: "shed another request", answer: strings.Replace(edit("200 OK", "503 Busy\r\nX-Outcome: not-run"), "r1", "r2", 1),
			outcome: zinniatide.OutcomeUnknown, code: zinniatide.CodeBadAnswer},
		{name: "503 that may have run", answer: edit("200 OK", "503 Busy"), outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeBadAnswer, reused: true},
		{name: "version gone", answer: edit("200 OK", "409 Conflict\r\nX-Outcome: not-run"), outcome: zinniatide.OutcomeNotRun,
			code: zinniatide.CodeWrongVersion, reused: true},
		{name: "server error", answer: edit("200 OK", "500 Error"), outcome: zinniatide.OutcomeUnknown,
			code: zinniatide.CodeBadAnswer, reused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFake(t, func(int, *fasthttp.Request) (string, bool) { return tt.answer, tt.hangUp })
			c := clock.NewManual(1000, 0)
			p := newPool(t, f.listener.Addr().String(), c, 1, 1)
			p.Tick(c.Now())
			eventually(t, "a free connection", p.Free)
			x, got := newExchange(2000)
			// The connection must be unusable by the time the exchange ends: the
			// next request would be sent right then.
			free := false
			x.Handler = handlerFunc(func(a Answer) { free = p.Free(); got <- a })
			if !p.Send(x) {
				t.Fatal("request was not sent")
			}
			a := <-got
			if a.Outcome != tt.outcome || a.Code != tt.code || a.Crashed != tt.crashed {
				t.Errorf("got %v %q crashed %v, want %v %q %v", a.Outcome, a.Code, a.Crashed, tt.outcome, tt.code, tt.crashed)
			}
			if a.Outcome == zinniatide.OutcomeDone && (string(a.Body) != "{}" || a.Incarnation != 5 || a.Busy != 1) {
				t.Errorf("got body %q incarnation %d busy %d", a.Body, a.Incarnation, a.Busy)
			}
			if free != tt.reused {
				t.Errorf("got connection reused %v, want %v", free, tt.reused)
			}
			if n := f.requests.Load(); n != 1 {
				t.Errorf("server got %d requests, want 1", n)
			}
			if len(got) > 0 {
				t.Errorf("got a second end %v", <-got)
			}
		})
	}
}

// TestLimit guards against more connections than the server's limit, and
// against sending on a connection that is in use.
func TestLimit(t *testing.T) {
	hold := make(chan struct{})
	f := newFake(t, func(int, *fasthttp.Request) (string, bool) { <-hold; return goodAnswer, false })
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 2, 5)
	for range 10 {
		p.Tick(c.Now())
	}
	eventually(t, "two connections", func() bool { return p.idleCount() == 2 })
	x1, got1 := newExchange(2000)
	x2, got2 := newExchange(2000)
	x3, _ := newExchange(2000)
	if !p.Send(x1) || !p.Send(x2) || p.Send(x3) {
		t.Error("got a result other than two sent requests and one without connection")
	}
	p.Tick(c.Now())
	close(hold)
	for _, got := range []result{got1, got2} {
		if a := <-got; a.Outcome != zinniatide.OutcomeDone {
			t.Errorf("got %v %q", a.Outcome, a.Code)
		}
	}
	if n := f.accepted.Load(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// TestClosedWhileIdle guards against sending on a connection that the server
// has closed, and against a pool that does not recover.
func TestClosedWhileIdle(t *testing.T) {
	f := newFake(t, func(int, *fasthttp.Request) (string, bool) { return goodAnswer, false })
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 3, 3)
	p.Tick(c.Now())
	eventually(t, "warm connections", func() bool { return p.idleCount() == 3 })
	f.hangUp()
	eventually(t, "no connections", func() bool { return p.Open() == 0 })
	x, got := newExchange(2000)
	if p.Send(x) {
		t.Error("sent without connection")
	}
	p.Tick(c.Now())
	eventually(t, "warm connections again", func() bool { return p.idleCount() == 3 })
	if !p.Send(x) {
		t.Fatal("request was not sent")
	}
	if a := <-got; a.Outcome != zinniatide.OutcomeDone {
		t.Errorf("got %v %q", a.Outcome, a.Code)
	}
}

// TestLargeRequest guards against a request that the socket does not take at
// once: it must arrive whole, and a loss on the way must be unknown.
func TestLargeRequest(t *testing.T) {
	var size atomic.Int64
	f := newFake(t, func(_ int, req *fasthttp.Request) (string, bool) {
		size.Store(int64(len(req.Body())))
		return goodAnswer, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 1, 1)
	p.Tick(c.Now())
	eventually(t, "a free connection", p.Free)
	x, got := newExchange(2000)
	x.Request.Body = make([]byte, 32<<20)
	if !p.Send(x) {
		t.Fatal("request was not sent")
	}
	if a := <-got; a.Outcome != zinniatide.OutcomeDone || size.Load() != 32<<20 {
		t.Errorf("got %v with %d bytes at the server", a.Outcome, size.Load())
	}
}

// TestLostWhileWriting guards against not-run after a byte was written, and
// against unknown before. A pipe takes no byte until the peer reads one.
func TestLostWhileWriting(t *testing.T) {
	for read, want := range []zinniatide.Outcome{zinniatide.OutcomeNotRun, zinniatide.OutcomeUnknown} {
		here, there := net.Pipe()
		c := clock.NewManual(1000, 0)
		p := New(Options{Limit: 1, Warm: 1, Clock: c, Dial: func(string, zinniatide.Millis) (net.Conn, error) {
			return here, nil
		}})
		p.Tick(c.Now())
		eventually(t, "a free connection", p.Free)
		x, got := newExchange(2000)
		if !p.Send(x) {
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

// TestSilentConnection guards against connections that go silent for good while
// new ones work: they are replaced once a fresh one answers, and not before.
func TestSilentConnection(t *testing.T) {
	hold := make(chan struct{})
	f := newFake(t, func(number int, req *fasthttp.Request) (string, bool) {
		if number <= 3 {
			<-hold
			return "", true
		}
		if string(req.URI().Path()) == "/v1/cancel" {
			return cancelAnswer, false
		}
		return goodAnswer, false
	})
	defer close(hold)
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 3, 3)
	p.Tick(c.Now())
	eventually(t, "warm connections", func() bool { return p.idleCount() == 3 })
	x, got := newExchange(1100)
	if !p.Send(x) {
		t.Fatal("request was not sent")
	}
	c.Advance(150) // past the deadline but within the grace
	p.Tick(c.Now())
	if n := p.Open(); n != 3 || p.suspecting() || len(got) != 0 {
		t.Errorf("got %d connections, suspicion %v and %d ends before the grace was over", n, p.suspecting(), len(got))
	}
	c.Advance(100)
	p.Tick(c.Now())
	if a := <-got; a.Outcome != zinniatide.OutcomeUnknown || a.Crashed {
		t.Errorf("got %v crashed %v, want unknown without crash", a.Outcome, a.Crashed)
	}
	eventually(t, "the silent connections closed and the fresh one free", func() bool { return p.Open() == 1 && p.idleCount() == 1 })
	if n := f.cancels.Load(); n != 1 {
		t.Errorf("got %d cancellations, want 1", n)
	}
}

// TestStuckServer guards against losing the slot for good when no connection
// answers: the exchange ends after MaxRequestTime.
func TestStuckServer(t *testing.T) {
	hold := make(chan struct{})
	f := newFake(t, func(int, *fasthttp.Request) (string, bool) { <-hold; return "", true })
	defer close(hold)
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 2, 2)
	p.Tick(c.Now())
	eventually(t, "warm connections", func() bool { return p.idleCount() == 2 })
	x, got := newExchange(1100)
	if !p.Send(x) {
		t.Fatal("request was not sent")
	}
	c.Advance(300)
	p.Tick(c.Now())
	eventually(t, "a probe", func() bool { return f.cancels.Load() == 1 })
	if len(got) != 0 {
		t.Errorf("got an end although no connection answers")
	}
	c.Advance(zinniatide.MaxRequestTime)
	p.Tick(c.Now())
	if a := <-got; a.Outcome != zinniatide.OutcomeUnknown || a.Crashed {
		t.Errorf("got %v crashed %v", a.Outcome, a.Crashed)
	}
}

// TestLateCancel guards against a cancellation that is sent after its request
// has ended: it could hit a later attempt with the same id.
func TestLateCancel(t *testing.T) {
	hold := make(chan struct{})
	f := newFake(t, func(_ int, req *fasthttp.Request) (string, bool) {
		if string(req.URI().Path()) == "/v1/cancel" {
			return cancelAnswer, false
		}
		<-hold
		return goodAnswer, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 1, 1)
	p.Tick(c.Now())
	eventually(t, "a free connection", p.Free)
	x, got := newExchange(2000)
	if !p.Send(x) {
		t.Fatal("request was not sent")
	}
	p.Cancel(x) // waits, since the only connection is in use
	close(hold)
	<-got
	p.Tick(c.Now())
	again, got := newExchange(2000)
	if !p.Send(again) {
		t.Fatal("request was not sent")
	}
	<-got
	if n := f.cancels.Load(); n != 0 {
		t.Errorf("got %d cancellations, want 0", n)
	}
}

// TestOldAnswer guards against calling a connection silent because one that
// is as old answers: the request may simply take long.
func TestOldAnswer(t *testing.T) {
	// The cancellation is answered after the slow request. An answer of the fresh
	// connection before it would rightly have the old connection closed.
	hold, holdCancel := make(chan struct{}), make(chan struct{})
	defer close(holdCancel)
	f := newFake(t, func(_ int, req *fasthttp.Request) (string, bool) {
		if string(req.URI().Path()) == "/v1/cancel" {
			<-holdCancel
			return goodAnswer, false
		}
		if string(req.Header.Peek("X-Request-Id")) == "slow" {
			<-hold
			return strings.Replace(goodAnswer, "r1", "slow", 1), false
		}
		return goodAnswer, false
	})
	c := clock.NewManual(1000, 0)
	p := newPool(t, f.listener.Addr().String(), c, 3, 2)
	p.Tick(c.Now())
	eventually(t, "warm connections", func() bool { return p.idleCount() == 2 })
	slow, gotSlow := newExchange(1100)
	slow.Request.RequestID = "slow"
	if !p.Send(slow) {
		t.Fatal("request was not sent")
	}
	c.Advance(300)
	p.Tick(c.Now())
	eventually(t, "a probe", func() bool { return f.cancels.Load() == 1 })
	x, got := newExchange(2000)
	if !p.Send(x) {
		t.Fatal("request was not sent")
	}
	<-got
	if n := p.Open(); n != 3 || len(gotSlow) != 0 {
		t.Errorf("got %d connections and %d ends, want 3 and 0", n, len(gotSlow))
	}
	close(hold)
	if a := <-gotSlow; a.Outcome != zinniatide.OutcomeDone {
		t.Errorf("got %v %q", a.Outcome, a.Code)
	}
}

// TestGone guards against waiting for a server that takes no connection, and
// against reconnecting without delay.
func TestGone(t *testing.T) {
	var dials atomic.Int64
	c := clock.NewManual(1000, 0)
	p := New(Options{Address: "x", Limit: 3, Warm: 3, Clock: c, Dial: func(string, zinniatide.Millis) (net.Conn, error) {
		dials.Add(1)
		return nil, net.ErrClosed
	}})
	defer p.Wait()
	defer p.Close()
	p.Tick(c.Now())
	eventually(t, "failed dials", func() bool { return p.Open() == 0 })
	first := dials.Load()
	p.Tick(c.Now())
	if got := dials.Load(); got != first {
		t.Errorf("got %d dials without delay, want %d", got, first)
	}
	c.Advance(maxRedial)
	p.Tick(c.Now())
	eventually(t, "server gone", func() bool { return p.Gone() && p.Open() == 0 })
	if got := dials.Load(); got != first+1 {
		t.Errorf("got %d dials, want %d", got, first+1)
	}
}

package relayer

import (
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

const (
	// maxSheds bounds the servers that may turn one request away.
	maxSheds = 3
)

// forwarding answers a plain request from one server.
type forwarding struct {
	task
	service *selector.Service
	tried   []*selector.Server
	runs    int // servers that may have begun to run the request
	sheds   int
	running int
	// failure is a server's own failure, kept until no better answer can come.
	failure *Reply
}

func (f *forwarding) begin() {
	target := f.route.Target(f.r.d.Random)
	f.service = f.r.services[target]
	o := f.r.options(nil)
	if f.service == nil || !f.service.Available(o) {
		f.r.refuse(f.req, f.route, f.respond, statusUnavailable, "no server of "+string(target)+" can be reached", lostRetryAfter)
		f.ended = true
		return
	}
	s := f.service.Pick(o)
	if s == nil {
		f.r.refuse(f.req, f.route, f.respond, statusUnavailable, "cold servers have their rate", shortRetryAfter)
		f.ended = true
		return
	}
	f.service.Budget.Request(o.Now)
	f.after(f.end-endMargin-o.Now, f.timeout)
	f.trySend(s, "")
	f.planHedge()
}

// trySend sends the request to s.
func (f *forwarding) trySend(s *selector.Server, why string) {
	if why != "" {
		klog.InfoS("request sent again", "step", "relay", "request", f.req.ID, "route", f.route.ID, "server", s.Server,
			"reason", why, "sends", len(f.tried)+1)
	}
	f.tried = append(f.tried, s)
	f.runs++
	f.running++
	f.send(s, f.answered)
}

// planHedge has a second server asked when the answer is late. A request that
// may run once only is never sent twice.
func (f *forwarding) planHedge() {
	spread := &f.service.Latency
	if !f.route.Idempotent || !spread.Known() || f.ended {
		return
	}
	f.after(zinniatide.Millis(spread.High)+1, func() {
		if f.running == 1 && f.runs < f.route.MaxAttempts {
			f.again("no answer yet")
		}
	})
}

// again sends the request to another server, and reports whether it did.
func (f *forwarding) again(why string) bool {
	o := f.r.options(f.tried)
	s := f.service.Pick(o)
	if s == nil || !f.service.Budget.Take(o.Now) {
		return false
	}
	f.trySend(s, why)
	return true
}

func (f *forwarding) answered(y *try, a transporter.Answer) {
	f.running--
	if !a.Result.MayHaveRun() {
		f.runs--
	}
	switch a.Result {
	case transporter.Answered:
		f.pass(y, &a)
		return
	case transporter.NotRun:
		f.sheds++
	}
	repeatable := f.route.Idempotent || !a.Result.MayHaveRun()
	if repeatable && f.runs < max(f.route.MaxAttempts, 1) && f.sheds < maxSheds && f.again(a.Result.String()) {
		return
	}
	f.give(a.Result.String())
}

// pass hands a server's answer to the caller. A failure of an idempotent
// request is passed on only when no other server can be asked.
func (f *forwarding) pass(y *try, a *transporter.Answer) {
	reply := Reply{Status: a.Status, Header: f.r.forwardedHeader(a.Header), Body: append([]byte(nil), a.Body...)}
	if a.Status < 500 && a.Stamp != "" {
		f.succeed(y, reply)
		return
	}
	if a.Stamp != "" {
		f.failure = &reply
	}
	if f.route.Idempotent && f.runs < f.route.MaxAttempts && f.again("server failed") {
		return
	}
	f.give("server failed")
}

func (f *forwarding) succeed(y *try, reply Reply) {
	now := f.r.d.Clock.Now()
	f.r.metrics.outcome(f.route, "answered", float64(now-f.req.Arrived))
	if len(f.tried) > 1 {
		klog.InfoS("request answered after several sends", "step", "relay", "request", f.req.ID, "route", f.route.ID,
			"server", y.server.Server, "sends", len(f.tried), "after-ms", now-f.req.Arrived)
	}
	f.finish(reply)
}

// give ends the request unless another exchange is still open.
func (f *forwarding) give(reason string) {
	if f.running > 0 {
		return
	}
	if f.failure != nil {
		now := f.r.d.Clock.Now()
		klog.InfoS("server's failure passed on", "step", "relay", "request", f.req.ID, "route", f.route.ID,
			"status", f.failure.Status, "sends", len(f.tried), "after-ms", now-f.req.Arrived)
		f.r.metrics.outcome(f.route, "server-failed", float64(now-f.req.Arrived))
		f.finish(*f.failure)
		return
	}
	f.fail(reason, shortRetryAfter, "tried", f.triedServers())
}

// triedServers lists the servers that were asked.
func (f *forwarding) triedServers() []string {
	now := f.r.d.Clock.Now()
	out := make([]string, 0, len(f.tried))
	for _, s := range f.tried {
		out = append(out, s.Describe(now))
	}
	return out
}

// timeout ends the request at its deadline.
func (f *forwarding) timeout() {
	if f.failure != nil {
		f.running = 0
		f.give("timeout")
		return
	}
	// A request that waits for a connection has not run and will not.
	for _, y := range f.open {
		if !y.exchange.Withdraw() {
			f.ran = true
		}
	}
	f.fail("timeout", 0, "tried", f.triedServers())
}

// forwardedHeader returns the header lines of a server's answer that a caller
// gets.
func (r *Relayer) forwardedHeader(h *fasthttp.ResponseHeader) []byte {
	var out []byte
	for key, value := range h.All() {
		if r.internal[string(key)] {
			continue
		}
		out = headerline.Append(out, key, value)
	}
	return out
}

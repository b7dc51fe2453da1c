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
	// maxSheds is the number of servers that may shed a request before it fails.
	maxSheds = 3
)

// forwardRequest answers a plain request with the response of one server.
type forwardRequest struct {
	activeRequest
	service      *selector.Service
	tried        []*selector.Server
	possibleRuns int // servers that may have started the request
	sheds        int
	inFlight     int
	// errorReply is an error response of a server. It is returned to the caller if
	// no other server gives a better response.
	errorReply *Reply
}

func (f *forwardRequest) start() {
	f.service = f.r.services[f.target]
	o := f.r.selectionOptions(nil)
	if f.service == nil || !f.service.Available(o) {
		f.r.refuse(f.req, f.route, f.respond, statusUnavailable, "no server of "+string(f.target)+" can be reached", f.r.retryAfterOf(o, f.service))
		f.finished = true
		return
	}
	s := f.r.pickFirst(f.service, o)
	if s == nil {
		f.r.refuse(f.req, f.route, f.respond, statusUnavailable, "servers that are cold or were paused have their rate", shortRetryAfter)
		f.finished = true
		return
	}
	f.service.Budget.RecordRequest(o.Now)
	f.r.countRequest(f.service)
	f.after(f.deadline-deadlineMargin-o.Now, f.timeout)
	f.sendTo(s, "")
	f.scheduleHedge()
}

// sendTo sends the request to s.
func (f *forwardRequest) sendTo(s *selector.Server, reason string) {
	if reason != "" {
		klog.InfoS("resending request to another server", "step", "relay", "request", f.req.ID, "route", f.route.ID, "server", s.Server,
			"reason", reason, "sends", len(f.tried)+1)
	}
	f.tried = append(f.tried, s)
	f.possibleRuns++
	f.inFlight++
	f.send(s, f.handleAnswer)
}

// scheduleHedge sends the request to a second server if the response is late.
// Requests that are not idempotent are never hedged.
func (f *forwardRequest) scheduleHedge() {
	latency := &f.service.Latency
	if !f.route.Idempotent || !latency.HasEnoughSamples() || f.finished {
		return
	}
	f.after(zinniatide.Millis(latency.HighQuantile)+1, func() {
		if f.inFlight == 1 && f.possibleRuns < f.route.MaxAttempts && !f.leavesHedge(f.service) {
			f.resend("no response within the hedge delay")
		}
	})
}

// resend sends the request to another server and reports whether it did.
func (f *forwardRequest) resend(reason string) bool {
	o := f.r.selectionOptions(f.tried)
	o.Hedge = f.inFlight > 0
	o.LastAttempt = !o.Hedge && f.sheds == maxSheds-1
	s := f.service.Pick(o)
	if s == nil || !f.service.Budget.TryTake(o.Now) {
		return false
	}
	f.sendTo(s, reason)
	return true
}

func (f *forwardRequest) handleAnswer(att *attempt, a transporter.Answer) {
	f.inFlight--
	if !a.Result.MayHaveRun() {
		f.possibleRuns--
	}
	switch a.Result {
	case transporter.Answered:
		f.handleResponse(att, &a)
		return
	case transporter.NotRun:
		f.sheds++
	}
	resendable := f.route.Idempotent || !a.Result.MayHaveRun()
	if resendable && f.possibleRuns < max(f.route.MaxAttempts, 1) && f.sheds < maxSheds && f.resend(a.Result.String()) {
		return
	}
	f.failUnlessInFlight(a.Result.String())
}

// handleResponse passes a server's response on to the caller. An error response
// to an idempotent request is passed on only if no other server can be tried.
func (f *forwardRequest) handleResponse(att *attempt, a *transporter.Answer) {
	reply := Reply{Status: a.Status, Header: f.r.callerHeader(a.Header), Body: append([]byte(nil), a.Body...)}
	if a.Status < 500 && a.Stamp != "" {
		f.replySuccess(att, reply)
		return
	}
	if a.Stamp != "" {
		f.errorReply = &reply
	}
	if f.route.Idempotent && f.possibleRuns < f.route.MaxAttempts && f.resend("server failed") {
		return
	}
	f.failUnlessInFlight("server failed")
}

func (f *forwardRequest) replySuccess(att *attempt, reply Reply) {
	now := f.r.deps.Clock.Now()
	f.r.metrics.observeOutcome(f.route, f.priority, "answered", float64(now-f.req.ArrivedAt))
	f.observeResult(f.resultOf(now))
	if len(f.tried) > 1 {
		klog.InfoS("request answered after several attempts", "step", "relay", "request", f.req.ID, "route", f.route.ID,
			"server", att.server.Server, "sends", len(f.tried), "after-ms", now-f.req.ArrivedAt)
	}
	f.finish(reply)
}

// failUnlessInFlight ends the request unless another attempt is in flight. The
// caller gets a server's error response if there is one.
func (f *forwardRequest) failUnlessInFlight(reason string) {
	if f.inFlight > 0 {
		return
	}
	if f.errorReply != nil {
		now := f.r.deps.Clock.Now()
		klog.InfoS("passing on the error response of a backend server", "step", "relay", "request", f.req.ID, "route", f.route.ID,
			"status", f.errorReply.Status, "sends", len(f.tried), "after-ms", now-f.req.ArrivedAt)
		f.r.metrics.observeOutcome(f.route, f.priority, "server-failed", float64(now-f.req.ArrivedAt))
		f.finish(*f.errorReply)
		return
	}
	if f.sheds > 0 {
		f.observeResult(zinniatide.CapacityFailed)
	}
	f.fail(reason, shortRetryAfter, "tried", f.triedServers())
}

// triedServers describes the servers that the request was sent to.
func (f *forwardRequest) triedServers() []string {
	now := f.r.deps.Clock.Now()
	out := make([]string, 0, len(f.tried))
	for _, s := range f.tried {
		out = append(out, s.Describe(now))
	}
	return out
}

// timeout ends the request at its deadline.
func (f *forwardRequest) timeout() {
	f.observeResult(zinniatide.CapacityFailed)
	f.end("timeout", 0)
}

// end ends the request before a server has answered it. retryAfter applies if no
// server has received it.
func (f *forwardRequest) end(reason string, retryAfter zinniatide.Millis) {
	if f.errorReply != nil {
		f.inFlight = 0
		f.failUnlessInFlight(reason)
		return
	}
	f.recallUnsent()
	f.fail(reason, retryAfter, "tried", f.triedServers())
}

// callerHeader returns the header lines of a server's response that are passed
// on to the caller.
func (r *Relayer) callerHeader(h *fasthttp.ResponseHeader) []byte {
	var out []byte
	for key, value := range h.All() {
		if r.strippedHeaders[string(key)] {
			continue
		}
		out = headerline.Append(out, key, value)
	}
	return out
}

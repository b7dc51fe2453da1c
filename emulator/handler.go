package emulator

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

const (
	statusCancelled = 499 // client closed request
	hitsPerShard    = 3
)

type subRequest struct {
	key     requestKey
	service zinniatide.ServiceID
	version zinniatide.IndexVersion
	timeout time.Duration
}

func (e *Emulator) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/sub-query":
		e.handleSubRequest(ctx, zinniatide.OperationSearch)
	case "/v1/sub-execute":
		e.handleSubRequest(ctx, zinniatide.OperationExecute)
	case "/v1/cancel":
		e.handleCancel(ctx)
	case "/v1/health":
		ctx.SetStatusCode(fasthttp.StatusOK)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func headerUint(ctx *fasthttp.RequestCtx, name string) (uint64, bool) {
	n, err := strconv.ParseUint(string(ctx.Request.Header.Peek(name)), 10, 64)
	return n, err == nil
}

func parseSubRequest(ctx *fasthttp.RequestCtx) (subRequest, bool) {
	version, okVersion := headerUint(ctx, "x-index-version")
	first, okFirst := headerUint(ctx, "x-first-key")
	last, okLast := headerUint(ctx, "x-last-key")
	timeoutMs, okTimeout := headerUint(ctx, "x-deadline-ms")
	r := subRequest{
		key:     requestKey{request: string(ctx.Request.Header.Peek("x-request-id")), first: uint32(first), last: uint32(last)},
		service: zinniatide.ServiceID(ctx.Request.Header.Peek("x-service")),
		version: zinniatide.IndexVersion(version),
		timeout: time.Duration(timeoutMs) * time.Millisecond,
	}
	return r, okVersion && okFirst && okLast && okTimeout && r.key.request != ""
}

func (e *Emulator) handleSubRequest(ctx *fasthttp.RequestCtx, op zinniatide.Operation) {
	r, ok := parseSubRequest(ctx)
	if !ok {
		refuse(ctx, fasthttp.StatusBadRequest)
		return
	}
	if !e.serves(r) {
		refuse(ctx, fasthttp.StatusConflict)
		return
	}
	if !e.acquireSlot() {
		e.Counts.Shed.Add(1)
		refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	defer e.busy.Add(-1)
	duration, cancelled, crash := e.startRequest(ctx, r, op)
	if crash {
		e.Counts.Crashes.Add(1)
		e.Crash()
		return
	}
	defer e.finishRequest(r)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cancelled:
		e.Counts.Cancelled.Add(1)
		ctx.SetStatusCode(statusCancelled)
		ctx.Response.Header.Set("x-outcome", string(zinniatide.OutcomeUnknown))
		e.setEchoHeaders(ctx, r)
		return
	}
	e.writeResult(ctx, r, op)
	e.recordCompletion()
}

// refuse responds that the request was not run.
func refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("x-outcome", string(zinniatide.OutcomeNotRun))
}

// serves reports whether the server offers the service, index version and key
// range of the request.
func (e *Emulator) serves(r subRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, offer := range e.offers {
		if offer.Service != r.service {
			continue
		}
		for _, s := range offer.Searchers {
			if s.Version == r.version && s.First == r.key.first && s.End == r.key.last {
				return true
			}
		}
	}
	return false
}

// acquireSlot takes a slot and reports whether one was free. A draining server
// has none.
func (e *Emulator) acquireSlot() bool {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return false
	}
	if e.busy.Add(1) > int64(e.cfg.Slots) {
		e.busy.Add(-1)
		return false
	}
	return true
}

// startRequest records the start of a request. It returns how long the request
// runs, a channel that is closed when it is cancelled, and whether it crashes
// the server.
func (e *Emulator) startRequest(ctx *fasthttp.RequestCtx, r subRequest, op zinniatide.Operation) (time.Duration, chan struct{}, bool) {
	now := time.Now()
	e.Counts.lastWork.Store(now.UnixMilli())
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.coldStart.recordStart(now) {
		e.Counts.BeyondAllowance.Add(1)
	}
	if op == zinniatide.OperationExecute {
		e.Counts.addExecute(r.key.request)
	} else {
		e.Counts.SubQueries.Add(1)
	}
	crash := e.crashText != "" && bytes.Contains(ctx.PostBody(), []byte(e.crashText))
	if op == zinniatide.OperationExecute && e.crashAfterExecute {
		crash, e.crashAfterExecute = true, false
	}
	cancelled := make(chan struct{})
	e.running[r.key] = cancelled
	run := time.Duration(e.rng.ExpFloat64()*float64(e.cfg.ServiceTime)) + e.cfg.MinTime
	duration := time.Duration(float64(run)*e.slowdown) + e.cfg.LinkDelay
	if c, ok := ctx.Conn().(*faultConn); ok && !c.used.Swap(true) {
		duration += max(0, e.cfg.ConnectDelay-time.Since(c.opened))
	}
	if r.timeout < duration {
		duration = r.timeout // the server answers at the deadline at the latest
	}
	return duration, cancelled, crash
}

func (e *Emulator) finishRequest(r subRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, r.key)
}

func (e *Emulator) recordCompletion() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldStart.recordCompletion()
}

// setEchoHeaders copies the identifying headers of the request to the response
// and adds the incarnation and load of the server.
func (e *Emulator) setEchoHeaders(ctx *fasthttp.RequestCtx, r subRequest) {
	h := &ctx.Response.Header
	h.Set("x-request-id", r.key.request)
	h.Set("x-index-version", strconv.FormatUint(uint64(r.version), 10))
	h.Set("x-first-key", strconv.FormatUint(uint64(r.key.first), 10))
	h.Set("x-last-key", strconv.FormatUint(uint64(r.key.last), 10))
	h.Set("x-incarnation", strconv.FormatUint(e.incarnation.Load(), 10))
	h.Set("x-busy", strconv.FormatInt(e.busy.Load(), 10))
}

// writeResult writes a result that lets a caller verify coverage and index
// version: a shard of n keys reports n matches, and each hit has the version and
// the first key of its shard.
func (e *Emulator) writeResult(ctx *fasthttp.RequestCtx, r subRequest, op zinniatide.Operation) {
	e.setEchoHeaders(ctx, r)
	ctx.SetContentType("application/json")
	if op == zinniatide.OperationExecute {
		ctx.SetBody(strconv.AppendQuote([]byte(`{"executed":`), r.key.request))
		ctx.Response.AppendBody([]byte{'}'})
		return
	}
	body := append(make([]byte, 0, 512), `{"total":`...)
	body = strconv.AppendUint(body, uint64(r.key.last-r.key.first), 10)
	body = append(body, `,"hits":[`...)
	for i := range min(uint64(hitsPerShard), uint64(r.key.last-r.key.first)) {
		if i > 0 {
			body = append(body, ',')
		}
		body = appendHit(body, r, uint64(r.key.first)+i)
	}
	ctx.SetBody(append(body, `]}`...))
}

func appendHit(body []byte, r subRequest, key uint64) []byte {
	body = append(body, `{"id":"doc-`...)
	body = strconv.AppendUint(body, key, 10)
	body = append(body, `","score":`...)
	// A fixed pseudo-random score per key (multiplicative hash, modulo a prime), so
	// that ranking mixes the shards.
	body = strconv.AppendUint(body, key*2654435761%100003, 10)
	body = append(body, `,"document":{"version":`...)
	body = strconv.AppendUint(body, uint64(r.version), 10)
	body = append(body, `,"first":`...)
	body = strconv.AppendUint(body, uint64(r.key.first), 10)
	return append(body, `}}`...)
}

func (e *Emulator) handleCancel(ctx *fasthttp.RequestCtx) {
	first, okFirst := headerUint(ctx, "x-first-key")
	last, okLast := headerUint(ctx, "x-last-key")
	if !okFirst || !okLast {
		refuse(ctx, fasthttp.StatusBadRequest)
		return
	}
	key := requestKey{request: string(ctx.Request.Header.Peek("x-request-id")), first: uint32(first), last: uint32(last)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancelled, ok := e.running[key]; ok {
		delete(e.running, key)
		close(cancelled)
	}
}

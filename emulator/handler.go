package emulator

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

const (
	statusCancelled = 499
	hitsPerShard    = 3
)

type subRequest struct {
	key     runKey
	service zinniatide.ServiceID
	version zinniatide.IndexVersion
	budget  time.Duration
}

func (e *Emulator) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/sub-query":
		e.run(ctx, zinniatide.OperationSearch)
	case "/v1/sub-execute":
		e.run(ctx, zinniatide.OperationExecute)
	case "/v1/cancel":
		e.cancel(ctx)
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

func parse(ctx *fasthttp.RequestCtx) (subRequest, bool) {
	version, okVersion := headerUint(ctx, "x-index-version")
	first, okFirst := headerUint(ctx, "x-first-key")
	last, okLast := headerUint(ctx, "x-last-key")
	budget, okBudget := headerUint(ctx, "x-deadline-ms")
	r := subRequest{
		key:     runKey{request: string(ctx.Request.Header.Peek("x-request-id")), first: uint32(first), last: uint32(last)},
		service: zinniatide.ServiceID(ctx.Request.Header.Peek("x-service")),
		version: zinniatide.IndexVersion(version),
		budget:  time.Duration(budget) * time.Millisecond,
	}
	return r, okVersion && okFirst && okLast && okBudget && r.key.request != ""
}

func (e *Emulator) run(ctx *fasthttp.RequestCtx, op zinniatide.Operation) {
	r, ok := parse(ctx)
	if !ok {
		refuse(ctx, fasthttp.StatusBadRequest)
		return
	}
	if !e.serves(r) {
		refuse(ctx, fasthttp.StatusConflict)
		return
	}
	if !e.takeSlot() {
		e.Counts.Shed.Add(1)
		refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	defer e.busy.Add(-1)
	duration, cancelled, die := e.begin(ctx, r, op)
	if die {
		e.Counts.Crashes.Add(1)
		e.Kill()
		return
	}
	defer e.end(r)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cancelled:
		e.Counts.Cancelled.Add(1)
		ctx.SetStatusCode(statusCancelled)
		ctx.Response.Header.Set("x-outcome", string(zinniatide.OutcomeUnknown))
		e.echo(ctx, r)
		return
	}
	e.answer(ctx, r, op)
	e.complete()
}

func refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("x-outcome", string(zinniatide.OutcomeNotRun))
}

func (e *Emulator) serves(r subRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, offer := range e.offers {
		if offer.Service != r.service {
			continue
		}
		for _, s := range offer.Searchers {
			if s.Version == r.version && s.First == r.key.first && s.Last == r.key.last {
				return true
			}
		}
	}
	return false
}

func (e *Emulator) takeSlot() bool {
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

// begin records the start of a request and decides how long it runs and
// whether it ends the server.
func (e *Emulator) begin(ctx *fasthttp.RequestCtx, r subRequest, op zinniatide.Operation) (time.Duration, chan struct{}, bool) {
	now := time.Now()
	e.Counts.lastWork.Store(now.UnixMilli())
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ramp.start(now) {
		e.Counts.BeyondAllowance.Add(1)
	}
	if op == zinniatide.OperationExecute {
		e.Counts.recordExecute(r.key.request)
	} else {
		e.Counts.SubQueries.Add(1)
	}
	die := e.crash != "" && bytes.Contains(ctx.PostBody(), []byte(e.crash))
	if op == zinniatide.OperationExecute && e.diesRun {
		die, e.diesRun = true, false
	}
	cancelled := make(chan struct{})
	e.running[r.key] = cancelled
	run := time.Duration(e.rng.ExpFloat64()*float64(e.cfg.ServiceTime)) + e.cfg.MinTime
	duration := time.Duration(float64(run)*e.slow) + e.cfg.LinkDelay
	if c, ok := ctx.Conn().(*faultConn); ok && !c.used.Swap(true) {
		duration += max(0, e.cfg.ConnectDelay-time.Since(c.opened))
	}
	if r.budget < duration {
		duration = r.budget // the server stops at the deadline
	}
	return duration, cancelled, die
}

func (e *Emulator) end(r subRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, r.key)
}

func (e *Emulator) complete() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ramp.complete()
}

func (e *Emulator) echo(ctx *fasthttp.RequestCtx, r subRequest) {
	h := &ctx.Response.Header
	h.Set("x-request-id", r.key.request)
	h.Set("x-index-version", strconv.FormatUint(uint64(r.version), 10))
	h.Set("x-first-key", strconv.FormatUint(uint64(r.key.first), 10))
	h.Set("x-last-key", strconv.FormatUint(uint64(r.key.last), 10))
	h.Set("x-incarnation", strconv.FormatUint(e.incarnation.Load(), 10))
	h.Set("x-busy", strconv.FormatInt(e.busy.Load(), 10))
}

// answer writes a result from which a caller can check coverage and version:
// a shard of n keys reports n matches, and each hit names version and range.
func (e *Emulator) answer(ctx *fasthttp.RequestCtx, r subRequest, op zinniatide.Operation) {
	e.echo(ctx, r)
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
	body = strconv.AppendUint(body, key*2654435761%100003, 10)
	body = append(body, `,"document":{"version":`...)
	body = strconv.AppendUint(body, uint64(r.version), 10)
	body = append(body, `,"first":`...)
	body = strconv.AppendUint(body, uint64(r.key.first), 10)
	return append(body, `}}`...)
}

func (e *Emulator) cancel(ctx *fasthttp.RequestCtx) {
	first, okFirst := headerUint(ctx, "x-first-key")
	last, okLast := headerUint(ctx, "x-last-key")
	if !okFirst || !okLast {
		refuse(ctx, fasthttp.StatusBadRequest)
		return
	}
	key := runKey{request: string(ctx.Request.Header.Peek("x-request-id")), first: uint32(first), last: uint32(last)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancelled, ok := e.running[key]; ok {
		delete(e.running, key)
		close(cancelled)
	}
}

package connector

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// Exchange is one request to a backend server and its answer.
type Exchange struct {
	Request zinniatide.SubRequest
	// Deadline is when the server should stop; it is at most Request.Deadline.
	Deadline zinniatide.Millis
	// Handler learns how the exchange ended. It is called exactly once for
	// each exchange that Send accepted, without any lock of the pool.
	Handler Handler

	started zinniatide.Millis
	// cancel is set for POST /v1/cancel, which stops target.
	cancel bool
	target *Exchange
}

// Handler receives the end of an exchange.
type Handler interface {
	Finished(a Answer)
}

// Answer tells how an exchange ended.
type Answer struct {
	// Outcome is OutcomeNotRun only if no byte of the request was written or
	// the server said so.
	Outcome zinniatide.Outcome
	Code    zinniatide.Code // empty when Outcome is OutcomeDone
	Body    []byte          // owned by the receiver
	// Incarnation is that of the process that answered, 0 without an answer.
	Incarnation zinniatide.Incarnation
	// Busy is the server's report of its slots in use, 0 without a report.
	Busy uint16
	// Crashed is set when the server lost the connection after a byte of the
	// request had been written and before the answer was complete.
	Crashed bool
}

var (
	keyRequestID   = []byte("X-Request-Id")
	keyService     = []byte("X-Service")
	keyVersion     = []byte("X-Index-Version")
	keyFirst       = []byte("X-First-Key")
	keyLast        = []byte("X-Last-Key")
	keyDeadline    = []byte("X-Deadline-Ms")
	keyIncarnation = []byte("X-Incarnation")
	keyBusy        = []byte("X-Busy")
	keyOutcome     = []byte("X-Outcome")
	outcomeNotRun  = []byte(zinniatide.OutcomeNotRun)
)

// Sendable reports whether the ids of a request can travel in HTTP headers
// unchanged: visible ASCII, not empty and at most MaxIDLength bytes.
func Sendable(r *zinniatide.SubRequest) bool {
	return visible(string(r.RequestID)) && visible(string(r.Service))
}

func visible(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= zinniatide.MaxIDLength
}

// codec encodes requests and checks answers of one connection. It reuses its
// buffers.
type codec struct {
	header  fasthttp.RequestHeader
	answer  fasthttp.Response
	out     []byte
	scratch []byte
	// The echoes that the answer must carry.
	id, version, first, last []byte
}

func newCodec(host string) *codec {
	c := &codec{}
	c.header.SetMethod(fasthttp.MethodPost)
	c.header.SetHost(host)
	c.header.SetContentType("application/json")
	c.header.SetNoDefaultContentType(true)
	return c
}

// encode returns the bytes of the request. They are valid until the next call.
func (c *codec) encode(x *Exchange, now zinniatide.Millis) []byte {
	r := &x.Request
	c.id = append(c.id[:0], r.RequestID...)
	c.version = strconv.AppendUint(c.version[:0], uint64(r.Version), 10)
	c.first = strconv.AppendUint(c.first[:0], uint64(r.Range.First), 10)
	c.last = strconv.AppendUint(c.last[:0], uint64(r.Range.Last), 10)
	h := &c.header
	h.SetRequestURI(path(x))
	h.SetCanonical(keyRequestID, c.id)
	c.scratch = append(c.scratch[:0], r.Service...)
	h.SetCanonical(keyService, c.scratch)
	h.SetCanonical(keyVersion, c.version)
	h.SetCanonical(keyFirst, c.first)
	h.SetCanonical(keyLast, c.last)
	c.scratch = strconv.AppendInt(c.scratch[:0], int64(max(x.Deadline-now, 0)), 10)
	h.SetCanonical(keyDeadline, c.scratch)
	body := r.Body
	if x.cancel {
		body = nil
	}
	h.SetContentLength(len(body))
	c.out = append(h.AppendBytes(c.out[:0]), body...)
	return c.out
}

func path(x *Exchange) string {
	switch {
	case x.cancel:
		return "/v1/cancel"
	case x.Request.Operation == zinniatide.OperationExecute:
		return "/v1/sub-execute"
	default:
		return "/v1/sub-query"
	}
}

// check decides what the answer read last means for x. It reports whether
// the connection may be used again.
func (c *codec) check(x *Exchange) (a Answer, reusable bool) {
	h := &c.answer.Header
	reusable = !h.ConnectionClose()
	if x.cancel {
		return Answer{Outcome: zinniatide.OutcomeDone}, reusable
	}
	incarnation, err := strconv.ParseUint(string(h.PeekCanonical(keyIncarnation)), 10, 64)
	if err != nil || !c.echoed(h) {
		return badAnswer(), false
	}
	a.Incarnation = zinniatide.Incarnation(incarnation)
	if busy, err := strconv.ParseUint(string(h.PeekCanonical(keyBusy)), 10, 16); err == nil {
		a.Busy = uint16(busy)
	}
	c.judge(&a)
	return a, reusable
}

// judge sets outcome, code and body by the status of an answer that belongs
// to its request.
func (c *codec) judge(a *Answer) {
	status := c.answer.StatusCode()
	notRun := bytes.Equal(c.answer.Header.PeekCanonical(keyOutcome), outcomeNotRun)
	switch {
	case status == fasthttp.StatusOK && !notRun:
		a.Outcome = zinniatide.OutcomeDone
		a.Body = c.takeBody()
	case notRun && status == fasthttp.StatusServiceUnavailable:
		a.Outcome, a.Code = zinniatide.OutcomeNotRun, zinniatide.CodeShed
	case notRun && status == fasthttp.StatusConflict:
		a.Outcome, a.Code = zinniatide.OutcomeNotRun, zinniatide.CodeWrongVersion
	case notRun && status >= fasthttp.StatusBadRequest:
		a.Outcome, a.Code = zinniatide.OutcomeNotRun, zinniatide.CodeBadAnswer
	default:
		a.Outcome, a.Code = zinniatide.OutcomeUnknown, zinniatide.CodeBadAnswer
	}
}

func (c *codec) echoed(h *fasthttp.ResponseHeader) bool {
	return bytes.Equal(h.PeekCanonical(keyRequestID), c.id) &&
		bytes.Equal(h.PeekCanonical(keyVersion), c.version) &&
		bytes.Equal(h.PeekCanonical(keyFirst), c.first) &&
		bytes.Equal(h.PeekCanonical(keyLast), c.last)
}

// keptBuffer is the largest body buffer that a connection keeps for reuse.
const keptBuffer = 64 << 10

// takeBody hands the body over: small ones are copied so that the buffer stays.
func (c *codec) takeBody() []byte {
	if len(c.answer.Body()) > keptBuffer {
		return c.answer.SwapBody(nil)
	}
	return bytes.Clone(c.answer.Body())
}

// trim drops buffers that a large request or answer has left behind.
func (c *codec) trim() {
	if cap(c.out) > keptBuffer {
		c.out = nil
	}
	if len(c.answer.Body()) > keptBuffer {
		c.answer.SwapBody(nil)
	}
}

func badAnswer() Answer {
	return Answer{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeBadAnswer}
}

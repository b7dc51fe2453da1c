package connector

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/pauseparser"
)

// Exchange is a request to a backend server and its response.
type Exchange struct {
	Request zinniatide.SubRequest
	// Deadline is the time by which the server should stop processing. It is not
	// after Request.Deadline.
	Deadline zinniatide.Millis
	// Handler is called exactly once for each exchange that TrySend accepted. The
	// pool's lock is not held during the call.
	Handler Handler

	startedAt zinniatide.Millis
	// isCancellation marks a POST /v1/cancel request, which stops cancelTarget.
	isCancellation bool
	cancelTarget   *Exchange
}

// Handler is notified when an exchange ends.
type Handler interface {
	Finished(a Answer)
}

// Answer is how an exchange ended, with or without a response.
type Answer struct {
	// Outcome is OutcomeNotRun only if no byte of the request was written, or if
	// the server reported that it did not run the request.
	Outcome zinniatide.Outcome
	Code    zinniatide.Code // empty if Outcome is OutcomeDone
	// InvalidReason is why a response was not used that violates HTTP or belongs to
	// another request, as one of a few words.
	InvalidReason string
	Body          []byte // owned by the receiver
	// Incarnation identifies the server process that responded. It is 0 if there
	// is no valid response.
	Incarnation zinniatide.Incarnation
	// BusySlots is the number of slots in use that the server reported, or 0 if it
	// reported none.
	BusySlots uint16
	// Leaving is set if the process says that it is about to end.
	Leaving bool
	// Pause is how long the process, which refused the request, wants no more of
	// them, or 0.
	Pause zinniatide.Millis
	// Crashed is set if the connection broke after some byte of the request was
	// written and before the response was complete.
	Crashed bool
}

var (
	headerRequestID   = []byte("X-Request-Id")
	headerService     = []byte("X-Service")
	headerVersion     = []byte("X-Index-Version")
	headerFirstKey    = []byte("X-First-Key")
	headerLastKey     = []byte("X-Last-Key")
	headerDeadline    = []byte("X-Deadline-Ms")
	headerIncarnation = []byte("X-Incarnation")
	headerBusy        = []byte("X-Busy")
	headerOutcome     = []byte("X-Outcome")
	headerLeaving     = []byte("Server-Leaving")
	headerRetryAfter  = []byte(fasthttp.HeaderRetryAfter)
	outcomeNotRun     = []byte(zinniatide.OutcomeNotRun)
)

// singleHeaders must not have different values in one response.
var singleHeaders = []string{
	string(headerRequestID), string(headerVersion), string(headerFirstKey), string(headerLastKey), string(headerIncarnation), string(headerOutcome),
}

// HasValidHeaderIDs reports whether the ids of a request can be sent unchanged
// as HTTP header values: they must consist of 1 to MaxIDLength visible ASCII
// characters.
func HasValidHeaderIDs(r *zinniatide.SubRequest) bool {
	return isValidHeaderID(string(r.RequestID)) && isValidHeaderID(string(r.Service))
}

func isValidHeaderID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= zinniatide.MaxIDLength
}

// codec encodes the requests and checks the responses of one connection. It reuses
// its buffers.
type codec struct {
	requestHeader fasthttp.RequestHeader
	response      fasthttp.Response
	buf           []byte
	scratch       []byte
	// Header values of the last request, which its response must repeat.
	requestID, version, firstKey, lastKey []byte
}

func newCodec(host string) *codec {
	c := &codec{}
	c.requestHeader.SetMethod(fasthttp.MethodPost)
	c.requestHeader.SetHost(host)
	c.requestHeader.SetContentType("application/json")
	c.requestHeader.SetNoDefaultContentType(true)
	return c
}

// encode returns the encoded request of x. The result is valid until the next call.
func (c *codec) encode(x *Exchange, now zinniatide.Millis) []byte {
	r := &x.Request
	c.requestID = append(c.requestID[:0], r.RequestID...)
	c.version = strconv.AppendUint(c.version[:0], uint64(r.Version), 10)
	c.firstKey = strconv.AppendUint(c.firstKey[:0], uint64(r.Range.First), 10)
	c.lastKey = strconv.AppendUint(c.lastKey[:0], uint64(r.Range.End), 10)
	h := &c.requestHeader
	h.SetRequestURI(requestPath(x))
	h.SetCanonical(headerRequestID, c.requestID)
	c.scratch = append(c.scratch[:0], r.Service...)
	h.SetCanonical(headerService, c.scratch)
	h.SetCanonical(headerVersion, c.version)
	h.SetCanonical(headerFirstKey, c.firstKey)
	h.SetCanonical(headerLastKey, c.lastKey)
	c.scratch = strconv.AppendInt(c.scratch[:0], int64(max(x.Deadline-now, 0)), 10)
	h.SetCanonical(headerDeadline, c.scratch)
	body := r.Body
	if x.isCancellation {
		body = nil
	}
	h.SetContentLength(len(body))
	c.buf = append(h.AppendBytes(c.buf[:0]), body...)
	return c.buf
}

func requestPath(x *Exchange) string {
	switch {
	case x.isCancellation:
		return "/v1/cancel"
	case x.Request.Operation == zinniatide.OperationExecute:
		return "/v1/sub-execute"
	default:
		return "/v1/sub-query"
	}
}

// checkResponse converts the last response into the result of x. It also reports
// whether the connection may be reused.
func (c *codec) checkResponse(x *Exchange) (a Answer, reusable bool) {
	h := &c.response.Header
	reusable = !h.ConnectionClose()
	if x.isCancellation {
		// The response to a cancellation is not checked: a cancellation has no
		// handler, so its result is not reported.
		return Answer{Outcome: zinniatide.OutcomeDone}, reusable
	}
	incarnation, err := strconv.ParseUint(string(h.PeekCanonical(headerIncarnation)), 10, 64)
	if err != nil || !c.echoesRequest(h) {
		return badResponse(), false
	}
	a.Incarnation = zinniatide.Incarnation(incarnation)
	if busy, err := strconv.ParseUint(string(h.PeekCanonical(headerBusy)), 10, 16); err == nil {
		a.BusySlots = uint16(busy)
	}
	c.classifyResponse(&a)
	a.Leaving = string(h.PeekCanonical(headerLeaving)) == "1"
	if c.response.StatusCode() == fasthttp.StatusServiceUnavailable {
		a.Pause = pauseparser.Parse(string(h.PeekCanonical(headerRetryAfter)))
	}
	// A refused execution may be sent again under its request id. On this
	// connection, a second copy of the refusal could not be distinguished from the answer
	// to the new attempt, which then would run a second time elsewhere.
	if x.Request.Operation == zinniatide.OperationExecute && a.Outcome == zinniatide.OutcomeNotRun {
		reusable = false
	}
	return a, reusable
}

// classifyResponse sets the outcome, code and body of a according to the status and
// headers of a response that matches its request.
func (c *codec) classifyResponse(a *Answer) {
	status := c.response.StatusCode()
	notRun := bytes.Equal(c.response.Header.PeekCanonical(headerOutcome), outcomeNotRun)
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

// echoesRequest reports whether h repeats the identifying headers of the last
// request.
func (c *codec) echoesRequest(h *fasthttp.ResponseHeader) bool {
	return bytes.Equal(h.PeekCanonical(headerRequestID), c.requestID) &&
		bytes.Equal(h.PeekCanonical(headerVersion), c.version) &&
		bytes.Equal(h.PeekCanonical(headerFirstKey), c.firstKey) &&
		bytes.Equal(h.PeekCanonical(headerLastKey), c.lastKey)
}

// maxRetainedBuffer is the largest buffer, in bytes, that a connection keeps for
// reuse.
const maxRetainedBuffer = 64 << 10

// takeBody returns the body of the response for use by the caller. It copies small
// bodies, so that their buffer can be reused.
func (c *codec) takeBody() []byte {
	if len(c.response.Body()) > maxRetainedBuffer {
		return c.response.SwapBody(nil)
	}
	return bytes.Clone(c.response.Body())
}

// releaseLargeBuffers drops buffers that grew beyond maxRetainedBuffer for a large
// request or response.
func (c *codec) releaseLargeBuffers() {
	if cap(c.buf) > maxRetainedBuffer {
		c.buf = nil
	}
	if len(c.response.Body()) > maxRetainedBuffer {
		c.response.SwapBody(nil)
	}
}

// Values of Answer.InvalidReason, besides those of answerreader.Reason.
const (
	reasonNoLength     = "no-length"
	reasonOtherRequest = "other-request"
)

func badResponse() Answer {
	return Answer{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeBadAnswer, InvalidReason: reasonOtherRequest}
}

package gateway

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// refusalBody is the answer to a request that got no result.
type refusalBody struct {
	Code      zinniatide.Code      `json:"code"`
	Outcome   zinniatide.Outcome   `json:"outcome"`
	Message   string               `json:"message"`
	RequestID zinniatide.RequestID `json:"request-id,omitempty"`
}

// statuses maps each code to its HTTP status. docs/errors.md explains them;
// a test keeps the two alike.
var statuses = map[zinniatide.Code]int{
	zinniatide.CodeBadRequest:         fasthttp.StatusBadRequest,
	zinniatide.CodeTooLarge:           fasthttp.StatusRequestEntityTooLarge,
	zinniatide.CodeUnknownService:     fasthttp.StatusNotFound,
	zinniatide.CodeUnknownTenant:      fasthttp.StatusNotFound,
	zinniatide.CodeUnknownClass:       fasthttp.StatusNotFound,
	zinniatide.CodeDeadlinePassed:     fasthttp.StatusGatewayTimeout,
	zinniatide.CodeOverloaded:         fasthttp.StatusTooManyRequests,
	zinniatide.CodeNotServing:         fasthttp.StatusServiceUnavailable,
	zinniatide.CodeNoVersion:          fasthttp.StatusServiceUnavailable,
	zinniatide.CodeNoServer:           fasthttp.StatusServiceUnavailable,
	zinniatide.CodeNotOwner:           fasthttp.StatusServiceUnavailable,
	zinniatide.CodeServerGone:         fasthttp.StatusBadGateway,
	zinniatide.CodeWrongVersion:       fasthttp.StatusServiceUnavailable,
	zinniatide.CodeBadAnswer:          fasthttp.StatusBadGateway,
	zinniatide.CodeShed:               fasthttp.StatusServiceUnavailable,
	zinniatide.CodeCancelled:          fasthttp.StatusServiceUnavailable,
	zinniatide.CodeQuarantined:        fasthttp.StatusUnprocessableEntity,
	zinniatide.CodeRequestIDExpired:   fasthttp.StatusGone,
	zinniatide.CodeRequestIDReused:    fasthttp.StatusConflict,
	zinniatide.CodeInProgress:         fasthttp.StatusConflict,
	zinniatide.CodeNoQuorum:           fasthttp.StatusServiceUnavailable,
	zinniatide.CodeSuperseded:         fasthttp.StatusConflict,
	zinniatide.CodeTicketConflict:     fasthttp.StatusConflict,
	zinniatide.CodePeerLost:           fasthttp.StatusBadGateway,
	zinniatide.CodeMethodNotSupported: fasthttp.StatusMethodNotAllowed,
	zinniatide.CodeNotFound:           fasthttp.StatusNotFound,
	zinniatide.CodeInternal:           fasthttp.StatusInternalServerError,
}

// StatusOf returns the HTTP status of a code, 500 for an unknown one.
func StatusOf(code zinniatide.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return fasthttp.StatusInternalServerError
}

// refuse answers with err. An error that is no refusal is logged and answered
// as internal with an unknown outcome.
func (r *request) refuse(err error) {
	var refusal *zinniatide.Refusal
	if !errors.As(err, &refusal) {
		klog.ErrorS(err, "request failed", "step", r.operation, "peer", r.RemoteAddr().String())
		refusal = &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: zinniatide.OutcomeUnknown, Message: "internal error; the VM's log has the cause"}
	}
	if _, known := statuses[refusal.Code]; !known {
		klog.ErrorS(err, "refusal with an unknown code", "step", r.operation, "peer", r.RemoteAddr().String())
		refusal = &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: refusal.Outcome, Message: refusal.Error()}
	}
	r.gateway.metrics.refusals.WithLabelValues(r.operation, string(refusal.Code)).Inc()
	r.answer(StatusOf(refusal.Code), refusalBody{
		Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message, RequestID: r.id,
	})
}

// answer sends value as JSON.
func (r *request) answer(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		r.refuse(err)
		return
	}
	r.answerRaw(status, body)
}

func (r *request) answerRaw(status int, body []byte) {
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.Response.SetBodyRaw(body)
}

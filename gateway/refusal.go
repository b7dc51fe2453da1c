package gateway

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// refusalBody is the response body of a refused or failed request.
type refusalBody struct {
	Code      zinniatide.Code      `json:"code"`
	Outcome   zinniatide.Outcome   `json:"outcome"`
	Message   string               `json:"message"`
	RequestID zinniatide.RequestID `json:"request-id,omitempty"`
}

// httpStatuses maps each code to its HTTP status. docs/errors.md explains them;
// TestEveryCodeIsDocumented keeps the two consistent.
var httpStatuses = map[zinniatide.Code]int{
	zinniatide.CodeBadRequest:         fasthttp.StatusBadRequest,
	zinniatide.CodeTooLarge:           fasthttp.StatusRequestEntityTooLarge,
	zinniatide.CodeUnknownService:     fasthttp.StatusNotFound,
	zinniatide.CodeUnknownWorkspace:   fasthttp.StatusNotFound,
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

// httpStatus returns the HTTP status of a code, or 500 if the code is unknown.
func httpStatus(code zinniatide.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return fasthttp.StatusInternalServerError
}

// refuse responds with err. An error that is not a *zinniatide.Refusal is logged,
// and the caller gets the code "internal" with an unknown outcome.
func (r *request) refuse(err error) {
	var refusal *zinniatide.Refusal
	if !errors.As(err, &refusal) {
		klog.ErrorS(err, "request failed", "step", r.operation, "peer", r.RemoteAddr().String())
		refusal = &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: zinniatide.OutcomeUnknown, Message: "internal error; the VM's log has the cause"}
	}
	if _, known := httpStatuses[refusal.Code]; !known {
		klog.ErrorS(err, "refusal has an unknown code", "step", r.operation, "peer", r.RemoteAddr().String())
		refusal = &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: refusal.Outcome, Message: refusal.Error()}
	}
	r.gateway.metrics.refusals.WithLabelValues(r.operation, string(refusal.Code)).Inc()
	r.writeJSON(httpStatus(refusal.Code), refusalBody{
		Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message, RequestID: r.id,
	})
}

// writeJSON encodes value as the response body.
func (r *request) writeJSON(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		r.refuse(err)
		return
	}
	r.writeBody(status, body)
}

// writeBody sets the response body, which is already JSON. It keeps body without
// copying it.
func (r *request) writeBody(status int, body []byte) {
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.Response.SetBodyRaw(body)
}

package gateway

import (
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// decodeExecute decodes the body of a non-idempotent request.
func decodeExecute(body []byte) (c common, key uint32, expires zinniatide.Millis, payload []byte, err error) {
	err = decodeObject(body, "", c.fields(
		field{name: "key", target: &key},
		field{name: "body", target: object(&payload)}))
	if err == nil && key >= zinniatide.KeySpace {
		err = zinniatide.Refuse(zinniatide.CodeBadRequest, "field \"key\" must be below %d", zinniatide.KeySpace)
	}
	if err == nil {
		expires, err = zinniatide.ParseRequestExpiry(c.id)
	}
	return c, key, expires, payload, err
}

func (g *Gateway) execute(r *request) {
	now := g.deps.Clock.Now()
	c, key, expires, payload, err := decodeExecute(r.PostBody())
	r.id = c.id
	// An id that has expired is passed on: its result may still be recorded.
	if err == nil && expires > g.deps.Clock.Unix()+zinniatide.MaxClaimLifetime {
		err = zinniatide.Refuse(zinniatide.CodeBadRequest, "request id expires more than %d ms ahead", zinniatide.MaxClaimLifetime)
	}
	if err != nil {
		r.refuse(badRequest(err))
		return
	}
	if err := g.admit(r, &c, now); err != nil {
		r.refuse(err)
		return
	}
	body, err := g.deps.Executor.Execute(zinniatide.ExecuteRequest{
		RequestID: c.id, Expires: expires, Service: c.service, Tenant: c.tenant, Class: c.class,
		Deadline: now + c.deadline, Key: key, Body: payload,
	})
	if err != nil {
		r.refuse(err)
		return
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	answer := append(make([]byte, 0, len(body)+128), `{"request-id":`...)
	answer = appendString(answer, string(c.id))
	answer = append(answer, `,"outcome":"done","body":`...)
	answer = append(answer, body...)
	r.answerRaw(fasthttp.StatusOK, append(answer, '}'))
}

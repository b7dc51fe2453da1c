package gateway

import (
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// decodeExecute decodes the body of a non-idempotent request. It returns the
// expiry that the request id states, in wall-clock time.
func decodeExecute(body []byte) (c commonFields, key uint32, expires zinniatide.Millis, payload []byte, err error) {
	err = decodeObject(body, "", c.fields(
		field{name: "key", target: &key},
		field{name: "body", target: rawObject(&payload)}))
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
	// A request with an expired id is passed on, because its result may still be
	// recorded.
	if err == nil && expires > g.deps.Clock.Unix()+zinniatide.MaxClaimLifetime {
		err = zinniatide.Refuse(zinniatide.CodeBadRequest, "request id expires more than %d ms ahead", zinniatide.MaxClaimLifetime)
	}
	if err != nil {
		r.refuse(badRequest(err))
		return
	}
	if err := g.validate(r, &c, now); err != nil {
		r.refuse(err)
		return
	}
	body, err := g.deps.Executor.Execute(zinniatide.ExecuteRequest{
		RequestID: c.id, Expires: expires, Service: c.service, Workspace: c.workspace, Class: c.class,
		Deadline: now + c.deadline, Key: key, Body: payload,
	})
	if err != nil {
		r.refuse(err)
		return
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	response := append(make([]byte, 0, len(body)+128), `{"request-id":`...)
	response = appendJSONString(response, string(c.id))
	response = append(response, `,"outcome":"done","body":`...)
	response = append(response, body...)
	r.writeBody(fasthttp.StatusOK, append(response, '}'))
}

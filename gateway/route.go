package gateway

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// request is the state of a request in flight.
type request struct {
	*fasthttp.RequestCtx
	gateway   *Gateway
	operation string
	id        zinniatide.RequestID // for refusals, empty until the body is decoded
	class     string               // metric label
	workspace string               // metric label
}

// operation is one operation of the HTTP API.
type operation struct {
	name   string
	method string
	path   string // a trailing slash stands for exactly one more path segment
	serve  func(g *Gateway, r *request)
	// blocking is set if the operation waits for responses of other components.
	// Only such operations count towards MaxRequests, so that callers can still
	// get the addresses of other VMs under overload.
	blocking bool
	params   []string // accepted query parameters
}

var operations = []operation{
	{"search", fasthttp.MethodPost, "/v1/search", (*Gateway).search, true, nil},
	{"execute", fasthttp.MethodPost, "/v1/execute", (*Gateway).execute, true, nil},
	{"announce", fasthttp.MethodPost, "/v1/announce", (*Gateway).announce, false, nil},
	{"addresses", fasthttp.MethodGet, "/v1/addresses", (*Gateway).listAddresses, false, []string{"zone"}},
	{"health", fasthttp.MethodGet, "/v1/health", (*Gateway).health, false, nil},
	{"file-ticket", fasthttp.MethodPost, "/v1/tickets", (*Gateway).fileTicket, true, []string{"dry-run"}},
	{"list-tickets", fasthttp.MethodGet, "/v1/tickets", (*Gateway).listTickets, true, []string{"limit"}},
	{"ticket-status", fasthttp.MethodGet, "/v1/tickets/", (*Gateway).ticketStatus, true, nil},
	{"state", fasthttp.MethodGet, "/v1/state", (*Gateway).state, true, nil},
}

func (o *operation) matches(path string) bool {
	if !strings.HasSuffix(o.path, "/") {
		return path == o.path
	}
	rest, ok := strings.CutPrefix(path, o.path)
	return ok && rest != "" && !strings.Contains(rest, "/")
}

// runOperation executes an operation unless its parameters are invalid or
// MaxRequests is reached.
func (g *Gateway) runOperation(o *operation, r *request) {
	if err := o.checkParams(r); err != nil {
		r.refuse(err)
		return
	}
	if o.blocking {
		defer g.blockingInFlight.Add(-1)
		if g.blockingInFlight.Add(1) > int64(g.config.MaxRequests) {
			r.refuse(zinniatide.Refuse(zinniatide.CodeOverloaded, "%d requests are being served", g.config.MaxRequests))
			return
		}
	}
	o.serve(g, r)
}

// checkParams rejects unknown and duplicate query parameters. If unknown ones
// were ignored, a request with a misspelled dry-run parameter would file a
// ticket.
func (o *operation) checkParams(r *request) error {
	var seen []string
	for key := range r.QueryArgs().All() {
		name := string(key)
		if !slices.Contains(o.params, name) {
			return zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter %q is unknown", truncate(name))
		}
		if slices.Contains(seen, name) {
			return zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter %q is given twice", name)
		}
		seen = append(seen, name)
	}
	return nil
}

// route executes the operation that matches the path and method of a request.
func (g *Gateway) route(r *request) {
	path, method := string(r.Path()), string(r.Method())
	var allowed []string
	for i := range operations {
		o := &operations[i]
		if !o.matches(path) {
			continue
		}
		if o.method == method {
			r.operation = o.name
			g.runOperation(o, r)
			return
		}
		allowed = append(allowed, o.method)
	}
	if allowed != nil {
		r.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
		r.refuse(zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "%s supports %s only", path, strings.Join(allowed, " and ")))
		return
	}
	r.refuse(zinniatide.Refuse(zinniatide.CodeNotFound, "there is no operation at this path"))
}

package gateway

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// request is one request being served.
type request struct {
	*fasthttp.RequestCtx
	gateway   *Gateway
	operation string
	id        zinniatide.RequestID // set once known, for refusals
	class     string               // label of the histogram
	tenant    string
}

// operation is one entry of the interface.
type operation struct {
	name   string
	method string
	path   string // a trailing slash takes one more path element
	serve  func(g *Gateway, r *request)
	// waits is set when the operation lasts until others have answered. Only
	// such operations count towards MaxRequests: under overload, callers must
	// still learn the addresses of other VMs.
	waits  bool
	params []string // query parameters taken
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

// run serves a request unless too many are being served.
func (g *Gateway) run(o *operation, r *request) {
	if err := o.checkParams(r); err != nil {
		r.refuse(err)
		return
	}
	if o.waits {
		defer g.waiting.Add(-1)
		if g.waiting.Add(1) > int64(g.config.MaxRequests) {
			r.refuse(zinniatide.Refuse(zinniatide.CodeOverloaded, "%d requests are being served", g.config.MaxRequests))
			return
		}
	}
	o.serve(g, r)
}

// checkParams refuses query parameters that the operation does not take. A
// misspelt dry-run must not file a ticket.
func (o *operation) checkParams(r *request) error {
	var seen []string
	for key := range r.QueryArgs().All() {
		name := string(key)
		if !slices.Contains(o.params, name) {
			return zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter %q is unknown", clip(name))
		}
		if slices.Contains(seen, name) {
			return zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter %q is given twice", name)
		}
		seen = append(seen, name)
	}
	return nil
}

// route finds the operation of a request and serves it.
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
			g.run(o, r)
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

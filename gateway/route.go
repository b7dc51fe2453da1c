package gateway

import (
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
}

var operations = []operation{
	{"search", fasthttp.MethodPost, "/v1/search", (*Gateway).search},
	{"execute", fasthttp.MethodPost, "/v1/execute", (*Gateway).execute},
	{"announce", fasthttp.MethodPost, "/v1/announce", (*Gateway).announce},
	{"addresses", fasthttp.MethodGet, "/v1/addresses", (*Gateway).listAddresses},
	{"health", fasthttp.MethodGet, "/v1/health", (*Gateway).health},
	{"file-ticket", fasthttp.MethodPost, "/v1/tickets", (*Gateway).fileTicket},
	{"list-tickets", fasthttp.MethodGet, "/v1/tickets", (*Gateway).listTickets},
	{"ticket-status", fasthttp.MethodGet, "/v1/tickets/", (*Gateway).ticketStatus},
	{"state", fasthttp.MethodGet, "/v1/state", (*Gateway).state},
}

func (o *operation) matches(path string) bool {
	if !strings.HasSuffix(o.path, "/") {
		return path == o.path
	}
	rest, ok := strings.CutPrefix(path, o.path)
	return ok && rest != "" && !strings.Contains(rest, "/")
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
			o.serve(g, r)
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

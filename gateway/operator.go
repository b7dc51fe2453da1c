package gateway

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

const (
	// ticketTimeout limits the wait until a ticket is accepted.
	ticketTimeout = zinniatide.MaxRequestTime
	// Limits of the number of tickets in one response.
	defaultTicketLimit = 50
	maxTicketLimit     = 1000
)

// operator returns the handler of operator requests. On a VM without the control
// role it refuses the request and returns nil.
func (g *Gateway) operator(r *request) zinniatide.Operator {
	if g.deps.Operator == nil {
		r.refuse(zinniatide.Refuse(zinniatide.CodeNotFound, "this VM has no control role; ask a control VM"))
	}
	return g.deps.Operator
}

// writeResult responds with value, or with a refusal if err is not nil.
func (r *request) writeResult(value any, err error) {
	if err != nil {
		r.refuse(err)
		return
	}
	r.writeJSON(fasthttp.StatusOK, value)
}

func (g *Gateway) fileTicket(r *request) {
	operator := g.operator(r)
	if operator == nil {
		return
	}
	dryRun := false
	if r.QueryArgs().Has("dry-run") {
		switch value := string(r.QueryArgs().Peek("dry-run")); value {
		case "true":
			dryRun = true
		case "false":
		default:
			r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter \"dry-run\" must be true or false"))
			return
		}
	}
	// The Operator may keep the ticket after fasthttp has reused the body buffer.
	raw := append([]byte(nil), r.PostBody()...)
	r.writeResult(operator.FileTicket(raw, dryRun, ticketTimeout))
}

func (g *Gateway) listTickets(r *request) {
	operator := g.operator(r)
	if operator == nil {
		return
	}
	limit := defaultTicketLimit
	if r.QueryArgs().Has("limit") {
		var err error
		limit, err = strconv.Atoi(string(r.QueryArgs().Peek("limit")))
		if err != nil || limit < 1 || limit > maxTicketLimit {
			r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter \"limit\" must be 1 to %d", maxTicketLimit))
			return
		}
	}
	records, err := operator.History(limit)
	if records == nil {
		records = []zinniatide.TicketRecord{}
	}
	r.writeResult(records, err)
}

func (g *Gateway) ticketStatus(r *request) {
	operator := g.operator(r)
	if operator == nil {
		return
	}
	number, err := strconv.ParseUint(strings.TrimPrefix(string(r.Path()), "/v1/tickets/"), 10, 64)
	if err != nil {
		r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "the ticket number in the path is not a number"))
		return
	}
	r.writeResult(operator.TicketStatus(zinniatide.TicketNumber(number)))
}

func (g *Gateway) state(r *request) {
	operator := g.operator(r)
	if operator == nil {
		return
	}
	r.writeResult(operator.State())
}

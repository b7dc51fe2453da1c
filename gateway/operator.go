package gateway

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

const (
	// ticketTimeout bounds the wait for a ticket to be accepted.
	ticketTimeout = zinniatide.MaxRequestTime
	// Bounds of the ticket history given in one answer.
	defaultHistory = 50
	maxHistory     = 1000
)

// operator returns the control operations, or refuses on a VM without them.
func (g *Gateway) operator(r *request) zinniatide.Operator {
	if g.deps.Operator == nil {
		r.refuse(zinniatide.Refuse(zinniatide.CodeNotFound, "this VM has no control role; ask a control VM"))
	}
	return g.deps.Operator
}

// reply answers with value, or refuses with err.
func (r *request) reply(value any, err error) {
	if err != nil {
		r.refuse(err)
		return
	}
	r.answer(fasthttp.StatusOK, value)
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
	// The operator may keep the ticket after this request has ended.
	raw := append([]byte(nil), r.PostBody()...)
	r.reply(operator.FileTicket(raw, dryRun, ticketTimeout))
}

func (g *Gateway) listTickets(r *request) {
	operator := g.operator(r)
	if operator == nil {
		return
	}
	limit := defaultHistory
	if r.QueryArgs().Has("limit") {
		var err error
		limit, err = strconv.Atoi(string(r.QueryArgs().Peek("limit")))
		if err != nil || limit < 1 || limit > maxHistory {
			r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter \"limit\" must be 1 to %d", maxHistory))
			return
		}
	}
	records, err := operator.History(limit)
	if records == nil {
		records = []zinniatide.TicketRecord{}
	}
	r.reply(records, err)
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
	r.reply(operator.TicketStatus(zinniatide.TicketNumber(number)))
}

func (g *Gateway) state(r *request) {
	operator := g.operator(r)
	if operator == nil {
		return
	}
	r.reply(operator.State())
}

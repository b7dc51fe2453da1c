package controller

import (
	"errors"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// Controller serves operators on every control VM.
var _ zinniatide.Operator = (*Controller)(nil)

// maxHistory bounds one answer to History.
const maxHistory = 1000

// FileTicket implements zinniatide.Operator. A refusal with OutcomeUnknown
// means that the ticket may still be accepted; sending it again tells.
func (c *Controller) FileTicket(raw []byte, dryRun bool, timeout zinniatide.Millis) (zinniatide.TicketReply, error) {
	var reply zinniatide.TicketReply
	if _, _, err := c.checker.Decode(raw); err != nil {
		return reply, err
	}
	err := c.ask(&controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: raw, DryRun: dryRun}, timeout, &reply)
	return reply, err
}

// TicketStatus implements zinniatide.Operator.
func (c *Controller) TicketStatus(number zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	var status zinniatide.TicketStatus
	err := c.ask(&controlproto.Forward{Operation: controlproto.ForwardTicketStatus, Number: number}, forwardTimeout, &status)
	return status, err
}

// State implements zinniatide.Operator.
func (c *Controller) State() (*zinniatide.Configuration, error) {
	configuration := registrar.NewConfiguration()
	err := c.ask(&controlproto.Forward{Operation: controlproto.ForwardState}, forwardTimeout, configuration)
	return configuration, err
}

// History implements zinniatide.Operator.
func (c *Controller) History(limit int) ([]zinniatide.TicketRecord, error) {
	var records []zinniatide.TicketRecord
	err := c.ask(&controlproto.Forward{Operation: controlproto.ForwardHistory, Limit: limit}, forwardTimeout, &records)
	return records, err
}

// ask runs f on the leader and decodes its result into out.
func (c *Controller) ask(f *controlproto.Forward, timeout zinniatide.Millis, out any) error {
	answers := make(chan controlproto.ForwardReply, 1)
	c.log.Post(func() {
		c.route(f, timeout, func(answer controlproto.ForwardReply) { answers <- answer })
	})
	select {
	case answer := <-answers:
		if err := answer.Refusal.Err(); err != nil {
			return err
		}
		if err := encoder.Unmarshal(answer.Result, out); err != nil {
			return unsure(f, "decode the leader's answer: "+err.Error())
		}
		return nil
	case <-c.waitTime(timeout):
		return unsure(f, "no answer from the control leader in time")
	}
}

// unsure refuses f after its effect became unknown.
func unsure(f *controlproto.Forward, message string) error {
	refusal := zinniatide.Refuse(zinniatide.CodeNoQuorum, "%s", message)
	if changes(f) {
		refusal.Outcome = zinniatide.OutcomeUnknown
		refusal.Message += "; send the same ticket again to learn its fate"
	}
	return refusal
}

// route serves f here when this VM leads, or calls the leader.
func (c *Controller) route(f *controlproto.Forward, timeout zinniatide.Millis, done func(controlproto.ForwardReply)) {
	lead := c.leadership()
	if lead.Leading {
		c.serve(f, done)
		return
	}
	refuse := func(err error) { done(controlproto.ForwardReply{Refusal: controlproto.FromError(err)}) }
	if lead.Leader == "" || lead.Leader == c.config.VM {
		refuse(zinniatide.Refuse(zinniatide.CodeNoQuorum, "no control leader is known; try again"))
		return
	}
	c.links.Call(lead.Leader, zinniatide.KindControlForward, f, timeout, func(body []byte, err error) {
		var answer controlproto.ForwardReply
		if err == nil {
			err = encoder.Unmarshal(body, &answer)
		}
		switch {
		case errors.Is(err, zinniatide.ErrNotSent):
			refuse(zinniatide.Refuse(zinniatide.CodeNoQuorum, "the control leader %s cannot be reached; try again", lead.Leader))
		case err != nil:
			refuse(unsure(f, "ask the control leader "+string(lead.Leader)+": "+err.Error()))
		case !answer.Leading && answer.Refusal == nil:
			refuse(zinniatide.Refuse(zinniatide.CodeNoQuorum, "VM %s no longer leads; try again", lead.Leader))
		default:
			done(answer)
		}
	})
}

func (c *Controller) forwardHandler(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var f controlproto.Forward
	if err := encoder.Unmarshal(body, &f); err != nil {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode operator request of %s: %v", from, err))
		return
	}
	c.log.Post(func() {
		if lead := c.leadership(); !lead.Leading {
			reply(&controlproto.ForwardReply{Leadership: lead}, nil)
			return
		}
		c.serve(&f, func(answer controlproto.ForwardReply) { reply(&answer, nil) })
	})
}

// serve runs f on the leader.
func (c *Controller) serve(f *controlproto.Forward, done func(controlproto.ForwardReply)) {
	finish := func(value any, err error) { done(c.answer(value, err)) }
	if changes(f) {
		c.change(f, finish)
		return
	}
	c.log.Barrier(func(err error) {
		if err != nil {
			finish(nil, unsure(f, err.Error()))
			return
		}
		finish(c.read(f))
	})
}

func (c *Controller) answer(value any, err error) controlproto.ForwardReply {
	answer := controlproto.ForwardReply{Leadership: controlproto.Leadership{Leading: true, Leader: c.config.VM}}
	if err == nil {
		answer.Result, err = encoder.Marshal(value)
	}
	answer.Refusal = controlproto.FromError(err)
	return answer
}

// file proposes a ticket.
func (c *Controller) file(raw []byte, done func(any, error)) {
	entry, err := c.decode(raw)
	if err != nil {
		done(nil, err)
		return
	}
	c.propose(&registrar.Command{Ticket: entry}, done)
}

func (c *Controller) decode(raw []byte) (*registrar.TicketEntry, error) {
	ticket, digest, err := c.checker.Decode(raw)
	if err != nil {
		return nil, err
	}
	return &registrar.TicketEntry{Ticket: *ticket, Digest: digest}, nil
}

// read answers an operation that changes nothing.
func (c *Controller) read(f *controlproto.Forward) (any, error) {
	switch f.Operation {
	case controlproto.ForwardFileTicket:
		entry, err := c.decode(f.Ticket)
		if err != nil {
			return nil, err
		}
		return c.machine.DryRun(entry)
	case controlproto.ForwardTicketStatus:
		epoch, ok := c.machine.Ticket(f.Number)
		if !ok {
			return nil, zinniatide.Refuse(zinniatide.CodeNotFound, "ticket %d is not among the kept accepted tickets", f.Number)
		}
		behind := c.notYetOn(epoch)
		return zinniatide.TicketStatus{Number: f.Number, Epoch: epoch, InForce: len(behind) == 0, NotYetOn: behind}, nil
	case controlproto.ForwardState:
		return c.machine.Configuration(), nil
	case controlproto.ForwardRoutingDocument:
		if document := c.machine.RoutingDocument(); document != nil {
			return document, nil
		}
		return nil, zinniatide.Refuse(zinniatide.CodeNotFound, "no routing table has been accepted")
	case controlproto.ForwardHistory:
		return c.machine.History(min(max(f.Limit, 1), maxHistory)), nil
	}
	return nil, zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "operation %d is unknown", f.Operation)
}

package controller

import (
	"errors"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// Controller serves operator requests on every control VM.
var _ zinniatide.Operator = (*Controller)(nil)

// maxHistoryLimit bounds the number of records in one answer to History.
const maxHistoryLimit = 1000

// FileTicket implements zinniatide.Operator. After a refusal with OutcomeUnknown
// the ticket may still be accepted; filing the same ticket again returns its
// outcome.
func (c *Controller) FileTicket(raw []byte, dryRun bool, timeout zinniatide.Millis) (zinniatide.TicketReply, error) {
	var reply zinniatide.TicketReply
	if _, _, err := c.ticketChecker.Decode(raw); err != nil {
		return reply, err
	}
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: raw, DryRun: dryRun}, timeout, &reply)
	return reply, err
}

// TicketStatus implements zinniatide.Operator.
func (c *Controller) TicketStatus(number zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	var status zinniatide.TicketStatus
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardTicketStatus, Number: number}, forwardTimeout, &status)
	return status, err
}

// State implements zinniatide.Operator.
func (c *Controller) State() (*zinniatide.Configuration, error) {
	configuration := registrar.NewConfiguration()
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardState}, forwardTimeout, configuration)
	return configuration, err
}

// History implements zinniatide.Operator.
func (c *Controller) History(limit int) ([]zinniatide.TicketRecord, error) {
	var records []zinniatide.TicketRecord
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardHistory, Limit: limit}, forwardTimeout, &records)
	return records, err
}

// runOnLeader executes f here or forwards it to the leader, waits for the result
// and decodes it into out.
func (c *Controller) runOnLeader(f *controlproto.Forward, timeout zinniatide.Millis, out any) error {
	responses := make(chan controlproto.ForwardReply, 1)
	c.log.Post(func() {
		c.dispatch(f, timeout, func(response controlproto.ForwardReply) { responses <- response })
	})
	select {
	case response := <-responses:
		if err := response.Refusal.Err(); err != nil {
			return err
		}
		if err := encoder.Unmarshal(response.Result, out); err != nil {
			return unknownOutcome(f, "decode the leader's answer: "+err.Error())
		}
		return nil
	case <-c.timeAfter(timeout):
		return unknownOutcome(f, "no answer from the control leader in time")
	}
}

// unknownOutcome returns a refusal for f when it is unknown whether f took
// effect.
func unknownOutcome(f *controlproto.Forward, message string) error {
	refusal := zinniatide.Refuse(zinniatide.CodeNoQuorum, "%s", message)
	if isWrite(f) {
		refusal.Outcome = zinniatide.OutcomeUnknown
		refusal.Message += "; send the same ticket again to learn its fate"
	}
	return refusal
}

// dispatch executes f here if this VM leads, or forwards it to the leader.
func (c *Controller) dispatch(f *controlproto.Forward, timeout zinniatide.Millis, done func(controlproto.ForwardReply)) {
	leadership := c.leadership()
	if leadership.Leading {
		c.execute(f, done)
		return
	}
	refuse := func(err error) { done(controlproto.ForwardReply{Refusal: controlproto.FromError(err)}) }
	if leadership.Leader == "" || leadership.Leader == c.config.VM {
		refuse(zinniatide.Refuse(zinniatide.CodeNoQuorum, "no control leader is known; try again"))
		return
	}
	c.links.Call(leadership.Leader, zinniatide.KindControlForward, f, timeout, func(body []byte, err error) {
		var response controlproto.ForwardReply
		if err == nil {
			err = encoder.Unmarshal(body, &response)
		}
		switch {
		case errors.Is(err, zinniatide.ErrNotSent):
			refuse(zinniatide.Refuse(zinniatide.CodeNoQuorum, "the control leader %s cannot be reached; try again", leadership.Leader))
		case err != nil:
			refuse(unknownOutcome(f, "ask the control leader "+string(leadership.Leader)+": "+err.Error()))
		case !response.Leading && response.Refusal == nil:
			refuse(zinniatide.Refuse(zinniatide.CodeNoQuorum, "VM %s no longer leads; try again", leadership.Leader))
		default:
			done(response)
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
		if leadership := c.leadership(); !leadership.Leading {
			reply(&controlproto.ForwardReply{LeaderStatus: leadership}, nil)
			return
		}
		c.execute(&f, func(response controlproto.ForwardReply) { reply(&response, nil) })
	})
}

// execute executes f on this VM, the leader. A read waits for a log barrier, so
// that it sees all committed entries.
func (c *Controller) execute(f *controlproto.Forward, done func(controlproto.ForwardReply)) {
	finish := func(value any, err error) { done(c.newForwardReply(value, err)) }
	if c.log.Status().Forming {
		finish(nil, zinniatide.Refuse(zinniatide.CodeNoQuorum, "too few of the control VMs have joined the new log; try again"))
		return
	}
	if isWrite(f) {
		c.executeWrite(f, func(value any, err error) {
			if !acknowledgesInstalled(f) || err != nil && !supersedes(err) {
				finish(value, err)
				return
			}
			c.awaitInstallation(func(waitErr error) {
				if waitErr != nil {
					value, err = nil, unknownOutcome(f, waitErr.Error())
				}
				finish(value, err)
			})
		})
		return
	}
	c.log.Barrier(func(err error) {
		if err != nil {
			finish(nil, unknownOutcome(f, err.Error()))
			return
		}
		finish(c.executeRead(f))
	})
}

func (c *Controller) newForwardReply(value any, err error) controlproto.ForwardReply {
	response := controlproto.ForwardReply{LeaderStatus: controlproto.LeaderStatus{Leading: true, Leader: c.config.VM}}
	if err == nil {
		response.Result, err = encoder.Marshal(value)
	}
	response.Refusal = controlproto.FromError(err)
	return response
}

// proposeTicket decodes a ticket and proposes it.
func (c *Controller) proposeTicket(raw []byte, done func(any, error)) {
	entry, err := c.decodeTicket(raw)
	if err != nil {
		done(nil, err)
		return
	}
	c.propose(&registrar.Command{Ticket: entry}, done)
}

func (c *Controller) decodeTicket(raw []byte) (*registrar.TicketEntry, error) {
	ticket, digest, err := c.ticketChecker.Decode(raw)
	if err != nil {
		return nil, err
	}
	return &registrar.TicketEntry{Ticket: *ticket, Digest: digest}, nil
}

// executeRead executes an operation that proposes no log entry.
func (c *Controller) executeRead(f *controlproto.Forward) (any, error) {
	switch f.Operation {
	case controlproto.ForwardFileTicket:
		entry, err := c.decodeTicket(f.Ticket)
		if err != nil {
			return nil, err
		}
		return c.stateMachine.DryRun(entry)
	case controlproto.ForwardTicketStatus:
		epoch, ok := c.stateMachine.Ticket(f.Number)
		if !ok {
			return nil, zinniatide.Refuse(zinniatide.CodeNotFound, "ticket %d is not among the kept accepted tickets", f.Number)
		}
		behind := c.membersBehind(epoch)
		return zinniatide.TicketStatus{Number: f.Number, Epoch: epoch, InForce: len(behind) == 0, PendingVMs: behind}, nil
	case controlproto.ForwardState:
		return c.stateMachine.Configuration(), nil
	case controlproto.ForwardRoutingDocument:
		return c.newestRoutingDocument(f.Number)
	case controlproto.ForwardZoneOrders:
		return c.stateMachine.ZoneOrders(), nil
	case controlproto.ForwardRollout:
		return c.readRollout(f.Service)
	case controlproto.ForwardHistory:
		return c.stateMachine.History(min(max(f.Limit, 1), maxHistoryLimit)), nil
	}
	return nil, zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "operation %d is unknown", f.Operation)
}

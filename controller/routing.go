package controller

import (
	"unicode/utf8"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/registrar"
)

var _ zinniatide.RoutingOperator = (*Controller)(nil)

// FileRouting implements zinniatide.RoutingOperator.
func (c *Controller) FileRouting(number zinniatide.TicketNumber, routing *zinniatide.Routing, document []byte, timeout zinniatide.Millis) (zinniatide.TicketReply, error) {
	var reply zinniatide.TicketReply
	if err := checker.CheckRouting(number, routing); err != nil {
		return reply, err
	}
	err := c.runOnLeader(&controlproto.Forward{
		Operation: controlproto.ForwardFileRouting, Number: number, Routing: routing, Document: document,
	}, timeout, &reply)
	return reply, err
}

// RoutingDocument implements zinniatide.RoutingOperator.
func (c *Controller) RoutingDocument(timeout zinniatide.Millis) ([]byte, error) {
	var document []byte
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardRoutingDocument}, timeout, &document)
	return document, err
}

// SetZoneState implements zinniatide.RoutingOperator. The number of earlier zone
// state changes is read before the operator is known to wait still, and the change
// takes effect only if that number has not changed. So a call that is delayed
// anywhere after the operator has given up cannot overtake a later one.
func (c *Controller) SetZoneState(zone zinniatide.ZoneID, state zinniatide.ServingState, abandoned func() bool, timeout zinniatide.Millis) error {
	if zone == "" || len(zone) > zinniatide.MaxIDLength || !utf8.ValidString(string(zone)) {
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "availability zone is empty, too long or no UTF-8")
	}
	end := c.clock.Now() + timeout
	for {
		var orders uint64
		if err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardZoneOrders}, end-c.clock.Now(), &orders); err != nil {
			return err
		}
		left := end - c.clock.Now()
		if left <= 0 || abandoned() {
			return zinniatide.Refuse(zinniatide.CodeNoQuorum, "the operator no longer waits")
		}
		var epoch zinniatide.Epoch
		err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardSetZone, Zone: zone, State: state, After: &orders}, left, &epoch)
		if err != nil || epoch != 0 {
			return err
		}
	}
}

// proposeRouting proposes the ticket of a routing table. The table is validated
// again, because the forwarding VM may run another version of the program.
func (c *Controller) proposeRouting(f *controlproto.Forward, done func(any, error)) {
	if f.Routing == nil {
		done(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "routing table is missing"))
		return
	}
	if err := checker.CheckRouting(f.Number, f.Routing); err != nil {
		done(nil, err)
		return
	}
	c.propose(&registrar.Command{Ticket: &registrar.TicketEntry{
		Ticket: zinniatide.Ticket{Number: f.Number, Routing: f.Routing},
		Digest: checker.RoutingDocumentDigest(f.Document), Document: f.Document,
	}}, done)
}

// isWrite reports whether f proposes a log entry.
func isWrite(f *controlproto.Forward) bool {
	switch f.Operation {
	case controlproto.ForwardFileTicket:
		return !f.DryRun
	case controlproto.ForwardFileRouting, controlproto.ForwardSetZone:
		return true
	}
	return false
}

// executeWrite proposes the log entry of f.
func (c *Controller) executeWrite(f *controlproto.Forward, done func(any, error)) {
	switch f.Operation {
	case controlproto.ForwardFileRouting:
		c.proposeRouting(f, done)
	case controlproto.ForwardSetZone:
		c.propose(&registrar.Command{ZoneState: &registrar.ZoneStateChange{Zone: f.Zone, State: f.State, After: f.After}}, done)
	default:
		c.proposeTicket(f.Ticket, done)
	}
}

package controller

import (
	"unicode/utf8"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

var _ zinniatide.RoutingOperator = (*Controller)(nil)

// FileRouting implements zinniatide.RoutingOperator. The leader gets only the
// difference from the table of this VM. If it does not have that table, it gets the
// complete new one.
func (c *Controller) FileRouting(number zinniatide.TicketNumber, routing *zinniatide.Routing, document []byte, timeout zinniatide.Millis) (zinniatide.TicketReply, error) {
	var reply zinniatide.TicketReply
	if err := checker.CheckRouting(number, routing); err != nil {
		return reply, err
	}
	end := c.clock.Now() + timeout
	next := &registrar.RoutingTable{Number: number, Table: routing, Document: document}
	base := c.routingTable.Load()
	err := c.forwardRouting(base, next, timeout, &reply)
	if isUnknownBase(err) && base.Number != 0 {
		err = c.forwardRouting(&registrar.RoutingTable{}, next, end-c.clock.Now(), &reply)
	}
	return reply, err
}

func (c *Controller) forwardRouting(base, next *registrar.RoutingTable, timeout zinniatide.Millis, reply *zinniatide.TicketReply) error {
	c.preparing.Lock()
	encoded, err := encoder.Marshal(registrar.NewRoutingEntry(base, next))
	c.preparing.Unlock()
	if err != nil {
		return zinniatide.WrapStep(err, "encode routing entry", string(c.config.VM))
	}
	return c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardFileRouting, Routing: encoded}, timeout, reply)
}

// RoutingDocument implements zinniatide.RoutingOperator. The leader sends the
// document only if this VM has not applied the newest one yet.
func (c *Controller) RoutingDocument(timeout zinniatide.Millis) ([]byte, error) {
	known := c.routingTable.Load()
	var newest controlproto.RoutingDocument
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardRoutingDocument, Number: known.Number}, timeout, &newest)
	if err != nil {
		return nil, err
	}
	if newest.Number == known.Number {
		return known.Document, nil
	}
	return newest.Document, nil
}

// newestRoutingDocument returns the answer to a VM that has the table known.
func (c *Controller) newestRoutingDocument(known zinniatide.TicketNumber) (any, error) {
	table := c.stateMachine.RoutingTable()
	switch table.Number {
	case 0:
		return nil, zinniatide.Refuse(zinniatide.CodeNotFound, "no routing table has been accepted")
	case known:
		return controlproto.RoutingDocument{Number: table.Number}, nil
	}
	return controlproto.RoutingDocument{Number: table.Number, Document: table.Document}, nil
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

// isWrite reports whether f proposes a log entry.
func isWrite(f *controlproto.Forward) bool {
	switch f.Operation {
	case controlproto.ForwardFileTicket:
		return !f.DryRun
	case controlproto.ForwardFileRouting, controlproto.ForwardSetZone, controlproto.ForwardStartRollout:
		return true
	}
	return false
}

// executeWrite proposes the log entry of f.
func (c *Controller) executeWrite(f *controlproto.Forward, done func(any, error)) {
	switch f.Operation {
	case controlproto.ForwardFileRouting:
		c.fileRouting(f.Routing, done)
	case controlproto.ForwardSetZone:
		c.propose(&registrar.Command{ZoneState: &registrar.ZoneStateChange{Zone: f.Zone, State: f.State, After: f.After}}, done)
	case controlproto.ForwardStartRollout:
		c.proposeRollout(f, done)
	default:
		c.proposeTicket(f.Ticket, done)
	}
}

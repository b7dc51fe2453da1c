package controller

import (
	"cmp"
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

const (
	// maxWaitingTickets bounds the routing tickets that wait for the one in flight.
	maxWaitingTickets = 256
	// maxKeptTables and maxKeptTableBytes bound the routing tables that are kept to
	// resolve tickets of VMs that have not applied the newest one. At least the newest
	// is kept.
	maxKeptTables     = 8
	maxKeptTableBytes = 4 << 20
)

// routingQueue holds the routing tickets that the leader has not decided yet. One
// log entry is in flight at a time. When it is decided, the waiting ticket with the
// highest number comes next, because it supersedes the others: a burst of tickets
// takes few log entries on a busy VM.
type routingQueue struct {
	waiting  []*routingTicket
	inFlight bool
	// tables are the newest tables applied on this VM, newest last.
	tables []*registrar.RoutingTable
}

// routingTicket is a routing ticket that waits for its decision.
type routingTicket struct {
	entry *registrar.RoutingEntry
	done  func(any, error)
}

// unknownBase is the message of the refusal of a ticket whose base table the leader
// does not have.
const unknownBase = "the control leader does not have the table that the ticket changes"

// isUnknownBase reports whether the leader needs the complete table.
func isUnknownBase(err error) bool {
	var refusal *zinniatide.Refusal
	return errors.As(err, &refusal) && refusal.Code == zinniatide.CodeNotFound && refusal.Message == unknownBase
}

// keepTable records the current table after it has changed. It is called on every
// control VM.
func (c *Controller) keepTable() {
	table := c.stateMachine.RoutingTable()
	if table.Number == c.routingTable.Load().Number {
		return
	}
	c.routingTable.Store(table)
	q := &c.routing
	q.tables = append(q.tables, table)
	size := 0
	for i := len(q.tables) - 1; i >= 0; i-- {
		size += len(q.tables[i].Document)
		if i < len(q.tables)-1 && (size > maxKeptTableBytes || len(q.tables)-i > maxKeptTables) {
			q.tables = slices.Clone(q.tables[i+1:])
			return
		}
	}
}

// baseTable returns the table with the given number, or nil if it is not kept.
func (q *routingQueue) baseTable(number zinniatide.TicketNumber) *registrar.RoutingTable {
	if number == 0 {
		return &registrar.RoutingTable{}
	}
	for _, t := range q.tables {
		if t.Number == number {
			return t
		}
	}
	return nil
}

func (q *routingQueue) remove(t *routingTicket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *routingTicket) bool { return other == t })
}

// fileRouting queues the routing ticket in encoded for its decision.
func (c *Controller) fileRouting(encoded []byte, done func(any, error)) {
	entry := &registrar.RoutingEntry{}
	if err := encoder.Unmarshal(encoded, entry); err != nil {
		done(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode routing ticket: %v", err))
		return
	}
	if len(c.routing.waiting) >= maxWaitingTickets {
		done(nil, zinniatide.Refuse(zinniatide.CodeOverloaded, "%d routing tickets wait for a decision", len(c.routing.waiting)))
		return
	}
	c.routing.waiting = append(c.routing.waiting, &routingTicket{entry, done})
	c.proposeRouting()
}

// proposeRouting answers the waiting tickets that are decided and proposes the
// highest of the others.
func (c *Controller) proposeRouting() {
	q := &c.routing
	for !q.inFlight {
		c.answerDecided()
		if len(q.waiting) == 0 {
			return
		}
		next := slices.MaxFunc(q.waiting, func(a, b *routingTicket) int { return cmp.Compare(a.entry.Number(), b.entry.Number()) })
		entry, err := c.rebase(next.entry)
		if err != nil {
			q.remove(next)
			next.done(nil, err)
			continue
		}
		q.inFlight = true
		c.propose(&registrar.Command{Routing: entry}, func(result any, err error) {
			q.inFlight = false
			if _, changed := result.(registrar.BaseChanged); !changed || err != nil {
				q.remove(next)
				next.done(result, err)
			}
			c.proposeRouting()
		})
	}
}

// answerDecided answers the waiting tickets that the current state decides.
func (c *Controller) answerDecided() {
	waiting := c.routing.waiting
	c.routing.waiting = nil
	for _, t := range waiting {
		reply, decided, err := c.stateMachine.EvaluateRouting(t.entry.Number(), t.entry.Digest)
		if decided {
			t.done(reply, err)
		} else {
			c.routing.waiting = append(c.routing.waiting, t)
		}
	}
}

// rebase returns the entry that changes the current table to that of entry. The table
// is validated again, because the VM that sent it may run another version of the
// program.
func (c *Controller) rebase(entry *registrar.RoutingEntry) (*registrar.RoutingEntry, error) {
	base := c.routing.baseTable(entry.Base)
	if base == nil {
		return nil, zinniatide.Refuse(zinniatide.CodeNotFound, unknownBase)
	}
	next, err := entry.Resolve(base)
	if err != nil {
		klog.ErrorS(err, "cannot resolve a routing ticket", "step", "rebase", "number", entry.Number(), "base", entry.Base)
		return nil, zinniatide.Refuse(zinniatide.CodeNotFound, unknownBase)
	}
	if err := checker.CheckRouting(next.Number, next.Table); err != nil {
		return nil, err
	}
	current := c.stateMachine.RoutingTable()
	if current.Number == entry.Base {
		return entry, nil
	}
	return registrar.NewRoutingEntry(current, next), nil
}

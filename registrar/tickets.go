package registrar

import (
	"maps"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// maxTicketRecords is the number of accepted tickets whose digests are kept to
// recognize resent tickets. It covers more than two days at 20,000 configuration
// changes a day, far longer than operators resend a ticket.
const maxTicketRecords = 50_000

// ticketRecord is one accepted ticket.
type ticketRecord struct {
	Number zinniatide.TicketNumber `cbor:"1,keyasint"`
	Epoch  zinniatide.Epoch        `cbor:"2,keyasint"`
	Digest checker.Digest          `cbor:"3,keyasint"`
}

// ticketTable stores the most recently accepted tickets.
type ticketTable struct {
	maxRecords int
	// records is a ring buffer. Once it is full, oldest is the position of the
	// oldest record.
	records  []ticketRecord
	oldest   int
	position map[zinniatide.TicketNumber]int // index into records
	// highestDropped is the highest ticket number dropped from records.
	highestDropped zinniatide.TicketNumber
	// highest is the highest accepted ticket number of each entity. It includes
	// removed entities, so that an old ticket cannot restore them.
	highest map[checker.Entity]zinniatide.TicketNumber
}

func newTicketTable() ticketTable {
	return ticketTable{
		maxRecords: maxTicketRecords,
		position:   map[zinniatide.TicketNumber]int{},
		highest:    map[checker.Entity]zinniatide.TicketNumber{},
	}
}

// find returns the record of an accepted ticket unless it has been dropped.
func (t *ticketTable) find(number zinniatide.TicketNumber) (ticketRecord, bool) {
	i, ok := t.position[number]
	if !ok {
		return ticketRecord{}, false
	}
	return t.records[i], true
}

// checkNumber applies the ticket number rules in this order:
//  1. A ticket without a record and not above highestDropped is superseded.
//  2. A ticket with a record is repeated if the digests match, otherwise it is
//     a conflict.
//  3. A ticket below the highest number accepted for one of its entities is
//     superseded.
func (t *ticketTable) checkNumber(number zinniatide.TicketNumber, digest checker.Digest, entities []checker.Entity) (record ticketRecord, repeated bool, refusal *zinniatide.Refusal) {
	record, kept := t.find(number)
	switch {
	case !kept && number <= t.highestDropped:
		return record, false, zinniatide.Refuse(zinniatide.CodeSuperseded,
			"ticket %d is older than the last %d accepted tickets", number, t.maxRecords)
	case kept && record.Digest == digest:
		return record, true, nil
	case kept:
		return record, false, zinniatide.Refuse(zinniatide.CodeTicketConflict,
			"ticket %d was accepted with digest %s, this one has digest %s", number, record.Digest, digest)
	}
	for _, entity := range entities {
		if highest := t.highest[entity]; number < highest {
			return record, false, zinniatide.Refuse(zinniatide.CodeSuperseded,
				"ticket %d is lower than ticket %d, which was accepted for %s", number, highest, entity)
		}
	}
	return record, false, nil
}

// add stores an accepted ticket. It drops the oldest record if the table is full.
func (t *ticketTable) add(r ticketRecord, entities []checker.Entity) {
	if len(t.records) < t.maxRecords {
		t.position[r.Number] = len(t.records)
		t.records = append(t.records, r)
	} else {
		dropped := t.records[t.oldest].Number
		delete(t.position, dropped)
		t.highestDropped = max(t.highestDropped, dropped)
		t.position[r.Number] = t.oldest
		t.records[t.oldest] = r
		t.oldest = (t.oldest + 1) % len(t.records)
	}
	for _, entity := range entities {
		t.highest[entity] = max(t.highest[entity], r.Number)
	}
}

// newest returns up to limit records, newest first.
func (t *ticketTable) newest(limit int) []ticketRecord {
	n := len(t.records)
	out := make([]ticketRecord, 0, min(max(limit, 0), n))
	for i := 0; i < n && len(out) < limit; i++ {
		out = append(out, t.records[(t.oldest+n-1-i)%n])
	}
	return out
}

func (r *Registrar) applyTicket(e *TicketEntry) any {
	reply, refusal := r.evaluate(e)
	if refusal != nil {
		return refusal
	}
	if reply.Repeated {
		return reply
	}
	tx := newTransaction(r.configuration)
	d := ticketDelta(r.configuration, &e.Ticket)
	tx.add(d)
	if len(d.AvailabilityZones)+len(d.VMs) > 0 {
		r.assignBuckets(tx)
	}
	if e.Ticket.Routing != nil {
		endRolloutsOfRemovedServices(tx)
		r.routingDocument = e.Document
	}
	reply.Epoch = r.commit(tx)
	r.tickets.add(ticketRecord{Number: reply.Number, Epoch: reply.Epoch, Digest: e.Digest}, checker.Entities(&e.Ticket))
	return reply
}

// DryRun returns the reply that e would get now, without applying it. For a
// ticket that has not been accepted yet, Accepted is false and Epoch is the
// current epoch.
func (r *Registrar) DryRun(e *TicketEntry) (zinniatide.TicketReply, error) {
	reply, refusal := r.evaluate(e)
	if refusal != nil {
		return reply, refusal
	}
	if !reply.Repeated {
		reply.Accepted = false
		reply.Epoch = r.configuration.Epoch
	}
	return reply, nil
}

// evaluate checks e and computes its reply without changing the state.
func (r *Registrar) evaluate(e *TicketEntry) (zinniatide.TicketReply, *zinniatide.Refusal) {
	record, repeated, refusal := r.tickets.checkNumber(e.Ticket.Number, e.Digest, checker.Entities(&e.Ticket))
	if refusal != nil {
		return zinniatide.TicketReply{}, refusal
	}
	reply := zinniatide.TicketReply{Number: e.Ticket.Number, Epoch: record.Epoch, Accepted: true, Repeated: repeated}
	if repeated {
		return reply, nil
	}
	if err := checker.CheckAgainst(r.configuration, &e.Ticket); err != nil {
		return reply, zinniatide.Refuse(zinniatide.CodeBadRequest, "%v", err)
	}
	reply.Changes = checker.Difference(r.configuration, &e.Ticket)
	return reply, nil
}

// Ticket returns the epoch of an accepted ticket. It returns false for a ticket
// that was never accepted or whose record has been dropped.
func (r *Registrar) Ticket(number zinniatide.TicketNumber) (zinniatide.Epoch, bool) {
	record, ok := r.tickets.find(number)
	return record.Epoch, ok
}

// History returns up to limit accepted tickets, newest first.
func (r *Registrar) History(limit int) []zinniatide.TicketRecord {
	records := r.tickets.newest(limit)
	out := make([]zinniatide.TicketRecord, len(records))
	for i, record := range records {
		out[i] = zinniatide.TicketRecord{Number: record.Number, Epoch: record.Epoch, Digest: record.Digest.String()}
	}
	return out
}

// ticketDelta returns what t changes in c. It omits entities that stay the same,
// so that a ticket without effect does not start an epoch.
func ticketDelta(c *zinniatide.Configuration, t *zinniatide.Ticket) Delta {
	d := Delta{
		Services:          changedEntities(c.Services, t.Services, checker.EqualServices),
		AvailabilityZones: changedEntities(c.AvailabilityZones, t.AvailabilityZones, checker.EqualStates),
		VMs:               changedEntities(c.VMs, t.VMs, checker.EqualStates),
		BackendServers:    changedEntities(c.BackendServers, t.BackendServers, checker.EqualStates),
	}
	if len(t.ControlVMs) > 0 && !checker.EqualControlVMs(c.ControlVMs, t.ControlVMs) {
		d.ControlVMs = t.ControlVMs
	}
	if t.Routing != nil {
		d.Routing = newRoutingDelta(t.Number, c.Routing, t.Routing)
	}
	return d
}

// changedEntities returns the entries of wanted that differ from current.
func changedEntities[K comparable, V any](current map[K]V, wanted map[K]*V, same func(a, b V) bool) map[K]*V {
	out := maps.Clone(wanted)
	maps.DeleteFunc(out, func(key K, value *V) bool {
		old, known := current[key]
		if value == nil {
			return !known
		}
		return known && same(old, *value)
	})
	return out
}

package registrar

import (
	"maps"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// keptTickets is the number of accepted tickets whose digests are kept. It
// covers more than two days at 20,000 configuration changes a day, which is
// far longer than an operator resends a ticket.
const keptTickets = 50_000

// ticketRecord is one accepted ticket.
type ticketRecord struct {
	Number zinniatide.TicketNumber `cbor:"1,keyasint"`
	Epoch  zinniatide.Epoch        `cbor:"2,keyasint"`
	Digest checker.Digest          `cbor:"3,keyasint"`
}

// ticketTable remembers accepted tickets.
type ticketTable struct {
	kept int
	// records is a ring of the last accepted tickets. Once it is full, start
	// is the position of the oldest.
	records []ticketRecord
	start   int
	index   map[zinniatide.TicketNumber]int
	// floor is the highest number that was dropped from records.
	floor zinniatide.TicketNumber
	// highest is the highest accepted number of each entity, removed ones
	// included, so that an old ticket cannot bring an entity back.
	highest map[checker.Entity]zinniatide.TicketNumber
}

func newTicketTable() ticketTable {
	return ticketTable{
		kept:    keptTickets,
		index:   map[zinniatide.TicketNumber]int{},
		highest: map[checker.Entity]zinniatide.TicketNumber{},
	}
}

// find returns the kept record of number.
func (t *ticketTable) find(number zinniatide.TicketNumber) (ticketRecord, bool) {
	i, ok := t.index[number]
	if !ok {
		return ticketRecord{}, false
	}
	return t.records[i], true
}

// check applies the number rules in the order of the design page. Repeated is
// true when the ticket has been accepted before.
func (t *ticketTable) check(e *TicketEntry) (record ticketRecord, repeated bool, refusal *zinniatide.Refusal) {
	number := e.Ticket.Number
	record, kept := t.find(number)
	switch {
	case !kept && number <= t.floor:
		return record, false, zinniatide.Refuse(zinniatide.CodeSuperseded,
			"ticket %d is older than the last %d accepted tickets", number, t.kept)
	case kept && record.Digest == e.Digest:
		return record, true, nil
	case kept:
		return record, false, zinniatide.Refuse(zinniatide.CodeTicketConflict,
			"ticket %d was accepted with digest %s, this one has digest %s", number, record.Digest, e.Digest)
	}
	for _, entity := range checker.Entities(&e.Ticket) {
		if highest := t.highest[entity]; number < highest {
			return record, false, zinniatide.Refuse(zinniatide.CodeSuperseded,
				"ticket %d is lower than ticket %d, which was accepted for %s", number, highest, entity)
		}
	}
	return record, false, nil
}

// record adds an accepted ticket and drops the oldest when the table is full.
func (t *ticketTable) record(r ticketRecord, entities []checker.Entity) {
	if len(t.records) < t.kept {
		t.index[r.Number] = len(t.records)
		t.records = append(t.records, r)
	} else {
		dropped := t.records[t.start].Number
		delete(t.index, dropped)
		t.floor = max(t.floor, dropped)
		t.index[r.Number] = t.start
		t.records[t.start] = r
		t.start = (t.start + 1) % len(t.records)
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
		out = append(out, t.records[(t.start+n-1-i)%n])
	}
	return out
}

// applyTicket accepts or refuses a ticket.
func (r *Registrar) applyTicket(e *TicketEntry) any {
	reply, refusal := r.judge(e)
	if refusal != nil {
		return refusal
	}
	if reply.Repeated {
		return reply
	}
	c := newChange(r.configuration)
	d := ticketDelta(r.configuration, &e.Ticket)
	c.add(d)
	if len(d.AvailabilityZones)+len(d.VMs) > 0 {
		r.assignBuckets(c)
	}
	if e.Ticket.Routing != nil {
		r.document = e.Document
	}
	reply.Epoch = r.commit(c)
	r.tickets.record(ticketRecord{Number: reply.Number, Epoch: reply.Epoch, Digest: e.Digest}, checker.Entities(&e.Ticket))
	return reply
}

// DryRun tells what e would do now. It changes nothing. The epoch of its reply
// is the current one for a ticket that has not been accepted.
func (r *Registrar) DryRun(e *TicketEntry) (zinniatide.TicketReply, error) {
	reply, refusal := r.judge(e)
	if refusal != nil {
		return reply, refusal
	}
	if !reply.Repeated {
		reply.Accepted = false
		reply.Epoch = r.configuration.Epoch
	}
	return reply, nil
}

// judge evaluates the rules for e without changing anything.
func (r *Registrar) judge(e *TicketEntry) (zinniatide.TicketReply, *zinniatide.Refusal) {
	record, repeated, refusal := r.tickets.check(e)
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

// Ticket returns the epoch of an accepted ticket. It returns false for a
// number that was never accepted or is no longer kept.
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

// ticketDelta returns what t changes in c. Entities that t leaves as they are
// do not appear, so a ticket without effect does not start an epoch.
func ticketDelta(c *zinniatide.Configuration, t *zinniatide.Ticket) Delta {
	d := Delta{
		Services:          changed(c.Services, t.Services, checker.SameService),
		AvailabilityZones: changed(c.AvailabilityZones, t.AvailabilityZones, checker.SameState),
		VMs:               changed(c.VMs, t.VMs, checker.SameState),
		BackendServers:    changed(c.BackendServers, t.BackendServers, checker.SameState),
	}
	if len(t.ControlVMs) > 0 && !checker.SameControlVMs(c.ControlVMs, t.ControlVMs) {
		d.ControlVMs = t.ControlVMs
	}
	if t.Routing != nil {
		d.Routing = routingChange(t.Number, c.Routing, t.Routing)
	}
	return d
}

func changed[K comparable, V any](current map[K]V, wanted map[K]*V, same func(a, b V) bool) map[K]*V {
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

package registrar

import (
	"fmt"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/common/patcher"
)

// RoutingEntry replaces the routing table. It contains only the differences from
// an earlier table, because tables are large and a ticket usually changes few
// routes.
type RoutingEntry struct {
	// Base is the ticket number of the table that the entry changes, or 0 for an
	// empty table.
	Base     zinniatide.TicketNumber `cbor:"1,keyasint"`
	Digest   checker.Digest          `cbor:"2,keyasint"` // of the new document
	Delta    RoutingDelta            `cbor:"3,keyasint"`
	Document patcher.Patch           `cbor:"4,keyasint"`
}

// RoutingTable is one version of the routing table. It must not be modified.
type RoutingTable struct {
	Number zinniatide.TicketNumber // 0 before the first table
	Table  *zinniatide.Routing     // nil before the first table
	// Document is the table as the operator wrote it.
	Document []byte
}

// BaseChanged is the result of a RoutingEntry whose base is not the current table.
// The entry has no effect.
type BaseChanged struct{}

// NewRoutingEntry returns the entry that replaces base by next.
func NewRoutingEntry(base, next *RoutingTable) *RoutingEntry {
	return &RoutingEntry{
		Base: base.Number, Digest: checker.RoutingDocumentDigest(next.Document),
		Delta: *newRoutingDelta(next.Number, base.Table, next.Table), Document: patcher.New(base.Document, next.Document),
	}
}

// Number returns the ticket number.
func (e *RoutingEntry) Number() zinniatide.TicketNumber { return e.Delta.Number }

// Resolve returns the table that the entry describes, given its base. It fails if the
// document is not the one that the digest was computed from.
func (e *RoutingEntry) Resolve(base *RoutingTable) (*RoutingTable, error) {
	document, err := e.Document.Apply(base.Document)
	if err != nil {
		return nil, err
	}
	if checker.RoutingDocumentDigest(document) != e.Digest {
		return nil, fmt.Errorf("document of routing ticket %d does not match its digest", e.Number())
	}
	return &RoutingTable{Number: e.Number(), Table: e.Delta.apply(base.Table), Document: document}, nil
}

// RoutingTable returns the current routing table.
func (r *Registrar) RoutingTable() *RoutingTable {
	return &RoutingTable{Number: r.configuration.RoutingNumber, Table: r.configuration.Routing, Document: r.routingDocument}
}

// EvaluateRouting returns the outcome of a routing ticket that its number alone
// decides: it was accepted before, or is refused. Otherwise decided is false.
func (r *Registrar) EvaluateRouting(number zinniatide.TicketNumber, digest checker.Digest) (reply zinniatide.TicketReply, decided bool, err error) {
	record, repeated, refusal := r.tickets.checkNumber(number, digest, routingEntities)
	if refusal != nil {
		return zinniatide.TicketReply{}, true, refusal
	}
	return zinniatide.TicketReply{Number: number, Epoch: record.Epoch, Accepted: repeated, Repeated: repeated}, repeated, nil
}

// routingEntities are the entities that a routing ticket changes.
var routingEntities = checker.Entities(&zinniatide.Ticket{Routing: &zinniatide.Routing{}})

func (r *Registrar) applyRouting(e *RoutingEntry) any {
	reply, decided, err := r.EvaluateRouting(e.Number(), e.Digest)
	if err != nil {
		return err
	}
	if decided {
		return reply
	}
	current := r.RoutingTable()
	if e.Base != current.Number {
		return BaseChanged{}
	}
	document, err := e.Document.Apply(current.Document)
	if err != nil {
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "routing ticket %d: %v", e.Number(), err)
	}
	reply.Accepted, reply.Changes = true, e.Delta.differences(current.Table)
	tx := newTransaction(r.configuration)
	tx.add(Delta{Routing: &e.Delta})
	endRolloutsOfRemovedServices(tx)
	r.routingDocument = document
	reply.Epoch = r.commit(tx)
	r.tickets.add(ticketRecord{Number: reply.Number, Epoch: reply.Epoch, Digest: e.Digest}, routingEntities)
	return reply
}

// differences lists the changes to current for the reply to the ticket.
func (d *RoutingDelta) differences(current *zinniatide.Routing) []string {
	if current == nil {
		current = &zinniatide.Routing{}
	}
	workspaces := d.changedWorkspaces(current.Workspaces)
	before := &zinniatide.Routing{
		Routes:   selectItems(current.Routes, d.Routes, d.RemovedRoutes, keyOfRoute),
		Services: selectItems(current.Services, d.Services, d.RemovedServices, keyOfService),
		Limits:   current.Limits, KeysRequired: current.KeysRequired,
		Workspaces: selectItems(current.Workspaces, workspaces, d.RemovedWorkspaces, keyOfWorkspace),
	}
	after := &zinniatide.Routing{Routes: d.Routes, Services: d.Services, Limits: d.Limits, KeysRequired: d.KeysRequired, Workspaces: workspaces}
	return checker.Difference(&zinniatide.Configuration{Routing: before}, &zinniatide.Ticket{Routing: after})
}

// selectItems returns the items of current that are replaced by changed or removed.
func selectItems[T any, K comparable](current, changed []T, removed []K, key func(*T) K) []T {
	keys := touchedKeys(changed, removed, key)
	var out []T
	for i := range current {
		if keys[key(&current[i])] {
			out = append(out, current[i])
		}
	}
	return out
}

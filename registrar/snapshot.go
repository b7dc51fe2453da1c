package registrar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/encoder"
)

// snapshotVersion must be incremented on every incompatible format change.
const snapshotVersion = 1

// snapshot is the encoded form of the whole state. Its lists are sorted, so that
// equal states encode to equal bytes.
type snapshot struct {
	Version         int                       `cbor:"1,keyasint"`
	LogClock        zinniatide.Millis         `cbor:"2,keyasint"`
	Configuration   *zinniatide.Configuration `cbor:"3,keyasint"`
	Tickets         []ticketRecord            `cbor:"4,keyasint"` // oldest first
	HighestDropped  zinniatide.TicketNumber   `cbor:"5,keyasint"`
	Highest         []entityNumber            `cbor:"6,keyasint"`
	PendingMoves    []pendingMove             `cbor:"7,keyasint"`
	Claims          []*claimRecord            `cbor:"8,keyasint"`
	RoutingDocument []byte                    `cbor:"9,keyasint,omitempty"`
	ZoneOrders      uint64                    `cbor:"10,keyasint,omitempty"`
	Replaced        []replacedProcesses       `cbor:"11,keyasint,omitempty"`
}

// replacedProcesses are the processes of a member that others have replaced.
type replacedProcesses struct {
	VM        zinniatide.VMID        `cbor:"1,keyasint"`
	Processes []zinniatide.ProcessID `cbor:"2,keyasint"`
}

// entityNumber is the highest ticket number accepted for an entity.
type entityNumber struct {
	Entity checker.Entity          `cbor:"1,keyasint"`
	Number zinniatide.TicketNumber `cbor:"2,keyasint"`
}

// pendingMove is a pending bucket move and the epoch at which it began.
type pendingMove struct {
	Bucket bucketKey        `cbor:"1,keyasint"`
	Since  zinniatide.Epoch `cbor:"2,keyasint"`
}

// Snapshot implements zinniatide.StateMachine.
func (r *Registrar) Snapshot() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, LogClock: r.logClock, Configuration: r.configuration, HighestDropped: r.tickets.highestDropped, RoutingDocument: r.routingDocument,
		ZoneOrders: r.zoneOrders}
	s.Tickets = r.tickets.newest(len(r.tickets.records))
	slices.Reverse(s.Tickets)
	for entity, number := range r.tickets.highest {
		// highestDropped alone is enough to refuse numbers up to it.
		if number > r.tickets.highestDropped {
			s.Highest = append(s.Highest, entityNumber{Entity: entity, Number: number})
		}
	}
	slices.SortFunc(s.Highest, func(a, b entityNumber) int { return a.Entity.Compare(b.Entity) })
	for key, since := range r.pendingMoves {
		s.PendingMoves = append(s.PendingMoves, pendingMove{Bucket: key, Since: since})
	}
	slices.SortFunc(s.PendingMoves, func(a, b pendingMove) int {
		return cmp.Or(cmp.Compare(a.Bucket.Zone, b.Bucket.Zone), cmp.Compare(a.Bucket.Index, b.Bucket.Index))
	})
	for _, c := range r.claims.byID {
		s.Claims = append(s.Claims, c)
	}
	slices.SortFunc(s.Claims, func(a, b *claimRecord) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range slices.Sorted(maps.Keys(r.replaced)) {
		s.Replaced = append(s.Replaced, replacedProcesses{vm, r.replaced[vm]})
	}
	return encoder.Marshal(&s)
}

// Restore implements zinniatide.StateMachine. It leaves the state unchanged if
// data cannot be decoded.
func (r *Registrar) Restore(data []byte) error {
	var s snapshot
	if err := encoder.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot of control state: %w", err)
	}
	if s.Version != snapshotVersion || s.Configuration == nil {
		return fmt.Errorf("snapshot of control state has version %d, want %d", s.Version, snapshotVersion)
	}
	tickets, claims := newTicketTable(), newClaimTable()
	tickets.maxRecords, claims.maxClaims, claims.maxBytes = r.tickets.maxRecords, r.claims.maxClaims, r.claims.maxBytes
	for _, record := range s.Tickets {
		tickets.add(record, nil) // s.Highest below restores the highest numbers
	}
	tickets.highestDropped = s.HighestDropped
	for _, e := range s.Highest {
		tickets.highest[e.Entity] = e.Number
	}
	for _, c := range s.Claims {
		claims.insert(c)
	}
	r.configuration, r.logClock, r.tickets, r.claims = s.Configuration, s.LogClock, tickets, claims
	r.routingDocument, r.zoneOrders = s.RoutingDocument, s.ZoneOrders
	r.eligible = nil
	r.pendingMoves = map[bucketKey]zinniatide.Epoch{}
	for _, m := range s.PendingMoves {
		r.pendingMoves[m.Bucket] = m.Since
	}
	r.replaced = make(map[zinniatide.VMID][]zinniatide.ProcessID, len(s.Replaced))
	for _, p := range s.Replaced {
		r.replaced[p.VM] = p.Processes
	}
	for _, f := range r.observers {
		f(r.configuration, nil)
	}
	return nil
}

package registrar

import (
	"cmp"
	"fmt"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/encoder"
)

// snapshotVersion is raised with every incompatible change of the format.
const snapshotVersion = 1

// snapshot is the encoded form of the whole state. Tables are sorted, so equal
// states have equal bytes.
type snapshot struct {
	Version       int                       `cbor:"1,keyasint"`
	Clock         zinniatide.Millis         `cbor:"2,keyasint"`
	Configuration *zinniatide.Configuration `cbor:"3,keyasint"`
	Tickets       []ticketRecord            `cbor:"4,keyasint"` // oldest first
	Floor         zinniatide.TicketNumber   `cbor:"5,keyasint"`
	Highest       []entityNumber            `cbor:"6,keyasint"`
	Moves         []pendingMove             `cbor:"7,keyasint"`
	Claims        []*claimRecord            `cbor:"8,keyasint"`
	Document      []byte                    `cbor:"9,keyasint,omitempty"`
}

type entityNumber struct {
	Entity checker.Entity          `cbor:"1,keyasint"`
	Number zinniatide.TicketNumber `cbor:"2,keyasint"`
}

type pendingMove struct {
	Bucket bucketKey        `cbor:"1,keyasint"`
	Since  zinniatide.Epoch `cbor:"2,keyasint"`
}

// Snapshot implements zinniatide.StateMachine.
func (r *Registrar) Snapshot() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Clock: r.clock, Configuration: r.configuration, Floor: r.tickets.floor, Document: r.document}
	s.Tickets = r.tickets.newest(len(r.tickets.records))
	slices.Reverse(s.Tickets)
	for entity, number := range r.tickets.highest {
		// Numbers up to the floor are refused without this record.
		if number > r.tickets.floor {
			s.Highest = append(s.Highest, entityNumber{Entity: entity, Number: number})
		}
	}
	slices.SortFunc(s.Highest, func(a, b entityNumber) int { return a.Entity.Compare(b.Entity) })
	for key, since := range r.moves {
		s.Moves = append(s.Moves, pendingMove{Bucket: key, Since: since})
	}
	slices.SortFunc(s.Moves, func(a, b pendingMove) int {
		return cmp.Or(cmp.Compare(a.Bucket.Zone, b.Bucket.Zone), cmp.Compare(a.Bucket.Index, b.Bucket.Index))
	})
	for _, c := range r.claims.byID {
		s.Claims = append(s.Claims, c)
	}
	slices.SortFunc(s.Claims, func(a, b *claimRecord) int { return cmp.Compare(a.ID, b.ID) })
	return encoder.Marshal(&s)
}

// Restore implements zinniatide.StateMachine. The state is unchanged when data
// cannot be read.
func (r *Registrar) Restore(data []byte) error {
	var s snapshot
	if err := encoder.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot of control state: %w", err)
	}
	if s.Version != snapshotVersion || s.Configuration == nil {
		return fmt.Errorf("snapshot of control state has version %d, want %d", s.Version, snapshotVersion)
	}
	tickets, claims := newTicketTable(), newClaimTable()
	tickets.kept, claims.maxClaims, claims.maxBytes = r.tickets.kept, r.claims.maxClaims, r.claims.maxBytes
	for _, record := range s.Tickets {
		tickets.record(record, nil)
	}
	tickets.floor = s.Floor
	for _, e := range s.Highest {
		tickets.highest[e.Entity] = e.Number
	}
	for _, c := range s.Claims {
		claims.insert(c)
	}
	r.configuration, r.clock, r.tickets, r.claims = s.Configuration, s.Clock, tickets, claims
	r.document = s.Document
	r.serving = nil
	r.moves = map[bucketKey]zinniatide.Epoch{}
	for _, m := range s.Moves {
		r.moves[m.Bucket] = m.Since
	}
	for _, f := range r.observers {
		f(r.configuration, nil)
	}
	return nil
}

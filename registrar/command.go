package registrar

import (
	"fmt"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
)

// Command is one entry of the replicated log. Exactly one of its pointers is
// set.
type Command struct {
	// Now is the leader's wall clock in unix milliseconds when it proposed
	// the entry. It moves the log clock, which never goes back.
	Now       zinniatide.Millis           `cbor:"1,keyasint"`
	Ticket    *TicketEntry                `cbor:"2,keyasint,omitempty"`
	Join      *Join                       `cbor:"3,keyasint,omitempty"`
	Remove    *Removal                    `cbor:"4,keyasint,omitempty"`
	Release   *controlproto.BucketRelease `cbor:"5,keyasint,omitempty"`
	Claim     *zinniatide.Claim           `cbor:"6,keyasint,omitempty"`
	Result    *zinniatide.ClaimResult     `cbor:"7,keyasint,omitempty"`
	Bootstrap *Bootstrap                  `cbor:"8,keyasint,omitempty"`
	Zone      *ZoneOrder                  `cbor:"9,keyasint,omitempty"`
	Control   *ControlChange              `cbor:"10,keyasint,omitempty"`
	Relays    *RelayCounts                `cbor:"11,keyasint,omitempty"`
}

// TicketEntry is a ticket that has passed the checker. The digest is taken
// from the filed text, so it does not depend on the version of the program that
// applies the entry.
type TicketEntry struct {
	Ticket zinniatide.Ticket `cbor:"1,keyasint"`
	Digest checker.Digest    `cbor:"2,keyasint"`
	// Document is the operator's notation of the routing table, kept as it is.
	Document []byte `cbor:"3,keyasint,omitempty"`
}

// ZoneOrder takes a zone out or in without a ticket number.
type ZoneOrder struct {
	Zone  zinniatide.ZoneID       `cbor:"1,keyasint"`
	State zinniatide.ServingState `cbor:"2,keyasint"`
}

// RelayCounts sets the number of relay VMs that callers are sent to, by zone.
type RelayCounts struct {
	Zones map[zinniatide.ZoneID]int `cbor:"1,keyasint"`
}

// ControlChange replaces the set of control VMs. It takes effect only while
// the set is Before, so that two leaders cannot undo each other.
type ControlChange struct {
	Before []zinniatide.ControlVM `cbor:"1,keyasint"`
	After  []zinniatide.ControlVM `cbor:"2,keyasint"`
}

// Join adds or updates members. The leader puts the members that appear while
// an entry is under way into one, so that the return of a zone does not cost an
// epoch for each of its VMs.
type Join struct {
	Members []zinniatide.Member `cbor:"1,keyasint"`
}

// Removal removes members whose lease has expired or that have left.
type Removal struct {
	Sessions []Session `cbor:"1,keyasint"`
}

// Session identifies one process of a VM.
type Session struct {
	VM          zinniatide.VMID        `cbor:"1,keyasint"`
	Incarnation zinniatide.Incarnation `cbor:"2,keyasint"`
}

// Bootstrap sets the control VMs of a system that has none configured.
type Bootstrap struct {
	ControlVMs []zinniatide.ControlVM `cbor:"1,keyasint"`
}

// Encode returns the entry of c.
func (c *Command) Encode() ([]byte, error) { return encoder.Marshal(c) }

// DecodeCommand reads an entry. It fails unless exactly one command is set.
func DecodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if err := encoder.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	set := 0
	for _, present := range []bool{c.Ticket != nil, c.Join != nil, c.Remove != nil, c.Release != nil,
		c.Claim != nil, c.Result != nil, c.Bootstrap != nil, c.Zone != nil, c.Control != nil, c.Relays != nil} {
		if present {
			set++
		}
	}
	if set != 1 {
		return nil, fmt.Errorf("decode command: %d commands in one entry, want 1", set)
	}
	return c, nil
}

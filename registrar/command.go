package registrar

import (
	"fmt"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
)

// Command is one entry of the replicated log. Exactly one of its pointer fields
// is set.
type Command struct {
	// Now is the leader's wall clock in unix milliseconds when it proposed the
	// entry. It advances the log clock, which never goes back.
	Now          zinniatide.Millis           `cbor:"1,keyasint"`
	Ticket       *TicketEntry                `cbor:"2,keyasint,omitempty"`
	Join         *Join                       `cbor:"3,keyasint,omitempty"`
	Remove       *Removal                    `cbor:"4,keyasint,omitempty"`
	Release      *controlproto.BucketRelease `cbor:"5,keyasint,omitempty"`
	Claim        *zinniatide.Claim           `cbor:"6,keyasint,omitempty"`
	Result       *zinniatide.ClaimResult     `cbor:"7,keyasint,omitempty"`
	Bootstrap    *Bootstrap                  `cbor:"8,keyasint,omitempty"`
	ZoneState    *ZoneStateChange            `cbor:"9,keyasint,omitempty"`
	ControlVMs   *ControlVMsChange           `cbor:"10,keyasint,omitempty"`
	ActiveRelays *ActiveRelays               `cbor:"11,keyasint,omitempty"`
	Routing      *RoutingEntry               `cbor:"12,keyasint,omitempty"`
	RolloutStart *RolloutStart               `cbor:"13,keyasint,omitempty"`
	RolloutStep  *RolloutStep                `cbor:"14,keyasint,omitempty"`
}

// TicketEntry is a ticket that has been validated by the checker package. The
// digest is computed from the submitted JSON or document, not from the decoded
// Ticket, so it does not depend on the version of the program that applies the
// entry.
type TicketEntry struct {
	Ticket zinniatide.Ticket `cbor:"1,keyasint"`
	Digest checker.Digest    `cbor:"2,keyasint"`
	// Document is the routing table as the operator wrote it, stored unchanged. Only
	// entries of earlier versions have one; later ones use RoutingEntry.
	Document []byte `cbor:"3,keyasint,omitempty"`
}

// ZoneStateChange sets the state of an availability zone without a ticket.
type ZoneStateChange struct {
	Zone  zinniatide.ZoneID       `cbor:"1,keyasint"`
	State zinniatide.ServingState `cbor:"2,keyasint"`
	// After is the number of zone state changes before this one. If it differs, the
	// change has no effect. It is nil in entries of earlier versions.
	After *uint64 `cbor:"3,keyasint,omitempty"`
}

// ActiveRelays sets the number of relay VMs per zone to which callers are sent.
type ActiveRelays struct {
	Zones map[zinniatide.ZoneID]int `cbor:"1,keyasint"`
}

// ControlVMsChange replaces the set of control VMs. It takes effect only if the
// current set equals Before, so that two leaders cannot overwrite each other's
// change.
type ControlVMsChange struct {
	Before []zinniatide.ControlVM `cbor:"1,keyasint"`
	After  []zinniatide.ControlVM `cbor:"2,keyasint"`
}

// Join adds or updates members. The leader batches the members that appear while
// another entry is pending, so that the return of a zone does not start a new
// epoch for each of its VMs.
type Join struct {
	Members []zinniatide.Member `cbor:"1,keyasint"`
}

// Removal removes members that have left or whose lease has expired.
type Removal struct {
	Sessions []Session `cbor:"1,keyasint"`
}

// Session identifies one process that ran on a VM.
type Session struct {
	VM      zinniatide.VMID      `cbor:"1,keyasint"`
	Process zinniatide.ProcessID `cbor:"2,keyasint"`
}

// Bootstrap sets the initial control VMs of a system without any.
type Bootstrap struct {
	ControlVMs []zinniatide.ControlVM `cbor:"1,keyasint"`
}

// Encode encodes c as a log entry.
func (c *Command) Encode() ([]byte, error) { return encoder.Marshal(c) }

// DecodeCommand decodes a log entry. It fails unless exactly one pointer field
// is set.
func DecodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if err := encoder.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	set := 0
	for _, present := range []bool{c.Ticket != nil, c.Join != nil, c.Remove != nil, c.Release != nil,
		c.Claim != nil, c.Result != nil, c.Bootstrap != nil, c.ZoneState != nil, c.ControlVMs != nil, c.ActiveRelays != nil, c.Routing != nil,
		c.RolloutStart != nil, c.RolloutStep != nil} {
		if present {
			set++
		}
	}
	if set != 1 {
		return nil, fmt.Errorf("decode command: %d commands in one entry, want 1", set)
	}
	return c, nil
}

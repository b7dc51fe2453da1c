// Package controlproto defines the CBOR messages between the VMs of the system
// and the control VMs. Replies carry their refusals as values, so that a
// refusal keeps its code on the way.
package controlproto

import (
	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
)

// Leadership opens every reply of a control VM.
type Leadership struct {
	// Leading is true when the answering VM leads with a quorum. A reply with
	// Leading false holds nothing but Leader.
	Leading bool `cbor:"1,keyasint"`
	// Leader is the leader known to the answering VM, or empty.
	Leader zinniatide.VMID `cbor:"2,keyasint"`
	// LeaderAddress is the peer address of Leader, or empty when unknown.
	LeaderAddress string `cbor:"9,keyasint,omitempty"`
}

// Heartbeat is sent every zinniatide.HeartbeatInterval.
type Heartbeat struct {
	Member zinniatide.Member `cbor:"1,keyasint"`
	// Epoch is the newest epoch installed by the sender, 0 for none.
	Epoch zinniatide.Epoch `cbor:"2,keyasint"`
	// Sequence counts the heartbeats of the sending process.
	Sequence uint64 `cbor:"3,keyasint"`
	// Answered is the highest Sequence that a leader has answered. It shows
	// the leader that its replies arrive.
	Answered uint64 `cbor:"4,keyasint"`
	// Gone is set by a VM that has given up its lease and is about to exit.
	Gone bool `cbor:"5,keyasint,omitempty"`
	// Control is set by a VM with the role control.
	Control bool `cbor:"6,keyasint,omitempty"`
	// Load is the requests a second that a relay VM sends to backend servers, as
	// a share of what it should have.
	Load float64 `cbor:"7,keyasint,omitempty"`
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Leadership
	// Granted is true when the lease is extended. It then counts from the
	// time at which the heartbeat was sent.
	Granted bool `cbor:"3,keyasint"`
	// Epoch is the leader's epoch. The lease holds only once it is installed.
	Epoch zinniatide.Epoch `cbor:"4,keyasint"`
	// Push brings the sender up to Epoch when an earlier push may be lost.
	Push *ConfigurationPush `cbor:"5,keyasint,omitempty"`
}

// ConfigurationPush carries consecutive configuration deltas, or a whole
// configuration when the receiver is too far behind.
type ConfigurationPush struct {
	// Deltas are encoded registrar.Delta values with consecutive epochs.
	Deltas []cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	// Full is an encoded zinniatide.Configuration.
	Full cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// PushReply tells which epoch is installed after a ConfigurationPush.
type PushReply struct {
	Epoch       zinniatide.Epoch       `cbor:"1,keyasint"`
	Incarnation zinniatide.Incarnation `cbor:"2,keyasint"`
}

// BucketID names one bucket.
type BucketID struct {
	Zone  zinniatide.ZoneID `cbor:"1,keyasint"`
	Index int               `cbor:"2,keyasint"`
}

// BucketRelease tells that the owner has drained buckets that have a next
// owner.
type BucketRelease struct {
	VM          zinniatide.VMID        `cbor:"1,keyasint"`
	Incarnation zinniatide.Incarnation `cbor:"2,keyasint"`
	// Epoch is an epoch at which the sender saw the moves of all Buckets. It
	// tells a late release from the release of a later move.
	Epoch   zinniatide.Epoch `cbor:"3,keyasint"`
	Buckets []BucketID       `cbor:"4,keyasint"`
}

// ReleaseReply answers a BucketRelease. The sender repeats the release until
// its configuration shows the new owner.
type ReleaseReply struct {
	Leadership
}

// Refusal carries a zinniatide.Refusal.
type Refusal struct {
	Code    zinniatide.Code    `cbor:"1,keyasint"`
	Outcome zinniatide.Outcome `cbor:"2,keyasint"`
	Message string             `cbor:"3,keyasint"`
}

// Err returns the refusal as an error, or nil.
func (r *Refusal) Err() error {
	if r == nil {
		return nil
	}
	return &zinniatide.Refusal{Code: r.Code, Outcome: r.Outcome, Message: r.Message}
}

// FromError converts err to a Refusal, or returns nil when err is nil.
func FromError(err error) *Refusal {
	if err == nil {
		return nil
	}
	refusal := AsRefusal(err)
	return &Refusal{Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message}
}

// ClaimReply answers a zinniatide.Claim.
type ClaimReply struct {
	Leadership
	// Refusal is set when the claim was not decided. With OutcomeUnknown the
	// claim may have been granted; it is repeated with the same token.
	Refusal *Refusal              `cbor:"3,keyasint,omitempty"`
	Reply   zinniatide.ClaimReply `cbor:"4,keyasint"`
}

// ClaimResultReply answers a zinniatide.ClaimResult.
type ClaimResultReply struct {
	Leadership
	// Refusal is set when the result is not recorded yet.
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// ForwardOperation names an operation of zinniatide.Operator.
type ForwardOperation uint8

// Operations that a control VM forwards to the leader.
const (
	ForwardFileTicket ForwardOperation = iota + 1
	ForwardTicketStatus
	ForwardState
	ForwardHistory
	ForwardFileRouting
	ForwardRoutingDocument
	ForwardSetZone
)

// Forward carries an operator's request to the leader.
type Forward struct {
	Operation ForwardOperation        `cbor:"1,keyasint"`
	Ticket    []byte                  `cbor:"2,keyasint,omitempty"`
	DryRun    bool                    `cbor:"3,keyasint,omitempty"`
	Number    zinniatide.TicketNumber `cbor:"4,keyasint,omitempty"`
	Limit     int                     `cbor:"5,keyasint,omitempty"`
	Routing   *zinniatide.Routing     `cbor:"6,keyasint,omitempty"`
	Document  []byte                  `cbor:"7,keyasint,omitempty"`
	Zone      zinniatide.ZoneID       `cbor:"8,keyasint,omitempty"`
	State     zinniatide.ServingState `cbor:"9,keyasint,omitempty"`
}

// ForwardReply answers a Forward. Result is the encoded result of the
// operation when Refusal is nil.
type ForwardReply struct {
	Leadership
	Refusal *Refusal        `cbor:"3,keyasint,omitempty"`
	Result  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Package controlproto defines the CBOR messages between VMs and control VMs.
// Replies carry refusals as values, so that a refusal keeps its code and outcome
// over the wire.
package controlproto

import (
	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
)

// LeaderStatus is embedded in every reply of a control VM.
type LeaderStatus struct {
	// Leading is true if the reply is authoritative: the replying VM leads with a
	// quorum, or has committed the claim or result, or has executed the Forward. It
	// is false also if the proposal of a release or deregistration failed. If it is
	// false, only Leader, LeaderAddress and the Refusal of the reply are valid.
	Leading bool `cbor:"1,keyasint"`
	// Leader is the leader known to the replying VM, or empty.
	Leader zinniatide.VMID `cbor:"2,keyasint"`
	// LeaderAddress is the peer address of Leader, or empty if unknown.
	LeaderAddress string `cbor:"9,keyasint,omitempty"`
}

// Heartbeat is sent by every VM to the control leader, by default every
// zinniatide.HeartbeatInterval. It requests an extension of the lease and reports
// the state of the VM.
type Heartbeat struct {
	Member zinniatide.Member `cbor:"1,keyasint"`
	// Epoch is the newest epoch installed by the sender, 0 for none.
	Epoch zinniatide.Epoch `cbor:"2,keyasint"`
	// Sequence counts the heartbeats of the sending process.
	Sequence uint64 `cbor:"3,keyasint"`
	// LastAnswered is the highest Sequence answered by a leader. It confirms to the
	// leader that the VM receives its replies.
	LastAnswered uint64 `cbor:"4,keyasint"`
	// Deregister is set by a VM that has given up its lease and is about to exit.
	Deregister bool `cbor:"5,keyasint,omitempty"`
	// Control is set by a VM with the control role. It is only logged;
	// Member.Control decides who may join the set of control VMs.
	Control bool `cbor:"6,keyasint,omitempty"`
	// Load is the rate of requests that a relay VM sends to backend servers,
	// divided by its target rate.
	Load float64 `cbor:"7,keyasint,omitempty"`
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	LeaderStatus
	// LeaseExtended is true if the lease is extended. The extension starts at the
	// time at which the heartbeat was sent.
	LeaseExtended bool `cbor:"3,keyasint"`
	// Epoch is the leader's epoch. The lease is valid only once the VM has
	// installed it.
	Epoch zinniatide.Epoch `cbor:"4,keyasint"`
	// Push updates the VM to Epoch. It is set if an earlier push may be lost.
	Push *ConfigurationPush `cbor:"5,keyasint,omitempty"`
}

// ConfigurationPush carries consecutive configuration deltas, or a full
// configuration if the receiver is too far behind.
type ConfigurationPush struct {
	// Deltas are encoded registrar.Delta values with consecutive epochs.
	Deltas []cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	// Full is an encoded zinniatide.Configuration.
	Full cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// PushReply acknowledges a ConfigurationPush with the epoch that is installed
// after it.
type PushReply struct {
	Epoch   zinniatide.Epoch     `cbor:"1,keyasint"`
	Process zinniatide.ProcessID `cbor:"2,keyasint"`
}

// BucketID identifies a bucket.
type BucketID struct {
	Zone  zinniatide.ZoneID `cbor:"1,keyasint"`
	Index int               `cbor:"2,keyasint"`
}

// BucketRelease reports that the owner has drained buckets that are moving to
// another owner.
type BucketRelease struct {
	VM      zinniatide.VMID      `cbor:"1,keyasint"`
	Process zinniatide.ProcessID `cbor:"2,keyasint"`
	// Epoch is an epoch whose configuration contains the moves of all Buckets.
	// It distinguishes a delayed release from the release for a later move.
	Epoch   zinniatide.Epoch `cbor:"3,keyasint"`
	Buckets []BucketID       `cbor:"4,keyasint"`
}

// ReleaseReply answers a BucketRelease. The sender resends the release until its
// configuration contains the new owner.
type ReleaseReply struct {
	LeaderStatus
}

// Refusal is the encoding of a zinniatide.Refusal.
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
	LeaderStatus
	// Refusal is set if the claim was not decided. With OutcomeUnknown the claim
	// may have been granted, and is retried with the same token.
	Refusal *Refusal              `cbor:"3,keyasint,omitempty"`
	Reply   zinniatide.ClaimReply `cbor:"4,keyasint"`
}

// ClaimResultReply answers a zinniatide.ClaimResult.
type ClaimResultReply struct {
	LeaderStatus
	// Refusal is set if the result has not been recorded.
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// ForwardOperation is an operation of zinniatide.Operator, zinniatide.RoutingOperator or
// zinniatide.RolloutOperator.
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
	ForwardZoneOrders
	ForwardStartRollout
	ForwardRollout
)

// Forward carries an operator request to the leader. FileTicket uses Ticket and
// DryRun; TicketStatus Number; History Limit; FileRouting Routing; RoutingDocument
// Number; SetZone Zone, State and After; StartRollout Service, Version and Ramp; Rollout
// Service. The other operations use none.
type Forward struct {
	Operation ForwardOperation        `cbor:"1,keyasint"`
	Ticket    []byte                  `cbor:"2,keyasint,omitempty"`
	DryRun    bool                    `cbor:"3,keyasint,omitempty"`
	Number    zinniatide.TicketNumber `cbor:"4,keyasint,omitempty"`
	Limit     int                     `cbor:"5,keyasint,omitempty"`
	// Routing is an encoded registrar.RoutingEntry.
	Routing cbor.RawMessage         `cbor:"11,keyasint,omitempty"`
	Zone    zinniatide.ZoneID       `cbor:"8,keyasint,omitempty"`
	State   zinniatide.ServingState `cbor:"9,keyasint,omitempty"`
	// After is the result of ZoneOrders that SetZone must still find.
	After   *uint64                  `cbor:"10,keyasint,omitempty"`
	Service zinniatide.ServiceID     `cbor:"12,keyasint,omitempty"`
	Version zinniatide.ServerVersion `cbor:"13,keyasint,omitempty"`
	Ramp    zinniatide.Millis        `cbor:"14,keyasint,omitempty"`
}

// RoutingDocument is the result of ForwardRoutingDocument. Document is empty if the
// asking VM already has the table of the ticket number in Forward.
type RoutingDocument struct {
	Number   zinniatide.TicketNumber `cbor:"1,keyasint"`
	Document []byte                  `cbor:"2,keyasint,omitempty"`
}

// ForwardReply answers a Forward. If Refusal is nil, Result is the encoded result
// of the operation.
type ForwardReply struct {
	LeaderStatus
	Refusal *Refusal        `cbor:"3,keyasint,omitempty"`
	Result  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

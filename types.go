// Package zinniatide defines the identifiers, messages, errors and interfaces
// that all packages of the query tier share. The subpackages implement them.
package zinniatide

import "time"

// Identifiers. All are opaque, compared byte for byte, and at most
// MaxIDLength bytes long.
type (
	// VMID identifies a VM. It is set in the settings of the VM.
	VMID string
	// ZoneID identifies an availability zone.
	ZoneID string
	// ServiceID identifies a searchable service.
	ServiceID string
	// BackendServerID identifies a backend server. It stays the same across restarts.
	BackendServerID string
	// WorkspaceID identifies a workspace of the callers.
	WorkspaceID string
	// ClassID identifies a request class, such as "interactive".
	ClassID string
	// RequestID is chosen by the caller. See ParseRequestExpiry for the form
	// that non-idempotent requests require.
	RequestID string
	// DiskID identifies a data folder. A replaced folder has a new DiskID.
	DiskID string
)

// Counters and positions.
type (
	// ProcessID identifies one start of a process among all starts of its VM. It is
	// drawn at random, so that it depends on no clock and no file, and has no order.
	ProcessID uint64
	// Incarnation distinguishes the starts of a backend server. It increases with each
	// start.
	Incarnation uint64
	// Epoch counts the configuration changes accepted so far.
	Epoch uint64
	// IndexVersion is the number of an index version of a service. A newer version
	// has a larger number.
	IndexVersion uint64
	// TicketNumber is chosen by the operator who submits the ticket.
	TicketNumber uint64
	// Fingerprint is an xxhash of parts of a request: service and body in
	// quarantine checks, also workspace and key in Claim.Digest.
	Fingerprint uint64
)

// MaxIDLength is the longest identifier accepted, in bytes.
const MaxIDLength = 128

// UnansweredAttempt is an attempt of a caller that lost servers while they ran it
// and that no server answered.
type UnansweredAttempt struct {
	ID string // chosen by the caller
	// Age is the time since the attempt arrived, SinceLoss the time since its first
	// server was lost.
	Age, SinceLoss Millis
}

// Millis is a point in time or a duration in milliseconds. Points in time are
// relative to the arbitrary start of a monotonic clock unless stated otherwise.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// KeySpace is the number of keys, from 0 to KeySpace-1, that are divided among the
// shards of an index version.
const KeySpace = 1 << 16

// KeyRange is the half-open range [First, End) of the key space. End is exclusive
// on the wire too, although its key is "last".
type KeyRange struct {
	First uint32 `json:"first"`
	End   uint32 `json:"last"`
}

// Outcome tells whether a request ran.
type Outcome string

const (
	// OutcomeDone means that the request ran and its answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no backend server has started the request for this
	// attempt, and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

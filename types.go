// Package zinniatide defines the identifiers, messages, errors and interfaces
// shared by every package of the query tier. Implementations live in the
// packages below it.
package zinniatide

import "time"

// Identifiers. All are opaque, compared byte for byte, and at most
// MaxIDLength bytes long.
type (
	// VMID names one VM of the system. It is fixed by the VM's settings.
	VMID string
	// ZoneID names an availability zone.
	ZoneID string
	// ServiceID names a searchable service.
	ServiceID string
	// BackendServerID names a backend server. It survives restarts.
	BackendServerID string
	// WorkspaceID names a workspace of the callers.
	WorkspaceID string
	// ClassID names a request class, such as "interactive".
	ClassID string
	// RequestID is chosen by the caller. See ParseRequestExpiry for the form
	// that non-idempotent requests require.
	RequestID string
	// DiskID identifies one data folder. A replaced folder has a new DiskID.
	DiskID string
)

// Counters and positions.
type (
	// Incarnation grows with every start of a process.
	Incarnation uint64
	// Epoch counts the configuration changes accepted so far.
	Epoch uint64
	// IndexVersion numbers an index version of a service. Newer is larger.
	IndexVersion uint64
	// TicketNumber is chosen by the operator who files a ticket.
	TicketNumber uint64
	// ShardIndex is the position of a shard in the shard list of its version.
	ShardIndex uint32
	// Fingerprint is the xxhash of a request's service and body.
	Fingerprint uint64
	// QueryID identifies a running query within the process that coordinates it.
	QueryID uint64
)

// MaxIDLength is the longest identifier accepted, in bytes.
const MaxIDLength = 128

// Millis is a point in time or a duration in milliseconds. Points in time are
// measured from an arbitrary start of a monotonic clock unless stated
// otherwise.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// KeySpace is the number of keys that the shards of a version divide up.
const KeySpace = 1 << 16

// KeyRange is the half-open range [First, Last) of the key space.
type KeyRange struct {
	First uint32 `json:"first"`
	End   uint32 `json:"last"`
}

// Outcome says whether a request ran.
type Outcome string

const (
	// OutcomeDone means that the request ran and its answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no backend server has started or will start
	// the request on behalf of this attempt.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

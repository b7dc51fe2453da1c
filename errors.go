package zinniatide

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Code is a stable error code of the HTTP interfaces.
type Code string

// Codes of refusals and failures. docs/errors.md explains each of them.
const (
	CodeBadRequest         Code = "bad-request"
	CodeTooLarge           Code = "too-large"
	CodeUnknownService     Code = "unknown-service"
	CodeUnknownWorkspace   Code = "unknown-tenant"
	CodeUnknownClass       Code = "unknown-class"
	CodeDeadlinePassed     Code = "deadline-passed"
	CodeOverloaded         Code = "overloaded"
	CodeNotServing         Code = "not-serving"        // VM has no lease, or is leaving
	CodeNoVersion          Code = "no-version"         // no allowed version has a serving replica
	CodeNoServer           Code = "no-server"          // nobody serves the shard
	CodeNotOwner           Code = "not-owner"          // the VM does not own the backend server
	CodeServerGone         Code = "server-gone"        // the backend server was lost
	CodeWrongVersion       Code = "wrong-version"      // the server no longer serves the version
	CodeBadAnswer          Code = "bad-answer"         // an answer failed its checks
	CodeShed               Code = "shed"               // the backend server shed the request
	CodeCancelled          Code = "cancelled"          //
	CodeQuarantined        Code = "quarantined"        // the request crashed backend servers
	CodeRequestIDExpired   Code = "request-id-expired" //
	CodeRequestIDReused    Code = "request-id-reused"  // same id, other content
	CodeInProgress         Code = "in-progress"        // the request id is being run
	CodeNoQuorum           Code = "no-quorum"          // control state cannot be changed now
	CodeSuperseded         Code = "superseded"         // a higher ticket number was accepted
	CodeTicketConflict     Code = "ticket-conflict"    // same number, other content
	CodePeerLost           Code = "peer-lost"          //
	CodeMethodNotSupported Code = "method-not-supported"
	CodeNotFound           Code = "not-found"
	CodeInternal           Code = "internal"
)

// Refusal is an error with a stable code and a statement whether the request ran.
type Refusal struct {
	Code    Code
	Outcome Outcome
	Message string
}

func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Refuse returns a Refusal whose request did not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// StepError carries the step and the peer at which an error arose.
type StepError struct {
	Step string
	Peer string
	Err  error
}

func (e *StepError) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *StepError) Unwrap() error { return e.Err }

// WrapStep adds a step and a peer to err and records the stack position. It
// returns nil when err is nil.
func WrapStep(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&StepError{Step: step, Peer: peer, Err: err})
}

// Errors of links between VMs.
var (
	// ErrNotSent means that no byte of the message left this process.
	ErrNotSent = errors.New("message not sent")
	// ErrLinkLost means that the peer may or may not have received the message.
	ErrLinkLost = errors.New("link lost")
	// ErrTimeout means that the peer gave no answer in time.
	ErrTimeout = errors.New("no answer in time")
)

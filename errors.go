package zinniatide

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Code is a stable error code of the HTTP interfaces.
type Code string

// Codes of refused and failed requests. docs/errors.md describes each of them.
const (
	CodeBadRequest         Code = "bad-request"
	CodeTooLarge           Code = "too-large"
	CodeUnknownService     Code = "unknown-service"
	CodeUnknownWorkspace   Code = "unknown-tenant"
	CodeUnknownClass       Code = "unknown-class"
	CodeDeadlinePassed     Code = "deadline-passed"
	CodeOverloaded         Code = "overloaded"
	CodeNotServing         Code = "not-serving"   // the VM has no lease or is leaving
	CodeNoVersion          Code = "no-version"    // no allowed version has a serving replica
	CodeNoServer           Code = "no-server"     // no backend server serves the shard
	CodeNotOwner           Code = "not-owner"     // the VM does not own the backend server
	CodeServerGone         Code = "server-gone"   // the backend server is unreachable or was lost
	CodeWrongVersion       Code = "wrong-version" // the server no longer serves the version
	CodeBadAnswer          Code = "bad-answer"    // an answer failed validation
	CodeShed               Code = "shed"          // the backend server rejected the request under load
	CodeCancelled          Code = "cancelled"
	CodeQuarantined        Code = "quarantined" // the request crashed backend servers
	CodeRequestIDExpired   Code = "request-id-expired"
	CodeRequestIDReused    Code = "request-id-reused" // same id, different content
	CodeInProgress         Code = "in-progress"       // a request with this id is running
	CodeNoQuorum           Code = "no-quorum"         // no leader with a quorum of control VMs
	CodeSuperseded         Code = "superseded"        // a higher ticket number was accepted
	CodeTicketConflict     Code = "ticket-conflict"   // same number, different content
	CodePeerLost           Code = "peer-lost"         // the link to the owner VM is down or was lost
	CodeMethodNotSupported Code = "method-not-supported"
	CodeNotFound           Code = "not-found"
	CodeInternal           Code = "internal"
)

// Refusal is an error with a stable code and an outcome that tells whether the
// request ran.
type Refusal struct {
	Code    Code
	Outcome Outcome
	Message string
}

func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Refuse returns a Refusal with OutcomeNotRun.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// StepError adds the failed step and the peer to an error.
type StepError struct {
	Step string
	Peer string
	Err  error
}

func (e *StepError) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *StepError) Unwrap() error { return e.Err }

// WrapStep wraps err in a StepError and records the stack trace. It returns nil
// if err is nil.
func WrapStep(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&StepError{Step: step, Peer: peer, Err: err})
}

// Errors of links between VMs.
var (
	// ErrNotSent means that no part of the message was sent.
	ErrNotSent = errors.New("message not sent")
	// ErrLinkLost means that the peer may or may not have received the message.
	ErrLinkLost = errors.New("link lost")
	// ErrTimeout means that the peer did not reply within the timeout.
	ErrTimeout = errors.New("no answer in time")
)

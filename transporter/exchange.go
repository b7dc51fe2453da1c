package transporter

import (
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// Result tells how an exchange ended.
type Result uint8

// Results.
const (
	// Answered means that a complete answer arrived, with any status.
	Answered Result = iota
	// NotRun means that the server reported that it did not run the request.
	NotRun
	// NotSent means that no byte of the request was written.
	NotSent
	// ConnectionLost means that the connection failed after a byte of the request
	// may have been written and before a complete answer arrived. The request may
	// have run.
	ConnectionLost
	// InvalidAnswer means that the answer violated HTTP or was too large, or that it
	// carried another request id, or none although it must. The request may have
	// run.
	InvalidAnswer
	// WrongServer means that another process answered at the address. It did not
	// run the request.
	WrongServer
	// DeadlineExceeded means that the deadline passed before an answer arrived. The
	// request may have run.
	DeadlineExceeded
)

var resultNames = [...]string{"answered", "not-run", "not-sent", "lost", "garbled", "other-server", "expired"}

func (r Result) String() string { return resultNames[r] }

// Values of Answer.InvalidReason, besides those of answerreader.Reason.
const (
	reasonOtherRequest = "other-request"
	reasonStamp        = "stamp"
)

// MayHaveRun reports whether a request with this result may have run.
func (r Result) MayHaveRun() bool {
	return r == Answered || r == ConnectionLost || r == InvalidAnswer || r == DeadlineExceeded
}

// Answer is the result of an exchange and, if the server answered, its answer.
// Header and Body are valid only during Done.
type Answer struct {
	Result Result
	// InvalidReason is why an answer is an InvalidAnswer, as one of a few words.
	InvalidReason string
	Status        int
	Header        *fasthttp.ResponseHeader
	Body          []byte
	// Stamp is empty if the answer has none.
	Stamp string
	// QueueLength is the queue length that the server reported, or -1 if it
	// reported none.
	QueueLength int
	// WorkTime is how long work takes at the server now (100: as usual), or 0 if it
	// reported no such figure. InvalidLoad is set if a figure of its load was ignored.
	WorkTime    float64
	InvalidLoad bool
	// Fresh is set if the exchange was the first one on its connection.
	Fresh bool
	// Leaving is set if the process says that it is about to end.
	Leaving bool
	// Pause is how long the process, which turned the request away, wants no more of
	// them, or 0.
	Pause zinniatide.Millis
	// Dropped is set if the server closed or reset the connection before its answer
	// was complete, as a server does that crashes.
	Dropped bool
}

// Exchange is one request to one process of a backend server.
type Exchange struct {
	// Head contains the request line and the headers that do not depend on the
	// server, with a line ending after each of them. Body is the request body.
	// Neither may change while the exchange is in progress.
	Head []byte
	Body []byte
	// RequestID is the id that the answer must repeat.
	RequestID string
	// IsHEAD is set for HEAD requests, whose answers have no body.
	IsHEAD bool
	// Deadline is the time at which the server should stop working on the request.
	Deadline zinniatide.Millis
	// NonIdempotent is set for requests that cannot be retried. They only reuse
	// connections that were active a short while ago, because the server may be
	// closing an idle one.
	NonIdempotent bool
	// Done is called once, with the Transporter's lock held, possibly before Send
	// returns. It is not called after Cancel.
	Done func(Answer)

	pool *Pool
	conn *conn
	sent bool // a byte of the request may have been written
	// withdrawn is set if the exchange must not be sent any more.
	withdrawn bool
	finished  bool
}

// Cancel aborts the exchange and closes its connection, which tells the server
// to stop. The caller holds the lock.
func (x *Exchange) Cancel() {
	if x.finished {
		return
	}
	x.finished = true
	if x.conn != nil {
		x.conn.close()
		return
	}
	if x.pool != nil {
		x.pool.removeWaiting(x)
	}
}

// Withdraw keeps the exchange from being sent. If it still waits for a connection, it
// ends with NotSent once there is one or none can be set up. Otherwise it goes on. The
// caller holds the lock.
func (x *Exchange) Withdraw() { x.withdrawn = true }

// MarkSent records that a byte of the request may have been written. It is
// called by the connection that sends the exchange.
func (x *Exchange) MarkSent() { x.sent = true }

// Finish ends the exchange and calls Done. Later calls do nothing. It is called
// by the connection that sends the exchange, with the lock held.
func (x *Exchange) Finish(a Answer) {
	if x.finished {
		return
	}
	x.finished = true
	if x.Done != nil {
		x.Done(a)
	}
}

// CancelIfUnsent cancels the exchange if no byte of the request has been
// written, and reports whether it did. The caller holds the lock.
func (x *Exchange) CancelIfUnsent() bool {
	if x.finished || x.sent {
		return false
	}
	x.Cancel()
	return true
}

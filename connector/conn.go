package connector

import (
	"errors"
	"io"
	"net"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/answerreader"
	"zinniatide.example/zinniatide/common/trywriter"
)

// readBufferSize also limits the size of a response header, in bytes.
const readBufferSize = 8 << 10

var (
	// errNoContentLength rejects responses without a Content-Length, because their
	// end can't be determined reliably.
	errNoContentLength = errors.New("response has no Content-Length")
	errUnexpected      = errors.New("bytes without a request in progress")
)

// conn is one connection. Its fields are guarded by the pool's lock, except for
// reader and codec.response, which belong to readLoop. The readLoop goroutine reads
// for the lifetime of the connection, so that a close by the server is detected
// immediately, even while the connection is idle.
type conn struct {
	pool    *Pool
	netConn net.Conn
	reader  *answerreader.Reader
	codec   *codec

	writer *trywriter.Writer

	// current is the exchange in progress, or nil if the connection is idle.
	current *Exchange
	// bytesWritten is the number of bytes of current that have been written.
	bytesWritten int
	// writingRest is set while writeRest is running.
	writingRest bool
	closed      bool
	// closeCode is the error code of an exchange that is interrupted because this
	// side closed the connection. It is empty if the connection broke.
	closeCode zinniatide.Code
	// invalidReason is why the last response is invalid, or empty.
	invalidReason string
	openedAt      zinniatide.Millis
	// lastResponseAt is when the last response arrived.
	lastResponseAt zinniatide.Millis
}

func newConn(p *Pool, nc net.Conn) *conn {
	reader := answerreader.New(nc, readBufferSize, p.options.AnswerBudget, singleHeaders...)
	return &conn{pool: p, netConn: nc, reader: reader, codec: newCodec(p.options.Address), writer: trywriter.New(nc)}
}

// startExchange writes x without blocking, and leaves what the socket does not
// accept to writeRest. It returns false if the write failed before any byte was
// written; the caller must then close the connection. The pool's lock must be held.
func (c *conn) startExchange(x *Exchange, now zinniatide.Millis) bool {
	c.current, c.bytesWritten = x, 0
	x.startedAt = now
	out := c.codec.encode(x, now)
	n, err := c.writer.TryWrite(out)
	c.bytesWritten = n
	switch {
	case err != nil && n == 0:
		c.current = nil
		return false
	case err != nil:
		c.closeLocked("")
	case n < len(out):
		c.writingRest = true
		c.pool.goroutines.Add(1)
		go c.writeRest(out[n:])
	}
	return true
}

// writeRest writes the rest of a large request. If the connection is lost in the
// meantime, writeRest ends the exchange, because it is not known before the write
// returns whether any byte was written.
func (c *conn) writeRest(rest []byte) {
	defer c.pool.goroutines.Done()
	n, err := c.netConn.Write(rest)
	p := c.pool
	p.mu.Lock()
	c.writingRest = false
	c.bytesWritten += n
	if err != nil {
		c.closeLocked("")
	}
	x, a := c.takeInterrupted()
	p.mu.Unlock()
	notifyHandler(x, a)
}

// readLoop reads responses until the connection is closed. Bytes that arrive while
// no exchange is in progress belong to no request, so the connection is closed
// before they are read.
func (c *conn) readLoop() {
	defer c.pool.goroutines.Done()
	defer c.reader.Release()
	for {
		err := c.reader.Await()
		if err == nil {
			err = c.readResponse()
		}
		if err != nil {
			c.handleReadError(err)
			return
		}
		if !c.handleResponse() {
			return
		}
	}
}

func (c *conn) readResponse() error {
	if c.idle() {
		return errUnexpected
	}
	response := &c.codec.response
	response.ResetBody()
	if err := c.reader.ReadHeader(&response.Header); err != nil {
		return err
	}
	if response.Header.ContentLength() < 0 {
		return errNoContentLength
	}
	return c.reader.ReadBody(response)
}

// idle reports whether no exchange is in progress.
func (c *conn) idle() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.current == nil
}

// handleResponse ends the current exchange with the response just read. The
// connection is closed if checkResponse does not allow its reuse, if bytes follow
// the response, if the response arrived before the whole request was written, or if
// no exchange was in progress. handleResponse reports whether the connection is
// still open.
func (c *conn) handleResponse() bool {
	p := c.pool
	trailing := c.reader.Unread() > 0
	now := p.options.Clock.Now()
	p.mu.Lock()
	x := c.current
	c.lastResponseAt = now
	var a Answer
	reusable := false
	if x != nil {
		a, reusable = c.codec.checkResponse(x)
		c.codec.releaseLargeBuffers()
	}
	c.current, c.bytesWritten = nil, 0
	if x == nil || !reusable || trailing || c.writingRest || c.closed {
		c.closeLocked("")
	} else {
		p.idle = append(p.idle, c)
	}
	p.closeUnresponsive(c, now)
	closed := c.closed
	p.mu.Unlock()
	notifyHandler(x, a)
	return !closed
}

// handleReadError closes the connection after a failed read and ends its current
// exchange.
func (c *conn) handleReadError(err error) {
	p := c.pool
	p.mu.Lock()
	if c.closeCode == "" && !c.closed && !isConnectionError(err) {
		c.closeCode, c.invalidReason = zinniatide.CodeBadAnswer, answerreader.Reason(err)
		if errors.Is(err, errNoContentLength) {
			c.invalidReason = reasonNoLength
		}
	}
	c.closeLocked("")
	x, a := c.takeInterrupted()
	p.mu.Unlock()
	notifyHandler(x, a)
}

// isConnectionError reports whether err means that the connection broke, as
// opposed to a malformed response.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// takeInterrupted removes and returns the exchange that was in progress on a closed
// connection, with its result. It returns nil while writeRest is still running.
func (c *conn) takeInterrupted() (*Exchange, Answer) {
	x := c.current
	if x == nil || !c.closed || c.writingRest {
		return nil, Answer{}
	}
	c.current = nil
	switch {
	case c.bytesWritten == 0:
		return x, Answer{Outcome: zinniatide.OutcomeNotRun, Code: zinniatide.CodeServerGone}
	case c.closeCode != "":
		return x, Answer{Outcome: zinniatide.OutcomeUnknown, Code: c.closeCode, InvalidReason: c.invalidReason}
	default:
		return x, Answer{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeServerGone, Crashed: true}
	}
}

// closeLocked closes the socket and removes the connection from the pool. readLoop
// or writeRest then ends the current exchange. The pool's lock must be held.
func (c *conn) closeLocked(code zinniatide.Code) {
	if c.closed {
		return
	}
	c.closed = true
	if code != "" {
		c.closeCode = code
	}
	_ = c.netConn.Close()
	c.pool.removeConn(c)
}

// notifyHandler passes the result of x to its handler. x may be nil.
func notifyHandler(x *Exchange, a Answer) {
	if x != nil && x.Handler != nil {
		x.Handler.Finished(a)
	}
}

package transporter

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/answerreader"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/common/pauseparser"
	"zinniatide.example/zinniatide/common/trywriter"
)

// Buffer sizes of a connection in bytes. The read buffer size is also the maximum
// header size of an answer.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 1 << 10
	// maxKeptBody is the largest body whose memory an idle connection keeps.
	maxKeptBody = 64 << 10
)

// conn is a connection to a backend server. The Transporter's lock guards its
// fields except reader and answer. A goroutine reads from the connection for its
// whole lifetime, so that it is noticed immediately if the server closes it, even
// while it is idle.
type conn struct {
	pool        *Pool
	netConn     net.Conn
	reader      *answerreader.Reader
	writer      *trywriter.Writer
	answer      fasthttp.Response
	writeBuffer []byte

	exchange     *Exchange
	bytesWritten int
	// flushing is set while a goroutine writes the remainder of a request.
	flushing         bool
	closed           bool
	deadlinePassed   bool
	reused           bool // has completed an exchange
	lastUsed         zinniatide.Millis
	keepAliveTimeout zinniatide.Millis // idle time after which the server may close the connection, less a margin
	cancelTimer      func()
}

func newConn(p *Pool, nc net.Conn) *conn {
	reader := answerreader.New(nc, readBufferSize, p.transporter.answerBudget, p.transporter.deps.Names.single()...)
	return &conn{pool: p, netConn: nc, reader: reader, writer: trywriter.New(nc),
		writeBuffer: make([]byte, 0, writeBufferSize), keepAliveTimeout: defaultKeepAliveTimeout}
}

// send writes the request of x. If the write fails before any byte is written, it
// closes the connection and returns false. The caller holds the lock.
func (c *conn) send(x *Exchange, now zinniatide.Millis) bool {
	names := &c.pool.transporter.deps.Names
	out := append(c.writeBuffer[:0], x.Head...)
	out = headerline.Append(out, names.Deadline, strconv.FormatInt(int64(max(x.Deadline-now, 1)), 10))
	out = headerline.Append(out, names.ExpectServer, c.pool.server)
	out = append(out, "\r\n"...)
	out = append(out, x.Body...)
	c.writeBuffer = out
	c.exchange, c.bytesWritten = x, 0
	n, err := c.writer.TryWrite(out)
	c.bytesWritten = n
	if err != nil && n == 0 {
		c.exchange = nil
		c.close()
		return false
	}
	x.conn = c
	x.MarkSent()
	if err != nil {
		c.close()
		return true
	}
	if n < len(out) {
		c.flushing = true
		go c.flush(out[n:])
	}
	c.cancelTimer = c.pool.transporter.deps.Timer.After(x.Deadline+deadlineGrace-now, func() { c.expire(x) })
	return true
}

// expire closes the connection if x is still in progress on it.
func (c *conn) expire(x *Exchange) {
	lock := c.pool.transporter.deps.Lock
	lock.Lock()
	defer lock.Unlock()
	if c.exchange == x && !c.closed {
		c.deadlinePassed = true
		c.close()
	}
}

// flush writes the remainder of a large request.
func (c *conn) flush(rest []byte) {
	n, err := c.netConn.Write(rest)
	lock := c.pool.transporter.deps.Lock
	lock.Lock()
	defer lock.Unlock()
	c.flushing = false
	c.bytesWritten += n
	if err != nil {
		c.close()
	}
}

// readLoop reads answers until the connection is closed. Bytes that arrive while
// no exchange is in progress belong to no request, so the connection is closed
// before they are read.
func (c *conn) readLoop() {
	defer c.reader.Release()
	for {
		err := c.reader.Await()
		if err == nil {
			err = c.readAnswer()
		}
		lock := c.pool.transporter.deps.Lock
		lock.Lock()
		if err != nil {
			c.handleReadError(err)
			lock.Unlock()
			return
		}
		c.handleAnswer()
		closed := c.closed
		lock.Unlock()
		if closed {
			return
		}
	}
}

var errUnexpected = errors.New("bytes without a request in progress")

// readAnswer reads one answer.
func (c *conn) readAnswer() error {
	idle, headOnly := c.exchangeState()
	if idle {
		return errUnexpected
	}
	a := &c.answer
	a.ResetBody()
	if err := c.reader.ReadHeader(&a.Header); err != nil {
		return err
	}
	status := a.Header.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || headOnly {
		return nil
	}
	return c.reader.ReadBody(a)
}

// exchangeState reports whether no exchange is in progress, and whether the answer
// to the one in progress has no body.
func (c *conn) exchangeState() (idle, headOnly bool) {
	lock := c.pool.transporter.deps.Lock
	lock.Lock()
	defer lock.Unlock()
	return c.exchange == nil, c.exchange != nil && c.exchange.IsHEAD
}

// handleAnswer ends the current exchange with the answer just read, even if the
// connection was closed in the meantime. It closes the connection if there is data after
// the answer, if the request was not written completely, or if there is no exchange. The
// caller holds the lock.
func (c *conn) handleAnswer() {
	x := c.exchange
	if x == nil {
		c.close()
		return
	}
	c.stopTimer()
	a := c.checkAnswer(x)
	h := &c.answer.Header
	identity := h.ContentLength() == -2 // the body has no length and ends with the connection
	// A second copy of a refusal could not be distinguished from the answer to a new attempt
	// with the same request id.
	refused := x.NonIdempotent && !a.Result.MayHaveRun()
	reusable := !c.closed && a.Result != InvalidAnswer && !refused && !identity && !h.ConnectionClose() && !c.flushing && c.reader.Unread() == 0
	c.exchange, c.bytesWritten = nil, 0
	x.conn = nil
	c.reused = true
	c.updateKeepAliveTimeout(h)
	if a.Leaving || a.Pause > 0 {
		// The user recalls the exchanges that wait for a connection, before this one
		// is used for the next of them.
		x.Finish(a)
	}
	if !reusable {
		c.close()
	} else {
		c.pool.release(c)
	}
	x.Finish(a)
	if len(a.Body) > maxKeptBody {
		c.answer.ResetBody()
	}
}

// checkAnswer checks that the answer belongs to the request and determines the
// result.
func (c *conn) checkAnswer(x *Exchange) Answer {
	names := &c.pool.transporter.deps.Names
	h := &c.answer.Header
	a := Answer{Result: Answered, Status: h.StatusCode(), Header: h, Body: c.answer.Body(), QueueLength: -1, Fresh: !c.reused}
	// Only successful answers must carry the request id; an answer with status 300
	// or above may lack it, but must not carry another one.
	id := h.Peek(names.RequestID)
	if x.RequestID != "" && string(id) != x.RequestID && (len(id) > 0 || a.Status < 300) {
		a.Result, a.InvalidReason = InvalidAnswer, reasonOtherRequest
		return a
	}
	a.Stamp = string(h.Peek(names.Stamp))
	if !utf8.ValidString(a.Stamp) { // not a signature, and not decodable for other VMs
		a.Result, a.InvalidReason = InvalidAnswer, reasonStamp
		return a
	}
	if load := h.Peek(names.Load); len(load) > 0 {
		var valid bool
		a.QueueLength, a.WorkTime, valid = parseLoad(string(load))
		a.InvalidLoad = !valid
	}
	a.Leaving = names.Leaving != "" && string(h.Peek(names.Leaving)) == "1" && a.Status != fasthttp.StatusMisdirectedRequest
	if a.Status == fasthttp.StatusServiceUnavailable {
		a.Pause = pauseparser.Parse(string(h.Peek(fasthttp.HeaderRetryAfter)))
	}
	switch {
	case a.Status == fasthttp.StatusMisdirectedRequest:
		a.Result = WrongServer
	case names.NotRun != "" && len(h.Peek(names.NotRun)) > 0:
		a.Result = NotRun
	}
	return a
}

// updateKeepAliveTimeout sets the keep-alive timeout from the server's Keep-Alive
// header. It subtracts the margin, but at most half of the timeout, so that short
// timeouts stay usable.
func (c *conn) updateKeepAliveTimeout(h *fasthttp.ResponseHeader) {
	value := string(h.Peek("Keep-Alive"))
	if value == "" {
		return
	}
	for field := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(number); err == nil && s >= 0 {
			ms := zinniatide.Millis(s) * 1000
			c.keepAliveTimeout = max(ms-keepAliveMargin, ms/2)
		}
	}
}

func (c *conn) stopTimer() {
	if c.cancelTimer != nil {
		c.cancelTimer()
		c.cancelTimer = nil
	}
}

// handleReadError closes the connection and ends its current exchange after a
// failed read. The caller holds the lock.
func (c *conn) handleReadError(err error) {
	c.close()
	x := c.exchange
	if x == nil {
		return
	}
	c.exchange = nil
	x.conn = nil
	a := Answer{Result: ConnectionLost, QueueLength: -1, Fresh: !c.reused}
	switch reason := answerreader.Reason(err); {
	case c.bytesWritten == 0 && !c.flushing:
		a.Result = NotSent
	case c.deadlinePassed:
		a.Result = DeadlineExceeded
	case reason != "":
		a.Result, a.InvalidReason = InvalidAnswer, reason
	default:
		a.Dropped = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	}
	x.Finish(a)
}

// close closes the socket and removes the connection from the pool. The read
// loop then ends the current exchange. The caller holds the lock.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.stopTimer()
	_ = c.netConn.Close()
	c.pool.removeConn(c)
}

package transporter

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/common/trywriter"
)

// Sizes of a connection's buffers. The read buffer also bounds the header of an
// answer.
const (
	readBuffer  = 4 << 10
	writeBuffer = 1 << 10
)

// conn is one connection. Its fields but the reader and the answer are guarded
// by the Transporter's lock. One goroutine reads it for its whole life, so that
// a connection that the server closes is known at once, also while it is idle.
type conn struct {
	pool   *Pool
	net    net.Conn
	reader *bufio.Reader
	writer *trywriter.Writer
	answer fasthttp.Response
	out    []byte

	current *Exchange
	written int
	// flushing is set while a goroutine writes the rest of a request.
	flushing bool
	dead     bool
	expired  bool
	carried  bool // has carried a request
	used     zinniatide.Millis
	idleFor  zinniatide.Millis
	stopTime func()
}

func newConn(p *Pool, nc net.Conn) *conn {
	return &conn{pool: p, net: nc, reader: bufio.NewReaderSize(nc, readBuffer), writer: trywriter.New(nc),
		out: make([]byte, 0, writeBuffer), idleFor: defaultIdle}
}

// start writes x. It returns false when no byte of it was written; the
// connection is then closed. The lock is held.
func (c *conn) start(x *Exchange, now zinniatide.Millis) bool {
	names := &c.pool.t.d.Names
	out := append(c.out[:0], x.Head...)
	out = headerline.Append(out, names.Deadline, strconv.FormatInt(int64(max(x.Deadline-now, 1)), 10))
	out = headerline.Append(out, names.ExpectServer, c.pool.server)
	out = append(out, "\r\n"...)
	out = append(out, x.Body...)
	c.out = out
	c.current, c.written = x, 0
	n, err := c.writer.TryWrite(out)
	c.written = n
	if err != nil && n == 0 {
		c.current = nil
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
	c.stopTime = c.pool.t.d.Timer.After(x.Deadline+expiryGrace-now, func() { c.expire(x) })
	return true
}

// expire ends an exchange whose time has passed.
func (c *conn) expire(x *Exchange) {
	lock := c.pool.t.d.Lock
	lock.Lock()
	defer lock.Unlock()
	if c.current == x && !c.dead {
		c.expired = true
		c.close()
	}
}

// flush writes the rest of a large request.
func (c *conn) flush(rest []byte) {
	n, err := c.net.Write(rest)
	lock := c.pool.t.d.Lock
	lock.Lock()
	defer lock.Unlock()
	c.flushing = false
	c.written += n
	if err != nil {
		c.close()
	}
}

// read takes answers until the connection ends.
func (c *conn) read() {
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			err = c.readAnswer()
		}
		lock := c.pool.t.d.Lock
		lock.Lock()
		if err != nil {
			c.lost(err)
			lock.Unlock()
			return
		}
		c.deliver()
		dead := c.dead
		lock.Unlock()
		if dead {
			return
		}
	}
}

var errNotHTTP = errors.New("bytes that are no answer")

// readAnswer reads one answer. Interim answers are skipped.
func (c *conn) readAnswer() error {
	a := &c.answer
	for {
		a.ResetBody()
		if err := a.Header.Read(c.reader); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
				return err
			}
			return errNotHTTP
		}
		if status := a.Header.StatusCode(); status >= 200 || status < 100 {
			break
		}
	}
	status := a.Header.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || c.headOnly() {
		return nil
	}
	chunked := a.Header.ContentLength() == -1
	if err := a.ReadBody(c.reader, maxAnswer); err != nil {
		return err
	}
	if !chunked {
		return nil
	}
	return a.Header.ReadTrailer(c.reader)
}

func (c *conn) headOnly() bool {
	lock := c.pool.t.d.Lock
	lock.Lock()
	defer lock.Unlock()
	return c.current != nil && c.current.HeadOnly
}

func isNetError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, net.ErrClosed)
}

// deliver ends the current exchange with the answer just read. Bytes beyond
// the answer, an answer before the whole request was written and an answer that
// nobody asked for make the connection unusable. The lock is held.
func (c *conn) deliver() {
	x := c.current
	if x == nil || c.dead {
		c.close()
		return
	}
	c.stopTimer()
	a := c.check(x)
	h := &c.answer.Header
	identity := h.ContentLength() == -2
	reusable := a.Result != Garbled && !identity && !h.ConnectionClose() && !c.flushing && c.reader.Buffered() == 0
	c.current, c.written = nil, 0
	x.conn = nil
	c.carried = true
	c.noteKeepAlive(h)
	if !reusable {
		c.close()
	} else {
		c.pool.ready(c)
	}
	x.Finish(a)
}

// check compares the answer with the request.
func (c *conn) check(x *Exchange) Answer {
	names := &c.pool.t.d.Names
	h := &c.answer.Header
	a := Answer{Result: Answered, Status: h.StatusCode(), Header: h, Body: c.answer.Body(), Waiting: -1, Fresh: !c.carried}
	id := h.Peek(names.RequestID)
	if x.RequestID != "" && string(id) != x.RequestID && (len(id) > 0 || a.Status < 300) {
		a.Result = Garbled
		return a
	}
	a.Stamp = string(h.Peek(names.Stamp))
	if load := h.Peek(names.Load); len(load) > 0 {
		a.Waiting = waitingOf(string(load))
	}
	switch {
	case a.Status == fasthttp.StatusMisdirectedRequest:
		a.Result = OtherServer
	case names.NotRun != "" && len(h.Peek(names.NotRun)) > 0:
		a.Result = NotRun
	}
	return a
}

// waitingOf reads the second of three numbers, or returns -1.
func waitingOf(load string) int {
	parts := strings.Split(load, ",")
	if len(parts) != 3 {
		return -1
	}
	n, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// noteKeepAlive takes the time after which the server closes idle connections.
func (c *conn) noteKeepAlive(h *fasthttp.ResponseHeader) {
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
			c.idleFor = max(ms-idleMargin, ms/2)
		}
	}
}

func (c *conn) stopTimer() {
	if c.stopTime != nil {
		c.stopTime()
		c.stopTime = nil
	}
}

// lost ends the connection and its current exchange after a failed read. The
// lock is held.
func (c *conn) lost(err error) {
	c.close()
	x := c.current
	if x == nil {
		return
	}
	c.current = nil
	x.conn = nil
	result := Lost
	switch {
	case c.written == 0 && !c.flushing:
		result = NotSent
	case c.expired:
		result = Expired
	case errors.Is(err, errNotHTTP):
		result = Garbled
	}
	x.Finish(Answer{Result: result, Waiting: -1, Fresh: !c.carried})
}

// close closes the socket and takes the connection out of the pool. The reader
// then ends the exchange that runs on it. The lock is held.
func (c *conn) close() {
	if c.dead {
		return
	}
	c.dead = true
	c.stopTimer()
	_ = c.net.Close()
	c.pool.remove(c)
}

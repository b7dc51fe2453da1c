package connector

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/trywriter"
)

// readBuffer also bounds the size of an answer's header.
const readBuffer = 8 << 10

// errNoLength refuses answers whose end cannot be known for sure.
var errNoLength = errors.New("answer without content-length")

// conn is one connection. Its fields but codec's answer and reader are guarded
// by the pool's lock. One goroutine, serve, reads it for its whole life, so that
// a connection that the server closes is known at once, also while it is idle.
type conn struct {
	pool   *Pool
	net    net.Conn
	reader *bufio.Reader
	codec  *codec

	writer *trywriter.Writer

	// current is the exchange that runs on the connection, nil when idle.
	current *Exchange
	// written counts the bytes of current that have been written.
	written int
	// flushing is set while a goroutine writes the rest of a request.
	flushing bool
	dead     bool
	// cause tells why the connection was closed from this side.
	cause  zinniatide.Code
	opened zinniatide.Millis
	// heard is when the last answer arrived.
	heard zinniatide.Millis
}

func newConn(p *Pool, nc net.Conn) *conn {
	return &conn{pool: p, net: nc, reader: bufio.NewReaderSize(nc, readBuffer), codec: newCodec(p.o.Address), writer: trywriter.New(nc)}
}

// start writes x. It returns false when no byte of it was written; the
// connection is then unusable. The pool's lock is held.
func (c *conn) start(x *Exchange, now zinniatide.Millis) bool {
	c.current, c.written = x, 0
	x.started = now
	out := c.codec.encode(x, now)
	n, err := c.writer.TryWrite(out)
	c.written = n
	switch {
	case err != nil && n == 0:
		c.current = nil
		return false
	case err != nil:
		c.closeLocked("")
	case n < len(out):
		c.flushing = true
		c.pool.running.Add(1)
		go c.flush(out[n:])
	}
	return true
}

// flush writes the rest of a large request. If the connection is lost
// meanwhile, it is flush that ends the exchange, since only then is it known
// whether a byte was written.
func (c *conn) flush(rest []byte) {
	defer c.pool.running.Done()
	n, err := c.net.Write(rest)
	p := c.pool
	p.mu.Lock()
	c.flushing = false
	c.written += n
	if err != nil {
		c.closeLocked("")
	}
	x, a := c.takeLost()
	p.mu.Unlock()
	finish(x, a)
}

// serve reads answers until the connection ends.
func (c *conn) serve() {
	defer c.pool.running.Done()
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			err = c.readAnswer()
		}
		if err != nil {
			c.lost(err)
			return
		}
		if !c.deliver() {
			return
		}
	}
}

func (c *conn) readAnswer() error {
	answer := &c.codec.answer
	answer.ResetBody()
	if err := answer.Header.Read(c.reader); err != nil {
		return err
	}
	length := answer.Header.ContentLength()
	if length < 0 {
		return errNoLength
	}
	if length > zinniatide.MaxBackendAnswer {
		return fasthttp.ErrBodyTooLarge
	}
	return answer.ReadBody(c.reader, zinniatide.MaxBackendAnswer)
}

// deliver ends the current exchange with the answer just read. Bytes beyond
// the answer, an answer before the whole request was written and an answer
// that nobody asked for make the connection unusable. It reports whether
// the connection goes on.
func (c *conn) deliver() bool {
	p := c.pool
	extra := c.reader.Buffered() > 0
	now := p.o.Clock.Now()
	p.mu.Lock()
	x := c.current
	c.heard = now
	var a Answer
	reusable := false
	if x != nil {
		a, reusable = c.codec.check(x)
		c.codec.trim()
	}
	c.current, c.written = nil, 0
	if x == nil || !reusable || extra || c.flushing || c.dead {
		c.closeLocked("")
	} else {
		p.idle = append(p.idle, c)
	}
	p.answered(c, now)
	dead := c.dead
	p.mu.Unlock()
	finish(x, a)
	return !dead
}

// lost ends the connection and its current exchange after a failed read.
func (c *conn) lost(err error) {
	p := c.pool
	p.mu.Lock()
	if c.cause == "" && !c.dead && !lostByPeer(err) {
		c.cause = zinniatide.CodeBadAnswer
	}
	c.closeLocked("")
	x, a := c.takeLost()
	p.mu.Unlock()
	finish(x, a)
}

// lostByPeer tells a connection that broke from an answer that is malformed.
func lostByPeer(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// takeLost removes the current exchange of a dead connection, unless flush
// still writes it.
func (c *conn) takeLost() (*Exchange, Answer) {
	x := c.current
	if x == nil || !c.dead || c.flushing {
		return nil, Answer{}
	}
	c.current = nil
	switch {
	case c.written == 0:
		return x, Answer{Outcome: zinniatide.OutcomeNotRun, Code: zinniatide.CodeServerGone}
	case c.cause != "":
		return x, Answer{Outcome: zinniatide.OutcomeUnknown, Code: c.cause}
	default:
		return x, Answer{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeServerGone, Crashed: true}
	}
}

// closeLocked closes the socket and takes the connection out of the pool. The
// reader then ends the exchange that runs on it. The pool's lock is held.
func (c *conn) closeLocked(cause zinniatide.Code) {
	if c.dead {
		return
	}
	c.dead = true
	if cause != "" {
		c.cause = cause
	}
	_ = c.net.Close()
	c.pool.remove(c)
}

func finish(x *Exchange, a Answer) {
	if x != nil && x.Handler != nil {
		x.Handler.Finished(a)
	}
}

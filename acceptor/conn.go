package acceptor

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/common/trywriter"
	"zinniatide.example/zinniatide/relayer"
)

// conn is one caller's connection. One goroutine reads it for its whole life;
// answers are written by the goroutine that has them.
type conn struct {
	acceptor *Acceptor
	net      net.Conn
	reader   *bufio.Reader
	request  fasthttp.Request
	writer   *trywriter.Writer
	limits   zinniatide.CallerLimits
	carried  bool // has carried a request
	// answered has one element for each answer that was written.
	answered chan struct{}

	mu     sync.Mutex
	active bool // a request is without an answer
	last   bool // the connection ends after the answer
	head   bool // the request wants no body
	failed bool
}

func newConn(a *Acceptor, nc net.Conn) *conn {
	limits := a.limits()
	return &conn{acceptor: a, net: nc, limits: limits, writer: trywriter.New(nc),
		reader: bufio.NewReaderSize(nc, max(limits.MaxHeaderBytes, 1<<10)), answered: make(chan struct{}, 1)}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// run serves requests until the connection ends.
func (c *conn) run() {
	defer func() {
		c.acceptor.remove(c)
		_ = c.net.Close()
	}()
	c.deadline(c.limits.IdleTimeout)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		c.deadline(c.limits.HeaderTimeout)
		req, status := c.read()
		if status != 0 {
			c.reject(status)
			return
		}
		if req == nil || !c.serve(req) {
			return
		}
	}
}

// deadline bounds the next reads.
func (c *conn) deadline(d zinniatide.Millis) {
	_ = c.net.SetReadDeadline(time.Now().Add(d.Duration())) // fails on a closed connection only, and so does the read
}

// read reads one request. Status is not 0 when it cannot be served.
func (c *conn) read() (req *relayer.Request, status int) {
	r := &c.request
	r.Reset()
	if err := r.Header.Read(c.reader); err != nil {
		var small *fasthttp.ErrSmallBuffer
		var timeout net.Error
		switch {
		case errors.As(err, &small):
			return nil, fasthttp.StatusRequestHeaderFieldsTooLarge
		case errors.As(err, &timeout), c.reader.Buffered() == 0:
			return nil, 0
		}
		klog.InfoS("request not understood", "step", "read request", "peer", c.net.RemoteAddr().String(), "err", err.Error())
		return nil, fasthttp.StatusBadRequest
	}
	if r.Header.ContentLength() > c.limits.MaxBodyBytes {
		return nil, fasthttp.StatusRequestEntityTooLarge
	}
	if r.MayContinue() {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, 0
		}
	}
	c.deadline(c.limits.IdleTimeout)
	if err := r.ContinueReadBody(c.reader, c.limits.MaxBodyBytes, false); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return nil, fasthttp.StatusRequestEntityTooLarge
		}
		return nil, 0
	}
	return c.decode(r)
}

// decode takes a request out of the connection's buffers.
func (c *conn) decode(r *fasthttp.Request) (*relayer.Request, int) {
	h := &r.Header
	names := &c.acceptor.names
	uri := string(h.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	req := &relayer.Request{
		ID: string(h.Peek(names.RequestID)), Host: string(h.Host()), Path: path,
		HeadOnly: h.IsHead(), Arrived: c.acceptor.clock.Now(), Connected: !c.carried,
	}
	if req.Host == "" || req.ID == "" || !strings.HasPrefix(path, "/") {
		klog.InfoS("request not understood", "step", "decode request", "request", req.ID, "host", req.Host,
			"peer", c.net.RemoteAddr().String(), "reason", "host, id or path is missing")
		return nil, fasthttp.StatusBadRequest
	}
	if wait, err := strconv.ParseInt(string(h.Peek(names.Deadline)), 10, 64); err == nil && wait > 0 {
		req.Wait = zinniatide.Millis(wait)
	}
	c.carried = true
	req.Head = c.forwardedHead(h, uri)
	if body := r.Body(); len(body) > 0 || h.IsPost() || h.IsPut() || h.IsPatch() {
		req.Body = append([]byte(nil), body...)
		req.Head = headerline.Append(req.Head, "Content-Length", strconv.Itoa(len(body)))
	}
	c.mu.Lock()
	c.head = req.HeadOnly
	c.last = h.ConnectionClose()
	c.mu.Unlock()
	return req, 0
}

// forwardedHead is the request line and the headers that do not concern the
// connection only.
func (c *conn) forwardedHead(h *fasthttp.RequestHeader, uri string) []byte {
	named := strings.ToLower(string(h.Peek("Connection")))
	out := make([]byte, 0, 256)
	out = append(out, h.Method()...)
	out = append(out, ' ')
	out = append(out, uri...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = headerline.Append(out, "Host", h.Host())
	for key, value := range h.All() {
		name := string(key)
		if c.acceptor.dropped[name] || named != "" && listed(named, strings.ToLower(name)) {
			continue
		}
		out = headerline.Append(out, key, value)
	}
	return out
}

// listed reports whether a comma-separated list holds name.
func listed(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(item) == name {
			return true
		}
	}
	return false
}

// serve has a request answered and waits for the answer and the next request.
// It reports whether the connection goes on.
func (c *conn) serve(req *relayer.Request) bool {
	select {
	case <-c.answered: // of a request before, for which nobody waited
	default:
	}
	c.mu.Lock()
	c.active = true
	c.mu.Unlock()
	_ = c.net.SetReadDeadline(time.Time{})
	if c.acceptor.refusing.Load() {
		klog.InfoS("request refused", "step", "accept", "request", req.ID, "status", fasthttp.StatusServiceUnavailable, "reason", "this VM is stopping")
		c.respond(relayer.Reply{Status: fasthttp.StatusServiceUnavailable, RetryAfter: movedRetryAfter})
	} else {
		cancel := c.acceptor.server.Serve(req, c.respond)
		if !c.await(cancel) {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.last && !c.failed
}

// movedRetryAfter sends callers of a stopping VM to another one at once.
const movedRetryAfter zinniatide.Millis = 10

// await waits for the answer. A read meanwhile tells when the caller leaves.
func (c *conn) await(cancel func()) bool {
	for {
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The answer was written, and the caller was idle for too long.
			if c.busy() {
				continue
			}
			return false
		}
		if err != nil {
			if c.busy() {
				cancel()
			}
			return false
		}
		<-c.answered
		return true
	}
}

// respond writes an answer. It does not block.
func (c *conn) respond(reply relayer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || c.acceptor.closing.Load()
	out := c.encode(&reply)
	// The time for the next request counts from here, also for a read that waits.
	c.deadline(c.limits.IdleTimeout)
	n, err := c.writer.TryWrite(out)
	if err != nil {
		c.failed = true
	}
	if err == nil && n < len(out) {
		go c.flush(out[n:])
		return
	}
	c.written()
}

// flush writes the rest of an answer to a caller that reads slowly.
func (c *conn) flush(rest []byte) {
	_ = c.net.SetWriteDeadline(time.Now().Add(c.limits.IdleTimeout.Duration())) // fails with the connection, as the write does
	_, err := c.net.Write(rest)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || err != nil
	c.written()
}

// written ends the request. The lock is held.
func (c *conn) written() {
	c.active = false
	select {
	case c.answered <- struct{}{}:
	default:
	}
	if c.last || c.failed {
		c.hangUp()
	}
}

// hangUp ends the connection after its last answer. Closing while the caller's
// next bytes are unread would reset the connection and could destroy the answer
// on its way, so the caller closes first or has lingerTime to read.
func (c *conn) hangUp() {
	if tcp, ok := c.net.(*net.TCPConn); ok && !c.failed {
		_ = tcp.CloseWrite()
		c.deadline(lingerTime)
		return
	}
	_ = c.net.Close()
}

// lingerTime is how long a caller may take to close after the last answer.
const lingerTime zinniatide.Millis = 500

func (c *conn) encode(reply *relayer.Reply) []byte {
	out := make([]byte, 0, 128+len(reply.Header)+len(reply.Body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(reply.Status), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(reply.Status)...)
	out = append(out, "\r\n"...)
	out = append(out, reply.Header...)
	if reply.RetryAfter > 0 {
		out = headerline.Append(out, "Retry-After", strconv.FormatFloat(float64(reply.RetryAfter)/1000, 'f', -1, 64))
	}
	out = headerline.Append(out, "Content-Length", strconv.Itoa(len(reply.Body)))
	if c.last {
		out = headerline.Append(out, "Connection", "close")
	}
	out = append(out, "\r\n"...)
	if !c.head {
		out = append(out, reply.Body...)
	}
	return out
}

// reject answers a request that cannot be read and ends the connection.
func (c *conn) reject(status int) {
	c.mu.Lock()
	c.last, c.head = true, false
	out := c.encode(&relayer.Reply{Status: status})
	c.mu.Unlock()
	_ = c.net.SetWriteDeadline(time.Now().Add(lingerTime.Duration()))
	if _, err := c.net.Write(out); err != nil {
		klog.InfoS("rejection not written", "step", "reject", "status", status, "err", err.Error())
	}
}

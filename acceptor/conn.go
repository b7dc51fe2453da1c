package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/bodyreader"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/common/queuemeter"
	"zinniatide.example/zinniatide/common/trywriter"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/reserver"
)

// conn is a caller's connection. A goroutine reads from it for its whole lifetime.
// Answers are written by the goroutine that calls respond.
type conn struct {
	acceptor *Acceptor
	netConn  net.Conn
	reader   *bufio.Reader
	writer   *trywriter.Writer
	// budget limits the memory of the connection, and memory reserves that of its
	// request. The reading goroutine reserves before the request is served, the one that
	// has written the answer releases.
	budget zinniatide.ClientConnection
	memory *bodyreader.Reader
	queue  *queuemeter.Meter
	// bufferBytes is what is reserved for a reader that has grown.
	bufferBytes int
	// limits are those in force when the request that is read now began, or when the
	// connection was opened.
	limits zinniatide.CallerLimits
	reused bool // has received a request
	// replied receives an element for each written answer.
	replied chan struct{}

	mu              sync.Mutex
	reading         bool // a request is being read
	active          bool // a request is in progress
	closesWhenRead  bool // the last answer was written and this side has closed
	closeAfterReply bool // close the connection after the answer
	headOnly        bool // HEAD request, the answer has no body
	failed          bool
	expiring        bool      // expireIfIdle was called
	unreadBytes     int       // reserved for answers that the client has not read
	checksUnread    bool      // a call of checkUnread is scheduled
	idleSince       time.Time // the end of the last answer, or the start of the connection
}

const (
	// initialHeaderBuffer is the size of the read buffer in bytes until a larger
	// header arrives, and maxHeaderBuffer that of the largest header that is read,
	// whatever the limits allow.
	initialHeaderBuffer = 4 << 10
	maxHeaderBuffer     = 1 << 20
	// smallFields is the number of header fields up to which a request is small, and
	// fieldBytes what each further one costs while the request is parsed: its entry in a
	// slice that doubles, two allocations and its forwarded copy.
	smallFields = 40
	fieldBytes  = 160
	// prefetchBytes is what fasthttp reads of a body of known length before it streams
	// the rest.
	prefetchBytes = 8 << 10
	// aheadBytes is reserved while a further request waits behind one that is served: the
	// receive buffer of the socket, which the kernel doubles.
	aheadBytes = 2 * reserver.ReceiveBufferBytes
)

// newConn returns nil if the budget has no room for the connection.
func newConn(a *Acceptor, nc net.Conn) *conn {
	limits := a.limits()
	c := &conn{acceptor: a, netConn: nc, limits: limits, writer: trywriter.New(nc), idleSince: time.Now(), replied: make(chan struct{}, 1)}
	peer, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	budget, ok := a.budget.Open(peer, func() { reset(nc) })
	if !ok {
		return nil
	}
	c.budget, c.memory, c.queue = budget, bodyreader.New(budget), queuemeter.New(nc)
	if err := c.queue.Limit(reserver.UnsentBytes); err != nil {
		klog.InfoS("failed to limit the send queue", "step", "accept", "peer", peer, "err", err.Error())
	}
	c.reader = bufio.NewReaderSize(nc, c.initialBufferSize())
	return c
}

// reset closes a connection and discards what the kernel holds of it.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = nc.Close()
}

func (c *conn) initialBufferSize() int {
	return min(max(c.limits.MaxHeaderBytes, 1<<10), initialHeaderBuffer)
}

// refreshLimits applies the limits of the configuration in force. It must not be
// called with the lock held, because answers arrive with the handler's lock held.
func (c *conn) refreshLimits() {
	limits := c.acceptor.limits()
	c.mu.Lock()
	c.limits = limits
	c.mu.Unlock()
}

// awaitByte waits for the next byte from the caller. If the idle timeout has become
// longer meanwhile, it waits until the new one has passed.
func (c *conn) awaitByte() error {
	for {
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdleTimeout() {
			return err
		}
	}
}

// extendIdleTimeout reports whether the idle timeout in force has not passed yet, and
// applies it if so.
func (c *conn) extendIdleTimeout() bool {
	c.refreshLimits()
	c.mu.Lock()
	defer c.mu.Unlock()
	left := time.Until(c.idleSince.Add(c.limits.IdleTimeout.Duration()))
	if left <= 0 || c.expiring || c.closesWhenRead || c.failed {
		return false
	}
	c.setReadTimeout(zinniatide.Millis(left.Milliseconds()) + 1)
	return true
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active || c.reading
}

// answeredLast reports whether the last answer on the connection was written.
func (c *conn) answeredLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesWhenRead
}

// expireIfIdle closes the connection unless a request arrives within grace.
func (c *conn) expireIfIdle(grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active && !c.reading {
		c.expiring = true
		_ = c.netConn.SetReadDeadline(time.Now().Add(grace)) // fails only on a closed connection
	}
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	c.reading = reading
	c.mu.Unlock()
}

// run serves requests until the connection is closed.
func (c *conn) run() {
	defer func() {
		c.acceptor.remove(c)
		_ = c.netConn.Close()
		c.budget.Close()
	}()
	c.setReadTimeout(c.limits.IdleTimeout)
	for {
		if err := c.awaitByte(); err != nil {
			return
		}
		c.budget.Begin()
		c.setReading(true)
		c.refreshLimits()
		c.setReadTimeout(c.limits.HeaderTimeout)
		req, status := c.readRequest()
		if status != 0 {
			c.rejectRequest(status)
			return
		}
		if req == nil || !c.serve(req) {
			return
		}
	}
}

// setReadTimeout sets the deadline of the next reads.
func (c *conn) setReadTimeout(d zinniatide.Millis) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(d.Duration())) // fails only on a closed connection, as the next read does
}

// readRequest reads one request. It returns a status other than 0 if the request
// must be rejected, and no request if the connection must be closed.
func (c *conn) readRequest() (req *relayer.Request, status int) {
	fields, status := c.awaitHead()
	if status != 0 {
		return nil, status
	}
	r := fasthttp.AcquireRequest()
	defer func() {
		if fields <= smallFields { // larger ones hold memory that is not reserved once the request has been read
			fasthttp.ReleaseRequest(r)
		}
	}()
	err := r.Header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if err != nil {
		var netErr net.Error
		switch {
		case errors.As(err, &small):
			return nil, fasthttp.StatusRequestHeaderFieldsTooLarge
		case errors.As(err, &netErr), c.reader.Buffered() == 0:
			return nil, 0 // the connection failed, timed out or was closed before a request
		}
		// The error quotes what the caller sent, which may contain a key.
		klog.InfoS("invalid request", "step", "read request", "peer", c.netConn.RemoteAddr().String(), "reason", "malformed request line or header")
		return nil, fasthttp.StatusBadRequest
	}
	if r.Header.ContentLength() > c.limits.MaxBodyBytes {
		return nil, fasthttp.StatusRequestEntityTooLarge
	}
	if r.MayContinue() {
		if err := c.writeWithin([]byte("HTTP/1.1 100 Continue\r\n\r\n"), c.limits.HeaderTimeout.Duration()); err != nil {
			return nil, 0
		}
	}
	c.setReadTimeout(c.limits.IdleTimeout)
	body, status := c.readBody(r)
	if status != 0 || body == nil {
		return nil, status
	}
	return c.parseRequest(r, body)
}

// awaitHead waits until the head of a request has arrived and reserves the memory to parse
// it. It leaves errors of the connection to the next read. A head that is cut short or
// exceeds the buffer is left to the parser, too.
func (c *conn) awaitHead() (fields, status int) {
	var head []byte
	for {
		head, _ = c.reader.Peek(c.reader.Buffered()) // cannot fail
		if end := headEnd(head); end > 0 {
			head = head[:end]
			break
		}
		if len(head) == c.reader.Size() {
			grown, ok := c.growBuffer()
			if !ok {
				return 0, fasthttp.StatusServiceUnavailable
			}
			if !grown {
				break
			}
		}
		if _, err := c.reader.Peek(len(head) + 1); err != nil {
			break
		}
	}
	fields = bytes.Count(head, []byte{'\n'})
	if fields > smallFields && !c.memory.Reserve((fields-smallFields)*fieldBytes) {
		return fields, fasthttp.StatusServiceUnavailable
	}
	return fields, 0
}

// headEnd returns the length of the head in data, or 0 if it is incomplete. The parser
// skips empty lines in front of a request.
func headEnd(data []byte) int {
	start := len(data) - len(bytes.TrimLeft(data, "\r\n"))
	end := 0
	for _, mark := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(data[start:], []byte(mark)); i >= 0 && (end == 0 || start+i+len(mark) < end) {
			end = start + i + len(mark)
		}
	}
	return end
}

// readBody reads the body of a request. It returns nil if the connection must be closed
// or the request must be rejected.
func (c *conn) readBody(r *fasthttp.Request) (body []byte, status int) {
	length, limit := r.Header.ContentLength(), c.limits.MaxBodyBytes
	if prefetch := min(length, prefetchBytes); prefetch > bodyreader.SmallBytes && !c.memory.Reserve(prefetch) {
		return nil, fasthttp.StatusServiceUnavailable
	}
	if err := r.ContinueReadBodyStream(c.reader, limit, false); err != nil {
		return nil, 0
	}
	stream := r.BodyStream()
	if stream == nil {
		return []byte{}, 0
	}
	body, err := c.memory.Read(stream, length, limit)
	switch {
	case errors.Is(err, bodyreader.ErrTooLarge):
		return nil, fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, bodyreader.ErrNoMemory):
		return nil, fasthttp.StatusServiceUnavailable
	case err != nil:
		return nil, 0
	}
	return body, 0
}

// growBuffer doubles the read buffer and keeps what it holds. grown is false if the
// buffer has reached the limit for headers, and ok is false if there is no memory.
func (c *conn) growBuffer() (grown, ok bool) {
	size, limit := c.reader.Size(), min(c.limits.MaxHeaderBytes, maxHeaderBuffer)
	if size >= limit {
		return false, true
	}
	next := min(2*size, limit)
	if !c.budget.Reserve(next) {
		return false, false
	}
	c.bufferBytes += next
	unread, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(unread)), c.netConn)
	c.reader = bufio.NewReaderSize(rest, next)
	return true, true
}

// shrinkBuffer replaces a read buffer that has grown and is empty.
func (c *conn) shrinkBuffer() {
	if c.bufferBytes > 0 && c.reader.Buffered() == 0 {
		c.reader = bufio.NewReaderSize(c.netConn, c.initialBufferSize())
		c.budget.Release(c.bufferBytes)
		c.bufferBytes = 0
	}
}

// parseRequest copies a request out of the connection's buffers.
func (c *conn) parseRequest(r *fasthttp.Request, body []byte) (*relayer.Request, int) {
	h := &r.Header
	names := &c.acceptor.names
	uri := string(h.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	req := &relayer.Request{
		ID: string(h.Peek(names.RequestID)), Host: string(h.Host()), Path: path,
		IsHEAD: h.IsHead(), ArrivedAt: c.acceptor.clock.Now(), NewConnection: !c.reused,
	}
	if req.Host == "" || req.ID == "" || !strings.HasPrefix(path, "/") {
		klog.InfoS("invalid request", "step", "decode request", "request", req.ID, "host", req.Host,
			"peer", c.netConn.RemoteAddr().String(), "reason", "host or id is missing, or path does not start with /")
		return nil, fasthttp.StatusBadRequest
	}
	if wait, err := strconv.ParseInt(string(h.Peek(names.Deadline)), 10, 64); err == nil && wait > 0 {
		req.Timeout = zinniatide.Millis(wait)
	}
	c.reused = true
	c.readHeaders(h, uri, req)
	if len(body) > 0 || h.IsPost() || h.IsPut() || h.IsPatch() {
		req.Body = body
		req.Head = headerline.Append(req.Head, "Content-Length", strconv.Itoa(len(body)))
	}
	c.mu.Lock()
	c.headOnly = req.IsHEAD
	c.closeAfterReply = h.ConnectionClose()
	c.mu.Unlock()
	return req, 0
}

// readHeaders sets the head of req to the request line and the headers to forward: all
// except hop-by-hop headers and the headers in HeaderNames.NotForwarded. The headers of
// keys and workspaces are kept apart, because the routing table decides about them.
func (c *conn) readHeaders(h *fasthttp.RequestHeader, uri string, req *relayer.Request) {
	names := &c.acceptor.names
	credentials := 0
	connectionOptions := strings.ToLower(string(h.Peek("Connection")))
	out := make([]byte, 0, 256)
	out = append(out, h.Method()...)
	out = append(out, ' ')
	out = append(out, uri...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = headerline.Append(out, "Host", h.Host())
	for key, value := range h.All() {
		name := string(key)
		isCredential := isSpelling(name, names.Credential)
		if isCredential && name == names.Credential {
			credentials++
			req.Credential = bytes.Clone(value)
		}
		if c.acceptor.droppedHeaders[name] || connectionOptions != "" && containsToken(connectionOptions, strings.ToLower(name)) {
			continue
		}
		if isCredential || isSpelling(name, names.Workspace) {
			req.KeyHeaders = headerline.Append(req.KeyHeaders, key, value)
			continue
		}
		out = headerline.Append(out, key, value)
	}
	if credentials > 1 {
		req.Credential = nil // the system and a server could each use another one
	}
	req.Head = out
}

// isSpelling reports whether a server might take name for the header want. Some servers
// ignore the case of letters, treat hyphens and underscores alike, or remove spaces.
func isSpelling(name, want string) bool {
	if want == "" || len(name) < len(want) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(strings.TrimSpace(name), "_", "-"), want)
}

// containsToken reports whether a comma-separated list contains name.
func containsToken(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(item) == name {
			return true
		}
	}
	return false
}

// serve passes a request to the handler and waits for the answer and the next
// request. It reports whether the connection stays open.
func (c *conn) serve(req *relayer.Request) bool {
	select {
	case <-c.replied: // left over from a previous request
	default:
	}
	c.shrinkBuffer()
	if !c.budget.Run() {
		return false
	}
	c.mu.Lock()
	c.active, c.reading = true, false
	c.mu.Unlock()
	_ = c.netConn.SetReadDeadline(time.Time{})
	if c.acceptor.refuseRequests.Load() {
		klog.InfoS("request refused", "step", "accept", "request", req.ID, "status", fasthttp.StatusServiceUnavailable, "reason", "this VM is stopping")
		c.respond(relayer.Reply{Status: fasthttp.StatusServiceUnavailable, RetryAfter: stoppingRetryAfter})
	} else {
		cancel := c.acceptor.handler.Serve(req, c.respond)
		if !c.awaitReply(cancel) {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closeAfterReply && !c.failed
}

// stoppingRetryAfter makes callers of a stopping VM retry almost immediately,
// because another VM can serve them.
const stoppingRetryAfter zinniatide.Millis = 10

// awaitReply waits until the answer is written and the caller has sent the first
// byte of its next request. It reads from the connection all the time, so that it
// can cancel the request if the caller disconnects. It returns false if the
// connection ends or is idle for too long.
func (c *conn) awaitReply(cancel func()) bool {
	if err := c.awaitByte(); err != nil {
		if c.busy() {
			cancel()
		}
		return false
	}
	// The next request has arrived, but the answer to this one may not be written yet.
	select {
	case <-c.replied:
		return true
	default:
	}
	ahead := c.budget.Reserve(aheadBytes)
	if !ahead {
		c.mu.Lock()
		c.closeAfterReply = true
		c.mu.Unlock()
	}
	<-c.replied
	if ahead {
		c.budget.Release(aheadBytes)
	}
	return true
}

// respond writes an answer. It does not block.
func (c *conn) respond(reply relayer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAfterReply = c.closeAfterReply || c.acceptor.closeAfterReply.Load()
	out := c.encodeReply(&reply)
	n, err := c.writer.TryWrite(out)
	if err != nil {
		c.failed = true
	}
	if err == nil && n < len(out) {
		c.budget.Begin()
		if c.budget.Reserve(len(out)) {
			go c.flush(out[n:], len(out), c.limits.IdleTimeout)
			return
		}
		c.failed = true
	}
	if len(out) > reserver.UnsentBytes {
		c.checkUnread()
	}
	c.finishRequest()
}

// unreadInterval is the time between checks whether a client has read an answer. An
// ordinary one has read it by the first.
const unreadInterval = 100 * time.Millisecond

// checkUnread reserves memory for what the kernel holds of answers, and repeats that until
// the client has read them. Without memory, it closes the connection. The caller holds the
// lock.
func (c *conn) checkUnread() {
	queued := c.queue.Queued()
	if queued <= reserver.UnsentBytes {
		queued = 0
	}
	switch {
	case queued > c.unreadBytes:
		if !c.budget.Reserve(queued - c.unreadBytes) {
			c.failed = true
			reset(c.netConn)
			return
		}
	case queued < c.unreadBytes:
		c.budget.Release(c.unreadBytes - queued)
	}
	c.unreadBytes = queued
	if queued == 0 || c.checksUnread {
		return
	}
	c.checksUnread = true
	time.AfterFunc(unreadInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.checksUnread = false
		c.checkUnread()
	})
}

// flushBytes is what a caller must read of an answer within each idle timeout. The kernel
// no longer holds a whole answer for callers that take longer for it.
const flushBytes = 64 << 10

// flush writes the remainder of an answer to a caller that reads slowly, and releases
// what was reserved for it.
func (c *conn) flush(rest []byte, reserved int, limit zinniatide.Millis) {
	var err error
	for len(rest) > 0 && err == nil {
		part := rest[:min(len(rest), flushBytes)]
		err = c.writeWithin(part, limit.Duration())
		rest = rest[len(part):]
	}
	c.budget.Release(reserved)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || err != nil
	c.checkUnread()
	c.finishRequest()
}

// writeWithin writes out within d. The deadline ends with the write, because it
// would otherwise fail an answer to a later request on the connection.
func (c *conn) writeWithin(out []byte, d time.Duration) error {
	if err := c.netConn.SetWriteDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	if _, err := c.netConn.Write(out); err != nil {
		return err
	}
	return c.netConn.SetWriteDeadline(time.Time{})
}

// finishRequest ends the request after its answer. The caller holds the lock.
func (c *conn) finishRequest() {
	c.active = false
	c.memory.Release()
	c.budget.Idle()
	// The idle timeout starts now, also for a read that is already waiting.
	c.idleSince = time.Now()
	c.setReadTimeout(c.limits.IdleTimeout)
	select {
	case c.replied <- struct{}{}:
	default:
	}
	if c.closeAfterReply || c.failed {
		c.closeGracefully()
	}
}

// closeGracefully closes the connection after its last answer. Closing a socket
// with unread data would reset the connection, and the caller could lose
// the answer. So this side only closes its sending half and leaves the caller
// lingerTimeout to read the answer and close.
func (c *conn) closeGracefully() {
	c.closesWhenRead = true
	if tcp, ok := c.netConn.(*net.TCPConn); ok && !c.failed {
		_ = tcp.CloseWrite()
		c.setReadTimeout(lingerTimeout)
		return
	}
	_ = c.netConn.Close()
}

// lingerTimeout is how long a caller may take to close the connection after the
// last answer.
const lingerTimeout zinniatide.Millis = 500

func (c *conn) encodeReply(reply *relayer.Reply) []byte {
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
	if c.closeAfterReply {
		out = headerline.Append(out, "Connection", "close")
	}
	out = append(out, "\r\n"...)
	if !c.headOnly {
		out = append(out, reply.Body...)
	}
	return out
}

// noMemoryRetryAfter is the time after which a request may be sent again that was refused
// for lack of memory. The oldest unfinished requests are closed all the time, so that it is
// short.
const noMemoryRetryAfter zinniatide.Millis = 250

// rejectRequest answers a request that cannot be read. The connection is closed
// afterwards.
func (c *conn) rejectRequest(status int) {
	c.mu.Lock()
	c.closeAfterReply, c.headOnly = true, false
	reply := relayer.Reply{Status: status}
	if status == fasthttp.StatusServiceUnavailable {
		reply.RetryAfter = noMemoryRetryAfter
	}
	out := c.encodeReply(&reply)
	c.mu.Unlock()
	if err := c.writeWithin(out, lingerTimeout.Duration()); err != nil {
		klog.InfoS("failed to write rejection", "step", "reject", "status", status, "err", err.Error())
	}
}

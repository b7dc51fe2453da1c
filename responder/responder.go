// Package responder builds the HTTP servers of endpoints that answer from the state of
// the process: readiness, directory and control. Their clients share the budget of the
// process.
package responder

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/bodyreader"
	"zinniatide.example/zinniatide/common/queuemeter"
	"zinniatide.example/zinniatide/reserver"
)

// Limits of a server. A client inside the limits for callers reaches none of them: heads
// above 4 KB were refused before, as this is the default of fasthttp.
const (
	// maxBodyBytes is the size of the largest routing document with a margin.
	maxBodyBytes = 4 << 20
	idleTimeout  = 30 * time.Second
	readTimeout  = 10 * time.Second
	// writeTimeout is how long a client may take to read an answer: as long as it may take
	// to send a request.
	writeTimeout = 10 * time.Second
	bufferBytes  = 4 << 10
	// requestBytes is reserved for each request that arrives: 72 bytes for each of up to
	// 1,000 fields of 4 bytes, and 8 KB that are read of a body before the rest is
	// streamed.
	requestBytes = 80 << 10
	// maxKeptFields is the number of header fields up to which the connection stays open,
	// as it keeps the memory of its largest request.
	maxKeptFields = 100
)

// Responder builds the servers of one process.
type Responder struct{ budget zinniatide.ClientBudget }

// New returns a Responder whose servers share budget.
func New(budget zinniatide.ClientBudget) *Responder { return &Responder{budget: budget} }

// Server returns a server that serves handler. Without readsBodies, handler gets no bodies
// and the server discards them.
func (r *Responder) Server(handler fasthttp.RequestHandler, readsBodies bool) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: serveWithin(handler, readsBodies), MaxRequestBodySize: maxBodyBytes, StreamRequestBody: true,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		ConnState: followState, NoDefaultServerHeader: true, NoDefaultDate: true, DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
}

// Listen returns a listener whose connections belong to the budget. A Server needs one.
func (r *Responder) Listen(l net.Listener) net.Listener { return &listener{l, r.budget} }

type listener struct {
	net.Listener
	budget zinniatide.ClientBudget
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			_ = c.Close()
			return nil, errors.New("listener accepts no TCP connections")
		}
		peer, _, _ := net.SplitHostPort(tcp.RemoteAddr().String())
		reset := func() {
			_ = tcp.SetLinger(0) // fails only on a closed connection
			_ = tcp.Close()
		}
		if account, ok := l.budget.Open(peer, reset); ok {
			queue := queuemeter.New(tcp)
			if err := queue.Limit(reserver.UnsentBytes); err != nil {
				klog.InfoS("failed to limit the send queue", "step", "accept", "peer", peer, "err", err.Error())
			}
			return &conn{TCPConn: tcp, account: account, memory: bodyreader.New(account), queue: queue}, nil
		}
		reset()
	}
}

// conn is a connection of a client.
type conn struct {
	*net.TCPConn
	account zinniatide.ClientConnection
	memory  *bodyreader.Reader
	queue   *queuemeter.Meter
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// followState passes the state of a connection on to the budget. Without memory for
// another request, it closes the connection.
func followState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.memory.Release()
		c.account.Begin()
		if !c.memory.Reserve(requestBytes) {
			_ = c.Close()
		}
	case fasthttp.StateIdle:
		if c.queue.Queued() > reserver.UnsentBytes {
			// The answer has not been read. What the kernel holds of it, a segment of up to
			// 64 KB, is less than is reserved.
			return
		}
		c.memory.Release()
		c.account.Idle()
	case fasthttp.StateNew, fasthttp.StateHijacked, fasthttp.StateClosed:
	}
}

// serveWithin returns a handler that reads the body within the budget before it calls
// handler. Other bodies and those of requests other than POST are left to the server,
// which discards them.
func serveWithin(handler fasthttp.RequestHandler, readsBodies bool) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c, ok := ctx.Conn().(*conn)
		if !ok {
			ctx.Error("connection without a budget", fasthttp.StatusInternalServerError)
			return
		}
		if ctx.Request.Header.Len() > maxKeptFields {
			ctx.SetConnectionClose()
		}
		if readsBodies {
			if status := c.readBody(ctx); status != 0 {
				ctx.SetConnectionClose()
				ctx.SetStatusCode(status)
				return
			}
		}
		if !c.account.Run() {
			ctx.SetConnectionClose()
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		handler(ctx)
		if size := len(ctx.Response.Body()); size > bufferBytes && !c.memory.Reserve(size) {
			_ = c.Close() // the request may have run, so that it is not answered with 503
			ctx.Response.ResetBody()
			return
		}
		c.account.Begin() // until the client has read the answer
	}
}

// readBody reads the body of a POST request. It returns a status other than 0 if the
// request must be rejected.
func (c *conn) readBody(ctx *fasthttp.RequestCtx) int {
	stream := ctx.RequestBodyStream()
	if stream == nil || !ctx.IsPost() {
		return 0
	}
	body, err := c.memory.Read(stream, ctx.Request.Header.ContentLength(), maxBodyBytes)
	switch {
	case errors.Is(err, bodyreader.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, bodyreader.ErrNoMemory):
		return fasthttp.StatusServiceUnavailable
	case err != nil:
		return fasthttp.StatusRequestTimeout
	}
	ctx.Request.SetBodyRaw(body)
	return 0
}

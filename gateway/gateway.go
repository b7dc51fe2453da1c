// Package gateway is the HTTP interface for callers, backend servers and
// operators. docs/openapi.yaml describes its operations.
package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Config holds the settings of a Gateway. Zero values select the defaults.
type Config struct {
	VM   zinniatide.VMID
	Zone zinniatide.ZoneID
	// MaxConnections bounds open connections. The default is 10,000.
	MaxConnections int
	// MaxRequests bounds the searches, executions and operators' requests
	// being served at once. The default is 5,000.
	MaxRequests int
	// IdleTimeout ends a connection without a request. The default is 30 s.
	IdleTimeout time.Duration
	// ReadTimeout bounds the receipt of one request, and the wait for the
	// first one. The default is 5 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds the sending of one answer. The default is 5 s.
	WriteTimeout time.Duration
}

// maxHeader bounds the head of a request, in bytes.
const maxHeader = 16 << 10

func (c *Config) setDefaults() {
	setDefault(&c.MaxConnections, 10_000)
	setDefault(&c.MaxRequests, 5_000)
	setDefault(&c.IdleTimeout, 30*time.Second)
	setDefault(&c.ReadTimeout, 5*time.Second)
	setDefault(&c.WriteTimeout, 5*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Dependencies are the parts of the system that a Gateway calls.
type Dependencies struct {
	Clock         zinniatide.Clock
	Configuration zinniatide.ConfigurationProvider
	Catalog       zinniatide.CatalogProvider
	Querier       zinniatide.Querier
	Executor      zinniatide.Executor
	Announcer     zinniatide.Announcer
	// Connected reports whether a live link to a VM exists; nil lists every
	// serving VM.
	Connected func(zinniatide.VMID) bool
	// Operator is nil on VMs without the control role.
	Operator   zinniatide.Operator
	Registerer prometheus.Registerer
}

// Gateway serves HTTP. It is safe for concurrent use.
type Gateway struct {
	config    Config
	deps      Dependencies
	metrics   *metrics
	server    *fasthttp.Server
	addresses addressTable
	open      atomic.Int64 // requests being served
	waiting   atomic.Int64 // those of them that count towards MaxRequests
	draining  atomic.Bool
}

// New returns a Gateway that does not serve yet.
func New(config Config, deps Dependencies) (*Gateway, error) {
	config.setDefaults()
	if deps.Clock == nil || deps.Configuration == nil || deps.Catalog == nil || deps.Querier == nil ||
		deps.Executor == nil || deps.Announcer == nil || deps.Registerer == nil {
		return nil, errors.New("gateway: a dependency other than Operator is missing")
	}
	g := &Gateway{config: config, deps: deps, metrics: newMetrics(deps.Registerer)}
	g.server = &fasthttp.Server{
		Handler:                      g.handle,
		ErrorHandler:                 g.handleUnreadable,
		Concurrency:                  config.MaxConnections + 1, // the listener enforces the bound
		ReadBufferSize:               maxHeader,
		ReadTimeout:                  config.ReadTimeout,
		WriteTimeout:                 config.WriteTimeout,
		IdleTimeout:                  config.IdleTimeout,
		MaxRequestBodySize:           zinniatide.MaxRequestBody,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       serverLogger{},
	}
	return g, nil
}

// Serve serves connections of listener until Close. It takes over listener.
func (g *Gateway) Serve(listener net.Listener) error {
	return g.server.Serve(newBoundedListener(listener, g.config.MaxConnections, g.metrics.refusedConnections))
}

// drainPoll is how often Drain looks for open requests.
const drainPoll = 10 * time.Millisecond

// Drain ends keep-alive, so that callers leave with their next answer, and
// waits until no request is open or ctx ends. New requests are still served.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.open.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close stops listening, closes idle connections and waits for open requests
// until ctx ends.
func (g *Gateway) Close(ctx context.Context) error {
	g.draining.Store(true)
	return g.server.ShutdownWithContext(ctx)
}

// handle serves one request.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	start := time.Now() // for the histogram only
	r := &request{RequestCtx: ctx, gateway: g, operation: "unknown", class: otherLabel, tenant: otherLabel}
	g.open.Add(1)
	g.route(r)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	g.open.Add(-1)
	g.metrics.duration.WithLabelValues(r.operation, r.class, r.tenant).Observe(time.Since(start).Seconds())
}

// handleUnreadable answers a request that could not be read.
func (g *Gateway) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	r := &request{RequestCtx: ctx, gateway: g, operation: "unreadable"}
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.refuse(zinniatide.Refuse(zinniatide.CodeTooLarge, "request body exceeds %d bytes", zinniatide.MaxRequestBody))
	case errors.As(err, &small):
		r.refuse(zinniatide.Refuse(zinniatide.CodeTooLarge, "request header exceeds %d bytes", maxHeader))
	case errors.As(err, &timeout) && timeout.Timeout():
		r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "request was not received within %s", g.config.ReadTimeout))
	default:
		r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "request is not valid HTTP/1.1"))
	}
}

// serverLogger sends the HTTP server's own messages to the log.
type serverLogger struct{}

// Printf implements fasthttp.Logger.
func (serverLogger) Printf(format string, args ...any) {
	klog.V(1).InfofDepth(1, format, args...)
}

// Package gateway implements the HTTP API for callers, backend servers and
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
	"zinniatide.example/zinniatide/common/drainer"
)

// Config holds the settings of a Gateway. Zero values select the defaults.
type Config struct {
	VM   zinniatide.VMID
	Zone zinniatide.ZoneID
	// MaxConnections is the maximum number of open connections. The default is
	// 10,000.
	MaxConnections int
	// MaxRequests is the maximum number of concurrent requests of the blocking
	// operations: search, execute and those of operators. The default is 5,000.
	MaxRequests int
	// IdleTimeout is how long a keep-alive connection may stay idle between
	// requests. The default is 30 s.
	IdleTimeout time.Duration
	// ReadTimeout limits the time to read one request, including the wait for
	// the first request of a connection. The default is 5 s.
	ReadTimeout time.Duration
	// WriteTimeout limits the time to write one response. The default is 5 s.
	WriteTimeout time.Duration
}

// maxHeaderBytes is the maximum size of the request line and headers together.
const maxHeaderBytes = 16 << 10

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

// Dependencies are the components that a Gateway calls. Connected and Operator
// are optional.
type Dependencies struct {
	Clock         zinniatide.Clock
	Configuration zinniatide.ConfigurationProvider
	Catalog       zinniatide.CatalogProvider
	Querier       zinniatide.Querier
	Executor      zinniatide.Executor
	Announcer     zinniatide.Announcer
	// Connected reports whether a live link to a VM exists. If it is nil, the
	// address list includes every serving VM.
	Connected func(zinniatide.VMID) bool
	// Operator handles operator requests. It is nil on VMs without the control
	// role.
	Operator   zinniatide.Operator
	Registerer prometheus.Registerer
}

// Gateway serves the HTTP API. It is safe for concurrent use.
type Gateway struct {
	config           Config
	deps             Dependencies
	metrics          *metrics
	server           *fasthttp.Server
	addresses        addressCache
	inFlight         atomic.Int64 // requests in flight
	blockingInFlight atomic.Int64 // requests in flight that count towards MaxRequests
	draining         atomic.Bool
}

// New returns a Gateway. Call Serve to start serving.
func New(config Config, deps Dependencies) (*Gateway, error) {
	config.setDefaults()
	if deps.Clock == nil || deps.Configuration == nil || deps.Catalog == nil || deps.Querier == nil ||
		deps.Executor == nil || deps.Announcer == nil || deps.Registerer == nil {
		return nil, errors.New("gateway: a required dependency is nil")
	}
	g := &Gateway{config: config, deps: deps, metrics: newMetrics(deps.Registerer)}
	g.server = &fasthttp.Server{
		Handler:                      g.handle,
		ErrorHandler:                 g.handleReadError,
		Concurrency:                  config.MaxConnections + 1, // above MaxConnections, which the listener enforces
		ReadBufferSize:               maxHeaderBytes,
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

// Serve accepts connections on listener until Close is called. It takes
// ownership of listener.
func (g *Gateway) Serve(listener net.Listener) error {
	return g.server.Serve(newLimitListener(drainer.New(listener), g.config.MaxConnections, g.metrics.refusedConnections))
}

// drainPollInterval is the interval at which Drain checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

// Drain disables keep-alive, so that callers disconnect after their next
// response, and waits until no request is in flight or ctx is done. New
// requests are still served.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close stops listening, closes idle connections and waits until no request is
// in flight or ctx is done.
func (g *Gateway) Close(ctx context.Context) error {
	g.draining.Store(true)
	return g.server.ShutdownWithContext(ctx)
}

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	start := time.Now() // used only for metrics; deadlines use deps.Clock
	r := &request{RequestCtx: ctx, gateway: g, operation: "unknown", class: otherLabel, workspace: otherLabel}
	g.inFlight.Add(1)
	g.route(r)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	g.inFlight.Add(-1)
	g.metrics.duration.WithLabelValues(r.operation, r.class, r.workspace).Observe(time.Since(start).Seconds())
}

// handleReadError responds to a request that could not be read or parsed.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	r := &request{RequestCtx: ctx, gateway: g, operation: "unreadable"}
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.refuse(zinniatide.Refuse(zinniatide.CodeTooLarge, "request body exceeds %d bytes", zinniatide.MaxRequestBody))
	case errors.As(err, &small):
		r.refuse(zinniatide.Refuse(zinniatide.CodeTooLarge, "request header exceeds %d bytes", maxHeaderBytes))
	case errors.As(err, &timeout) && timeout.Timeout():
		r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "request was not received within %s", g.config.ReadTimeout))
	default:
		r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "request is not valid HTTP/1.1"))
	}
}

// serverLogger writes the messages of the HTTP server to klog.
type serverLogger struct{}

// Printf implements fasthttp.Logger.
func (serverLogger) Printf(format string, args ...any) {
	klog.V(1).InfofDepth(1, format, args...)
}

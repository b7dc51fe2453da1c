// Package exposer serves metrics and profiles on a separate address, so that they
// stay reachable when the addresses for callers are overloaded.
package exposer

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"
)

// Exposer is an HTTP server for GET /metrics and for profiles of the process
// under /debug/pprof/.
type Exposer struct {
	server   *http.Server
	listener net.Listener
}

// Limits of the metrics server.
const (
	maxScrapes    = 4 // concurrent scrapes
	scrapeTimeout = 10 * time.Second
	// profileTimeout is the write timeout. It leaves time to record a CPU profile,
	// which takes 30 s by default.
	profileTimeout = 45 * time.Second
)

// New listens on address, which has the form IP:port, and serves the metrics of
// gatherer.
func New(address string, gatherer prometheus.Gatherer) (*Exposer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes, Timeout: scrapeTimeout,
	}))
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	e := &Exposer{listener: listener, server: &http.Server{
		Handler: mux, ReadTimeout: scrapeTimeout, WriteTimeout: profileTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}}
	go func() {
		if err := e.server.Serve(listener); err != http.ErrServerClosed { //nolint:errorlint // returned as it is
			klog.ErrorS(err, "metrics server failed", "step", "serve metrics", "peer", address)
		}
	}()
	return e, nil
}

// Address returns the IP:port on which the server listens.
func (e *Exposer) Address() string { return e.listener.Addr().String() }

// Close stops listening and waits until no request is in flight or ctx is done.
func (e *Exposer) Close(ctx context.Context) error { return e.server.Shutdown(ctx) }

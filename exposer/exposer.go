// Package exposer serves metrics on an address of their own, so that load on
// the callers' side does not hide them.
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

// Exposer serves GET /metrics, and profiles of the process under
// /debug/pprof/.
type Exposer struct {
	server   *http.Server
	listener net.Listener
}

// Bounds of the metrics server.
const (
	maxScrapes    = 4
	scrapeTimeout = 10 * time.Second
	// profileTimeout bounds the taking of a profile, which lasts 30 s by default.
	profileTimeout = 45 * time.Second
)

// New listens on address, an IP:port, and serves what gatherer collects.
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
			klog.ErrorS(err, "metrics are no longer served", "step", "serve metrics", "peer", address)
		}
	}()
	return e, nil
}

// Address returns the IP:port served on.
func (e *Exposer) Address() string { return e.listener.Addr().String() }

// Close stops serving once open scrapes have ended or ctx has.
func (e *Exposer) Close(ctx context.Context) error { return e.server.Shutdown(ctx) }

// Package emulator implements an emulated backend server for the demo and the
// benchmarks. It implements the HTTP API of docs/openapi.yaml, counts the
// requests and connections that it receives, and can inject faults.
package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Config configures an emulated backend server.
type Config struct {
	Server zinniatide.BackendServerID
	Zone   zinniatide.ZoneID
	// ListenAddress is IP:port; port 0 selects a free port.
	ListenAddress string
	Slots         int
	Connections   int
	Offers        []zinniatide.ServiceOffer
	// ServiceTime is the mean of the exponentially distributed part of a
	// request's run time. MinTime is the constant part, which is added.
	ServiceTime time.Duration
	MinTime     time.Duration
	// LinkDelay is added to the time of every response to emulate the round-trip
	// time of a network.
	LinkDelay time.Duration
	// ConnectDelay delays the first response on each connection to emulate the
	// time to connect. It counts from the accept of the connection.
	ConnectDelay time.Duration
	// Cold is the request rate that the server is supposed to receive at most after
	// a start. Requests beyond it still run and are counted in
	// Counts.BeyondAllowance. With the zero value, the server starts warm.
	Cold zinniatide.ColdStartSetting
	// EntryAddresses are the HTTP addresses of configured entry VMs.
	EntryAddresses []string
	Seed           uint64
}

// Emulator is an emulated backend server.
type Emulator struct {
	cfg         Config
	incarnation atomic.Uint64
	address     string

	mu                sync.Mutex
	rng               *rand.Rand
	server            *fasthttp.Server
	listener          *faultListener
	offers            []zinniatide.ServiceOffer
	coldStart         coldStart
	draining          bool
	slowdown          float64
	running           map[requestKey]chan struct{}
	stopAnnouncing    chan struct{}
	crashText         string // crash on a request whose body contains it; empty to disable
	crashAfterExecute bool   // crash after running the next execute, before responding

	busy   atomic.Int64
	Counts Counts
}

type requestKey struct {
	request     string
	first, last uint32
}

// New returns an emulator that is not started.
func New(cfg Config) *Emulator {
	e := &Emulator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), offers: cfg.Offers, slowdown: 1}
	e.Counts.executed = make(map[string]int)
	return e
}

// Start listens for requests and starts to announce the server with a new
// incarnation.
func (e *Emulator) Start() error {
	address := e.cfg.ListenAddress
	if e.address != "" {
		address = e.address // a restart keeps the port
	}
	inner, err := listen(address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = inner.Addr().String()
	e.incarnation.Store(uint64(time.Now().UnixNano()))
	e.coldStart = newColdStart(e.cfg.Cold)
	e.running = make(map[requestKey]chan struct{})
	e.listener = newFaultListener(inner, e.cfg.Connections, &e.Counts)
	e.server = &fasthttp.Server{
		Handler: e.handle, NoDefaultServerHeader: true, Concurrency: 4096,
		MaxRequestBodySize: zinniatide.MaxRequestBody, IdleTimeout: time.Minute,
		Logger: debugLogger{},
	}
	e.stopAnnouncing = make(chan struct{})
	go func(s *fasthttp.Server, l net.Listener) { _ = s.Serve(l) }(e.server, e.listener)
	go e.announceLoop(e.stopAnnouncing)
	return nil
}

const (
	listenTimeout       = 3 * time.Second
	listenRetryInterval = 20 * time.Millisecond
)

// listen listens on address and retries while the port is in use. The port is
// in the ephemeral range, so that an outgoing connection can occupy it for a
// while when the server restarts.
func listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, zinniatide.WrapStep(err, "listen", address)
		}
	}
}

// debugLogger writes the messages of the HTTP server at debug level. Injected
// crashes break connections, and their errors would flood the output of a
// benchmark.
type debugLogger struct{}

// Printf implements fasthttp.Logger.
func (debugLogger) Printf(format string, args ...any) {
	klog.V(1).InfoS("connection to an emulated backend server failed", "step", "serve", "err", fmt.Sprintf(format, args...))
}

// Crash stops the server immediately, without an orderly shutdown. Start
// restarts it.
func (e *Emulator) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopAnnouncing == nil {
		return
	}
	close(e.stopAnnouncing)
	e.stopAnnouncing = nil
	e.listener.closeAll()
}

// Address returns the IP:port of the server. It is empty before the first start.
func (e *Emulator) Address() string { return e.address }

// ID returns the ID of the server.
func (e *Emulator) ID() zinniatide.BackendServerID { return e.cfg.Server }

// Zone returns the availability zone of the server.
func (e *Emulator) Zone() zinniatide.ZoneID { return e.cfg.Zone }

// Searcher returns the first searcher that the server offers.
func (e *Emulator) Searcher() zinniatide.Searcher {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, offer := range e.offers {
		for _, s := range offer.Searchers {
			return s
		}
	}
	return zinniatide.Searcher{}
}

// SetOffers replaces the services and index versions that the server serves. It
// refuses requests for others.
func (e *Emulator) SetOffers(offers []zinniatide.ServiceOffer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offers = offers
}

// SetDraining sets whether the server announces that it is draining and refuses
// new requests.
func (e *Emulator) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// SetSlowdown multiplies the run time of every request by factor.
func (e *Emulator) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// ResetColdStart resets the server to its cold-start limit without a new
// incarnation.
func (e *Emulator) ResetColdStart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldStart = newColdStart(e.cfg.Cold)
}

// CrashOnBody makes the server crash on every request whose body contains text.
// An empty text disables this.
func (e *Emulator) CrashOnBody(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashText = text
}

// CrashAfterNextExecute makes the server crash after it has run the next
// non-idempotent request, before it responds.
func (e *Emulator) CrashAfterNextExecute() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashAfterExecute = true
}

// FreezeConnections makes all open connections unresponsive for good, without
// closing them, and returns their number. New connections work.
func (e *Emulator) FreezeConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener.silenceAll()
}

// Package emulator implements a stand-in backend server. It speaks the
// published HTTP interface of docs/openapi.yaml, counts everything that the
// measurements need to know, and can be told to fail.
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

// Config describes one stand-in backend server.
type Config struct {
	Server zinniatide.BackendServerID
	Zone   zinniatide.ZoneID
	// ListenAddress is IP:port; port 0 picks a free one.
	ListenAddress string
	Slots         int
	Connections   int
	Offers        []zinniatide.ServiceOffer
	// ServiceTime is the mean of the exponentially distributed part of the
	// run time of a request. MinTime is added to it.
	ServiceTime time.Duration
	MinTime     time.Duration
	// LinkDelay is added to every answer in place of a network's round trip.
	LinkDelay time.Duration
	// ConnectDelay is added to the first answer on each connection.
	ConnectDelay time.Duration
	// Cold bounds what the server can bear after a start. A zero value means
	// that it starts warm.
	Cold zinniatide.ColdStartSetting
	// EntryAddresses are HTTP addresses of entry VMs known from the settings.
	EntryAddresses []string
	Seed           uint64
}

// Emulator is one stand-in backend server.
type Emulator struct {
	cfg         Config
	incarnation atomic.Uint64
	address     string

	mu       sync.Mutex
	rng      *rand.Rand
	server   *fasthttp.Server
	listener *faultListener
	offers   []zinniatide.ServiceOffer
	ramp     ramp
	draining bool
	slow     float64
	running  map[runKey]chan struct{}
	stop     chan struct{}
	crash    string // a body that contains it crashes the server
	diesRun  bool   // dies after running the next execute, before answering

	busy   atomic.Int64
	Counts Counts
}

type runKey struct {
	request     string
	first, last uint32
}

// New returns a stopped emulator.
func New(cfg Config) *Emulator {
	e := &Emulator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), offers: cfg.Offers, slow: 1}
	e.Counts.executed = make(map[string]int)
	return e
}

// Start listens and announces the server with a new incarnation.
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
	e.ramp = newRamp(e.cfg.Cold)
	e.running = make(map[runKey]chan struct{})
	e.listener = newFaultListener(inner, e.cfg.Connections, &e.Counts)
	e.server = &fasthttp.Server{
		Handler: e.handle, NoDefaultServerHeader: true, Concurrency: 4096,
		MaxRequestBodySize: zinniatide.MaxRequestBody, IdleTimeout: time.Minute,
		Logger: quiet{},
	}
	e.stop = make(chan struct{})
	go func(s *fasthttp.Server, l net.Listener) { _ = s.Serve(l) }(e.server, e.listener)
	go e.announceLoop(e.stop)
	return nil
}

const (
	listenTimeout = 3 * time.Second
	listenPause   = 20 * time.Millisecond
)

// listen listens on address. The port of a server that is down is one of those
// that the system gives to outgoing connections, so that a restart can find it
// taken for a while.
func listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenPause) {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, zinniatide.WrapStep(err, "listen", address)
		}
	}
}

// quiet takes the log lines of the HTTP server. A crash on purpose breaks
// connections, and would otherwise fill the output of a measurement.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(format string, args ...any) {
	klog.V(1).InfoS("connection of a stand-in failed", "step", "serve", "err", fmt.Sprintf(format, args...))
}

// Kill ends the server at once, as a crash does. Start brings it back.
func (e *Emulator) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop == nil {
		return
	}
	close(e.stop)
	e.stop = nil
	e.listener.closeAll()
}

// Address returns IP:port once the server was started.
func (e *Emulator) Address() string { return e.address }

// ID returns the server's id.
func (e *Emulator) ID() zinniatide.BackendServerID { return e.cfg.Server }

// Zone returns the server's availability zone.
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

// SetOffers replaces what the server serves; requests for other versions are refused.
func (e *Emulator) SetOffers(offers []zinniatide.ServiceOffer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offers = offers
}

// SetDraining makes the server announce that it drains, and refuse new work.
func (e *Emulator) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// SetSlow multiplies the run time of every request by factor.
func (e *Emulator) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// TurnCold resets what the server can bear without a new incarnation.
func (e *Emulator) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ramp = newRamp(e.cfg.Cold)
}

// SetCrashBody makes every request whose body contains text crash the server.
func (e *Emulator) SetCrashBody(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = text
}

// DieAfterNextExecute makes the server crash after it has run the next
// non-idempotent request, before it answers.
func (e *Emulator) DieAfterNextExecute() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.diesRun = true
}

// SilenceConnections makes all open connections silent for good and returns
// their number. New ones work.
func (e *Emulator) SilenceConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener.silenceAll()
}

package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// server runs the event loops that serve all accepted and dialled connections.
type server struct {
	gnet.BuiltinEventEngine
	linker  *Linker
	address string
	// bootError is set by OnBoot, before the event loops start.
	bootError  error
	bootEngine *gnet.Engine // set by OnBoot, published in engine by OnTick
	// engine is nil while the event loops are not running.
	engine    atomic.Pointer[gnet.Engine]
	ready     chan struct{} // closed once the event loops accept connections
	readyOnce sync.Once
	stopped   chan struct{} // closed once the event loops have ended
	runError  error         // set before stopped is closed

	mu         sync.Mutex
	handshakes handshakeQueue // guarded by mu
}

const (
	// maxHandshakes limits the number of connections without a hello message. The
	// oldest one is closed for each connection above it.
	maxHandshakes = 1024
	// maxUpgradeRequest is the maximum size in bytes of the HTTP request that
	// opens a WebSocket connection.
	maxUpgradeRequest = 4 << 10
	// readBufferSize is the number of bytes that an event loop reads at most in
	// one system call.
	readBufferSize = 256 << 10
	stopTimeout    = 5 * time.Second
	// restartDelay is the time between attempts to restart the event loops.
	restartDelay = 200 * time.Millisecond
)

func newServer(l *Linker) *server {
	return &server{linker: l, ready: make(chan struct{}), stopped: make(chan struct{})}
}

func (s *server) start(address string) error {
	go func() {
		defer close(s.stopped)
		s.runError = s.run(address)
		// gnet ends its event loops, and thereby all links, if an accept fails,
		// for example because the process has no file descriptors left.
		for s.started() && s.linker.ctx.Err() == nil {
			klog.ErrorS(s.runError, "event loops ended; restarting them", "step", "listen", "peer", s.address)
			select {
			case <-s.linker.ctx.Done():
			case <-time.After(restartDelay):
				s.runError = s.run(s.address)
			}
		}
	}()
	select {
	case <-s.ready:
		return nil
	case <-s.stopped:
		return s.runError
	}
}

// run starts the event loops and waits until they end.
func (s *server) run(address string) error {
	// gnet's round-robin balancer has a data race between dials and accepts. The
	// least-connections balancer only reads the list of event loops.
	err := gnet.Run(s, "tcp://"+address,
		gnet.WithNumEventLoop(s.linker.config.EventLoops),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithReadBufferCap(readBufferSize),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithLogger(engineLogger{}))
	s.engine.Store(nil)
	if s.bootError != nil {
		return s.bootError
	}
	return err
}

// started reports whether the event loops have been started successfully.
func (s *server) started() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// OnTick implements gnet.EventHandler. gnet calls it for the first time when all
// event loops are registered; dialled connections can be registered with them
// only from then on. Later calls change nothing, so the interval is long.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	s.engine.Store(s.bootEngine)
	s.readyOnce.Do(func() { close(s.ready) })
	return time.Hour, gnet.None
}

// listenAddress returns the address of the listener, whose port the operating
// system may have chosen.
func listenAddress(engine gnet.Engine) (string, error) {
	fd, err := engine.Dup()
	if err != nil {
		return "", err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (s *server) stop() {
	if !s.started() {
		return
	}
	// With a cancelled context, Stop only signals the event loops. Otherwise it
	// would poll for their end twice a second.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	limit := time.NewTimer(stopTimeout)
	defer limit.Stop()
	for {
		if engine := s.engine.Load(); engine != nil {
			_ = engine.Stop(ctx)
		}
		select {
		case <-s.stopped:
			return
		case <-limit.C:
			klog.ErrorS(nil, "event loops did not stop in time", "step", "close", "peer", s.address)
			return
		case <-time.After(restartDelay): // signal again in case the event loops were restarting
		}
	}
}

// OnBoot implements gnet.EventHandler. gnet calls it before it serves connections.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.bootEngine = &engine
	if s.address == "" {
		s.address, s.bootError = listenAddress(engine)
	}
	if s.bootError != nil || s.linker.ctx.Err() != nil {
		return gnet.Shutdown
	}
	if config := &s.linker.config; config.AdvertiseAddress == "" {
		config.AdvertiseAddress = s.address
	}
	return gnet.None
}

// register hands a dialled connection over to an event loop.
func (s *server) register(ctx context.Context, conn net.Conn, lk *link) error {
	engine := s.engine.Load()
	if engine == nil {
		_ = conn.Close()
		return errEventLoopsStopped
	}
	result, err := engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), lk))
	if err != nil {
		_ = conn.Close()
		return err
	}
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		_ = conn.Close()
		return ctx.Err()
	}
}

// OnOpen implements gnet.EventHandler.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if lk, ok := c.Context().(*link); ok {
		lk.transport = connTransport{c}
		if err := s.linker.installLink(lk); err != nil {
			klog.InfoS("dialled link refused", "step", "hello", "peer", lk.peer, "err", err)
			c.SetContext(nil)
			return nil, gnet.Close
		}
		return nil, gnet.None
	}
	hs := &handshake{conn: c, address: remoteAddress(c), acceptedAt: s.linker.clock.Now()}
	c.SetContext(hs)
	s.mu.Lock()
	if s.handshakes.len() >= maxHandshakes {
		s.closeOldestHandshake()
	}
	s.handshakes.accept(hs)
	s.mu.Unlock()
	if !s.openAccount(hs) {
		s.linker.metrics.refusedConnections.Inc()
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// openAccount counts the connection of hs in the budget. It reports whether there is room
// for it.
func (s *server) openAccount(hs *handshake) bool {
	budget := s.linker.config.Budget
	if budget == nil {
		return true
	}
	peer, _, _ := net.SplitHostPort(hs.address)
	account, ok := budget.Open(peer, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if hs.element == nil {
			return // closed already, or its hello is being answered, which Run ends
		}
		s.handshakes.remove(hs)
		s.linker.metrics.refusedConnections.Inc()
		hs.close()
	})
	hs.account = account
	return ok
}

// closeOldestHandshake closes the connection that has waited longest for its
// hello. A VM sends its hello within milliseconds, so connections that stay silent
// do not keep VMs out. The caller holds the lock.
func (s *server) closeOldestHandshake() {
	oldest := s.handshakes.oldest()
	s.handshakes.remove(oldest)
	s.linker.metrics.refusedConnections.Inc()
	oldest.close()
}

// remoteAddress returns the address of the peer, or "closed" if gnet has already
// released the connection.
func remoteAddress(c gnet.Conn) string {
	if address := c.RemoteAddr(); address != nil {
		return address.String()
	}
	return "closed"
}

// OnClose implements gnet.EventHandler.
func (s *server) OnClose(c gnet.Conn, err error) gnet.Action {
	switch state := c.Context().(type) {
	case *link:
		s.linker.dropLink(state, "connection closed", err)
		if state.account != nil {
			state.account.Close()
		}
	case *handshake:
		if state.account != nil {
			state.account.Close()
		}
		s.mu.Lock()
		s.handshakes.remove(state)
		s.mu.Unlock()
	}
	return gnet.None
}

// claimHandshake takes a connection out of the handshakes, so that it is not closed as
// one of them. It returns false if it is already to be closed.
func (s *server) claimHandshake(hs *handshake) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hs.closing {
		return false
	}
	s.handshakes.remove(hs)
	return true
}

// returnHandshake undoes claimHandshake.
func (s *server) returnHandshake(hs *handshake) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes.add(hs)
}

// closeOverdueHandshakes closes connections that sent no hello in time. It reports
// whether there are connections without a hello.
func (s *server) closeOverdueHandshakes(now zinniatide.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		hs := s.handshakes.oldest()
		if hs == nil {
			return false
		}
		if now-hs.acceptedAt < zinniatide.LinkSilenceTimeout {
			return true
		}
		s.handshakes.remove(hs)
		hs.close()
	}
}

// OnTraffic implements gnet.EventHandler. gnet also calls it after a wake-up.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	switch state := c.Context().(type) {
	case *link:
		return s.serveLink(c, state)
	case *handshake:
		return s.serveHandshake(c, state)
	}
	return gnet.Close
}

func (s *server) serveLink(c gnet.Conn, lk *link) gnet.Action {
	// After a wake-up without new data, the buffer only holds the incomplete
	// message from the previous call.
	if c.InboundBuffered() > lk.partialBytes {
		lk.lastReceived.Store(int64(s.linker.clock.Now()))
		lk.deferWakeUps()
	}
	if err := s.linker.readMessages(c, lk); err != nil {
		reason := reasonDecode
		if errors.Is(err, errPeerClosed) {
			reason, err = "peer closed the link", nil
		}
		s.linker.dropLink(lk, reason, err)
		return gnet.Close
	}
	lk.partialBytes = c.InboundBuffered()
	lk.flush()
	return gnet.None
}

func (s *server) serveHandshake(c gnet.Conn, hs *handshake) gnet.Action {
	if err := s.tryReceiveHello(c, hs); err != nil {
		s.linker.metrics.refusedConnections.Inc()
		klog.InfoS("incoming connection refused", "step", "hello", "peer", hs.address, "err", err)
		return gnet.Close
	}
	if lk, ok := c.Context().(*link); ok {
		return s.serveLink(c, lk)
	}
	return gnet.None
}

// tryReceiveHello calls receiveHello and turns a panic into an error, so that an
// unknown peer cannot end the process. Handlers of messages have no such guard: a
// panic there may leave a lock held or state half changed.
func (s *server) tryReceiveHello(c gnet.Conn, hs *handshake) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.linker.metrics.handshakePanics.Inc()
			err = fmt.Errorf("panic during the handshake: %v", cause)
			klog.ErrorS(err, "panic while serving a connection", "step", "hello", "peer", hs.address, "stack", string(debug.Stack()))
		}
	}()
	return s.receiveHello(c, hs)
}

// receiveHello handles the upgrade request and the hello message of a new
// connection. It does nothing while they are incomplete.
func (s *server) receiveHello(c gnet.Conn, hs *handshake) error {
	if !hs.upgraded {
		ok, err := upgrade(c)
		if err != nil || !ok {
			return err
		}
		hs.upgraded = true
	}
	h, size, ok, err := new(headerReader).peekHeader(c, ws.StateServerSide, maxHelloBytes)
	if err != nil || !ok {
		return err
	}
	if h.OpCode != ws.OpBinary {
		return errors.New("first message is not a hello")
	}
	message, err := c.Peek(size)
	if err != nil {
		return err
	}
	payload := unmask(&h, message)
	peerHello, err := decodeHello(payload)
	_, _ = c.Discard(size)
	if err != nil {
		return err
	}
	if !s.claimHandshake(hs) || hs.account != nil && !hs.account.Run() {
		return errTooManyHandshakes
	}
	lk, err := s.linker.answerHello(c, &peerHello)
	if err != nil {
		return err
	}
	if lk == nil { // the peer closes the connection, or it becomes overdue
		s.returnHandshake(hs)
		if hs.account != nil {
			hs.account.Begin()
		}
		return nil
	}
	lk.account = hs.account
	c.SetContext(lk)
	return nil
}

// upgrade answers the HTTP request that opens a WebSocket connection. It returns
// false while the request is incomplete.
func upgrade(c gnet.Conn) (bool, error) {
	request, err := c.Peek(min(c.InboundBuffered(), maxUpgradeRequest))
	if err != nil {
		return false, err
	}
	end := bytes.Index(request, []byte("\r\n\r\n"))
	if end < 0 {
		if len(request) >= maxUpgradeRequest {
			return false, fmt.Errorf("upgrade request is longer than %d bytes", maxUpgradeRequest)
		}
		return false, nil
	}
	end += 4
	exchange := struct {
		io.Reader
		io.Writer
	}{bytes.NewReader(request[:end]), c}
	if _, err := ws.Upgrade(exchange); err != nil {
		return false, err
	}
	_, err = c.Discard(end)
	return true, err
}

// engineLogger writes gnet's messages to the log.
type engineLogger struct{}

func (engineLogger) Debugf(string, ...any) {}
func (engineLogger) Infof(string, ...any)  {}
func (engineLogger) Warnf(format string, args ...any) {
	klog.InfoS("event loop warning", "step", "event loop", "err", fmt.Sprintf(format, args...))
}
func (engineLogger) Errorf(format string, args ...any) {
	klog.ErrorS(fmt.Errorf(format, args...), "event loop error", "step", "event loop")
}
func (engineLogger) Fatalf(format string, args ...any) {
	klog.ErrorS(fmt.Errorf(format, args...), "event loop failure", "step", "event loop")
}

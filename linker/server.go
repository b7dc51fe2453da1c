package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// server runs the event loops that serve all connections, accepted and
// dialled.
type server struct {
	gnet.BuiltinEventEngine
	owner   *Linker
	address string
	// bootError is set before the event loops start.
	bootError error
	booting   *gnet.Engine
	// engine is nil while no event loops run.
	engine  atomic.Pointer[gnet.Engine]
	running chan struct{} // closed once the event loops accept connections
	tick    sync.Once
	stopped chan struct{} // closed once the event loops have ended
	ended   error         // set before stopped is closed

	mu       sync.Mutex
	visitors map[gnet.Conn]*visitor
}

// visitor is an accepted connection whose hello has not arrived.
type visitor struct {
	since    zinniatide.Millis
	upgraded bool
}

const (
	// maxVisitors bounds the connections without a hello.
	maxVisitors = 1024
	// maxUpgradeRequest bounds the HTTP request that opens a connection.
	maxUpgradeRequest = 4 << 10
	// readBuffer is read by one system call of an event loop.
	readBuffer = 256 << 10
	stopWait   = 5 * time.Second
	// restartPause spaces attempts to serve again after a failure.
	restartPause = 200 * time.Millisecond
)

func newServer(l *Linker) *server {
	return &server{owner: l, running: make(chan struct{}), stopped: make(chan struct{}), visitors: make(map[gnet.Conn]*visitor)}
}

func (s *server) start(address string) error {
	go func() {
		defer close(s.stopped)
		s.ended = s.run(address)
		// gnet ends its event loops when an accept fails, as it does when the
		// process is out of file descriptors. All links are then down.
		for s.started() && s.owner.ctx.Err() == nil {
			klog.ErrorS(s.ended, "event loops ended and are started again", "step", "listen", "peer", s.address)
			select {
			case <-s.owner.ctx.Done():
			case <-time.After(restartPause):
				s.ended = s.run(s.address)
			}
		}
	}()
	select {
	case <-s.running:
		return nil
	case <-s.stopped:
		return s.ended
	}
}

// run serves until the event loops end.
func (s *server) run(address string) error {
	// The choice by least connections only reads the event loops. The
	// round-robin one would be a data race between dials and accepts.
	err := gnet.Run(s, "tcp://"+address,
		gnet.WithNumEventLoop(s.owner.config.EventLoops),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithLogger(engineLogger{}))
	s.engine.Store(nil)
	if s.bootError != nil {
		return s.bootError
	}
	return err
}

// started reports whether the event loops have run before.
func (s *server) started() bool {
	select {
	case <-s.running:
		return true
	default:
		return false
	}
}

// OnTick implements gnet.EventHandler. Its call tells that all event
// loops are registered; before, a dialled connection cannot be given to them.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	s.engine.Store(s.booting)
	s.tick.Do(func() { close(s.running) })
	return time.Hour, gnet.None
}

// listenAddress returns the address in use, which the settings may have left
// to the operating system.
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
	// Stop would poll twice a second for the end. It only signals here.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	limit := time.NewTimer(stopWait)
	defer limit.Stop()
	for {
		if engine := s.engine.Load(); engine != nil {
			_ = engine.Stop(ctx)
		}
		select {
		case <-s.stopped:
			return
		case <-limit.C:
			klog.ErrorS(nil, "event loops did not stop", "step", "close", "peer", s.address)
			return
		case <-time.After(restartPause): // they may have been starting again
		}
	}
}

// OnBoot implements gnet.EventHandler. It runs before any connection is served.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.booting = &engine
	if s.address == "" {
		s.address, s.bootError = listenAddress(engine)
	}
	if s.bootError != nil || s.owner.ctx.Err() != nil {
		return gnet.Shutdown
	}
	if config := &s.owner.config; config.AdvertiseAddress == "" {
		config.AdvertiseAddress = s.address
	}
	return gnet.None
}

// enroll moves a connection that was dialled to an event loop.
func (s *server) enroll(ctx context.Context, conn net.Conn, k *link) error {
	engine := s.engine.Load()
	if engine == nil {
		_ = conn.Close()
		return errNotServing
	}
	result, err := engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), k))
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
	if k, ok := c.Context().(*link); ok {
		k.transport = connTransport{c}
		if err := s.owner.install(k); err != nil {
			klog.InfoS("dialled link not used", "step", "hello", "peer", k.peer, "err", err)
			c.SetContext(nil)
			return nil, gnet.Close
		}
		return nil, gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.visitors) >= maxVisitors {
		s.owner.metrics.refusedVisitors.Inc()
		return nil, gnet.Close
	}
	v := &visitor{since: s.owner.clock.Now()}
	c.SetContext(v)
	s.visitors[c] = v
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *server) OnClose(c gnet.Conn, err error) gnet.Action {
	switch state := c.Context().(type) {
	case *link:
		s.owner.drop(state, "connection closed", err)
	case *visitor:
		s.forget(c)
	}
	return gnet.None
}

func (s *server) forget(c gnet.Conn) {
	s.mu.Lock()
	delete(s.visitors, c)
	s.mu.Unlock()
}

// expire closes connections whose hello is overdue and reports whether others
// wait for theirs.
func (s *server) expire(now zinniatide.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, v := range s.visitors {
		if now-v.since >= zinniatide.LinkSilenceTimeout {
			_ = c.Close()
		}
	}
	return len(s.visitors) > 0
}

// OnTraffic implements gnet.EventHandler. It is also called after a wake-up.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	switch state := c.Context().(type) {
	case *link:
		return s.serveLink(c, state)
	case *visitor:
		return s.serveVisitor(c, state)
	}
	return gnet.Close
}

func (s *server) serveLink(c gnet.Conn, k *link) gnet.Action {
	// A wake-up finds the rest of an incomplete message that was there before.
	if c.InboundBuffered() > k.leftover {
		k.received.Store(int64(s.owner.clock.Now()))
		k.hold()
	}
	if err := s.owner.drain(c, k); err != nil {
		step := stepDecode
		if errors.Is(err, errGoodbye) {
			step, err = "peer closed the link", nil
		}
		s.owner.drop(k, step, err)
		return gnet.Close
	}
	k.leftover = c.InboundBuffered()
	k.pump()
	return gnet.None
}

func (s *server) serveVisitor(c gnet.Conn, v *visitor) gnet.Action {
	err := s.meet(c, v)
	if err != nil {
		s.owner.metrics.refusedVisitors.Inc()
		klog.InfoS("connection refused", "step", "hello", "peer", c.RemoteAddr().String(), "err", err)
		return gnet.Close
	}
	if k, ok := c.Context().(*link); ok {
		return s.serveLink(c, k)
	}
	return gnet.None
}

// meet takes the upgrade request and the hello of a new connection.
func (s *server) meet(c gnet.Conn, v *visitor) error {
	if !v.upgraded {
		ok, err := upgrade(c)
		if err != nil || !ok {
			return err
		}
		v.upgraded = true
	}
	h, size, ok, err := new(headerReader).peekHeader(c, ws.StateServerSide, maxHello)
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
	greeting, err := decodeHello(payload)
	_, _ = c.Discard(size)
	if err != nil {
		return err
	}
	k, err := s.owner.accept(c, &greeting)
	if err != nil || k == nil {
		return err
	}
	s.forget(c)
	c.SetContext(k)
	return nil
}

// upgrade answers the HTTP request that opens a WebSocket connection, once it
// has arrived in full.
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

// engineLogger sends the event loops' own messages to the log.
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

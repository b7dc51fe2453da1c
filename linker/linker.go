// Package linker implements zinniatide.Linker: a mesh of WebSocket connections,
// one per pair of VMs, that carry CBOR frames in both directions.
package linker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
	"zinniatide.example/zinniatide/compressor"
)

// Config configures a Linker. Zero values of optional fields select the
// defaults.
type Config struct {
	Self    zinniatide.VMID
	Process zinniatide.ProcessID
	// ListenAddress is the IP:port to listen on. Port 0 selects a free port.
	ListenAddress string
	// AdvertiseAddress is the IP:port at which peers reach this VM. The
	// default is the listen address.
	AdvertiseAddress string
	// QueueMessages and QueueBytes limit the send queue of each peer. The
	// defaults are 65,536 messages and 32 MiB.
	QueueMessages int
	QueueBytes    int
	// EventLoops is the number of event loop threads that serve connections.
	// The default is 1: with more, each message wakes another thread, which
	// costs a third more CPU time per sub-query.
	EventLoops int
	// VersionMin and VersionMax are the range of protocol versions offered to
	// peers. The default is all versions that this build supports.
	VersionMin, VersionMax uint16
	// DialAddress returns the address to dial for a peer, such as the address of a
	// relay. The default is the peer's own address.
	DialAddress func(peer zinniatide.VMID, address string) string
	// Budget counts the connections that this VM accepts. Without one, they are limited
	// only while they have sent no hello.
	Budget zinniatide.ClientBudget
	// Random adds jitter to redial delays. The default is seeded by the runtime.
	Random *rand.Rand
}

// protocolVersion is incremented when the frame layout changes, not when a
// message gets a new field. Payloads may be compressed from compressionVersion
// on.
const (
	oldestVersion      = 1
	compressionVersion = 2
	protocolVersion    = 2
)

func (c *Config) setDefaults() {
	setDefault(&c.QueueMessages, 1<<16)
	setDefault(&c.QueueBytes, 4*MaxMessageBytes)
	setDefault(&c.EventLoops, 1)
	setDefault(&c.VersionMin, oldestVersion)
	setDefault(&c.VersionMax, protocolVersion)
	if c.DialAddress == nil {
		c.DialAddress = func(_ zinniatide.VMID, address string) string { return address }
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter only
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Linker exchanges messages between this VM and its peers. It is safe for
// concurrent use.
type Linker struct {
	config     Config
	clock      zinniatide.Clock
	metrics    *metrics
	handlers   map[zinniatide.MessageKind]zinniatide.LinkHandler
	server     *server
	local      *link
	ticker     *ticker.Ticker
	compressor *compressor.Compressor // shared by all links
	lastCall   atomic.Uint64
	// dialSequence is the number of the last dial.
	dialSequence atomic.Uint64
	started      atomic.Bool
	ctx          context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup

	mu      sync.RWMutex
	closing bool
	peers   map[zinniatide.VMID]*peerState
	dials   int // number of dials in progress
}

var _ zinniatide.Linker = (*Linker)(nil)

// New returns a Linker. Start starts it.
func New(config Config, clock zinniatide.Clock, registerer prometheus.Registerer) (*Linker, error) {
	if config.Self == "" || len(config.Self) > zinniatide.MaxIDLength {
		return nil, fmt.Errorf("VM id %q must have 1 to %d bytes", config.Self, zinniatide.MaxIDLength)
	}
	if _, err := net.ResolveTCPAddr("tcp", config.ListenAddress); err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	config.setDefaults()
	if config.QueueBytes < MaxMessageBytes {
		return nil, fmt.Errorf("queue of %d bytes cannot hold one message of %d bytes", config.QueueBytes, MaxMessageBytes)
	}
	l := &Linker{
		config:   config,
		clock:    clock,
		metrics:  newMetrics(registerer),
		handlers: make(map[zinniatide.MessageKind]zinniatide.LinkHandler),
		peers:    make(map[zinniatide.VMID]*peerState),
	}
	var err error
	if l.compressor, err = compressor.New(MaxMessageBytes); err != nil {
		return nil, err
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.server = newServer(l)
	l.local = newLocalLink(l)
	l.ticker = ticker.New(clock, l.tick)
	return l, nil
}

// Handle implements zinniatide.Linker. It panics if it is called after Start,
// if the kind already has a handler, or if the kind is reserved for the hello
// exchange.
func (l *Linker) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	if l.started.Load() || l.handlers[kind] != nil || kind == kindHello {
		panic(fmt.Sprintf("linker: cannot register handler of kind %d: linker is started, kind has a handler or kind is reserved", kind))
	}
	l.handlers[kind] = h
}

// Start listens for connections and starts to dial peers.
func (l *Linker) Start() error {
	if !l.started.CompareAndSwap(false, true) {
		return errors.New("linker is already started")
	}
	if err := l.server.start(l.config.ListenAddress); err != nil {
		return zinniatide.WrapStep(err, "listen", l.config.ListenAddress)
	}
	l.running.Add(2)
	go l.local.transport.(*loopback).run()
	go func() {
		defer l.running.Done()
		l.ticker.Run(l.ctx.Done())
	}()
	return nil
}

// Address returns the IP:port of the listener. It is valid after Start.
func (l *Linker) Address() string { return l.server.address }

// Stopped returns a channel that is closed after Close, once the event loops
// have ended.
func (l *Linker) Stopped() <-chan struct{} { return l.server.stopped }

// Send implements zinniatide.Linker. It encodes body before it returns.
func (l *Linker) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	return l.sendFrame(peer, &frameHeader{Kind: kind}, body, 0, nil)
}

// Call implements zinniatide.Linker. It encodes body before it returns. If the
// message cannot be queued, done runs before Call returns; otherwise it runs on
// a goroutine of the linker, or on the one that calls Close. Error replies are
// passed to done as *zinniatide.Refusal.
func (l *Linker) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func(body []byte, err error)) {
	h := &frameHeader{Kind: kind, Call: l.lastCall.Add(1)}
	if err := l.sendFrame(peer, h, body, l.clock.Now()+timeout, done); err != nil {
		done(nil, err)
	}
}

// Connected implements zinniatide.Linker. A VM is always connected to itself.
func (l *Linker) Connected(peer zinniatide.VMID) bool { return l.linkTo(peer) != nil }

func (l *Linker) linkTo(peer zinniatide.VMID) *link {
	if peer == l.config.Self {
		return l.local
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if p := l.peers[peer]; p != nil {
		return p.link
	}
	return nil
}

func (l *Linker) sendFrame(peer zinniatide.VMID, h *frameHeader, body any, until zinniatide.Millis, done func([]byte, error)) error {
	lk := l.linkTo(peer)
	if lk == nil {
		return fmt.Errorf("%w: no link to %s", zinniatide.ErrNotSent, peer)
	}
	b, message, err := encodeFrame(h, body, lk.dialled, lk.compressor())
	if err != nil {
		return fmt.Errorf("%w: %w", zinniatide.ErrNotSent, err)
	}
	err = lk.enqueue(message, h.Call, until, done)
	b.release()
	if done != nil {
		l.ticker.ScheduleAt(until)
	}
	if err == nil {
		l.metrics.sent.Inc()
	}
	return err
}

// handleFrame decodes one frame and passes it to its handler or pending call. It
// runs on the link's event loop. The header is stored in the link, which saves an
// allocation per frame.
func (l *Linker) handleFrame(lk *link, frame []byte) error {
	if l.compressor.IsCompressed(frame) {
		var err error
		if frame, err = l.compressor.Decompress(frame); err != nil {
			return err
		}
	}
	h := &lk.frameHeader
	body, err := parseFrame(frame, h)
	if err != nil {
		return err
	}
	l.metrics.received.Inc()
	if h.Reply {
		lk.completeCall(h, body)
		return nil
	}
	if h.Kind == kindHello {
		return errors.New("unexpected hello on an established link")
	}
	handler := l.handlers[h.Kind]
	switch {
	case h.Call == 0 && handler == nil:
		l.metrics.unknownKinds.Inc()
	case h.Call == 0:
		handler(lk.peer, body, nil)
	case handler == nil:
		l.metrics.unknownKinds.Inc()
		(&replier{link: lk, kind: h.Kind, call: h.Call}).reply(nil,
			zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "message kind %d is not supported", h.Kind))
	default:
		r := &replier{link: lk, kind: h.Kind, call: h.Call}
		handler(lk.peer, body, r.reply)
	}
	return nil
}

// replier sends the reply to a call. Only the first reply is sent.
type replier struct {
	link    *link
	kind    zinniatide.MessageKind
	call    uint64
	replied atomic.Bool
}

func (r *replier) reply(value any, err error) {
	l := r.link.linker
	if !r.replied.CompareAndSwap(false, true) {
		klog.ErrorS(nil, "handler replied twice; dropping the second reply", "step", "reply", "peer", r.link.peer, "kind", r.kind)
		return
	}
	if err == nil {
		h := &frameHeader{Kind: r.kind, Call: r.call, Reply: true}
		b, message, encodeErr := encodeFrame(h, value, r.link.dialled, r.link.compressor())
		if encodeErr == nil {
			r.send(message)
			b.release()
			return
		}
		klog.ErrorS(encodeErr, "failed to encode reply; sending an error reply instead", "step", "reply", "peer", r.link.peer)
		err = encodeErr
	}
	code, errBody := errorReply(err)
	b, message, err := encodeFrame(&frameHeader{Kind: r.kind, Call: r.call, Reply: true, Code: code}, errBody, r.link.dialled, nil)
	if err != nil {
		l.metrics.lostReplies.Inc()
		return
	}
	r.send(message)
	b.release()
}

// send queues the reply. If the queue is full, the reply is dropped and the
// caller's call times out, because waiting here would block an event loop.
func (r *replier) send(message []byte) {
	if r.link.enqueue(message, 0, 0, nil) != nil {
		r.link.linker.metrics.lostReplies.Inc()
		return
	}
	r.link.linker.metrics.sent.Inc()
}

// flushTimeout limits how long Close waits for queued messages to be written.
const flushTimeout = time.Second

// Close writes queued messages, closes all links and stops listening. Calls in
// flight end with ErrLinkLost.
func (l *Linker) Close() {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.closing = true
	l.mu.Unlock()
	if l.started.Load() {
		l.flushLinks()
	}
	for _, lk := range l.links() {
		l.dropLink(lk, "close", nil)
	}
	l.local.close()
	l.cancel()
	l.server.stop()
	l.running.Wait()
}

// flushLinks queues a close frame on every link and waits until the queues are
// written.
func (l *Linker) flushLinks() {
	links := l.links()
	for _, lk := range links {
		lk.sendClose()
	}
	limit := time.NewTimer(flushTimeout)
	defer limit.Stop()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for _, lk := range links {
		for !lk.idle() {
			select {
			case <-poll.C:
			case <-limit.C:
				return
			}
		}
	}
}

// Package linker implements zinniatide.Linker: one WebSocket connection per
// pair of VMs, carrying CBOR frames in both directions.
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

// Config holds the settings of a Linker. Zero values of the optional fields
// select the defaults.
type Config struct {
	Self        zinniatide.VMID
	Incarnation zinniatide.Incarnation
	// ListenAddress is the IP:port to serve on. Port 0 picks a free port.
	ListenAddress string
	// AdvertiseAddress is the IP:port at which peers reach this VM. The
	// default is the address listened on.
	AdvertiseAddress string
	// QueueMessages and QueueBytes bound what waits to be sent to one peer.
	// The defaults are 65,536 messages and 32 MiB.
	QueueMessages int
	QueueBytes    int
	// EventLoops is the number of threads that serve connections. The default
	// is one: with more, each message wakes another thread, which cost a third
	// more processor time per sub-query.
	EventLoops int
	// VersionMin and VersionMax are the protocol versions spoken. The default
	// is those that this build knows.
	VersionMin, VersionMax uint16
	// Route returns the address to dial for a peer, such as that of a relay. By
	// default the peer's own address is dialled.
	Route func(peer zinniatide.VMID, address string) string
	// Random spreads redials. The default is seeded by the runtime.
	Random *rand.Rand
}

// protocolVersion changes when the layout of a frame does. New fields of
// messages do not change it. From compressionVersion on, payloads may be
// compressed.
const (
	oldestVersion      = 1
	compressionVersion = 2
	protocolVersion    = 2
)

func (c *Config) setDefaults() {
	setDefault(&c.QueueMessages, 1<<16)
	setDefault(&c.QueueBytes, 4*MaxMessage)
	setDefault(&c.EventLoops, 1)
	setDefault(&c.VersionMin, oldestVersion)
	setDefault(&c.VersionMax, protocolVersion)
	if c.Route == nil {
		c.Route = func(_ zinniatide.VMID, address string) string { return address }
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

// Linker carries messages between this VM and its peers. It is safe for
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
	started    atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup

	mu      sync.RWMutex
	closing bool
	peers   map[zinniatide.VMID]*peerState
	dials   int // in progress
}

var _ zinniatide.Linker = (*Linker)(nil)

// New returns a Linker that is not started yet.
func New(config Config, clock zinniatide.Clock, registerer prometheus.Registerer) (*Linker, error) {
	if config.Self == "" || len(config.Self) > zinniatide.MaxIDLength {
		return nil, fmt.Errorf("VM id %q must have 1 to %d bytes", config.Self, zinniatide.MaxIDLength)
	}
	if _, err := net.ResolveTCPAddr("tcp", config.ListenAddress); err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	config.setDefaults()
	if config.QueueBytes < MaxMessage {
		return nil, fmt.Errorf("queue of %d bytes cannot hold one message of %d bytes", config.QueueBytes, MaxMessage)
	}
	l := &Linker{
		config:   config,
		clock:    clock,
		metrics:  newMetrics(registerer),
		handlers: make(map[zinniatide.MessageKind]zinniatide.LinkHandler),
		peers:    make(map[zinniatide.VMID]*peerState),
	}
	var err error
	if l.compressor, err = compressor.New(MaxMessage); err != nil {
		return nil, err
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.server = newServer(l)
	l.local = newLocalLink(l)
	l.ticker = ticker.New(clock, l.tick)
	return l, nil
}

// Handle implements zinniatide.Linker. It panics after Start, on a second
// handler for a kind, and on the kind reserved for the hello exchange.
func (l *Linker) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	if l.started.Load() || l.handlers[kind] != nil || kind == kindHello {
		panic(fmt.Sprintf("linker: handler of kind %d registered late or twice, or kind reserved", kind))
	}
	l.handlers[kind] = h
}

// Start listens and begins to dial peers.
func (l *Linker) Start() error {
	if !l.started.CompareAndSwap(false, true) {
		return errors.New("linker started twice")
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

// Address returns the IP:port listened on. It is valid after Start.
func (l *Linker) Address() string { return l.server.address }

// Stopped is closed when the linker serves no more, which is after Close.
func (l *Linker) Stopped() <-chan struct{} { return l.server.stopped }

// Send implements zinniatide.Linker. Body is encoded before Send returns.
func (l *Linker) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	return l.post(peer, &frameHeader{Kind: kind}, body, 0, nil)
}

// Call implements zinniatide.Linker. Body is encoded before Call returns. A
// message that cannot be queued is reported by done before Call returns;
// otherwise done runs on a thread of the linker. Error replies arrive as
// *zinniatide.Refusal.
func (l *Linker) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func(body []byte, err error)) {
	h := &frameHeader{Kind: kind, Call: l.lastCall.Add(1)}
	if err := l.post(peer, h, body, l.clock.Now()+timeout, done); err != nil {
		done(nil, err)
	}
}

// Connected implements zinniatide.Linker. This VM is connected to itself.
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

func (l *Linker) post(peer zinniatide.VMID, h *frameHeader, body any, until zinniatide.Millis, done func([]byte, error)) error {
	k := l.linkTo(peer)
	if k == nil {
		return fmt.Errorf("%w: no link to %s", zinniatide.ErrNotSent, peer)
	}
	s, message, err := encodeFrame(h, body, k.dialled, k.compressor())
	if err != nil {
		return fmt.Errorf("%w: %w", zinniatide.ErrNotSent, err)
	}
	err = k.enqueue(message, h.Call, until, done)
	s.release()
	if done != nil {
		l.ticker.At(until)
	}
	if err == nil {
		l.metrics.sent.Inc()
	}
	return err
}

// receive handles one message on the thread of its link. The header is stored
// in the link, which saves an allocation for each message.
func (l *Linker) receive(k *link, message []byte) error {
	if l.compressor.Compressed(message) {
		var err error
		if message, err = l.compressor.Expand(message); err != nil {
			return err
		}
	}
	h := &k.frame
	body, err := parseFrame(message, h)
	if err != nil {
		return err
	}
	l.metrics.received.Inc()
	if h.Reply {
		k.finish(h, body)
		return nil
	}
	if h.Kind == kindHello {
		return errors.New("second hello")
	}
	handler := l.handlers[h.Kind]
	switch {
	case h.Call == 0 && handler == nil:
		l.metrics.unknownKinds.Inc()
	case h.Call == 0:
		handler(k.peer, body, nil)
	case handler == nil:
		l.metrics.unknownKinds.Inc()
		(&replier{link: k, kind: h.Kind, call: h.Call}).reply(nil,
			zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "message kind %d is not supported", h.Kind))
	default:
		r := &replier{link: k, kind: h.Kind, call: h.Call}
		handler(k.peer, body, r.reply)
	}
	return nil
}

// replier sends the one reply to a call.
type replier struct {
	link    *link
	kind    zinniatide.MessageKind
	call    uint64
	replied atomic.Bool
}

func (r *replier) reply(value any, err error) {
	l := r.link.owner
	if !r.replied.CompareAndSwap(false, true) {
		klog.ErrorS(nil, "handler replied twice; the second reply is dropped", "step", "reply", "peer", r.link.peer, "kind", r.kind)
		return
	}
	if err == nil {
		h := &frameHeader{Kind: r.kind, Call: r.call, Reply: true}
		s, message, encodeErr := encodeFrame(h, value, r.link.dialled, r.link.compressor())
		if encodeErr == nil {
			r.send(message)
			s.release()
			return
		}
		klog.ErrorS(encodeErr, "reply cannot be sent", "step", "reply", "peer", r.link.peer)
		err = encodeErr
	}
	code, f := refusalOf(err)
	s, message, err := encodeFrame(&frameHeader{Kind: r.kind, Call: r.call, Reply: true, Code: code}, f, r.link.dialled, nil)
	if err != nil {
		l.metrics.lostReplies.Inc()
		return
	}
	r.send(message)
	s.release()
}

// send queues the reply. A reply that finds no room is lost: the caller's
// timeout reports it, and waiting here would block an event loop.
func (r *replier) send(message []byte) {
	if r.link.enqueue(message, 0, 0, nil) != nil {
		r.link.owner.metrics.lostReplies.Inc()
		return
	}
	r.link.owner.metrics.sent.Inc()
}

// closeWait bounds how long Close waits for queued messages to leave.
const closeWait = time.Second

// Close sends what is queued, closes all links and stops listening. Calls
// that are in flight get ErrLinkLost.
func (l *Linker) Close() {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.closing = true
	l.mu.Unlock()
	if l.started.Load() {
		l.flush()
	}
	for _, k := range l.links() {
		l.drop(k, "close", nil)
	}
	l.local.fail()
	l.cancel()
	l.server.stop()
	l.running.Wait()
}

// flush says goodbye on every link and waits until it has left.
func (l *Linker) flush() {
	links := l.links()
	for _, k := range links {
		k.sayGoodbye()
	}
	limit := time.NewTimer(closeWait)
	defer limit.Stop()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for _, k := range links {
		for !k.idle() {
			select {
			case <-poll.C:
			case <-limit.C:
				return
			}
		}
	}
}

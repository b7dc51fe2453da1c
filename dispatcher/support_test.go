package dispatcher

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// TestMain checks for leaked goroutines, except those of fasthttp's server and
// client, which only the tests use.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"))
}

// backend is an in-process backend server. Its handler echoes the headers and
// the body, and then calls hook, which may change the answer.
type backend struct {
	server      fasthttp.Server
	address     string
	incarnation atomic.Uint64
	starts      atomic.Int64
	cancels     atomic.Int64
	hook        atomic.Pointer[func(ctx *fasthttp.RequestCtx)]
}

func newBackend(tb testing.TB) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	b := &backend{address: listener.Addr().String()}
	b.incarnation.Store(1)
	b.server.Handler = b.handle
	b.server.NoDefaultServerHeader = true
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = b.server.Serve(listener)
	}()
	tb.Cleanup(func() {
		_ = b.server.Shutdown()
		// Shutdown closes the listener only if Serve has registered it. Otherwise
		// Serve would accept connections for ever.
		_ = listener.Close()
		<-stopped
	})
	return b
}

func (b *backend) handle(ctx *fasthttp.RequestCtx) {
	for _, key := range []string{"X-Request-Id", "X-Index-Version", "X-First-Key", "X-Last-Key"} {
		ctx.Response.Header.SetBytesV(key, ctx.Request.Header.Peek(key))
	}
	ctx.Response.Header.Set("X-Incarnation", fmt.Sprint(b.incarnation.Load()))
	ctx.Response.Header.Set("X-Busy", "1")
	if string(ctx.Path()) == "/v1/cancel" {
		b.cancels.Add(1)
		return
	}
	b.starts.Add(1)
	ctx.SetBody(ctx.Request.Body())
	if f := b.hook.Load(); f != nil {
		(*f)(ctx)
	}
}

func (b *backend) setHook(f func(ctx *fasthttp.RequestCtx)) { b.hook.Store(&f) }

// host is a VM with a dispatcher. It implements the dispatcher's dependencies.
type host struct {
	clock            *clock.Clock
	configuration    atomic.Pointer[zinniatide.Configuration]
	catalog          atomic.Pointer[zinniatide.Catalog]
	lease            atomic.Int64
	mu               sync.Mutex
	released         []zinniatide.Epoch
	warmStateHandler func(from zinniatide.VMID, body []byte, reply func(any, error))
	peer             *host // destination of Call
	vm               zinniatide.VMID
	dispatcher       *Dispatcher
}

func newHost(tb testing.TB, vm zinniatide.VMID, c *clock.Clock) *host {
	h := &host{clock: c, vm: vm}
	h.configuration.Store(configurationOf(1, "a", ""))
	h.catalog.Store(&zinniatide.Catalog{})
	h.lease.Store(1 << 40)
	h.dispatcher = New(Options{
		VM: vm, Process: 1, Clock: c, Configuration: h, Catalog: h, Linker: h,
		Registerer: prometheus.NewRegistry(),
		Release: func(_ zinniatide.ZoneID, _ int, epoch zinniatide.Epoch) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.released = append(h.released, epoch)
		},
	})
	tb.Cleanup(h.dispatcher.Close)
	return h
}

func (h *host) Configuration() *zinniatide.Configuration     { return h.configuration.Load() }
func (h *host) LeaseUntil() zinniatide.Millis                { return zinniatide.Millis(h.lease.Load()) }
func (h *host) Catalog() *zinniatide.Catalog                 { return h.catalog.Load() }
func (h *host) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {}
func (h *host) Connected(zinniatide.VMID) bool               { return true }
func (h *host) Send(zinniatide.VMID, zinniatide.MessageKind, any) error {
	return zinniatide.ErrNotSent
}

func (h *host) Handle(_ zinniatide.MessageKind, handler zinniatide.LinkHandler) {
	h.warmStateHandler = handler
}

func (h *host) Call(_ zinniatide.VMID, _ zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	if h.peer == nil {
		done(nil, zinniatide.ErrNotSent)
		return
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		done(nil, err)
		return
	}
	h.peer.warmStateHandler(h.vm, raw, func(_ any, err error) { done(nil, err) })
}

const testZone = "z"

// instantRamp makes every server warm from the start.
var instantRamp = zinniatide.ColdStartSetting{InitialRate: 1, DoubleAfter: 1, FullRate: 1}

func configurationOf(epoch zinniatide.Epoch, owner, next zinniatide.VMID) *zinniatide.Configuration {
	return configurationWith(epoch, owner, next, instantRamp)
}

func configurationWith(epoch zinniatide.Epoch, owner, next zinniatide.VMID, ramp zinniatide.ColdStartSetting) *zinniatide.Configuration {
	buckets := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
	for i := range buckets {
		buckets[i] = zinniatide.Bucket{Owner: owner, OwnerProcess: 1, NextOwner: next}
	}
	return &zinniatide.Configuration{
		Epoch:    epoch,
		Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{"s": {Slots: 2, Connections: 8, ColdStart: ramp}},
		Buckets:  map[zinniatide.ZoneID][]zinniatide.Bucket{testZone: buckets},
	}
}

func (h *host) setServers(all ...zinniatide.Announcement) {
	c := &zinniatide.Catalog{}
	for _, a := range all {
		c.Servers = append(c.Servers, zinniatide.ServerStatus{Announcement: a, Owner: h.vm})
	}
	h.catalog.Store(c)
}

func announcementOf(b *backend) zinniatide.Announcement {
	return zinniatide.Announcement{
		Server: "b1", Incarnation: zinniatide.Incarnation(b.incarnation.Load()), Zone: testZone, Address: b.address,
		Slots: 2, Connections: 8, Offers: []zinniatide.ServiceOffer{{Service: "s"}},
	}
}

func (h *host) request(id string, timeout zinniatide.Millis) zinniatide.SubRequest {
	return zinniatide.SubRequest{
		RequestID: zinniatide.RequestID(id), Service: "s", Version: 3, Range: zinniatide.KeyRange{First: 0, End: 100},
		Server: "b1", Deadline: h.clock.Now() + timeout, Body: []byte(`{"q":1}`),
	}
}

// connectedServer returns the only server of the table once it has a free
// connection.
func (h *host) connectedServer(tb testing.TB) *server {
	h.dispatcher.Tick()
	s := h.dispatcher.servers.Load().byID["b1"]
	if s == nil {
		tb.Fatal("server b1 is not in the table")
	}
	eventually(tb, "a free connection", s.pool.HasIdleConn)
	return s
}

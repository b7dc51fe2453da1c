package forwarder

import (
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
)

// TestMain excludes the goroutines that the libraries of the link and of the
// stand-in server of the benchmarks leave behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).goTicktock"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).goPurge"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"))
}

// node is one VM: catalogue, dispatcher and link of a forwarder. Messages are
// delivered at once, unless held.
type node struct {
	*Forwarder
	vm       zinniatide.VMID
	peers    map[zinniatide.VMID]*node
	handlers map[zinniatide.MessageKind]zinniatide.LinkHandler
	catalog  *zinniatide.Catalog
	// fail decides what happens to a call: "" delivers it, "not-sent" does not,
	// "lost" loses the link after delivery, "mute" after losing the message.
	fail string
	sent map[zinniatide.MessageKind]int
	// largest is the size of the largest message of results, replies included.
	largest int
	// during runs once, in the next Send before it delivers.
	during func()

	mu        sync.Mutex
	running   []dispatched
	cancelled []zinniatide.BackendServerID
	answer    func(r zinniatide.SubRequest) (zinniatide.SubResult, bool)
}

type dispatched struct {
	request zinniatide.SubRequest
	done    func(zinniatide.SubResult)
}

func (n *node) Dispatch(r zinniatide.SubRequest, done func(zinniatide.SubResult)) func() {
	if n.answer != nil {
		if result, ok := n.answer(r); ok {
			done(result)
			return func() {}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running = append(n.running, dispatched{r, done})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cancelled = append(n.cancelled, r.Server)
	}
}

func (n *node) Catalog() *zinniatide.Catalog        { return n.catalog }
func (n *node) SetPeers(map[zinniatide.VMID]string) {}
func (n *node) Connected(zinniatide.VMID) bool      { return true }
func (n *node) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	n.handlers[kind] = h
}

func (n *node) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	if f := n.during; f != nil {
		n.during = nil
		f()
	}
	n.deliver(peer, kind, body, nil)
	return nil
}

// deliver overwrites the message after the handler has returned, as a link
// may that reuses its buffers.
func (n *node) deliver(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, reply func(any, error)) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.largest = max(n.largest, len(raw))
	n.sent[kind]++
	n.mu.Unlock()
	n.peers[peer].handlers[kind](n.vm, raw, reply)
	clear(raw)
}

func (n *node) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	switch n.fail {
	case "not-sent":
		done(nil, zinniatide.ErrNotSent)
		return
	case "mute":
		done(nil, zinniatide.ErrTimeout)
		return
	}
	n.deliver(peer, kind, body, func(value any, err error) {
		raw, _ := cbor.Marshal(value)
		n.peers[peer].note(len(raw))
		if n.fail == "" {
			done(raw, err)
		}
	})
	if n.fail == "lost" {
		done(nil, zinniatide.ErrLinkLost)
	}
}

func (n *node) note(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.largest = max(n.largest, size)
}

// newPair returns coordinator a and owner b. Server "a1" is owned by a, "b1" to
// "b9" by b, and "x1" by nobody.
func newPair(tb testing.TB, c zinniatide.Clock) (a, b *node) {
	peers := map[zinniatide.VMID]*node{}
	catalog := &zinniatide.Catalog{}
	add := func(id string, owner zinniatide.VMID) {
		catalog.Servers = append(catalog.Servers, zinniatide.ServerStatus{
			Announcement: zinniatide.Announcement{Server: zinniatide.BackendServerID(id)}, Owner: owner})
	}
	add("a1", "a")
	for i := 1; i <= 9; i++ {
		add(fmt.Sprint("b", i), "b")
	}
	add("x1", "")
	for _, vm := range []zinniatide.VMID{"a", "b"} {
		n := &node{vm: vm, peers: peers, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{},
			catalog: catalog, sent: map[zinniatide.MessageKind]int{}}
		n.Forwarder = New(Options{VM: vm, Clock: c, Catalog: n, Linker: n, Dispatcher: n, FirstBatch: 1 << 32})
		peers[vm] = n
		if t, ok := tb.(*testing.T); ok {
			t.Cleanup(n.Close)
		}
	}
	return peers["a"], peers["b"]
}

func requests(c zinniatide.Clock, servers ...string) []zinniatide.SubRequest {
	body := []byte(`{"q":1}`)
	rs := make([]zinniatide.SubRequest, len(servers))
	for i, server := range servers {
		rs[i] = zinniatide.SubRequest{RequestID: "r", Service: "s", Version: 3, Server: zinniatide.BackendServerID(server),
			Range: zinniatide.KeyRange{First: uint32(i), Last: uint32(i + 1)}, Deadline: c.Now() + 1000, Body: body}
	}
	return rs
}

// collector counts the results of a call.
type collector struct {
	results []zinniatide.SubResult
	counts  []int
}

func (c *collector) done(i int, r zinniatide.SubResult) {
	c.results[i] = r
	c.counts[i]++
}

func dispatchAll(n *node, rs []zinniatide.SubRequest) (*collector, func(int)) {
	c := &collector{make([]zinniatide.SubResult, len(rs)), make([]int, len(rs))}
	return c, n.DispatchAll(rs, c.done)
}

func (c *collector) want(t *testing.T, i int, outcome zinniatide.Outcome, code zinniatide.Code) {
	t.Helper()
	if r := c.results[i]; c.counts[i] != 1 || r.Outcome != outcome || r.Code != code {
		t.Errorf("got %d results for %d, the last %v %q, want one %v %q", c.counts[i], i, r.Outcome, r.Code, outcome, code)
	}
}

package forwarder

import (
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
)

// TestMain checks for leaked goroutines, except for those that the libraries of the
// link and of the benchmarks' fake backend server leave running.
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

// fakeVM is one VM with a forwarder. It implements the catalog, dispatcher and link of
// the forwarder. Messages are delivered synchronously.
type fakeVM struct {
	*Forwarder
	vm       zinniatide.VMID
	peers    map[zinniatide.VMID]*fakeVM
	handlers map[zinniatide.MessageKind]zinniatide.LinkHandler
	catalog  *zinniatide.Catalog
	// callFault is the fault of all calls: "" delivers the message and the reply,
	// "not-sent" does not send the message, "lost" delivers the message and then loses
	// the link, and "timeout" loses the message and reports a timeout.
	callFault    string
	sentMessages map[zinniatide.MessageKind]int
	// largestMessage is the size of the largest message sent, including replies.
	largestMessage int
	// beforeSend, if not nil, is called once by the next Send, before it delivers the
	// message.
	beforeSend func()

	mu        sync.Mutex
	running   []dispatchedRequest
	cancelled []zinniatide.BackendServerID
	// respond, if not nil, may answer a sub-request at once. If it returns false, the
	// sub-request is added to running.
	respond func(r zinniatide.SubRequest) (zinniatide.SubResult, bool)
}

type dispatchedRequest struct {
	request zinniatide.SubRequest
	done    func(zinniatide.SubResult)
}

func (v *fakeVM) Dispatch(r zinniatide.SubRequest, done func(zinniatide.SubResult)) func() {
	if v.respond != nil {
		if result, ok := v.respond(r); ok {
			done(result)
			return func() {}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running = append(v.running, dispatchedRequest{r, done})
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.cancelled = append(v.cancelled, r.Server)
	}
}

func (v *fakeVM) Catalog() *zinniatide.Catalog                 { return v.catalog }
func (v *fakeVM) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {}
func (v *fakeVM) Connected(zinniatide.VMID) bool               { return true }
func (v *fakeVM) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	v.handlers[kind] = h
}

func (v *fakeVM) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	if f := v.beforeSend; f != nil {
		v.beforeSend = nil
		f()
	}
	v.deliver(peer, kind, body, nil)
	return nil
}

// deliver passes a message to the handler of peer. Afterwards it overwrites the message,
// because a link may reuse its buffers.
func (v *fakeVM) deliver(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, reply func(any, error)) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	v.mu.Lock()
	v.largestMessage = max(v.largestMessage, len(raw))
	v.sentMessages[kind]++
	v.mu.Unlock()
	v.peers[peer].handlers[kind](v.vm, raw, reply)
	clear(raw)
}

func (v *fakeVM) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	switch v.callFault {
	case "not-sent":
		done(nil, zinniatide.ErrNotSent)
		return
	case "timeout":
		done(nil, zinniatide.ErrTimeout)
		return
	}
	v.deliver(peer, kind, body, func(value any, err error) {
		raw, _ := cbor.Marshal(value)
		v.peers[peer].recordSize(len(raw))
		if v.callFault == "" {
			done(raw, err)
		}
	})
	if v.callFault == "lost" {
		done(nil, zinniatide.ErrLinkLost)
	}
}

func (v *fakeVM) recordSize(size int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.largestMessage = max(v.largestMessage, size)
}

// newVMPair returns coordinator a and owner b. Server "a1" is owned by a and servers "b1"
// to "b9" by b. Server "x1" has no owner.
func newVMPair(tb testing.TB, c zinniatide.Clock) (a, b *fakeVM) {
	peers := map[zinniatide.VMID]*fakeVM{}
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
	return startVM(tb, c, "a", 1, catalog, peers), startVM(tb, c, "b", 2, catalog, peers)
}

// startVM starts a process of a VM in the place of the one in peers.
func startVM(tb testing.TB, c zinniatide.Clock, vm zinniatide.VMID, process zinniatide.ProcessID,
	catalog *zinniatide.Catalog, peers map[zinniatide.VMID]*fakeVM) *fakeVM {
	v := &fakeVM{vm: vm, peers: peers, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{},
		catalog: catalog, sentMessages: map[zinniatide.MessageKind]int{}}
	v.Forwarder = New(Options{VM: vm, Process: process, Clock: c, Catalog: v, Linker: v, Dispatcher: v})
	peers[vm] = v
	if t, ok := tb.(*testing.T); ok {
		t.Cleanup(v.Close)
	}
	return v
}

func newRequests(c zinniatide.Clock, servers ...string) []zinniatide.SubRequest {
	body := []byte(`{"q":1}`)
	rs := make([]zinniatide.SubRequest, len(servers))
	for i, server := range servers {
		rs[i] = zinniatide.SubRequest{RequestID: "r", Service: "s", Version: 3, Server: zinniatide.BackendServerID(server),
			Range: zinniatide.KeyRange{First: uint32(i), End: uint32(i + 1)}, Deadline: c.Now() + 1000, Body: body}
	}
	return rs
}

// collector records the results of a call.
type collector struct {
	results []zinniatide.SubResult
	counts  []int
}

func (c *collector) done(i int, r zinniatide.SubResult) {
	c.results[i] = r
	c.counts[i]++
}

func dispatchAll(n *fakeVM, rs []zinniatide.SubRequest) (*collector, func(int)) {
	c := &collector{make([]zinniatide.SubResult, len(rs)), make([]int, len(rs))}
	return c, n.DispatchAll(rs, c.done)
}

func (c *collector) want(t *testing.T, i int, outcome zinniatide.Outcome, code zinniatide.Code) {
	t.Helper()
	if r := c.results[i]; c.counts[i] != 1 || r.Outcome != outcome || r.Code != code {
		t.Errorf("got %d results for sub-request %d, the last one %v %q, want one result %v %q", c.counts[i], i, r.Outcome, r.Code, outcome, code)
	}
}

package quarantiner_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
	"zinniatide.example/zinniatide/querier"
)

// network connects the fake linkers of several VMs. Messages are delivered
// immediately and in order. The VMs in cut can't send or receive.
type network struct {
	mu       sync.Mutex
	handlers map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	vms      []zinniatide.VMID
	cut      map[zinniatide.VMID]bool
	delay    atomic.Int64 // of replies, in nanoseconds
}

// link implements zinniatide.Linker for one VM.
type link struct {
	net *network
	vm  zinniatide.VMID
}

func (l *link) Handle(k zinniatide.MessageKind, h zinniatide.LinkHandler) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.handlers[l.vm] == nil {
		l.net.handlers[l.vm] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	}
	l.net.handlers[l.vm][k] = h
}

func (l *link) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {}

func (l *link) Connected(zinniatide.VMID) bool { return true }

func (l *link) handler(peer zinniatide.VMID, k zinniatide.MessageKind) zinniatide.LinkHandler {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.cut[peer] || l.net.cut[l.vm] {
		return nil
	}
	return l.net.handlers[peer][k]
}

func (l *link) Send(peer zinniatide.VMID, k zinniatide.MessageKind, body any) error {
	h := l.handler(peer, k)
	if h == nil {
		return zinniatide.ErrNotSent
	}
	encoded, err := cbor.Marshal(body)
	if err == nil {
		h(l.vm, encoded, nil)
	}
	return err
}

func (l *link) Call(peer zinniatide.VMID, k zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	h := l.handler(peer, k)
	if h == nil {
		done(nil, zinniatide.ErrTimeout)
		return
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		done(nil, err)
		return
	}
	h(l.vm, encoded, func(value any, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		reply, err := cbor.Marshal(value)
		time.AfterFunc(time.Duration(l.net.delay.Load()), func() { done(reply, err) })
	})
}

// node is one entry VM.
type node struct {
	quarantiner *quarantiner.Quarantiner
	querier     *querier.Querier
}

// cluster is a set of entry VMs and simulated backend servers. It implements the
// VMs' other dependencies. A server crashes when crashes returns true for the
// body of its request.
type cluster struct {
	*network
	nodes       []node
	conf        *zinniatide.Configuration
	catalog     *zinniatide.Catalog
	crashes     func(body string) bool
	lostServers atomic.Int32
	subRequests atomic.Int32
}

func (c *cluster) Configuration() *zinniatide.Configuration { return c.conf }
func (c *cluster) LeaseUntil() zinniatide.Millis            { return 1 << 40 }
func (c *cluster) Catalog() *zinniatide.Catalog             { return c.catalog }

// DispatchAll implements zinniatide.Forwarder.
func (c *cluster) DispatchAll(rs []zinniatide.SubRequest, done func(int, zinniatide.SubResult)) func(int) {
	for i := range rs {
		c.subRequests.Add(1)
		result := zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(`{"total":0,"hits":[]}`)}
		if c.crashes(string(rs[i].Body)) {
			c.lostServers.Add(1)
			result = zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeServerGone, Crashed: true}
		}
		time.AfterFunc(time.Millisecond, func() { done(i, result) })
	}
	return func(int) {}
}

const shards = 12

func newCluster(n int, crashes func(body string) bool) *cluster {
	setting := zinniatide.IndexVersionSetting{Version: 1, ShardCount: shards}
	c := &cluster{
		network: &network{handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{}, cut: map[zinniatide.VMID]bool{}},
		conf:    &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{"s": {Versions: []zinniatide.IndexVersionSetting{setting}}}},
		catalog: &zinniatide.Catalog{}, crashes: crashes,
	}
	for i, keys := range setting.Shards() {
		for j := range 3 {
			c.catalog.Servers = append(c.catalog.Servers, zinniatide.ServerStatus{Owner: "e0", Announcement: zinniatide.Announcement{
				Server: zinniatide.BackendServerID(fmt.Sprintf("b%d-%d", i, j)), Slots: 2,
				Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{{Version: 1, KeyRange: keys}}}},
			}})
		}
	}
	for i := range n {
		c.vms = append(c.vms, zinniatide.VMID(fmt.Sprintf("e%d", i)))
	}
	k := clock.New()
	for _, vm := range c.vms {
		table := observer.New()
		quarantine := quarantiner.New(quarantiner.DefaultConfig(), quarantiner.Dependencies{VM: vm, Clock: k, Timer: timer.New(),
			Linker: &link{c.network, vm}, ServingVMs: func() []zinniatide.VMID { return c.vms }})
		c.nodes = append(c.nodes, node{quarantine, querier.New(querier.DefaultConfig(), querier.Dependencies{Clock: k, Timer: timer.New(),
			Configurations: c, Forwarder: c, Planner: planner.New(c, c, table, "a", k, 0), Observer: table, Quarantiner: quarantine,
			Random: rand.New(rand.NewPCG(1, 1))})})
	}
	return c
}

// search runs a query at VM i and returns its coverage and refusal.
func (c *cluster) search(i int, body string) (float64, *zinniatide.Refusal) {
	q := c.nodes[i%len(c.nodes)].querier
	answer, err := q.Search(zinniatide.SearchRequest{RequestID: "r", Service: "s", Limit: 1, Deadline: q.Clock.Now() + 3000, Query: []byte(body)})
	var refusal *zinniatide.Refusal
	errors.As(err, &refusal)
	return answer.Coverage.Ratio, refusal
}

// Guards against losing more than two servers to a request that crashes every
// server, when callers resend it to all VMs at the same time, and against
// failing harmless requests meanwhile.
func TestCrashingRequestLosesAtMostTwoServers(t *testing.T) {
	c := newCluster(8, func(body string) bool { return body == "deadly" })
	var refused, unknown, served atomic.Int32
	var group sync.WaitGroup
	for i := range 64 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 3 {
				_, refusal := c.search(i, "deadly")
				switch {
				case refusal == nil:
					t.Error("got an answer to the crashing request")
				case refusal.Outcome == zinniatide.OutcomeNotRun:
					refused.Add(1)
				default:
					unknown.Add(1)
				}
				if ratio, _ := c.search(i, fmt.Sprintf("harmless %d", i%5)); ratio == 1 {
					served.Add(1)
				}
			}
		}()
	}
	group.Wait()
	if c.lostServers.Load() != 2 || unknown.Load() > 2 || refused.Load()+unknown.Load() != 64*3 {
		t.Errorf("got %d servers lost, %d refused, %d unknown, want 2, and at most 2 unknown", c.lostServers.Load(), refused.Load(), unknown.Load())
	}
	if served.Load() != 64*3 {
		t.Errorf("got %d harmless requests served, want %d", served.Load(), 64*3)
	}
}

// Guards against refusing a harmless request because servers that ran it crashed
// for another reason, and against canaries that cost extra sub-requests.
func TestHarmlessRequestIsServedAfterUnrelatedCrashes(t *testing.T) {
	var crashesLeft atomic.Int32
	c := newCluster(4, func(string) bool { return crashesLeft.Add(-1) >= 0 })
	for i := range 40 {
		crashesLeft.Store(int32(i%10) / 9) // every tenth request loses one server
		if ratio, refusal := c.search(i, "harmless"); ratio != 1 {
			t.Fatalf("request %d: got coverage %g, refusal %v", i, ratio, refusal)
		}
	}
	if got, want := int(c.subRequests.Load()), 40*shards+4; got != want {
		t.Errorf("got %d sub-requests, want %d", got, want)
	}
	// After a completed canary the VM that ran it doesn't need the arbiter.
	body := "a"
	for c.nodes[0].quarantiner.Arbiter(quarantiner.Fingerprint("s", []byte(body))) == "e0" {
		body += "a"
	}
	c.search(0, body)
	c.cut["e0"] = true
	if p, _ := c.nodes[0].quarantiner.Acquire(quarantiner.Fingerprint("s", []byte(body)), 1<<40); p.CanaryServers() != 0 {
		t.Errorf("got %d canary servers for a completed request, want none", p.CanaryServers())
	}
}

// Guards against requests that wait for an unreachable arbiter, and against not
// counting the crash of a canary that this VM granted itself.
func TestUnreachableArbiter(t *testing.T) {
	c := newCluster(3, func(body string) bool { return body != "harmless" })
	for _, vm := range c.vms {
		c.cut[vm] = true
	}
	for i := range c.nodes {
		if ratio, refusal := c.search(i, "harmless"); ratio != 1 {
			t.Errorf("VM %d: got %v for a harmless request", i, refusal)
		}
		c.lostServers.Store(0)
		for range 5 {
			c.search(i, fmt.Sprint("deadly ", i))
		}
		if got := c.lostServers.Load(); got != 2 {
			t.Errorf("VM %d: lost %d servers, want 2", i, got)
		}
	}
}

// Guards against a grant that arrives after its query has ended and is held until
// it expires, so that identical requests wait for it.
func TestGrantAfterQueryEnd(t *testing.T) {
	var c *cluster
	var runs atomic.Int32
	// The fifth sub-request, after the canary, loses its server. The arbiter's reply
	// then takes 400 ms, longer than the 300 ms to the query's deadline.
	c = newCluster(2, func(string) bool {
		if runs.Add(1) != 5 {
			return false
		}
		c.delay.Store(int64(400 * time.Millisecond))
		return true
	})
	body := "a"
	for c.nodes[0].quarantiner.Arbiter(quarantiner.Fingerprint("s", []byte(body))) == "e0" {
		body += "a"
	}
	q := c.nodes[0].querier
	answer, err := q.Search(zinniatide.SearchRequest{Service: "s", Deadline: q.Clock.Now() + 300, Query: []byte(body)})
	if err != nil || answer.Coverage.ShardsAnswered != shards-1 {
		t.Fatalf("got %+v, %v, want all shards but one", answer.Coverage, err)
	}
	c.delay.Store(0)
	for i, n := range c.nodes {
		p, refusal := n.quarantiner.Acquire(quarantiner.Fingerprint("s", []byte(body)), q.Clock.Now()+3000)
		if refusal != nil || p.CanaryServers() != 1 {
			t.Errorf("VM %d: got %v, %d canary servers, want 1", i, refusal, p.CanaryServers())
		}
		p.End()
	}
}

// Guards against uncounted crashes when the arbiter fails after granting a canary:
// the holder of the grant must count them and notify the other VMs.
func TestArbiterLostAfterGrant(t *testing.T) {
	c := newCluster(3, nil)
	q, f := c.nodes[0].quarantiner, zinniatide.Fingerprint(1)
	for q.Arbiter(f) == "e0" {
		f++
	}
	p, refusal := q.Acquire(f, q.Clock.Now()+1000)
	if refusal != nil || p.CanaryServers() != 2 {
		t.Fatalf("got %v, %d canary servers, want 2", refusal, p.CanaryServers())
	}
	c.cut[q.Arbiter(f)] = true
	p.ReportCrash(true, nil)
	p.ReportCrash(true, nil)
	p.End()
	for i := range c.nodes {
		if !c.cut[c.vms[i]] && c.nodes[i].quarantiner.Check(f) == nil {
			t.Errorf("VM %d: got no refusal of the quarantined fingerprint", i)
		}
	}
}

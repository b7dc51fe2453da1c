package quotalimiter_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/boottime"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/granter"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/quotalimiter"
)

const workspace zinniatide.WorkspaceID = "w"

var bounds = granter.Bounds{Window: 5000, Overshoot: 0.1, Slack: 20}

// call is a question that a limiter has sent.
type call struct {
	peer    zinniatide.VMID
	request granter.Request
	done    func([]byte, error)
}

func (c *call) answer(t *testing.T, r granter.Reply) {
	t.Helper()
	body, err := encoder.Marshal(&r)
	if err != nil {
		t.Fatal(err)
	}
	c.done(body, nil)
}

// fakeLinks records the calls and the timers of a limiter. It answers none by itself.
type fakeLinks struct {
	t      *testing.T
	calls  []*call
	timers []func()
}

func (l *fakeLinks) Handle(zinniatide.MessageKind, zinniatide.LinkHandler)   {}
func (l *fakeLinks) SetPeers(map[zinniatide.VMID]zinniatide.Peer)            {}
func (l *fakeLinks) Connected(zinniatide.VMID) bool                          { return true }
func (l *fakeLinks) Send(zinniatide.VMID, zinniatide.MessageKind, any) error { return nil }
func (l *fakeLinks) After(_ zinniatide.Millis, f func()) func() {
	l.timers = append(l.timers, f)
	return func() {}
}
func (l *fakeLinks) Call(peer zinniatide.VMID, _ zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		l.t.Fatal(err)
	}
	c := &call{peer: peer, done: done}
	if err := encoder.Unmarshal(raw, &c.request); err != nil {
		l.t.Fatal(err)
	}
	l.calls = append(l.calls, c)
}

// configurations returns a configuration without and one with a limit.
func configurations(vms ...zinniatide.VMID) (before, after *zinniatide.Configuration) {
	before = &zinniatide.Configuration{Epoch: 1, Members: map[zinniatide.VMID]zinniatide.Member{}}
	for _, vm := range vms {
		before.Members[vm] = zinniatide.Member{VM: vm, Zone: "a", Relay: true, State: zinniatide.StateIn}
	}
	limited := *before
	limited.Epoch, limited.RoutingNumber = 2, 1
	limited.Routing = &zinniatide.Routing{Workspaces: []zinniatide.RelayWorkspace{{Workspace: workspace, Rate: 10, Burst: 50}}}
	return before, &limited
}

func newLimiter(t *testing.T, c *clock.Clock) (*quotalimiter.Limiter, *fakeLinks, []zinniatide.VMID) {
	links := &fakeLinks{t: t}
	l := quotalimiter.New(granter.New(granter.Config{VM: "self", Bounds: bounds}), quotalimiter.Dependencies{
		Clock: c, BootTime: c.Now, Timer: links, Linker: links, ConfirmedAt: c.Now, Registerer: prometheus.NewRegistry(),
	})
	before, after := configurations("a", "b", "c")
	l.Install(before)
	l.Install(after)
	return l, links, granter.Ranking(workspace, granter.Counters(after))
}

// take starts a request and returns its decisions so far.
func take(l *quotalimiter.Limiter) (decisions *[]zinniatide.QuotaDecision, cancel func()) {
	decisions = &[]zinniatide.QuotaDecision{}
	return decisions, l.Take(workspace, 10, 50, func(d zinniatide.QuotaDecision) { *decisions = append(*decisions, d) })
}

// Guards against one message for each of several requests, and against a decision of one
// request that is given to another.
func TestWaitingRequestsShareAQuestion(t *testing.T) {
	l, links, ranking := newLimiter(t, clock.NewManual(1000, 0))
	first, _ := take(l)
	second, _ := take(l)
	third, _ := take(l)
	if len(links.calls) != 1 || links.calls[0].peer != ranking[0] || links.calls[0].request.Needed != 1 {
		t.Fatalf("got calls %+v, want one to %s for one token", links.calls, ranking[0])
	}
	links.calls[0].answer(t, granter.Reply{Granted: 1, GrantedAt: 5})
	if len(*first) != 1 || !(*first)[0].Admitted || (*first)[0].ReturnWithin != granter.ReturnTime {
		t.Errorf("got decisions %+v, want one that admits and can be undone for %d ms", *first, granter.ReturnTime)
	}
	if len(links.calls) != 2 || links.calls[1].request.Needed != 2 {
		t.Fatalf("got %d calls, want a second one for two tokens", len(links.calls))
	}
	links.calls[1].answer(t, granter.Reply{Granted: 1, GrantedAt: 6, RetryAfter: 80, Spacing: 100, Epoch: 2})
	if len(*second) != 1 || !(*second)[0].Admitted {
		t.Errorf("got decisions %+v, want one that admits", *second)
	}
	if len(*third) != 1 || !(*third)[0].Exhausted || (*third)[0].RetryAfter != 80 || !strings.Contains((*third)[0].Reason, string(ranking[0])) {
		t.Errorf("got decisions %+v, want one that refuses for 80 ms and names %s", *third, ranking[0])
	}
}

// Guards against a token that is lost with a caller who has left, and against a decision
// after the cancel that nobody expects.
func TestCancelKeepsTheToken(t *testing.T) {
	l, links, _ := newLimiter(t, clock.NewManual(1000, 0))
	left, cancel := take(l)
	cancel()
	links.calls[0].answer(t, granter.Reply{Granted: 1, GrantedAt: 5})
	if len(*left) != 0 {
		t.Errorf("got decisions %+v after cancel, want none", *left)
	}
	next, _ := take(l)
	if len(*next) != 1 || !(*next)[0].Admitted || len(links.calls) != 1 {
		t.Errorf("got decisions %+v and %d calls, want the kept token to be used without another call", *next, len(links.calls))
	}
}

// Guards against requests that wait for a counting VM that is away, and against a 429
// although it is not known whether the quota is used up.
func TestCountingVMAway(t *testing.T) {
	c := clock.NewManual(1000, 0)
	l, links, ranking := newLimiter(t, c)
	first, _ := take(l)
	links.calls[0].done(nil, zinniatide.ErrTimeout)
	if len(links.calls) != 2 || links.calls[1].peer != ranking[1] || links.calls[1].request.Rank != 1 {
		t.Fatalf("got %d calls, want a second one to %s with rank 1", len(links.calls), ranking[1])
	}
	links.calls[1].answer(t, granter.Reply{Granted: 1})
	if len(*first) != 1 || !(*first)[0].Admitted || (*first)[0].ReturnWithin != 0 {
		t.Errorf("got decisions %+v, want one that admits with a token that cannot be given back", *first)
	}
	second, _ := take(l)
	if got := links.calls[2].peer; got != ranking[1] {
		t.Errorf("got a call to %s, want %s while the counting VM is silent", got, ranking[1])
	}
	links.calls[2].answer(t, granter.Reply{Status: granter.NoEmergency})
	links.calls[3].answer(t, granter.Reply{Status: granter.Unconfirmed})
	third, _ := take(l)
	for _, decisions := range []*[]zinniatide.QuotaDecision{second, third} {
		if len(*decisions) != 1 || (*decisions)[0].Admitted || (*decisions)[0].Exhausted || (*decisions)[0].RetryAfter <= 0 {
			t.Errorf("got decisions %+v, want one that says that the quota is not known", *decisions)
		}
	}
	if len(links.calls) != 4 {
		t.Errorf("got %d calls, want 4: a request right after an unknown decision asks nobody", len(links.calls))
	}
	c.Advance(5000)
	take(l)
	if got := links.calls[4].peer; got != ranking[0] {
		t.Errorf("got a call to %s, want %s again after a while", got, ranking[0])
	}
}

// Guards against refusals while a configuration or a handover is on its way.
func TestWaitsForACountingVMThatIsReadySoon(t *testing.T) {
	l, links, ranking := newLimiter(t, clock.NewManual(1000, 0))
	first, _ := take(l)
	links.calls[0].answer(t, granter.Reply{Status: granter.Waiting, Wait: 50})
	for _, f := range links.timers {
		f()
	}
	if len(links.calls) != 2 || links.calls[1].peer != ranking[0] {
		t.Fatalf("got %d calls, want a second one to %s", len(links.calls), ranking[0])
	}
	links.calls[1].answer(t, granter.Reply{Granted: 1, GrantedAt: 5})
	if len(*first) != 1 || !(*first)[0].Admitted {
		t.Errorf("got decisions %+v, want one that admits", *first)
	}
}

// Guards against tokens that outlive their lease because the VM was suspended between
// question and reply.
func TestReplyAfterSuspension(t *testing.T) {
	c := clock.NewManual(1000, 0)
	l, links, _ := newLimiter(t, c)
	first, _ := take(l)
	c.Advance(granter.Lease)
	links.calls[0].answer(t, granter.Reply{Granted: 1, Held: 5, GrantedAt: 5})
	if len(*first) != 0 || len(links.calls) != 2 {
		t.Errorf("got decisions %+v and %d calls, want none and another question", *first, len(links.calls))
	}
}

// Guards against data races, deadlocks and lost decisions between real links, callers and
// timers, and against more requests than the limit allows over both VMs.
func TestLimitersOverLinks(t *testing.T) {
	c := clock.New()
	type host struct {
		linker  *linker.Linker
		limiter *quotalimiter.Limiter
	}
	hosts := map[zinniatide.VMID]*host{}
	for _, vm := range []zinniatide.VMID{"a", "b"} {
		lk, err := linker.New(linker.Config{Self: vm, Process: 1, ListenAddress: "127.0.0.1:0"}, c, prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		h := &host{linker: lk}
		h.limiter = quotalimiter.New(granter.New(granter.Config{VM: vm, Bounds: bounds}), quotalimiter.Dependencies{
			Clock: c, BootTime: boottime.Read, Timer: timer.New(), Linker: lk, ConfirmedAt: c.Now, Registerer: prometheus.NewRegistry(),
		})
		if err := lk.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(lk.Close)
		hosts[vm] = h
	}
	before, after := configurations("a", "b")
	for vm, h := range hosts {
		for other, o := range hosts {
			if other != vm {
				h.linker.SetPeers(map[zinniatide.VMID]zinniatide.Peer{other: {Address: o.linker.Address()}})
			}
		}
		h.limiter.Install(before)
		h.limiter.Install(after)
	}
	for end := c.Now() + 10_000; !hosts["a"].linker.Connected("b") || !hosts["b"].linker.Connected("a"); {
		if c.Now() > end {
			t.Fatal("got no link within 10 s, want one")
		}
		time.Sleep(5 * time.Millisecond)
	}
	const callers, requests = 8, 50
	startedAt := c.Now()
	var mu sync.Mutex
	admitted, decided, returned := 0, 0, 0
	var wg sync.WaitGroup
	for i := range callers {
		vm := []zinniatide.VMID{"a", "b"}[i%2]
		wg.Add(requests)
		go func() {
			for n := range requests {
				hosts[vm].limiter.Take(workspace, 10, 50, func(d zinniatide.QuotaDecision) {
					mu.Lock()
					decided++
					if d.Admitted && n%10 == 0 && d.ReturnWithin > 0 {
						returned++
						mu.Unlock()
						hosts[vm].limiter.Return(workspace)
					} else {
						if d.Admitted {
							admitted++
						}
						mu.Unlock()
					}
					wg.Done()
				})
				time.Sleep(time.Millisecond)
			}
		}()
	}
	wg.Wait()
	elapsed := float64(c.Now()-startedAt) / 1000
	if decided != callers*requests || admitted < 20 {
		t.Errorf("got %d decisions and %d admitted requests, want %d and at least 20", decided, admitted, callers*requests)
	}
	if bound := 50*1.1 + 10*(elapsed+0.5)*1.1 + 20; float64(admitted) > bound {
		t.Errorf("got %d admitted requests in %.2f s, want at most %.0f", admitted, elapsed, bound)
	}
}

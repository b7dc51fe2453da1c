package linker_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/linker"
)

const (
	kindEcho zinniatide.MessageKind = 900 + iota
	kindRefuse
	kindHold
	kindNote
	kindUnhandled
)

// node is a Linker with the handlers that the tests call.
type node struct {
	*linker.Linker
	id       zinniatide.VMID
	clock    *clock.Clock
	registry *prometheus.Registry
	notes    chan string
	held     chan func(any, error)
}

func start(t testing.TB, id zinniatide.VMID, change func(*linker.Config)) *node {
	t.Helper()
	n := &node{id: id, clock: clock.NewManual(1000, 1000), registry: prometheus.NewRegistry(),
		notes: make(chan string, 1000), held: make(chan func(any, error), 1000)}
	config := linker.Config{Self: id, Process: 1, ListenAddress: "127.0.0.1:0", EventLoops: 2}
	if change != nil {
		change(&config)
	}
	var err error
	if n.Linker, err = linker.New(config, n.clock, n.registry); err != nil {
		t.Fatal(err)
	}
	n.Handle(kindEcho, func(_ zinniatide.VMID, body []byte, reply func(any, error)) {
		var text []byte
		if err := encoder.Unmarshal(body, &text); err != nil {
			reply(nil, err)
			return
		}
		reply(text, nil)
	})
	n.Handle(kindRefuse, func(_ zinniatide.VMID, _ []byte, reply func(any, error)) {
		reply(nil, zinniatide.Refuse(zinniatide.CodeShed, "too busy"))
	})
	n.Handle(kindHold, func(_ zinniatide.VMID, _ []byte, reply func(any, error)) { n.held <- reply })
	n.Handle(kindNote, func(from zinniatide.VMID, body []byte, _ func(any, error)) {
		var text []byte
		_ = encoder.Unmarshal(body, &text)
		n.notes <- string(from) + ":" + string(text)
	})
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// pair returns two connected nodes.
func pair(t testing.TB, change func(*linker.Config)) (a, b *node) {
	t.Helper()
	a, b = start(t, "a", change), start(t, "b", change)
	connect(t, a, b)
	return a, b
}

func connect(t testing.TB, a, b *node) {
	t.Helper()
	a.SetPeers(map[zinniatide.VMID]zinniatide.Peer{b.id: {Address: b.Address()}})
	b.SetPeers(map[zinniatide.VMID]zinniatide.Peer{a.id: {Address: a.Address()}})
	eventually(t, "link", func() bool { return a.Connected(b.id) && b.Connected(a.id) })
}

// eventually waits until ok returns true. The limit only ends a test that would
// otherwise hang.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 20000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

type result struct {
	body string
	err  error
}

func (n *node) call(peer zinniatide.VMID, kind zinniatide.MessageKind, body string, timeout zinniatide.Millis) <-chan result {
	c := make(chan result, 2)
	n.Call(peer, kind, []byte(body), timeout, func(reply []byte, err error) {
		var text []byte
		if err == nil {
			err = encoder.Unmarshal(reply, &text)
		}
		c <- result{string(text), err}
	})
	return c
}

func (n *node) metric(t testing.TB, name string) float64 {
	t.Helper()
	families, err := n.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "zinniatide_link_"+name {
			return f.GetMetric()[0].GetCounter().GetValue() + f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// Guards against calls, error replies or one-way messages that work in one
// direction of the connection only, and against a VM that cannot send messages
// to itself.
func TestSendAndCall(t *testing.T) {
	a, b := pair(t, nil)
	for _, c := range []struct {
		from, to *node
	}{{a, b}, {b, a}, {a, a}} {
		name := string(c.from.id + " to " + c.to.id)
		if got := <-c.from.call(c.to.id, kindEcho, name, 1000); got.err != nil || got.body != name {
			t.Errorf("%s: echo got %+v", name, got)
		}
		var refusal *zinniatide.Refusal
		got := <-c.from.call(c.to.id, kindRefuse, "", 1000)
		if !errors.As(got.err, &refusal) || refusal.Code != zinniatide.CodeShed || refusal.Outcome != zinniatide.OutcomeNotRun || refusal.Message != "too busy" {
			t.Errorf("%s: refusal got %v", name, got.err)
		}
		got = <-c.from.call(c.to.id, kindUnhandled, "", 1000)
		if !errors.As(got.err, &refusal) || refusal.Code != zinniatide.CodeMethodNotSupported {
			t.Errorf("%s: unknown kind got %v", name, got.err)
		}
		if err := c.from.Send(c.to.id, kindUnhandled, nil); err != nil {
			t.Errorf("%s: send of an unknown kind: %v", name, err)
		}
		if err := c.from.Send(c.to.id, kindNote, []byte("hi")); err != nil {
			t.Errorf("%s: send: %v", name, err)
		}
		if got, want := <-c.to.notes, string(c.from.id)+":hi"; got != want {
			t.Errorf("%s: note got %q, want %q", name, got, want)
		}
	}
	if got := a.metric(t, "unknown_kinds_total") + b.metric(t, "unknown_kinds_total"); got != 6 {
		t.Errorf("unknown kinds counted %v, want 6", got)
	}
	if err := a.Send("nobody", kindNote, nil); !errors.Is(err, zinniatide.ErrNotSent) {
		t.Errorf("send to an unknown peer got %v", err)
	}
	if got := <-a.call("nobody", kindNote, "", 5); !errors.Is(got.err, zinniatide.ErrNotSent) {
		t.Errorf("call to an unknown peer got %v", got.err)
	}
}

// Guards against replies that reach the wrong caller when concurrent calls of
// different sizes share the connection, and against corrupted messages that span
// two reads.
func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	a, b := pair(t, nil)
	var wait sync.WaitGroup
	for w := range 16 {
		from, to := a, b
		if w%2 == 1 {
			from, to = b, a
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range 100 {
				want := fmt.Sprintf("%d/%d/%s", w, i, strings.Repeat("x", (i*i*37)%70000))
				if got := <-from.call(to.id, kindEcho, want, 60000); got.err != nil || got.body != want {
					t.Errorf("call %d of worker %d: %v, %d bytes, want %d", i, w, got.err, len(got.body), len(want))
					return
				}
			}
		}()
	}
	wait.Wait()
}

// Guards against rejecting messages below the size limit, and against a message
// above the limit that closes the link.
func TestMessageSizeLimit(t *testing.T) {
	a, b := pair(t, nil)
	want := strings.Repeat("y", linker.MaxMessageBytes-64)
	if got := <-a.call("b", kindEcho, want, 60000); got.err != nil || got.body != want {
		t.Errorf("large echo got %d bytes, %v", len(got.body), got.err)
	}
	err := a.Send("b", kindNote, bytes.Repeat([]byte("z"), linker.MaxMessageBytes))
	if !errors.Is(err, zinniatide.ErrNotSent) || !strings.Contains(err.Error(), "limit") {
		t.Errorf("oversized send got %v", err)
	}
	call := a.call("b", kindHold, "", 60000)
	(<-b.held)(bytes.Repeat([]byte("z"), linker.MaxMessageBytes), nil)
	if got := <-call; got.err == nil || !strings.Contains(got.err.Error(), "limit") {
		t.Errorf("oversized reply got %v", got.err)
	}
	if got := <-a.call("b", kindEcho, "ok", 1000); got.err != nil {
		t.Errorf("call after oversized messages got %v", got.err)
	}
}

// Guards against calls that never end, end twice, or get the late reply to
// another call.
func TestTimeoutAndLateReply(t *testing.T) {
	a, b := pair(t, nil)
	call := a.call("b", kindHold, "", 100)
	reply := <-b.held
	a.clock.Advance(100)
	if got := <-call; !errors.Is(got.err, zinniatide.ErrTimeout) {
		t.Errorf("call got %v, want a timeout", got.err)
	}
	reply([]byte("late"), nil)
	reply([]byte("twice"), nil)
	eventually(t, "late reply", func() bool { return a.metric(t, "late_replies_total") == 1 })
	if got := <-a.call("b", kindEcho, "next", 1000); got.body != "next" {
		t.Errorf("next call got %+v", got)
	}
	if len(call) != 0 {
		t.Errorf("call ended twice: %+v", <-call)
	}
}

// Guards against a joining VM that stays unreachable because the VM with the
// smaller id, which is the dialling side, does not know it.
func TestUnknownPeerIsDialledBack(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	b.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"a": {Address: a.Address()}})
	b.clock.Advance(1000)
	eventually(t, "link", func() bool { return a.Connected("b") && b.Connected("a") })
	if got := <-b.call("a", kindEcho, "join", 1000); got.body != "join" {
		t.Errorf("call got %+v", got)
	}
}

// Guards against a link between peers without a common protocol version.
func TestVersionsMustOverlap(t *testing.T) {
	b := start(t, "b", nil)
	newer := start(t, "a", func(c *linker.Config) { c.VersionMin, c.VersionMax = 7, 9 })
	newer.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"b": {Address: b.Address()}})
	eventually(t, "refusal", func() bool { return b.metric(t, "refused_connections_total") > 0 })
	eventually(t, "failed dial", func() bool { return newer.metric(t, "failed_dials_total") > 0 })
	if newer.Connected("b") || b.Connected("a") {
		t.Error("VMs without a common version are connected")
	}
}

// Guards against a lost peer that is not redialled once it is back.
func TestRedial(t *testing.T) {
	a, b := pair(t, nil)
	address := b.Address()
	b.Close()
	eventually(t, "loss", func() bool { return !a.Connected("b") })
	if err := a.Send("b", kindNote, nil); !errors.Is(err, zinniatide.ErrNotSent) {
		t.Errorf("send to a lost peer got %v", err)
	}
	start(t, "b", func(c *linker.Config) { c.Process, c.ListenAddress = 2, address })
	eventually(t, "new link", func() bool { a.clock.Advance(100); return a.Connected("b") })
}

// Guards against a Close that drops queued messages, leaves calls without a
// result, or leaks goroutines.
func TestCloseFlushesAndEndsCalls(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"))
	a, b := start(t, "a", nil), start(t, "b", nil)
	connect(t, a, b)
	call := a.call("b", kindHold, "", 60000)
	<-b.held
	for i := range 500 {
		if err := a.Send("b", kindNote, []byte(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	if got := <-call; !errors.Is(got.err, zinniatide.ErrLinkLost) {
		t.Errorf("call got %v, want ErrLinkLost", got.err)
	}
	for i := range 500 {
		if got, want := <-b.notes, fmt.Sprintf("a:%d", i); got != want {
			t.Fatalf("note got %q, want %q", got, want)
		}
	}
	if err := a.Send("b", kindNote, nil); !errors.Is(err, zinniatide.ErrNotSent) {
		t.Errorf("send after Close got %v", err)
	}
	if err := a.Send("a", kindNote, nil); !errors.Is(err, zinniatide.ErrNotSent) {
		t.Errorf("send to itself after Close got %v", err)
	}
	b.Close()
}

// Guards against an invalid Config that is only detected once there is traffic.
func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, config := range map[string]linker.Config{
		"no id":       {ListenAddress: "127.0.0.1:0"},
		"long id":     {Self: zinniatide.VMID(strings.Repeat("i", 129)), ListenAddress: "127.0.0.1:0"},
		"bad address": {Self: "a", ListenAddress: "127.0.0.1"},
		"small queue": {Self: "a", ListenAddress: "127.0.0.1:0", QueueBytes: 10},
	} {
		if _, err := linker.New(config, clock.New(), prometheus.NewRegistry()); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	b := start(t, "b", nil)
	taken, err := linker.New(linker.Config{Self: "a", ListenAddress: b.Address()}, clock.New(), prometheus.NewRegistry())
	if err == nil {
		err = taken.Start()
	}
	if err == nil {
		t.Error("two linkers listen on one address")
	}
	if n, err := testutil.GatherAndCount(b.registry); err != nil || n == 0 {
		t.Errorf("metrics: %d, %v", n, err)
	}
}

package linker_test

import (
	"errors"
	"sync/atomic"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/linker"
)

// startPeer starts VM "b", which has "a" in its table.
func startPeer(t *testing.T) *node {
	t.Helper()
	b := start(t, "b", nil)
	b.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"a": {}})
	return b
}

// process is a process of VM "a".
type process struct {
	*node
	// cut makes its dials fail.
	cut atomic.Bool
}

// startProcess starts a process of VM "a" that knows b.
func startProcess(t *testing.T, b *node, id zinniatide.ProcessID) *process {
	t.Helper()
	p := &process{}
	p.node = start(t, "a", func(c *linker.Config) {
		c.Process = id
		c.DialAddress = func(_ zinniatide.VMID, address string) string {
			if p.cut.Load() {
				return "127.0.0.1:1"
			}
			return address
		}
	})
	p.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"b": {Address: b.Address()}})
	return p
}

// cutOff ends the link of a process to b and keeps it from dialling.
func (p *process) cutOff(t *testing.T, b *node) {
	t.Helper()
	p.cut.Store(true)
	b.DropLink("a")
	eventually(t, "loss", func() bool { return !p.Connected("b") })
}

// waitForRefusal waits until b has refused another connection, while the clock of a
// goes on.
func waitForRefusal(t *testing.T, b *node, a *process) {
	t.Helper()
	before := b.metric(t, "refused_connections_total")
	eventually(t, "refusal", func() bool {
		a.clock.Advance(100)
		return b.metric(t, "refused_connections_total") > before
	})
}

// waitForLink lets the clocks go on until a has the link to b.
func waitForLink(t *testing.T, b *node, a *process) {
	t.Helper()
	eventually(t, "link", func() bool {
		b.clock.Advance(10)
		a.clock.Advance(10)
		return a.Connected("b") && b.Connected("a")
	})
}

// Guards against a restarted VM that is kept out because its process id is lower than
// that of an earlier process: the ids have no order, as the clock may be set back.
func TestLaterProcessWithLowerID(t *testing.T) {
	b := startPeer(t)
	for _, id := range []zinniatide.ProcessID{9, 5, 7, 1} {
		a := startProcess(t, b, id)
		waitForLink(t, b, a)
		if got := <-a.call("b", kindEcho, "hello", 60000); got.body != "hello" {
			t.Errorf("process %d: call got %+v", id, got)
		}
		a.Close()
		eventually(t, "loss", func() bool { return !b.Connected("a") })
	}
}

// Guards against a restarted VM that waits until the link of its earlier process has
// been silent for long, and against an earlier process that was suspended and takes the
// link back when it continues.
func TestSuspendedProcessIsReplaced(t *testing.T) {
	b := startPeer(t)
	suspended := rawPeer(t, b, 9) // answers no ping
	call := b.call("a", kindHold, "", 60000)
	successor := startProcess(t, b, 5)
	waitForRefusal(t, b, successor)
	waitForLink(t, b, successor)
	if got := <-call; !errors.Is(got.err, zinniatide.ErrLinkLost) {
		t.Errorf("call on the link of the suspended process got %v, want ErrLinkLost", got.err)
	}
	_ = suspended.Close()
	continued := startProcess(t, b, 9)
	waitForRefusal(t, b, continued)
	// The successor loses its link for a moment. The earlier process stays out.
	successor.cutOff(t, b)
	waitForRefusal(t, b, continued)
	successor.cut.Store(false)
	waitForLink(t, b, successor)
	if got := continued.metric(t, "established"); got != 0 {
		t.Errorf("process that was replaced has %v links, want 0", got)
	}
	if got := continued.metric(t, "refused_dials_total"); got < 1 {
		t.Errorf("process that was replaced counts %v refusals of its links, want at least 1", got)
	}
}

// Guards against a process that takes the link of one that is alive. It gets the link
// once the other process has ended, by itself.
func TestLiveProcessKeepsItsLink(t *testing.T) {
	b := startPeer(t)
	first := startProcess(t, b, 5)
	waitForLink(t, b, first)
	second := startProcess(t, b, 9)
	for range 5 {
		waitForRefusal(t, b, second)
		b.clock.Advance(100) // beyond the time for the answer to a probe
		if got := <-first.call("b", kindEcho, "still", 60000); got.body != "still" {
			t.Fatalf("call of the live process got %+v", got)
		}
	}
	first.Close()
	waitForLink(t, b, second)
}

// Guards against a process that stays out although the configuration names it, because
// an earlier process had the link for a while.
func TestRegisteredProcessGetsItsLinkBack(t *testing.T) {
	b := startPeer(t)
	registered := startProcess(t, b, 5)
	waitForLink(t, b, registered)
	registered.cutOff(t, b)
	earlier := startProcess(t, b, 9) // b has not seen it before
	waitForLink(t, b, earlier)
	registered.cut.Store(false)
	waitForRefusal(t, b, registered)
	b.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"a": {Process: 5}})
	waitForLink(t, b, registered)
	waitForRefusal(t, b, earlier)
}

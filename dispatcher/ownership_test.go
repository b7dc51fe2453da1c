package dispatcher

import (
	"net"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/dispatcher/pacer"
)

// coldRamp has levels of 10, 20, 40 and 80 starts per second.
var coldRamp = zinniatide.ColdStartSetting{InitialRate: 10, DoubleAfter: 8, FullRate: 160}

// trial drives cold starts with a manual clock and records each start with the
// bound at that time.
type trial struct {
	t      *testing.T
	clock  *clock.Clock
	starts []zinniatide.Millis
	bounds []uint32
	hosts  []*host
}

// step offers a request to every host and waits until nothing runs.
func (tr *trial) step(b *backend) {
	for _, h := range tr.hosts {
		before := b.starts.Load()
		got := make(results, 1)
		bound := uint32(0)
		s := h.dispatcher.servers.Load().byID["b1"]
		if s != nil {
			bound = s.pace.Rate()
		}
		h.dispatcher.Tick()
		cancel := h.dispatcher.Dispatch(h.request("r", 5000), got.done)
		if s != nil {
			eventually(tr.t, "an end", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.running) == 0 })
		}
		cancel()
		<-got
		for range b.starts.Load() - before {
			tr.starts = append(tr.starts, tr.clock.Now())
			tr.bounds = append(tr.bounds, bound)
		}
	}
	tr.clock.Advance(TickInterval)
}

// check counts the starts in each window that ends with a start.
func (tr *trial) check() {
	for i, end := range tr.starts {
		n := uint32(0)
		for j := i; j >= 0 && tr.starts[j] > end-1000; j-- {
			n++
		}
		if tr.bounds[i] != 0 && n > tr.bounds[i] {
			tr.t.Errorf("got %d starts in the second up to %d, want at most %d", n, end, tr.bounds[i])
		}
	}
}

// TestColdHandOver guards against a bound that is exceeded while a server
// warms up and changes its owner, against two owners that send at once, and
// against a warm-up that starts over.
func TestColdHandOver(t *testing.T) {
	b := newBackend(t)
	c := clock.NewManual(10_000, 0)
	tr := &trial{t: t, clock: c, hosts: []*host{newHost(t, "a", c), newHost(t, "b", c)}}
	from, to := tr.hosts[0], tr.hosts[1]
	from.peer = to
	configure := func(epoch zinniatide.Epoch, owner, next zinniatide.VMID) {
		for _, h := range tr.hosts {
			h.configuration.Store(configurationWith(epoch, owner, next, coldRamp))
		}
	}
	for _, h := range tr.hosts {
		h.list(announcementOf(b))
	}
	configure(1, "a", "")
	from.serverOf(t)
	for range 220 {
		tr.step(b)
	}
	level, _, warm := from.serverOf(t).ramp.State()
	if level == 0 || warm || len(tr.starts) == 0 {
		t.Fatalf("got level %d, warm %v after %d starts, want a server that is warming up", level, warm, len(tr.starts))
	}
	before := len(tr.starts)
	configure(2, "a", "b")
	eventually(t, "the release", func() bool {
		tr.step(b)
		from.mu.Lock()
		defer from.mu.Unlock()
		return len(from.released) > 0
	})
	if got := len(tr.starts); got != before {
		t.Errorf("got %d starts during the move, want 0", got-before)
	}
	if from.released[0] != 2 {
		t.Errorf("got a release under epoch %d, want 2", from.released[0])
	}
	configure(3, "b", "")
	if got, _, _ := to.serverOf(t).ramp.State(); got != level {
		t.Errorf("got level %d at the new owner, want %d", got, level)
	}
	for range 99 {
		tr.step(b)
	}
	if got := len(tr.starts); got != before {
		t.Errorf("got %d starts in the new owner's first second, want 0", got-before)
	}
	for range 300 {
		tr.step(b)
	}
	if len(tr.starts) < before+30 {
		t.Errorf("got only %d starts at the new owner", len(tr.starts)-before)
	}
	tr.check()
}

// TestHandOverInFlight guards against a release while a request runs or a
// connection is open, and against a release that is sent only once.
func TestHandOverInFlight(t *testing.T) {
	h, b, s := newWarmHost(t)
	release := holding(t, b)
	running, queued := make(results, 2), make(results, 2)
	for range 2 {
		h.dispatcher.Dispatch(h.request("r", 1000), running.done)
	}
	h.dispatcher.Dispatch(h.request("r", 1000), queued.done)
	eventually(t, "two starts", func() bool { return b.starts.Load() == 2 })
	h.configuration.Store(configurationOf(2, "a", "b"))
	releases := func() (n int) {
		for range 3 {
			h.dispatcher.Tick()
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.released)
	}
	moved := zinniatide.BucketsPerZone - 1 // the others have no servers
	if got := releases(); got != moved {
		t.Errorf("got %d releases while requests run, want %d", got, moved)
	}
	queued.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	release()
	for range 2 {
		running.want(t, zinniatide.OutcomeDone, "")
	}
	eventually(t, "the release", func() bool { return releases() == moved+1 })
	if n := s.pool.Open(); n != 0 {
		t.Errorf("got %d connections after the release, want 0", n)
	}
	h.clock.Advance(zinniatide.HeartbeatInterval)
	if got := releases(); got != 2*(moved+1) {
		t.Errorf("got %d releases after a heartbeat, want %d", got, 2*(moved+1))
	}
	if n := b.starts.Load(); n != 2 {
		t.Errorf("got %d starts, want 2", n)
	}
}

// TestMovedServer guards against two entries of one server that send at once,
// when it appears at another address.
func TestMovedServer(t *testing.T) {
	other := newBackend(t) // stopped after the host, whose connections it would wait for
	h, b, _ := newWarmHost(t)
	release := holding(t, b)
	got := make(results, 4)
	h.dispatcher.Dispatch(h.request("r", 5000), got.done)
	eventually(t, "a start", func() bool { return b.starts.Load() == 1 })
	other.incarnation.Store(2)
	h.list(announcementOf(other))
	for range 3 {
		h.clock.Advance(pacer.Window / 2)
		h.dispatcher.Tick()
		h.dispatcher.Dispatch(h.request("r", 5000), got.done)
		got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	}
	release()
	got.want(t, zinniatide.OutcomeDone, "")
	h.dispatcher.Tick()
	h.serverOf(t)
	h.dispatcher.Dispatch(h.request("r", 5000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
	if n, m := b.starts.Load(), other.starts.Load(); n != 1 || m != 1 {
		t.Errorf("got %d starts at the old address and %d at the new one, want 1 and 1", n, m)
	}
	// A server that vanishes and comes back is held for one window as well.
	h.list()
	h.dispatcher.Tick()
	h.list(announcementOf(other))
	h.clock.Advance(pacer.Window - 1)
	h.dispatcher.Tick()
	h.dispatcher.Dispatch(h.request("r", 5000), got.done)
	got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	h.clock.Advance(1)
	h.dispatcher.Tick()
	h.serverOf(t)
}

// TestHandOverWhileConnecting guards against a release while a connection is
// being opened, which the server may count against the next owner.
func TestHandOverWhileConnecting(t *testing.T) {
	b := newBackend(t)
	h := newHost(t, "a", clock.NewManual(10_000, 0))
	proceed := make(chan struct{})
	h.dispatcher.o.Dial = func(address string, _ zinniatide.Millis) (net.Conn, error) {
		<-proceed
		return net.Dial("tcp", address)
	}
	h.list(announcementOf(b))
	h.dispatcher.Tick()
	h.configuration.Store(configurationOf(2, "a", "b"))
	releases := func() int {
		h.dispatcher.Tick()
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.released)
	}
	for range 3 {
		releases()
	}
	if got := releases(); got != zinniatide.BucketsPerZone-1 {
		t.Errorf("got %d releases while connecting, want %d", got, zinniatide.BucketsPerZone-1)
	}
	close(proceed)
	eventually(t, "the release", func() bool { return releases() == zinniatide.BucketsPerZone })
}

// TestSuddenSlowness guards against a server that stays warm because its late
// answers, after the deadline, pass for successes.
func TestSuddenSlowness(t *testing.T) {
	b := newBackend(t)
	h := newHost(t, "a", clock.NewManual(10_000, 0))
	h.configuration.Store(configurationWith(1, "a", "", coldRamp))
	h.list(announcementOf(b))
	s := h.serverOf(t)
	s.ramp.Restore(4, 0, true)
	s.pace.SetRate(h.clock.Now(), 0)
	s.health.Restore(5)
	for range 3 {
		if !s.ramp.Warm() {
			t.Error("got cold before the third timeout")
		}
		late := holding(t, b)
		got := make(results, 2)
		h.dispatcher.Dispatch(h.request("r", 200), got.done)
		h.clock.Advance(200)
		h.dispatcher.Tick()
		got.want(t, zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed)
		late()
		eventually(t, "the late answer", s.quiet)
	}
	if s.ramp.Warm() {
		t.Error("got warm after three timeouts, want cold")
	}
}

// TestTurnsCold guards against full load on a restarted server, which shows
// first in an announcement or in an answer.
func TestTurnsCold(t *testing.T) {
	for _, seen := range []string{"announcement", "answer"} {
		t.Run(seen, func(t *testing.T) {
			b := newBackend(t)
			c := clock.NewManual(10_000, 0)
			h := newHost(t, "a", c)
			h.configuration.Store(configurationWith(1, "a", "", coldRamp))
			h.list(announcementOf(b))
			s := h.serverOf(t)
			s.ramp.Restore(4, 0, true)
			s.pace.SetRate(c.Now(), 0)
			tr := &trial{t: t, clock: c, hosts: []*host{h}}
			for range 20 {
				tr.step(b)
			}
			if got := len(tr.starts); got != 20 {
				t.Fatalf("got %d starts on the warm server, want 20", got)
			}
			b.incarnation.Store(2)
			if seen == "announcement" {
				h.list(announcementOf(b))
			} else {
				tr.step(b) // this answer tells
			}
			tr.starts, tr.bounds = nil, nil
			for range 99 {
				tr.step(b)
			}
			if got := len(tr.starts); got != 0 {
				t.Errorf("got %d starts in the first second, want 0", got)
			}
			for range 300 {
				tr.step(b)
			}
			tr.check()
			if got := len(tr.starts); got < 20 {
				t.Errorf("got %d starts in the next 3 s, want at least 20", got)
			}
		})
	}
}

// TestSettlesAfterReplacedOwner guards against work that starts, and a bucket
// that is released, while requests of a replaced process may still hold slots.
func TestSettlesAfterReplacedOwner(t *testing.T) {
	b := newBackend(t)
	c := clock.NewManual(10_000, 0)
	h := newHost(t, "a", c)
	settle := func(epoch zinniatide.Epoch, next zinniatide.VMID) {
		cfg := configurationOf(epoch, "a", next)
		for i := range cfg.Buckets[testZone] {
			cfg.Buckets[testZone][i].Settle = true
		}
		h.configuration.Store(cfg)
		h.dispatcher.Tick()
	}
	h.list(announcementOf(b))
	settle(2, "")
	c.Advance(zinniatide.MaxRequestTime - 1)
	got := make(results, 2)
	h.dispatcher.Dispatch(h.request("early", 5000), got.done)
	got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	settle(3, "b")
	if n := len(h.released); n != 0 {
		t.Errorf("got %d releases while requests may run, want 0", n)
	}
	settle(4, "")
	c.Advance(1)
	h.dispatcher.Tick()
	eventually(t, "a connection", h.serverOf(t).pool.Free)
	h.dispatcher.Dispatch(h.request("late", 5000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
	if n := b.starts.Load(); n != 1 {
		t.Errorf("got %d starts, want 1", n)
	}
}

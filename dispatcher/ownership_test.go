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

// rampTest offers requests with a manual clock and records the time of each
// start and the rate limit at that time.
type rampTest struct {
	t      *testing.T
	clock  *clock.Clock
	starts []zinniatide.Millis
	limits []uint32
	hosts  []*host
}

// step dispatches a request on every host, waits until none is running and
// advances the clock by one tick.
func (tr *rampTest) step(b *backend) {
	for _, h := range tr.hosts {
		before := b.starts.Load()
		got := make(results, 1)
		limit := uint32(0)
		s := h.dispatcher.servers.Load().byID["b1"]
		if s != nil {
			limit = s.pacer.Rate()
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
			tr.limits = append(tr.limits, limit)
		}
	}
	tr.clock.Advance(TickInterval)
}

// check verifies that no window that ends with a start has more starts than the
// limit.
func (tr *rampTest) check() {
	for i, end := range tr.starts {
		n := uint32(0)
		for j := i; j >= 0 && tr.starts[j] > end-1000; j-- {
			n++
		}
		if tr.limits[i] != 0 && n > tr.limits[i] {
			tr.t.Errorf("got %d starts in the second up to %d, want at most %d", n, end, tr.limits[i])
		}
	}
}

// TestHandoverDuringWarmUp guards against exceeding the rate limit when a server
// changes its owner while warming up, against two owners that send at the same
// time, and against a warm-up that starts over.
func TestHandoverDuringWarmUp(t *testing.T) {
	b := newBackend(t)
	c := clock.NewManual(10_000, 0)
	tr := &rampTest{t: t, clock: c, hosts: []*host{newHost(t, "a", c), newHost(t, "b", c)}}
	from, to := tr.hosts[0], tr.hosts[1]
	from.peer = to
	configure := func(epoch zinniatide.Epoch, owner, next zinniatide.VMID) {
		for _, h := range tr.hosts {
			h.configuration.Store(configurationWith(epoch, owner, next, coldRamp))
		}
	}
	for _, h := range tr.hosts {
		h.setServers(announcementOf(b))
	}
	configure(1, "a", "")
	from.connectedServer(t)
	for range 220 {
		tr.step(b)
	}
	level, _, warm := from.connectedServer(t).ramp.State()
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
		t.Errorf("got %d starts during the handover, want 0", got-before)
	}
	if from.released[0] != 2 {
		t.Errorf("got a release under epoch %d, want 2", from.released[0])
	}
	configure(3, "b", "")
	if got, _, _ := to.connectedServer(t).ramp.State(); got != level {
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

// TestHandoverWithRunningRequests guards against releasing a bucket while a
// request runs or a connection is open, and against not repeating the release.
func TestHandoverWithRunningRequests(t *testing.T) {
	h, b, s := newWarmHost(t)
	release := blockAnswers(t, b)
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
	emptyBuckets := zinniatide.BucketsPerZone - 1 // only one bucket has a server
	if got := releases(); got != emptyBuckets {
		t.Errorf("got %d releases while requests run, want %d", got, emptyBuckets)
	}
	queued.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	release()
	for range 2 {
		running.want(t, zinniatide.OutcomeDone, "")
	}
	eventually(t, "the release", func() bool { return releases() == emptyBuckets+1 })
	if n := s.pool.NumOpen(); n != 0 {
		t.Errorf("got %d connections after the release, want 0", n)
	}
	h.clock.Advance(zinniatide.HeartbeatInterval)
	if got := releases(); got != 2*(emptyBuckets+1) {
		t.Errorf("got %d releases after a heartbeat, want %d", got, 2*(emptyBuckets+1))
	}
	if n := b.starts.Load(); n != 2 {
		t.Errorf("got %d starts, want 2", n)
	}
}

// TestServerAddressChange guards against two entries of one server that send at
// the same time after it was announced at another address.
func TestServerAddressChange(t *testing.T) {
	// Created before the host, so that it is shut down after the host has closed
	// its connections. Shutdown waits for them.
	other := newBackend(t)
	h, b, _ := newWarmHost(t)
	release := blockAnswers(t, b)
	got := make(results, 4)
	h.dispatcher.Dispatch(h.request("r", 5000), got.done)
	eventually(t, "a start", func() bool { return b.starts.Load() == 1 })
	other.incarnation.Store(2)
	h.setServers(announcementOf(other))
	for range 3 {
		h.clock.Advance(pacer.Window / 2)
		h.dispatcher.Tick()
		h.dispatcher.Dispatch(h.request("r", 5000), got.done)
		got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	}
	release()
	got.want(t, zinniatide.OutcomeDone, "")
	h.dispatcher.Tick()
	h.connectedServer(t)
	h.dispatcher.Dispatch(h.request("r", 5000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
	if n, m := b.starts.Load(), other.starts.Load(); n != 1 || m != 1 {
		t.Errorf("got %d starts at the old address and %d at the new one, want 1 and 1", n, m)
	}
	// A server that disappears and comes back must also wait for one window.
	h.setServers()
	h.dispatcher.Tick()
	h.setServers(announcementOf(other))
	h.clock.Advance(pacer.Window - 1)
	h.dispatcher.Tick()
	h.dispatcher.Dispatch(h.request("r", 5000), got.done)
	got.want(t, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	h.clock.Advance(1)
	h.dispatcher.Tick()
	h.connectedServer(t)
}

// TestHandoverWhileConnecting guards against releasing a bucket while a
// connection is being opened, which the server may count against the next
// owner's limit.
func TestHandoverWhileConnecting(t *testing.T) {
	b := newBackend(t)
	h := newHost(t, "a", clock.NewManual(10_000, 0))
	proceed := make(chan struct{})
	h.dispatcher.options.Dial = func(address string, _ zinniatide.Millis) (net.Conn, error) {
		<-proceed
		return net.Dial("tcp", address)
	}
	h.setServers(announcementOf(b))
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

// TestTimeoutsTurnServerCold guards against a server that stays warm because
// answers after the deadline are counted as successes.
func TestTimeoutsTurnServerCold(t *testing.T) {
	b := newBackend(t)
	h := newHost(t, "a", clock.NewManual(10_000, 0))
	h.configuration.Store(configurationWith(1, "a", "", coldRamp))
	h.setServers(announcementOf(b))
	s := h.connectedServer(t)
	s.ramp.Restore(4, 0, true)
	s.pacer.SetRate(h.clock.Now(), 0)
	s.detector.Restore(5)
	for range 3 {
		if !s.ramp.Warm() {
			t.Error("got cold before the third timeout")
		}
		release := blockAnswers(t, b)
		got := make(results, 2)
		h.dispatcher.Dispatch(h.request("r", 200), got.done)
		h.clock.Advance(200)
		h.dispatcher.Tick()
		got.want(t, zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed)
		release()
		eventually(t, "the late answer", s.idle)
	}
	if s.ramp.Warm() {
		t.Error("got warm after three timeouts, want cold")
	}
}

// TestRestartTurnsServerCold guards against sending full load to a restarted
// server. An announcement or an answer may be the first to show the new
// incarnation.
func TestRestartTurnsServerCold(t *testing.T) {
	for _, source := range []string{"announcement", "answer"} {
		t.Run(source, func(t *testing.T) {
			b := newBackend(t)
			c := clock.NewManual(10_000, 0)
			h := newHost(t, "a", c)
			h.configuration.Store(configurationWith(1, "a", "", coldRamp))
			h.setServers(announcementOf(b))
			s := h.connectedServer(t)
			s.ramp.Restore(4, 0, true)
			s.pacer.SetRate(c.Now(), 0)
			tr := &rampTest{t: t, clock: c, hosts: []*host{h}}
			for range 20 {
				tr.step(b)
			}
			if got := len(tr.starts); got != 20 {
				t.Fatalf("got %d starts on the warm server, want 20", got)
			}
			b.incarnation.Store(2)
			if source == "announcement" {
				h.setServers(announcementOf(b))
			} else {
				tr.step(b) // the answer has the new incarnation
			}
			tr.starts, tr.limits = nil, nil
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

// TestWaitsForReplacedOwner guards against starting work, or releasing a bucket,
// while requests of a replaced owner may still occupy slots.
func TestWaitsForReplacedOwner(t *testing.T) {
	b := newBackend(t)
	c := clock.NewManual(10_000, 0)
	h := newHost(t, "a", c)
	settle := func(epoch zinniatide.Epoch, next zinniatide.VMID) {
		cfg := configurationOf(epoch, "a", next)
		for i := range cfg.Buckets[testZone] {
			cfg.Buckets[testZone][i].DelayStart = true
		}
		h.configuration.Store(cfg)
		h.dispatcher.Tick()
	}
	h.setServers(announcementOf(b))
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
	eventually(t, "a connection", h.connectedServer(t).pool.HasIdleConn)
	h.dispatcher.Dispatch(h.request("late", 5000), got.done)
	got.want(t, zinniatide.OutcomeDone, "")
	if n := b.starts.Load(); n != 1 {
		t.Errorf("got %d starts, want 1", n)
	}
}

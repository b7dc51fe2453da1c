package granter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/granter"
)

func ranking(c *zinniatide.Configuration) []zinniatide.VMID {
	return granter.Ranking(testWorkspace, granter.Counters(c))
}

// Guards against refusals of a workspace within its quota in undisturbed operation: at a
// low rate through many VMs, in bursts, and moving from VM to VM.
func TestWorkspaceWithinItsQuotaIsServed(t *testing.T) {
	for _, row := range []struct {
		name        string
		rate, burst float64
		// each sends one group of requests every interval to VMs of pick.
		group    int
		interval zinniatide.Millis
		pick     func(f *fleet, n int) *vm
	}{
		{"0.5 requests/s through 78 VMs", 0.5, 1, 1, 2000, func(f *fleet, _ int) *vm { return f.vms[f.random.IntN(len(f.vms))] }},
		{"0.5 requests/s of 2 through 78 VMs", 2, 5, 1, 2000, func(f *fleet, _ int) *vm { return f.vms[f.random.IntN(len(f.vms))] }},
		{"bursts of 20 on many VMs", 10, 20, 20, 2000, func(f *fleet, _ int) *vm { return f.vms[f.random.IntN(len(f.vms))] }},
		{"bursts of 20 on one VM", 10, 20, 20, 2000, func(f *fleet, _ int) *vm { return f.vms[3] }},
		{"moving from VM to VM", 50, 10, 1, 20, func(f *fleet, n int) *vm { return f.vms[n/100%len(f.vms)] }},
		{"steady at nine tenths of the limit", 100, 20, 9, 100, func(f *fleet, _ int) *vm { return f.vms[f.random.IntN(len(f.vms))] }},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(78, 3, rand.New(rand.NewPCG(1, 2)), plant{}) //nolint:gosec // fixed seed
			f.setLimits(zinniatide.RelayWorkspace{Workspace: testWorkspace, Rate: row.rate, Burst: row.burst})
			f.runUntil(f.now + 1000)
			sent := 0
			for i := range int(60_000 / row.interval) {
				f.after(zinniatide.Millis(i)*row.interval, func() {
					for range row.group {
						f.request(row.pick(f, sent), testWorkspace)
						sent++
					}
				})
			}
			f.runUntil(f.now + 62_000)
			if refused := f.outcome["exhausted"] + f.outcome["unknown"]; refused*100 >= sent {
				t.Errorf("got %d of %d requests refused, want fewer than 1 in 100; outcomes %v", refused, sent, f.outcome)
			}
			t.Logf("%d requests, %d messages, %d bytes", sent, f.messages, f.bytes)
		})
	}
}

// Guards against refusals of a workspace within its quota while all VMs are restarted by
// plan: the counting VMs hand their buckets over. Each restart of a counting VM may cost
// the time until the configuration has reached all VMs.
func TestPlannedRestartsHandOver(t *testing.T) {
	f := newFleet(24, 3, rand.New(rand.NewPCG(3, 4)), plant{}) //nolint:gosec // fixed seed
	f.setLimits(zinniatide.RelayWorkspace{Workspace: testWorkspace, Rate: 50, Burst: 10})
	f.runUntil(f.now + 1000)
	for i, m := range f.vms {
		f.after(zinniatide.Millis(i)*1000, m.restart)
	}
	sent := 0
	for i := range 28_000 / 25 {
		f.after(zinniatide.Millis(i)*25, func() {
			if m := f.vms[f.random.IntN(len(f.vms))]; !m.down && !m.leaving {
				f.request(m, testWorkspace)
				sent++
			}
		})
	}
	f.runUntil(f.now + 30_000)
	if refused := f.outcome["exhausted"] + f.outcome["unknown"]; refused*100 >= sent {
		t.Errorf("got %d of %d requests refused, want fewer than 1 in 100; outcomes %v", refused, sent, f.outcome)
	}
}

// Guards against a Retry-After at which there is no token, and against callers that are
// all told to come back at the same time.
func TestCallersThatReturnWhenToldFindATokenMostly(t *testing.T) {
	f := newFleet(30, 3, rand.New(rand.NewPCG(5, 6)), plant{}) //nolint:gosec // fixed seed
	f.setLimits(zinniatide.RelayWorkspace{Workspace: testWorkspace, Rate: 10, Burst: 5})
	f.runUntil(f.now + 1000)
	const callers = 100
	attempts, served := 0, 0
	times := map[zinniatide.Millis]int{}
	var try func()
	try = func() {
		attempts++
		f.vms[f.random.IntN(len(f.vms))].limiter.Take(testWorkspace, 10, 5, func(d zinniatide.QuotaDecision) {
			if d.Admitted {
				served++
				return
			}
			at := f.now + d.RetryAfter
			times[at/100]++
			f.after(d.RetryAfter, try)
		})
	}
	for range callers {
		try()
	}
	f.runUntil(f.now + 30_000)
	if served != callers {
		t.Errorf("got %d of %d callers served after 30 s, want all: the limit allows 300", served, callers)
	}
	if attempts > 3*callers {
		t.Errorf("got %d attempts, want at most 3 for each of %d callers", attempts, callers)
	}
	for at, n := range times {
		if n > callers/5 {
			t.Errorf("got %d callers told to come back within the 100 ms from %d, want them spread", n, at*100)
		}
	}
	t.Logf("%d attempts, %d different times", attempts, len(times))
}

// Guards against a message on the path of a request whose workspace is far below its
// limit and was served on the same VM a short time before.
func TestNoMessageFarBelowTheLimit(t *testing.T) {
	f := newFleet(30, 3, rand.New(rand.NewPCG(7, 8)), plant{}) //nolint:gosec // fixed seed
	f.setLimits(zinniatide.RelayWorkspace{Workspace: testWorkspace, Rate: 100, Burst: 20})
	f.runUntil(f.now + 1000)
	m := f.vms[5]
	sent, waited := 0, 0
	for i := range 200 {
		// Between 20 and 1,500 ms after the request before.
		f.after(zinniatide.Millis(i*770+f.random.IntN(700)), func() {
			sent++
			decided := false
			m.limiter.Take(testWorkspace, 100, 20, func(d zinniatide.QuotaDecision) {
				decided = true
				f.record(testWorkspace, d)
			})
			if !decided {
				waited++
			}
		})
	}
	f.runUntil(f.now + 156_000)
	if waited != 1 || f.outcome["admitted"] != sent {
		t.Errorf("got %d requests that waited for a message, want only the first; outcomes %v", waited, f.outcome)
	}
}

// BenchmarkMessages reports messages and bytes of a fleet in which every VM serves a number
// of limited workspaces all the time, per VM and second.
func BenchmarkMessages(b *testing.B) {
	for _, workspaces := range []int{0, 1, 11} {
		for _, perSecond := range []int{1, 10} {
			b.Run(fmt.Sprintf("workspaces=%d/requests=%d", workspaces, perSecond), func(b *testing.B) {
				const vms, seconds = 40, 20
				for b.Loop() {
					f := newFleet(vms, 3, rand.New(rand.NewPCG(9, 10)), plant{}) //nolint:gosec // fixed seed
					table := []zinniatide.RelayWorkspace{{Workspace: "free"}}
					for i := range workspaces {
						table = append(table, zinniatide.RelayWorkspace{Workspace: zinniatide.WorkspaceID(fmt.Sprintf("workspace-%03d", i)), Rate: 2000, Burst: 500})
					}
					f.setLimits(table...)
					f.runUntil(f.now + 1000)
					f.messages, f.bytes = 0, 0
					for _, w := range table {
						for _, m := range f.vms {
							for i := range perSecond * seconds {
								f.after(zinniatide.Millis((i*1000+f.random.IntN(1000))/perSecond), func() { f.request(m, w.Workspace) })
							}
						}
					}
					f.runUntil(f.now + seconds*1000)
					b.ReportMetric(float64(f.messages)/vms/seconds, "messages/VM/s")
					b.ReportMetric(float64(f.bytes)/vms/seconds, "bytes/VM/s")
				}
			})
		}
	}
}

// BenchmarkTake measures the answer to one question on the counting VM.
func BenchmarkTake(b *testing.B) {
	g := newCounting(granter.Limit{Rate: 1e6, Burst: 1000})
	vms := make([]zinniatide.VMID, 200)
	for i := range vms {
		vms[i] = zinniatide.VMID(fmt.Sprint("vm", i))
	}
	r := take(1)
	r.Extra = 2
	now := zinniatide.Millis(1000)
	for i := 0; b.Loop(); i++ {
		if i%10 == 0 {
			now++
		}
		g.Take(vms[i%len(vms)], r, now, now)
	}
}

// BenchmarkInstall measures a configuration with 5,000 limited workspaces and nine VMs that
// count.
func BenchmarkInstall(b *testing.B) {
	c := &granter.Configuration{Limits: map[zinniatide.WorkspaceID]granter.Limit{}}
	for i := range 5000 {
		c.Limits[zinniatide.WorkspaceID(fmt.Sprint("workspace-", i))] = granter.Limit{Number: 1, Rate: 10}
	}
	for i := range 9 {
		c.Counters = append(c.Counters, zinniatide.VMID(fmt.Sprintf("10.0.0.%d:7260", i)))
	}
	g := granter.New(granter.Config{VM: c.Counters[0], Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}})
	for now := zinniatide.Millis(1000); b.Loop(); now++ {
		next := *c
		next.Epoch, next.Number = zinniatide.Epoch(now), zinniatide.TicketNumber(now) //nolint:gosec // positive
		g.Install(&next, now, now)
	}
}

// Guards against a workspace that sends more than its limit and gets much less than that.
func TestWorkspaceBeyondItsQuotaGetsItsRate(t *testing.T) {
	for _, row := range []struct {
		name        string
		rate, burst float64
		load        float64
		vms         int
	}{
		{"one VM, slightly beyond", 200, 20, 1.2, 1},
		{"one VM, far beyond", 200, 0, 5, 1},
		{"30 VMs, slightly beyond", 200, 20, 1.2, 30},
		{"30 VMs, far beyond", 200, 100, 5, 30},
		{"30 VMs, low rate", 5, 5, 3, 30},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(30, 3, rand.New(rand.NewPCG(11, 12)), plant{}) //nolint:gosec // fixed seed
			f.setLimits(zinniatide.RelayWorkspace{Workspace: testWorkspace, Rate: row.rate, Burst: row.burst})
			f.runUntil(f.now + 1000)
			const seconds = 20
			for i := range int(row.rate * row.load * seconds) {
				f.after(zinniatide.Millis(float64(i)*1000/row.rate/row.load), func() { f.request(f.vms[f.random.IntN(row.vms)], testWorkspace) })
			}
			f.runUntil(f.now + seconds*1000)
			if got, want := float64(f.outcome["admitted"]), 0.9*row.rate*seconds; got < want {
				t.Errorf("got %v admitted requests, want at least %v; outcomes %v", got, want, f.outcome)
			}
			t.Logf("outcomes %v, %d messages", f.outcome, f.messages)
		})
	}
}

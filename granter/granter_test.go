package granter_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/granter"
)

const (
	self  zinniatide.VMID = "self"
	other zinniatide.VMID = "other"
)

// configuration returns one in which vm counts the test workspace.
func configuration(epoch zinniatide.Epoch, number zinniatide.TicketNumber, vm zinniatide.VMID, limit granter.Limit) *granter.Configuration {
	limit.Number = number
	return &granter.Configuration{Epoch: epoch, Number: number, Counters: []zinniatide.VMID{vm},
		Limits: map[zinniatide.WorkspaceID]granter.Limit{testWorkspace: limit}}
}

// newCounting returns a Granter that may grant tokens from 1000 on.
func newCounting(limit granter.Limit) *granter.Granter {
	g := granter.New(granter.Config{VM: self, Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}})
	g.Install(&granter.Configuration{Epoch: 1}, 900, 900)
	g.Install(configuration(2, 1, self, limit), 1000, 1000)
	return g
}

func take(needed int) granter.Request {
	return granter.Request{Workspace: testWorkspace, Needed: needed, Limit: granter.Limit{Number: 1}}
}

// Guards against a bucket that grants more than its size and rate, and against a first
// limit after which nothing is granted for seconds.
func TestBucket(t *testing.T) {
	g := newCounting(granter.Limit{Rate: 10, Burst: 20})
	for _, row := range []struct {
		at              zinniatide.Millis
		needed, granted int
	}{
		{1000, 100, 24}, // 20 x 1.1 + 10 x (0.5 - 0.25)
		{1000, 1, 0},
		{1100, 5, 1},
		{2100, 50, 10},
		{60_000, 50, 24},
	} {
		if got := g.Take(other, take(row.needed), row.at, row.at).Granted; got != row.granted {
			t.Errorf("at %d: got %d tokens, want %d", row.at, got, row.granted)
		}
	}
}

// Guards against a VM that grants with an outdated configuration, or in place of another
// that may still grant.
func TestWhoMayGrant(t *testing.T) {
	limit := granter.Limit{Rate: 10, Burst: 20}
	for _, row := range []struct {
		name    string
		prepare func(g *granter.Granter)
		at      zinniatide.Millis
		age     zinniatide.Millis
		status  granter.Status
		granted int
	}{
		{"counting", func(*granter.Granter) {}, 2000, 0, granter.Decided, 5},
		{"confirmed long ago", func(*granter.Granter) {}, 9000, granter.MaxConfirmationAge + 1, granter.Unconfirmed, 0},
		{"another VM counts", func(g *granter.Granter) { g.Install(configuration(3, 1, other, limit), 1500, 1500) }, 2000, 0, granter.Elsewhere, 0},
		{"counts again", func(g *granter.Granter) {
			g.Install(configuration(3, 1, other, limit), 1500, 1500)
			g.Install(configuration(4, 1, self, limit), 1600, 1600)
		}, 2000, 0, granter.Waiting, 1}, // the one of a VM that waits
		{"counts again, after the wait", func(g *granter.Granter) {
			g.Install(configuration(3, 1, other, limit), 1500, 1500)
			g.Install(configuration(4, 1, self, limit), 1600, 1600)
		}, 7300, 0, granter.Decided, 5}, // empty at 6700
		{"counts again, handed over", func(g *granter.Granter) {
			g.Install(configuration(3, 1, other, limit), 1500, 1500)
			g.Install(configuration(4, 1, self, limit), 1600, 1600)
			g.Receive(granter.Handover{Workspace: testWorkspace, Epoch: 4, Tokens: 3}, 1700)
		}, 1700, 0, granter.Decided, 3},
		{"counts again, handed over for an earlier time", func(g *granter.Granter) {
			g.Install(configuration(3, 1, other, limit), 1500, 1500)
			g.Receive(granter.Handover{Workspace: testWorkspace, Epoch: 2, Tokens: 3}, 1500)
			g.Install(configuration(4, 1, self, limit), 1600, 1600)
		}, 1700, 0, granter.Waiting, 0},
		{"missed configurations", func(g *granter.Granter) {
			g.Install(configuration(9, 1, self, limit), 8000, 1000)
		}, 8001, 0, granter.Waiting, 0},
		{"limit removed and set again", func(g *granter.Granter) {
			g.Install(configuration(3, 2, self, granter.Limit{}), 1500, 1500)
			g.Install(configuration(4, 3, self, limit), 1600, 1600)
		}, 1700, 0, granter.Waiting, 0},
		{"asking VM has a newer table", func(g *granter.Granter) {
			g.Install(&granter.Configuration{Epoch: 3, Number: 0}, 1500, 1500)
		}, 1700, 0, granter.Waiting, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := newCounting(limit)
			row.prepare(g)
			got := g.Take(other, take(5), row.at, row.at-row.age)
			if got.Status != row.status || got.Granted != row.granted {
				t.Errorf("got status %s with %d tokens, want %s with %d", got.Status, got.Granted, row.status, row.granted)
			}
		})
	}
}

// Guards against tokens that are held by one VM and granted to another as well, against
// held tokens that are lost when they are renewed, and against tokens beyond the burst
// that a workspace within its quota would miss.
func TestHeldTokens(t *testing.T) {
	g := newCounting(granter.Limit{Rate: 10, Burst: 20})
	r := take(1)
	r.Extra = 100
	first := g.Take(other, r, 1000, 1000)
	if first.Granted != 1 || first.Held != 3 {
		t.Fatalf("got %d tokens and %d held, want 1 and 3: 24 tokens, 20 of them for the burst", first.Granted, first.Held)
	}
	if got, want := g.Take("third", take(100), 1400, 1400).Granted, 21; got != want {
		t.Errorf("got %d tokens while 3 are held, want %d", got, want)
	}
	r = granter.Request{Workspace: testWorkspace, Limit: r.Limit, Extra: 3, Unused: 2, GrantedAt: first.GrantedAt}
	if got, want := g.Take(other, r, 1450, 1450).Held, 2; got != want {
		t.Errorf("got %d tokens held after renewal, want %d", got, want)
	}
	r.Unused = 100
	if got, want := g.Take(other, r, 1460, 1460).Held, 0; got != want {
		t.Errorf("got %d tokens held for a stale reply, want %d", got, want)
	}
}

// Guards against a token that is given back after another VM may have got it.
func TestReturnedTokens(t *testing.T) {
	for _, row := range []struct {
		returnedAt zinniatide.Millis
		granted    int
	}{{1000, 2}, {1100 - granter.ReturnTime - 1, 0}, {math.MaxInt64, 0}, {math.MinInt64, 0}} {
		g := newCounting(granter.Limit{Rate: 0.001, Burst: 20})
		g.Take(other, take(100), 1000, 1000)
		r := take(5)
		r.Returned, r.ReturnedAt = 2, row.returnedAt
		if got := g.Take(other, r, 1100, 1100).Granted; got != row.granted {
			t.Errorf("returned at %d: got %d tokens, want %d", row.returnedAt, got, row.granted)
		}
	}
}

// Guards against values in messages that break the arithmetic or grant tokens.
func TestOddValues(t *testing.T) {
	for _, limit := range []granter.Limit{
		{Rate: math.NaN(), Burst: math.NaN()}, {Rate: math.Inf(1), Burst: math.Inf(-1)}, {Rate: -5, Burst: -5}, {Rate: 1e300, Burst: 1e300}, {Rate: 1e-300}, {},
	} {
		for _, n := range []int{math.MinInt64, -1, 0, 1, math.MaxInt64} {
			for _, at := range []zinniatide.Millis{math.MinInt64, -1, 0, math.MaxInt64} {
				t.Run(fmt.Sprint(limit, n, at), func(t *testing.T) {
					g := newCounting(limit)
					limit.Number = 7
					r := granter.Request{Workspace: testWorkspace, Limit: limit, Needed: n, Extra: n, Unused: n, GrantedAt: at, Returned: n, ReturnedAt: at, Rank: n}
					for now := zinniatide.Millis(1000); now < 1003; now++ {
						got := g.Take(other, r, now, now)
						if got.Granted < 0 || got.Granted > max(0, n) || got.Held < 0 || got.RetryAfter < 0 || math.IsNaN(got.Spacing) {
							t.Errorf("got %+v, want tokens from 0 to the number that is needed", got)
						}
					}
					g.Install(configuration(3, 1, other, limit), 1010, 1010)
					g.Install(configuration(4, 1, self, limit), 1011, 1011)
					g.Receive(granter.Handover{Workspace: testWorkspace, Epoch: 99, Tokens: limit.Rate, Held: n, EmptySince: at}, 1012)
					if got := g.Take(other, r, 1013, 1013); got.Granted < 0 || got.Granted > max(0, n) {
						t.Errorf("got %+v after a handover, want tokens from 0 to the number that is needed", got)
					}
				})
			}
		}
	}
}

// Guards against emergency tokens beyond the slack in a window, over all VMs that may
// grant them.
func TestEmergencyBudgetsStayBelowTheSlack(t *testing.T) {
	counters := []zinniatide.VMID{"a", "b", "c", "d", "e"}
	ranking := granter.Ranking(testWorkspace, counters)
	granted := 0
	for rank, vm := range ranking[1:] {
		g := granter.New(granter.Config{VM: vm, Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}})
		g.Install(&granter.Configuration{Epoch: 1}, 900, 900)
		c := configuration(2, 1, "", granter.Limit{Rate: 100})
		c.Counters = counters
		g.Install(c, 1000, 1000)
		for at := zinniatide.Millis(1000); at <= 1000+testWindow+granter.Lease; at += 50 {
			r := take(100)
			r.Rank = rank + 1
			granted += g.Take(other, r, at, at).Granted
		}
	}
	if granted == 0 || granted >= testSlack {
		t.Errorf("got %d emergency tokens in a window, want more than 0 and fewer than %d", granted, testSlack)
	}
}

// Guards against no emergency tokens during the wait after the loss of a counting VM,
// when the VMs behind it have new ranks, and against two budgets of one VM.
func TestEmergencyBudgetIsKeptDuringTheWait(t *testing.T) {
	counters := []zinniatide.VMID{"a", "b", "c", "d", "e"}
	ranking := granter.Ranking(testWorkspace, counters)
	g := granter.New(granter.Config{VM: ranking[1], Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}})
	g.Install(&granter.Configuration{Epoch: 1}, 900, 900)
	c := configuration(2, 1, "", granter.Limit{Rate: 100})
	c.Counters = counters
	g.Install(c, 1000, 1000)
	r := take(3)
	r.Rank = 1
	first := g.Take(other, r, 2000, 2000).Granted
	next := *c
	next.Epoch, next.Counters = 3, slices.DeleteFunc(slices.Clone(counters), func(vm zinniatide.VMID) bool { return vm == ranking[0] })
	g.Install(&next, 2500, 2500)
	r.Rank = 0
	got := g.Take(other, r, 3000, 3000)
	if got.Status != granter.Waiting || first != 3 || got.Granted != 1 {
		t.Errorf("got status %s, %d and %d tokens, want waiting, 3 and the one that is left of 4", got.Status, first, got.Granted)
	}
	if got := g.Take(other, r, 7700, 7700); got.Status != granter.Decided || got.Granted != 3 {
		t.Errorf("got status %s and %d tokens after the wait, want decided and 3", got.Status, got.Granted)
	}
}

// Guards against workspaces that nobody serves for seconds after a restart of all VMs, and
// against a VM that grants the tokens of a wait more than once in a window.
func TestTokensWhileWaiting(t *testing.T) {
	for _, row := range []struct {
		slack float64
		want  []int
	}{{testSlack, []int{1, 0, 0, 1}}, {2 * testSlack, []int{2, 0, 0, 2}}, {0, []int{0, 0, 0, 0}}} {
		g := granter.New(granter.Config{VM: self, Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: row.slack}})
		limit := granter.Limit{Rate: 100}
		g.Install(configuration(5, 1, self, limit), 1000, 1000)
		for i, at := range []zinniatide.Millis{2000, 2100, 5900, 7300} {
			if at == 5900 { // another wait begins
				g.Install(configuration(6, 1, other, limit), 5000, 5000)
				g.Install(configuration(7, 1, self, limit), 5100, 5100)
			}
			got := g.Take(other, take(3), at, at)
			if got.Status != granter.Waiting || got.Granted != row.want[i] {
				t.Errorf("slack %v at %d: got status %s and %d tokens, want waiting and %d", row.slack, at, got.Status, got.Granted, row.want[i])
			}
		}
	}
}

// Guards against a workspace with a large burst and a low rate that is refused for minutes
// after a change of the counting VM, and against a burst in the window of the previous one.
func TestBurstAfterTakeover(t *testing.T) {
	g := granter.New(granter.Config{VM: self, Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}})
	g.Install(configuration(5, 1, self, granter.Limit{Rate: 1, Burst: 50}), 1000, 1000)
	for _, row := range []struct {
		at   zinniatide.Millis
		want int
	}{{6000, 1}, {6050, 0}, {8100, 2}, {11_000, 2}, {11_100, 53}} { // one while it waits; the wait ends at 6100, the window at 11100
		if got := g.Take(other, take(100), row.at, row.at).Granted; got != row.want {
			t.Errorf("at %d: got %d tokens, want %d", row.at, got, row.want)
		}
	}
}

package prioritizer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/limiter"
)

const testTarget zinniatide.Millis = 100

var (
	gathered = &zinniatide.Route{ID: "gathered", TargetLatency: testTarget, Shards: []zinniatide.ServiceID{"s0", "s1", "s2", "s3"}}
	part     = &zinniatide.Route{ID: "part", TargetLatency: testTarget, Shards: []zinniatide.ServiceID{"s3", "s4"}}
	plain    = &zinniatide.Route{ID: "plain", TargetLatency: testTarget, Targets: []zinniatide.WeightedService{{Service: "p", Weight: 1}}}
)

func newTest(routes ...*zinniatide.Route) *Prioritizer {
	p := New()
	p.SetRouting(testRouting(routes...))
	return p
}

func testRouting(routes ...*zinniatide.Route) *zinniatide.Routing {
	routing := &zinniatide.Routing{}
	known := map[zinniatide.ServiceID]bool{}
	for _, route := range routes {
		routing.Routes = append(routing.Routes, *route)
		for _, service := range route.Shards {
			known[service] = true
		}
		for _, target := range route.Targets {
			known[target.Service] = true
		}
	}
	for service := range known {
		routing.Services = append(routing.Services, zinniatide.RelayService{Service: service})
	}
	return routing
}

func ask(route *zinniatide.Route, workspace string, priority int) zinniatide.CapacityRequest {
	r := zinniatide.CapacityRequest{Route: route, Workspace: zinniatide.WorkspaceID(workspace), Priority: priority}
	if !route.Gathers() {
		r.Service = route.Targets[0].Service
	}
	return r
}

// overload makes the limits of a route fall: all that is admitted ends late.
func overload(p *Prioritizer, route *zinniatide.Route, priority int, now zinniatide.Millis) zinniatide.Millis {
	for range 40 {
		var permits []zinniatide.CapacityPermit
		for range 100 {
			if d := p.Admit(ask(route, "w", priority), now); d.Permit != nil {
				permits = append(permits, d.Permit)
			}
		}
		now += testTarget
		for _, permit := range permits {
			permit.Observe(zinniatide.CapacityLate, now)
			permit.End()
		}
	}
	return now
}

// Load: none that reaches a limit, of all priorities and workspaces, with one plain
// request of ten late, and any number of plain requests. Guards against refusals in undisturbed
// operation.
func TestUndisturbedRequestsAreAdmitted(t *testing.T) {
	p := newTest(gathered, part, plain)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // fixed seed
	type running struct {
		permit  zinniatide.CapacityPermit
		endsAt  zinniatide.Millis
		gathers bool
	}
	var open []running
	routes := []*zinniatide.Route{gathered, part, plain}
	for i := range 60_000 {
		now := zinniatide.Millis(i / 2)
		kept := open[:0]
		for _, r := range open {
			if r.endsAt > now {
				kept = append(kept, r)
				continue
			}
			result := zinniatide.CapacityInTime
			// The limit of gathered routes falls after two late queries of three, as it did.
			if !r.gathers && random.IntN(10) == 0 {
				result = zinniatide.CapacityLate
			}
			r.permit.Observe(result, now)
			r.permit.End()
		}
		open = kept
		route := routes[random.IntN(3)]
		d := p.Admit(ask(route, fmt.Sprintf("w%d", random.IntN(500)), random.IntN(6)-2), now)
		if d.Permit == nil {
			t.Fatalf("request %d for %s: got refusal %q with %d running, want it admitted", i, route.ID, d.Reason, len(open))
		}
		open = append(open, running{d.Permit, now + 5 + zinniatide.Millis(random.IntN(30)), route.Gathers()})
	}
	for range 5000 {
		if d := p.Admit(ask(plain, "w", 0), 30_001); d.Permit == nil {
			t.Fatalf("got refusal %q of a plain request without overload, want it admitted", d.Reason)
		}
	}
}

// Load: requests of a lower priority that fill the limit. Guards against urgent requests
// that are refused for them, and against a lower priority that is shut out for good.
func TestUrgentRequestsFindRoom(t *testing.T) {
	for _, route := range []*zinniatide.Route{gathered, plain} {
		p := newTest(route)
		now := overload(p, route, 5, 0)
		if p.Short(now) != 1 {
			t.Fatalf("%s: got %d short pools, want 1", route.ID, p.Short(now))
		}
		admitted := map[int]int{}
		for range 50 {
			if d := p.Admit(ask(route, "w", 5), now); d.Permit != nil {
				admitted[5]++
			}
		}
		for range 2 {
			if d := p.Admit(ask(route, "w", 1), now); d.Permit != nil {
				admitted[1]++
			}
		}
		if admitted[5] == 0 || admitted[5] > 10 || admitted[1] != 2 {
			t.Errorf("%s: got %v admitted, want few of priority 5 and both of priority 1", route.ID, admitted)
		}
		d := p.Admit(ask(route, "w", 5), now)
		if d.Permit != nil || d.RetryAfter <= 0 || d.RetryAfter > maxRetryAfter {
			t.Errorf("%s: got %+v, want a refusal with a Retry-After of up to %d ms", route.ID, d, maxRetryAfter)
		}
	}
}

// Load: a low priority that is always late while urgent requests are in time. Guards
// against a limit for urgent requests that falls for requests of others.
func TestLateRequestsOfLowPriorityDoNotLimitUrgentOnes(t *testing.T) {
	p := newTest(gathered)
	now := overload(p, gathered, 5, 0)
	for i := range int(limiter.InitialLimit) {
		if d := p.Admit(ask(gathered, "w", 0), now); d.Permit == nil {
			t.Fatalf("got refusal %q with %d urgent requests running, want %.0f admitted", d.Reason, i, limiter.InitialLimit)
		}
	}
	if d := p.Admit(ask(gathered, "w", 0), now); d.Reason != ReasonOverloaded {
		t.Errorf("got %+v beyond the limit, want it refused as %q", d, ReasonOverloaded)
	}
}

// Load: urgent requests that are late because lower ones fill the servers. The limit of
// the lower ones must fall, not that of the urgent ones.
func TestLateUrgentRequestsLowerTheOthers(t *testing.T) {
	p := newTest(plain)
	now := zinniatide.Millis(0)
	var low []zinniatide.CapacityPermit
	for range 30 {
		low = append(low, p.Admit(ask(plain, "w", 5), now).Permit)
	}
	for range 20 {
		d := p.Admit(ask(plain, "w", 0), now)
		if d.Permit == nil {
			t.Fatalf("got refusal %q of an urgent request, want it admitted", d.Reason)
		}
		now += testTarget
		d.Permit.Observe(zinniatide.CapacityLate, now)
		d.Permit.End()
	}
	if d := p.Admit(ask(plain, "w", 5), now); d.Permit != nil {
		t.Errorf("got another request of low priority admitted with %d running, want it refused", len(low))
	}
}

// Load: one server group that takes four times as many requests as it can, with one hot
// workspace of ten that repeats refused requests at once, and another deployment with 300
// workspaces. Guards against workspaces that get less than a quarter of the average.
func TestSharesOfWorkspaces(t *testing.T) {
	for _, row := range []struct {
		name       string
		workspaces int
		// perMilli returns the requests of a workspace per millisecond.
		perMilli func(w int) float64
	}{
		{"one hot workspace", 10, func(w int) float64 {
			if w == 0 {
				return 20
			}
			return 0.1
		}},
		{"each hotter than the one before", 10, func(w int) float64 { return 0.1 * float64(w+1) }},
		{"many workspaces", 300, func(w int) float64 {
			if w < 3 {
				return 2
			}
			return 0.008
		}},
	} {
		p := newTest(plain)
		now := overload(p, plain, 1, 0)
		random := rand.New(rand.NewPCG(2, 2)) //nolint:gosec // fixed seed
		served := make([]float64, row.workspaces)
		due := make([]float64, row.workspaces)
		for w := range due {
			due[w] = random.Float64()
		}
		asked := make([]float64, row.workspaces)
		type running struct {
			permit              zinniatide.CapacityPermit
			admittedAt, endedAt zinniatide.Millis
		}
		var open []running
		// Ten slots of 20 ms serve 0.5 requests per millisecond, in the order of arrival.
		var slots [10]zinniatide.Millis
		for range 60_000 {
			now++
			kept := open[:0]
			for _, r := range open {
				if r.endedAt > now {
					kept = append(kept, r)
					continue
				}
				result := zinniatide.CapacityInTime
				if now-r.admittedAt > testTarget {
					result = zinniatide.CapacityLate
				}
				r.permit.Observe(result, now)
				r.permit.End()
			}
			open = kept
			for _, w := range random.Perm(row.workspaces) {
				for due[w] += row.perMilli(w); due[w] >= 1; due[w]-- {
					asked[w]++
					d := p.Admit(ask(plain, fmt.Sprintf("w%d", w), 1), now)
					if d.Permit == nil {
						continue
					}
					served[w]++
					first := 0
					for i := range slots {
						if slots[i] < slots[first] {
							first = i
						}
					}
					slots[first] = max(slots[first], now) + 20
					open = append(open, running{d.Permit, now, slots[first]})
				}
			}
		}
		least, sum := math.Inf(1), 0.0
		for w := range served {
			sum += served[w]
			least = min(least, served[w])
		}
		share := least / (sum / float64(row.workspaces))
		t.Logf("%s: least share %.2f, %.0f served, first %.0f of %.0f, last %.0f of %.0f", row.name, share, sum, served[0], asked[0], served[len(served)-1], asked[len(asked)-1])
		if capacity := 30_000.0; sum < 0.8*capacity {
			t.Errorf("%s: got %.0f served, want at least 0.8 of a capacity of %.0f", row.name, sum, capacity)
		}
		if share < 0.25 {
			t.Errorf("%s: got least share %.2f, want at least 0.25", row.name, share)
		}
	}
}

// Guards against refused callers that all return at once, and against advice that makes
// them wait beyond a second.
func TestRetryAfterIsSpread(t *testing.T) {
	p := newTest(plain)
	now := overload(p, plain, 1, 0)
	count := map[zinniatide.Millis]int{}
	refused := 0
	for range 1000 {
		if d := p.Admit(ask(plain, "w", 1), now); d.Permit == nil {
			refused++
			count[d.RetryAfter/100]++
			if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
				t.Fatalf("got Retry-After %d ms, want %d to %d ms", d.RetryAfter, minRetryAfter, maxRetryAfter)
			}
		}
	}
	for tenth, n := range count {
		if n > refused/4 {
			t.Errorf("got %d of %d callers told to come back %d00 ms later, want at most a quarter", n, refused, tenth)
		}
	}
}

// Guards against hedges of the lowest priority that use a scarce budget, and against
// those that nobody else needs and that are left out anyway.
func TestHedgesAreLeftToUrgentRequests(t *testing.T) {
	p := newTest(gathered, plain)
	p.Admit(ask(gathered, "w", 2), 0)
	if p.LeavesHedges("s1", 2, 500) {
		t.Error("got hedges left without other priorities, want them used")
	}
	p.RecordPriority("s2", 0, 600)
	p.Admit(ask(gathered, "w", 1), 700)
	for _, row := range []struct {
		service  zinniatide.ServiceID
		priority int
		now      zinniatide.Millis
		want     bool
	}{
		{"s1", 2, 800, true}, {"s1", 1, 800, false}, {"s1", 0, 800, false},
		{"p", 2, 800, false}, {"none", 2, 800, false},
		{"s1", 1, 1500, true}, // 2 was last seen more than a second ago
		{"s1", 2, 1900, false},
	} {
		if got := p.LeavesHedges(row.service, row.priority, row.now); got != row.want {
			t.Errorf("%s, priority %d at %d ms: got %v, want %v", row.service, row.priority, row.now, got, row.want)
		}
	}
}

// Guards against a new routing table that makes a running overload forgotten, and against
// routes with common shards that are limited apart.
func TestRoutingTables(t *testing.T) {
	p := newTest(gathered, plain)
	now := overload(p, gathered, 1, 0)
	p.SetRouting(testRouting(gathered, plain))
	if d := p.Admit(ask(gathered, "w", 1), now); d.Permit == nil {
		t.Errorf("got refusal %q of the first request, want it admitted", d.Reason)
	}
	if p.Short(now) != 1 {
		t.Errorf("got %d short pools after the same table, want 1", p.Short(now))
	}
	p.SetRouting(testRouting(gathered, part, plain))
	if p.byService["s0"] != p.byService["s4"] || p.byService["s0"] == p.byService["p"] {
		t.Errorf("got pools %p, %p and %p of s0, s4 and p, want the first two equal", p.byService["s0"], p.byService["s4"], p.byService["p"])
	}
	d := p.Admit(ask(&zinniatide.Route{Shards: []zinniatide.ServiceID{"gone"}}, "w", 1), now)
	if d.Permit == nil {
		t.Fatalf("got refusal %q for unknown services, want it admitted", d.Reason)
	}
	d.Permit.Observe(zinniatide.CapacityLate, now)
	d.Permit.End()
}

// Guards against priorities and workspaces from a configuration that take memory without
// bound, and against overflow with extreme priorities.
func TestStateIsBounded(t *testing.T) {
	p := newTest(plain)
	now := overload(p, plain, 0, 0)
	for i := range 3 * maxWorkspaces {
		p.Admit(ask(plain, fmt.Sprint(i), 0), now)
	}
	if got, want := len(p.byService["p"].classOf(0, now).shares.workspaces), maxWorkspaces+1; got > want {
		t.Errorf("got %d workspaces, want at most %d", got, want)
	}
	now += 5000
	p.Admit(ask(plain, "w", 0), now)
	if got, want := len(p.byService["p"].classOf(0, now).shares.workspaces), 0; got != want {
		t.Errorf("got %d workspaces after 5 s, want %d", got, want)
	}
	for i := range 10 * maxClasses {
		p.Admit(ask(plain, "w", i*1000-math.MaxInt32), now)
	}
	for _, priority := range []int{math.MinInt, math.MaxInt} {
		p.Admit(ask(plain, "w", priority), now)
	}
	classes := p.byService["p"].classes
	if got := len(classes); got > maxClasses {
		t.Errorf("got %d classes, want at most %d", got, maxClasses)
	}
	for i := 1; i < len(classes); i++ {
		if classes[i-1].priority >= classes[i].priority {
			t.Errorf("got priority %d before %d, want them ascending", classes[i-1].priority, classes[i].priority)
		}
	}
}

// BenchmarkAdmit is the cost of a decision in undisturbed operation and under overload.
func BenchmarkAdmit(b *testing.B) {
	for _, name := range []string{"undisturbed", "short"} {
		b.Run(name, func(b *testing.B) {
			p := newTest(gathered, plain)
			now := zinniatide.Millis(0)
			if name == "short" {
				now = overload(p, gathered, 1, now)
			}
			for i := range b.N {
				now = max(now, zinniatide.Millis(i/100))
				if d := p.Admit(ask(gathered, "w", i%3), now); d.Permit != nil {
					d.Permit.Observe(zinniatide.CapacityInTime, now)
					d.Permit.End()
				}
			}
		})
	}
}

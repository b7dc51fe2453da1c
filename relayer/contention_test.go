package relayer

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/limiter"
)

// firstCome admits requests in the order of their arrival up to an adaptive limit of
// each gathered route. It is the baseline of the contention tests.
type firstCome struct {
	limiters map[zinniatide.RouteID]*limiter.Limiter
}

type firstComePermit struct {
	limiter  *limiter.Limiter
	target   zinniatide.Millis
	released bool
}

func (p *firstComePermit) Observe(result zinniatide.CapacityResult, now zinniatide.Millis) {
	p.limiter.Release(result != zinniatide.CapacityInTime, p.target, now)
	p.released = true
}

func (p *firstComePermit) End() {
	if !p.released {
		p.limiter.ReleaseWithoutSample()
	}
}

func (f *firstCome) SetRouting(*zinniatide.Routing)                              {}
func (f *firstCome) RecordPriority(zinniatide.ServiceID, int, zinniatide.Millis) {}
func (f *firstCome) LeavesHedges(zinniatide.ServiceID, int, zinniatide.Millis) bool {
	return false
}

func (f *firstCome) Admit(r zinniatide.CapacityRequest, _ zinniatide.Millis) zinniatide.CapacityDecision {
	l := f.limiters[r.Route.ID]
	if l == nil {
		initial := math.Inf(1)
		if r.Route.Gathers() {
			initial = limiter.InitialLimit
		}
		l = limiter.NewWithLimit(initial)
		f.limiters[r.Route.ID] = l
	}
	if !l.TryAcquire() {
		return zinniatide.CapacityDecision{Reason: "overloaded", RetryAfter: r.Route.TargetLatency}
	}
	return zinniatide.CapacityDecision{Permit: &firstComePermit{limiter: l, target: r.Route.TargetLatency}}
}

const (
	// contentionCapacity is the capacity of the shards in queries per second: slots of a
	// shard by the mean service time.
	contentionCapacity = 4 * 1000 / 14.5
	// plainCapacity is that of the plain service, with a service time of 50 ms.
	plainCapacity = 4 * 3 * 1000 / 50.0
)

// newContention returns a simulation with ten workspaces and routes of three
// priorities: /q0/ to /q2/ on the same shards, /p0/ to /p2/ on the same plain service.
func newContention(t *testing.T, capacity zinniatide.CapacityAdmitter) *simulation {
	t.Helper()
	sim := newSimulation(t, testShards)
	if capacity != nil {
		sim.relayer.capacity = capacity
	}
	for i := range 4 {
		sim.servers[zinniatide.BackendServerID(fmt.Sprintf("plain-%d", i))].drawWorkTime = func() zinniatide.Millis { return 40 + zinniatide.Millis(sim.random.IntN(21)) }
	}
	sim.relayer.deps.Names.Workspace, sim.relayer.deps.Names.CredentialScheme = "X-Tenant", "Token"
	routing := *sim.config.Routing
	for _, base := range sim.config.Routing.Routes[:2] {
		for priority := range 3 {
			route := base
			route.Priority = priority
			route.ID = zinniatide.RouteID(fmt.Sprintf("%s-%d", base.ID, priority))
			route.PathPrefix = fmt.Sprintf("%s%d/", base.PathPrefix[:2], priority)
			if !route.Gathers() {
				route.TargetLatency = 200
			}
			routing.Routes = append(slices.Clone(routing.Routes), route)
		}
	}
	routing.KeysRequired = true
	for i := range 10 {
		w := fmt.Sprintf("w%d", i)
		routing.Workspaces = append(routing.Workspaces, zinniatide.RelayWorkspace{Workspace: zinniatide.WorkspaceID(w), Keys: []zinniatide.KeyDigest{zinniatide.DigestKey([]byte(w))}})
	}
	sim.setRouting(&routing)
	return sim
}

// callers sends the requests of one workspace for one path.
type callers struct {
	workspace, path string
	perSecond       float64
	target          zinniatide.Millis
	// repeats is how often a refused request is sent again at once.
	repeats int

	sent, inTime, served, refused int
	complete                      int // in time with all parts
	refusedIDs                    []string
	lastRefusedAt                 zinniatide.Millis
	shortestAdvice, longestAdvice zinniatide.Millis
}

// runCallers sends the requests of all callers for duration and waits for their ends.
func (sim *simulation) runCallers(duration zinniatide.Millis, all ...*callers) {
	end := sim.clock.Now() + duration
	for _, c := range all {
		interval := 1000 / c.perSecond
		for at := float64(sim.clock.Now()) + interval*sim.random.Float64(); at < float64(end); at += interval * (0.5 + sim.random.Float64()) {
			sim.After(zinniatide.Millis(at)-sim.clock.Now(), func() {
				c.sent++
				c.call(sim, sim.clock.Now(), c.repeats)
			})
		}
	}
	sim.run(end)
}

func (c *callers) call(sim *simulation, startedAt zinniatide.Millis, repeats int) {
	sim.requestCount++
	req := keyRequest(fmt.Sprintf("r%d", sim.requestCount), c.path, "Token "+c.workspace, "", sim.clock.Now())
	req.Timeout = 0
	sim.relayer.Serve(req, func(reply Reply) {
		now := sim.clock.Now()
		switch reply.Status {
		case 200:
			c.served++
			if now-startedAt <= c.target {
				c.inTime++
				if missingParts(sim.t, reply) == 0 {
					c.complete++
				}
			}
		case statusUnavailable:
			c.refused++
			c.refusedIDs = append(c.refusedIDs, req.ID)
			c.lastRefusedAt = now
			if c.shortestAdvice == 0 {
				c.shortestAdvice = reply.RetryAfter
			}
			c.shortestAdvice, c.longestAdvice = min(c.shortestAdvice, reply.RetryAfter), max(c.longestAdvice, reply.RetryAfter)
			if repeats > 0 {
				sim.After(2, func() { c.call(sim, startedAt, repeats-1) })
			}
		}
	})
}

// checkRefusals fails the test if a server has run a request that was refused.
func (sim *simulation) checkRefusals(all ...*callers) {
	sim.t.Helper()
	false503 := 0
	for _, c := range all {
		for _, id := range c.refusedIDs {
			for _, s := range sim.servers {
				if s.runCounts[id] > 0 {
					false503++
					break
				}
			}
		}
	}
	if false503 > 0 {
		sim.t.Errorf("got %d requests that were refused with 503 and ran, want none", false503)
	}
}

// leastShare returns the fewest requests served of any callers in relation to the
// average.
func leastShare(all []*callers) float64 {
	least, sum := math.Inf(1), 0.0
	for _, c := range all {
		least, sum = min(least, float64(c.served)), sum+float64(c.served)
	}
	return least / (sum / float64(len(all)))
}

// allKinds returns callers of all priorities at twice the capacity: a third of the
// capacity urgent, and the rest in equal parts. Workspaces 1 to 9 share each priority.
func allKinds(prefix string, capacity float64, target zinniatide.Millis) [3][]*callers {
	var out [3][]*callers
	for priority, share := range []float64{0.33, 0.83, 0.83} {
		for i := range 3 {
			out[priority] = append(out[priority], &callers{
				workspace: fmt.Sprintf("w%d", priority*3+i), path: fmt.Sprintf("/%s%d/x", prefix, priority),
				perSecond: capacity * share / 3, target: target,
			})
		}
	}
	return out
}

// Load: a burst of all kinds at twice the capacity, gathered and plain. Guards against
// urgent requests that are refused or late because others fill the servers, and against
// workspaces of one priority that get nothing.
func TestBurstOfAllKinds(t *testing.T) {
	for _, row := range []struct {
		prefix   string
		capacity float64
		target   zinniatide.Millis
	}{{"q", contentionCapacity, testTarget}, {"p", plainCapacity, 200}} {
		urgentInTime, allInTime := map[string]float64{}, map[string]int{}
		for _, name := range []string{"first come", "by priority"} {
			var capacity zinniatide.CapacityAdmitter
			if name == "first come" {
				capacity = &firstCome{limiters: map[zinniatide.RouteID]*limiter.Limiter{}}
			}
			sim := newContention(t, capacity)
			kinds := allKinds(row.prefix, row.capacity, row.target)
			sim.runCallers(15_000, slices.Concat(kinds[0], kinds[1], kinds[2])...)
			sim.run(sim.clock.Now() + 6000)
			sim.checkRefusals(slices.Concat(kinds[0], kinds[1], kinds[2])...)
			sent, inTime, served := 0, 0, 0
			for priority, list := range kinds {
				for _, c := range list {
					served += c.served
					allInTime[name] += c.inTime
					if priority == 0 {
						sent, inTime = sent+c.sent, inTime+c.inTime
					}
				}
				t.Logf("%s, %s, priority %d: least share %.2f", row.prefix, name, priority, leastShare(list))
			}
			urgentInTime[name] = float64(inTime) / float64(sent)
			t.Logf("%s, %s: %.3f of the urgent requests in time, %d of all, %d served of a capacity of %.0f", row.prefix, name, urgentInTime[name], allInTime[name], served, row.capacity*15)
			if name == "first come" {
				continue
			}
			if got, want := urgentInTime[name], 0.95; got < want {
				t.Errorf("%s: got %.3f of the urgent requests in time, want at least %.2f", row.prefix, got, want)
			}
			if got, want := float64(served), 0.8*row.capacity*15; got < want {
				t.Errorf("%s: got %.0f served, want at least %.0f", row.prefix, got, want)
			}
			for priority, list := range kinds[:2] {
				if got, want := leastShare(list), 0.25; got < want {
					t.Errorf("%s, priority %d: got least share %.2f, want at least %.2f", row.prefix, priority, got, want)
				}
			}
		}
		if got, want := allInTime["by priority"], allInTime["first come"]; got < want {
			t.Errorf("%s: got %d requests of all kinds in time, want at least %d as first come, first served", row.prefix, got, want)
		}
		if got, want := urgentInTime["by priority"], urgentInTime["first come"]; got <= want {
			t.Errorf("%s: got %.3f of the urgent requests in time, want more than %.3f as first come, first served", row.prefix, got, want)
		}
	}
}

// Load: one workspace sends three times the capacity and repeats each refused request
// at once, nine others send a tenth of the capacity each. Guards against a hot workspace
// or repeated requests that take capacity from the others.
func TestHotWorkspaceThatRepeats(t *testing.T) {
	for _, row := range []struct {
		prefix   string
		capacity float64
		target   zinniatide.Millis
	}{{"q", contentionCapacity, testTarget}, {"p", plainCapacity, 200}} {
		shares := map[string]float64{}
		for _, name := range []string{"first come", "by share"} {
			for _, repeats := range []int{0, 20} {
				var capacity zinniatide.CapacityAdmitter
				if name == "first come" {
					capacity = &firstCome{limiters: map[zinniatide.RouteID]*limiter.Limiter{}}
				}
				sim := newContention(t, capacity)
				all := []*callers{{workspace: "w0", path: "/" + row.prefix + "1/x", perSecond: 3 * row.capacity, target: row.target, repeats: repeats}}
				for i := 1; i < 10; i++ {
					all = append(all, &callers{workspace: fmt.Sprintf("w%d", i), path: "/" + row.prefix + "1/x", perSecond: row.capacity / 10, target: row.target})
				}
				sim.runCallers(5000, all...)
				sim.run(sim.clock.Now() + 6000)
				sim.checkRefusals(all...)
				others, sent := 0, 0
				for _, c := range all[1:] {
					others, sent = others+c.served, sent+c.sent
				}
				least := leastShare(all)
				served := float64(others) / float64(sent)
				shares[fmt.Sprint(name, repeats)] = least
				t.Logf("%s, %s, %d repeats: hot %d served of %d, others %.3f served, least share %.2f", row.prefix, name, repeats, all[0].served, all[0].sent, served, least)
				if name == "by share" && least < 0.25 {
					t.Errorf("%s, %d repeats: got least share %.2f, want at least 0.25", row.prefix, repeats, least)
				}
			}
		}
	}
}

// Load: an overload of all kinds that ends; then half of the capacity. Guards against
// refusals that go on for more than a second after the load, and against callers that
// are all told to come back at the same time.
func TestRefusalsEndWithTheLoad(t *testing.T) {
	for _, row := range []struct {
		prefix          string
		capacity, after float64
		target          zinniatide.Millis
	}{
		{"q", contentionCapacity, contentionCapacity / 2, testTarget}, {"q", contentionCapacity, 20, testTarget},
		{"p", plainCapacity, plainCapacity / 2, 200}, {"p", plainCapacity, 20, 200},
	} {
		sim := newContention(t, nil)
		kinds := allKinds(row.prefix, 2*row.capacity, row.target)
		all := slices.Concat(kinds[0], kinds[1], kinds[2])
		sim.runCallers(10_000, all...)
		endedAt := sim.clock.Now()
		refused, longest := 0, zinniatide.Millis(0)
		for _, c := range all {
			refused += c.refused
			longest = max(longest, c.longestAdvice)
			if c.refused > 100 && c.longestAdvice < 2*c.shortestAdvice {
				t.Errorf("%s: got Retry-After from %d to %d ms for %d refused requests of %s, want them spread", row.prefix, c.shortestAdvice, c.longestAdvice, c.refused, c.workspace)
			}
		}
		if refused == 0 || longest > 1000 {
			t.Errorf("%s: got %d refusals with a Retry-After of up to %d ms, want some of up to 1000 ms", row.prefix, refused, longest)
		}
		var later []*callers
		for i := range 3 {
			later = append(later, &callers{workspace: fmt.Sprintf("w%d", i), path: fmt.Sprintf("/%s%d/x", row.prefix, i), perSecond: row.after / 3, target: row.target})
		}
		sim.runCallers(10_000, later...)
		sim.run(sim.clock.Now() + 6000)
		last, count := endedAt, 0
		for _, c := range later {
			last, count = max(last, c.lastRefusedAt), count+c.refused
		}
		t.Logf("%s, then %.0f/s: %d refusals after the load, the last %d ms after it", row.prefix, row.after, count, last-endedAt)
		if got := last - endedAt; got > 1000 {
			t.Errorf("%s, then %.0f/s: got a refusal %d ms after the load, want none after 1000 ms", row.prefix, row.after, got)
		}
	}
}

package admitter

import (
	"testing"

	"zinniatide.example/zinniatide"
)

func setting() zinniatide.ServiceSetting {
	return zinniatide.ServiceSetting{
		Tenants: map[zinniatide.TenantID]zinniatide.TenantSetting{"a": {Share: 3}, "b": {Share: 1}, "idle": {Share: 100}},
		Classes: map[zinniatide.ClassID]zinniatide.ClassSetting{"fast": {Weight: 4}, "slow": {Weight: 1}, "idle": {Weight: 100}},
	}
}

// Guards against overload that costs throughput, lets admitted requests miss
// their deadline, or takes a tenant's or class's share away. Time is virtual,
// and the results are counts of a fixed seed.
func TestOverload(t *testing.T) {
	tests := []struct {
		name  string
		vms   int
		flows func(capacity float64) []*flow
		want  []float64 // part of the completed queries of each flow
		load  float64   // least completed work, as a part of the capacity
	}{
		{"below the capacity", 4, func(c float64) []*flow {
			return []*flow{{tenant: "b", class: "slow", perMilli: 0.7 * c, deadline: 200, vm: -1}}
		}, []float64{1}, 0.65},
		{"two tenants at twice the capacity", 4, func(c float64) []*flow {
			return []*flow{{tenant: "a", class: "fast", perMilli: c, deadline: 200, vm: -1}, {tenant: "b", class: "fast", perMilli: c, deadline: 200, vm: -1}}
		}, []float64{0.75, 0.25}, 0.9},
		{"a tenant below its share loses nothing", 4, func(c float64) []*flow {
			return []*flow{{tenant: "a", class: "fast", perMilli: 0.3 * c, deadline: 200, vm: -1}, {tenant: "b", class: "fast", perMilli: 1.7 * c, deadline: 200, vm: -1}}
		}, []float64{0.3, 0.7}, 0.9},
		{"classes of one tenant", 4, func(c float64) []*flow {
			return []*flow{{tenant: "a", class: "fast", perMilli: c, deadline: 200, vm: -1}, {tenant: "a", class: "slow", perMilli: c, deadline: 200, vm: -1}}
		}, []float64{0.8, 0.2}, 0.9},
		{"all callers at one VM", 8, func(c float64) []*flow {
			return []*flow{{tenant: "a", class: "fast", perMilli: c, deadline: 200, vm: 0}, {tenant: "b", class: "fast", perMilli: c, deadline: 200, vm: 0}}
		}, []float64{0.75, 0.25}, 0.9},
		{"short deadlines", 4, func(c float64) []*flow {
			return []*flow{{tenant: "a", class: "fast", perMilli: c, deadline: 60, vm: -1}, {tenant: "b", class: "fast", perMilli: c, deadline: 60, vm: -1}}
		}, []float64{0.75, 0.25}, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(test.vms, 8, 4, setting())
			flows := test.flows(s.capacity())
			got := s.run(14e6, flows...)
			t.Logf("completed %.0f%% of capacity, limits %.0f of %d slots", 100*got/s.capacity(), s.gates[0].limiter.limit, s.gates[0].limiter.slots)
			if got < test.load*s.capacity() {
				t.Errorf("completed %.3f per ms, want %g of %.3f", got, test.load, s.capacity())
			}
			if test.load < 0.9 && s.refused > 0 {
				t.Errorf("refused %d requests below the capacity", s.refused)
			}
			completed := 0
			for _, f := range flows {
				completed += f.completed
			}
			for i, f := range flows {
				p99 := f.took[len(f.took)*99/100]
				part := float64(f.completed) / float64(completed)
				t.Logf("%s %s: completed %d of %d, part %.3f, p99 %d ms of %d", f.tenant, f.class, f.completed, f.arrived, part, p99, f.deadline)
				if p99 > f.deadline {
					t.Errorf("%s %s: got p99 %d ms, want at most %d", f.tenant, f.class, p99, f.deadline)
				}
				if part < 0.9*test.want[i] {
					t.Errorf("%s %s: got part %.3f, want 90%% of %.3f", f.tenant, f.class, part, test.want[i])
				}
			}
		})
	}
}

// Guards against a stall whose low drain rate makes every request that has to
// wait look hopeless for good, because the rate is measured only while requests
// wait.
func TestRateOfAStallIsForgotten(t *testing.T) {
	c, s := DefaultConfig(), setting()
	g := newGate(&c)
	g.limiter.resize(&c, 10, 1)
	arrive := func(now zinniatide.Millis) *item {
		it := &item{Request: Request{Service: "s", Tenant: "a", Class: "fast", Cost: 10, Deadline: now + 1000}}
		g.arrive(now, it, &s)
		return it
	}
	first, second := arrive(0), arrive(1)
	g.release(300, first, 1)
	g.release(900, first, 1)
	if refused := arrive(901); refused.state == waiting {
		t.Fatal("a request may wait during the stall; the test has no effect")
	}
	g.release(902, first, 8)
	g.release(903, second, 10)
	now := zinniatide.Millis(1000)
	for range 100 {
		it := arrive(now)
		if it.state != admitted {
			t.Fatalf("got state %d of a request alone, want admitted", it.state)
		}
		now += 10
		g.release(now, it, 10)
	}
	arrive(now)
	if it := arrive(now); it.state != waiting {
		t.Errorf("got state %d of a request that has to wait after the stall, want waiting", it.state)
	}
}

// Guards against a full queue that shuts out a tenant below its share, and
// against a queue that grows without bound.
func TestFullQueueFavoursTenantBelowItsShare(t *testing.T) {
	c := DefaultConfig()
	c.QueueLimit = 20
	g, s := newGate(&c), setting()
	g.limiter.resize(&c, 1, 1)
	arrive := func(tenant zinniatide.TenantID, n int) (items []*item) {
		for range n {
			it := &item{Request: Request{Tenant: tenant, Class: "fast", Cost: 1, Deadline: 1000}}
			g.arrive(1, it, &s)
			items = append(items, it)
		}
		return items
	}
	a, b := arrive("a", 40), arrive("b", 40)
	count := func(items []*item, state itemState) (n int) {
		for _, it := range items {
			if it.state == state {
				n++
			}
		}
		return n
	}
	if count(a, admitted) != 1 || count(a, waiting) != 15 || count(b, waiting) != 5 || g.count != 20 {
		t.Errorf("got %d admitted, %d and %d waiting, want 1, 15 and 5", count(a, admitted), count(a, waiting), count(b, waiting))
	}
	for _, it := range a { // serves everybody in the end
		g.release(2, it, 1)
	}
	for range 20 {
		for _, it := range append(a, b...) {
			if it.state == admitted {
				g.release(3, it, 1)
			}
		}
	}
	if g.count != 0 || g.running != 0 || count(a, admitted) != 16 || count(b, admitted) != 5 {
		t.Errorf("got %d waiting, %d running, %d and %d admitted, want 0, 0, 16 and 5", g.count, g.running, count(a, admitted), count(b, admitted))
	}
}

// Guards against a request that waits although it cannot end in time.
func TestEarlyRefusal(t *testing.T) {
	c := DefaultConfig()
	g, s := newGate(&c), setting()
	g.limiter.resize(&c, 1, 1)
	g.service = spread{mean: 10, deviation: 2}
	g.rate.perMilli = 0.1
	run := &item{Request: Request{Tenant: "a", Class: "fast", Cost: 1, Deadline: 1000}}
	g.arrive(1, run, &s)
	for _, test := range []struct {
		deadline zinniatide.Millis
		want     itemState
	}{{15, refused}, {25, refused}, {40, waiting}, {40, waiting}, {40, refused}, {70, waiting}} {
		it := &item{Request: Request{Tenant: "a", Class: "fast", Cost: 1, Deadline: 1 + test.deadline}}
		if g.arrive(1, it, &s); it.state != test.want {
			t.Errorf("deadline in %d ms: got state %d, want %d", test.deadline, it.state, test.want)
		}
	}
	g.release(30, run, 1)
	if g.count != 0 || g.running != 1 {
		t.Errorf("got %d waiting, %d running, want the late ones refused and the last one running", g.count, g.running)
	}
}

// Guards against a tenant or class that was idle and then takes everything, or
// that has to wait because it was busy before.
func TestIdleTimeIsNotSavedUp(t *testing.T) {
	c := DefaultConfig()
	g, s := newGate(&c), setting()
	g.limiter.resize(&c, 1, 1)
	served := map[zinniatide.TenantID]map[zinniatide.ClassID]int{"a": {}, "b": {}}
	var running *item
	arrive := func(tenant zinniatide.TenantID, class zinniatide.ClassID, n int) {
		for range n {
			it := &item{Request: Request{Tenant: tenant, Class: class, Cost: 1, Deadline: 1000}}
			it.ended = func() { served[tenant][class]++; running = it }
			if g.arrive(1, it, &s); it.state == admitted {
				running = it
			}
		}
	}
	finish := func(n int) {
		for range n {
			g.release(1, running, 1)
		}
	}
	arrive("b", "slow", 300)
	finish(200)
	arrive("a", "slow", 100)
	finish(40)
	if got := served["a"]["slow"]; got < 29 || got > 31 {
		t.Errorf("got %d of 40 for the tenant that was idle, want 30", got)
	}
	arrive("a", "fast", 100)
	before := served["a"]["slow"]
	finish(40)
	if got := served["a"]["fast"]; got < 23 || got > 25 || served["a"]["slow"]-before < 5 {
		t.Errorf("got %d fast and %d slow of 40, want 24 and 6", got, served["a"]["slow"]-before)
	}
}

// Guards against a limit that ignores the queues of the servers, or that grows
// while nobody waits.
func TestLimitFollowsQueues(t *testing.T) {
	c := DefaultConfig()
	tests := []struct {
		name             string
		queued, shed     int // requests at a server with 2 busy slots, refusals of 100
		blocked          bool
		least, most, end float64 // bounds of the limit after 1 and many intervals
		tension          float64 // time taken, as a part of the time allowed; 0 is unknown
	}{
		{"long queues", 6, 0, true, 7, 9.1, 5, 0},
		{"long queues, tight deadlines", 6, 0, true, 7, 9.1, 5, 0.6},
		{"long queues, far from the deadlines", 6, 0, true, 10.9, 11.1, 400, 0.1},
		{"long queues, in between", 6, 0, true, 10, 10, 10, 0.4},
		{"queues as wanted, deadlines not tight", 3, 0, true, 10.4, 10.6, 400, 0.4},
		{"shedding", 0, 3, true, 7, 9.1, 5, 0},
		{"shedding far from the deadlines", 0, 3, true, 7, 9.1, 5, 0.1},
		{"short queues, requests wait", 0, 0, true, 10.4, 10.6, 400, 0},
		{"short queues, nobody waits", 0, 0, false, 10, 10, 10, 0},
		{"far from the deadlines, nobody waits", 0, 0, false, 10, 10, 10, 0.1},
		{"queues as wanted", 1, 0, true, 10, 10, 10, 0},
	}
	for _, test := range tests {
		var l limiter
		l.resize(&c, 100, 10)
		l.tension = test.tension
		for i := range 200 {
			for n := range 100 {
				l.observe(2, uint16(test.queued), n < test.shed)
			}
			l.blocked = test.blocked
			l.adjust(&c, zinniatide.Millis(100*(i+1)))
			if i == 0 && (l.limit < test.least || l.limit > test.most) {
				t.Errorf("%s: got limit %g after one interval, want %g to %g", test.name, l.limit, test.least, test.most)
			}
		}
		if l.limit != test.end {
			t.Errorf("%s: got limit %g in the end, want %g", test.name, l.limit, test.end)
		}
	}
}

package relayer

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/limiter"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/transporter"
)

// Load: queries of which many lose parts to servers that are full. Guards against 503, which
// says "not run", for a query whose other parts run.
func TestFailedQueryThatRunsIsNotRefused(t *testing.T) {
	sim := newSimulation(t, testShards)
	ids := map[string]int{}
	for i := range 3000 {
		sim.After(zinniatide.Millis(i), func() {
			id := fmt.Sprintf("z%d", i)
			sim.relayer.Serve(&Request{ID: id, Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now()},
				func(reply Reply) { ids[id] = reply.Status })
		})
	}
	sim.run(sim.clock.Now() + 10_000)
	refused := 0
	for id, status := range ids {
		if status != statusUnavailable {
			continue
		}
		refused++
		for _, s := range sim.servers {
			if s.runCounts[id] > 0 {
				t.Fatalf("got 503 for request %s, which ran on %s", id, s.id)
			}
		}
	}
	if refused == 0 {
		t.Error("got no refusals, want some under overload")
	}
}

// Load: queries while the servers of all but two shards are cold and have their rate. Guards
// against queries that cannot be answered and run on the other shards.
func TestQueryWithoutRateIsRefusedUnsent(t *testing.T) {
	sim := newSimulation(t, testShards)
	for i := range sim.config.Routing.Services {
		sim.config.Routing.Services[i].ColdRate = 1
	}
	sim.config.RoutingNumber++
	for i := range sim.enrollments[4:] {
		sim.enrollments[4+i].ColdRemaining = 60_000
		sim.enrollments[4+i].Sequence++
	}
	sim.updateRelayer()
	status := map[int]int{}
	for i := range 100 {
		req := &Request{ID: fmt.Sprintf("z%d", i), Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now()}
		sim.relayer.Serve(req, func(reply Reply) { status[reply.Status]++ })
		sim.run(sim.clock.Now() + 5)
	}
	sim.run(sim.clock.Now() + 5000)
	if status[503] < 90 || status[502] > 0 {
		t.Errorf("got statuses %v, want most of them 503 and none 502", status)
	}
	if got, most := sim.arrivals("shard-00"), 100-status[503]; got > most {
		t.Errorf("got %d sends to a warm shard, want at most %d as answered queries", got, most)
	}
}

// Load: requests of all outcomes, callers that leave, timeouts and servers that never
// answer. Guards against capacity that is not given back.
func TestCapacityIsGivenBack(t *testing.T) {
	sim := newSimulation(t, testShards)
	counter := &countingAdmitter{}
	sim.relayer.capacity = counter
	for i, e := range sim.enrollments {
		s := sim.servers[e.Server]
		s.unreachable = i%11 == 0
		s.fault = func() (transporter.Result, int) {
			switch sim.random.IntN(12) {
			case 0:
				return transporter.NotRun, 503
			case 1:
				return transporter.ConnectionLost, 0
			case 2:
				return transporter.DeadlineExceeded, 0
			case 3:
				return transporter.Answered, 500
			}
			return transporter.Answered, 200
		}
	}
	for i := range 6000 {
		sim.After(zinniatide.Millis(i*2), func() {
			path := []string{"/q/x", "/p/x", "/once/x"}[i%3]
			req := &Request{ID: fmt.Sprintf("z%d", i), Host: "h", Path: path, Head: []byte("GET / HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now(), Timeout: 300}
			cancel := sim.relayer.Serve(req, func(Reply) {})
			if i%7 == 0 {
				sim.After(zinniatide.Millis(i%40), cancel)
			}
		})
	}
	sim.run(sim.clock.Now() + 30_000)
	if counter.admitted != 6000 || counter.ended != counter.admitted {
		t.Errorf("got %d requests admitted and %d ended, want 6000 of each", counter.admitted, counter.ended)
	}
	for id, s := range sim.relayer.servers {
		if got := s.InFlight(); got != 0 {
			t.Errorf("server %s: got %d requests in flight at the end, want 0", id.server, got)
		}
	}
}

// countingAdmitter admits all requests and counts the permits.
type countingAdmitter struct {
	firstCome
	admitted, ended int
}

func (c *countingAdmitter) Admit(zinniatide.CapacityRequest, zinniatide.Millis) zinniatide.CapacityDecision {
	c.admitted++
	return zinniatide.CapacityDecision{Permit: &countingPermit{counter: c}}
}

type countingPermit struct {
	counter         *countingAdmitter
	observed, ended bool
}

func (p *countingPermit) Observe(zinniatide.CapacityResult, zinniatide.Millis) {
	if p.observed || p.ended {
		panic("permit observed twice or after its end")
	}
	p.observed = true
}

func (p *countingPermit) End() {
	if p.ended {
		panic("permit ended twice")
	}
	p.ended = true
	p.counter.ended++
}

// Load: servers that pause, so that all queries have late parts, with a short retry budget.
// Guards against hedges of the lowest priority that use it up before the urgent ones, and
// against failed parts of a low priority that are not sent again.
func TestShortBudgetHedgesUrgentRequestsFirst(t *testing.T) {
	complete := map[string]float64{}
	for _, name := range []string{"first come", "by priority"} {
		var capacity zinniatide.CapacityAdmitter
		if name == "first come" {
			capacity = &firstCome{limiters: map[zinniatide.RouteID]*limiter.Limiter{}}
		}
		sim := newContention(t, capacity)
		for _, service := range sim.relayer.services {
			service.Budget = retrybudget.New(retrybudget.Config{Ratio: 0.1, Slack: 4, Window: 10_000}, 1, sim.clock.Now())
		}
		sim.schedulePauses(150, 1200)
		urgent := &callers{workspace: "w0", path: "/q0/x", perSecond: 15, target: testTarget}
		low := &callers{workspace: "w1", path: "/q2/x", perSecond: 45, target: testTarget}
		sim.runCallers(20_000, urgent, low)
		sim.run(sim.clock.Now() + 6000)
		left := testutil.ToFloat64(sim.relayer.metrics.leftHedges)
		t.Logf("%s: urgent %d of %d complete in time, low %d of %d, %.0f parts not hedged", name, urgent.complete, urgent.sent, low.complete, low.sent, left)
		complete[name] = float64(urgent.complete) / float64(urgent.sent)
		if name == "by priority" && left == 0 {
			t.Error("got no hedges left to urgent requests, want some")
		}
	}
	if got, want := complete["by priority"], complete["first come"]; got <= want {
		t.Errorf("got %.3f of the urgent requests complete in time, want more than %.3f as first come, first served", got, want)
	}
}

// Guards against operators who cannot see a shortage: the gauge and the counter of
// refusals by reason.
func TestShortageIsVisible(t *testing.T) {
	sim := newSimulation(t, testShards)
	registry := prometheus.NewRegistry()
	sim.relayer = New(sim.relayer.config, Dependencies{
		Lock: &sim.lock, Clock: sim.clock, Timer: sim, Random: sim.random, Names: sim.relayer.deps.Names, NewPool: sim.relayer.deps.NewPool, Registerer: registry,
	})
	sim.updateRelayer()
	for _, want := range []float64{0, 1} {
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() == "zinniatide_relay_short_pools" && family.GetMetric()[0].GetGauge().GetValue() != want {
				t.Errorf("got %v short pools, want %v", family.GetMetric()[0].GetGauge().GetValue(), want)
			}
		}
		for i := range 2000 {
			sim.After(zinniatide.Millis(i), func() { sim.sendRequest("/q/x", testTarget, testShards, &outcomeCounts{}) })
		}
		sim.run(sim.clock.Now() + 2000)
	}
	if got := testutil.ToFloat64(sim.relayer.metrics.refusals.WithLabelValues("overloaded")); got == 0 {
		t.Error("got no refusals with reason overloaded, want some")
	}
}

package relayer

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

const (
	testShards = 20
	testTarget = zinniatide.Millis(114) // the target of the route less the way to the caller
)

// pauses has each server stand still for length once in each period, at its
// own time.
func (w *world) pauses(length, period zinniatide.Millis) {
	for _, e := range w.list {
		s := w.servers[e.Server]
		var pause func()
		pause = func() {
			s.pausedUntil = w.clock.Now() + length
			w.After(period, pause)
		}
		w.After(zinniatide.Millis(w.random.Int64N(int64(period))), pause)
	}
}

// checkBudget fails when the repeats of a window exceed what all VMs may send.
// The one VM of the test has all of it.
func (w *world) checkBudget(out *tally, seconds float64) {
	w.t.Helper()
	for i := range testShards {
		service := w.relayer.table.Match("h", "/q/x").Shards[i]
		extra := float64(w.arrivals(service) - out.asked)
		if most := 0.2*float64(out.asked) + 52*max(1, seconds/10); extra > most {
			w.t.Errorf("service %s: got %.0f repeats, want at most %.0f", service, extra, most)
		}
	}
}

// Pattern: pause wave. Each server stands still for 150 ms in each 3.6 s, so
// more than half of all queries meet a paused server. Guards against queries
// that wait for it.
func TestPauseWave(t *testing.T) {
	w := newWorld(t, testShards)
	w.pauses(150, 3600)
	out := w.load("/q/x", 60, 20_000, testTarget, testShards)
	if got, want := out.worth, 0.97; got < want {
		t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
	}
	w.checkBudget(out, 20)
}

// Pattern: half of the servers slow. One server of each second shard takes
// eight times as long. Guards against work that goes on to slow servers while
// others are free.
func TestHalfOfTheServersSlow(t *testing.T) {
	w := newWorld(t, testShards)
	for i, e := range w.list {
		if e.Service != "plain" && i%4 == 0 {
			s := w.servers[e.Server]
			s.work = func() zinniatide.Millis { return 120 }
		}
	}
	out := w.load("/q/x", 50, 20_000, testTarget, testShards)
	if got, want := out.worth, 0.93; got < want {
		t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
	}
	w.checkBudget(out, 20)
}

// Pattern: one server of each shard dark. Guards against queries that wait for
// connections to servers that are gone.
func TestOneServerOfEachShardDark(t *testing.T) {
	w := newWorld(t, testShards)
	w.load("/q/x", 20, 2000, testTarget, testShards)
	for _, e := range w.list {
		if e.Zone == "a" && e.Service != "plain" {
			w.servers[e.Server].dark = true
		}
	}
	out := w.load("/q/x", 40, 10_000, testTarget, testShards)
	if got, want := out.worth, 0.95; got < want {
		t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
	}
}

// Pattern: servers that fail or shed four of ten requests while they look
// healthy. Guards against answers that lack parts which another server has.
func TestGreyServers(t *testing.T) {
	for name, fault := range map[string]transporter.Result{"errors": transporter.Answered, "lost": transporter.Lost, "shed": transporter.NotRun} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, testShards)
			for i, e := range w.list {
				if e.Service != "plain" && i%7 == 0 {
					w.servers[e.Server].fault = func() (transporter.Result, int) {
						if w.random.Float64() < 0.4 {
							return fault, 500
						}
						return transporter.Answered, 200
					}
				}
			}
			out := w.load("/q/x", 40, 10_000, testTarget, testShards)
			if got, want := out.worth, 0.95; got < want {
				t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
			}
			w.checkBudget(out, 10)
		})
	}
}

// Pattern: burst of twice what the servers can do. Guards against servers that
// are kept busy with requests nobody waits for any more: the completed work
// stays at nine tenths of what the servers can do.
func TestBurstOfTwiceTheCapacity(t *testing.T) {
	w := newWorld(t, 0)
	for i := range 4 {
		w.servers[w.list[i].Server].work = func() zinniatide.Millis { return 100 }
	}
	const capacity = 4 * 3 * 10 // servers, slots, requests a second in each
	out := w.load("/p/x", 2*capacity, 10_000, 500, 0)
	if got, want := float64(out.inTarget+out.late), 0.9*capacity*10; got < want {
		t.Errorf("got %.0f completed of %+v, want at least %.0f", got, *out, want)
	}
	if got, want := out.slowestRefusal, zinniatide.Millis(1000); got > want {
		t.Errorf("got a refusal after %d ms, want it within %d ms", got, want)
	}
}

// Pattern: every server of a service is lost. Guards against callers that wait
// for their deadline when it is known that they cannot be served.
func TestLostServiceIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, testShards)
	for _, e := range w.list {
		w.servers[e.Server].dark = true
	}
	w.load("/q/x", 10, 1000, testTarget, testShards) // finds the servers lost
	w.load("/p/x", 10, 1000, 500, 0)
	for _, path := range []string{"/q/x", "/p/x"} {
		out := w.load(path, 10, 2000, testTarget, testShards)
		if out.refused != out.asked || out.slowestRefusal > 0 {
			t.Errorf("%s: got %+v, want each request refused at once", path, *out)
		}
	}
}

// Pattern: half of all servers shed six of ten requests. A quarter of the
// shards has no other server, and repeats are bounded. Guards against repeats
// spent on queries that have enough parts or cannot get them: nine of ten
// queries are answered in time.
func TestHalfOfTheServersShed(t *testing.T) {
	w := newWorld(t, testShards)
	for i, e := range w.list {
		// Both servers of each fourth shard, one of each other second shard.
		if e.Service != "plain" && (i/2%4 == 0 || i/2%2 == 1 && i%2 == 0) {
			w.servers[e.Server].fault = func() (transporter.Result, int) {
				if w.random.Float64() < 0.6 {
					return transporter.NotRun, 503
				}
				return transporter.Answered, 200
			}
		}
	}
	out := w.load("/q/x", 60, 10_000, testTarget, testShards)
	if got, want := float64(out.inTarget), 0.9*float64(out.asked); got < want {
		t.Errorf("got %.0f of %d in time: %+v, want at least %.0f", got, out.asked, *out, want)
	}
	w.checkBudget(out, 10)
}

// Pattern: some shards have one server lost and the other eight times slower.
// Guards against their queues holding up queries that are complete enough
// without them.
func TestLostAndSlowServersOfSomeShards(t *testing.T) {
	w := newWorld(t, testShards)
	w.load("/q/x", 20, 2000, testTarget, testShards)
	for i, e := range w.list {
		if e.Service == "plain" || i/2 >= 5 {
			continue
		}
		s := w.servers[e.Server]
		s.dark = i%2 == 0
		s.work = func() zinniatide.Millis { return 120 }
	}
	out := w.load("/q/x", 60, 10_000, testTarget, testShards)
	if got, want := float64(out.inTarget), 0.9*float64(out.asked); got < want {
		t.Errorf("got %.0f of %d in time: %+v, want at least %.0f", got, out.asked, *out, want)
	}
}

// Pattern: burst on shards of which each has lost a server. Queries come at
// twice the rate that the other servers can do. Guards against a collapse in
// which every query waits in each queue and none is answered: nine tenths of what
// the servers can do is completed, and the others are refused at once.
func TestBurstOnHalfOfTheServers(t *testing.T) {
	w := newWorld(t, testShards)
	w.load("/q/x", 20, 2000, testTarget, testShards)
	for _, e := range w.list {
		if e.Zone == "b" {
			w.servers[e.Server].dark = true
		}
	}
	w.load("/q/x", 20, 2000, testTarget, testShards) // finds the servers lost
	const capacity = 2 * 1000 / 14.5                 // slots of a shard, mean work
	out := w.load("/q/x", 2*capacity, 10_000, testTarget, testShards)
	if got, want := float64(out.inTarget+out.late), 0.9*capacity*10; got < want {
		t.Errorf("got %.0f completed of %+v, want at least %.0f", got, *out, want)
	}
	if got, want := float64(out.inTarget), 0.9*float64(out.inTarget+out.late); got < want {
		t.Errorf("got %.0f in time of %+v, want nine tenths of the completed", got, *out)
	}
}

// Pattern: all servers return cold, with a bound on their rate. Guards against a
// process that ends because no server may get a request now, and against more
// requests than cold servers bear.
func TestAllServersColdWithABound(t *testing.T) {
	w := newWorld(t, testShards)
	const rate = 10.0
	for i := range w.config.Routing.Services {
		w.config.Routing.Services[i].ColdRate = rate
	}
	w.config.RoutingNumber++
	for i := range w.list {
		w.list[i].ColdLeft = 4000
		w.list[i].Sequence++
	}
	w.update()
	for _, path := range []string{"/q/x", "/p/x"} {
		w.load(path, 200, 3000, testTarget, testShards)
		for id, s := range w.servers {
			if most := 4 * rate * 1.5; float64(s.arrived) > most {
				t.Errorf("%s: got %d requests at cold server %s, want at most %.0f", path, s.arrived, id, most)
			}
			s.arrived = 0
		}
		for i := range w.list {
			w.list[i].ColdLeft += 4000 // cold again
			w.list[i].Sequence++
		}
		w.update()
	}
}

// Pattern: an index of 90 shards on small VMs with one server each left, where
// each query meets servers that pause. Guards against answers that wait for the last parts for as long as
// those of a few shards do and reach their callers late: a millisecond of work
// and sending for each 15 shards has to fit in besides the way of 11 ms.
func TestLargeAnswersLeaveSooner(t *testing.T) {
	const shards, routeTarget, way = 90, 120, 11
	w := newWorld(t, shards)
	w.pauses(150, 3600)
	for _, e := range w.list {
		w.servers[e.Server].dark = e.Zone == "b"
	}
	out := w.load("/q/x", 10, 5000, routeTarget-way-shards/15, shards)
	if got, want := out.worth, 0.85; got < want { // a shard is paused in 4 of 100 queries
		t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
	}
	if out.late > 0 || out.failed > 0 {
		t.Errorf("got %d late and %d failed of %d, want none", out.late, out.failed, out.asked)
	}
}

// Pattern: the first query of a VM meets a server that pauses. Guards against
// repeats that come late only because the VM has not seen any answers yet.
func TestFirstQueryIsRepeatedInTime(t *testing.T) {
	w := newWorld(t, testShards)
	w.servers["shard-03a"].pausedUntil = w.clock.Now() + 150
	out := &tally{}
	w.ask("/q/x", testTarget/2, testShards, out)
	w.run(w.clock.Now() + 1000)
	if out.complete != 1 {
		t.Errorf("got %+v, want a complete answer within half of the target", *out)
	}
}

package rollouter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

// behavior is how the servers of a version respond. share is the share of the requests
// that go to that version.
type behavior func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (latency zinniatide.Millis, failed, cold bool)

func good(rng *rand.Rand, _ int, _ zinniatide.Millis, _ float64) (zinniatide.Millis, bool, bool) {
	return zinniatide.Millis(8 + 8*rng.Float64()*rng.Float64()), false, false
}

// scenario is one rollout in a simulated fleet.
type scenario struct {
	rate        float64 // requests per second
	ramp        zinniatide.Millis
	vms, routes int
	old, target behavior
	// leaderLostAt is when the leader is lost, unless it is 0. Another one takes over after
	// leaderless.
	leaderLostAt, leaderless zinniatide.Millis
	// idleFrom is when the load ends, unless it is 0.
	idleFrom zinniatide.Millis
	config   *Config // testConfig if it is nil
}

// outcome is how a rollout went.
type outcome struct {
	state zinniatide.RolloutState
	at    zinniatide.Millis
	// requests and sent are counted up to the end of the ramp.
	requests, sent float64
	// fiftieth is when the 50th bad response came, or 0. lastSent is when the last
	// request was sent to the target.
	fiftieth, lastSent zinniatide.Millis
	reasons            []string
	shares             []float64
}

const (
	testReportInterval zinniatide.Millis = 200
	// testInstallDelay is the time from a decision until the VMs follow it: a commit and
	// a push.
	testInstallDelay zinniatide.Millis = 100
	testVMs          int               = 8
	// maxOverrun is the margin of the design note.
	maxOverrun zinniatide.Millis = 5000
)

var testConfig = Config{CanaryShare: 0.1, CanarySlack: 50, RollbackTime: 5000}

// simulatedVM is a relay VM: it counts the share exactly and reports.
type simulatedVM struct {
	credit   float64
	sequence uint64
	report   zinniatide.RolloutReport
}

type response struct {
	vm      int
	route   int
	target  bool
	failed  bool
	cold    bool
	latency zinniatide.Millis
}

func (s *scenario) run(seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	vms := make([]simulatedVM, max(s.vms, testVMs))
	routes := max(s.routes, 1)
	rollout := zinniatide.Rollout{Service: "s", Target: "v2", Ramp: s.ramp, State: zinniatide.RolloutRunning, Number: 1}
	for i := range vms {
		vms[i].report = zinniatide.RolloutReport{Service: "s", Number: 1, TargetAvailable: true, Routes: make([]zinniatide.RolloutCounts, routes)}
		vms[i].credit = float64(i) / float64(len(vms))
		for r := range routes {
			c := &vms[i].report.Routes[r]
			c.Route = zinniatide.RouteID(fmt.Sprint("r", r))
			c.Old.Latencies, c.Target.Latencies = make([]uint64, zinniatide.RolloutLatencyBuckets), make([]uint64, zinniatide.RolloutLatencyBuckets)
		}
	}
	config := testConfig
	if s.config != nil {
		config = *s.config
	}
	decider := New(config, rollout, 0)
	var out outcome
	share, nextShare, installAt, changedAt := 0.0, 0.0, zinniatide.Millis(0), zinniatide.Millis(0)
	pending := map[zinniatide.Millis][]response{}
	arrivals, bad := 0.0, 0
	oldBusyUntil := zinniatide.Millis(0)
	lostLeader := false
	for now := zinniatide.Millis(0); now < s.ramp+20_000; now++ {
		if now >= installAt {
			share = nextShare
		}
		for _, p := range pending[now] {
			c := &vms[p.vm].report.Routes[p.route]
			side := &c.Old
			if p.target {
				side = &c.Target
				if p.failed || p.latency > 30 && !p.cold {
					if bad++; bad == 50 {
						out.fiftieth = now
					}
				}
			}
			switch {
			case p.failed:
				side.Failures++
			case p.cold:
				side.ColdSuccesses++
			default:
				side.Latencies[zinniatide.LatencyBucket(p.latency)]++
			}
		}
		delete(pending, now)
		if s.idleFrom == 0 || now < s.idleFrom {
			arrivals += s.rate / 1000 * (0.5 + rng.Float64())
		}
		for ; arrivals >= 1; arrivals-- {
			i := rng.IntN(len(vms))
			vm := &vms[i]
			vm.report.Requests++
			vm.credit += share
			p := response{vm: i, route: rng.IntN(routes), target: vm.credit >= 1}
			c := &vm.report.Routes[p.route]
			if now < s.ramp {
				out.requests++
			}
			if p.target {
				vm.credit--
				c.Target.Sent++
				out.lastSent = now
				if now < s.ramp {
					out.sent++
				}
				p.latency, p.failed, p.cold = s.target(rng, p.route, now, share)
			} else {
				c.Old.Sent++
				p.latency, p.failed, p.cold = s.old(rng, p.route, now, 1-share)
				oldBusyUntil = max(oldBusyUntil, now+p.latency)
			}
			at := now + max(p.latency, 1)
			pending[at] = append(pending[at], p)
		}
		for i := range vms {
			if (now+zinniatide.Millis(i)*31)%testReportInterval == 0 {
				vms[i].sequence++
				copied := vms[i].report
				copied.Age = now
				copied.Routes = make([]zinniatide.RolloutCounts, routes)
				for r := range routes {
					c := vms[i].report.Routes[r]
					c.Old.Latencies = append([]uint64(nil), c.Old.Latencies...)
					c.Target.Latencies = append([]uint64(nil), c.Target.Latencies...)
					copied.Routes[r] = c
				}
				decider.Record(zinniatide.ProcessID(i+1), vms[i].sequence, &copied, now)
			}
		}
		if s.leaderLostAt > 0 && now >= s.leaderLostAt && now < s.leaderLostAt+s.leaderless {
			continue
		}
		if s.leaderLostAt > 0 && now >= s.leaderLostAt && !lostLeader {
			lostLeader = true
			rollout.Share = nextShare
			decider = New(config, rollout, now)
		}
		if now%zinniatide.TickInterval != 0 || now < changedAt+testInstallDelay {
			continue
		}
		fleet := Fleet{Reported: now > 300 && (!lostLeader || now > s.leaderLostAt+s.leaderless+300), Installed: true, OldIdle: now > oldBusyUntil+testReportInterval}
		d := decider.Decide(fleet, now)
		if d.Reason != "" {
			out.reasons = append(out.reasons, fmt.Sprintf("%d: %s %.3f %s", now, d.State, d.Share, d.Reason))
		}
		if d.State != zinniatide.RolloutRunning && out.state == "" {
			out.state, out.at = d.State, now
			if d.State == zinniatide.RolloutComplete {
				return out
			}
			// Requests that are sent until the roll-back is in force still count.
		}
		if out.state != "" {
			d.Share = 0
			if now > out.at+500 {
				return out
			}
		}
		if d.Share != nextShare {
			out.shares = append(out.shares, d.Share)
			nextShare, installAt, changedAt = d.Share, now+testInstallDelay, now
			decider.SetShare(d.Share)
		}
	}
	return out
}

const testSeeds = 8

// rates are those of a small and a large deployment, in requests per second.
var rates = []float64{3, 20, 100, 1000, 5000}

func failing(q float64) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (zinniatide.Millis, bool, bool) {
		latency, _, _ := good(rng, route, now, share)
		return latency, rng.Float64() < q, false
	}
}

func slow(q, factor float64) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (zinniatide.Millis, bool, bool) {
		latency, _, _ := good(rng, route, now, share)
		if rng.Float64() < q {
			latency = zinniatide.Millis(float64(latency) * factor)
		}
		return latency, false, false
	}
}

func from(at zinniatide.Millis, b behavior) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (zinniatide.Millis, bool, bool) {
		if now < at {
			return good(rng, route, now, share)
		}
		return b(rng, route, now, share)
	}
}

func onRoute(n int, b behavior) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (zinniatide.Millis, bool, bool) {
		if route != n {
			return good(rng, route, now, share)
		}
		return b(rng, route, now, share)
	}
}

func underLoad(share float64, b behavior) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, s float64) (zinniatide.Millis, bool, bool) {
		if s < share {
			return good(rng, route, now, s)
		}
		return b(rng, route, now, s)
	}
}

// Guards against a bad version that gets more requests than its budget, is found too late
// or becomes complete.
func TestBadVersions(t *testing.T) {
	const rollbackTime zinniatide.Millis = 5000
	// surelyFoundAt are the rates from which a version is found before it is complete. At
	// lower ones it shows too few bad responses within its budget.
	surelyFoundAt := map[string]float64{"fails few": 1000}
	for name, target := range map[string]behavior{
		"fails at once": failing(1), "fails half": failing(0.5), "fails a tenth": failing(0.1), "fails few": failing(0.03),
		"slow at once": slow(1, 5), "half slow": slow(0.5, 5),
		"fails from 6 s": from(6000, failing(0.5)), "fails from 11 s": from(11_000, failing(1)), "fails from 11.7 s": from(11_700, failing(1)),
		"slow from 9 s": from(9000, slow(1, 5)), "slow from 11.5 s": from(11_500, slow(1, 5)),
		"fails on one route": onRoute(2, failing(0.8)), "slow on one route": onRoute(2, slow(1, 5)),
		"fails under load": underLoad(0.2, failing(0.6)), "slow under load": underLoad(0.4, slow(1, 6)), "slow under full load": underLoad(0.9, slow(1, 6)),
	} {
		for _, rate := range rates[1:] {
			t.Run(fmt.Sprintf("%s/%v per s", name, rate), func(t *testing.T) {
				t.Parallel()
				largest, longest := 0.0, zinniatide.Millis(0)
				defer func() {
					t.Logf("at most %.2f of the budget used, last request %d ms after the 50th bad response", largest, longest)
				}()
				for seed := range uint64(testSeeds) {
					s := scenario{rate: rate, ramp: 12_000, routes: 4, old: good, target: target}
					if seed%2 == 1 {
						s.vms = 78
					}
					out := s.run(seed)
					largest = max(largest, out.sent/(testConfig.CanaryShare*out.requests+testConfig.CanarySlack))
					if out.fiftieth > 0 {
						longest = max(longest, out.lastSent-out.fiftieth)
					}
					if rate >= max(surelyFoundAt[name], 100) && out.state != zinniatide.RolloutRolledBack {
						t.Errorf("seed %d: got state %q at %d ms, want rolled back: %q", seed, out.state, out.at, out.reasons)
					}
					if most := testConfig.CanaryShare*out.requests + testConfig.CanarySlack; out.sent > most {
						t.Errorf("seed %d: got %.0f of %.0f requests on the bad version, want at most %.0f: %q", seed, out.sent, out.requests, most, out.reasons)
					}
					if out.fiftieth > 0 && out.lastSent > out.fiftieth+rollbackTime {
						t.Errorf("seed %d: got a request %d ms after the 50th bad response, want none after %d ms: %q", seed, out.lastSent-out.fiftieth, rollbackTime, out.reasons)
					}
				}
			})
		}
	}
}

// Guards against a bad version that gets more than its budget, or requests for too long,
// because the leader is lost with all that it knew.
func TestBadVersionsWithLostLeader(t *testing.T) {
	const rollbackTime, leaderless zinniatide.Millis = 5000, 1500
	for name, target := range map[string]behavior{
		"fails at once": failing(1), "fails from 6 s": from(6000, failing(0.5)), "fails from 11.5 s": from(11_500, failing(1)),
		"slow from 9 s": from(9000, slow(1, 5)), "fails under load": underLoad(0.2, failing(0.6)),
	} {
		for _, rate := range rates[2:] {
			t.Run(fmt.Sprintf("%s/%v per s", name, rate), func(t *testing.T) {
				t.Parallel()
				for _, lostAt := range []zinniatide.Millis{500, 6100, 9100, 11_200, 11_600, 11_900, 12_400} {
					s := scenario{rate: rate, ramp: 12_000, routes: 4, old: good, target: target, leaderLostAt: lostAt, leaderless: leaderless}
					out := s.run(1)
					if out.state != zinniatide.RolloutRolledBack {
						t.Errorf("lost at %d: got state %q at %d ms, want rolled back: %q", lostAt, out.state, out.at, out.reasons)
					}
					if most := testConfig.CanaryShare*out.requests + testConfig.CanarySlack; out.sent > most {
						t.Errorf("lost at %d: got %.0f of %.0f requests on the bad version, want at most %.0f: %q", lostAt, out.sent, out.requests, most, out.reasons)
					}
					if out.fiftieth > 0 && out.lastSent > out.fiftieth+rollbackTime {
						t.Errorf("lost at %d: got a request %d ms after the 50th bad response, want none after %d ms: %q", lostAt, out.lastSent-out.fiftieth, rollbackTime, out.reasons)
					}
				}
			})
		}
	}
}

// pausing returns a version with servers of which one pauses now and then, one after the
// other. Requests that meet a pause wait for its end.
func pausing(servers int, length, period zinniatide.Millis) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (zinniatide.Millis, bool, bool) {
		latency, _, _ := good(rng, route, now, share)
		server := rng.IntN(servers)
		if since := (now + zinniatide.Millis(server)*period/zinniatide.Millis(servers)) % period; since < length && rng.Float64() < 0.3 {
			latency += length - since // most requests go to the other servers
		}
		return latency, false, false
	}
}

func cold(until zinniatide.Millis) behavior {
	return func(rng *rand.Rand, route int, now zinniatide.Millis, share float64) (zinniatide.Millis, bool, bool) {
		latency, _, _ := good(rng, route, now, share)
		if now < until {
			return 4 * latency, false, true
		}
		return latency, false, false
	}
}

// Guards against a good version that is rolled back or late, because its servers are
// noisy, pause, are cold, fail as often as the old ones, or there is little or no load.
func TestGoodVersions(t *testing.T) {
	for name, s := range map[string]scenario{
		"good":                 {old: good, target: good},
		"both fail":            {old: failing(0.05), target: failing(0.05)},
		"both are noisy":       {old: slow(0.05, 10), target: slow(0.05, 10)},
		"target pauses":        {old: good, target: pausing(4, 300, 4000)},
		"both pause":           {old: pausing(6, 800, 5000), target: pausing(6, 800, 5000)},
		"cold":                 {old: good, target: cold(8000)},
		"leader lost early":    {old: good, target: good, leaderLostAt: 700},
		"leader lost at ramp":  {old: good, target: good, leaderLostAt: 11_600},
		"leader lost at 1":     {old: good, target: good, leaderLostAt: 12_900},
		"load ends":            {old: good, target: good, idleFrom: 5000},
		"no load":              {old: good, target: good, idleFrom: 1},
		"ramp of a second":     {old: good, target: good, ramp: 1000},
		"ramp of a minute":     {old: good, target: good, ramp: 60_000},
		"many VMs":             {old: good, target: good, vms: 78},
		"old fails, new works": {old: failing(0.3), target: good},
	} {
		for _, rate := range rates {
			t.Run(fmt.Sprintf("%s/%v per s", name, rate), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(testSeeds) {
					s := s
					s.rate, s.routes = rate, 4
					if s.ramp == 0 {
						s.ramp = 12_000
					}
					if s.ramp > 20_000 && rate > 1000 {
						continue
					}
					out := s.run(seed)
					if out.state != zinniatide.RolloutComplete || out.at > s.ramp+maxOverrun {
						t.Errorf("seed %d: got state %q at %d ms, want complete by %d ms: %q", seed, out.state, out.at, s.ramp+maxOverrun, out.reasons)
					}
				}
			})
		}
	}
}

// Guards against a share that falls back, or never reaches 1, with limits that are unusual.
func TestUnusualLimits(t *testing.T) {
	for _, config := range []Config{{0, 0, 5000}, {0, 50, 5000}, {0.001, 0, 5000}, {0.3, 0, 0}, {0.42, 10, 5000}, {0.6, 50, 5000}, {1, 0, 5000}, {1, 1e6, 5000}} {
		s := scenario{rate: 500, ramp: 6000, old: good, target: good, config: &config}
		last := 0.0
		out := s.run(1)
		for _, share := range out.shares {
			if share < last && share > maxCanaryFraction*config.CanaryShare {
				t.Errorf("%+v: got share %v after %v, want none lower: %q", config, share, last, out.reasons)
			}
			last = share
		}
		if out.state != zinniatide.RolloutComplete || out.at > s.ramp+maxOverrun {
			t.Errorf("%+v: got state %q at %d ms, want complete by %d ms: %q", config, out.state, out.at, s.ramp+maxOverrun, out.reasons)
		}
	}
}

package granter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
)

const (
	testWindow zinniatide.Millis = 5000
	// configApply is config_apply_ms of the specification.
	configApply zinniatide.Millis = 4000
)

const (
	testOvershoot = 0.1
	testSlack     = 20
)

func useFixedSeed() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
}

// limitChange is a limit and when it was committed.
type limitChange struct {
	at          zinniatide.Millis
	rate, burst float64
}

// scenario is one run of a fleet with faults.
type scenario struct {
	vms, zones int
	limits     []limitChange // relative times
	faults     []fault
	load       float64 // requests divided by what the limit allows
	spread     int     // VMs that get the requests
	// pause is the time without requests before each burst of half a second, or 0 for
	// requests all the time.
	pause zinniatide.Millis
	// withoutServers are times from which no request runs for a while: all are refused and
	// give their tokens back.
	withoutServers []zinniatide.Millis
	seed           uint64
	duration       zinniatide.Millis
}

type fault struct {
	kind string
	at   zinniatide.Millis
	vm   int
	// lasts is its duration.
	lasts zinniatide.Millis
}

var faultKinds = []string{"cut", "cut half", "freeze", "suspend", "kill", "kill counter", "suspend counter", "cut counter", "freeze half", "wall clock", "restart counter",
	"rolling restart", "suspend half", "cut the counter's half", "counter returns", "suspend and cut"}

func drawScenario(t *rapid.T) *scenario {
	s := &scenario{
		vms: rapid.IntRange(10, 80).Draw(t, "vms"), zones: rapid.IntRange(1, 3).Draw(t, "zones"),
		load: rapid.SampledFrom([]float64{0.6, 1.5, 4}).Draw(t, "load"), seed: rapid.Uint64().Draw(t, "seed"), duration: 26_000,
	}
	s.pause = rapid.SampledFrom([]zinniatide.Millis{0, 0, 2500, 3500, 4500, 9500}).Draw(t, "pause")
	s.spread = rapid.IntRange(1, s.vms).Draw(t, "spread")
	s.limits = []limitChange{{0, rapid.SampledFrom([]float64{0.5, 10, 60, 200}).Draw(t, "rate"), rapid.SampledFrom([]float64{0, 5, 100}).Draw(t, "burst")}}
	if rapid.Bool().Draw(t, "changes") {
		s.limits = append(s.limits, limitChange{zinniatide.Millis(rapid.IntRange(6000, 16_000).Draw(t, "changed at")),
			s.limits[0].rate * rapid.SampledFrom([]float64{0, 0.2, 2}).Draw(t, "factor"), s.limits[0].burst / 2})
		if rapid.Bool().Draw(t, "changes again") {
			s.limits = append(s.limits, limitChange{s.limits[1].at + zinniatide.Millis(rapid.IntRange(100, 8000).Draw(t, "changed again after")), s.limits[0].rate, s.limits[0].burst})
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "times without servers") {
		s.withoutServers = append(s.withoutServers, zinniatide.Millis(rapid.IntRange(2000, 16_000).Draw(t, "without servers at")))
	}
	for range rapid.IntRange(1, 5).Draw(t, "faults") {
		s.faults = append(s.faults, fault{rapid.SampledFrom(faultKinds).Draw(t, "kind"), zinniatide.Millis(rapid.IntRange(4000, 18_000).Draw(t, "at")),
			rapid.IntRange(0, s.vms-1).Draw(t, "vm"), zinniatide.Millis(rapid.IntRange(200, 12_000).Draw(t, "lasts"))})
	}
	return s
}

const testWorkspace zinniatide.WorkspaceID = "w"

// run plays the scenario and returns the fleet, and the limits by their absolute times.
func (s *scenario) run(p plant) (*fleet, []limitChange) {
	f := newFleet(s.vms, s.zones, rand.New(rand.NewPCG(s.seed, 1)), p) //nolint:gosec // fixed seed
	begin := f.now
	var limits []limitChange
	for _, l := range s.limits {
		f.after(l.at, func() {
			l.at = f.now
			if l.rate <= 0 { // the workspace is dropped
				l.rate, l.burst = limits[len(limits)-1].rate, limits[len(limits)-1].burst
				f.setLimits(zinniatide.RelayWorkspace{Workspace: "other", Rate: 1})
			} else {
				f.setLimits(zinniatide.RelayWorkspace{Workspace: testWorkspace, Rate: l.rate, Burst: l.burst})
			}
			limits = append(limits, l)
		})
	}
	for _, at := range s.withoutServers {
		f.after(at, func() { f.returned = 1 })
		f.after(at+1500, func() { f.returned = 0 })
	}
	for _, fl := range s.faults {
		f.after(fl.at, func() { f.inject(fl) })
	}
	perSecond := s.load * (s.limits[0].rate + s.limits[0].burst/5)
	if s.pause > 0 {
		perSecond = s.load * 4 * (s.limits[0].rate + s.limits[0].burst)
	}
	var next func()
	next = func() {
		if s.pause > 0 && (f.now-begin)%(s.pause+500) >= 500 {
			f.after(s.pause+500-(f.now-begin)%(s.pause+500), next)
			return
		}
		f.request(f.vms[f.random.IntN(s.spread)], testWorkspace)
		if f.now < begin+s.duration {
			f.after(zinniatide.Millis(f.random.ExpFloat64()*1000/perSecond+f.random.Float64()), next)
		}
	}
	f.after(0, next)
	f.runUntil(begin + s.duration + 1000)
	return f, limits
}

// counter returns the VM that counts the workspace by the newest configuration, or nil if
// all relay VMs have been removed.
func (f *fleet) counter() *vm {
	if vms := ranking(f.config); len(vms) > 0 {
		return f.find(vms[0])
	}
	return nil
}

func (f *fleet) inject(fl fault) {
	m, half := f.vms[fl.vm], f.vms[:len(f.vms)/2]
	if f.config.Routing == nil || len(ranking(f.config)) == 0 {
		return
	}
	switch fl.kind {
	case "cut":
		f.isolate([]*vm{m}, fl.lasts)
	case "cut counter":
		f.isolate([]*vm{f.counter()}, fl.lasts)
	case "cut half":
		f.isolate(half, fl.lasts)
	case "freeze", "suspend":
		m.stop(fl.lasts, fl.kind == "suspend")
	case "suspend counter":
		f.counter().stop(fl.lasts, true)
	case "freeze half", "suspend half":
		for _, h := range half {
			h.stop(fl.lasts, fl.kind == "suspend half")
		}
	case "cut the counter's half":
		f.isolate(f.counterHalf(), fl.lasts)
	case "suspend and cut":
		half = f.counterHalf()
		for _, h := range half {
			h.stop(fl.lasts, true)
		}
		f.isolate(half, fl.lasts+6000)
	case "counter returns":
		// The VM that counted in the meantime is cut off just before it learns of it.
		returning := f.counter()
		returning.kill(10_500)
		f.after(10_450, func() {
			if c := f.counter(); c != nil && c != returning {
				f.isolate(f.counterHalf(returning), fl.lasts)
			}
		})
	case "kill":
		m.kill(fl.lasts / 4)
	case "kill counter":
		f.counter().kill(fl.lasts / 4)
	case "restart counter":
		f.counter().restart()
	case "wall clock":
		m.wallStep += 10 * fl.lasts
	case "rolling restart":
		for i, r := range f.vms {
			f.after(zinniatide.Millis(i)*250, r.restart)
		}
	}
}

// counterHalf returns half of the VMs with the counting one, without the given ones.
func (f *fleet) counterHalf(without ...*vm) []*vm {
	half := []*vm{f.counter()}
	for _, m := range f.vms {
		if len(half) < len(f.vms)/2 && m != half[0] && !slices.Contains(without, m) {
			half = append(half, m)
		}
	}
	return half
}

// isolate cuts VMs off from the leader and from the other VMs.
func (f *fleet) isolate(vms []*vm, d zinniatide.Millis) {
	for _, m := range vms {
		f.cut[m] = true
	}
	f.after(d, func() {
		for _, m := range vms {
			delete(f.cut, m)
		}
	})
}

// violation returns a description of the first window with too many requests, or "".
// A limit counts until a window after all VMs had to follow its successor.
func violation(runs []zinniatide.Millis, limits []limitChange) string {
	slices.Sort(runs)
	first := 0
	for last := range runs {
		for runs[last]-runs[first] >= testWindow {
			first++
		}
		rate, burst := 0.0, 0.0
		for i, l := range limits {
			ended := i+1 < len(limits) && limits[i+1].at+configApply+testWindow <= runs[first]
			if l.at <= runs[last] && !ended {
				rate, burst = max(rate, l.rate), max(burst, l.burst)
			}
		}
		bound := (rate*float64(testWindow)/1000+burst)*(1+testOvershoot) + testSlack
		if got := float64(last - first + 1); got > bound {
			return fmt.Sprintf("%v requests in the window from %d to %d, want at most %v", got, runs[first], runs[last], bound)
		}
	}
	return ""
}

// Guards against more requests in a window than the limit, its overshoot and its slack
// allow, over all VMs, while VMs are cut off, frozen, suspended, killed and restarted, and
// the limit changes.
func TestBoundHoldsDuringFaults(t *testing.T) {
	useFixedSeed()
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		f, limits := s.run(plant{})
		admitted += f.outcome["admitted"]
		if v := violation(f.runs[testWorkspace], limits); v != "" {
			t.Errorf("%s; scenario %+v, outcomes %v", v, s, f.outcome)
		}
		if n := f.outcome["without retry-after or reason"]; n > 0 {
			t.Errorf("got %d refusals without Retry-After or reason, want none", n)
		}
	})
	if admitted < 1000 {
		t.Errorf("got %d admitted requests in all runs, want enough to test the bound", admitted)
	}
}

// Guards against a property test that finds nothing: each planted fault must break the
// bound in some scenario.
func TestPlantedFaultsBreakTheBound(t *testing.T) {
	for _, row := range []struct {
		name  string
		plant plant
		fault string
		lasts zinniatide.Millis
		limit limitChange
		pause zinniatide.Millis
	}{
		{"new counting VM does not wait", plant{noWait: true}, "counter returns", 8000, limitChange{0, 60, 5}, 0},
		{"leases on a clock that stops", plant{monotonicLeases: true}, "suspend and cut", 9500, limitChange{0, 60, 5}, 0},
		{"outdated configuration trusted", plant{trustsOldConfiguration: true}, "cut the counter's half", 14_000, limitChange{0, 60, 5}, 0},
		{"new counting VM grants the burst at once", plant{burstAtOnce: true}, "counter returns", 8000, limitChange{0, 10, 100}, 3500},
	} {
		t.Run(row.name, func(t *testing.T) {
			found := 0
			for seed := range uint64(12) {
				s := &scenario{vms: 20, zones: 2, load: 4, spread: 20, seed: seed, duration: 26_000, limits: []limitChange{row.limit}, pause: row.pause,
					faults: []fault{{row.fault, 7000 + 300*zinniatide.Millis(seed), 0, row.lasts}}} //nolint:gosec // small
				f, limits := s.run(row.plant)
				if violation(f.runs[testWorkspace], limits) != "" {
					found++
				}
				if f, limits = s.run(plant{}); violation(f.runs[testWorkspace], limits) != "" {
					t.Errorf("seed %d: %s without the fault", seed, violation(f.runs[testWorkspace], limits))
				}
			}
			if found == 0 {
				t.Error("got no violation, want one in at least one scenario")
			}
		})
	}
}

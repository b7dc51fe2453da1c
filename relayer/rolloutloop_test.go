package relayer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/rollouter"
	"zinniatide.example/zinniatide/transporter"
)

// rolloutLoop connects the relayer of a simulation with the decider of each rollout. A
// decision takes effect after loopDelay.
type rolloutLoop struct {
	sim      *simulation
	deciders map[zinniatide.ServiceID]*rollouter.Rollouter
	fleet    map[zinniatide.ServiceID]rollouter.Fleet
	// endedAt and reasons are when and why each rollout ended.
	endedAt map[zinniatide.ServiceID]zinniatide.Millis
	reasons map[zinniatide.ServiceID][]string
	begin   zinniatide.Millis
}

const (
	loopDelay zinniatide.Millis = 100
	loopRamp  zinniatide.Millis = 12_000
	// loopMargin is the margin of the design note.
	loopMargin zinniatide.Millis = 5000
	loopSeeds  int               = 3
)

func (sim *simulation) startRolloutLoop(services ...zinniatide.ServiceID) *rolloutLoop {
	l := &rolloutLoop{sim: sim, deciders: map[zinniatide.ServiceID]*rollouter.Rollouter{}, fleet: map[zinniatide.ServiceID]rollouter.Fleet{},
		endedAt: map[zinniatide.ServiceID]zinniatide.Millis{}, reasons: map[zinniatide.ServiceID][]string{}, begin: sim.clock.Now()}
	sim.relayer.deps.ReportRollouts = func(reports *zinniatide.RolloutReports) {
		for i := range reports.Reports {
			report := &reports.Reports[i]
			l.deciders[report.Service].Record(reports.Process, reports.Sequence, report, sim.clock.Now())
			l.fleet[report.Service] = rollouter.Fleet{Reported: true, Installed: reports.Epoch == sim.config.Epoch, OldIdle: reports.Epoch == sim.config.Epoch && report.OldInFlight == 0}
		}
	}
	for _, service := range services {
		sim.setRollout(service, zinniatide.RolloutRunning, 0)
		rollout := sim.config.Rollouts[service]
		rollout.Ramp = loopRamp
		l.deciders[service] = rollouter.New(rollouter.Config{CanaryShare: 0.1, CanarySlack: 50, RollbackTime: 5000}, rollout, sim.clock.Now())
		sim.After(100, func() { l.decide(service) })
	}
	return l
}

func (l *rolloutLoop) decide(service zinniatide.ServiceID) {
	sim, now := l.sim, l.sim.clock.Now()
	if now-l.begin > loopRamp+3*loopMargin {
		return
	}
	current := sim.config.Rollouts[service]
	d := l.deciders[service].Decide(l.fleet[service], now)
	if d.State == current.State && d.Share == current.Share {
		sim.After(100, func() { l.decide(service) })
		return
	}
	l.reasons[service] = append(l.reasons[service], fmt.Sprintf("%d: %s %.3f %s", now-l.begin, d.State, d.Share, d.Reason))
	sim.After(loopDelay, func() {
		sim.setRollout(service, d.State, d.Share)
		l.deciders[service].SetShare(d.Share)
		l.fleet[service] = rollouter.Fleet{Reported: true}
		if d.State != zinniatide.RolloutRunning {
			l.endedAt[service] = sim.clock.Now() - l.begin
			return
		}
		l.decide(service)
	})
}

// target returns the servers of the target version of a service.
func (sim *simulation) target(service zinniatide.ServiceID) (out []*simServer) {
	for _, e := range sim.enrollments {
		if e.Service == service && e.Version == "v2" {
			out = append(out, sim.servers[e.Server])
		}
	}
	return out
}

// Guards against decisions that are wrong with the answers as a relay VM sees them: late
// ones are hedged, failed ones are retried elsewhere, loaded servers queue and shed, and
// paused ones answer all at once.
func TestRolloutDecisionsOnRelayedRequests(t *testing.T) {
	work := func(sim *simulation, from, length zinniatide.Millis) func() zinniatide.Millis {
		return func() zinniatide.Millis { return from + zinniatide.Millis(sim.random.Int64N(int64(length))) }
	}
	for _, row := range []struct {
		name   string
		inject func(sim *simulation, s *simServer, i int)
		good   bool
	}{
		{"good", func(*simulation, *simServer, int) {}, true},
		{"good, all servers pause", nil, true},
		{"good, one target server pauses", func(sim *simulation, s *simServer, i int) {
			if i > 0 {
				return
			}
			var pause func()
			pause = func() {
				s.pausedUntil = sim.clock.Now() + 400
				sim.After(3000, pause)
			}
			sim.After(1000, pause)
		}, true},
		{"good, one target server ends at once", func(sim *simulation, s *simServer, i int) {
			if i == 0 {
				sim.After(6000, func() { s.unreachable = true })
			}
		}, true},
		{"good, a fifth slower", func(sim *simulation, s *simServer, _ int) { s.drawWorkTime = work(sim, 10, 16) }, true},
		{"fails half", func(sim *simulation, s *simServer, _ int) {
			s.fault = func() (transporter.Result, int) { return transporter.Answered, 200 + 300*sim.random.IntN(2) }
		}, false},
		{"fails half from 9 s", func(sim *simulation, s *simServer, _ int) {
			sim.After(9000, func() {
				s.fault = func() (transporter.Result, int) { return transporter.Answered, 200 + 300*sim.random.IntN(2) }
			})
		}, false},
		{"drops all from 11.5 s", func(sim *simulation, s *simServer, _ int) {
			sim.After(11_500, func() {
				s.fault = func() (transporter.Result, int) { return transporter.ConnectionLost, 0 }
			})
		}, false},
		{"five times slower from 5 s", func(sim *simulation, s *simServer, _ int) {
			sim.After(5000, func() { s.drawWorkTime = work(sim, 40, 70) })
		}, false},
		{"slower with two requests at a time", func(sim *simulation, s *simServer, _ int) {
			s.drawWorkTime = func() zinniatide.Millis {
				if s.running < 2 {
					return 8 + zinniatide.Millis(sim.random.IntN(14))
				}
				return 90 + zinniatide.Millis(sim.random.IntN(14))
			}
		}, false},
	} {
		for _, load := range []struct {
			path     string
			rate     float64
			services []zinniatide.ServiceID
		}{{"/p/x", 250, []zinniatide.ServiceID{"plain"}}, {"/q/x", 80, []zinniatide.ServiceID{"shard-01", "shard-02"}}} {
			for seed := range uint64(loopSeeds) {
				sim := newRolloutSimulation(t, 4)
				*sim.random = *rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // fixed seed
				if row.inject == nil {
					sim.schedulePauses(150, 3600)
				}
				for _, service := range load.services {
					for i, s := range sim.target(service) {
						if row.inject != nil {
							row.inject(sim, s, i)
						}
					}
				}
				sim.runLoad(load.path, load.rate, 1000, 5000, 4)
				l := sim.startRolloutLoop(load.services...)
				atRamp := map[zinniatide.ServiceID]int{}
				sim.After(loopRamp, func() {
					for _, service := range load.services {
						atRamp[service] = sim.sends(service, "v2")
					}
				})
				sim.runLoad(load.path, load.rate, loopRamp+2*loopMargin, 5000, 4)
				for _, service := range load.services {
					got, want := sim.config.Rollouts[service].State, zinniatide.RolloutComplete
					if !row.good {
						want = zinniatide.RolloutRolledBack
					}
					if got != want || row.good && l.endedAt[service] > loopRamp+loopMargin {
						t.Errorf("%s%s, seed %d, %s: got %s at %d ms, want %s: %q", row.name, load.path, seed, service, got, l.endedAt[service], want, l.reasons[service])
					}
					if most := int(0.1*load.rate*float64(loopRamp)/1000) + 50; !row.good && atRamp[service] > most {
						t.Errorf("%s%s, seed %d, %s: got %d requests on the bad version within the ramp, want at most %d: %q", row.name, load.path, seed, service, atRamp[service], most, l.reasons[service])
					}
				}
			}
		}
	}
}

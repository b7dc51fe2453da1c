package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

// simulatedServer runs requests without slots and crashes at times.
type simulatedServer struct {
	downUntil zinniatide.Millis
	running   []simulatedRequest
}

type simulatedRequest struct {
	fingerprint zinniatide.Fingerprint
	relay       zinniatide.VMID
	id          string
	start, end  zinniatide.Millis
}

// quarantineOutcome counts the requests of one run.
type quarantineOutcome struct{ harmless, harmlessRefused, crashingRan, crashingRefused, crashes int }

// simulateCrashes runs a minute with requests that many callers send alike, rare ones,
// one that crashes its servers and comes again, and servers that crash by themselves.
// No request is sent twice by a relay VM.
func simulateCrashes(t *testing.T, random *rand.Rand) (out quarantineOutcome) {
	const (
		step, duration         = zinniatide.Millis(50), zinniatide.Millis(60_000)
		common, rare, crashing = zinniatide.Fingerprint(1), zinniatide.Fingerprint(10), zinniatide.Fingerprint(99)
		rareKinds              = 20
		downTime               = zinniatide.Millis(4500)
	)
	f := newFleet(t, 6)
	servers := make([]simulatedServer, 7)
	ownCrashEvery := zinniatide.Millis(2000 + random.IntN(20_000))
	nextCrashing, n := zinniatide.Millis(random.IntN(5000)), 0
	lose := func(s *simulatedServer, now zinniatide.Millis) {
		out.crashes++
		for _, r := range s.running {
			f.vms[r.relay].ReportUnanswered(r.fingerprint, zinniatide.UnansweredAttempt{ID: r.id, Age: now - r.start})
		}
		s.running, s.downUntil = nil, now+downTime
	}
	send := func(fingerprint zinniatide.Fingerprint, now, work zinniatide.Millis) {
		n++
		relay := f.relays[random.IntN(len(f.relays))]
		refused := f.vms[relay].QuarantineLeft(fingerprint) > 0
		switch {
		case fingerprint == crashing && refused:
			out.crashingRefused++
		case fingerprint == crashing: // counted below if a server runs it
		case refused:
			out.harmlessRefused++
			out.harmless++
		default:
			out.harmless++
		}
		s := &servers[random.IntN(len(servers))]
		if refused || now < s.downUntil {
			return
		}
		if fingerprint == crashing {
			out.crashingRan++
		}
		s.running = append(s.running, simulatedRequest{fingerprint, relay, fmt.Sprint(n), now, now + work})
	}
	start := f.clock.Now()
	for now := start; now < start+duration; now += step {
		f.clock.Advance(step)
		for i := range servers {
			s := &servers[i]
			kept := s.running[:0]
			poisoned := false
			for _, r := range s.running {
				switch {
				case r.fingerprint == crashing:
					poisoned = true
					kept = append(kept, r)
				case now >= r.end:
					f.vms[r.relay].ReportAnswered(r.fingerprint)
				default:
					kept = append(kept, r)
				}
			}
			s.running = kept
			if poisoned || now >= s.downUntil && random.IntN(int(ownCrashEvery/step)*len(servers)) == 0 {
				lose(s, now)
			}
		}
		for range 3 {
			send(common, now, zinniatide.Millis(100+random.IntN(600)))
		}
		if random.IntN(4) == 0 {
			send(rare+zinniatide.Fingerprint(random.IntN(rareKinds)), now, 400)
		}
		if now-start >= nextCrashing {
			send(crashing, now, 20)
			nextCrashing += 1200
		}
	}
	return out
}

// Guards against a quarantine that refuses harmless requests while servers crash, and
// against one that lets a crashing request run on: of 1,000 runs, at most one in 1,000
// harmless requests may be refused, and no crashing request may run more than six
// times.
func TestErrorRatesOfQuarantine(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6)) //nolint:gosec // fixed seed
	var total quarantineOutcome
	most := 0
	for range 1000 {
		o := simulateCrashes(t, random)
		total.harmless += o.harmless
		total.harmlessRefused += o.harmlessRefused
		total.crashingRan += o.crashingRan
		total.crashingRefused += o.crashingRefused
		total.crashes += o.crashes
		most = max(most, o.crashingRan)
	}
	t.Logf("%d harmless requests, %d refused; crashing requests ran %d times, %d at most in a run, and were refused %d times; %d crashes",
		total.harmless, total.harmlessRefused, total.crashingRan, most, total.crashingRefused, total.crashes)
	if got, want := total.harmlessRefused, total.harmless/1000; got > want {
		t.Errorf("got %d harmless requests refused, want %d at most", got, want)
	}
	if got, want := most, RelayConfig().StrikeLimit+3; got > want {
		t.Errorf("got %d runs of a crashing request, want %d at most", got, want)
	}
}

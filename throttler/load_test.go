package throttler

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// leastUse is the share of the requests without a pace that a healthy server must get:
// it must not be left idle.
const leastUse = 0.9

// checkNotWorse guards against requests that fail or are late because of the pace.
func checkNotWorse(t *testing.T, got, baseline result) {
	t.Helper()
	if got, most := got.late+got.failed, baseline.late+baseline.failed; got > most {
		t.Errorf("got %d late and failed requests, want at most %d, as many as with a baseline", got, most)
	}
}

func checkUsed(t *testing.T, got, none result) {
	t.Helper()
	if got, least := float64(got.atReturning), leastUse*float64(none.atReturning); got < least {
		t.Errorf("got %.0f requests at the returning server, want at least %.0f", got, least)
	}
}

func checkPeak(t *testing.T, got, none result) {
	t.Helper()
	if got.peak > none.peak {
		t.Errorf("got a peak of %d requests at the returning server, want at most %d, as without a pace", got.peak, none.peak)
	}
}

// Load: a cold server among warm ones that is 1.6 times slower for 3 s. Guards against a
// server that is left idle because it is somewhat slower.
func TestColdServerAmongWarmOnes(t *testing.T) {
	cold := func(now zinniatide.Millis, _ int) float64 {
		if now < 3000 {
			return 1.6 * usualLatency
		}
		return usualLatency
	}
	got, ramp, none := compare(t, func() *load {
		return &load{vms: 8, perSecond: 2400, servers: fleet(4, 1, cold), returning: 1, duration: 4000, deadline: 100}
	})
	checkNotWorse(t, got, ramp)
	checkNotWorse(t, got, none)
	checkUsed(t, got, none)
	checkPeak(t, got, none)
}

// Load: a recovered server under a backlog of 60 requests at once, which gets slower
// with each request that it runs. Guards against a flood of the server.
func TestRecoveredServerUnderBacklog(t *testing.T) {
	got, ramp, none := compare(t, func() *load {
		return &load{vms: 8, perSecond: 2200, servers: fleet(4, 1, contended(2000)), returning: 1, duration: 3000, deadline: 100, backlog: 60}
	})
	checkNotWorse(t, got, ramp)
	checkNotWorse(t, got, none)
	checkPeak(t, got, none)
}

// Load: all servers of a shard restarted at once. Guards against requests that fail
// because each server is paced.
func TestAllServersRestarted(t *testing.T) {
	got, ramp, none := compare(t, func() *load {
		return &load{vms: 8, perSecond: 340, servers: fleet(2, 2, contended(2000)), returning: 2, duration: 3000, deadline: 100}
	})
	checkNotWorse(t, got, ramp)
	checkNotWorse(t, got, none)
	if got.failed > 0 || got.atReturning != got.sent {
		t.Errorf("got %d of %d requests at the servers and %d failed, want all and none", got.atReturning, got.sent, got.failed)
	}
}

// Load: a server that stays three times slower. Guards against a queue at it while its
// peers suffice for the load (2,200 requests a second of 2,400), and against a server that
// gets nothing although it answers. At 2,400 they do not suffice, and it must queue, too.
func TestServerThatStaysSlow(t *testing.T) {
	for _, perSecond := range []float64{2200, 2400} {
		got, ramp, none := compare(t, func() *load {
			return &load{vms: 8, perSecond: perSecond, servers: fleet(4, 1, constant(3*usualLatency)), returning: 1, duration: 4000, deadline: 100}
		})
		checkNotWorse(t, got, ramp)
		checkNotWorse(t, got, none)
		checkUsed(t, got, none)
		checkPeak(t, got, none)
		if got, most := got.peak, 8; got > most && perSecond < 2400 {
			t.Errorf("got a peak of %d requests at the slow server, want at most its %d slots", got, most)
		}
	}
}

// Load: a server that sheds all but one request at a time. Guards against a stream of
// requests that it refuses.
func TestServerThatSheds(t *testing.T) {
	got, ramp, none := compare(t, func() *load {
		servers := fleet(4, 1, constant(usualLatency))
		servers[0].slots, servers[0].queueLimit = 1, 0
		return &load{vms: 8, perSecond: 1600, servers: servers, returning: 1, duration: 4000, deadline: 100}
	})
	checkNotWorse(t, got, ramp)
	checkNotWorse(t, got, none)
	if got, most := got.sheds, none.sheds/4; got > most {
		t.Errorf("got %d refusals, want at most %d, a quarter of those without a pace", got, most)
	}
}

// Load: a server that is as fast as its peers at once. Guards against a healthy server
// that is left idle.
func TestFastServer(t *testing.T) {
	got, ramp, none := compare(t, func() *load {
		return &load{vms: 8, perSecond: 2400, servers: fleet(4, 1, constant(usualLatency)), returning: 1, duration: 3000, deadline: 100}
	})
	checkNotWorse(t, got, ramp)
	checkNotWorse(t, got, none)
	checkUsed(t, got, none)
}

// Load: many VMs with few answers each. Guards against a flood by the sum of them, and
// against a healthy server that is left idle because each VM learns slowly.
func TestManyVMs(t *testing.T) {
	for name, work := range map[string]func(zinniatide.Millis, int) float64{"weak": contended(2000), "healthy": constant(usualLatency)} {
		t.Run(name, func(t *testing.T) {
			got, ramp, none := compare(t, func() *load {
				return &load{vms: 78, perSecond: 2200, servers: fleet(4, 1, work), returning: 1, duration: 4000, deadline: 100}
			})
			checkNotWorse(t, got, ramp)
			checkNotWorse(t, got, none)
			checkUsed(t, got, none)
			if got, most := got.early, none.early*3/4; got > most {
				t.Errorf("got %d requests in the first 300 ms, want at most %d, three quarters of those without a pace", got, most)
			}
		})
	}
	t.Run("one answer a second", func(t *testing.T) {
		got, ramp, none := compare(t, func() *load {
			return &load{vms: 78, perSecond: 312, servers: fleet(4, 1, constant(usualLatency)), returning: 1, duration: 4000, deadline: 100}
		})
		checkNotWorse(t, got, ramp)
		checkNotWorse(t, got, none)
		checkUsed(t, got, none)
	})
}

// Guards against more requests in flight than intended by all VMs that begin at the same
// time, for any number of VMs and slots: they all ask every millisecond, and the server
// answers none in the first 100 ms.
func TestSumOverVMsAtTheBeginning(t *testing.T) {
	for _, vms := range []int{1, 3, 78, 500} {
		for _, slots := range []int{1, 2, 8, 64} {
			inFlight := 0
			throttlers := make([]Throttler, vms)
			counts := make([]int, vms)
			for vm := range throttlers {
				throttlers[vm].SetFleet(Fleet{VMs: vms, Phase: float64(vm) / float64(vms), Slots: slots})
				throttlers[vm].Begin(0, CauseNew)
			}
			const latency = 100.0
			for now := zinniatide.Millis(0); now < zinniatide.Millis(latency); now++ {
				for vm := range throttlers {
					if throttlers[vm].MaySend(now, counts[vm], latency) {
						throttlers[vm].RecordSend(now)
						counts[vm]++
						inFlight++
					}
				}
			}
			// The last term is what maxSpacing allows in addition.
			most := max(float64(slots)*minStartShare, 1) + 1 + float64(vms)*latency/maxSpacing
			if float64(inFlight) > most || inFlight == 0 {
				t.Errorf("%d VMs, %d slots: got %d requests in flight, want 1 to %.0f", vms, slots, inFlight, most)
			}
		}
	}
}

// Guards against a fast server that is kept below its full pace: three good answers lead
// to it, and one if it comes after a second.
func TestFullPaceAfterFewGoodAnswers(t *testing.T) {
	for _, row := range []struct {
		gap     zinniatide.Millis
		answers int
	}{{10, 3}, {1000, 1}} {
		var tr Throttler
		tr.SetFleet(Fleet{VMs: 4, Slots: 8})
		tr.Begin(0, CauseBackoff)
		for i := range row.answers {
			now := zinniatide.Millis(i+1) * row.gap
			tr.RecordAnswer(Answer{SentAt: now - 10, Now: now, Latency: 10, PeerLatency: 10, Queue: -1})
		}
		if got := tr.Share(); tr.Active() && got < 1 {
			t.Errorf("answers %d ms apart: got share %.2f after %d good answers, want at least 1", row.gap, got, row.answers)
		}
	}
}

// Guards against signals that are ignored, counted twice, or counted although they
// belong to requests from before the pace.
func TestSignals(t *testing.T) {
	good := Answer{SentAt: 100, Now: 110, Latency: 10, PeerLatency: 10, Queue: -1}
	slow, queued, sharedQueue, old := good, good, good, good
	slow.Latency = 80
	queued.Queue, queued.PeerQueue = 20, 2
	sharedQueue.Queue, sharedQueue.PeerQueue = 20, 19
	old.SentAt = -5
	unknown := Answer{SentAt: 100, Now: 110, Latency: 500, Queue: -1}
	for _, row := range []struct {
		name string
		do   func(tr *Throttler)
		sign int // of the change of the share
	}{
		{"good", func(tr *Throttler) { tr.RecordAnswer(good) }, 1},
		{"no peers", func(tr *Throttler) { tr.RecordAnswer(unknown) }, 1},
		{"queue as long as that of the peers", func(tr *Throttler) { tr.RecordAnswer(sharedQueue) }, 1},
		{"before the pace", func(tr *Throttler) { tr.RecordAnswer(old) }, 0},
		{"failure before the pace", func(tr *Throttler) { tr.RecordTrouble(-5, 10) }, 0},
		{"slow", func(tr *Throttler) { tr.RecordAnswer(slow) }, -1},
		{"long queue", func(tr *Throttler) { tr.RecordAnswer(queued) }, -1},
		{"failure", func(tr *Throttler) { tr.RecordTrouble(100, 110) }, -1},
	} {
		var tr Throttler
		tr.SetFleet(Fleet{VMs: 1, Slots: 8})
		tr.Begin(0, CauseNew)
		tr.share = 0.9
		row.do(&tr)
		got := 0
		if tr.Share() > 0.9 {
			got = 1
		} else if tr.Share() < 0.9 {
			got = -1
		}
		if got != row.sign {
			t.Errorf("%s: got share %.2f from 0.9, want a change of sign %d", row.name, tr.Share(), row.sign)
		}
		lower := tr.Share()
		tr.RecordTrouble(105, 111) // sent before a decrease at 110
		if row.sign < 0 && tr.Share() != lower {
			t.Errorf("%s: got share %.2f after another failure of the same time, want %.2f", row.name, tr.Share(), lower)
		}
	}
}

// Guards against a pace that never ends for a server that is slow for good.
func TestSteadyServerIsNoLongerPaced(t *testing.T) {
	var tr Throttler
	tr.SetFleet(Fleet{VMs: 1, Slots: 8})
	tr.Begin(0, CauseNew)
	now := zinniatide.Millis(0)
	for ; tr.Active() && now < 60_000; now += 100 {
		tr.RecordAnswer(Answer{SentAt: now, Now: now + 30, Latency: 30, PeerLatency: 10, Queue: 0})
	}
	if now < steadyTime-100 || now > steadyTime+200 {
		t.Errorf("got an end after %d ms, want about %d", now, steadyTime)
	}
}

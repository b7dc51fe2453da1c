package relayer

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// Guards against a reported work time that has no effect, and against ignored figures
// that are not counted or change the choice.
func TestReportedWorkTimes(t *testing.T) {
	isSlow := func(now zinniatide.Millis) bool { return now/200%2 == 1 }
	// The server plain-1 is three times slower in each second 200 ms. run returns the
	// share of its requests that reach it in these times.
	run := func(change func(sim *simulation, a *transporter.Answer)) (float64, *simulation) {
		sim := newSimulation(t, testShards)
		for _, id := range []zinniatide.BackendServerID{"plain-0", "plain-1", "plain-2", "plain-3"} {
			sim.servers[id].drawWorkTime = func() zinniatide.Millis { return 15 }
		}
		s := sim.servers["plain-1"]
		s.drawWorkTime = func() zinniatide.Millis {
			if isSlow(sim.clock.Now()) {
				return 45
			}
			return 15
		}
		s.change = func(a *transporter.Answer) { change(sim, a) }
		sim.runLoad("/p/x", 500, 10_000, testTarget, 0)
		n := 0
		for _, at := range s.arrivedAt {
			if isSlow(at) {
				n++
			}
		}
		return float64(n) / float64(s.arrived), sim
	}
	without, _ := run(func(*simulation, *transporter.Answer) {})
	ignored, sim := run(func(_ *simulation, a *transporter.Answer) { a.InvalidLoad = true })
	if ignored != without {
		t.Errorf("got a share of %v of the requests at a slow server with invalid figures, want %v as at one without", ignored, without)
	}
	if got, want := int(testutil.ToFloat64(sim.relayer.metrics.invalidLoads)), sim.servers["plain-1"].arrived; got != want {
		t.Errorf("got %d answers with ignored figures counted, want %d", got, want)
	}
	with, _ := run(func(sim *simulation, a *transporter.Answer) {
		a.WorkTime = 100
		if isSlow(sim.clock.Now()) {
			a.WorkTime = 300
		}
	})
	t.Logf("share of the requests while the server is slow: %.2f with its figures, %.2f without", with, without)
	if with >= without {
		t.Errorf("got a share of %.2f of the requests while the server reports to be slow, want less than %.2f, that without figures", with, without)
	}
}

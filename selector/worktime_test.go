package selector

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
)

// workTimeLoad is a load of many VMs on servers whose machines change their speed at
// random times: three quarters of the time as usual, and slow by a factor otherwise.
type workTimeLoad struct {
	vms, servers int
	perSecond    float64
	slowness     float64
	period       zinniatide.Millis // mean time between changes of a machine
	// figure returns what an answer reports of a machine that takes factor times as long
	// as usual, or 0 for three figures. age is added to the age of the figure.
	figure func(factor float64, random *rand.Rand) float64
	age    zinniatide.Millis
	seed   uint64
}

type workTimeServer struct {
	factors []float64 // at each time
	running int
	waiting []*workTimeJob
}

type workTimeJob struct {
	server *Server
	index  int
	sentAt zinniatide.Millis
}

// run returns the mean and the 95th percentile of the latencies.
func (l *workTimeLoad) run() (mean, p95 float64) {
	const duration, slots = 10_000, 4
	speeds := rand.New(rand.NewPCG(1, l.seed))   //nolint:gosec // fixed seed
	arrivals := rand.New(rand.NewPCG(2, l.seed)) //nolint:gosec // fixed seed
	choices := rand.New(rand.NewPCG(3, l.seed))  //nolint:gosec // fixed seed
	servers := make([]workTimeServer, l.servers)
	for i := range servers {
		factor := 1.0
		for range duration + 2000 {
			if speeds.IntN(int(l.period)) == 0 {
				factor = 1
				if speeds.IntN(4) == 0 {
					factor = l.slowness
				}
			}
			servers[i].factors = append(servers[i].factors, factor)
		}
	}
	vms := make([]*Service, l.vms)
	for vm := range vms {
		vms[vm] = &Service{}
		for i := range l.servers {
			vms[vm].Servers = append(vms[vm].Servers, &Server{Service: vms[vm], Enrollment: zinniatide.Enrollment{
				Server: zinniatide.BackendServerID(fmt.Sprint(i)), Zone: "a", Slots: slots, State: zinniatide.StateIn}})
		}
	}
	ends := map[zinniatide.Millis][]*workTimeJob{}
	start := func(j *workTimeJob, now zinniatide.Millis) {
		s := &servers[j.index]
		s.running++
		end := now + max(1, zinniatide.Millis(math.Round(10*s.factors[now]*(0.7+0.6*choices.Float64()))))
		ends[end] = append(ends[end], j)
	}
	var latencies []float64
	next := 0.0
	for now := zinniatide.Millis(1); now < duration; now++ {
		for _, j := range ends[now] {
			s := &servers[j.index]
			s.running--
			if len(s.waiting) > 0 {
				first := s.waiting[0]
				s.waiting = s.waiting[1:]
				start(first, now)
			}
			j.server.SetReportedQueue(len(s.waiting), now)
			if figure := l.figure(s.factors[max(now-l.age, 0)], choices); figure > 0 {
				j.server.SetReportedWorkTime(figure, now)
			}
			j.server.Service.Latency.Add(float64(now - j.sentAt))
			j.server.RecordSuccess(j.sentAt, now)
			latencies = append(latencies, float64(now-j.sentAt))
		}
		delete(ends, now)
		for ; next <= float64(now); next += 1000 / l.perSecond * arrivals.ExpFloat64() {
			service := vms[arrivals.IntN(l.vms)]
			server := service.Pick(&Options{Zone: "a", Now: now, ZoneExcluded: func(zinniatide.ZoneID) bool { return false }, Random: choices})
			server.RecordStart(now)
			j := &workTimeJob{server: server, index: slices.Index(service.Servers, server), sentAt: now}
			if s := &servers[j.index]; s.running < slots {
				start(j, now)
			} else {
				s.waiting = append(s.waiting, j)
			}
		}
	}
	slices.Sort(latencies)
	for _, l := range latencies {
		mean += l / float64(len(latencies))
	}
	return mean, latencies[len(latencies)*95/100]
}

func exactFigure(factor float64, _ *rand.Rand) float64 { return usualWorkTime * factor }

func noFigure(float64, *rand.Rand) float64 { return 0 }

// Guards against a figure that makes the choice of the server no better: if each VM asks
// a server often, and if it does so rarely, so that its figures are old: 78 VMs with
// 1,000 requests a second get an answer of a server each 0.6 s, and most machines change
// in less time. The mean over all rates and periods counts. The third result is that of
// figures that were half a second old when they were sent; it is logged only, because
// nothing tells how old a figure is then.
func TestWorkTimeImprovesLatency(t *testing.T) {
	const seeds = 5
	runSeeds := func(l workTimeLoad) (mean, p95 float64) {
		for l.seed = range seeds {
			m, p := l.run()
			mean, p95 = mean+m/seeds, p95+p/seeds
		}
		return mean, p95
	}
	for _, vms := range []int{8, 32, 78} {
		sum, noneSum, oldSum := 0.0, 0.0, 0.0
		for _, perSecond := range []float64{500, 1000, 1500} {
			for _, period := range []zinniatide.Millis{100, 300, 1000} {
				l := workTimeLoad{vms: vms, servers: 8, perSecond: perSecond, slowness: 3, period: period, figure: noFigure}
				noneMean, noneP95 := runSeeds(l)
				l.figure = exactFigure
				mean, p95 := runSeeds(l)
				l.age = 500
				oldMean, oldP95 := runSeeds(l)
				t.Logf("%d VMs, %.0f/s, change each %d ms: mean %.1f ms, p95 %.0f ms; without figures %.1f and %.0f; sent half a second late %.1f and %.0f",
					vms, perSecond, period, mean, p95, noneMean, noneP95, oldMean, oldP95)
				sum, noneSum, oldSum = sum+mean/9, noneSum+noneMean/9, oldSum+oldMean/9
			}
		}
		t.Logf("%d VMs: mean %.2f ms, without figures %.2f, sent half a second late %.2f", vms, sum, noneSum, oldSum)
		if sum >= noneSum {
			t.Errorf("%d VMs: got a mean latency of %.2f ms, want less than %.2f ms, that without figures", vms, sum, noneSum)
		}
	}
}

// Guards against an effect of a figure that says nothing: a machine that is always as
// fast as usual is chosen exactly as one that sends three figures.
func TestUsualWorkTimeHasNoEffect(t *testing.T) {
	l := workTimeLoad{vms: 8, servers: 4, perSecond: 600, slowness: 3, period: 300, figure: noFigure}
	wantMean, wantP95 := l.run()
	l.figure = func(float64, *rand.Rand) float64 { return usualWorkTime }
	if mean, p95 := l.run(); mean != wantMean || p95 != wantP95 {
		t.Errorf("got %v and %v ms, want %v and %v ms", mean, p95, wantMean, wantP95)
	}
}

// Guards against a server that is avoided or preferred by its figure for good, although
// the figure is old.
func TestWorkTimeDecays(t *testing.T) {
	for percent, least := range map[float64]float64{10: 1 - minWorkFactor - 1e-9, 300: 0.5, 10_000: 0.5} {
		var s Server
		s.SetReportedWorkTime(percent, 1000)
		fresh, aged := math.Abs(s.workTime.factor(1000)-1), math.Abs(s.workTime.factor(2000)-1)
		if fresh < least || aged > 0.1 {
			t.Errorf("figure %v: got a deviation of %.2f, and of %.3f after 1 s, want at least %.2f and at most 0.1", percent, fresh, aged, least)
		}
	}
}

// Guards against VMs that all choose the same server because all see the same figures:
// one fast machine among three slow ones, or one slow machine among three usual ones.
func TestSameFiguresDoNotHerd(t *testing.T) {
	const vms = 78
	for _, figures := range [][]float64{{100, 200, 200, 200}, {200, 100, 100, 100}, {50, 100, 100, 100}} {
		counts := make([]int, len(figures))
		for vm := range vms {
			service := &Service{}
			for i, figure := range figures {
				s := &Server{Service: service, Enrollment: zinniatide.Enrollment{Server: zinniatide.BackendServerID(fmt.Sprint(i)), Zone: "a", Slots: 4, State: zinniatide.StateIn}}
				s.RecordSuccess(990, 1000)
				s.SetReportedWorkTime(figure, 1000)
				service.Servers = append(service.Servers, s)
			}
			chosen := service.Pick(&Options{Zone: "a", Now: 1001, ZoneExcluded: func(zinniatide.ZoneID) bool { return false },
				Random: rand.New(rand.NewPCG(4, uint64(vm)))}) //nolint:gosec // fixed seed
			counts[slices.Index(service.Servers, chosen)]++
		}
		t.Logf("figures %v: chosen %v", figures, counts)
		for i, n := range counts {
			if n > vms*9/10 || n == 0 {
				t.Errorf("figures %v: got server %d chosen by %d of %d VMs, want some and at most nine tenths", figures, i, n, vms)
			}
		}
		fastest := slices.Index(figures, slices.Min(figures))
		if counts[fastest] < vms/len(figures) {
			t.Errorf("figures %v: got %d choices of a fastest server, want at least %d", figures, counts[fastest], vms/len(figures))
		}
	}
}

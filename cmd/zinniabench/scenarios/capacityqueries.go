package scenarios

import (
	"errors"
	"fmt"
	"time"

	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

// queryRates are in queries per second over all entry VMs.
var queryRates = []float64{20, 50, 100, 150, 200, 300}

const queryWindow = 4 * time.Second

// capacityQueries measures the processor time of 8 entry VMs, as coordinators
// and as owners, by the rate of sub-queries. The intercept is their idle cost.
var capacityQueries = Scenario{Name: "capacity-queries", Processes: true, Run: func(e *Env) error {
	if len(e.Pids) == 0 || len(e.Seeds) == 0 || e.Counts == "" {
		return errors.New("this scenario needs --pids, --seeds and --counts; make bench SCENARIO=capacity-queries gives them")
	}
	l := loader.New(loader.Config{
		Seeds: e.Seeds, Service: service, Tenant: "counter", Class: "interactive", Timeout: 2 * time.Second, Seed: e.Seed,
	})
	recorder.Pace(steadyRate, 3*time.Second, func(i int) { _, _ = l.Search("warm-up", fmt.Sprint("warm-up-", i)) })
	if err := e.reportIdle(); err != nil {
		return err
	}
	cpu := &series{name: "entry-VMs-cpu", unit: "ms/s", per: "sub-queries/s"}
	memory := &series{name: "entry-VM-memory-max", unit: "B", per: "sub-queries/s"}
	latency := &series{name: "p99", unit: "ms", per: "sub-queries/s"}
	for _, rate := range queryRates {
		before, err := e.snapshot()
		if err != nil {
			return err
		}
		start, r := time.Now(), recorder.New()
		recorder.Pace(rate, queryWindow, func(i int) { r.Search(l, fmt.Sprintf("rate-%g-%d", rate, i)) })
		after, err := e.snapshot()
		if err != nil {
			return err
		}
		if failed := r.Failed(); failed > 0 {
			return fmt.Errorf("%d of %d searches failed at %g per second: %w", failed, r.Total(), rate, r.FirstError())
		}
		seconds := time.Since(start).Seconds()
		x := float64(after.totals.SubQueries-before.totals.SubQueries) / seconds
		cpu.add(x, ms(after.cpu-before.cpu)/seconds)
		memory.add(x, float64(after.memory))
		latency.add(x, r.Quantile(0.99))
	}
	return e.reportSeries("capacity-queries", cpu, memory, latency)
}}

// reportIdle measures the entry VMs while only announcements and control work
// reach them.
func (e *Env) reportIdle() error {
	start := time.Now()
	before, err := e.snapshot()
	if err != nil {
		return err
	}
	time.Sleep(queryWindow)
	after, err := e.snapshot()
	if err != nil {
		return err
	}
	idle := ms(after.cpu-before.cpu) / time.Since(start).Seconds() / float64(len(e.Pids))
	return e.report("capacity-queries", "idle-cpu-per-VM", "ms/s", none, idle)
}

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

// capacityQueries measures the CPU time of 8 entry VMs, as coordinators and as
// owners, depending on the rate of sub-queries. The intercept is their idle cost.
var capacityQueries = Scenario{Name: "capacity-queries", NeedsProcesses: true, Run: func(e *Env) error {
	if len(e.EntryPIDs) == 0 || len(e.EntryAddresses) == 0 || e.CountsAddress == "" {
		return errors.New("this scenario requires --pids, --seeds and --counts; run it with make bench SCENARIO=capacity-queries")
	}
	l := loader.New(loader.Config{
		Seeds: e.EntryAddresses, Service: serviceID, Workspace: "counter", Class: "interactive", Timeout: 2 * time.Second, RandomSeed: e.Seed,
	})
	recorder.RunOpenLoop(steadyRate, 3*time.Second, func(i int) { _, _ = l.Search("warm-up", fmt.Sprint("warm-up-", i)) })
	if err := e.reportIdle(); err != nil {
		return err
	}
	cpu := &scalingSeries{name: "entry-VMs-cpu", unit: "ms/s", sizeUnit: "sub-queries/s"}
	memory := &scalingSeries{name: "entry-VM-memory-max", unit: "B", sizeUnit: "sub-queries/s"}
	latency := &scalingSeries{name: "p99", unit: "ms", sizeUnit: "sub-queries/s"}
	for _, rate := range queryRates {
		before, err := e.snapshot()
		if err != nil {
			return err
		}
		start, r := time.Now(), recorder.New()
		recorder.RunOpenLoop(rate, queryWindow, func(i int) { r.Search(l, fmt.Sprintf("rate-%g-%d", rate, i)) })
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

// reportIdle reports the CPU use of the entry VMs while they handle only
// announcements and control messages.
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
	idle := ms(after.cpu-before.cpu) / time.Since(start).Seconds() / float64(len(e.EntryPIDs))
	return e.reportMetric("capacity-queries", "idle-cpu-per-VM", "ms/s", noValue, idle)
}

package scenarios

import (
	"fmt"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/emulator"
	"zinniatide.example/zinniatide/recorder"
)

// backendRamp is the capacity of the backend servers after a start. A server
// that immediately gets its full share of the load in the cold scenarios, 50
// requests per second, is overloaded for more than a second.
var backendRamp = zinniatide.ColdStartSetting{InitialRate: 10, DoubleAfter: 20, FullRate: 160}

const (
	coldRate       = 150 // queries per second
	coldDuration   = 10 * time.Second
	coldFaultDelay = 3 * time.Second
)

// coldConfig has 8 shards with three replicas each. Each server gets about 50
// requests per second, which exceeds its initial rate after a start.
func coldConfig(cold zinniatide.ColdStartSetting) systemConfig {
	return systemConfig{
		shards: 8, serversPerZone: 8, searchersPerServer: 1, slots: 2, serviceTime: 3, minServiceTime: 1,
		assumedColdStart: cold, actualColdStart: backendRamp, entryVMs: 6, linkDelay: zoneLinkDelay,
	}
}

// coldStart restarts the backend servers of one zone under load and kills an
// entry VM, so that the buckets of some servers get another owner. It counts
// requests beyond the capacity of the servers. The baseline has no warm-up policy.
var coldStart = Scenario{Name: "cold-start", Run: func(e *Env) error {
	inject := func(c *cluster.Cluster) {
		for _, s := range serversIn(c, zones[0]) {
			s.Crash()
		}
		time.Sleep(500 * time.Millisecond)
		for _, s := range serversIn(c, zones[0]) {
			_ = s.Start() // if the port is taken, the server stays down, which shows in the metrics
		}
		time.Sleep(1500 * time.Millisecond)
		c.KillVM(len(zones)) // the second entry VM of the zone
	}
	return runCold(e, "cold-start", inject)
}}

// turnedCold makes running servers cold without a new incarnation. They run
// slowly for 3 s, the time until they have ramped up again.
var turnedCold = Scenario{Name: "turned-cold", Run: func(e *Env) error {
	inject := func(c *cluster.Cluster) {
		for _, s := range serversIn(c, zones[0]) {
			s.ResetColdStart()
			s.SetSlowdown(10)
		}
		time.Sleep(3 * time.Second)
		for _, s := range serversIn(c, zones[0]) {
			s.SetSlowdown(1)
		}
	}
	return runCold(e, "turned-cold", inject)
}}

func runCold(e *Env, name string, inject func(*cluster.Cluster)) error {
	baselineBeyond, baseline, err := measureCold(e, unlimitedRamp, inject)
	if err != nil {
		return err
	}
	measuredBeyond, measured, err := measureCold(e, backendRamp, inject)
	if err != nil {
		return err
	}
	return e.reportMetrics(name, []metric{
		{"beyond-allowance", "count", baselineBeyond, measuredBeyond},
		{"p99", "ms", baseline.Quantile(0.99), measured.Quantile(0.99)},
		{"coverage-min", "ratio", baseline.CoverageMin(), measured.CoverageMin()},
		{"failed", "count", float64(baseline.Failed()), float64(measured.Failed())},
	})
}

func measureCold(e *Env, cold zinniatide.ColdStartSetting, inject func(*cluster.Cluster)) (float64, *recorder.Recorder, error) {
	c, err := e.startCluster(coldConfig(cold))
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	l := e.newCallers(c, time.Second, "counter")
	// The load rises to 1/6, 1/3, 2/3 and all of coldRate, because servers start
	// cold. Durations in ms.
	for i, step := range []time.Duration{2500, 1500, 1000, 1000} {
		l.sendSearches(recorder.New(), coldRate*min(1, float64(int(1)<<i)/6), step*time.Millisecond, fmt.Sprint("warm-up-", i))
	}
	before := c.Backends.Totals().BeyondAllowance
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(coldFaultDelay)
		inject(c)
	}()
	r := recorder.New()
	l.sendSearches(r, coldRate, coldDuration, "cold")
	<-done
	return float64(c.Backends.Totals().BeyondAllowance - before), r, nil
}

func serversIn(c *cluster.Cluster, zone zinniatide.ZoneID) []*emulator.Emulator {
	var list []*emulator.Emulator
	for _, s := range c.Backends.Emulators {
		if s.Zone() == zone {
			list = append(list, s)
		}
	}
	return list
}

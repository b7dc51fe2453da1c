package scenarios

import (
	"fmt"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/emulator"
	"zinniatide.example/zinniatide/recorder"
)

// trueRamp is what the servers of the cold scenarios bear after a start. A
// server that gets its full part of the load at once, 50 requests per second,
// is beyond it for more than a second.
var trueRamp = zinniatide.ColdStartSetting{InitialRate: 10, DoubleAfter: 20, FullRate: 160}

const (
	coldRate  = 150 // queries per second
	coldTime  = 10 * time.Second
	coldAfter = 3 * time.Second
)

// coldPlan is a service of 8 shards with three replicas each, so that each
// server gets about 50 requests per second, above what it bears after a start.
func coldPlan(cold zinniatide.ColdStartSetting) plan {
	return plan{
		shards: 8, serversPerZone: 8, searchers: 1, slots: 2, serviceTime: 3, minTime: 1,
		cold: cold, trueCold: trueRamp, entries: 6, delay: associationDelay,
	}
}

// coldStart restarts the servers of one zone under load, and moves their
// owners by ending an entry VM, and counts requests beyond what the servers
// bear. The baseline has no warm-up policy.
var coldStart = Scenario{Name: "cold-start", Run: func(e *Env) error {
	disturb := func(c *cluster.Cluster) {
		for _, s := range serversIn(c, zones[0]) {
			s.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, s := range serversIn(c, zones[0]) {
			_ = s.Start() // a port that is taken leaves the server down, which the counts show
		}
		time.Sleep(1500 * time.Millisecond)
		c.Kill(len(zones)) // the second entry VM of the zone
	}
	return runCold(e, "cold-start", disturb)
}}

// turnedCold turns servers cold without a new incarnation: they become slow
// until they have ramped up again.
var turnedCold = Scenario{Name: "turned-cold", Run: func(e *Env) error {
	disturb := func(c *cluster.Cluster) {
		for _, s := range serversIn(c, zones[0]) {
			s.TurnCold()
			s.SetSlow(10)
		}
		time.Sleep(3 * time.Second)
		for _, s := range serversIn(c, zones[0]) {
			s.SetSlow(1)
		}
	}
	return runCold(e, "turned-cold", disturb)
}}

func runCold(e *Env, name string, disturb func(*cluster.Cluster)) error {
	beyondBefore, before, err := measureCold(e, warm, disturb)
	if err != nil {
		return err
	}
	beyond, after, err := measureCold(e, trueRamp, disturb)
	if err != nil {
		return err
	}
	return e.reportAll(name, []metric{
		{"beyond-allowance", "count", beyondBefore, beyond},
		{"p99", "ms", before.Quantile(0.99), after.Quantile(0.99)},
		{"coverage-min", "ratio", before.CoverageMin(), after.CoverageMin()},
		{"failed", "count", float64(before.Failed()), float64(after.Failed())},
	})
}

func measureCold(e *Env, cold zinniatide.ColdStartSetting, disturb func(*cluster.Cluster)) (float64, *recorder.Recorder, error) {
	c, err := e.start(coldPlan(cold))
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	l := e.callers(c, time.Second, "counter")
	for i, step := range []time.Duration{2500, 1500, 1000, 1000} {
		l.load(recorder.New(), coldRate*min(1, float64(int(1)<<i)/6), step*time.Millisecond, fmt.Sprint("warm-up-", i))
	}
	before := c.StandIns.Totals().BeyondAllowance
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(coldAfter)
		disturb(c)
	}()
	r := recorder.New()
	l.load(r, coldRate, coldTime, "cold")
	<-done
	return float64(c.StandIns.Totals().BeyondAllowance - before), r, nil
}

func serversIn(c *cluster.Cluster, zone zinniatide.ZoneID) []*emulator.Emulator {
	var list []*emulator.Emulator
	for _, s := range c.StandIns.Servers {
		if s.Zone() == zone {
			list = append(list, s)
		}
	}
	return list
}

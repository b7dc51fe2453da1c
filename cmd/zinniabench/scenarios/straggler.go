package scenarios

import (
	"math/rand/v2"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
	"zinniatide.example/zinniatide/querier"
	"zinniatide.example/zinniatide/recorder"
)

// straggler measures queries over 84 shards while 1% of the searchers are slow.
// The slow searchers change every two seconds, so that the latency history of a
// server does not predict its latency. The baseline sends each sub-request once,
// to a random replica.
var straggler = Scenario{Name: "straggler", Run: func(e *Env) error {
	baselineConfig := querier.DefaultConfig()
	baselineConfig.HedgeFraction, baselineConfig.RetryFraction, baselineConfig.RandomReplica = 0, 0, true
	baseline, _, err := runStraggler(e, baselineConfig)
	if err != nil {
		return err
	}
	measured, extra, err := runStraggler(e, querier.DefaultConfig())
	if err != nil {
		return err
	}
	if err = e.writeSeries("straggler"+reporter.BaselineSuffix, baseline); err != nil {
		return err
	}
	if err = e.writeSeries("straggler", measured); err != nil {
		return err
	}
	return e.reportMetrics("straggler", []metric{
		{"p99", "ms", baseline.Quantile(0.99), measured.Quantile(0.99)},
		{"p50", "ms", baseline.Quantile(0.5), measured.Quantile(0.5)},
		{"coverage-min", "ratio", baseline.CoverageMin(), measured.CoverageMin()},
		{"failed", "count", float64(baseline.Failed()), float64(measured.Failed())},
		{"extra-load", "percent", noValue, extra},
	})
}}

const (
	stragglerShards   = 84
	stragglerSlowdown = 80
	stragglerRate     = 40 // queries per second
	stragglerDuration = 12 * time.Second
	stragglerCount    = 3 // of 252 searchers
	stragglerPeriod   = 2 * time.Second
	stragglerTimeout  = 2 * time.Second
)

func runStraggler(e *Env, query querier.Config) (*recorder.Recorder, float64, error) {
	c, err := e.startCluster(systemConfig{
		shards: stragglerShards, serversPerZone: stragglerShards, searchersPerServer: 1, slots: 2, serviceTime: 2, minServiceTime: 3,
		assumedColdStart: unlimitedRamp, entryVMs: 6, linkDelay: zoneLinkDelay, queryPolicy: &query,
	})
	if err != nil {
		return nil, 0, err
	}
	defer c.Close()
	l := e.newCallers(c, stragglerTimeout, "counter")
	l.sendSearches(recorder.New(), stragglerRate, 2*time.Second, "warm-up")
	stop := make(chan struct{})
	go moveStragglers(e, c, stop)
	before, r := c.Backends.Totals().SubQueries, recorder.New()
	l.sendSearches(r, stragglerRate, stragglerDuration, "straggler")
	close(stop)
	sent := float64(c.Backends.Totals().SubQueries - before)
	needed := float64(r.Total() * stragglerShards)
	return r, (sent/needed - 1) * 100, nil
}

// moveStragglers makes a different random set of servers slow in each period,
// until stop is closed.
func moveStragglers(e *Env, c *cluster.Cluster, stop chan struct{}) {
	random := rand.New(rand.NewPCG(e.Seed, 4))
	ticker := time.NewTicker(stragglerPeriod)
	defer ticker.Stop()
	for {
		slow := random.Perm(len(c.Backends.Emulators))[:stragglerCount]
		for _, i := range slow {
			c.Backends.Emulators[i].SetSlowdown(stragglerSlowdown)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, i := range slow {
			c.Backends.Emulators[i].SetSlowdown(1)
		}
	}
}

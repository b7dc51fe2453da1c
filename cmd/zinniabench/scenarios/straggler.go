package scenarios

import (
	"math/rand/v2"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
	"zinniatide.example/zinniatide/querier"
	"zinniatide.example/zinniatide/recorder"
)

// straggler measures 84-way queries while 1% of the searchers are slow. Other
// searchers become slow every two seconds, so that a server's past does not
// tell its future. The baseline sends each sub-request once, to a random
// replica.
var straggler = Scenario{Name: "straggler", Run: func(e *Env) error {
	baseline := querier.DefaultConfig()
	baseline.HedgeFraction, baseline.RetryFraction, baseline.RandomReplica = 0, 0, true
	before, _, err := runStraggler(e, baseline)
	if err != nil {
		return err
	}
	after, extra, err := runStraggler(e, querier.DefaultConfig())
	if err != nil {
		return err
	}
	if err = e.writeSeries("straggler"+reporter.BaselineSuffix, before); err != nil {
		return err
	}
	if err = e.writeSeries("straggler", after); err != nil {
		return err
	}
	return e.reportAll("straggler", []metric{
		{"p99", "ms", before.Quantile(0.99), after.Quantile(0.99)},
		{"p50", "ms", before.Quantile(0.5), after.Quantile(0.5)},
		{"coverage-min", "ratio", before.CoverageMin(), after.CoverageMin()},
		{"failed", "count", float64(before.Failed()), float64(after.Failed())},
		{"extra-load", "percent", none, extra},
	})
}}

const (
	stragglerShards  = 84
	stragglerFactor  = 80
	stragglerRate    = 40 // queries per second
	stragglerTime    = 12 * time.Second
	stragglerSlow    = 3 // of 252 searchers
	stragglerPeriod  = 2 * time.Second
	stragglerTimeout = 2 * time.Second
)

func runStraggler(e *Env, query querier.Config) (*recorder.Recorder, float64, error) {
	c, err := e.start(plan{
		shards: stragglerShards, serversPerZone: stragglerShards, searchers: 1, slots: 2, serviceTime: 2, minTime: 3,
		cold: warm, entries: 6, delay: associationDelay, query: &query,
	})
	if err != nil {
		return nil, 0, err
	}
	defer c.Close()
	l := e.callers(c, stragglerTimeout, "counter")
	l.load(recorder.New(), stragglerRate, 2*time.Second, "warm-up")
	stop := make(chan struct{})
	go moveStragglers(e, c, stop)
	before, r := c.StandIns.Totals().SubQueries, recorder.New()
	l.load(r, stragglerRate, stragglerTime, "straggler")
	close(stop)
	sent := float64(c.StandIns.Totals().SubQueries - before)
	needed := float64(r.Total() * stragglerShards)
	return r, (sent/needed - 1) * 100, nil
}

// moveStragglers makes other servers slow in each period until stop is closed.
func moveStragglers(e *Env, c *cluster.Cluster, stop chan struct{}) {
	random := rand.New(rand.NewPCG(e.Seed, 4))
	ticker := time.NewTicker(stragglerPeriod)
	defer ticker.Stop()
	for {
		slow := random.Perm(len(c.StandIns.Servers))[:stragglerSlow]
		for _, i := range slow {
			c.StandIns.Servers[i].SetSlow(stragglerFactor)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, i := range slow {
			c.StandIns.Servers[i].SetSlow(1)
		}
	}
}

package scenarios

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

const (
	stopRate  = 40 // searches per second, and a quarter as many executes
	stopTime  = 14 * time.Second
	stopAfter = 2 * time.Second
	stopLimit = 15 * time.Second
)

// plannedStop stops the control leader, an entry VM too, by plan under
// searches and non-idempotent requests.
var plannedStop = Scenario{Name: "planned-stop", Run: func(e *Env) error {
	result, err := runPlannedStop(e)
	if err != nil {
		return err
	}
	return e.reportAll("planned-stop", []metric{
		{"failed", "count", none, float64(result.searches.Failed() + result.executes.Failed())},
		{"coverage-min", "ratio", none, result.searches.CoverageMin()},
		{"not-once", "count", none, float64(result.notOnce)},
		{"p99", "ms", none, result.searches.Quantile(0.99)},
		{"stop", "ms", none, result.took},
	})
}}

type stopResult struct {
	searches, executes *recorder.Recorder
	notOnce            int // answered non-idempotent requests that did not run exactly once
	took               float64
}

func runPlannedStop(e *Env) (stopResult, error) {
	result := stopResult{searches: recorder.New(), executes: recorder.New()}
	c, err := e.start(executePlan(6))
	if err != nil {
		return result, err
	}
	defer c.Close()
	l := e.callers(c, 3*time.Second, "counter")
	l.load(recorder.New(), stopRate, 3*time.Second, "warm-up")
	stopped := make(chan error, 1)
	go func() {
		time.Sleep(stopAfter)
		start := time.Now()
		err := stopLeader(c)
		result.took = ms(time.Since(start))
		stopped <- err
	}()
	ids := make(chan string, int(stopTime/time.Second)*stopRate)
	recorder.Pace(stopRate, stopTime, func(i int) {
		result.searches.Search(l[i%len(l)], fmt.Sprint("stop-", i))
		if i%4 == 0 {
			ids <- execute(result.executes, l[i%len(l)], i)
		}
	})
	if err := <-stopped; err != nil {
		return result, err
	}
	close(ids)
	runs := c.StandIns.Totals().Executed
	for id := range ids {
		if id != "" && runs[id] != 1 {
			result.notOnce++
		}
	}
	return result, nil
}

// execute runs one non-idempotent request and returns its id if it was answered.
func execute(r *recorder.Recorder, caller *loader.Loader, i int) string {
	id := loader.NewExecuteID(time.Minute, fmt.Sprintf("stop-%08d", i))
	start := time.Now()
	err := caller.Execute(id, keyOf(id), string(id))
	r.Add(recorder.Sample{Start: start, Latency: time.Since(start), Coverage: 1, Err: err})
	if err != nil {
		return ""
	}
	return string(id)
}

func stopLeader(c *cluster.Cluster) error {
	leader := c.Leader()
	if leader < 0 {
		return errors.New("no control VM leads")
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return c.Stop(ctx, leader)
}

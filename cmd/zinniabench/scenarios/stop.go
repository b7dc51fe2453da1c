package scenarios

import (
	"context"
	"fmt"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

const (
	stopRate     = 40 // searches per second; one non-idempotent request is sent per 4 searches
	stopDuration = 14 * time.Second
	stopDelay    = 2 * time.Second
	stopTimeout  = 15 * time.Second
)

// plannedStop gracefully stops the control leader, which is also an entry VM,
// under a load of searches and non-idempotent requests.
var plannedStop = Scenario{Name: "planned-stop", Run: func(e *Env) error {
	result, err := runPlannedStop(e)
	if err != nil {
		return err
	}
	return e.reportMetrics("planned-stop", []metric{
		{"failed", "count", noValue, float64(result.searches.Failed() + result.executes.Failed())},
		{"coverage-min", "ratio", noValue, result.searches.CoverageMin()},
		{"not-once", "count", noValue, float64(result.notOnce)},
		{"p99", "ms", noValue, result.searches.Quantile(0.99)},
		{"stop", "ms", noValue, result.stopMs},
	})
}}

type stopResult struct {
	searches, executes *recorder.Recorder
	notOnce            int // answered non-idempotent requests that did not run exactly once
	stopMs             float64
}

func runPlannedStop(e *Env) (stopResult, error) {
	result := stopResult{searches: recorder.New(), executes: recorder.New()}
	c, err := e.startCluster(executeConfig(6))
	if err != nil {
		return result, err
	}
	defer c.Close()
	l := e.newCallers(c, 3*time.Second, "counter")
	l.sendSearches(recorder.New(), stopRate, 3*time.Second, "warm-up")
	stopped := make(chan error, 1)
	go func() {
		time.Sleep(stopDelay)
		start := time.Now()
		err := stopLeader(c)
		result.stopMs = ms(time.Since(start))
		stopped <- err
	}()
	ids := make(chan string, int(stopDuration/time.Second)*stopRate)
	recorder.RunOpenLoop(stopRate, stopDuration, func(i int) {
		result.searches.Search(l[i%len(l)], fmt.Sprint("stop-", i))
		if i%4 == 0 {
			ids <- sendExecute(result.executes, l[i%len(l)], i)
		}
	})
	if err := <-stopped; err != nil {
		return result, err
	}
	close(ids)
	runs := c.Backends.Totals().Executed
	for id := range ids {
		if id != "" && runs[id] != 1 {
			result.notOnce++
		}
	}
	return result, nil
}

// sendExecute sends one non-idempotent request. It returns the request ID if the
// request was answered, or an empty string.
func sendExecute(r *recorder.Recorder, caller *loader.Loader, i int) string {
	id := loader.NewExpiringRequestID(time.Minute, fmt.Sprintf("stop-%08d", i))
	start := time.Now()
	err := caller.Execute(id, executeKey(id), string(id))
	r.Add(recorder.Sample{Start: start, Latency: time.Since(start), Coverage: 1, Err: err})
	if err != nil {
		return ""
	}
	return string(id)
}

func stopLeader(c *cluster.Cluster) error {
	leader := c.AwaitLeader(stopTimeout)
	if leader < 0 {
		return fmt.Errorf("no control VM became the leader within %v", stopTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return c.StopVM(ctx, leader)
}

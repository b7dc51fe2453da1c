package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

const (
	combinedSearches = 50 // per second
	combinedExecutes = 25 // per second
	combinedTime     = 6 * time.Second
	combinedStart    = 500 * time.Millisecond
	combinedAttempts = 4
	// combinedAtOnce is how many pairs run at the same time, each on a system
	// of its own, so that all fit into the time of one scenario.
	combinedAtOnce = 2
)

// pair is two faults that happen together.
type pair struct {
	name    string
	disturb func(*pairRun) error
}

// pairRun is the system on which a pair happens.
type pairRun struct {
	env       *Env
	plan      plan
	cluster   *cluster.Cluster
	operators *operators
	callers   callers
	searches  *recorder.Recorder
	executes  *executions
}

// combined runs each pair of faults under searches and non-idempotent requests.
var combined = Scenario{Name: "combined", Run: func(e *Env) error {
	results := make([][]metric, len(pairs))
	failures := make([]error, len(pairs))
	slots := make(chan struct{}, combinedAtOnce)
	var running sync.WaitGroup
	for i, p := range pairs {
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			if results[i], failures[i] = e.runPair(p); failures[i] != nil {
				failures[i] = fmt.Errorf("%s: %w", p.name, failures[i])
			}
		}()
	}
	running.Wait()
	for _, metrics := range results {
		if err := e.reportAll("combined", metrics); err != nil {
			return err
		}
	}
	return errors.Join(failures...)
}}

func combinedPlan() plan {
	return plan{
		shards: 8, serversPerZone: 8, searchers: 1, slots: 3, serviceTime: 4, minTime: 2,
		cold: trueRamp, trueCold: trueRamp, entries: 6, delay: associationDelay,
	}
}

func (e *Env) runPair(p pair) ([]metric, error) {
	c, err := e.start(combinedPlan())
	if err != nil {
		return nil, err
	}
	defer c.Close()
	run := &pairRun{
		env: e, plan: combinedPlan(), cluster: c, operators: &operators{cluster: c}, searches: recorder.New(),
		callers: e.callers(c, time.Second, "counter"), executes: e.executions(c, "combined"),
	}
	run.executes.attempts = combinedAttempts
	run.callers.load(recorder.New(), combinedSearches/2, time.Second, "warm-up")
	executed, failed := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(executed)
		recorder.Pace(combinedExecutes, combinedTime, run.executes.resend)
	}()
	go func() {
		time.Sleep(combinedStart)
		failed <- p.disturb(run)
	}()
	run.callers.load(run.searches, combinedSearches, combinedTime, "combined")
	<-executed
	if err := <-failed; err != nil {
		return nil, err
	}
	return run.metrics(p.name)
}

func (r *pairRun) metrics(name string) ([]metric, error) {
	v, err := r.executes.judge()
	if err != nil {
		return nil, err
	}
	answered := r.searches.Total() - r.searches.Failed()
	if answered < r.searches.Total()/2 || v.ran < v.requests/2 {
		return nil, fmt.Errorf("only %d of %d searches were answered and %d of %d requests ran; first error: %w",
			answered, r.searches.Total(), v.ran, v.requests, r.searches.FirstError())
	}
	return []metric{
		{name + "-mixed-answers", "count", none, float64(r.searches.Wrong(loader.ErrMixed, loader.ErrCrossed))},
		{name + "-false-coverage", "count", none, float64(r.searches.Wrong(loader.ErrCoverage))},
		{name + "-doubled", "count", none, float64(v.doubled)},
		{name + "-false-not-run", "count", none, float64(v.falseNotRun)},
		{name + "-beyond-allowance", "count", none, float64(r.cluster.StandIns.Totals().BeyondAllowance)},
	}, nil
}

// restartZone restarts all servers of a zone, which are then cold.
func (r *pairRun) restartZone(zone zinniatide.ZoneID) error {
	for _, s := range serversIn(r.cluster, zone) {
		s.Kill()
	}
	time.Sleep(200 * time.Millisecond)
	for _, s := range serversIn(r.cluster, zone) {
		if err := s.Start(); err != nil {
			return err
		}
	}
	return nil
}

// lastEntry returns the last entry VM of a zone; it is no control VM.
func (r *pairRun) lastEntry(zone zinniatide.ZoneID) int {
	for i := r.cluster.Options.Entries - 1; i > 0; i-- {
		if r.cluster.Zone(i) == zone {
			return i
		}
	}
	return 0
}

// buckets counts the buckets of a VM in the configuration of another one, and
// those of them that are being handed over.
func (r *pairRun) buckets(vm, seenBy int) (owned, moving int) {
	n := r.cluster.Node(seenBy)
	if n == nil {
		return 0, 0
	}
	for _, list := range n.Configuration().Buckets {
		for _, b := range list {
			if b.Owner != r.cluster.VM(vm) {
				continue
			}
			owned++
			if b.Next != "" {
				moving++
			}
		}
	}
	return owned, moving
}

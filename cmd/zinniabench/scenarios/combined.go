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
	combinedSearchRate  = 50 // per second
	combinedExecuteRate = 25 // per second
	combinedDuration    = 6 * time.Second
	combinedFaultDelay  = 500 * time.Millisecond
	combinedAttempts    = 4
	// combinedParallelism is the number of pairs that run at the same time, each on
	// its own cluster, to bound the total run time.
	combinedParallelism = 2
)

// faultPair is a combination of two faults that occur together.
type faultPair struct {
	name   string
	inject func(*pairRun) error
}

// pairRun is the cluster and load under which a pair of faults is injected.
type pairRun struct {
	env       *Env
	config    systemConfig
	cluster   *cluster.Cluster
	operators *operators
	callers   callers
	searches  *recorder.Recorder
	executes  *executeTracker
}

// combined injects each pair of faults under a load of searches and
// non-idempotent requests.
var combined = Scenario{Name: "combined", Run: func(e *Env) error {
	results := make([][]metric, len(faultPairs))
	failures := make([]error, len(faultPairs))
	slots := make(chan struct{}, combinedParallelism)
	var running sync.WaitGroup
	for i, p := range faultPairs {
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
		if err := e.reportMetrics("combined", metrics); err != nil {
			return err
		}
	}
	return errors.Join(failures...)
}}

func combinedConfig() systemConfig {
	return systemConfig{
		shards: 8, serversPerZone: 8, searchersPerServer: 1, slots: 3, serviceTime: 4, minServiceTime: 2,
		assumedColdStart: backendRamp, actualColdStart: backendRamp, entryVMs: 6, linkDelay: zoneLinkDelay,
	}
}

func (e *Env) runPair(p faultPair) ([]metric, error) {
	c, err := e.startCluster(combinedConfig())
	if err != nil {
		return nil, err
	}
	defer c.Close()
	run := &pairRun{
		env: e, config: combinedConfig(), cluster: c, operators: &operators{cluster: c}, searches: recorder.New(),
		callers: e.newCallers(c, time.Second, "counter"), executes: e.newExecuteTracker(c, "combined"),
	}
	run.executes.maxAttempts = combinedAttempts
	run.callers.sendSearches(recorder.New(), combinedSearchRate/2, time.Second, "warm-up")
	executed, failed := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(executed)
		recorder.RunOpenLoop(combinedExecuteRate, combinedDuration, run.executes.sendUntilDone)
	}()
	go func() {
		time.Sleep(combinedFaultDelay)
		failed <- p.inject(run)
	}()
	run.callers.sendSearches(run.searches, combinedSearchRate, combinedDuration, "combined")
	<-executed
	if err := <-failed; err != nil {
		return nil, err
	}
	return run.metrics(p.name)
}

func (r *pairRun) metrics(name string) ([]metric, error) {
	v, err := r.executes.summarize()
	if err != nil {
		return nil, err
	}
	answered := r.searches.Total() - r.searches.Failed()
	if answered < r.searches.Total()/2 || v.ran < v.requests/2 {
		return nil, fmt.Errorf("only %d of %d searches were answered and %d of %d requests ran; first error: %w",
			answered, r.searches.Total(), v.ran, v.requests, r.searches.FirstError())
	}
	return []metric{
		{name + "-mixed-answers", "count", noValue, float64(r.searches.CountErrors(loader.ErrMixedVersions, loader.ErrWrongRequest))},
		{name + "-false-coverage", "count", noValue, float64(r.searches.CountErrors(loader.ErrWrongCoverage))},
		{name + "-doubled", "count", noValue, float64(v.doubled)},
		{name + "-false-not-run", "count", noValue, float64(v.falseNotRun)},
		{name + "-beyond-allowance", "count", noValue, float64(r.cluster.Backends.Totals().BeyondAllowance)},
	}, nil
}

// restartZone restarts all backend servers of a zone, so that they are cold.
func (r *pairRun) restartZone(zone zinniatide.ZoneID) error {
	for _, s := range serversIn(r.cluster, zone) {
		s.Crash()
	}
	time.Sleep(200 * time.Millisecond)
	for _, s := range serversIn(r.cluster, zone) {
		if err := s.Start(); err != nil {
			return err
		}
	}
	return nil
}

// lastEntryVM returns the index of the last entry VM of a zone, which is not a
// control VM.
func (r *pairRun) lastEntryVM(zone zinniatide.ZoneID) int {
	for i := r.cluster.Options.EntryVMs - 1; i > 0; i-- {
		if r.cluster.Zone(i) == zone {
			return i
		}
	}
	return 0
}

// countBuckets returns the number of buckets that vm owns and of those that are
// being handed over, as configured on the VM seenBy.
func (r *pairRun) countBuckets(vm, seenBy int) (owned, moving int) {
	n := r.cluster.Node(seenBy)
	if n == nil {
		return 0, 0
	}
	for _, list := range n.Configuration().Buckets {
		for _, b := range list {
			if b.Owner != r.cluster.VMID(vm) {
				continue
			}
			owned++
			if b.NextOwner != "" {
				moving++
			}
		}
	}
	return owned, moving
}

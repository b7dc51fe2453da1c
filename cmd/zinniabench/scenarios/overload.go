package scenarios

import (
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/recorder"
)

// A request occupies a slot for 40 ms on average, which keeps the request rate
// low enough for one machine to run the callers as well.
const (
	overloadShards   = 4
	overloadSlots    = 2
	overloadMinMs    = 20
	overloadMeanMs   = 20 // mean of the exponentially distributed part
	overloadWarmUp   = 3 * time.Second
	overloadDuration = 12 * time.Second
	overloadTimeout  = time.Second
)

// overloadCapacity returns the capacity of the slots in queries per second. Each
// shard has one server in each zone.
func overloadCapacity() float64 {
	return float64(len(zones)*overloadSlots) * 1000 / (overloadMinMs + overloadMeanMs)
}

var overloadWorkspaces = map[zinniatide.WorkspaceID]zinniatide.WorkspaceSetting{"gold": {Share: 3}, "bronze": {Share: 1}}

// overload sends searches at twice the capacity, half of them from each of two
// workspaces with shares 3 and 1. The baseline has no admission control.
var overload = Scenario{Name: "overload", Run: func(e *Env) error {
	baseline, err := runOverload(e, true)
	if err != nil {
		return err
	}
	measured, err := runOverload(e, false)
	if err != nil {
		return err
	}
	return e.reportMetrics("overload", []metric{
		{"goodput", "ratio", baseline.goodput, measured.goodput},
		{"least-share", "ratio", baseline.leastWorkspaceShare, measured.leastWorkspaceShare},
		{"admitted-p99", "ms", baseline.p99, measured.p99},
	})
}}

type overloadResult struct{ goodput, leastWorkspaceShare, p99 float64 }

func runOverload(e *Env, withoutAdmission bool) (overloadResult, error) {
	c, err := e.startCluster(systemConfig{
		shards: overloadShards, serversPerZone: overloadShards, searchersPerServer: 1, slots: overloadSlots,
		serviceTime: overloadMeanMs, minServiceTime: overloadMinMs, assumedColdStart: unlimitedRamp, workspaces: overloadWorkspaces,
		entryVMs: 6, linkDelay: zoneLinkDelay, withoutAdmission: withoutAdmission,
	})
	if err != nil {
		return overloadResult{}, err
	}
	defer c.Close()
	records := make(map[zinniatide.WorkspaceID]*recorder.Recorder)
	var workspaces sync.WaitGroup
	for workspace := range overloadWorkspaces {
		l, r := e.newCallers(c, overloadTimeout, workspace), recorder.New()
		records[workspace] = r
		workspaces.Add(1)
		go func() {
			defer workspaces.Done()
			l.sendSearches(recorder.New(), overloadCapacity(), overloadWarmUp, "warm-up-"+string(workspace))
		}()
		workspaces.Add(1)
		go func() {
			defer workspaces.Done()
			time.Sleep(overloadWarmUp) // starts on time even if calls of the warm-up are still open
			l.sendSearches(r, overloadCapacity(), overloadDuration, "overload-"+string(workspace))
		}()
	}
	workspaces.Wait()
	return evaluateOverload(records, withoutAdmission)
}

// evaluateOverload computes the goodput, which counts complete answers within
// the deadline, the goodput of the worst-served workspace relative to its
// share, and the 99th percentile of the latency.
func evaluateOverload(records map[zinniatide.WorkspaceID]*recorder.Recorder, withoutAdmission bool) (overloadResult, error) {
	goodByWorkspace, totalGood, totalShare, refused := make(map[zinniatide.WorkspaceID]float64), 0.0, 0.0, 0
	all := recorder.New()
	for workspace, r := range records {
		for _, s := range r.Samples() {
			all.Add(s)
		}
		goodByWorkspace[workspace] = float64(r.Count(func(s recorder.Sample) bool {
			return s.Err == nil && s.Coverage == 1 && s.Latency <= overloadTimeout
		}))
		totalGood += goodByWorkspace[workspace]
		totalShare += float64(overloadWorkspaces[workspace].Share)
		refused += r.Count(func(s recorder.Sample) bool { return isRefusal(s.Err) })
	}
	if !withoutAdmission && refused == 0 {
		return overloadResult{}, fmt.Errorf("none of %d requests was refused; the system was not overloaded", all.Total())
	}
	result := overloadResult{goodput: totalGood / overloadDuration.Seconds() / overloadCapacity(), p99: all.Quantile(0.99), leastWorkspaceShare: noValue}
	for workspace, n := range goodByWorkspace {
		share := n / totalGood / (float64(overloadWorkspaces[workspace].Share) / totalShare)
		if !(result.leastWorkspaceShare <= share) { // also replaces the initial NaN
			result.leastWorkspaceShare = share
		}
	}
	return result, nil
}

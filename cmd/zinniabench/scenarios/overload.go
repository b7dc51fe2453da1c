package scenarios

import (
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/recorder"
)

// The servers of the overload scenario hold a slot for 40 ms on average, so
// that the load is small enough for the machine that runs the callers too.
const (
	overloadShards  = 4
	overloadSlots   = 2
	overloadMin     = 20 // ms
	overloadMean    = 20 // ms, of the exponential part
	overloadWarmUp  = 3 * time.Second
	overloadTime    = 12 * time.Second
	overloadTimeout = time.Second
)

// overloadCapacity is what the slots bear, in queries per second: each shard
// has one server in each zone.
func overloadCapacity() float64 {
	return float64(len(zones)*overloadSlots) * 1000 / (overloadMin + overloadMean)
}

var overloadTenants = map[zinniatide.TenantID]zinniatide.TenantSetting{"gold": {Share: 3}, "bronze": {Share: 1}}

// overload offers twice the capacity, half of it from each of two tenants with
// shares 3 to 1. The baseline admits everything.
var overload = Scenario{Name: "overload", Run: func(e *Env) error {
	before, err := runOverload(e, true)
	if err != nil {
		return err
	}
	after, err := runOverload(e, false)
	if err != nil {
		return err
	}
	return e.reportAll("overload", []metric{
		{"goodput", "ratio", before.goodput, after.goodput},
		{"least-share", "ratio", before.leastShare, after.leastShare},
		{"admitted-p99", "ms", before.p99, after.p99},
	})
}}

type overloadResult struct{ goodput, leastShare, p99 float64 }

func runOverload(e *Env, withoutAdmission bool) (overloadResult, error) {
	c, err := e.start(plan{
		shards: overloadShards, serversPerZone: overloadShards, searchers: 1, slots: overloadSlots,
		serviceTime: overloadMean, minTime: overloadMin, cold: warm, tenants: overloadTenants,
		entries: 6, delay: associationDelay, withoutAdmission: withoutAdmission,
	})
	if err != nil {
		return overloadResult{}, err
	}
	defer c.Close()
	records := make(map[zinniatide.TenantID]*recorder.Recorder)
	var tenants sync.WaitGroup
	for tenant := range overloadTenants {
		l, r := e.callers(c, overloadTimeout, tenant), recorder.New()
		records[tenant] = r
		tenants.Add(1)
		go func() {
			defer tenants.Done()
			l.load(recorder.New(), overloadCapacity(), overloadWarmUp, "warm-up-"+string(tenant))
		}()
		tenants.Add(1)
		go func() {
			defer tenants.Done()
			time.Sleep(overloadWarmUp) // the overload does not pause for the warm-up's last calls
			l.load(r, overloadCapacity(), overloadTime, "overload-"+string(tenant))
		}()
	}
	tenants.Wait()
	return evaluateOverload(records, withoutAdmission)
}

// evaluateOverload counts complete answers within the deadline as goodput.
func evaluateOverload(records map[zinniatide.TenantID]*recorder.Recorder, withoutAdmission bool) (overloadResult, error) {
	good, total, shares, refused := make(map[zinniatide.TenantID]float64), 0.0, 0.0, 0
	all := recorder.New()
	for tenant, r := range records {
		for _, s := range r.Samples() {
			all.Add(s)
		}
		good[tenant] = float64(r.Count(func(s recorder.Sample) bool {
			return s.Err == nil && s.Coverage == 1 && s.Latency <= overloadTimeout
		}))
		total += good[tenant]
		shares += float64(overloadTenants[tenant].Share)
		refused += r.Count(func(s recorder.Sample) bool { return stated(s.Err) })
	}
	if !withoutAdmission && refused == 0 {
		return overloadResult{}, fmt.Errorf("none of %d requests was refused, so the system was not overloaded", all.Total())
	}
	result := overloadResult{goodput: total / overloadTime.Seconds() / overloadCapacity(), p99: all.Quantile(0.99), leastShare: none}
	for tenant, n := range good {
		part := n / total / (float64(overloadTenants[tenant].Share) / shares)
		if !(result.leastShare <= part) {
			result.leastShare = part
		}
	}
	return result, nil
}

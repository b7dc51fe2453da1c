package rollouter

import (
	"fmt"
	"math"

	"zinniatide.example/zinniatide"
)

const (
	// bucketTime is the time that one bucket of results covers, a little more than the
	// interval of reports.
	bucketTime zinniatide.Millis = 250
	// bucketCount buckets are kept: 16 s, so that there are results of the old version
	// under a similar load after all requests go to the target version.
	bucketCount = 64
	// rateBuckets are the buckets from which the request rate is computed: 2 s.
	rateBuckets = 8
	// maxRoutes bounds the routes that are compared. Results of others count for the
	// service only.
	maxRoutes = 128
	// maxProcesses bounds the processes whose reports are kept: three starts of each of
	// 7,300 relay VMs.
	maxProcesses = 22_000
)

// Thresholds of the comparison. The number of bad results of the target version is
// compared with the number expected at the rate of the old version.
const (
	// deviations is the number of standard deviations by which bad results exceed the
	// expected number: with a comparison of some routes and windows in each tick of a
	// ramp, fewer than 1 in 1,000 good versions are beyond it.
	deviations = 4.5
	// suspicionDeviations is the same for a suspicion, which costs only time.
	suspicionDeviations = 3.5
	// failureFactor and failureAllowance raise the expected share of failures. With them
	// a version that fails 1 in 100 requests is found before its 50th failure.
	failureFactor, failureAllowance = 1.2, 0.003
	// fewFailuresAllowance is the same for versions that fail few requests, of which there
	// must be minFewFailures more than expected: half of the 50 bad responses after which a
	// version must be rolled back.
	fewFailuresAllowance, minFewFailures = 0.0005, 25
	// slowFactor and slowAllowance raise the expected share of slow responses. Good
	// servers differ in speed more than in their failures.
	slowFactor, slowAllowance = 1.5, 0.02
	// slowBuckets is how many buckets of the histogram above the median of the old version
	// a response is slow: 2.8 times the median.
	slowBuckets = 3
	// minOldResponses is the number of responses of the old version that a comparison
	// needs. Below it, older ones are used as well.
	minOldResponses = 30
	// minFailureBuckets and minSlowBuckets are the buckets with bad results that a decision needs. The failures of
	// a server that ends fall into two buckets at most, slow responses after a pause into
	// three.
	minFailureBuckets, minSlowBuckets = 3, 4
	// minSlowLimit is the lowest bucket of the slow limit: 4 ms. Below it the clock is too
	// coarse.
	minSlowLimit = 4
)

// windows are the numbers of last buckets in which versions are compared: 1 to 16 s.
var windows = []int{4, 8, 16, bucketCount}

// results are the results of one side in one bucket.
type results struct {
	failures, cold uint64
	latencies      [zinniatide.RolloutLatencyBuckets]uint64
	// inHistogram is the sum of latencies.
	inHistogram uint64
}

func (r *results) responses() uint64 { return r.failures + r.cold + r.inHistogram }

// timed returns the number of responses with a known latency.
func (r *results) timed() uint64 { return r.inHistogram }

// slow returns the number of responses above a bucket of the histogram.
func (r *results) slow(limit int) uint64 {
	var n uint64
	for _, count := range r.latencies[min(limit+1, len(r.latencies)):] {
		n += count
	}
	return n
}

func (r *results) add(o *results) {
	r.failures += o.failures
	r.cold += o.cold
	if o.inHistogram == 0 {
		return
	}
	r.inHistogram += o.inHistogram
	for i := range r.latencies {
		r.latencies[i] += o.latencies[i]
	}
}

// series are the results of both sides of a route in the last buckets.
type series struct {
	old, target [bucketCount]results
	oldTotal    results
}

// processReport is the last report of a process.
type processReport struct {
	sequence uint64
	report   zinniatide.RolloutReport
	at       zinniatide.Millis
}

// evidence holds the results of both versions.
type evidence struct {
	processes map[zinniatide.ProcessID]*processReport
	// routes holds the results by route, and all those of the service under the empty id.
	routes map[zinniatide.RouteID]*series
	// requests and sentToTarget are cumulative, also over processes that have ended.
	requests, sentToTarget uint64
	// counts by bucket
	received, wanted, divertedBy [bucketCount]uint64
	current                      int // index of the present bucket
	currentSince, firstAt        zinniatide.Millis
	now                          zinniatide.Millis
}

func (e *evidence) init(now zinniatide.Millis) {
	e.processes = map[zinniatide.ProcessID]*processReport{}
	e.routes = map[zinniatide.RouteID]*series{"": {}}
	e.currentSince, e.firstAt, e.now = now, now, now
}

// advance starts new buckets until now is in the present one.
func (e *evidence) advance(now zinniatide.Millis) {
	e.now = now
	if now-e.currentSince >= bucketCount*bucketTime {
		e.currentSince = now - bucketCount*bucketTime
	}
	for now-e.currentSince >= bucketTime {
		e.currentSince += bucketTime
		e.current = (e.current + 1) % bucketCount
		e.received[e.current], e.wanted[e.current], e.divertedBy[e.current] = 0, 0, 0
		for _, s := range e.routes {
			s.old[e.current], s.target[e.current] = results{}, results{}
		}
	}
}

// recent returns the index of the bucket that is back buckets before the present one.
func (e *evidence) recent(back int) int { return (e.current - back + bucketCount) % bucketCount }

func (e *evidence) record(process zinniatide.ProcessID, sequence uint64, report *zinniatide.RolloutReport, now zinniatide.Millis) {
	e.advance(now)
	last := e.processes[process]
	if last == nil {
		if len(e.processes) >= maxProcesses {
			return
		}
		last = &processReport{}
		e.processes[process] = last
	} else if sequence <= last.sequence {
		return
	}
	before := last.report
	last.sequence, last.report, last.at = sequence, *report, now
	e.requests += growth(before.Requests, report.Requests)
	e.received[e.current] += growth(before.Requests, report.Requests)
	diverted := growth(before.Diverted, report.Diverted)
	e.divertedBy[e.current] += diverted
	e.wanted[e.current] += diverted
	earlier := make(map[zinniatide.RouteID]*zinniatide.RolloutCounts, len(before.Routes))
	for i := range before.Routes {
		earlier[before.Routes[i].Route] = &before.Routes[i]
	}
	for i := range report.Routes {
		counts := &report.Routes[i]
		base := earlier[counts.Route]
		if base == nil {
			base = &zinniatide.RolloutCounts{}
		}
		sent := growth(base.Target.Sent, counts.Target.Sent)
		e.sentToTarget += sent
		e.wanted[e.current] += sent
		old, target := newResults(&base.Old, &counts.Old), newResults(&base.Target, &counts.Target)
		e.addResults(e.routes[""], &old, &target)
		if s := e.seriesOf(counts.Route); s != nil {
			e.addResults(s, &old, &target)
		}
	}
}

func (e *evidence) addResults(s *series, old, target *results) {
	s.old[e.current].add(old)
	s.oldTotal.add(old)
	s.target[e.current].add(target)
}

// seriesOf returns the series of a route, or nil if there are too many.
func (e *evidence) seriesOf(route zinniatide.RouteID) *series {
	if route == "" {
		return nil // already counted for the service
	}
	s := e.routes[route]
	if s == nil && len(e.routes) <= maxRoutes {
		s = &series{}
		e.routes[route] = s
	}
	return s
}

func newResults(before, after *zinniatide.RolloutSideCounts) results {
	r := results{failures: growth(before.Failures, after.Failures), cold: growth(before.ColdSuccesses, after.ColdSuccesses)}
	for i := range min(len(after.Latencies), len(r.latencies)) {
		var earlier uint64
		if i < len(before.Latencies) {
			earlier = before.Latencies[i]
		}
		r.latencies[i] = growth(earlier, after.Latencies[i])
		r.inHistogram += r.latencies[i]
	}
	return r
}

// growth returns after - before, or 0 if the count went back.
func growth(before, after uint64) uint64 {
	if after < before {
		return 0
	}
	return after - before
}

// rate returns the requests to the service per millisecond in the last buckets.
func (e *evidence) rate() float64 {
	var n uint64
	for back := range rateBuckets {
		n += e.received[e.recent(back)]
	}
	span := min(e.now-e.firstAt, (rateBuckets-1)*bucketTime+e.now-e.currentSince)
	return float64(n) / float64(max(span, bucketTime))
}

// targetAvailable reports whether all processes that have reported lately know a server
// of the target version.
func (e *evidence) targetAvailable() bool {
	any := false
	for _, p := range e.processes {
		if e.now-p.at > rateBuckets*bucketTime {
			continue
		}
		if !p.report.TargetAvailable {
			return false
		}
		any = true
	}
	return any
}

// diverted returns the share of the requests for the target version that went to the old
// one in the last second, because the target version could not take them.
func (e *evidence) diverted() float64 {
	var wanted, diverted uint64
	for back := range windows[0] {
		wanted += e.wanted[e.recent(back)]
		diverted += e.divertedBy[e.recent(back)]
	}
	if wanted == 0 {
		return 0
	}
	return float64(diverted) / float64(wanted)
}

// bad returns why the target version is bad, or an empty string.
func (e *evidence) bad() string {
	for route, s := range e.routes {
		if reason, window := e.compare(s, windows, deviations, minFailureBuckets, minSlowBuckets); reason != "" {
			return describe(reason, route, window)
		}
	}
	return ""
}

// suspicious returns why the target version may be bad: bad results in two of the last
// buckets.
func (e *evidence) suspicious() string {
	for route, s := range e.routes {
		if reason, window := e.compare(s, windows[:1], suspicionDeviations, 2, 2); reason != "" {
			return describe("suspicion: "+reason, route, window)
		}
	}
	return ""
}

func describe(reason string, route zinniatide.RouteID, window int) string {
	if route != "" {
		reason += fmt.Sprintf(" on route %q", route)
	}
	return fmt.Sprintf("%s in %d ms", reason, zinniatide.Millis(window)*bucketTime)
}

// compare compares both versions in the last buckets of each window. It returns a reason
// and the window in which the target version is worse, or an empty reason.
func (e *evidence) compare(s *series, windows []int, z float64, failureBuckets, slowBucketsNeeded int) (string, int) {
	var all, recent results
	for i := range s.old {
		all.add(&s.old[i])
	}
	if all.responses() < minOldResponses {
		all = s.oldTotal
	}
	added := 0
	for _, window := range windows {
		for ; added < window; added++ {
			recent.add(&s.old[e.recent(added)])
		}
		old := &recent
		if recent.responses() < minOldResponses {
			old = &all
		}
		if reason := e.compareWindow(s, old, &all, window, z, failureBuckets, slowBucketsNeeded); reason != "" {
			return reason, window
		}
	}
	return "", 0
}

// compareWindow compares the target version in the last buckets with the old version in
// about the same time and in all kept buckets.
func (e *evidence) compareWindow(s *series, old, all *results, window int, z float64, failureBuckets, slowBucketsNeeded int) string {
	f := comparison{factor: failureFactor, allowance: failureAllowance}
	f.compareWith(old.failures, old.responses())
	f.compareWith(all.failures, all.responses())
	few := comparison{factor: failureFactor, allowance: fewFailuresAllowance, minExcess: minFewFailures}
	few.oldBad, few.oldAll = f.oldBad, f.oldAll
	limit := slowLimit(old)
	l := comparison{factor: slowFactor, allowance: slowAllowance}
	l.compareWith(old.slow(limit), old.timed())
	l.compareWith(all.slow(limit), all.timed())
	for back := range window {
		r := &s.target[e.recent(back)]
		responses := r.responses()
		if responses == 0 {
			continue
		}
		f.add(r.failures, responses)
		few.add(r.failures, responses)
		l.add(r.slow(limit), responses-r.failures-r.cold)
	}
	if f.exceeds(z, failureBuckets) || few.exceeds(z, failureBuckets) {
		return fmt.Sprintf("%d of %d requests failed, on the old version %d of %d", f.bad, f.all, f.oldBad, f.oldAll)
	}
	if l.oldAll >= minOldResponses && l.exceeds(z, slowBucketsNeeded) {
		return fmt.Sprintf("%d of %d responses took longer than %.0f ms, on the old version %d of %d", l.bad, l.all, math.Exp2(float64(limit)/2), l.oldBad, l.oldAll)
	}
	return ""
}

// slowLimit returns the bucket of the histogram above which a response is slow.
func slowLimit(old *results) int {
	half, n := (old.timed()+1)/2, uint64(0)
	for i, count := range old.latencies {
		if n += count; n >= half {
			return max(i+slowBuckets, minSlowLimit)
		}
	}
	return zinniatide.RolloutLatencyBuckets - 1
}

// comparison compares the bad results of the target version with the old one.
type comparison struct {
	oldBad, oldAll    uint64
	factor, allowance float64
	minExcess         float64 // bad results beyond the expected ones that are needed
	bad, all          uint64
	squares           float64 // sum of the squares of the bad results by bucket
	buckets, badIn    int
}

// compareWith sets the results of the old version, unless those set before are worse. The
// last ones may be too few to contain failures that come in bursts.
func (c *comparison) compareWith(bad, all uint64) {
	if c.oldAll == 0 || float64(bad)*float64(c.oldAll) > float64(c.oldBad)*float64(all) {
		c.oldBad, c.oldAll = bad, all
	}
}

func (c *comparison) add(bad, all uint64) {
	if all == 0 {
		return
	}
	c.buckets++
	c.bad += bad
	c.all += all
	c.squares += float64(bad) * float64(bad)
	if bad > 0 {
		c.badIn++
	}
}

// exceeds reports whether there are more bad results than expected. Results that come in
// bursts, such as those of one server that pauses, count for less: the variance grows
// with the variance between the buckets.
func (c *comparison) exceeds(z float64, minBuckets int) bool {
	if c.badIn < minBuckets || c.all == 0 {
		return false
	}
	share := 0.0
	if c.oldAll > 0 {
		share = float64(c.oldBad) / float64(c.oldAll)
	}
	expected := float64(c.all) * min(c.factor*share+c.allowance, 1)
	mean := float64(c.bad) / float64(c.buckets)
	dispersion := max((c.squares/float64(c.buckets)-mean*mean)/mean, 1)
	// The old version is a sample too.
	sampling := 0.0
	if c.oldAll > 0 {
		ratio := c.factor * float64(c.all) / float64(c.oldAll)
		sampling = ratio * ratio * float64(c.oldBad)
	}
	if float64(c.bad) < expected+c.minExcess {
		return false
	}
	return float64(c.bad) > expected+z*math.Sqrt(dispersion*expected+sampling)+2+dispersion
}

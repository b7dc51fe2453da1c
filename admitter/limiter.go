package admitter

import "zinniatide.example/zinniatide"

// limiter limits the sub-requests in flight. It starts with the slots of the
// service divided by the number of serving VMs, because every VM admits requests
// independently. It then adjusts the limit to the server queues that owners
// report, which reflect the load from all VMs.
type limiter struct {
	limit      float64
	factor     float64 // multiplies the slots per VM
	slots      int
	vms        int
	adjustedAt zinniatide.Millis
	// Observations since adjustedAt.
	results   int
	shed      int
	busy      int
	queued    int
	saturated bool // a request had to wait or was refused
	// deadlineUsage is the duration of admitted requests as a fraction of the time
	// from arrival to the deadline, or 0 while unknown.
	deadlineUsage float64
	meanCost      float64 // moving average of the sub-requests per request
}

// resize updates the slots of the service and the number of serving VMs.
func (l *limiter) resize(c *Config, slots, vms int) {
	if l.slots == slots && l.vms == vms {
		return
	}
	l.slots, l.vms = slots, vms
	if l.factor == 0 {
		l.factor = 1
	}
	l.updateLimit(c)
}

func (l *limiter) updateLimit(c *Config) {
	base := float64(max(l.slots, 1)) / float64(max(l.vms, 1))
	l.factor = min(max(l.factor, c.MinLimitFactor), c.MaxLimitFactor*float64(max(l.vms, 1)))
	l.limit = max(base*l.factor, 1)
	// Unknown usage (0) counts as not tight here, so that MinConcurrentRequests
	// applies before the first request has ended.
	if l.deadlineUsage <= c.TightAbove {
		l.limit = max(l.limit, c.MinConcurrentRequests*l.meanCost)
	}
}

// observe records the load of a server, as reported with a result.
func (l *limiter) observe(inFlight, queued uint16, shed bool) {
	l.results++
	l.busy += int(inFlight)
	l.queued += int(queued)
	if shed {
		l.shed++
	}
}

// hasSlack reports whether admitted requests end long before their deadlines.
func (l *limiter) hasSlack(c *Config) bool {
	return l.deadlineUsage > 0 && l.deadlineUsage < c.SlackBelow
}

// adjust adjusts the limit once per interval.
func (l *limiter) adjust(c *Config, now zinniatide.Millis) {
	if now-l.adjustedAt < c.AdjustInterval {
		return
	}
	if l.results > 0 {
		queued, busy := float64(l.queued), float64(max(l.busy, 1))
		// Unknown usage counts as tight, so that long queues shrink the limit.
		tight := l.deadlineUsage == 0 || l.deadlineUsage > c.TightAbove
		switch {
		case queued > c.ShrinkAbove*busy && tight, float64(l.shed) > c.MaxShedShare*float64(l.results):
			l.factor *= c.ShrinkFactor
		case l.hasSlack(c) && l.saturated:
			l.factor *= c.GrowFactor * c.GrowFactor
		case l.saturated && (queued < c.GrowBelow*busy || !tight && queued < c.GrowBelowNotTight*busy):
			l.factor *= c.GrowFactor
		}
		l.updateLimit(c)
	}
	l.adjustedAt, l.results, l.shed, l.busy, l.queued, l.saturated = now, 0, 0, 0, 0, false
}

// rateEstimator estimates the rate at which work drains while requests wait.
type rateEstimator struct {
	perMilli    float64
	measuredAt  zinniatide.Millis // last update of perMilli
	windowStart zinniatide.Millis
	windowSum   int
	backlogged  bool
}

const (
	// rateWindow is long enough to cover several requests of 84 sub-requests, the
	// number of shards in the benchmarks.
	rateWindow zinniatide.Millis = 50
	// rateLifetime is the time after which a measured rate is discarded. The rate
	// is measured only while requests wait. After a stall it may be so low that
	// every request is refused instead of waiting, and it would never be updated.
	rateLifetime zinniatide.Millis = 1000
	// rateSampleWeight is the weight of the last window in the rate: about the last
	// five windows count.
	rateSampleWeight = 0.2
	// sampleWeight is the weight of the last sample in the other moving averages:
	// about the last ten samples count.
	sampleWeight = 0.1
)

// current returns the rate per millisecond, or 0 if it is unknown.
func (r *rateEstimator) current(now zinniatide.Millis) float64 {
	if now-r.measuredAt > rateLifetime {
		return 0
	}
	return r.perMilli
}

func (r *rateEstimator) observe(now zinniatide.Millis, n int, backlogged bool) {
	if !backlogged {
		// Without a backlog the rate is limited by arrivals, not by the servers.
		r.windowStart, r.windowSum, r.backlogged = now, 0, false
		return
	}
	if !r.backlogged {
		r.windowStart, r.windowSum, r.backlogged = now, 0, true
	}
	r.windowSum += n
	if elapsed := now - r.windowStart; elapsed >= rateWindow {
		sample := float64(r.windowSum) / float64(elapsed)
		if r.current(now) == 0 {
			r.perMilli = sample
		}
		r.perMilli += rateSampleWeight * (sample - r.perMilli)
		r.measuredAt, r.windowStart, r.windowSum = now, now, 0
	}
}

// durationEstimator estimates the mean and the mean deviation of durations.
type durationEstimator struct {
	mean      float64
	deviation float64
}

func (s *durationEstimator) observe(sample float64) {
	if s.mean == 0 {
		s.mean = sample
	}
	difference := sample - s.mean
	s.mean += sampleWeight * difference
	s.deviation += sampleWeight * (max(difference, -difference) - s.deviation)
}

// upperBound returns a duration that few requests exceed. For common distributions
// three mean deviations above the mean are near the 99th percentile.
func (s *durationEstimator) upperBound() float64 { return s.mean + 3*s.deviation }

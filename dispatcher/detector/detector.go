// Package detector detects, from the latency and failures of a warm server, that
// it has become slow. The dispatcher then restarts the server's warm-up.
package detector

import (
	"math/bits"

	"zinniatide.example/zinniatide"
)

const (
	// slowFactor is how many times the baseline a latency must exceed to be slow.
	slowFactor = 4
	// minConsecutiveFailures is how many failures in a row mark a server as slow,
	// provided that its recent latency is slow as well. Both are required, so
	// that a few refused connections don't reduce a server's rate.
	minConsecutiveFailures = 3
	// minSlowAnswers is how many of the last eight answers must be slow to mark
	// a server as slow without failures, because a cold server still answers.
	// With exponentially distributed service times one answer in 55 is slow, so
	// five of eight are very unlikely to occur by chance.
	minSlowAnswers = 5
	// recentWeight and baselineWeight are the EWMA weights of one sample.
	recentWeight   = 1.0 / 8
	baselineWeight = 1.0 / 64
	// slowBaselineWeight is the EWMA weight of a slow answer in the baseline. It
	// is low so that the baseline of a server that has become cold doesn't rise
	// before the slowdown is detected.
	slowBaselineWeight = 1.0 / 512
	// minBaselineMillis is the resolution of the clock.
	minBaselineMillis = 1.0
)

// Detector tracks the latency of one server in milliseconds. The zero value is
// ready to use. It is not safe for concurrent use.
type Detector struct {
	recent              float64
	baseline            float64 // while warm
	consecutiveFailures int
	// slowHistory has one bit for each of the last eight answers, the newest in
	// the lowest bit. A set bit is a slow answer.
	slowHistory uint8
}

// RecordSuccess records a successful request and reports whether the server has
// become slow. Only a warm server's latency counts towards the baseline, and
// only a warm server's answer can be slow.
func (d *Detector) RecordSuccess(latency zinniatide.Millis, warm bool) bool {
	d.consecutiveFailures = 0
	d.slowHistory <<= 1
	weight := baselineWeight
	if warm && d.baseline > 0 && float64(latency) > slowFactor*max(d.baseline, minBaselineMillis) {
		d.slowHistory |= 1
		weight = slowBaselineWeight
	}
	d.recent = ewma(d.recent, float64(latency), recentWeight)
	if warm {
		d.baseline = ewma(d.baseline, float64(latency), weight)
	}
	return bits.OnesCount8(d.slowHistory) >= minSlowAnswers
}

// RecordFailure records a failure or timeout after elapsed and reports whether
// the server has become slow.
func (d *Detector) RecordFailure(elapsed zinniatide.Millis) bool {
	d.consecutiveFailures++
	d.recent = ewma(d.recent, float64(elapsed), recentWeight)
	return d.consecutiveFailures >= minConsecutiveFailures && d.baseline > 0 &&
		d.recent > slowFactor*max(d.baseline, minBaselineMillis)
}

// RecentLatency returns the moving average of the latency, rounded to
// milliseconds.
func (d *Detector) RecentLatency() zinniatide.Millis { return zinniatide.Millis(d.recent + 0.5) }

// Baseline returns the average latency of the server while warm, in
// milliseconds, or 0 if it is not known.
func (d *Detector) Baseline() float64 { return d.baseline }

// Restore resets d and sets the baseline to one measured by another owner.
func (d *Detector) Restore(baseline float64) {
	*d = Detector{baseline: baseline, recent: baseline}
}

// Reset clears everything but the baseline.
func (d *Detector) Reset() { *d = Detector{baseline: d.baseline} }

// ewma adds a sample to an exponentially weighted moving average. An average of
// 0 means that there are no samples yet.
func ewma(average, sample, weight float64) float64 {
	if average == 0 {
		return max(sample, 0.1) // not 0, which would mean no samples
	}
	return average + weight*(sample-average)
}

// Package detector recognizes a warm server that has turned cold without
// saying so.
package detector

import (
	"math/bits"

	"zinniatide.example/zinniatide"
)

const (
	// slowFactor and failuresInRow are the two conditions of sudden slowness
	// by failures; both must hold, so that a few refused connections do not take
	// a server's rate away.
	slowFactor    = 4
	failuresInRow = 3
	// slowAnswers of the last eight answers above slowFactor times the baseline
	// are sudden slowness too, because a server that has turned cold still
	// answers. With exponentially distributed service times one answer in 55 is
	// as slow, so five of eight are no accident.
	slowAnswers = 5
	// recentWeight and baselineWeight are the EWMA weights of one sample.
	recentWeight   = 1.0 / 8
	baselineWeight = 1.0 / 64
	// slowWeight is the weight of a slow answer in the baseline. It is low, or
	// the baseline would follow a server that turns cold before it is noticed.
	slowWeight = 1.0 / 512
	// minBaseline is the resolution of the clock.
	minBaseline = 1.0
)

// Detector follows the latency of one server, in milliseconds. The zero value
// is ready to use. Not safe for concurrent use.
type Detector struct {
	recent   float64
	baseline float64 // while warm
	failures int
	slow     uint8 // the last eight answers, newest lowest; 1 is slow
}

// Answered records a successful request and reports whether the server has
// become slow all of a sudden. Only a warm server's latency counts towards the
// baseline, and only a warm server can become slow.
func (d *Detector) Answered(latency zinniatide.Millis, warm bool) bool {
	d.failures = 0
	d.slow <<= 1
	weight := baselineWeight
	if warm && d.baseline > 0 && float64(latency) > slowFactor*max(d.baseline, minBaseline) {
		d.slow |= 1
		weight = slowWeight
	}
	d.recent = blend(d.recent, float64(latency), recentWeight)
	if warm {
		d.baseline = blend(d.baseline, float64(latency), weight)
	}
	return bits.OnesCount8(d.slow) >= slowAnswers
}

// Failed records a failure or timeout after elapsed and reports whether the
// server has become slow all of a sudden.
func (d *Detector) Failed(elapsed zinniatide.Millis) bool {
	d.failures++
	d.recent = blend(d.recent, float64(elapsed), recentWeight)
	return d.failures >= failuresInRow && d.baseline > 0 &&
		d.recent > slowFactor*max(d.baseline, minBaseline)
}

// Latency returns the recent latency.
func (d *Detector) Latency() zinniatide.Millis { return zinniatide.Millis(d.recent + 0.5) }

// Baseline returns the latency of the warm server in milliseconds, 0 when it
// is not known.
func (d *Detector) Baseline() float64 { return d.baseline }

// Restore continues with the baseline that another owner measured.
func (d *Detector) Restore(baseline float64) {
	*d = Detector{baseline: baseline, recent: baseline}
}

// Reset forgets the server's recent latency but not its baseline.
func (d *Detector) Reset() { *d = Detector{baseline: d.baseline} }

func blend(average, sample, weight float64) float64 {
	if average == 0 {
		return max(sample, 0.1)
	}
	return average + weight*(sample-average)
}

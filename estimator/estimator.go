// Package estimator estimates the time that most messages need, from whether earlier
// ones arrived in time.
package estimator

import "zinniatide.example/zinniatide"

const (
	// inTimeShare is the share of messages that should arrive in time. Each late reply
	// of a delegate costs a query its parts at the cutoff, and a shorter time costs it
	// the parts that would have arrived in it.
	inTimeShare = 0.85
	// stepMillis scales the change with each sample. A VM sees some replies a second, so
	// the estimate follows a slower machine within seconds.
	stepMillis = 1.0
)

// Estimator holds an estimate between two bounds. It needs no samples of the time
// itself: a message that is sent early arrives in time whatever it needs.
type Estimator struct {
	least, most, estimate float64
}

// New returns an Estimator that starts with least and does not exceed most.
func New(least, most zinniatide.Millis) *Estimator {
	return &Estimator{least: float64(least), most: float64(most), estimate: float64(least)}
}

// Record records whether a message that was sent as late as the estimate allows was
// late. The estimate comes to rest where inTimeShare of the messages are in time.
func (e *Estimator) Record(late bool) {
	step := (inTimeShare - 1) * stepMillis
	if late {
		step = inTimeShare * stepMillis
	}
	e.estimate = min(max(e.estimate+step, e.least), e.most)
}

// Estimate returns the estimated time.
func (e *Estimator) Estimate() zinniatide.Millis { return zinniatide.Millis(e.estimate + 0.5) }

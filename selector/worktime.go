package selector

import (
	"math"
	"math/rand/v2"

	"zinniatide.example/zinniatide"
)

const (
	// usualWorkTime is the reported figure of a machine that works as fast as usual.
	usualWorkTime = 100.0
	// workTimeHalfLifeMillis is the age at which half of a reported deviation counts.
	// The figure changes many times a second.
	workTimeHalfLifeMillis = 100.0
	// maxWorkFactor bounds the effect of a figure: beyond it, the server is avoided as
	// well as it can be. minWorkFactor keeps VMs from gathering at a fast machine: at 0.7,
	// 45 of 78 VMs choose one of four that is twice as fast, without it 61, and the
	// latencies of TestWorkTimeImprovesLatency are the same.
	minWorkFactor, maxWorkFactor = 0.7, 10.0
)

// workTime is the last figure of a server that tells how long work takes on its
// machine. The zero value has no effect.
type workTime struct {
	last float64
	at   zinniatide.Millis
	// mean is the moving average of the figures, with the weight of the latency, which
	// it belongs to.
	mean float64
}

// SetReportedWorkTime records how long work takes at the server (100: as usual).
func (s *Server) SetReportedWorkTime(percent float64, now zinniatide.Millis) {
	w := &s.workTime
	if w.mean == 0 {
		w.mean = usualWorkTime
	}
	w.mean += latencyWeight * (percent - w.mean)
	w.last, w.at = percent, now
}

// factor returns how long work is expected to take now, relative to the mean.
func (w *workTime) factor(now zinniatide.Millis) float64 {
	if w.mean == 0 {
		return 1
	}
	weight := math.Exp2(-float64(now-w.at) / workTimeHalfLifeMillis)
	return min(max(1+(w.last/w.mean-1)*weight, minWorkFactor), maxWorkFactor)
}

// drawFactor returns the factor for one choice. VMs that see the same figure must not
// all avoid or prefer the same server, so the factor applies only to a share of the
// choices. With the square of the factor, figures of servers that were asked lately gain
// most of what they do if the factor always applies, and figures that are wrong cost less
// (docs/design/server-pace.md).
func (w *workTime) drawFactor(now zinniatide.Millis, random *rand.Rand) float64 {
	f := w.factor(now)
	if f == 1 {
		return 1
	}
	if usual := min(f, 1/f); random.Float64() < usual*usual {
		return 1
	}
	return f
}

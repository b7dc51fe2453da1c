package selector

import (
	"math"

	"zinniatide.example/zinniatide"
)

// Limits of what counts as a pause of a server.
const (
	// minPauseMillis and minPauseFactor are the least latency, absolute and as a
	// multiple of the mean, of a response that was held up by a pause.
	minPauseMillis = 40.0
	minPauseFactor = 3.0
	// pauseTolerance is the deviation allowed for the end of a pause: requests that
	// waited for it are then processed one after the other.
	pauseTolerance zinniatide.Millis = 40
	// minPausePeriod and maxPausePeriod bound the time between two pauses.
	minPausePeriod zinniatide.Millis = 500
	maxPausePeriod zinniatide.Millis = 15_000
	// maxPausePeriods is the number of periods after which a gap between two
	// observed pauses says nothing about the period.
	maxPausePeriods = 6
	// maxPauseShare is the largest share of the time that servers may pause. More
	// is no pause but a slow server.
	maxPauseShare = 0.2
	// pauseGaps is the number of gaps from which the period is estimated.
	pauseGaps = 64
	// minPauseGaps is the least number of gaps for an estimate.
	minPauseGaps = 12
	// minPauseSupport is the least share of the gaps that are multiples of the
	// period, in addition to those that would be by chance. Requests that are held
	// up for other reasons split gaps into parts that are no multiples.
	minPauseSupport = 0.3
	// rememberedPauses is the number of pauses remembered of each server. Two of them
	// must agree before the next one is expected.
	rememberedPauses = 4
	// pauseLengthRise and pauseLengthFall are the weights of a longer and of a
	// shorter pause in the estimate of their length.
	pauseLengthRise, pauseLengthFall = 0.3, 0.02
)

// Pauses estimates how often the servers of a VM's services pause, for example to
// collect garbage or to flush, and for how long. Servers run the same software, so
// they share the period, but each pauses at its own time. Pauses that are not
// periodic lead to no estimate.
type Pauses struct {
	gaps   [pauseGaps]zinniatide.Millis
	count  int               // gaps recorded
	period zinniatide.Millis // 0 while unknown
	length float64
}

// recordGap records the time between two pauses of one server.
func (p *Pauses) recordGap(gap zinniatide.Millis) {
	if gap < minPausePeriod || gap > maxPausePeriod*2 {
		return
	}
	p.gaps[p.count%pauseGaps] = gap
	p.count++
	if p.count%(minPauseGaps/2) == 0 {
		p.estimate()
	}
}

// recordLength records how long a request was held up by a pause.
func (p *Pauses) recordLength(millis float64) {
	weight := pauseLengthFall
	if millis > p.length {
		weight = pauseLengthRise
	}
	p.length += weight * (millis - p.length)
}

// estimate determines the longest period of which most gaps are multiples.
func (p *Pauses) estimate() {
	gaps := p.gaps[:min(p.count, pauseGaps)]
	p.period = 0
	if len(gaps) < minPauseGaps {
		return
	}
	best, bestSupport := zinniatide.Millis(0), 0
	for _, candidate := range gaps {
		if candidate > maxPausePeriod {
			continue
		}
		support := 0
		for _, gap := range gaps {
			if isMultiple(gap, candidate) {
				support++
			}
		}
		// Every gap is also a multiple of fractions of the period.
		longer := candidate > best+pauseTolerance && 10*support >= 9*bestSupport
		if longer || support > bestSupport && 10*bestSupport < 9*support {
			best, bestSupport = candidate, max(support, bestSupport)
		}
	}
	if best == 0 {
		return
	}
	byChance := 2 * float64(pauseTolerance) / float64(best)
	if float64(bestSupport) >= (minPauseSupport+byChance)*float64(len(gaps)) {
		p.period = refinePeriod(gaps, best)
	}
}

// refinePeriod returns the mean of the period over the gaps that are multiples of
// it, since a single gap deviates by up to the tolerance.
func refinePeriod(gaps []zinniatide.Millis, period zinniatide.Millis) zinniatide.Millis {
	sum, periods := zinniatide.Millis(0), zinniatide.Millis(0)
	for _, gap := range gaps {
		if isMultiple(gap, period) {
			sum += gap
			periods += (gap + period/2) / period
		}
	}
	return (sum + periods/2) / max(periods, 1)
}

// isMultiple reports whether gap is a small multiple of period.
func isMultiple(gap, period zinniatide.Millis) bool {
	n := (gap + period/2) / period
	deviation := gap - n*period
	return n >= 1 && n <= maxPausePeriods && deviation <= pauseTolerance && deviation >= -pauseTolerance
}

// pauseHistory holds the ends of the last pauses of a server, newest first.
type pauseHistory struct {
	ends  [rememberedPauses]zinniatide.Millis
	count int
}

// recordPause records that a response at now was held up for millis.
func (h *pauseHistory) recordPause(p *Pauses, now zinniatide.Millis, millis float64) {
	if h.count > 0 && now-h.ends[0] < 2*pauseTolerance {
		return // held up by the same pause
	}
	if h.count > 0 {
		p.recordGap(now - h.ends[0])
	}
	copy(h.ends[1:], h.ends[:])
	h.ends[0] = now
	h.count = min(h.count+1, rememberedPauses)
	if end, ok := h.expectedEnd(p, now-1); ok && now >= end-pauseTolerance && now <= end+pauseTolerance {
		p.recordLength(millis)
	}
}

// agreeing returns the end of a remembered pause that another one confirms, the
// newest first. Other requests that were held up do not hide it.
func (h *pauseHistory) agreeing(period zinniatide.Millis) (zinniatide.Millis, bool) {
	for i := range h.count {
		for j := i + 1; j < h.count; j++ {
			if isMultiple(h.ends[i]-h.ends[j], period) {
				return h.ends[i], true
			}
		}
	}
	return 0, false
}

// expectedEnd returns the end of the pause that is expected next after now.
func (h *pauseHistory) expectedEnd(p *Pauses, now zinniatide.Millis) (zinniatide.Millis, bool) {
	if p == nil || p.period == 0 {
		return 0, false
	}
	end, ok := h.agreeing(p.period)
	if !ok || now < end || now-end > maxPausePeriods*p.period {
		return end, ok && now < end
	}
	return end + ((now-end)/p.period+1)*p.period, true
}

// pauseLeft returns how long a request that arrives within work milliseconds of now
// would be held up by an expected pause, or 0.
func (h *pauseHistory) pauseLeft(p *Pauses, now zinniatide.Millis, work float64) float64 {
	end, ok := h.expectedEnd(p, now)
	if !ok {
		return 0
	}
	length := math.Min(p.length, maxPauseShare*float64(p.period))
	left := float64(end - now)
	if left > length+work {
		return 0
	}
	return left
}

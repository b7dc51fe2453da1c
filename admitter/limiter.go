package admitter

import "zinniatide.example/zinniatide"

// limiter chooses the sub-requests that may be in flight. The slots of the
// service divided by the number of serving VMs are the starting point, because
// every VM admits by itself. The queues that owners report correct it: they
// show what all VMs together send.
type limiter struct {
	limit  float64
	factor float64
	slots  int
	vms    int
	// Since the last adjustment.
	adjustedAt zinniatide.Millis
	results    int
	shed       int
	busy       int
	queued     int
	blocked    bool // a request had to wait or was refused
	// tension is the time that admitted requests take, as a part of the time
	// that requests have to their deadlines. It is 0 while unknown.
	tension float64
	cost    float64 // moving average of the sub-requests of one request
}

// resize takes over the slots and the number of serving VMs.
func (l *limiter) resize(c *Config, slots, vms int) {
	if l.slots == slots && l.vms == vms {
		return
	}
	l.slots, l.vms = slots, vms
	if l.factor == 0 {
		l.factor = 1
	}
	l.apply(c)
}

func (l *limiter) apply(c *Config) {
	base := float64(max(l.slots, 1)) / float64(max(l.vms, 1))
	l.factor = min(max(l.factor, c.MinFactor), c.MaxFactor*float64(max(l.vms, 1)))
	l.limit = max(base*l.factor, 1)
	if l.tension <= c.TightAbove {
		l.limit = max(l.limit, c.MinRequests*l.cost)
	}
}

// observe adds a result.
func (l *limiter) observe(inFlight, queued uint16, shed bool) {
	l.results++
	l.busy += int(inFlight)
	l.queued += int(queued)
	if shed {
		l.shed++
	}
}

// loose reports whether admitted requests end long before their deadlines.
func (l *limiter) loose(c *Config) bool { return l.tension > 0 && l.tension < c.LooseBelow }

// adjust corrects the limit once per interval.
func (l *limiter) adjust(c *Config, now zinniatide.Millis) {
	if now-l.adjustedAt < c.AdjustInterval {
		return
	}
	if l.results > 0 {
		queued, busy := float64(l.queued), float64(max(l.busy, 1))
		tight := l.tension == 0 || l.tension > c.TightAbove
		switch {
		case queued > c.ShrinkAbove*busy && tight, float64(l.shed) > c.ShedShare*float64(l.results):
			l.factor *= c.Shrink
		case l.loose(c) && l.blocked:
			l.factor *= c.Grow * c.Grow
		case l.blocked && (queued < c.GrowBelow*busy || !tight && queued < c.GrowBelowEased*busy):
			l.factor *= c.Grow
		}
		l.apply(c)
	}
	l.adjustedAt, l.results, l.shed, l.busy, l.queued, l.blocked = now, 0, 0, 0, 0, false
}

// rate estimates how fast work drains while requests wait.
type rate struct {
	perMilli float64
	measured zinniatide.Millis // when perMilli was last corrected
	since    zinniatide.Millis
	sum      int
	backlog  bool
}

const (
	// rateWindow is long enough to hold several requests of 84 sub-requests.
	rateWindow zinniatide.Millis = 50
	// rateLifetime is how long a measured rate is believed. A rate is measured
	// only while requests wait. When a stall has made it so low that none may
	// wait, it would never be measured again.
	rateLifetime zinniatide.Millis = 1000
)

// at returns the rate per millisecond, 0 when it is not known.
func (r *rate) at(now zinniatide.Millis) float64 {
	if now-r.measured > rateLifetime {
		return 0
	}
	return r.perMilli
}

func (r *rate) add(now zinniatide.Millis, n int, backlog bool) {
	if !backlog {
		// Without a backlog the rate is that of arrivals, not of the servers.
		r.since, r.sum, r.backlog = now, 0, false
		return
	}
	if !r.backlog {
		r.since, r.sum, r.backlog = now, 0, true
	}
	r.sum += n
	if d := now - r.since; d >= rateWindow {
		sample := float64(r.sum) / float64(d)
		if r.at(now) == 0 {
			r.perMilli = sample
		}
		r.perMilli += 0.2 * (sample - r.perMilli)
		r.measured, r.since, r.sum = now, now, 0
	}
}

// spread estimates mean and deviation of the time of service.
type spread struct {
	mean      float64
	deviation float64
}

func (s *spread) add(sample float64) {
	if s.mean == 0 {
		s.mean = sample
	}
	off := sample - s.mean
	s.mean += 0.1 * off
	s.deviation += 0.1 * (max(off, -off) - s.deviation)
}

// high is a time that few requests exceed. Three mean deviations are about the
// 99th percentile of the usual distributions.
func (s *spread) high() float64 { return s.mean + 3*s.deviation }

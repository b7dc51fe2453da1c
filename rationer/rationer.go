// Package rationer bounds the sends to a service beyond the first of each
// request. All VMs together stay below a ratio of the requests plus a fixed
// number in each window, without asking each other.
package rationer

import "zinniatide.example/zinniatide"

// Config is the bound for one service over all VMs.
type Config struct {
	// Ratio is the extra sends allowed for each request.
	Ratio float64
	// Slack is the extra sends allowed in each window besides.
	Slack float64
	// Window is the length of the window.
	Window zinniatide.Millis
}

// Shares of the bound that are used. The rest covers requests that this VM
// counted and that never reached it within the same window.
const (
	ratioShare = 0.65
	savedShare = 0.25
	slackShare = 0.7
)

// Rationer is the share of one VM in the bound of one service.
type Rationer struct {
	config Config
	tokens float64
	burst  float64
	// recent is about the number of requests in the last window.
	recent float64
	at     zinniatide.Millis
}

// New returns a Rationer of one of vms VMs.
func New(config Config, vms int, now zinniatide.Millis) *Rationer {
	r := &Rationer{config: config, at: now}
	r.Share(vms, now)
	r.tokens = r.limit()
	return r
}

// Share sets the number of VMs that send to the service. What one VM may send
// at once and what it regains over a window are half of its share of the slack
// each, so that no window sees more than the whole.
func (r *Rationer) Share(vms int, now zinniatide.Millis) {
	r.refill(now)
	r.burst = r.config.Slack * slackShare / 2 / float64(max(vms, 1))
	r.tokens = min(r.tokens, r.limit())
}

// limit is the most that may be saved up. At least one send is possible, so
// that a small share does not forbid all repeats.
func (r *Rationer) limit() float64 {
	return max(r.burst+savedShare*r.config.Ratio*r.recent, 1)
}

func (r *Rationer) refill(now zinniatide.Millis) {
	if r.config.Window <= 0 || now <= r.at {
		return
	}
	passed := min(float64(now-r.at)/float64(r.config.Window), 1)
	r.tokens += r.burst * passed
	r.recent -= r.recent * passed
	r.tokens = min(r.tokens, r.limit())
	r.at = now
}

// Request notes the first send of a request.
func (r *Rationer) Request(now zinniatide.Millis) {
	r.refill(now)
	r.recent++
	r.tokens = min(r.tokens+r.config.Ratio*ratioShare, r.limit())
}

// Plenty reports whether half of what may be saved up is there, so that a send
// which is merely useful leaves enough for those that are needed.
func (r *Rationer) Plenty(now zinniatide.Millis) bool {
	r.refill(now)
	return r.tokens >= max(r.limit()/2, 1)
}

// Has reports whether one more send is allowed.
func (r *Rationer) Has(now zinniatide.Millis) bool {
	r.refill(now)
	return r.tokens >= 1
}

// Take reports whether one more send is allowed and counts it.
func (r *Rationer) Take(now zinniatide.Millis) bool {
	if !r.Has(now) {
		return false
	}
	r.tokens--
	return true
}

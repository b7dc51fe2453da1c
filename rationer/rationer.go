// Package rationer implements a retry budget: it limits the sends to a service
// in addition to the first send of each request. Within each window, all VMs
// together stay below a ratio of the requests plus a fixed number, without
// coordination between the VMs.
package rationer

import "zinniatide.example/zinniatide"

// Config is the retry budget of one service, shared by all VMs.
type Config struct {
	// Ratio is the number of additional sends allowed per request.
	Ratio float64
	// Slack is the number of sends allowed per window on top of Ratio.
	Slack  float64
	Window zinniatide.Millis
}

// Shares of the budget that are used. The rest is a margin for requests that
// this VM has counted but that did not reach the service within the same
// window.
const (
	usedRatioShare  = 0.65
	savedRatioShare = 0.25
	usedSlackShare  = 0.7
)

// Budget is the share of one VM in the retry budget of one service. It is a
// token bucket.
type Budget struct {
	config Config
	tokens float64
	burst  float64
	// recentRequests approximates the number of requests in the last window.
	recentRequests float64
	updatedAt      zinniatide.Millis
}

// New returns the share of one VM out of vms VMs.
func New(config Config, vms int, now zinniatide.Millis) *Budget {
	r := &Budget{config: config, updatedAt: now}
	r.SetVMs(vms, now)
	r.tokens = r.maxTokens()
	return r
}

// SetVMs sets the number of VMs that send to the service. One half of this VM's
// share of the slack may be sent at once, and the other half is refilled over a
// window, so that no window exceeds the whole share.
func (r *Budget) SetVMs(vms int, now zinniatide.Millis) {
	r.refill(now)
	r.burst = r.config.Slack * usedSlackShare / 2 / float64(max(vms, 1))
	r.tokens = min(r.tokens, r.maxTokens())
}

// maxTokens returns the capacity of the token bucket. It is at least one, so
// that a small share does not forbid all resends.
func (r *Budget) maxTokens() float64 {
	return max(r.burst+savedRatioShare*r.config.Ratio*r.recentRequests, 1)
}

func (r *Budget) refill(now zinniatide.Millis) {
	if r.config.Window <= 0 || now <= r.updatedAt {
		return
	}
	passed := min(float64(now-r.updatedAt)/float64(r.config.Window), 1)
	r.tokens += r.burst * passed
	r.recentRequests -= r.recentRequests * passed
	r.tokens = min(r.tokens, r.maxTokens())
	r.updatedAt = now
}

// RecordRequest records the first send of a request.
func (r *Budget) RecordRequest(now zinniatide.Millis) {
	r.refill(now)
	r.recentRequests++
	r.tokens = min(r.tokens+r.config.Ratio*usedRatioShare, r.maxTokens())
}

// AtLeastHalfFull reports whether at least half of the capacity is available. Sends that
// are useful but not required check it, to leave enough budget for those that
// are required.
func (r *Budget) AtLeastHalfFull(now zinniatide.Millis) bool {
	r.refill(now)
	return r.tokens >= max(r.maxTokens()/2, 1)
}

// Available reports whether another send is allowed.
func (r *Budget) Available(now zinniatide.Millis) bool {
	r.refill(now)
	return r.tokens >= 1
}

// TryTake reports whether another send is allowed, and counts it if so.
func (r *Budget) TryTake(now zinniatide.Millis) bool {
	if !r.Available(now) {
		return false
	}
	r.tokens--
	return true
}

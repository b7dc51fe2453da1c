// Package retrybudget implements a retry budget: it limits the sends to a
// service in addition to the first send of each request. Within each window,
// all VMs together stay below a ratio of the requests plus a fixed number,
// without coordination between the VMs.
package retrybudget

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
	// usedRatioShare is the share of Ratio earned by each request.
	usedRatioShare = 0.65
	// savedRatioShare is the share of Ratio times the recent requests that may be
	// saved up.
	savedRatioShare = 0.25
	// usedSlackShare is the share of Slack that is used.
	usedSlackShare = 0.7
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
	b := &Budget{config: config, updatedAt: now}
	b.SetVMs(vms, now)
	b.tokens = b.maxTokens()
	return b
}

// SetVMs sets the number of VMs that send to the service. One half of this VM's
// share of the slack may be sent at once, and the other half is refilled over a
// window, so that no window exceeds the whole share.
func (b *Budget) SetVMs(vms int, now zinniatide.Millis) {
	b.refill(now)
	b.burst = b.config.Slack * usedSlackShare / 2 / float64(max(vms, 1))
	b.tokens = min(b.tokens, b.maxTokens())
}

// maxTokens returns the capacity of the token bucket. It is at least one, so
// that a small share does not forbid all resends.
func (b *Budget) maxTokens() float64 {
	return max(b.burst+savedRatioShare*b.config.Ratio*b.recentRequests, 1)
}

func (b *Budget) refill(now zinniatide.Millis) {
	if b.config.Window <= 0 || now <= b.updatedAt {
		return
	}
	passed := min(float64(now-b.updatedAt)/float64(b.config.Window), 1)
	b.tokens += b.burst * passed
	b.recentRequests -= b.recentRequests * passed
	b.tokens = min(b.tokens, b.maxTokens())
	b.updatedAt = now
}

// RecordRequest records the first send of a request.
func (b *Budget) RecordRequest(now zinniatide.Millis) {
	b.refill(now)
	b.recentRequests++
	b.tokens = min(b.tokens+b.config.Ratio*usedRatioShare, b.maxTokens())
}

// AtLeastHalfFull reports whether at least half of the capacity is available.
// Sends that are useful but not required check it, to leave enough budget for
// those that are required.
func (b *Budget) AtLeastHalfFull(now zinniatide.Millis) bool {
	b.refill(now)
	return b.tokens >= max(b.maxTokens()/2, 1)
}

// Available reports whether another send is allowed.
func (b *Budget) Available(now zinniatide.Millis) bool {
	b.refill(now)
	return b.tokens >= 1
}

// TryTake reports whether another send is allowed, and counts it if so.
func (b *Budget) TryTake(now zinniatide.Millis) bool {
	if !b.Available(now) {
		return false
	}
	b.tokens--
	return true
}

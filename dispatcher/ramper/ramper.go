// Package ramper raises the rate limit of a newly started server as it answers
// requests.
package ramper

import "zinniatide.example/zinniatide"

// maxLevel prevents overflow of InitialRate<<level in 64 bits.
const maxLevel = 31

// Ramp is the warm-up state of one server. The rate limit is InitialRate,
// doubled at each level. The server is warm, with no limit, once that reaches
// FullRate. A Ramp is not safe for concurrent use.
type Ramp struct {
	setting   zinniatide.ColdStartSetting
	level     uint8
	successes uint32
	warm      bool
}

// New returns the ramp of a cold server.
func New(setting zinniatide.ColdStartSetting) Ramp {
	r := Ramp{}
	r.SetSetting(setting)
	return r
}

// SetSetting replaces the setting. A warm server stays warm.
func (r *Ramp) SetSetting(setting zinniatide.ColdStartSetting) {
	setting.InitialRate = max(setting.InitialRate, 1)
	setting.DoubleAfter = max(setting.DoubleAfter, 1)
	r.setting = setting
	r.updateWarm()
}

// Warm reports whether the server has no rate limit.
func (r *Ramp) Warm() bool { return r.warm }

// Rate returns the limit in requests per second, or 0 for a warm server.
func (r *Ramp) Rate() uint32 {
	if r.warm {
		return 0
	}
	return uint32(r.rateLimit())
}

// RecordSuccess counts a successful request and reports whether the rate limit
// changed.
func (r *Ramp) RecordSuccess() bool {
	if r.warm {
		return false
	}
	r.successes++
	if r.successes < r.setting.DoubleAfter {
		return false
	}
	r.successes = 0
	r.level = min(r.level+1, maxLevel)
	r.updateWarm()
	return true
}

// Reset makes the server cold, at the first level.
func (r *Ramp) Reset() {
	*r = New(r.setting)
}

// State returns the level, the successes counted at this level, and whether the
// server is warm.
func (r *Ramp) State() (level uint8, successes uint32, warm bool) {
	return r.level, r.successes, r.warm
}

// Restore sets the state to one reported by another owner.
func (r *Ramp) Restore(level uint8, successes uint32, warm bool) {
	r.level, r.successes, r.warm = min(level, maxLevel), successes, warm
	r.updateWarm()
}

func (r *Ramp) rateLimit() uint64 { return uint64(r.setting.InitialRate) << r.level }

func (r *Ramp) updateWarm() {
	if r.rateLimit() >= uint64(r.setting.FullRate) {
		r.warm = true
	}
}

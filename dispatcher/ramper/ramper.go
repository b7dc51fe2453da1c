// Package ramper raises the rate bound of a freshly started server as it
// answers requests.
package ramper

import "zinniatide.example/zinniatide"

// maxLevel keeps InitialRate<<level within 64 bits.
const maxLevel = 31

// Ramp is the level of one server. The bound is InitialRate doubled once per
// level, until it reaches FullRate and the server is warm. Not safe for
// concurrent use.
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
	r.settle()
}

// Warm reports whether the server has no rate bound.
func (r *Ramp) Warm() bool { return r.warm }

// Rate returns the bound in requests per second, 0 for a warm server.
func (r *Ramp) Rate() uint32 {
	if r.warm {
		return 0
	}
	return uint32(r.bound())
}

// Succeeded counts a successful request and reports whether the bound changed.
func (r *Ramp) Succeeded() bool {
	if r.warm {
		return false
	}
	r.successes++
	if r.successes < r.setting.DoubleAfter {
		return false
	}
	r.successes = 0
	r.level = min(r.level+1, maxLevel)
	r.settle()
	return true
}

// TurnCold returns to the first level.
func (r *Ramp) TurnCold() {
	*r = New(r.setting)
}

// State returns the level and the successes counted in it.
func (r *Ramp) State() (level uint8, successes uint32, warm bool) {
	return r.level, r.successes, r.warm
}

// Restore continues at a state that another owner reached.
func (r *Ramp) Restore(level uint8, successes uint32, warm bool) {
	r.level, r.successes, r.warm = min(level, maxLevel), successes, warm
	r.settle()
}

func (r *Ramp) bound() uint64 { return uint64(r.setting.InitialRate) << r.level }

func (r *Ramp) settle() {
	if r.bound() >= uint64(r.setting.FullRate) {
		r.warm = true
	}
}

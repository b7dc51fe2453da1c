package emulator

import (
	"time"

	"zinniatide.example/zinniatide"
)

// ramp is the server's true capacity after a start: a bound on requests in
// any window of one second, which doubles after a number of completed requests.
type ramp struct {
	setting   zinniatide.ColdStartSetting
	rate      uint32
	completed uint32
	started   []time.Time
}

func newRamp(s zinniatide.ColdStartSetting) ramp { return ramp{setting: s, rate: s.InitialRate} }

func (r *ramp) warm() bool { return r.setting.FullRate == 0 || r.rate >= r.setting.FullRate }

// start records a request and reports whether the server can bear it.
func (r *ramp) start(now time.Time) bool {
	if r.warm() {
		return true
	}
	oldest := now.Add(-time.Second)
	for len(r.started) > 0 && !r.started[0].After(oldest) {
		r.started = r.started[1:]
	}
	r.started = append(r.started, now)
	return len(r.started) <= int(r.rate)
}

func (r *ramp) complete() {
	if r.warm() {
		return
	}
	r.completed++
	if r.completed >= r.setting.DoubleAfter {
		r.completed = 0
		r.rate *= 2
	}
}

package emulator

import (
	"time"

	"zinniatide.example/zinniatide"
)

// coldStart models the actual capacity of a server after a start: a limit on the
// requests started in any window of one second. The limit doubles each time a
// number of requests has completed, until the server is warm.
type coldStart struct {
	setting    zinniatide.ColdStartSetting
	limit      uint32 // requests per second
	completed  uint32
	startTimes []time.Time
}

func newColdStart(s zinniatide.ColdStartSetting) coldStart {
	return coldStart{setting: s, limit: s.InitialRate}
}

func (c *coldStart) warm() bool { return c.setting.FullRate == 0 || c.limit >= c.setting.FullRate }

// recordStart records the start of a request and reports whether it is within
// the limit.
func (c *coldStart) recordStart(now time.Time) bool {
	if c.warm() {
		return true
	}
	oldest := now.Add(-time.Second)
	for len(c.startTimes) > 0 && !c.startTimes[0].After(oldest) {
		c.startTimes = c.startTimes[1:]
	}
	c.startTimes = append(c.startTimes, now)
	return len(c.startTimes) <= int(c.limit)
}

// recordCompletion records a completed request and doubles the limit when enough
// have completed.
func (c *coldStart) recordCompletion() {
	if c.warm() {
		return
	}
	c.completed++
	if c.completed >= c.setting.DoubleAfter {
		c.completed = 0
		c.limit *= 2
	}
}

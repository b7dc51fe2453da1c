package ticker

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// A tick must run when it is due and not before, and a request made during a
// tick must not be lost.
func TestRunsOnlyWhenDue(t *testing.T) {
	c := clock.NewManual(0, 0)
	ticks, next := 0, zinniatide.Millis(500)
	var during func()
	ticker := New(c, func() zinniatide.Millis {
		ticks++
		if during != nil {
			during()
		}
		return next
	})
	steps := []struct {
		name       string
		advance    zinniatide.Millis
		request    zinniatide.Millis // requested with ScheduleAt before runOnce; 0 for none
		timerFired bool
		during     func()
		ticks      int // total after runOnce
		wait       zinniatide.Millis
	}{
		{name: "first", ticks: 1, wait: 500},
		{name: "not due", advance: 100, ticks: 1, wait: 400},
		{name: "request after the due time", request: 900, ticks: 1, wait: 400},
		{name: "request before the due time", request: 200, ticks: 1, wait: 100},
		{name: "due", advance: 100, during: func() { ticker.ScheduleAt(300) }, ticks: 2, wait: 100},
		{name: "timer fired while the clock stands still", timerFired: true, ticks: 3, wait: 300},
		{name: "next tick far in the future", advance: 300, during: func() { next = 1 << 40 }, ticks: 4, wait: MaxInterval},
	}
	for _, s := range steps {
		c.Advance(s.advance)
		if s.request != 0 {
			ticker.ScheduleAt(s.request)
		}
		during = s.during
		if got := ticker.runOnce(s.timerFired); got != s.wait || ticks != s.ticks {
			t.Fatalf("%s: wait %d and %d ticks, want %d and %d", s.name, got, ticks, s.wait, s.ticks)
		}
	}
	select {
	case <-ticker.wake:
	default:
		t.Error("a request for an earlier time did not wake Run")
	}
}

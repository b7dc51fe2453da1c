package ticker

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// Guards against ticks that come without need, that do not come when they are
// due, and against a request made during a tick that is lost.
func TestTicksWhenDue(t *testing.T) {
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
		name    string
		advance zinniatide.Millis
		at      zinniatide.Millis // asked for before the step, 0 for none
		fired   bool
		during  func()
		ticks   int // after the step
		wait    zinniatide.Millis
	}{
		{name: "first", ticks: 1, wait: 500},
		{name: "not due", advance: 100, ticks: 1, wait: 400},
		{name: "later than due", at: 900, ticks: 1, wait: 400},
		{name: "earlier", at: 200, ticks: 1, wait: 100},
		{name: "due", advance: 100, during: func() { ticker.At(300) }, ticks: 2, wait: 100},
		{name: "timer under a standing clock", fired: true, ticks: 3, wait: 300},
		{name: "next is far", advance: 300, during: func() { next = 1 << 40 }, ticks: 4, wait: Longest},
	}
	for _, s := range steps {
		c.Advance(s.advance)
		if s.at != 0 {
			ticker.At(s.at)
		}
		during = s.during
		if got := ticker.step(s.fired); got != s.wait || ticks != s.ticks {
			t.Fatalf("%s: wait %d and %d ticks, want %d and %d", s.name, got, ticks, s.wait, s.ticks)
		}
	}
	select {
	case <-ticker.wake:
	default:
		t.Error("an earlier time did not wake Run")
	}
}

package clock_test

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// A manual clock must not advance by itself, because tests that use it would then
// depend on the speed of the machine.
func TestManualClockMovesOnlyOnAdvance(t *testing.T) {
	c := clock.NewManual(10, 1000)
	c.Advance(5)
	if got, want := c.Now(), zinniatide.Millis(15); got != want {
		t.Errorf("Now() = %d, want %d", got, want)
	}
	if got, want := c.Unix(), zinniatide.Millis(1005); got != want {
		t.Errorf("Unix() = %d, want %d", got, want)
	}
}

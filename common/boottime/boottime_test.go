package boottime_test

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/boottime"
	"zinniatide.example/zinniatide/common/clock"
)

// Guards against a confirmation that was requested before a suspension and counts as
// fresh after it, because the monotonic clock stood still.
func TestSuspensionAgesEarlierTimes(t *testing.T) {
	c := clock.NewManual(100, 0)
	suspended := zinniatide.Millis(7000)
	converter := boottime.NewConverter(c, func() zinniatide.Millis { return c.Now() + suspended })
	c.Advance(50)
	sentAt := c.Now()
	suspended += 10_000
	c.Advance(1)
	now := converter.Now()
	if got, want := now-converter.Convert(sentAt), zinniatide.Millis(10_001); got != want {
		t.Errorf("got age %d, want %d", got, want)
	}
	c.Advance(20)
	sentAt = c.Now()
	c.Advance(3)
	if got, want := converter.Now()-converter.Convert(sentAt), zinniatide.Millis(3); got != want {
		t.Errorf("got age %d of a later time, want %d", got, want)
	}
}

// Guards against a clock that stands still or is read in another unit.
func TestReadAdvances(t *testing.T) {
	if got := boottime.Read(); got <= 0 {
		t.Errorf("got boot time %d, want more than 0", got)
	}
}

// Package boottime reads the clock that also counts the time for which the machine was
// suspended. zinniatide.Clock does not count that time, so a lease measured with it would
// outlive its end on a suspended VM.
package boottime

import (
	"sync"

	"golang.org/x/sys/unix"

	"zinniatide.example/zinniatide"
)

// Read returns the time since the machine was booted. On a kernel without that clock, it
// is the time without suspensions.
func Read() zinniatide.Millis {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return zinniatide.Millis(ts.Nano() / 1_000_000)
}

// Converter converts past times of a zinniatide.Clock to boot time. It is safe for
// concurrent use.
type Converter struct {
	clock zinniatide.Clock
	read  func() zinniatide.Millis

	mu    sync.Mutex
	steps []step // guarded by mu, oldest first, never empty
}

// step is the difference between the clocks as first seen at a time of the Clock.
type step struct{ seenAt, difference zinniatide.Millis }

const (
	// minStep is the smallest change of the difference that is recorded. Both clocks are
	// rounded to milliseconds and read one after the other.
	minStep zinniatide.Millis = 5
	// maxSteps bounds the suspensions that are remembered.
	maxSteps = 16
)

// NewConverter returns a Converter. read returns the boot time.
func NewConverter(clock zinniatide.Clock, read func() zinniatide.Millis) *Converter {
	c := &Converter{clock: clock, read: read}
	now := clock.Now()
	c.steps = []step{{now, read() - now}}
	return c
}

// Now returns the boot time. A suspension is noticed by the next call of Now.
func (c *Converter) Now() zinniatide.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, boot := c.clock.Now(), c.read()
	if difference := boot - now; difference-c.steps[len(c.steps)-1].difference >= minStep {
		c.steps = append(c.steps, step{now, difference})
		c.steps = c.steps[max(0, len(c.steps)-maxSteps):]
	}
	return boot
}

// Convert returns the boot time of at, a time of the Clock. If the VM may have been
// suspended after at, the result is too early rather than too late.
func (c *Converter) Convert(at zinniatide.Millis) zinniatide.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	difference := c.steps[0].difference
	for _, s := range c.steps[1:] {
		if s.seenAt < at {
			difference = s.difference
		}
	}
	return at + difference
}

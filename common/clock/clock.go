// Package clock implements zinniatide.Clock.
package clock

import (
	"sync/atomic"
	"time"

	"zinniatide.example/zinniatide"
)

// Clock reads the system clocks or, if created with NewManual, is advanced
// manually. It is safe for concurrent use.
type Clock struct {
	start      time.Time
	manual     bool
	manualNow  atomic.Int64
	manualUnix atomic.Int64
}

// New returns a clock that reads the system clocks.
func New() *Clock { return &Clock{start: time.Now()} }

// NewManual returns a clock for tests. It starts at now and unix and only changes
// when Advance is called.
func NewManual(now, unix zinniatide.Millis) *Clock {
	c := &Clock{manual: true}
	c.manualNow.Store(int64(now))
	c.manualUnix.Store(int64(unix))
	return c
}

// Now implements zinniatide.Clock.
func (c *Clock) Now() zinniatide.Millis {
	if c.manual {
		return zinniatide.Millis(c.manualNow.Load())
	}
	return zinniatide.Millis(time.Since(c.start).Milliseconds())
}

// Unix implements zinniatide.Clock.
func (c *Clock) Unix() zinniatide.Millis {
	if c.manual {
		return zinniatide.Millis(c.manualUnix.Load())
	}
	return zinniatide.Millis(time.Now().UnixMilli())
}

// Advance moves a manual clock forward by d. It has no effect on a clock created
// with New.
func (c *Clock) Advance(d zinniatide.Millis) {
	c.manualNow.Add(int64(d))
	c.manualUnix.Add(int64(d))
}

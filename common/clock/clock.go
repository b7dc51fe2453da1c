// Package clock implements zinniatide.Clock.
package clock

import (
	"sync/atomic"
	"time"

	"zinniatide.example/zinniatide"
)

// Clock reads the machine's clocks, or is driven by hand. It is safe for
// concurrent use.
type Clock struct {
	start  time.Time
	manual bool
	now    atomic.Int64
	unix   atomic.Int64
}

// New returns a clock that reads the machine's clocks.
func New() *Clock { return &Clock{start: time.Now()} }

// NewManual returns a clock for tests that stands at now and unix until it is
// advanced.
func NewManual(now, unix zinniatide.Millis) *Clock {
	c := &Clock{manual: true}
	c.now.Store(int64(now))
	c.unix.Store(int64(unix))
	return c
}

// Now implements zinniatide.Clock.
func (c *Clock) Now() zinniatide.Millis {
	if c.manual {
		return zinniatide.Millis(c.now.Load())
	}
	return zinniatide.Millis(time.Since(c.start).Milliseconds())
}

// Unix implements zinniatide.Clock.
func (c *Clock) Unix() zinniatide.Millis {
	if c.manual {
		return zinniatide.Millis(c.unix.Load())
	}
	return zinniatide.Millis(time.Now().UnixMilli())
}

// Advance moves a manual clock forward by d.
func (c *Clock) Advance(d zinniatide.Millis) {
	c.now.Add(int64(d))
	c.unix.Add(int64(d))
}

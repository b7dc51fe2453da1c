// Package timer runs functions after a delay.
package timer

import (
	"time"

	"zinniatide.example/zinniatide"
)

// Timer runs a function once after a delay. The function must not block.
type Timer interface {
	// After calls f after d unless stop is called first. Calling stop does not
	// interrupt a call of f that has already begun.
	After(d zinniatide.Millis, f func()) (stop func())
}

type systemTimer struct{}

// New returns a Timer that uses the timers of the Go runtime.
func New() Timer { return systemTimer{} }

func (systemTimer) After(d zinniatide.Millis, f func()) func() {
	t := time.AfterFunc(max(d, 0).Duration(), f)
	return func() { t.Stop() }
}

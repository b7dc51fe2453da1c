// Package timer runs functions after a delay.
package timer

import (
	"time"

	"zinniatide.example/zinniatide"
)

// Timer runs a function once after a delay. The function must not block.
type Timer interface {
	// After calls f after d unless stop is called first. A call that has begun
	// is not interrupted by stop.
	After(d zinniatide.Millis, f func()) (stop func())
}

type machine struct{}

// New returns a Timer on the machine's timers.
func New() Timer { return machine{} }

func (machine) After(d zinniatide.Millis, f func()) func() {
	t := time.AfterFunc(max(d, 0).Duration(), f)
	return func() { t.Stop() }
}

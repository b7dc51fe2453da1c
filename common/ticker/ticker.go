// Package ticker calls a function when work is due instead of at a fixed
// interval, so that an idle process rarely wakes up.
package ticker

import (
	"sync"
	"time"

	"zinniatide.example/zinniatide"
)

// MaxInterval is the maximum time between two ticks. It limits the delay after
// the clock was stopped by a debugger or a suspended VM.
const MaxInterval zinniatide.Millis = 1000

// Ticker calls its tick function at the times that the function itself returns
// or that are requested with ScheduleAt. ScheduleAt and Wake may be called from
// any goroutine and while holding locks.
type Ticker struct {
	clock zinniatide.Clock
	tick  func() zinniatide.Millis
	wake  chan struct{}

	mu  sync.Mutex
	due zinniatide.Millis
}

// New returns a Ticker that is idle until Run is called. The function tick does
// the work that is due and returns the time at which the next work is due.
func New(clock zinniatide.Clock, tick func() zinniatide.Millis) *Ticker {
	return &Ticker{clock: clock, tick: tick, wake: make(chan struct{}, 1), due: clock.Now()}
}

// ScheduleAt requests a tick at due or earlier.
func (t *Ticker) ScheduleAt(due zinniatide.Millis) {
	t.mu.Lock()
	earlier := due < t.due
	t.due = min(t.due, due)
	t.mu.Unlock()
	if !earlier {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Wake requests an immediate tick.
func (t *Ticker) Wake() { t.ScheduleAt(t.clock.Now()) }

// Run calls the tick function when it is due, until stop is closed.
func (t *Ticker) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timerFired := false
		select {
		case <-stop:
			return
		case <-t.wake:
		case <-timer.C:
			timerFired = true
		}
		timer.Reset(t.runOnce(timerFired).Duration())
	}
}

// runOnce calls the tick function if a tick is due and returns the time until
// the next one. A tick is also due if the timer has fired, so that work continues
// while the clock does not advance.
func (t *Ticker) runOnce(timerFired bool) zinniatide.Millis {
	if now := t.clock.Now(); timerFired || t.isDue(now) {
		// Reset due before the tick, so that requests made during it are kept.
		t.mu.Lock()
		t.due = now + MaxInterval
		t.mu.Unlock()
		next := t.tick()
		t.mu.Lock()
		t.due = min(t.due, next)
		t.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.due-t.clock.Now(), 1)
}

func (t *Ticker) isDue(now zinniatide.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due <= now
}

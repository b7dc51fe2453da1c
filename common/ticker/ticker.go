// Package ticker runs timed work when it is due, instead of at a fixed
// interval. A process without work then wakes up rarely.
package ticker

import (
	"sync"
	"time"

	"zinniatide.example/zinniatide"
)

// Longest is the longest time between two ticks. It bounds the effect of a
// clock that a debugger or a suspended VM has held up.
const Longest zinniatide.Millis = 1000

// Ticker calls a function at the times that the function and At ask for. At
// and Wake may be called from any goroutine, also under locks.
type Ticker struct {
	clock zinniatide.Clock
	tick  func() zinniatide.Millis
	wake  chan struct{}

	mu  sync.Mutex
	due zinniatide.Millis
}

// New returns a Ticker that does nothing until Run. Tick does the work that is
// due and returns the time of the next work.
func New(clock zinniatide.Clock, tick func() zinniatide.Millis) *Ticker {
	return &Ticker{clock: clock, tick: tick, wake: make(chan struct{}, 1), due: clock.Now()}
}

// At asks for a tick at due or earlier.
func (t *Ticker) At(due zinniatide.Millis) {
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

// Wake asks for a tick at once.
func (t *Ticker) Wake() { t.At(t.clock.Now()) }

// Run ticks until stop is closed.
func (t *Ticker) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		fired := false
		select {
		case <-stop:
			return
		case <-t.wake:
		case <-timer.C:
			fired = true
		}
		timer.Reset(t.step(fired).Duration())
	}
}

// step ticks if a tick is due and returns the time to the next one. A timer
// that fired counts as due, so that work goes on under a clock that stands.
func (t *Ticker) step(fired bool) zinniatide.Millis {
	if now := t.clock.Now(); fired || t.isDue(now) {
		// Requests that come during the tick count from here.
		t.mu.Lock()
		t.due = now + Longest
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

// isDue reports whether a tick is due.
func (t *Ticker) isDue(now zinniatide.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due <= now
}

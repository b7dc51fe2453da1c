// Package timer runs functions after a delay, on the machine's timers or under
// a manual clock.
package timer

import (
	"sort"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
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

type entry struct {
	at  zinniatide.Millis
	seq uint64
	f   func()
}

// Manual is a Timer for tests. It fires only during Advance.
type Manual struct {
	clock   *clock.Clock
	mu      sync.Mutex
	seq     uint64
	entries []entry
}

// NewManual returns a Timer that follows c, a manual clock.
func NewManual(c *clock.Clock) *Manual { return &Manual{clock: c} }

// After implements Timer.
func (m *Manual) After(d zinniatide.Millis, f func()) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	id := m.seq
	m.entries = append(m.entries, entry{at: m.clock.Now() + max(d, 0), seq: id, f: f})
	return func() { m.stop(id) }
}

func (m *Manual) stop(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.entries {
		if m.entries[i].seq == id {
			m.entries = append(m.entries[:i], m.entries[i+1:]...)
			return
		}
	}
}

// Pending returns the number of timers that have not fired.
func (m *Manual) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// Advance moves the clock forward by d and fires what falls due, in order of
// time. Functions run on the calling goroutine, at their own time.
func (m *Manual) Advance(d zinniatide.Millis) {
	end := m.clock.Now() + d
	for {
		f, at, ok := m.next(end)
		if !ok {
			break
		}
		if now := m.clock.Now(); at > now {
			m.clock.Advance(at - now)
		}
		f()
	}
	if now := m.clock.Now(); end > now {
		m.clock.Advance(end - now)
	}
}

func (m *Manual) next(end zinniatide.Millis) (func(), zinniatide.Millis, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sort.Slice(m.entries, func(i, j int) bool {
		a, b := m.entries[i], m.entries[j]
		return a.at < b.at || (a.at == b.at && a.seq < b.seq)
	})
	if len(m.entries) == 0 || m.entries[0].at > end {
		return nil, 0, false
	}
	e := m.entries[0]
	m.entries = m.entries[1:]
	return e.f, e.at, true
}

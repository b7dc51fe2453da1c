package soak

import (
	"sync/atomic"
	"time"
)

const (
	stallProbeInterval = 20 * time.Millisecond
	// maxStall is how late this process may run for promises with a bound in time to
	// be judged. The servers and clients are in this process, and the relay processes
	// get no more processor time than it does.
	maxStall = 250 * time.Millisecond
)

// stallMeter measures how late this process runs.
type stallMeter struct {
	longest atomic.Int64 // in nanoseconds
	stop    chan struct{}
}

func startStallMeter() *stallMeter {
	m := &stallMeter{stop: make(chan struct{})}
	go func() {
		for {
			due := time.Now().Add(stallProbeInterval)
			select {
			case <-m.stop:
				return
			case <-time.After(stallProbeInterval):
			}
			m.longest.Store(max(m.longest.Load(), int64(time.Since(due))))
		}
	}()
	return m
}

// stalled ends the measurement and returns the longest delay, and whether it is too
// long to judge.
func (m *stallMeter) stalled() (time.Duration, bool) {
	close(m.stop)
	longest := time.Duration(m.longest.Load())
	return longest, longest > maxStall
}

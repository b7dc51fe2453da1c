package soak

import (
	"fmt"
	"os"
	"path/filepath"
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

// diskMeter measures how long synced writes of a small file take.
type diskMeter struct {
	longest atomic.Int64 // in nanoseconds
	started atomic.Int64 // start of the write in progress in Unix nanoseconds, or 0
	stop    chan struct{}
}

func startDiskMeter(folder string) *diskMeter {
	m := &diskMeter{stop: make(chan struct{})}
	path := filepath.Join(folder, "disk-probe")
	go func() {
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(stallProbeInterval):
			}
			begin := time.Now()
			m.started.Store(begin.UnixNano())
			if err := writeSynced(path); err != nil {
				fmt.Fprintln(os.Stderr, "soak: disk probe:", err)
			}
			m.started.Store(0)
			m.longest.Store(max(m.longest.Load(), int64(time.Since(begin))))
		}
	}()
	return m
}

func writeSynced(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing is read back
	if _, err := f.WriteString("probe"); err != nil {
		return err
	}
	return f.Sync()
}

// longestWrite ends the measurement and returns the longest time of a write, also of one
// that is not complete.
func (m *diskMeter) longestWrite() time.Duration {
	close(m.stop)
	longest := time.Duration(m.longest.Load())
	if started := m.started.Load(); started != 0 {
		longest = max(longest, time.Since(time.Unix(0, started)))
	}
	return longest.Round(time.Millisecond)
}

package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// Counts holds counters of what the server has received. The benchmarks compare
// them with what the query tier reports.
type Counts struct {
	SubQueries      atomic.Int64 // sub-queries started
	Executes        atomic.Int64 // non-idempotent requests started
	Shed            atomic.Int64 // refused because all slots were in use or the server was draining
	BeyondAllowance atomic.Int64 // started in excess of the cold-start limit
	Cancelled       atomic.Int64
	Crashes         atomic.Int64
	BeyondLimit     atomic.Int64 // connections closed because they exceeded the limit
	MaxConnections  atomic.Int64 // maximum number of connections open at once
	lastWork        atomic.Int64 // Unix time in milliseconds

	mu       sync.Mutex
	executed map[string]int
}

// LastWork returns when the most recent request was started.
func (c *Counts) LastWork() time.Time { return time.UnixMilli(c.lastWork.Load()) }

// Executed returns the number of runs of each non-idempotent request, by request
// ID.
func (c *Counts) Executed() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]int, len(c.executed))
	for id, n := range c.executed {
		copied[id] = n
	}
	return copied
}

func (c *Counts) addExecute(id string) {
	c.Executes.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executed[id]++
}

package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// Counts is what the server itself has seen. The measurements compare it with
// what the query tier reports.
type Counts struct {
	SubQueries      atomic.Int64 // searches started
	Executes        atomic.Int64 // non-idempotent requests run
	Shed            atomic.Int64 // refused because all slots were taken
	BeyondAllowance atomic.Int64 // started beyond what the cold server bears
	Cancelled       atomic.Int64
	Crashes         atomic.Int64
	BeyondLimit     atomic.Int64 // connections beyond the limit
	MaxConnections  atomic.Int64
	lastWork        atomic.Int64 // unix milliseconds

	mu       sync.Mutex
	executed map[string]int
}

// LastWork returns when the newest request was started.
func (c *Counts) LastWork() time.Time { return time.UnixMilli(c.lastWork.Load()) }

// Executed returns how often each request id was run.
func (c *Counts) Executed() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]int, len(c.executed))
	for id, n := range c.executed {
		copied[id] = n
	}
	return copied
}

func (c *Counts) recordExecute(id string) {
	c.Executes.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executed[id]++
}

package granter

import "zinniatide.example/zinniatide"

// SetWait replaces the time that a new counting VM waits, to plant a fault.
func (g *Granter) SetWait(wait zinniatide.Millis) { g.wait = wait }

// SetEarlyTime replaces the time for which a new counting VM grants no burst, to plant a
// fault.
func (g *Granter) SetEarlyTime(d zinniatide.Millis) { g.earlyTime = d }

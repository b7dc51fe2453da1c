package granter

import "zinniatide.example/zinniatide"

// SetWait replaces the time that a new counting VM waits, to plant a fault.
func (g *Granter) SetWait(wait zinniatide.Millis) { g.wait = wait }

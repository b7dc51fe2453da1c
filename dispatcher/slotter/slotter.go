// Package slotter counts the slots of one backend server.
package slotter

import "zinniatide.example/zinniatide"

// Slots counts slots in use. A slot is taken when a request starts and freed
// when its answer has arrived or its connection is closed, whatever its caller
// was told in between. Not safe for concurrent use.
type Slots struct {
	limit         int
	taken         int
	distrustUntil zinniatide.Millis
}

// SetLimit changes the number of slots. Slots in use beyond it are not revoked.
func (s *Slots) SetLimit(limit int) { s.limit = limit }

// Limit returns the number of slots that may be in use now: one less than
// announced, but at least one, while the server reports overload.
func (s *Slots) Limit(now zinniatide.Millis) int {
	if now < s.distrustUntil && s.limit > 1 {
		return s.limit - 1
	}
	return s.limit
}

// Announced returns the number of slots without regard to reports.
func (s *Slots) Announced() int { return s.limit }

// Distrust withholds one slot until until.
func (s *Slots) Distrust(until zinniatide.Millis) { s.distrustUntil = max(s.distrustUntil, until) }

// Free reports whether a slot is free.
func (s *Slots) Free(now zinniatide.Millis) bool { return s.taken < s.Limit(now) }

// Take takes a slot. The caller has checked that one is free.
func (s *Slots) Take() { s.taken++ }

// Release frees a slot.
func (s *Slots) Release() { s.taken-- }

// Taken returns the number of slots in use.
func (s *Slots) Taken() int { return s.taken }

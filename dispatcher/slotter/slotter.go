// Package slotter counts the slots of one backend server.
package slotter

import "zinniatide.example/zinniatide"

// Slots counts the slots in use. A slot is acquired when a request starts and
// released when its answer has arrived or its connection is closed, even if the
// caller got a result earlier. Slots is not safe for concurrent use.
type Slots struct {
	limit         int
	inUse         int
	withheldUntil zinniatide.Millis
}

// SetLimit changes the number of slots. It does not revoke slots that are in
// use beyond the new limit.
func (s *Slots) SetLimit(limit int) { s.limit = limit }

// Limit returns the number of slots that may be in use now. While a slot is
// withheld that is one less than BaseLimit, but at least one.
func (s *Slots) Limit(now zinniatide.Millis) int {
	if now < s.withheldUntil && s.limit > 1 {
		return s.limit - 1
	}
	return s.limit
}

// BaseLimit returns the number of slots including a withheld one.
func (s *Slots) BaseLimit() int { return s.limit }

// WithholdOne withholds one slot until the given time, because the server
// reports overload.
func (s *Slots) WithholdOne(until zinniatide.Millis) { s.withheldUntil = max(s.withheldUntil, until) }

// Free reports whether a slot is free.
func (s *Slots) Free(now zinniatide.Millis) bool { return s.inUse < s.Limit(now) }

// Acquire takes a slot. The caller must have checked that one is free.
func (s *Slots) Acquire() { s.inUse++ }

// Release frees a slot.
func (s *Slots) Release() { s.inUse-- }

// InUse returns the number of slots in use.
func (s *Slots) InUse() int { return s.inUse }

package answerreader

import "sync/atomic"

// Budget is the memory for the large answers that the connections of a VM are
// reading. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// DefaultBudgetBytes holds eight answers of the maximum size, less than a fifth of
// the memory of the smallest VM in use (184 MB).
const DefaultBudgetBytes = 32 << 20

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// reserve takes n bytes, or none and reports false if that exceeds the limit.
func (b *Budget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *Budget) release(n int) { b.used.Add(-int64(n)) }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

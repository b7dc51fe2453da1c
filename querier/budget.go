package querier

import "sync"

// maxBudgetTokens is the capacity of the hedge budget and the least capacity of
// the retry budget. It allows hedging ten searches of 84 shards, the number in the
// benchmarks, with ten slow shards each at the same time.
const maxBudgetTokens = 100

// tokenBucket is refilled by sub-requests instead of by time, so that the extra
// load is limited to a fixed fraction of the regular load.
type tokenBucket struct {
	mu          sync.Mutex
	refillRatio float64
	tokens      float64
	capacity    float64
}

func newTokenBucket(refillRatio, initial, capacity float64) *tokenBucket {
	return &tokenBucket{refillRatio: refillRatio, tokens: initial, capacity: capacity}
}

// refill adds the tokens that n sub-requests earn.
func (b *tokenBucket) refill(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.refillRatio*float64(n), b.capacity)
}

// take removes one token. It returns false when none is available.
func (b *tokenBucket) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance absorbs rounding errors: 50 times 0.02 must pay for one hedge.
	if b.refillRatio <= 0 || b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// requestBudgets limits the hedges and retries of one service.
type requestBudgets struct {
	hedges  *tokenBucket
	retries *tokenBucket
}

func newRequestBudgets(c *Config) *requestBudgets {
	return &requestBudgets{
		hedges:  newTokenBucket(c.HedgeFraction, 0, maxBudgetTokens),
		retries: newTokenBucket(c.RetryFraction, c.RetryBurst, max(c.RetryBurst, maxBudgetTokens)),
	}
}

func (b *requestBudgets) refill(n int) {
	b.hedges.refill(n)
	b.retries.refill(n)
}

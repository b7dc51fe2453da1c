package querier

import "sync"

// hedgeBurst bounds saved-up hedge tokens. Ten queries of 84 shards, each with
// ten slow shards, can be hedged at once.
const hedgeBurst = 100

// budget is a token bucket that is filled by sub-requests instead of by time,
// so that extra load stays a fixed fraction of the load itself.
type budget struct {
	mu       sync.Mutex
	fraction float64
	tokens   float64
	limit    float64
}

func newBudget(fraction, initial, limit float64) *budget {
	return &budget{fraction: fraction, tokens: initial, limit: limit}
}

// earn adds the tokens of n sub-requests.
func (b *budget) earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.fraction*float64(n), b.limit)
}

// take spends one token if there is one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The margin absorbs rounding: 50 times 0.02 must buy one hedge.
	if b.fraction <= 0 || b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// budgets are the extra sub-requests that a service may cause.
type budgets struct {
	hedges  *budget
	retries *budget
}

func newBudgets(c *Config) *budgets {
	return &budgets{
		hedges:  newBudget(c.HedgeFraction, 0, hedgeBurst),
		retries: newBudget(c.RetryFraction, c.RetryBurst, max(c.RetryBurst, hedgeBurst)),
	}
}

func (b *budgets) earn(n int) {
	b.hedges.earn(n)
	b.retries.earn(n)
}

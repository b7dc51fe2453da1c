package querier

import "zinniatide.example/zinniatide"

// Config holds the policy of queries. Measurements switch parts of it off.
type Config struct {
	// HedgeFraction is the share of sub-requests that may be hedged. Zero
	// disables hedging.
	HedgeFraction float64
	// HedgesPerShard bounds the hedges of one shard of one query.
	HedgesPerShard int
	// FirstHedgeDelay is used until HedgeSamples latencies were observed.
	FirstHedgeDelay zinniatide.Millis
	HedgeSamples    int64
	// MinHedgeDelay is the least delay of a hedge. The clock counts whole
	// milliseconds, so a lower value would hedge on rounding errors.
	MinHedgeDelay zinniatide.Millis
	// RetryFraction is the share of sub-requests that may be retried. Zero
	// disables retries. RetryBurst retries are possible at any time, so that a
	// service with little traffic can retry at all.
	RetryFraction float64
	RetryBurst    float64
	// MaxPaceWait is the longest that a sub-request waits for the pace of a cold
	// server while another replica can be asked. Zero waits until the deadline.
	MaxPaceWait zinniatide.Millis
	// RetryDelay is the delay before the same server is asked again. It doubles
	// with each attempt.
	RetryDelay zinniatide.Millis
	// OwnerRetryDelay is the first delay after not-owner, while a bucket is
	// handed over. It doubles up to OwnerRetryMax. OwnerWait bounds the whole
	// wait of a shard that no server with an owner serves.
	OwnerRetryDelay zinniatide.Millis
	OwnerRetryMax   zinniatide.Millis
	OwnerWait       zinniatide.Millis
	// DeadlineMargin is kept for merging and for writing the answer.
	DeadlineMargin zinniatide.Millis
	// Restart permits one restart of a query on another index version.
	Restart bool
	// CanaryPatience is the longest that the other shards wait for the first
	// answer to a new fingerprint.
	CanaryPatience zinniatide.Millis
	// RandomReplica replaces the power of two choices by a random choice. It is
	// the simpler policy that measurements compare with.
	RandomReplica bool
	// MaxLimit bounds the hits of an answer.
	MaxLimit int
}

// DefaultConfig returns the policy that docs/notes/query-policy.md gives the
// reasons for.
func DefaultConfig() Config {
	return Config{
		HedgeFraction: 0.02, HedgesPerShard: 2, FirstHedgeDelay: 50, HedgeSamples: 200, MinHedgeDelay: 2,
		RetryFraction: 0.10, RetryBurst: 50, RetryDelay: 5, MaxPaceWait: 20,
		OwnerRetryDelay: 10, OwnerRetryMax: 80, OwnerWait: 500,
		DeadlineMargin: 3, Restart: true, CanaryPatience: 250, MaxLimit: 1000,
	}
}

package querier

import "zinniatide.example/zinniatide"

// Config holds the hedging, retry and restart policy of searches. Benchmarks
// switch parts of it off.
type Config struct {
	// HedgeFraction is the share of sub-requests that may be hedged. Zero
	// disables hedging.
	HedgeFraction float64
	// HedgesPerShard is the maximum number of hedges per shard of a search.
	HedgesPerShard int
	// InitialHedgeDelay is used until MinHedgeSamples latencies were observed.
	InitialHedgeDelay zinniatide.Millis
	MinHedgeSamples   int64
	// MinHedgeDelay is the shortest delay before a hedge. The clock has a
	// resolution of one millisecond, so a lower value would hedge on rounding
	// errors.
	MinHedgeDelay zinniatide.Millis
	// RetryFraction is the share of sub-requests that may be retried. Zero
	// disables retries. RetryBurst retries are available at the start, so that a
	// service with little traffic can retry at all.
	RetryFraction float64
	RetryBurst    float64
	// MaxPacingWait is the longest time that a sub-request waits for the rate
	// limit of a cold server while another replica is available. Zero allows
	// waiting until the deadline.
	MaxPacingWait zinniatide.Millis
	// RetryDelay is the delay before the same server is tried again. It doubles
	// with each attempt.
	RetryDelay zinniatide.Millis
	// OwnerRetryDelay is the first delay after not-owner, while the server's
	// bucket moves to another VM. It doubles up to MaxOwnerRetryDelay.
	// MaxOwnerWait limits the total time that a shard waits for a server with an
	// owner.
	OwnerRetryDelay    zinniatide.Millis
	MaxOwnerRetryDelay zinniatide.Millis
	MaxOwnerWait       zinniatide.Millis
	// DeadlineMargin is reserved for merging and writing the answer.
	DeadlineMargin zinniatide.Millis
	// AllowRestart permits one restart of a search on another index version.
	AllowRestart bool
	// CanaryTimeout is the longest time that the other shards wait for the first
	// answer to a new fingerprint.
	CanaryTimeout zinniatide.Millis
	// RandomReplica chooses replicas at random instead of by the power of two
	// choices. It is the baseline of benchmarks.
	RandomReplica bool
	// MaxHits is the maximum number of hits in an answer.
	MaxHits int
}

// DefaultConfig returns the default policy. docs/notes/query-policy.md explains
// the values.
func DefaultConfig() Config {
	return Config{
		HedgeFraction: 0.02, HedgesPerShard: 2, InitialHedgeDelay: 50, MinHedgeSamples: 200, MinHedgeDelay: 2,
		RetryFraction: 0.10, RetryBurst: 50, RetryDelay: 5, MaxPacingWait: 20,
		OwnerRetryDelay: 10, MaxOwnerRetryDelay: 80, MaxOwnerWait: 500,
		DeadlineMargin: 3, AllowRestart: true, CanaryTimeout: 250, MaxHits: 1000,
	}
}

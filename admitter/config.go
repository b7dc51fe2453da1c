package admitter

import "zinniatide.example/zinniatide"

// Config holds the admission policy.
type Config struct {
	// QueueLimit is the maximum number of waiting requests per service.
	QueueLimit int
	// AdjustInterval is the interval between adjustments of the limit.
	AdjustInterval zinniatide.Millis
	// The limit grows while the server queues are shorter than GrowBelow times the
	// busy slots, and shrinks while they are longer than ShrinkAbove times. A short
	// queue keeps slots busy until the next request arrives over the network; a
	// longer one only adds latency.
	GrowBelow   float64
	ShrinkAbove float64
	// GrowBelowNotTight replaces GrowBelow while deadlines are not tight: a longer
	// queue then keeps more slots busy without making requests miss their deadlines.
	GrowBelowNotTight float64
	GrowFactor        float64 // per interval
	ShrinkFactor      float64 // per interval
	// SlackBelow and TightAbove are compared with the duration of admitted requests
	// as a fraction of the time to their deadlines. Below SlackBelow the limit grows
	// regardless of the queues, and only above TightAbove do long queues shrink it.
	// Short bursts of queueing also occur far below the capacity, and refusing work
	// because of them would waste slots.
	SlackBelow float64
	TightAbove float64
	// MaxShedShare is the share of refused sub-requests above which the limit
	// shrinks.
	MaxShedShare float64
	// MinLimitFactor times the slots per VM is the lower bound of the limit, and
	// MaxLimitFactor times all slots the upper bound. The upper bound refers to all
	// slots because all callers may use the same VM.
	MinLimitFactor float64
	MaxLimitFactor float64
	// MinConcurrentRequests is the number of requests that may always run unless
	// deadlines are tight. If the limit were below the cost of two requests, a VM
	// would run one request at a time, and its slots would idle while it waits for
	// the last shard.
	MinConcurrentRequests float64
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{
		QueueLimit: 2048, AdjustInterval: 100, GrowBelow: 0.5, GrowBelowNotTight: 2, ShrinkAbove: 1, GrowFactor: 1.05, ShrinkFactor: 0.9,
		SlackBelow: 0.25, TightAbove: 0.5, MaxShedShare: 0.02, MinLimitFactor: 0.5, MinConcurrentRequests: 4, MaxLimitFactor: 4,
	}
}

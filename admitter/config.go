package admitter

import "zinniatide.example/zinniatide"

// Config holds the rules of admission.
type Config struct {
	// QueueLimit bounds the requests that wait for one service.
	QueueLimit int
	// AdjustInterval is how often the limit follows the observed queues.
	AdjustInterval zinniatide.Millis
	// The limit grows while the queue of a backend server is shorter than
	// GrowBelow times its busy slots, and shrinks while it is longer than
	// ShrinkAbove times. Slots need a short queue to stay busy over the
	// distance to the next request; a longer one only adds latency.
	GrowBelow   float64
	ShrinkAbove float64
	// GrowBelowEased takes the place of GrowBelow while deadlines are not tight:
	// a longer queue then keeps more slots busy and costs no request its deadline.
	GrowBelowEased float64
	Grow           float64 // factor per interval
	Shrink         float64
	// LooseBelow and TightAbove compare the time that admitted requests take with
	// their deadlines. Below LooseBelow the limit grows whatever the queues are,
	// and only above TightAbove do long queues shrink it: a service far below
	// its capacity also has short bursts of queueing, and refusing work because
	// of them would waste its slots.
	LooseBelow float64
	TightAbove float64
	// ShedShare is the share of refused sub-requests that shrinks the limit.
	ShedShare float64
	// MinFactor bounds the limit from below, as a factor of the slots of one VM.
	// From above it is bounded by MaxFactor times all slots, for the case that
	// all callers use the same VM.
	MinFactor float64
	// MinRequests is how many requests may always run unless deadlines are
	// tight. With a limit below the cost of two requests, a VM runs one request
	// at a time, and its slots idle while it waits for the last shard.
	MinRequests float64
	MaxFactor   float64
}

// DefaultConfig returns the rules in use.
func DefaultConfig() Config {
	return Config{
		QueueLimit: 2048, AdjustInterval: 100, GrowBelow: 0.5, GrowBelowEased: 2, ShrinkAbove: 1, Grow: 1.05, Shrink: 0.9,
		LooseBelow: 0.25, TightAbove: 0.5, ShedShare: 0.02, MinFactor: 0.5, MinRequests: 4, MaxFactor: 4,
	}
}

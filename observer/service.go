package observer

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniatide.example/zinniatide"
)

const (
	// The latency distribution covers windowCount windows of windowLength. Ten
	// seconds in total contain enough samples for a 99th percentile and are short
	// enough to follow changes of the load.
	windowCount                    = 5
	windowLength zinniatide.Millis = 2000
	// refreshInterval is how long computed percentiles are cached, because merging
	// the windows takes tens of microseconds.
	refreshInterval zinniatide.Millis = 100
)

// Percentiles holds the percentiles of the recent latencies of a service.
type Percentiles struct {
	Samples int64
	P50     zinniatide.Millis
	P95     zinniatide.Millis
	P985    zinniatide.Millis
	P99     zinniatide.Millis
}

// Service is the record of a service. It is safe for concurrent use.
type Service struct {
	mu          sync.Mutex
	histogram   *hdrhistogram.WindowedHistogram
	started     bool
	rotatedAt   zinniatide.Millis
	percentiles Percentiles
	computedAt  zinniatide.Millis
}

func newService() *Service {
	return &Service{histogram: hdrhistogram.NewWindowed(windowCount, 1, int64(zinniatide.MaxRequestTime)*2, 2)}
}

// Sample adds the latency of a sub-request to the distribution. Cancelled
// sub-requests count with the time until the cancellation: omitting them would
// hide the slow ones.
func (s *Service) Sample(now, latency zinniatide.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	value := min(max(int64(latency), 1), int64(zinniatide.MaxRequestTime)*2)
	_ = s.histogram.Current.RecordValue(value) // the value is in range
}

// rotate advances the windows to the current time. After a gap longer than all
// windows, it rotates each window once.
func (s *Service) rotate(now zinniatide.Millis) {
	if !s.started {
		s.started, s.rotatedAt = true, now
		return
	}
	for n := 0; now-s.rotatedAt >= windowLength; n++ {
		if n == windowCount {
			s.rotatedAt = now
			return
		}
		s.histogram.Rotate()
		s.rotatedAt += windowLength
	}
}

// Percentiles returns the percentiles of the recent latencies. They can be
// refreshInterval old.
func (s *Service) Percentiles(now zinniatide.Millis) Percentiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if s.percentiles.Samples > 0 && now-s.computedAt < refreshInterval {
		return s.percentiles
	}
	merged := s.histogram.Merge()
	at := func(q float64) zinniatide.Millis { return zinniatide.Millis(merged.ValueAtQuantile(q)) }
	s.percentiles = Percentiles{Samples: merged.TotalCount(), P50: at(50), P95: at(95), P985: at(98.5), P99: at(99)}
	s.computedAt = now
	return s.percentiles
}

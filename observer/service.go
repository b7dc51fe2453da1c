package observer

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniatide.example/zinniatide"
)

const (
	// windows of windowLength make up the observed distribution. Ten seconds
	// hold enough samples for a 99th percentile and follow a change of load.
	windows                        = 5
	windowLength zinniatide.Millis = 2000
	// refreshInterval is how long computed percentiles are used. Merging the
	// windows takes tens of microseconds.
	refreshInterval zinniatide.Millis = 100
)

// Percentiles summarises the recent latencies of a service.
type Percentiles struct {
	Samples int64
	P50     zinniatide.Millis
	P95     zinniatide.Millis
	P985    zinniatide.Millis
	P99     zinniatide.Millis
}

// Service is the record of one service. It is safe for concurrent use.
type Service struct {
	mu        sync.Mutex
	histogram *hdrhistogram.WindowedHistogram
	started   bool
	rotatedAt zinniatide.Millis
	computed  Percentiles
	computeAt zinniatide.Millis
}

func newService() *Service {
	return &Service{histogram: hdrhistogram.NewWindowed(windows, 1, int64(zinniatide.MaxRequestTime)*2, 2)}
}

// Sample adds the latency of a sub-request. Cancelled sub-requests are added
// with the time that they ran: leaving them out would hide the slow ones.
func (s *Service) Sample(now, latency zinniatide.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	value := min(max(int64(latency), 1), int64(zinniatide.MaxRequestTime)*2)
	_ = s.histogram.Current.RecordValue(value) // the value is within the range
}

func (s *Service) rotate(now zinniatide.Millis) {
	if !s.started {
		s.started, s.rotatedAt = true, now
		return
	}
	for n := 0; now-s.rotatedAt >= windowLength; n++ {
		if n == windows {
			s.rotatedAt = now
			return
		}
		s.histogram.Rotate()
		s.rotatedAt += windowLength
	}
}

// Percentiles returns the recent distribution, at most refreshInterval old.
func (s *Service) Percentiles(now zinniatide.Millis) Percentiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if s.computed.Samples > 0 && now-s.computeAt < refreshInterval {
		return s.computed
	}
	merged := s.histogram.Merge()
	at := func(q float64) zinniatide.Millis { return zinniatide.Millis(merged.ValueAtQuantile(q)) }
	s.computed = Percentiles{Samples: merged.TotalCount(), P50: at(50), P95: at(95), P985: at(98.5), P99: at(99)}
	s.computeAt = now
	return s.computed
}

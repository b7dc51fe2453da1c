package rollouter

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// fullReport returns a report of a number of routes after some load.
func fullReport(routes int, n uint64) *zinniatide.RolloutReport {
	report := &zinniatide.RolloutReport{Service: "shard-00", Number: 1, Requests: 40 * n, TargetAvailable: true}
	for i := range routes {
		c := zinniatide.RolloutCounts{Route: zinniatide.RouteID(fmt.Sprint("route-", i))}
		c.Old.Sent, c.Target.Sent = 40*n, n
		c.Old.Latencies, c.Target.Latencies = make([]uint64, 16), make([]uint64, 16)
		for j := range 8 {
			c.Old.Latencies[4+j], c.Target.Latencies[4+j] = 5*n, n/8
		}
		report.Routes = append(report.Routes, c)
	}
	return report
}

// BenchmarkDecide measures a decision about one rollout, which the leader makes in each
// tick, with results in all buckets.
func BenchmarkDecide(b *testing.B) {
	for _, routes := range []int{2, 16, 128} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			r := New(testConfig, zinniatide.Rollout{Ramp: 60_000, Share: 0.025}, 0)
			now := zinniatide.Millis(0)
			for i := range uint64(100) {
				now += bucketTime
				r.Record(1, i+1, fullReport(routes, 100*(i+1)), now)
			}
			b.ResetTimer()
			for range b.N {
				r.Decide(Fleet{Reported: true, Installed: true}, now)
			}
		})
	}
}

// BenchmarkRecord measures the decoding and recording of a report of one rollout, and gives
// its size.
func BenchmarkRecord(b *testing.B) {
	for _, routes := range []int{2, 16} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			r := New(testConfig, zinniatide.Rollout{Ramp: 60_000, Share: 0.025}, 0)
			encoded, err := encoder.Marshal(fullReport(routes, 1000))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
			for i := range b.N {
				var report zinniatide.RolloutReport
				if err := encoder.Unmarshal(encoded, &report); err != nil {
					b.Fatal(err)
				}
				r.Record(1, uint64(i)+1, &report, 1)
			}
		})
	}
}

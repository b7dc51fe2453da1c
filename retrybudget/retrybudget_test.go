package retrybudget

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// All VMs together must not exceed the retry budget in any window. Each row is
// a number of VMs and a request pattern; each VM resends as often as its share
// allows.
func TestAllVMsStayWithinBudget(t *testing.T) {
	config := Config{Ratio: 0.2, Slack: 52, Window: 10_000}
	rows := []struct {
		name string
		vms  int
		// requests returns the number of requests of one VM in a slice of 100 ms.
		requests func(slice int) int
	}{
		{"steady", 6, func(int) int { return 2 }},
		{"burst after low load", 6, func(s int) int { return (s / 150 % 2) * 8 }},
		{"rare", 9, func(s int) int {
			if s%20 == 0 {
				return 1
			}
			return 0
		}},
		{"many VMs", 90, func(s int) int { return s % 2 }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			const slices = 600
			var sent, requested [slices]int
			for range row.vms {
				b := New(config, row.vms, 0)
				for s := range slices {
					now := zinniatide.Millis(s * 100)
					for range row.requests(s) {
						b.RecordRequest(now)
						requested[s]++
						for b.TryTake(now) {
							sent[s]++
						}
					}
					for b.TryTake(now) {
						sent[s]++
					}
				}
			}
			const window = 100 // in slices
			for from := 2 * window; from+window <= slices; from++ {
				resends, maxRequests := sum(sent[from:from+window]), 0
				// A resend may use budget saved from requests up to one window earlier.
				for _, begin := range []int{from, from - window, from - window/2} {
					maxRequests = max(maxRequests, sum(requested[begin:begin+window]))
				}
				// The bucket of each VM holds at least one token, so a VM may send once with
				// it and once after a refill.
				slack := max(config.Slack, float64(row.vms)*2)
				if bound := config.Ratio*float64(maxRequests) + slack; float64(resends) > bound {
					t.Fatalf("window from slice %d: got %d resends for %d requests, want at most %.0f", from, resends, maxRequests, bound)
				}
			}
		})
	}
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

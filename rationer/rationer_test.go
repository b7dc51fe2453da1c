package rationer

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a window in which all VMs together send more repeats than the
// bound: each row is one number of VMs and one way in which requests come. Each
// VM repeats as often as it may.
func TestAllVMsStayBelowTheBound(t *testing.T) {
	config := Config{Ratio: 0.2, Slack: 52, Window: 10_000}
	rows := []struct {
		name string
		vms  int
		// requests is the number of requests of one VM in a slice of 100 ms.
		requests func(slice int) int
	}{
		{"steady", 6, func(int) int { return 2 }},
		{"burst after calm", 6, func(s int) int { return (s / 150 % 2) * 8 }},
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
			var sent, asked [slices]int
			for range row.vms {
				r := New(config, row.vms, 0)
				for s := range slices {
					now := zinniatide.Millis(s * 100)
					for range row.requests(s) {
						r.Request(now)
						asked[s]++
						for r.Take(now) {
							sent[s]++
						}
					}
					for r.Take(now) {
						sent[s]++
					}
				}
			}
			const window = 100 // slices
			for from := 2 * window; from+window <= slices; from++ {
				repeats, most := sum(sent[from:from+window]), 0
				for _, begin := range []int{from, from - window, from - window/2} {
					most = max(most, sum(asked[begin:begin+window]))
				}
				slack := max(config.Slack, float64(row.vms)*2) // at least one send a VM is always possible
				if bound := config.Ratio*float64(most) + slack; float64(repeats) > bound {
					t.Fatalf("window from %d: got %d repeats for %d requests, want at most %.0f", from, repeats, most, bound)
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

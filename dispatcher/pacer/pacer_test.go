package pacer

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// TestRateLimit guards against more starts in a window than the limit, for
// random patterns of demand and with limits that are raised, lowered, removed
// and set again.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pacer
		rates := rapid.SliceOfN(rapid.Uint32Range(0, 3000), 1, 4).Draw(t, "rates")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 1200), 1, 40).Draw(t, "gaps")
		now := zinniatide.Millis(rapid.IntRange(0, 5000).Draw(t, "begin"))
		p.Init(now-Window, rates[0])
		var starts []zinniatide.Millis
		for i, gap := range gaps {
			if i%10 == 9 {
				p.SetRate(now, rates[(i/10+1)%len(rates)])
			}
			now += zinniatide.Millis(gap)
			// Try a burst of more starts than the limit allows at once.
			for demand := 0; demand < 100 && p.Allow(now); demand++ {
				starts = append(starts, now)
				if got := countInWindow(starts, now); p.Rate() != 0 && got > int(p.Rate()) {
					t.Fatalf("got %d starts in the second up to %d, want at most %d", got, now, p.Rate())
				}
			}
		}
	})
}

// TestMinimumRate guards against a pace far below the limit, which would waste
// server capacity: with demand at each tick of 10 ms at least 85% of the limit
// must be used.
func TestMinimumRate(t *testing.T) {
	for _, rate := range []uint32{10, 50, 99, 100, 101, 250, 1000, 4000} {
		var p Pacer
		p.Init(-Window, rate)
		got := 0
		for now := zinniatide.Millis(0); now < 10_000; now += 10 {
			for p.Allow(now) {
				got++
			}
		}
		if low, high := int(rate)*85/10, int(rate)*92/10+1; got < low || got > high {
			t.Errorf("got %d starts in 10 s at a limit of %d/s, want %d to %d", got, rate, low, high)
		}
	}
}

// countInWindow returns the number of starts in the window up to end.
func countInWindow(starts []zinniatide.Millis, end zinniatide.Millis) (n int) {
	for i := len(starts) - 1; i >= 0 && starts[i] > end-Window; i-- {
		n++
	}
	return n
}

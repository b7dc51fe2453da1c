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

// TestBound guards against more starts in any window than the bound, for all
// patterns of demand, with rates that rise, fall, end and begin.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pacer
		rates := rapid.SliceOfN(rapid.Uint32Range(0, 3000), 1, 4).Draw(t, "rates")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 1200), 1, 40).Draw(t, "gaps")
		now := zinniatide.Millis(rapid.IntRange(0, 5000).Draw(t, "begin"))
		p.Begin(now-Window, rates[0])
		var starts []zinniatide.Millis
		for i, gap := range gaps {
			if i%10 == 9 {
				p.SetRate(now, rates[(i/10+1)%len(rates)])
			}
			now += zinniatide.Millis(gap)
			// A burst of demand: more than the bound allows at once.
			for demand := 0; demand < 100 && p.Take(now); demand++ {
				starts = append(starts, now)
				if got := within(starts, now); p.Rate() != 0 && got > int(p.Rate()) {
					t.Fatalf("got %d starts in the second up to %d, want at most %d", got, now, p.Rate())
				}
			}
		}
	})
}

// TestPace guards against a pace far below the bound, which would waste
// servers: with demand at each tick of 10 ms at least 85% of it are used.
func TestPace(t *testing.T) {
	for _, rate := range []uint32{10, 50, 99, 100, 101, 250, 1000, 4000} {
		var p Pacer
		p.Begin(-Window, rate)
		got := 0
		for now := zinniatide.Millis(0); now < 10_000; now += 10 {
			for p.Take(now) {
				got++
			}
		}
		if low, high := int(rate)*85/10, int(rate)*92/10+1; got < low || got > high {
			t.Errorf("got %d starts in 10 s at a bound of %d/s, want %d to %d", got, rate, low, high)
		}
	}
}

func within(starts []zinniatide.Millis, end zinniatide.Millis) (n int) {
	for i := len(starts) - 1; i >= 0 && starts[i] > end-Window; i-- {
		n++
	}
	return n
}

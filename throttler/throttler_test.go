package throttler

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// A few late requests under normal load must not lower the limit.
func TestFewLateRequestsKeepLimit(t *testing.T) {
	throttler := New()
	for i := range 10_000 {
		if !throttler.TryAcquire() {
			t.Fatalf("request %d: not admitted under normal load", i)
		}
		throttler.Release(i%12 == 0, 100, zinniatide.Millis(i*20))
	}
}

// The limit must fall under overload and recover afterwards.
func TestLimitFollowsOverload(t *testing.T) {
	throttler := New()
	now := zinniatide.Millis(0)
	for range 60 {
		for throttler.TryAcquire() {
		}
		for throttler.running > 0 {
			throttler.Release(true, 100, now)
		}
		now += 100
	}
	if got, want := throttler.limit, 2*minLimit; got > want {
		t.Errorf("after overload: got limit %.1f, want at most %.1f", got, want)
	}
	for range 60 {
		for throttler.TryAcquire() {
		}
		for throttler.running > 0 {
			throttler.Release(false, 100, now)
		}
		now += 100
	}
	if got, want := throttler.limit, initialLimit; got < want {
		t.Errorf("after recovery: got limit %.1f, want at least %.1f", got, want)
	}
}

package limiter

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// A few late requests under normal load must not lower the limit.
func TestFewLateRequestsKeepLimit(t *testing.T) {
	limiter := New()
	for i := range 10_000 {
		if !limiter.TryAcquire() {
			t.Fatalf("request %d: not admitted under normal load", i)
		}
		limiter.Release(i%12 == 0, 100, zinniatide.Millis(i*20))
	}
	if got, want := limiter.limit, InitialLimit; got < want {
		t.Errorf("got limit %.1f, want at least %.1f", got, want)
	}
}

// The limit must fall under overload and recover afterwards.
func TestLimitFollowsOverload(t *testing.T) {
	limiter := New()
	now := zinniatide.Millis(0)
	for range 60 {
		for limiter.TryAcquire() {
		}
		for limiter.running > 0 {
			limiter.Release(true, 100, now)
		}
		now += 100
	}
	if got, want := limiter.limit, 2*minLimit; got > want {
		t.Errorf("after overload: got limit %.1f, want at most %.1f", got, want)
	}
	for range 60 {
		for limiter.TryAcquire() {
		}
		for limiter.running > 0 {
			limiter.Release(false, 100, now)
		}
		now += 100
	}
	if got, want := limiter.limit, InitialLimit; got < want {
		t.Errorf("after recovery: got limit %.1f, want at least %.1f", got, want)
	}
}

package limiter

import (
	"math"
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

// Load: an overload that ends, after which few requests arrive. Guards against a limit that
// stays low because too few requests end in time: refusals must end within a second.
func TestLimitRecoversWithinASecond(t *testing.T) {
	for _, interval := range []zinniatide.Millis{5, 50, 400} {
		limiter := New()
		now := zinniatide.Millis(0)
		for range 60 {
			for limiter.TryAcquire() {
			}
			for limiter.running > 0 {
				limiter.Release(true, 100, now)
			}
			limiter.RecordRefusal(now)
			now += 100
		}
		if got, want := limiter.Limit(now), 2*minLimit; got > want {
			t.Fatalf("after overload: got limit %.1f, want at most %.1f", got, want)
		}
		for end := now + 1000; now < end; now += interval {
			limiter.recover(now)
			if limiter.TryAcquire() {
				limiter.Release(false, 100, now)
			}
		}
		if got, want := limiter.Limit(now), InitialLimit; got < want {
			t.Errorf("one request in %d ms: got limit %.1f a second after the overload, want at least %.1f", interval, got, want)
		}
	}
}

// Load: one request of four ends late. Guards against a limit for requests that have none
// before they are overloaded, and against a limit that does not fall under overload.
func TestUnlimitedUntilOverloaded(t *testing.T) {
	limiter := NewWithLimit(math.Inf(1))
	for i := range 10_000 {
		sample := Prompt
		if i%4 == 0 {
			sample = Late
		}
		limiter.Observe(sample, 50, 100, zinniatide.Millis(i*2))
	}
	if limiter.HasFallen(20_000) {
		t.Errorf("got limit %.1f with a quarter of the requests late, want none", limiter.limit)
	}
	for i := range 20 {
		limiter.Observe(Late, 50, 100, zinniatide.Millis(20_000+i))
	}
	if got, want := limiter.Limit(20_020), 50.0; got > want {
		t.Errorf("got limit %.1f with all requests late, want at most %.1f", got, want)
	}
}

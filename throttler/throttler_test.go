package throttler

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a limit that a few late requests of a calm VM bring down.
func TestFewLateRequestsChangeNothing(t *testing.T) {
	th := New()
	for i := range 10_000 {
		if !th.Admit() {
			t.Fatalf("request %d: not admitted on a calm VM", i)
		}
		th.Done(i%12 == 0, 100, zinniatide.Millis(i*20))
	}
}

// Guards against a limit that stays high under overload, or low after it.
func TestLimitFollowsOverload(t *testing.T) {
	th := New()
	now := zinniatide.Millis(0)
	for range 60 {
		for th.Admit() {
		}
		for th.running > 0 {
			th.Done(true, 100, now)
		}
		now += 100
	}
	if got, want := th.limit, 2*leastLimit; got > want {
		t.Errorf("after overload: got limit %.1f, want at most %.1f", got, want)
	}
	for range 60 {
		for th.Admit() {
		}
		for th.running > 0 {
			th.Done(false, 100, now)
		}
		now += 100
	}
	if got, want := th.limit, startLimit; got < want {
		t.Errorf("after recovery: got limit %.1f, want at least %.1f", got, want)
	}
}

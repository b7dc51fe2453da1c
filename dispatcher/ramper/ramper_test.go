package ramper

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// TestRampLevels guards against a rate limit that grows too early, not at all or
// without end, and against a restored level that differs from the saved one.
func TestRampLevels(t *testing.T) {
	setting := zinniatide.ColdStartSetting{InitialRate: 5, DoubleAfter: 3, FullRate: 40}
	r := New(setting)
	for _, want := range []uint32{5, 10, 20, 0, 0} {
		if got := r.Rate(); got != want {
			t.Errorf("got rate %d, want %d", got, want)
		}
		for i := range 3 {
			if got := r.RecordSuccess(); got != (i == 2 && want != 0) {
				t.Errorf("got changed %v with success %d at rate %d", got, i+1, want)
			}
		}
	}
	r.Reset()
	r.RecordSuccess()
	if level, successes, warm := r.State(); level != 0 || successes != 1 || warm {
		t.Errorf("got level %d, %d successes, warm %v after turning cold", level, successes, warm)
	}
	other := New(setting)
	other.Restore(1, 2, false)
	if other.Rate() != 10 || !other.RecordSuccess() || other.Rate() != 20 {
		t.Errorf("got rate %d after restoring level 1 and one success, want 20", other.Rate())
	}
	for _, extreme := range []zinniatide.ColdStartSetting{{}, {InitialRate: 1 << 31, DoubleAfter: 1, FullRate: 1<<32 - 1}} {
		r := New(extreme)
		for range 100 {
			r.RecordSuccess()
		}
		if !r.Warm() {
			t.Errorf("got a cold server with %v, want a warm one", extreme)
		}
	}
}

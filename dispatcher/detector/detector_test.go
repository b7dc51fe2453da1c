package detector

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// TestSlowdownDetection guards against marking a server as slow when only one
// of the conditions holds, and against missing a slow one.
func TestSlowdownDetection(t *testing.T) {
	answer := func(ms ...zinniatide.Millis) func(*Detector) bool {
		return func(d *Detector) (slow bool) {
			for _, latency := range ms {
				slow = d.RecordSuccess(latency, true)
			}
			return slow
		}
	}
	fail := func(ms ...zinniatide.Millis) func(*Detector) bool {
		return func(d *Detector) (slow bool) {
			for _, elapsed := range ms {
				slow = d.RecordFailure(elapsed)
			}
			return slow
		}
	}
	tests := []struct {
		name  string
		steps []func(*Detector) bool
		want  bool
	}{
		{"three timeouts", []func(*Detector) bool{answer(5, 6, 5), fail(300, 300, 300)}, true},
		{"two timeouts", []func(*Detector) bool{answer(5, 6, 5), fail(300, 300)}, false},
		{"success between", []func(*Detector) bool{answer(5), fail(300, 300), answer(5), fail(300)}, false},
		{"quick failures", []func(*Detector) bool{answer(5, 6, 5), fail(1, 1, 1, 1)}, false},
		{"never warm", []func(*Detector) bool{fail(300, 300, 300)}, false},
		{"five slow answers", []func(*Detector) bool{answer(5, 6, 5, 60, 55, 70, 60, 50)}, true},
		{"four slow answers", []func(*Detector) bool{answer(5, 6, 5, 60, 55, 70, 60)}, false},
		{"five of eight slow", []func(*Detector) bool{answer(5, 6, 5, 60, 5, 60, 60, 5, 60, 5, 60)}, true},
		{"four of eight slow", []func(*Detector) bool{answer(5, 6, 5, 60, 5, 60, 5, 60, 5, 60, 5, 60, 5)}, false},
		{"somewhat slower answers", []func(*Detector) bool{answer(5, 6, 5, 19, 19, 19, 19, 19, 19)}, false},
		{"below the clock's resolution", []func(*Detector) bool{answer(0, 0, 0), fail(1, 1, 1)}, false},
	}
	for _, tt := range tests {
		var d Detector
		got := false
		for _, step := range tt.steps {
			got = step(&d)
		}
		if got != tt.want {
			t.Errorf("%s: got slow %v, want %v", tt.name, got, tt.want)
		}
	}
}

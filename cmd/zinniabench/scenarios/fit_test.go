package scenarios

import (
	"math"
	"testing"
)

// TestLeastSquares guards against a wrong fit in the capacity figures.
func TestLeastSquares(t *testing.T) {
	slope, intercept, r2, err := leastSquares([]point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	if err != nil || math.Abs(slope-2) > 1e-9 || math.Abs(intercept-3) > 1e-9 || math.Abs(r2-1) > 1e-9 {
		t.Errorf("got %v, %v, %v, %v, want 2, 3, 1", slope, intercept, r2, err)
	}
	slope, intercept, r2, err = leastSquares([]point{{0, 0}, {1, 2}, {2, 1}})
	if err != nil || math.Abs(slope-0.5) > 1e-9 || math.Abs(intercept-0.5) > 1e-9 || math.Abs(r2-0.25) > 1e-9 {
		t.Errorf("got %v, %v, %v, %v, want 0.5, 0.5, 0.25", slope, intercept, r2, err)
	}
	if _, _, _, err := leastSquares([]point{{3, 1}, {3, 2}}); err == nil {
		t.Error("got no error for points of one size")
	}
}

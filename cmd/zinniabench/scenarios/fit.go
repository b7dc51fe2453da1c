package scenarios

import (
	"errors"
	"fmt"
)

// point is the value y measured at the size x.
type point struct{ x, y float64 }

// leastSquares fits y = slope*x + intercept and returns the coefficient of
// determination r2. It returns an error if all points have the same x.
func leastSquares(points []point) (slope, intercept, r2 float64, err error) {
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / float64(len(points))
		meanY += p.y / float64(len(points))
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.x - meanX) * (p.x - meanX)
		xy += (p.x - meanX) * (p.y - meanY)
		yy += (p.y - meanY) * (p.y - meanY)
	}
	if xx == 0 {
		return 0, 0, 0, errors.New("a linear fit needs points of at least two sizes")
	}
	slope = xy / xx
	r2 = 1
	if yy > 0 {
		r2 = xy * xy / (xx * yy)
	}
	return slope, meanY - slope*meanX, r2, nil
}

// scalingSeries is a quantity measured at several sizes.
type scalingSeries struct {
	name, unit string
	// sizeUnit is the unit of the sizes, for example VMs.
	sizeUnit string
	points   []point
}

func (s *scalingSeries) add(x, y float64) { s.points = append(s.points, point{x, y}) }

// reportSeries reports the points of each series, followed by its linear fit.
func (e *Env) reportSeries(scenario string, list ...*scalingSeries) error {
	for _, s := range list {
		var metrics []metric
		for _, p := range s.points {
			metrics = append(metrics, metric{fmt.Sprintf("%s at %.6g %s", s.name, p.x, s.sizeUnit), s.unit, noValue, p.y})
		}
		slope, intercept, r2, err := leastSquares(s.points)
		if err != nil {
			return fmt.Errorf("fit %s: %w", s.name, err)
		}
		metrics = append(metrics, metric{s.name + " slope", s.unit + " per " + s.sizeUnit, noValue, slope},
			metric{s.name + " intercept", s.unit, noValue, intercept}, metric{s.name + " r2", "ratio", noValue, r2})
		if err := e.reportMetrics(scenario, metrics); err != nil {
			return err
		}
	}
	return nil
}

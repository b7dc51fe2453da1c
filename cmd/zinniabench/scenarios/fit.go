package scenarios

import (
	"errors"
	"fmt"
)

// point is one measured value at one size.
type point struct{ x, y float64 }

// leastSquares fits y = slope*x + intercept, and returns the share of the
// variance of y that the line explains.
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
		return 0, 0, 0, errors.New("a fit needs at least two sizes")
	}
	slope = xy / xx
	r2 = 1
	if yy > 0 {
		r2 = xy * xy / (xx * yy)
	}
	return slope, meanY - slope*meanX, r2, nil
}

// series is one quantity measured at several sizes.
type series struct {
	name, unit string
	// per names what a size counts.
	per    string
	points []point
}

func (s *series) add(x, y float64) { s.points = append(s.points, point{x, y}) }

// reportSeries prints the points of each series, then its fit.
func (e *Env) reportSeries(scenario string, list ...*series) error {
	for _, s := range list {
		var metrics []metric
		for _, p := range s.points {
			metrics = append(metrics, metric{fmt.Sprintf("%s at %.6g %s", s.name, p.x, s.per), s.unit, none, p.y})
		}
		slope, intercept, r2, err := leastSquares(s.points)
		if err != nil {
			return fmt.Errorf("fit %s: %w", s.name, err)
		}
		metrics = append(metrics, metric{s.name + " slope", s.unit + " per " + s.per, none, slope},
			metric{s.name + " intercept", s.unit, none, intercept}, metric{s.name + " r2", "ratio", none, r2})
		if err := e.reportAll(scenario, metrics); err != nil {
			return err
		}
	}
	return nil
}

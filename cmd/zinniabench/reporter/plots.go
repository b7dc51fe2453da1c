package reporter

import (
	"bytes"
	"errors"
	"html/template"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 7 * vg.Millimeter
	// intervalMs is the interval over which requests are aggregated. At 40
	// queries per second, the lowest rate of a plotted scenario, it holds 20 requests.
	intervalMs = 500
	// legendHeadroom scales the Y axis to leave space for the legend above the
	// highest point.
	legendHeadroom = 1.25
)

var (
	baselineColor = color.RGBA{R: 170, G: 170, B: 170, A: 255}
	valueColor    = color.RGBA{R: 30, G: 100, B: 170, A: 255}
)

// drawPlots returns the plots of one scenario as SVG elements. It omits plots
// without data.
func drawPlots(scenario string, d scenarioData) ([]template.HTML, error) {
	bars, err := drawMetrics(scenario, d.metrics)
	if err != nil {
		return nil, err
	}
	curves, err := drawTimeSeries(scenario, d.requests, d.baseline)
	return append(bars, curves...), err
}

func drawMetrics(scenario string, metrics []Metric) ([]template.HTML, error) {
	var latencies, loads []Metric
	for _, m := range metrics {
		switch {
		case m.Unit == "ms" && m.Baseline != nil && m.Value != nil:
			latencies = append(latencies, m)
		case strings.HasPrefix(m.Metric, "extra-") && m.Value != nil:
			loads = append(loads, m)
		}
	}
	var list []template.HTML
	for _, p := range []struct {
		title   string
		metrics []Metric
	}{
		{"latency with and without the policy", latencies},
		{"extra load on backend servers", loads},
	} {
		if len(p.metrics) == 0 {
			continue
		}
		svg, err := drawBars(scenario+": "+p.title, p.metrics)
		if err != nil {
			return nil, err
		}
		list = append(list, svg)
	}
	return list, nil
}

// drawBars draws one bar per metric, and the baselines only if all metrics have
// one, because a missing baseline would look like 0.
func drawBars(title string, metrics []Metric) (template.HTML, error) {
	p := newPlot(title, "", metrics[0].Unit)
	var names []string
	var baselines, values plotter.Values
	for _, m := range metrics {
		names = append(names, m.Metric)
		values = append(values, *m.Value)
		if m.Baseline != nil {
			baselines = append(baselines, *m.Baseline)
		}
	}
	if len(baselines) == len(values) {
		if err := addBars(p, "baseline", baselines, baselineColor, -barWidth/2); err != nil {
			return "", err
		}
	}
	if err := addBars(p, "with the policy", values, valueColor, barWidth/2); err != nil {
		return "", err
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max, p.Y.Max = -0.5, float64(len(names))-0.5, p.Y.Max*legendHeadroom
	return render(p)
}

func addBars(p *plot.Plot, name string, values plotter.Values, c color.Color, offset vg.Length) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color, bars.Offset = c, offset
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

func drawTimeSeries(scenario string, requests, baseline []Request) ([]template.HTML, error) {
	coverage, answered, failed := aggregateByTime(requests)
	baseCoverage, baseAnswered, baseFailed := aggregateByTime(baseline)
	var list []template.HTML
	for _, c := range []struct {
		title, x, y  string
		points, base plotter.XYs
	}{
		{"latency quantiles", "percent of the answered requests", "ms", latencyQuantiles(requests), latencyQuantiles(baseline)},
		{"coverage over time", "s", "least coverage of the answers", coverage, baseCoverage},
		{"service over time", "s", "answered requests per second", answered, baseAnswered},
		{"failed requests over time", "s", "refused or failed requests per second", failed, baseFailed},
	} {
		if len(c.points)+len(c.base) == 0 {
			continue
		}
		svg, err := drawLines(scenario+": "+c.title, c.x, c.y, c.points, c.base)
		if err != nil {
			return nil, err
		}
		list = append(list, svg)
	}
	return list, nil
}

// latencyQuantiles returns the latency in ms (Y) that the given percentage (X) of
// the answered requests does not exceed.
func latencyQuantiles(requests []Request) plotter.XYs {
	var latencies []float64
	for _, q := range requests {
		if q.Outcome == OutcomeAnswered {
			latencies = append(latencies, q.Latency)
		}
	}
	slices.Sort(latencies)
	points := make(plotter.XYs, len(latencies))
	for i, l := range latencies {
		points[i] = plotter.XY{X: float64(i+1) / float64(len(latencies)) * 100, Y: l}
	}
	return points
}

// aggregateByTime groups requests by start time into intervals of intervalMs. For
// each, X is its start in s, and Y is the minimum coverage, the answered requests
// per second, and the refused or failed requests per second. Coverage is not
// averaged because a mean hides a short loss. An interval without an answer has no
// coverage.
func aggregateByTime(requests []Request) (coverage, answered, failed plotter.XYs) {
	type interval struct{ coverage, answered, failed float64 } // coverage is valid only if answered > 0
	var intervals []interval
	for _, q := range requests {
		i := int(q.At / intervalMs)
		if i >= len(intervals) {
			intervals = append(intervals, make([]interval, i+1-len(intervals))...)
		}
		if q.Outcome == OutcomeAnswered {
			if intervals[i].answered == 0 || *q.Coverage < intervals[i].coverage {
				intervals[i].coverage = *q.Coverage
			}
			intervals[i].answered++
		} else {
			intervals[i].failed++
		}
	}
	const intervalsPerSecond = 1000.0 / intervalMs
	for i, s := range intervals {
		x := float64(i) / intervalsPerSecond
		if s.answered > 0 {
			coverage = append(coverage, plotter.XY{X: x, Y: s.coverage})
		}
		answered = append(answered, plotter.XY{X: x, Y: s.answered * intervalsPerSecond})
		failed = append(failed, plotter.XY{X: x, Y: s.failed * intervalsPerSecond})
	}
	return coverage, answered, failed
}

func drawLines(title, x, y string, points, baseline plotter.XYs) (template.HTML, error) {
	p := newPlot(title, x, y)
	if err := addLine(p, "baseline", baseline, baselineColor); err != nil {
		return "", err
	}
	if err := addLine(p, "with the policy", points, valueColor); err != nil {
		return "", err
	}
	p.Y.Min, p.Y.Max = min(p.Y.Min, 0), p.Y.Max*legendHeadroom
	return render(p)
}

// addLine adds a line and its legend entry to p. It does nothing without points.
func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	return p
}

// render returns the svg element of p without the XML header, which is not
// allowed inside HTML.
func render(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err = writer.WriteTo(&out); err != nil {
		return "", err
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", errors.New("rendered plot has no svg element")
	}
	return template.HTML(out.Bytes()[start:]), nil
}

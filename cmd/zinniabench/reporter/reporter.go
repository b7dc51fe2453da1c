// Package reporter renders measurements as one self-contained HTML page.
package reporter

import (
	_ "embed"
	"html/template"
	"io"
	"strconv"

	"zinniatide.example/zinniatide"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// Reporter renders a page from metrics and, optionally, a time series.
type Reporter struct {
	metrics []Metric
	series  []Request
	// draw is replaced in tests, as the page's text must not depend on a plot.
	draw func(scenario string, metrics []Metric, requests []Request) ([]template.HTML, error)
}

// New returns a reporter of the given measurements. Series may be empty.
func New(metrics []Metric, series []Request) *Reporter {
	return &Reporter{metrics: metrics, series: series, draw: drawPlots}
}

// section is the part of the page about one scenario.
type section struct {
	Name  string
	Rows  []row
	Plots []template.HTML
}

// row is one metric as it is printed.
type row struct{ Metric, Unit, Baseline, Value string }

// Write writes the page to out, with the scenarios in the order of the input.
func (r *Reporter) Write(out io.Writer) error {
	var sections []section
	metrics, requests := group(r.metrics, r.series)
	for _, name := range r.names() {
		plots, err := r.draw(name, metrics[name], requests[name])
		if err != nil {
			return zinniatide.WrapStep(err, "draw plots", name)
		}
		sections = append(sections, section{Name: name, Rows: rows(metrics[name]), Plots: plots})
	}
	return zinniatide.WrapStep(page.Execute(out, sections), "render page", "")
}

func (r *Reporter) names() []string {
	var names []string
	seen := make(map[string]bool)
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for _, m := range r.metrics {
		add(m.Scenario)
	}
	for _, q := range r.series {
		add(q.Scenario)
	}
	return names
}

func group(metrics []Metric, series []Request) (map[string][]Metric, map[string][]Request) {
	byMetric, bySeries := make(map[string][]Metric), make(map[string][]Request)
	for _, m := range metrics {
		byMetric[m.Scenario] = append(byMetric[m.Scenario], m)
	}
	for _, q := range series {
		bySeries[q.Scenario] = append(bySeries[q.Scenario], q)
	}
	return byMetric, bySeries
}

func rows(metrics []Metric) []row {
	var list []row
	for _, m := range metrics {
		list = append(list, row{m.Metric, m.Unit, format(m.Baseline), format(m.Value)})
	}
	return list
}

func format(v *float64) string {
	if v == nil {
		return "none"
	}
	return strconv.FormatFloat(*v, 'f', -1, 64)
}

// Package reporter renders measurements as one self-contained HTML page.
package reporter

import (
	_ "embed"
	"html/template"
	"io"
	"strconv"
	"strings"

	"zinniatide.example/zinniatide"
)

//go:embed page.html
var pageSource string

//go:embed head.html
var headSource string

var page = parsePage("page", pageSource, nil)

// parsePage parses a page that starts with the common head.
func parsePage(name, source string, functions template.FuncMap) *template.Template {
	t := template.Must(template.New(name).Funcs(functions).Parse(source))
	return template.Must(t.Parse(headSource))
}

// Reporter renders a page from metrics and, optionally, a time series.
type Reporter struct {
	metrics []Metric
	series  []Request
	// draw is replaced in tests, as the page's text must not depend on a plot.
	draw func(scenario string, d data) ([]template.HTML, error)
}

// New returns a reporter of the given measurements. Series may be empty.
func New(metrics []Metric, series []Request) *Reporter {
	return &Reporter{metrics: metrics, series: series, draw: drawPlots}
}

// data is the input about one scenario.
type data struct {
	metrics            []Metric
	requests, baseline []Request
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
	names, table := r.group()
	for _, name := range names {
		d := table[name]
		plots, err := r.draw(name, *d)
		if err != nil {
			return zinniatide.WrapStep(err, "draw plots", name)
		}
		sections = append(sections, section{Name: name, Rows: rows(d.metrics), Plots: plots})
	}
	return zinniatide.WrapStep(page.Execute(out, sections), "render page", "")
}

// group returns the scenarios in the order of the input, and their data.
func (r *Reporter) group() ([]string, map[string]*data) {
	var names []string
	table := make(map[string]*data)
	of := func(name string) *data {
		if table[name] == nil {
			table[name] = new(data)
			names = append(names, name)
		}
		return table[name]
	}
	for _, m := range r.metrics {
		d := of(m.Scenario)
		d.metrics = append(d.metrics, m)
	}
	for _, q := range r.series {
		name, isBaseline := strings.CutSuffix(q.Scenario, BaselineSuffix)
		d := of(name)
		if isBaseline {
			d.baseline = append(d.baseline, q)
		} else {
			d.requests = append(d.requests, q)
		}
	}
	return names, table
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

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

// parsePage parses a page template and the head template shared by all pages.
func parsePage(name, source string, functions template.FuncMap) *template.Template {
	t := template.Must(template.New(name).Funcs(functions).Parse(source))
	return template.Must(t.Parse(headSource))
}

// Reporter renders a page from metrics and, optionally, a time series.
type Reporter struct {
	metrics []Metric
	series  []Request
	// draw is replaced in tests so that the golden page does not contain plots.
	draw func(scenario string, d scenarioData) ([]template.HTML, error)
}

// New returns a Reporter for metrics and series. The series may be empty.
func New(metrics []Metric, series []Request) *Reporter {
	return &Reporter{metrics: metrics, series: series, draw: drawPlots}
}

// scenarioData is the input for one scenario.
type scenarioData struct {
	metrics            []Metric
	requests, baseline []Request
}

// section is the template data of one scenario.
type section struct {
	Name  string
	Rows  []row
	Plots []template.HTML
}

// row is one formatted metric.
type row struct{ Metric, Unit, Baseline, Value string }

// Write writes the page to out. Scenarios keep the order of the input.
func (r *Reporter) Write(out io.Writer) error {
	var sections []section
	names, scenarios := r.groupByScenario()
	for _, name := range names {
		d := scenarios[name]
		plots, err := r.draw(name, *d)
		if err != nil {
			return zinniatide.WrapStep(err, "draw plots", name)
		}
		sections = append(sections, section{Name: name, Rows: rows(d.metrics), Plots: plots})
	}
	return zinniatide.WrapStep(page.Execute(out, sections), "render page", "")
}

// groupByScenario returns the scenario names in input order, and the data of each scenario.
func (r *Reporter) groupByScenario() ([]string, map[string]*scenarioData) {
	var names []string
	scenarios := make(map[string]*scenarioData)
	dataFor := func(name string) *scenarioData {
		if scenarios[name] == nil {
			scenarios[name] = new(scenarioData)
			names = append(names, name)
		}
		return scenarios[name]
	}
	for _, m := range r.metrics {
		d := dataFor(m.Scenario)
		d.metrics = append(d.metrics, m)
	}
	for _, q := range r.series {
		name, isBaseline := strings.CutSuffix(q.Scenario, BaselineSuffix)
		d := dataFor(name)
		if isBaseline {
			d.baseline = append(d.baseline, q)
		} else {
			d.requests = append(d.requests, q)
		}
	}
	return names, scenarios
}

func rows(metrics []Metric) []row {
	var list []row
	for _, m := range metrics {
		list = append(list, row{m.Metric, m.Unit, formatValue(m.Baseline), formatValue(m.Value)})
	}
	return list
}

func formatValue(v *float64) string {
	if v == nil {
		return "none"
	}
	return strconv.FormatFloat(*v, 'f', -1, 64)
}

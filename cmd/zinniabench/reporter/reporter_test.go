package reporter

import (
	"bytes"
	"flag"
	"html/template"
	"os"
	"slices"
	"strings"
	"testing"

	"gonum.org/v1/plot/plotter"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const metricsInput = `{"scenario":"straggler","metric":"p99","unit":"ms","baseline":240.5,"value":61.25}
{"scenario":"straggler","metric":"extra-load","unit":"percent","baseline":null,"value":4.2}
{"scenario":"zone-loss","metric":"last-new-work","unit":"ms","baseline":null,"value":null}
{"scenario":"<b>","metric":"failed","unit":"count","baseline":null,"value":0}
`

const seriesInput = `{"scenario":"zone-loss","at-ms":0,"latency-ms":9,"coverage":1,"outcome":"answered"}
{"scenario":"zone-loss","at-ms":600,"latency-ms":11,"coverage":0.5,"outcome":"answered"}
{"scenario":"zone-loss","at-ms":700,"latency-ms":1000,"coverage":null,"outcome":"failed"}
{"scenario":"zone-loss-baseline","at-ms":0,"latency-ms":20,"coverage":1,"outcome":"answered"}
`

func readInput(t *testing.T) *Reporter {
	t.Helper()
	metrics, err := ReadMetrics(strings.NewReader(metricsInput))
	if err != nil {
		t.Fatal(err)
	}
	series, err := ReadSeries(strings.NewReader(seriesInput))
	if err != nil {
		t.Fatal(err)
	}
	return New(metrics, series)
}

// TestPageText guards against missing rows, null values printed as zero and
// unescaped names.
func TestPageText(t *testing.T) {
	const golden = "testdata/page.golden.html"
	r := readInput(t)
	r.draw = func(string, scenarioData) ([]template.HTML, error) { return []template.HTML{"<svg></svg>"}, nil }
	var got bytes.Buffer
	if err := r.Write(&got); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(golden, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got %s\nwant %s", got.String(), want)
	}
}

// TestPlots guards against missing plots and against plots that reference
// external resources.
func TestPlots(t *testing.T) {
	var got bytes.Buffer
	if err := readInput(t).Write(&got); err != nil {
		t.Fatal(err)
	}
	// Two plots of metrics, and four of the time series and its baseline.
	if n, want := strings.Count(got.String(), "<svg"), 6; n != want {
		t.Errorf("got %d plots, want %d", n, want)
	}
	for _, forbidden := range []string{"<?xml", "<!DOCTYPE svg", "<script", "<link", "src=", "url(", "@import", `href="http`} {
		if strings.Contains(got.String(), forbidden) {
			t.Errorf("page contains %q", forbidden)
		}
	}
}

// TestAggregateByTime guards against averaging, which hides a short loss of
// coverage, and against failed requests that lower the coverage.
func TestAggregateByTime(t *testing.T) {
	one, tenth := 1.0, 0.1
	coverage, answered, failed := aggregateByTime([]Request{
		{At: 0, Coverage: &one, Outcome: OutcomeAnswered}, {At: 499, Coverage: &tenth, Outcome: OutcomeAnswered},
		{At: 10, Coverage: &one, Outcome: OutcomeAnswered}, {At: 500, Outcome: OutcomeRefused},
	})
	for name, c := range map[string]struct{ got, want plotter.XYs }{
		"coverage": {coverage, plotter.XYs{{X: 0, Y: 0.1}}},
		"answered": {answered, plotter.XYs{{X: 0, Y: 6}, {X: 0.5, Y: 0}}},
		"failed":   {failed, plotter.XYs{{X: 0, Y: 0}, {X: 0.5, Y: 2}}},
	} {
		if !slices.Equal(c.got, c.want) {
			t.Errorf("%s: got %v, want %v", name, c.got, c.want)
		}
	}
}

// TestInvalidInput guards against invalid lines that are skipped or reported
// without their line number.
func TestInvalidInput(t *testing.T) {
	metrics := func(in string) error { _, err := ReadMetrics(strings.NewReader(in)); return err }
	series := func(in string) error { _, err := ReadSeries(strings.NewReader(in)); return err }
	for name, c := range map[string]struct {
		read   func(string) error
		before string
		line   string
		want   string
	}{
		"not JSON":      {metrics, metricsInput, `bench: failed`, "line 5:"},
		"empty line":    {metrics, metricsInput, "\n", "line 5:"},
		"cut":           {metrics, "", `{"scenario":"a","metric":"b"`, "line 1:"},
		"two values":    {metrics, "", `{"scenario":"a","metric":"b"}{}`, "line 1: more than one"},
		"closing brace": {metrics, "", `{"scenario":"a","metric":"b"}}`, "line 1:"},
		"text value":    {metrics, metricsInput, `{"scenario":"a","metric":"b","value":"1"}`, "line 5:"},
		"no metric":     {metrics, "", `{"scenario":"a"}`, "line 1: scenario and metric"},
		"too long":      {metrics, metricsInput, strings.Repeat("x", maxLineBytes+1), "line 5:"},
		"unknown field": {series, seriesInput, `{"scenario":"a","metric":"b"}`, "line 5:"},
		"outcome":       {series, seriesInput, `{"scenario":"a","outcome":"lost"}`, `line 5: outcome "lost"`},
		"negative time": {series, "", `{"scenario":"a","at-ms":-1,"outcome":"failed"}`, "line 1: at-ms"},
		"no coverage":   {series, "", `{"scenario":"a","outcome":"answered"}`, "line 1: an answered"},
	} {
		t.Run(name, func(t *testing.T) {
			if err := c.read(c.before + c.line); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

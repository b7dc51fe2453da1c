package reporter

import (
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

//go:embed day.html
var daySource string

var dayPage = parsePage("day", daySource, template.FuncMap{
	"share": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"ms":    func(v float64) string { return fmt.Sprintf("%.1f", v) },
})

var (
	lateColor    = color.RGBA{R: 220, G: 160, B: 40, A: 255}
	refusedColor = color.RGBA{R: 130, G: 90, B: 160, A: 255}
	failedColor  = color.RGBA{R: 190, G: 40, B: 40, A: 255}
	faultColor   = color.RGBA{R: 190, G: 40, B: 40, A: 40}
	plannedColor = color.RGBA{R: 30, G: 100, B: 170, A: 40}
)

// Day is the named report of one simulated day of the platform bench.
type Day struct {
	Name string
	*platform.DayReport
	Plot template.HTML
}

// WriteDays writes an HTML page about days to out. For each day, it shows the
// outcomes of the requests over time, with disruptions shaded, and by kind and
// availability zone.
func WriteDays(out io.Writer, days []Day) error {
	for i := range days {
		var err error
		if days[i].Plot, err = drawDay(days[i].DayReport); err != nil {
			return zinniatide.WrapStep(err, "draw day", days[i].Name)
		}
	}
	return zinniatide.WrapStep(dayPage.Execute(out, days), "render page", "")
}

func drawDay(day *platform.DayReport) (template.HTML, error) {
	p := newPlot("how requests ended", "s", "requests")
	var inTarget, late, refused, failed plotter.XYs
	maxCount := 1.0
	for _, s := range day.Spans {
		inTarget = append(inTarget, plotter.XY{X: s.Start, Y: float64(s.InTarget)})
		late = append(late, plotter.XY{X: s.Start, Y: float64(s.Late)})
		refused = append(refused, plotter.XY{X: s.Start, Y: float64(s.Refused)})
		failed = append(failed, plotter.XY{X: s.Start, Y: float64(s.Failed)})
		maxCount = max(maxCount, float64(s.InTarget), float64(s.Late), float64(s.Refused), float64(s.Failed))
	}
	maxCount *= legendHeadroom
	for _, d := range day.Disruptions {
		if err := shadeDisruption(p, d, maxCount); err != nil {
			return "", err
		}
	}
	for _, line := range []struct {
		name   string
		points plotter.XYs
		color  color.Color
	}{
		{"in target", inTarget, valueColor}, {"late", late, lateColor},
		{"refused", refused, refusedColor}, {"failed", failed, failedColor},
	} {
		if err := addLine(p, line.name, line.points, line.color); err != nil {
			return "", err
		}
	}
	p.Y.Min, p.Y.Max = 0, maxCount
	return render(p)
}

// shadeDisruption shades the time range of a disruption.
func shadeDisruption(p *plot.Plot, d platform.Disruption, height float64) error {
	area, err := plotter.NewPolygon(plotter.XYs{{X: d.Start}, {X: d.Start, Y: height}, {X: d.End, Y: height}, {X: d.End}})
	if err != nil {
		return err
	}
	area.Width = 0
	area.Color = faultColor
	if d.Planned {
		area.Color = plannedColor
	}
	p.Add(area)
	return nil
}

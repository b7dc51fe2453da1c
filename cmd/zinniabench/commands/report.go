package commands

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
	"zinniatide.example/zinniatide/platform"
)

// pageName is the file name of the page in the output folder.
const pageName = "report.html"

// reportCommand implements zinniabench report.
type reportCommand struct {
	command                          *cobra.Command
	inputPath, seriesPath, outputDir string
	dayPaths                         []string
}

func newReportCommand() *reportCommand {
	r := &reportCommand{}
	r.command = &cobra.Command{
		Use: "report", Short: "Render the output of make bench, or days of the platform's bench, as one HTML page", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return r.writePage() },
	}
	flags := r.command.Flags()
	flags.StringVar(&r.inputPath, "input", "", "JSON lines printed by make bench")
	flags.StringVar(&r.seriesPath, "series", "", "JSON lines written by run --series")
	flags.StringArrayVar(&r.dayPaths, "day", nil, "report file of a day of the platform's bench, may be repeated")
	flags.StringVar(&r.outputDir, "output", "", "folder for "+pageName)
	_ = r.command.MarkFlagRequired("output") // fails only if the flag is not defined
	return r
}

// writePage reads all input before it writes the page, so that invalid input
// does not overwrite an earlier page.
func (r *reportCommand) writePage() error {
	if (r.inputPath != "") == (len(r.dayPaths) > 0) {
		return errors.New("specify either --input or --day, not both")
	}
	var page bytes.Buffer
	render := r.renderMeasurements
	if len(r.dayPaths) > 0 {
		render = r.renderDays
	}
	if err := render(&page); err != nil {
		return err
	}
	if err := os.MkdirAll(r.outputDir, 0o755); err != nil {
		return zinniatide.WrapStep(err, "create output folder", r.outputDir)
	}
	path := filepath.Join(r.outputDir, pageName)
	return zinniatide.WrapStep(os.WriteFile(path, page.Bytes(), 0o644), "write page", path)
}

func (r *reportCommand) renderMeasurements(page io.Writer) error {
	metrics, err := readFile(r.inputPath, reporter.ReadMetrics)
	if err != nil {
		return err
	}
	var series []reporter.Request
	if r.seriesPath != "" {
		if series, err = readFile(r.seriesPath, reporter.ReadSeries); err != nil {
			return err
		}
	}
	return reporter.New(metrics, series).Write(page)
}

func (r *reportCommand) renderDays(page io.Writer) error {
	var days []reporter.Day
	for _, path := range r.dayPaths {
		day, err := readDay(path)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		days = append(days, reporter.Day{Name: name, DayReport: day})
	}
	return reporter.WriteDays(page, days)
}

func readDay(path string) (*platform.DayReport, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, zinniatide.WrapStep(err, "open input", path)
	}
	defer func() { _ = file.Close() }()
	day, err := platform.DecodeDayReport(file)
	return day, zinniatide.WrapStep(err, "read input", path)
}

func readFile[T any](path string, read func(io.Reader) ([]T, error)) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, zinniatide.WrapStep(err, "open input", path)
	}
	defer func() { _ = file.Close() }()
	list, err := read(file)
	return list, zinniatide.WrapStep(err, "read input", path)
}

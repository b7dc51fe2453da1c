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

// pageName is the file that report writes into the output folder.
const pageName = "report.html"

// report renders measurements as an HTML page.
type report struct {
	command               *cobra.Command
	input, series, output string
	days                  []string
}

func newReport() *report {
	r := &report{}
	r.command = &cobra.Command{
		Use: "report", Short: "Render the output of make bench, or days of the platform's bench, as one HTML page", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return r.run() },
	}
	flags := r.command.Flags()
	flags.StringVar(&r.input, "input", "", "file of JSON lines that make bench has printed")
	flags.StringVar(&r.series, "series", "", "file of JSON lines that run --series has written")
	flags.StringArrayVar(&r.days, "day", nil, "report file of a day of the platform's bench, may be repeated")
	flags.StringVar(&r.output, "output", "", "folder for "+pageName)
	_ = r.command.MarkFlagRequired("output") // fails only for a flag that does not exist
	return r
}

// run writes the page only after all input was read, so that bad input leaves
// an earlier page as it is.
func (r *report) run() error {
	if (r.input != "") == (len(r.days) > 0) {
		return errors.New("give either --input or --day")
	}
	var page bytes.Buffer
	render := r.measurements
	if len(r.days) > 0 {
		render = r.dayPage
	}
	if err := render(&page); err != nil {
		return err
	}
	if err := os.MkdirAll(r.output, 0o755); err != nil {
		return zinniatide.WrapStep(err, "create output folder", r.output)
	}
	path := filepath.Join(r.output, pageName)
	return zinniatide.WrapStep(os.WriteFile(path, page.Bytes(), 0o644), "write page", path)
}

func (r *report) measurements(page io.Writer) error {
	metrics, err := readFile(r.input, reporter.ReadMetrics)
	if err != nil {
		return err
	}
	var series []reporter.Request
	if r.series != "" {
		if series, err = readFile(r.series, reporter.ReadSeries); err != nil {
			return err
		}
	}
	return reporter.New(metrics, series).Write(page)
}

func (r *report) dayPage(page io.Writer) error {
	var days []reporter.Day
	for _, path := range r.days {
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

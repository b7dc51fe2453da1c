package commands

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
)

// pageName is the file that report writes into the output folder.
const pageName = "report.html"

// report renders measurements as an HTML page.
type report struct {
	command               *cobra.Command
	input, series, output string
}

func newReport() *report {
	r := &report{}
	r.command = &cobra.Command{
		Use: "report", Short: "Render the output of make bench as one HTML page", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return r.run() },
	}
	flags := r.command.Flags()
	flags.StringVar(&r.input, "input", "", "file of JSON lines that make bench has printed")
	flags.StringVar(&r.series, "series", "", "file of JSON lines that run --series has written")
	flags.StringVar(&r.output, "output", "", "folder for "+pageName)
	for _, name := range []string{"input", "output"} {
		_ = r.command.MarkFlagRequired(name) // fails only for a flag that does not exist
	}
	return r
}

// run writes the page only after all input was read, so that bad input leaves
// an earlier page as it is.
func (r *report) run() error {
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
	var page bytes.Buffer
	if err = reporter.New(metrics, series).Write(&page); err != nil {
		return err
	}
	if err = os.MkdirAll(r.output, 0o755); err != nil {
		return zinniatide.WrapStep(err, "create output folder", r.output)
	}
	path := filepath.Join(r.output, pageName)
	return zinniatide.WrapStep(os.WriteFile(path, page.Bytes(), 0o644), "write page", path)
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

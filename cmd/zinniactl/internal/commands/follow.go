package commands

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine bounds a line of a log file.
const maxLogLine = 1 << 20

// logLine is one line of a process's log.
type logLine struct {
	At      time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields"`
}

// backgroundSteps change what a process believes. Their lines explain what
// happened to a request on the same VM.
var backgroundSteps = []string{"routing", "enroll", "connect", "hello", "lead", "start", "stop", "reload"}

func (e *environment) followCommand() *cobra.Command {
	var around time.Duration
	c := &cobra.Command{
		Use:   "follow REQUEST FILE...",
		Short: "Print what log files say of a request as one time line",
		Long: "Follow reads the JSON lines of log files of several processes and prints those that carry the id of a request,\n" +
			"in the order of their times. With --around, also what its VMs learned shortly before and after. Text before the\n" +
			"first brace of a line is skipped.\n\n" + exitCodeHelp,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var lines []logLine
			for _, name := range args[1:] {
				found, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			story := storyOf(lines, args[0], around)
			if len(story) == 0 {
				return &exitError{exitRefused, fmt.Errorf("no line carries the request %s", args[0])}
			}
			return e.print(story, func(w *tabwriter.Writer) {
				row(w, "TIME", "VM", "STEP", "MESSAGE", "FIELDS")
				for _, l := range story {
					row(w, l.At.Format("15:04:05.000"), l.VM, l.Fields["step"], l.Message, fieldList(l.Fields))
				}
			})
		},
	}
	c.Flags().DurationVar(&around, "around", 0, "also print what the request's VMs learned within this time of it")
	return c
}

// readLog returns the log lines of a file. Lines that are no JSON are skipped.
func readLog(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // read only
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l := logLine{Fields: map[string]any{}}
		raw := []byte(text[brace:])
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.UseNumber()
		if json.Unmarshal(raw, &l) != nil || decoder.Decode(&l.Fields) != nil || l.Message == "" {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// storyOf selects the lines of a request and, within around of them, the
// background of their VMs.
func storyOf(lines []logLine, request string, around time.Duration) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	var first, last time.Time
	vms := map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		vms[l.VM] = true
	}
	var story []logLine
	for _, l := range lines {
		step, _ := l.Fields["step"].(string)
		near := around > 0 && vms[l.VM] && l.Fields["request"] == nil && slices.Contains(backgroundSteps, step) &&
			!l.At.Before(first.Add(-around)) && !l.At.After(last.Add(around))
		if l.Fields["request"] == request || near {
			story = append(story, l)
		}
	}
	return story
}

// fieldList prints the fields that have no column of their own.
func fieldList(fields map[string]any) string {
	var out []string
	for key, value := range fields {
		switch key {
		case "time", "level", "msg", "vm", "zone", "step", "request":
			continue
		}
		out = append(out, fmt.Sprintf("%s=%v", key, value))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

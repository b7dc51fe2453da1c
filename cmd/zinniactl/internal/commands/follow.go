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

// maxLogLineBytes limits the length of a log line.
const maxLogLineBytes = 1 << 20

// logEntry is one line of a log file.
type logEntry struct {
	At      time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields"` // all keys of the line; the tag names them in the JSON output
}

// contextSteps are the steps that change the state of a process, such as its
// routing table. Their log lines explain what happened to a request on the same
// VM.
var contextSteps = []string{"routing", "enroll", "connect", "hello", "lead", "start", "stop", "reload"}

func (e *environment) followCommand() *cobra.Command {
	var around time.Duration
	c := &cobra.Command{
		Use:   "follow REQUEST FILE...",
		Short: "Merge the log lines of a request into one timeline",
		Long: "Follow reads the log files of several processes, in JSON lines, and prints the lines with the ID of a request in\n" +
			"order of time. With --around, it also prints the state changes of the VMs involved, shortly before and after the\n" +
			"request. Text before the first brace of a line is skipped.\n\n" + exitCodeHelp,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var entries []logEntry
			for _, name := range args[1:] {
				found, err := readLog(name)
				if err != nil {
					return err
				}
				entries = append(entries, found...)
			}
			timeline := requestTimeline(entries, args[0], around)
			if len(timeline) == 0 {
				return &exitError{exitRefused, fmt.Errorf("no log line has the request ID %s", args[0])}
			}
			return e.print(timeline, func(w *tabwriter.Writer) {
				printRow(w, "TIME", "VM", "STEP", "MESSAGE", "FIELDS")
				for _, l := range timeline {
					printRow(w, l.At.Format("15:04:05.000"), l.VM, l.Fields["step"], l.Message, formatFields(l.Fields))
				}
			})
		},
	}
	c.Flags().DurationVar(&around, "around", 0, "also print state changes of the VMs involved within this time before and after the request")
	return c
}

// readLog returns the entries of a log file. It skips lines that are not JSON.
func readLog(name string) ([]logEntry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // read only
	var entries []logEntry
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l := logEntry{Fields: map[string]any{}}
		raw := []byte(text[brace:])
		// Decode the line again, for all its keys; UseNumber keeps large integers exact.
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.UseNumber()
		if json.Unmarshal(raw, &l) != nil || decoder.Decode(&l.Fields) != nil || l.Message == "" {
			continue
		}
		entries = append(entries, l)
	}
	return entries, scanner.Err()
}

// requestTimeline returns the entries of a request in order of time. If around
// is positive, it includes the context entries of the same VMs that are within
// this time of the request.
func requestTimeline(entries []logEntry, request string, around time.Duration) []logEntry {
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.At.Compare(b.At) })
	var first, last time.Time
	vms := map[string]bool{}
	for _, l := range entries {
		if l.Fields["request"] != request {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		vms[l.VM] = true
	}
	var timeline []logEntry
	for _, l := range entries {
		step, _ := l.Fields["step"].(string)
		isContext := around > 0 && vms[l.VM] && l.Fields["request"] == nil && slices.Contains(contextSteps, step) &&
			!l.At.Before(first.Add(-around)) && !l.At.After(last.Add(around))
		if l.Fields["request"] == request || isContext {
			timeline = append(timeline, l)
		}
	}
	return timeline
}

// formatFields formats the fields that have no column of their own.
func formatFields(fields map[string]any) string {
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

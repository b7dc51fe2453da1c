package commands

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"zinniatide.example/zinniatide"
)

// print writes value as JSON, or calls table with a tabular writer, depending
// on the output format.
func (e *environment) print(value any, table func(w *tabwriter.Writer)) error {
	if e.output == "json" {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printRow writes one row of a table, with "-" for empty cells.
func printRow(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		if texts[i] = fmt.Sprint(cell); texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func printStatus(w *tabwriter.Writer, s zinniatide.TicketStatus) {
	printRow(w, "TICKET", "EPOCH", "IN FORCE", "NOT YET ON")
	names := make([]string, len(s.PendingVMs))
	for i, vm := range s.PendingVMs {
		names[i] = string(vm)
	}
	printRow(w, s.Number, s.Epoch, s.InForce, strings.Join(names, ","))
}

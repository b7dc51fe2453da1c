package commands

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
)

func (e *environment) historyCommand() *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:   "history",
		Short: "List the accepted tickets, newest first",
		Long:  "History lists the accepted tickets, newest first.\n\n" + exitCodeHelp,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if limit < 1 {
				return fmt.Errorf("--limit is %d, want 1 or more", limit)
			}
			c, err := e.client()
			if err != nil {
				return err
			}
			var records []zinniatide.TicketRecord
			if err := c.do(http.MethodGet, fmt.Sprintf("/v1/tickets?limit=%d", limit), nil, &records); err != nil {
				return err
			}
			return e.print(records, func(w *tabwriter.Writer) {
				printRow(w, "TICKET", "EPOCH", "DIGEST")
				for _, r := range records {
					printRow(w, r.Number, r.Epoch, r.Digest)
				}
			})
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "maximum number of tickets")
	return command
}

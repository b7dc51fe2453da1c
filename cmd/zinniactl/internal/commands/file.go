package commands

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
)

func (e *environment) fileCommand() *cobra.Command {
	var dryRun, wait bool
	command := &cobra.Command{
		Use:   "file FILE",
		Short: "File a ticket (- reads standard input)",
		Long: "File sends a ticket to the control VMs. If the response is lost or there is no quorum,\n" +
			"it sends the ticket again. This is safe because a ticket takes effect only once.\n\n" + exitCodeHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, ticket, _, err := e.readTicket(args[0])
			if err != nil {
				return err
			}
			c, err := e.client()
			if err != nil {
				return err
			}
			path := "/v1/tickets"
			if dryRun {
				path += "?dry-run=true"
			}
			var reply zinniatide.TicketReply
			if err := c.do(http.MethodPost, path, raw, &reply); err != nil {
				return err
			}
			if wait && !dryRun {
				return e.waitAndPrint(c, reply, ticket.Number)
			}
			return e.print(reply, func(w *tabwriter.Writer) { printReply(w, reply, dryRun) })
		},
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show what the ticket would change without filing it")
	command.Flags().BoolVar(&wait, "wait", false, "wait until the ticket is in force on every VM")
	return command
}

// fileOutput is the JSON output of file --wait.
type fileOutput struct {
	zinniatide.TicketReply
	Status zinniatide.TicketStatus `json:"status"`
}

// waitAndPrint waits until the ticket is in force and prints the reply and the
// status of the ticket.
func (e *environment) waitAndPrint(c *client, reply zinniatide.TicketReply, number zinniatide.TicketNumber) error {
	if e.output != "json" {
		if err := e.print(nil, func(w *tabwriter.Writer) { printReply(w, reply, false) }); err != nil {
			return err
		}
	}
	status, waitErr := e.waitUntilInForce(c, number)
	if e.output == "json" {
		if err := e.print(fileOutput{reply, status}, nil); err != nil {
			return err
		}
	}
	return waitErr
}

func printReply(w *tabwriter.Writer, r zinniatide.TicketReply, dryRun bool) {
	switch {
	case r.Repeated:
		printRow(w, fmt.Sprintf("ticket %d had been accepted before, at epoch %d", r.Number, r.Epoch))
	case dryRun:
		printRow(w, fmt.Sprintf("ticket %d would be accepted after epoch %d", r.Number, r.Epoch))
	default:
		printRow(w, fmt.Sprintf("ticket %d is accepted at epoch %d", r.Number, r.Epoch))
	}
	for _, change := range r.Changes {
		printRow(w, "  "+change)
	}
	if len(r.Changes) == 0 && !r.Repeated {
		printRow(w, "  no change")
	}
}

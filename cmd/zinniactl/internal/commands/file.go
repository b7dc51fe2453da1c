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
		Long: "File sends a ticket to the control VMs. When the answer is lost or there is no\n" +
			"quorum it sends the same ticket again, which is safe: a ticket takes effect once.\n\n" + exitCodeHelp,
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
				return e.printFiled(c, reply, ticket.Number)
			}
			return e.print(reply, func(w *tabwriter.Writer) { printReply(w, reply, dryRun) })
		},
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show what the ticket would change, without filing it")
	command.Flags().BoolVar(&wait, "wait", false, "wait until the ticket is in force on every VM")
	return command
}

// filed is the JSON output of file --wait.
type filed struct {
	zinniatide.TicketReply
	Status zinniatide.TicketStatus `json:"status"`
}

// printFiled waits for the ticket and prints the reply with its status.
func (e *environment) printFiled(c *client, reply zinniatide.TicketReply, number zinniatide.TicketNumber) error {
	if e.output != "json" {
		if err := e.print(nil, func(w *tabwriter.Writer) { printReply(w, reply, false) }); err != nil {
			return err
		}
	}
	status, waitErr := e.waitInForce(c, number)
	if e.output == "json" {
		if err := e.print(filed{reply, status}, nil); err != nil {
			return err
		}
	}
	return waitErr
}

func printReply(w *tabwriter.Writer, r zinniatide.TicketReply, dryRun bool) {
	switch {
	case r.Repeated:
		row(w, fmt.Sprintf("ticket %d had been accepted before, at epoch %d", r.Number, r.Epoch))
	case dryRun:
		row(w, fmt.Sprintf("ticket %d would be accepted after epoch %d", r.Number, r.Epoch))
	default:
		row(w, fmt.Sprintf("ticket %d is accepted at epoch %d", r.Number, r.Epoch))
	}
	for _, change := range r.Changes {
		row(w, "  "+change)
	}
	if len(r.Changes) == 0 && !r.Repeated {
		row(w, "  no change")
	}
}

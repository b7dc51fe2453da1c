package commands

import (
	"text/tabwriter"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// checked is the JSON output of check.
type checked struct {
	Number   zinniatide.TicketNumber `json:"ticket"`
	Digest   string                  `json:"digest"`
	Entities []string                `json:"entities"`
}

func (e *environment) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a ticket file without asking the control VMs",
		Long: "Check validates a ticket file and prints its digest and the entities that it\n" +
			"replaces. Use file --dry-run to compare it with the configuration in force.\n\n" + exitCodeHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, ticket, digest, err := e.readTicket(args[0])
			if err != nil {
				return err
			}
			result := checked{Number: ticket.Number, Digest: digest.String()}
			for _, entity := range checker.Entities(ticket) {
				result.Entities = append(result.Entities, entity.String())
			}
			return e.print(result, func(w *tabwriter.Writer) {
				row(w, "TICKET", "DIGEST")
				row(w, result.Number, result.Digest)
				for _, entity := range result.Entities {
					row(w, "  replaces "+entity)
				}
			})
		},
	}
}

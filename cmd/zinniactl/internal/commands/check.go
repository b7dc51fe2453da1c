package commands

import (
	"text/tabwriter"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// checkOutput is the JSON output of check.
type checkOutput struct {
	Number   zinniatide.TicketNumber `json:"ticket"`
	Digest   string                  `json:"digest"`
	Entities []string                `json:"entities"`
}

func (e *environment) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a ticket file offline",
		Long: "Check validates a ticket file without contacting the control VMs, and prints its digest and the\n" +
			"entities that it replaces. Use file --dry-run to compare it with the configuration in force.\n\n" + exitCodeHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, ticket, digest, err := e.readTicket(args[0])
			if err != nil {
				return err
			}
			result := checkOutput{Number: ticket.Number, Digest: digest.String()}
			for _, entity := range checker.Entities(ticket) {
				result.Entities = append(result.Entities, entity.String())
			}
			return e.print(result, func(w *tabwriter.Writer) {
				printRow(w, "TICKET", "DIGEST")
				printRow(w, result.Number, result.Digest)
				for _, entity := range result.Entities {
					printRow(w, "  replaces "+entity)
				}
			})
		},
	}
}

package commands

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
)

func (e *environment) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status NUMBER",
		Short: "Show where a ticket is in force",
		Long:  "Status shows whether a ticket is in force and lists the VMs on which it is not yet.\n\n" + exitCodeHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			number, err := parseTicketNumber(args[0])
			if err != nil {
				return err
			}
			c, err := e.client()
			if err != nil {
				return err
			}
			status, err := c.status(number)
			if err != nil {
				return err
			}
			return e.print(status, func(w *tabwriter.Writer) { printStatus(w, status) })
		},
	}
}

func (c *client) status(number zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	var status zinniatide.TicketStatus
	err := c.do(http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil, &status)
	return status, err
}

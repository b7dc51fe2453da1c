package commands

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
)

// pollInterval is the delay between two status requests for a ticket.
const pollInterval = 200 * time.Millisecond

func (e *environment) waitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wait NUMBER",
		Short: "Wait until a ticket is in force on every VM",
		Long: "Wait returns when a ticket is in force on every VM. It prints the VMs on which the ticket\n" +
			"is not yet in force each time they change.\n\n" + exitCodeHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			number, err := parseTicketNumber(args[0])
			if err != nil {
				return err
			}
			c, err := e.client()
			if err != nil {
				return err
			}
			status, waitErr := e.waitUntilInForce(c, number)
			if e.output == "json" && status.Number != 0 {
				if err := e.print(status, nil); err != nil {
					return err
				}
			}
			return waitErr
		},
	}
}

// waitUntilInForce polls the status of the ticket until it is in force on every
// VM. With table output, it prints every change of the status.
func (e *environment) waitUntilInForce(c *client, number zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	var last zinniatide.TicketStatus
	for {
		status, err := c.status(number)
		if err != nil {
			return last, err
		}
		slices.Sort(status.PendingVMs)
		changed := last.Number == 0 || status.InForce != last.InForce || !slices.Equal(status.PendingVMs, last.PendingVMs)
		last = status
		if changed && e.output != "json" {
			if err := e.print(nil, func(w *tabwriter.Writer) { printStatus(w, status) }); err != nil {
				return last, err
			}
		}
		if status.InForce {
			return last, nil
		}
		if c.remaining() <= pollInterval {
			return last, &exitError{exitNotInForce, fmt.Errorf("ticket %d is not yet in force on %v after %v", number, status.PendingVMs, e.timeout)}
		}
		e.sleep(pollInterval)
	}
}

package commands

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
)

// pollInterval is the delay between two looks at a ticket.
const pollInterval = 200 * time.Millisecond

func (e *environment) waitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wait NUMBER",
		Short: "Wait until a ticket is in force on every VM",
		Long: "Wait ends when a ticket is in force on every VM. It prints the VMs on which it is\n" +
			"not yet in force whenever they change.\n\n" + exitCodeHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			number, err := parseNumber(args[0])
			if err != nil {
				return err
			}
			c, err := e.client()
			if err != nil {
				return err
			}
			status, waitErr := e.waitInForce(c, number)
			if e.output == "json" && status.Number != 0 {
				if err := e.print(status, nil); err != nil {
					return err
				}
			}
			return waitErr
		},
	}
}

// waitInForce polls the ticket until it is in force everywhere. With table
// output it prints each change.
func (e *environment) waitInForce(c *client, number zinniatide.TicketNumber) (zinniatide.TicketStatus, error) {
	var last zinniatide.TicketStatus
	for {
		status, err := c.status(number)
		if err != nil {
			return last, err
		}
		slices.Sort(status.NotYetOn)
		changed := last.Number == 0 || status.InForce != last.InForce || !slices.Equal(status.NotYetOn, last.NotYetOn)
		last = status
		if changed && e.output != "json" {
			if err := e.print(nil, func(w *tabwriter.Writer) { printStatus(w, status) }); err != nil {
				return last, err
			}
		}
		if status.InForce {
			return last, nil
		}
		if c.left() <= pollInterval {
			return last, &exitError{exitNotYet, fmt.Errorf("ticket %d is not yet in force on %v after %v", number, status.NotYetOn, e.timeout)}
		}
		e.sleep(pollInterval)
	}
}

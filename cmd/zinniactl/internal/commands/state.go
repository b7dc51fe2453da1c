package commands

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
)

func (e *environment) stateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "state",
		Short: "Show the newest accepted configuration",
		Long:  "State shows the newest accepted configuration with members and bucket owners.\n\n" + exitCodeHelp,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := e.client()
			if err != nil {
				return err
			}
			var configuration zinniatide.Configuration
			if err := c.do(http.MethodGet, "/v1/state", nil, &configuration); err != nil {
				return err
			}
			return e.print(&configuration, func(w *tabwriter.Writer) { printState(w, &configuration) })
		},
	}
}

func printState(w *tabwriter.Writer, c *zinniatide.Configuration) {
	printRow(w, fmt.Sprintf("epoch %d", c.Epoch))
	printServices(w, c.Services)
	printStates(w, "AVAILABILITY ZONE", c.AvailabilityZones)
	printStates(w, "VM SETTING", c.VMs)
	printStates(w, "BACKEND SERVER", c.BackendServers)
	printTableHeader(w, len(c.ControlVMs), "CONTROL VM", "PEER ADDRESS")
	for _, vm := range c.ControlVMs {
		printRow(w, vm.VM, vm.PeerAddress)
	}
	printMembers(w, c)
}

// printTableHeader prints an empty line and the column titles of a table, unless
// the table has no rows.
func printTableHeader(w *tabwriter.Writer, rows int, titles ...any) {
	if rows > 0 {
		_, _ = fmt.Fprintln(w)
		printRow(w, titles...)
	}
}

func printServices(w *tabwriter.Writer, services map[zinniatide.ServiceID]zinniatide.ServiceSetting) {
	printTableHeader(w, len(services), "SERVICE", "VERSIONS", "SLOTS", "CONNECTIONS", "CLASSES", "TENANTS")
	for _, id := range slices.Sorted(maps.Keys(services)) {
		s := services[id]
		versions := make([]string, len(s.Versions))
		for i := range s.Versions {
			versions[i] = fmt.Sprintf("%d(%d shards)", s.Versions[i].Version, len(s.Versions[i].Shards()))
		}
		printRow(w, id, strings.Join(versions, ","), s.Slots, s.Connections, len(s.Classes), len(s.Workspaces))
	}
}

func printStates[K ~string](w *tabwriter.Writer, title string, states map[K]zinniatide.StateSetting) {
	printTableHeader(w, len(states), title, "STATE")
	for _, id := range slices.Sorted(maps.Keys(states)) {
		printRow(w, id, states[id].State)
	}
}

// printMembers prints the members with the number of buckets that each owns and
// the number that are moving to another owner.
func printMembers(w *tabwriter.Writer, c *zinniatide.Configuration) {
	owned, moving := map[zinniatide.VMID]int{}, map[zinniatide.VMID]int{}
	for _, table := range c.Buckets {
		for _, b := range table {
			owned[b.Owner]++
			if b.NextOwner != "" {
				moving[b.Owner]++
			}
		}
	}
	printTableHeader(w, len(c.Members), "MEMBER", "INCARNATION", "ZONE", "HTTP ADDRESS", "ENTRY", "STATE", "SERVING", "BUCKETS", "MOVING AWAY")
	for _, id := range slices.Sorted(maps.Keys(c.Members)) {
		m := c.Members[id]
		printRow(w, m.VM, m.Process, m.Zone, m.HTTPAddress, m.Entry, m.State, c.VMServing(id), owned[id], moving[id])
	}
	if owned[""] > 0 {
		printRow(w, fmt.Sprintf("%d buckets have no owner", owned[""]))
	}
}

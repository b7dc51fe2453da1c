package commands

import (
	"fmt"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
)

// initCommand writes the first record of the replicated log of a new system.
type initCommand struct{ command *cobra.Command }

func newInitCommand() *initCommand {
	i := &initCommand{}
	i.command = &cobra.Command{
		Use:   "init",
		Short: "Initialize the replicated log of a new system, once, on one control VM",
		Long: "Init writes the first record of the replicated log to an empty data folder. Run it exactly once for a new\n" +
			"system, on one control VM. The other control VMs start with empty data folders and join automatically.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.LoadInit(c.Flags())
			if err != nil {
				return settingsError{err}
			}
			if err := logkeeper.Init(journal.OSFileSystem{}, s.DataFolder, s.VM, s.ControlVMs); err != nil {
				return zinniatide.WrapStep(err, "init", s.DataFolder)
			}
			fmt.Println("initialized data folder:", s.DataFolder)
			return nil
		},
	}
	settings.AddInitFlags(i.command.Flags())
	return i
}

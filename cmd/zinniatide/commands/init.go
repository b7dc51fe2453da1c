package commands

import (
	"fmt"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
)

// initialize writes the first record of a new system's log.
type initialize struct{ command *cobra.Command }

func newInit() *initialize {
	i := &initialize{}
	i.command = &cobra.Command{
		Use:   "init",
		Short: "Write the first record of a new system, once, on one control VM",
		Long: "Init writes the first record of the replicated log into an empty data folder. It is run once in the life of\n" +
			"a system, on one control VM. The other control VMs start with empty folders and join by themselves.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.LoadInit(c.Flags())
			if err != nil {
				return settingsError{err}
			}
			if err := logkeeper.Init(journal.Disk{}, s.DataFolder, s.VM, s.ControlVMs); err != nil {
				return zinniatide.WrapStep(err, "init", s.DataFolder)
			}
			fmt.Println("data folder initialised:", s.DataFolder)
			return nil
		},
	}
	settings.AddInitFlags(i.command.Flags())
	return i
}

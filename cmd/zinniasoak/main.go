// Command zinniasoak runs the system as separate processes, injects faults from
// the outside, and verifies the system's guarantees as callers and backend
// servers observe them.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide/cmd/zinniasoak/soak"
)

func main() {
	var cfg soak.Config
	command := &cobra.Command{
		Use: "zinniasoak", Short: "Run a soak test with random faults", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			report, err := soak.Run(cfg)
			if report != nil {
				fmt.Println(report)
			}
			return err
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&cfg.Seed, "seed", 1, "random seed of the faults and the load")
	flags.DurationVar(&cfg.FaultDuration, "faults", 30*time.Second, "duration of fault injection")
	flags.StringVar(&cfg.BinaryPath, "program", "bin/zinniatide", "path of the zinniatide binary")
	flags.IntVar(&cfg.Relays, "relays", 4, "number of relay processes")
	flags.StringVar(&cfg.Dir, "folder", "", "directory for settings, data and logs (default: a temporary directory that is kept only after a failure)")
	if command.Execute() != nil {
		os.Exit(1)
	}
}

// Command zinniasoak runs the real programs as separate processes, injects
// faults from outside them, and checks their promises from what callers and
// backend servers see.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide/cmd/zinniasoak/soak"
)

func main() {
	var c soak.Config
	command := &cobra.Command{
		Use: "zinniasoak", Short: "Soak the system under random faults", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			report, err := soak.Run(c)
			if report != nil {
				fmt.Println(report)
			}
			return err
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&c.Seed, "seed", 1, "choice of faults and load")
	flags.DurationVar(&c.Faults, "faults", 30*time.Second, "how long faults are injected")
	flags.StringVar(&c.Program, "program", "bin/zinniatide", "the program to run")
	flags.IntVar(&c.Relays, "relays", 4, "relay processes")
	flags.StringVar(&c.Folder, "folder", "", "folder for settings, data and logs; a temporary one by default, kept after a failure")
	if command.Execute() != nil {
		os.Exit(1)
	}
}

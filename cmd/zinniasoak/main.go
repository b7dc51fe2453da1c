// Command zinniasoak runs the system as separate processes, injects faults from
// the outside, and verifies the system's guarantees as callers and backend
// servers observe them.
package main

import (
	"fmt"
	"os"
	"syscall"
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
	command.Flags().DurationVar(&cfg.FaultDuration, "faults", 30*time.Second, "duration of fault injection")
	addFlags(command, &cfg, 4)
	command.AddCommand(newStormCommand(), newRestartsCommand(), newReplacementsCommand())
	if command.Execute() != nil {
		os.Exit(1)
	}
}

// addFlags adds the flags of all runs to command.
func addFlags(command *cobra.Command, cfg *soak.Config, relays int) {
	flags := command.Flags()
	flags.Uint64Var(&cfg.Seed, "seed", 1, "random seed of the faults and the load")
	flags.StringVar(&cfg.BinaryPath, "program", "bin/zinniatide", "path of the zinniatide binary")
	flags.IntVar(&cfg.Relays, "relays", relays, "number of relay processes")
	flags.StringVar(&cfg.Dir, "folder", "", "directory for settings, data and logs (default: a temporary directory that is kept only after a failure)")
}

// newRestartsCommand returns the command that kills and freezes relay processes with
// requests under way.
func newRestartsCommand() *cobra.Command {
	var cfg soak.Config
	command := &cobra.Command{
		Use: "restarts", Short: "Kill and freeze relay processes with requests under way and verify every answer", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			summary, err := soak.RunRestarts(cfg)
			fmt.Println(summary)
			return err
		},
	}
	addFlags(command, &cfg, 6)
	command.Flags().DurationVar(&cfg.FaultDuration, "faults", 30*time.Second, "duration of the restarts")
	return command
}

// newReplacementsCommand returns the command that replaces all control processes while
// relay processes are away.
func newReplacementsCommand() *cobra.Command {
	var cfg soak.Config
	command := &cobra.Command{
		Use: "replacements", Short: "Replace all control processes while relay processes are away and verify which version is in force",
		SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			summary, err := soak.RunReplacements(cfg)
			fmt.Println(summary)
			return err
		},
	}
	addFlags(command, &cfg, 6)
	return command
}

// newStormCommand returns the command that sends storms of configuration changes.
func newStormCommand() *cobra.Command {
	var cfg soak.StormConfig
	fault := ""
	signals := map[string]syscall.Signal{"": 0, "kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP}
	command := &cobra.Command{
		Use: "storm", Short: "Send storms of configuration changes and verify which version is in force", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signal, known := signals[fault]
			if !known {
				return fmt.Errorf("unknown fault %q; want kill or freeze", fault)
			}
			cfg.Signal = signal
			summary, err := soak.RunStorm(cfg)
			fmt.Println(summary)
			return err
		},
	}
	addFlags(command, &cfg.Config, 6)
	flags := command.Flags()
	flags.DurationVar(&cfg.FaultDuration, "duration", 60*time.Second, "duration of the storms")
	flags.IntSliceVar(&cfg.Processors, "processors", nil, "processors of the system (default: all)")
	flags.IntVar(&cfg.BusyLoops, "busy-loops", 0, "number of processes that compete for the processors")
	flags.StringVar(&fault, "fault", "", "what happens to one control process in each third storm: kill or freeze (default: nothing)")
	flags.IntVar(&cfg.MaxElections, "max-elections", -1, "number of elections above which the run fails; negative for no limit")
	return command
}

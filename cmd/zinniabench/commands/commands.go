// Package commands implements the command line of zinniabench.
package commands

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/scenarios"
	"zinniatide.example/zinniatide/common/logger"
)

// Process exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	logger.Install(os.Stderr, slog.LevelError, "zinniabench", "")
	root := &cobra.Command{
		Use: "zinniabench", Short: "Measurements of the query tier", SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(newRunCommand().command, newListCommand().command, newMembersCommand(), newReportCommand().command)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinniabench:", err)
		return exitFailed
	}
	return exitOK
}

// runCommand implements zinniabench run.
type runCommand struct {
	command    *cobra.Command
	env        scenarios.Env
	seriesPath string
}

func newRunCommand() *runCommand {
	r := &runCommand{env: scenarios.Env{Out: os.Stdout}}
	r.command = &cobra.Command{
		Use: "run SCENARIO", Short: "Run one scenario and print a JSON line per metric", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenarios.Find(args[0])
			if err != nil {
				return err
			}
			return r.measure(s)
		},
	}
	flags := r.command.Flags()
	flags.Uint64Var(&r.env.Seed, "seed", 1, "seed of the random number generators")
	flags.IntSliceVar(&r.env.EntryPIDs, "pids", nil, "process IDs of the measured entry VMs")
	flags.StringSliceVar(&r.env.EntryAddresses, "seeds", nil, "HTTP addresses of the measured entry VMs")
	flags.StringVar(&r.env.CountsAddress, "counts", "", "address that serves the request counts of the emulated backend servers")
	flags.StringVar(&r.seriesPath, "series", "", "append one JSON line per request of zone-out-in, leaving-server, zone-loss or straggler to this file")
	flags.StringVar(&r.env.MembersAddress, "members", "", "address of a running \"zinniabench members\" process")
	return r
}

// measure runs s and appends its time series to the file given by --series.
func (r *runCommand) measure(s scenarios.Scenario) error {
	if r.seriesPath == "" {
		return s.Run(&r.env)
	}
	file, err := os.OpenFile(r.seriesPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return zinniatide.WrapStep(err, "open time series", r.seriesPath)
	}
	r.env.Series = file
	err = s.Run(&r.env)
	return errors.Join(err, zinniatide.WrapStep(file.Close(), "close time series", r.seriesPath))
}

// listCommand implements zinniabench list.
type listCommand struct{ command *cobra.Command }

func newListCommand() *listCommand {
	return &listCommand{command: &cobra.Command{
		Use: "list", Short: "Print each scenario and what it needs: nothing (in-process), running entry VMs and backend servers (processes), or a running \"zinniabench members\" (members)", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			for _, s := range scenarios.All() {
				kind := "in-process"
				switch {
				case s.NeedsProcesses:
					kind = "processes"
				case s.NeedsMembers:
					kind = "members"
				}
				fmt.Println(s.Name, kind)
			}
		},
	}}
}

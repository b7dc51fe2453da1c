// Package commands holds the commands of zinniabench.
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

// Exit codes.
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
	root.AddCommand(newRun().command, newList().command, newMembers(), newReport().command)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinniabench:", err)
		return exitFailed
	}
	return exitOK
}

// run runs one scenario.
type run struct {
	command *cobra.Command
	env     scenarios.Env
	series  string
}

func newRun() *run {
	r := &run{env: scenarios.Env{Out: os.Stdout}}
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
	flags.Uint64Var(&r.env.Seed, "seed", 1, "seed of the random choices")
	flags.IntSliceVar(&r.env.Pids, "pids", nil, "process ids of the measured entry VMs")
	flags.StringSliceVar(&r.env.Seeds, "seeds", nil, "HTTP addresses of the measured entry VMs")
	flags.StringVar(&r.env.Counts, "counts", "", "address of the stand-ins' counts")
	flags.StringVar(&r.series, "series", "", "file to which the requests of the zone scenarios and straggler are appended")
	flags.StringVar(&r.env.Members, "members", "", "address of a running zinniabench members")
	return r
}

// measure runs s, with its time series appended to the file of --series.
func (r *run) measure(s scenarios.Scenario) error {
	if r.series == "" {
		return s.Run(&r.env)
	}
	file, err := os.OpenFile(r.series, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return zinniatide.WrapStep(err, "open time series", r.series)
	}
	r.env.Series = file
	err = s.Run(&r.env)
	return errors.Join(err, zinniatide.WrapStep(file.Close(), "close time series", r.series))
}

// list prints the names of the scenarios.
type list struct{ command *cobra.Command }

func newList() *list {
	return &list{command: &cobra.Command{
		Use: "list", Short: "Print the scenarios; those that a script has to start processes for are marked", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			for _, s := range scenarios.All() {
				kind := "in-process"
				switch {
				case s.Processes:
					kind = "processes"
				case s.Members:
					kind = "members"
				}
				fmt.Println(s.Name, kind)
			}
		},
	}}
}

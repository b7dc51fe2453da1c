// Package commands implements the commands of zinniastand.
package commands

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide/common/logger"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	logger.Install(os.Stderr, slog.LevelInfo, "zinniastand", "")
	root := &cobra.Command{
		Use: "zinniastand", Short: "Emulated backend servers and a load generator",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(newServeCommand().command, newLoadCommand().command)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinniastand:", err)
		return exitFailed
	}
	return exitOK
}

// Package commands implements the commands of zinniatide.
package commands

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2 // invalid settings or flags; nothing was started
)

// settingsError marks an error in the settings, which has its own exit code.
type settingsError struct{ error }

// Unwrap returns the error that lists the invalid settings.
func (e settingsError) Unwrap() error { return e.error }

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	root := &cobra.Command{
		Use:   "zinniatide",
		Short: "Query tier for sharded search indexes",
		Long: "Zinniatide is a query tier for sharded search indexes. Every flag of run and init can also be set by an\n" +
			"environment variable: --http-address is ZINNIATIDE_HTTP_ADDRESS. Exit code 1 means failure, 2 invalid settings.",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(newRunCommand().command, newInitCommand().command, newPlatformCommand().command)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return settingsError{err} })
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "zinniatide:", err)
	if errors.As(err, new(settingsError)) {
		return exitInvalidSettings
	}
	return exitFailed
}

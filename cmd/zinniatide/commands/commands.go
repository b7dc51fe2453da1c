// Package commands holds the commands of zinniatide.
package commands

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // a setting is wrong; nothing was started
)

// settingsError marks an error of the settings.
type settingsError struct{ error }

// Unwrap returns the error that names the wrong settings.
func (e settingsError) Unwrap() error { return e.error }

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	root := &cobra.Command{
		Use:   "zinniatide",
		Short: "Query tier over many shards",
		Long: "Zinniatide is a query tier over many shards. Every flag can also be set by an environment variable:\n" +
			"--http-address is ZINNIATIDE_HTTP_ADDRESS. Exit code 1 is a failure, 2 a wrong setting.",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(newRun().command, newInit().command, newPlatform().command)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return settingsError{err} })
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "zinniatide:", err)
	if errors.As(err, new(settingsError)) {
		return exitSettings
	}
	return exitFailed
}

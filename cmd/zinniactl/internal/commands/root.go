// Package commands implements the commands of zinniactl.
package commands

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// Exit codes, documented for users in exitCodeHelp.
const (
	exitOK         = 0
	exitUsage      = 1 // invalid arguments, or an unreadable or invalid ticket file
	exitRefused    = 2 // the control VMs refused the request; for follow: no log line has the request ID
	exitNoResponse = 3 // no control VM responded; a filed ticket may or may not be accepted
	exitNotInForce = 4 // the ticket is accepted but was not in force on every VM in time
)

const exitCodeHelp = `Exit codes:
  0  done; for wait: the ticket is in force on every VM
  1  invalid arguments, or an unreadable or invalid ticket file; nothing was sent
  2  the control VMs refused the request, so the configuration is unchanged; for
     follow: no log line has the request ID
  3  no control VM responded in time; a filed ticket may have been accepted, so
     run the same command again to find out
  4  the ticket is accepted, but it was not in force on every VM in time`

// controlEnvVar is the environment variable that lists the control VMs when the
// flag --control is not set.
const controlEnvVar = "ZINNIACTL_CONTROL"

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// environment holds the streams, flags and clock that the commands share.
type environment struct {
	in          io.Reader
	out, errOut io.Writer
	control     []string
	output      string
	timeout     time.Duration
	clock       zinniatide.Clock
	sleep       func(time.Duration)
	random      *rand.Rand
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	env := &environment{in: in, out: out, errOut: errOut, clock: clock.New(), sleep: time.Sleep,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return env.execute(args)
}

func (e *environment) execute(args []string) int {
	root := e.rootCommand()
	root.SetArgs(args)
	root.SetIn(e.in)
	root.SetOut(e.out)
	root.SetErr(e.errOut)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(e.errOut, "zinniactl:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

func (e *environment) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinniactl",
		Short:         "Administer a zinniatide system with tickets and show its state",
		Long:          "Zinniactl administers a zinniatide system: it files tickets and shows the state of the control VMs.\n\n" + exitCodeHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if e.output != "table" && e.output != "json" {
				return fmt.Errorf("--output is %q, want table or json", e.output)
			}
			if e.timeout <= 0 {
				return fmt.Errorf("--timeout is %v, want a positive duration", e.timeout)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&e.control, "control", nil, "HTTP addresses of control VMs, tried in turn (environment: "+controlEnvVar+")")
	flags.StringVar(&e.output, "output", "table", "output format: table or json")
	flags.DurationVar(&e.timeout, "timeout", 15*time.Second, "time after which the command gives up")
	root.AddCommand(e.fileCommand(), e.checkCommand(), e.stateCommand(), e.historyCommand(), e.statusCommand(), e.waitCommand(), e.followCommand())
	return root
}

// addresses returns the HTTP addresses of the control VMs.
func (e *environment) addresses() ([]string, error) {
	addresses := e.control
	if len(addresses) == 0 {
		addresses = strings.Split(os.Getenv(controlEnvVar), ",")
	}
	var out []string
	for _, address := range addresses {
		if address = strings.TrimSpace(address); address != "" {
			out = append(out, strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/"))
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no control VM given; set --control or %s", controlEnvVar)
	}
	return out, nil
}

// Package commands holds the commands of zinniactl, one file for each.
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

// Exit codes. They are documented in the help text.
const (
	exitDone     = 0
	exitUsage    = 1 // wrong arguments, unreadable or invalid ticket file
	exitRefused  = 2 // the control VMs refused the request
	exitNoAnswer = 3 // no control VM answered; the fate of a ticket is unknown
	exitNotYet   = 4 // the ticket is accepted but not in force everywhere in time
)

const exitCodeHelp = `Exit codes:
  0  done; for wait: the ticket is in force on every VM
  1  wrong arguments, or an unreadable or invalid ticket file; nothing was sent
  2  the control VMs refused the request; the configuration is unchanged
  3  no control VM gave an answer in time; a filed ticket may be accepted, so
     run the same command again to learn its fate
  4  the ticket is accepted, but it was not in force on every VM in time`

// controlVariable names the control VMs when the flag --control is absent.
const controlVariable = "ZINNIACTL_CONTROL"

// exitError ends the program with a code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// environment is what the commands share.
type environment struct {
	in       io.Reader
	out, err io.Writer
	control  []string
	output   string
	timeout  time.Duration
	clock    zinniatide.Clock
	sleep    func(time.Duration)
	random   *rand.Rand
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	env := &environment{in: in, out: out, err: errOut, clock: clock.New(), sleep: time.Sleep,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return env.execute(args)
}

func (e *environment) execute(args []string) int {
	root := e.rootCommand()
	root.SetArgs(args)
	root.SetIn(e.in)
	root.SetOut(e.out)
	root.SetErr(e.err)
	err := root.Execute()
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(e.err, "zinniactl:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

func (e *environment) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinniactl",
		Short:         "File tickets and show the control state of a zinniatide system",
		Long:          "Zinniactl files tickets and shows the control state of a zinniatide system.\n\n" + exitCodeHelp,
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
	flags.StringSliceVar(&e.control, "control", nil, "HTTP addresses of control VMs, tried in turn (environment: "+controlVariable+")")
	flags.StringVar(&e.output, "output", "table", "table or json")
	flags.DurationVar(&e.timeout, "timeout", 15*time.Second, "time after which the command gives up")
	root.AddCommand(e.fileCommand(), e.checkCommand(), e.stateCommand(), e.historyCommand(), e.statusCommand(), e.waitCommand(), e.followCommand())
	return root
}

// addresses returns the control VMs to ask.
func (e *environment) addresses() ([]string, error) {
	addresses := e.control
	if len(addresses) == 0 {
		addresses = strings.Split(os.Getenv(controlVariable), ",")
	}
	var out []string
	for _, address := range addresses {
		if address = strings.TrimSpace(address); address != "" {
			out = append(out, strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/"))
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no control VM is given; use --control or %s", controlVariable)
	}
	return out, nil
}

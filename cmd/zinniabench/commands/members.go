package commands

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide/cmd/zinniabench/members"
)

// newMembersCommand implements zinniabench members. It hosts the follower control
// VMs and the member VMs of a capacity scenario in a process of their own.
func newMembersCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "members", Short: "Run the follower control VMs and member VMs of a capacity scenario until terminated", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			host, err := members.NewHost()
			if err != nil {
				return err
			}
			defer host.Close()
			failed := make(chan error, 1)
			go func() { failed <- host.Serve(listen) }()
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			select {
			case <-stop:
				return nil
			case err := <-failed:
				return err
			}
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:23400", "IP:port of the HTTP interface that scenarios call")
	return command
}

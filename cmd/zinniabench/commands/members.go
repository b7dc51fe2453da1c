package commands

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"zinniatide.example/zinniatide/cmd/zinniabench/members"
)

// newMembers runs followers and members for the scenarios that need them.
func newMembers() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "members", Short: "Run the followers and members of a capacity scenario until terminated", Args: cobra.NoArgs,
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
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:23400", "IP:port that scenarios call")
	return command
}

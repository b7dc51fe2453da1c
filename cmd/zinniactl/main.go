// Command zinniactl submits tickets to the control VMs of a zinniatide system
// and shows its state.
package main

import (
	"os"

	"zinniatide.example/zinniatide/cmd/zinniactl/internal/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

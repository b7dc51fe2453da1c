// Command zinniactl files tickets and shows the control state.
package main

import (
	"os"

	"zinniatide.example/zinniatide/cmd/zinniactl/internal/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

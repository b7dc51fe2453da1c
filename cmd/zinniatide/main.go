// Command zinniatide runs a process of the query tier.
package main

import (
	"os"

	"zinniatide.example/zinniatide/cmd/zinniatide/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:])) }

// Command zinniabench measures the performance and fault tolerance of the query tier.
package main

import (
	"os"

	"zinniatide.example/zinniatide/cmd/zinniabench/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:])) }

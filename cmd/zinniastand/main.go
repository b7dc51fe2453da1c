// Command zinniastand runs emulated backend servers, and a load generator that
// verifies every answer, for the demo and the benchmarks.
package main

import (
	"os"

	"zinniatide.example/zinniatide/cmd/zinniastand/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:])) }

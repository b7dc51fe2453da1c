// Command zinniastand runs stand-in backend servers and a checking load
// caller for the demo and the measurements.
package main

import (
	"os"

	"zinniatide.example/zinniatide/cmd/zinniastand/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:])) }

package commands

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times of what is live. An entry VM
	// holds a few MB, and collections at the usual 100% took a seventh of its
	// processor time under load.
	gcPercent = 400
	// memoryLimit keeps gcPercent from taking more than a small VM has once
	// much more is live.
	memoryLimit = 1 << 30
)

// tuneCollector sets the garbage collector, except for what the variables GOGC
// and GOMEMLIMIT of the Go runtime set.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

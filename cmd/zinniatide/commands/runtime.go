package commands

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap, which is a few MB
	// on an entry VM, before a garbage collection. At the default of 100%, garbage
	// collections took a seventh of the process's CPU time under load.
	gcPercent = 400
	// memoryLimitBytes keeps the memory of the Go runtime within that of a small VM
	// when the live heap is large, because gcPercent alone would let the heap grow
	// further.
	memoryLimitBytes = 1 << 30
)

// configureGC configures the garbage collector. The environment variables GOGC
// and GOMEMLIMIT of the Go runtime take precedence.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

package commands

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap. The live heap of
	// an entry VM is a few MB, and garbage collection at the default of 100% took
	// a seventh of its CPU time under load.
	gcPercent = 400
	// memoryLimitBytes keeps the heap within the memory of a small VM when the
	// live heap is large, because gcPercent alone would let it grow further.
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

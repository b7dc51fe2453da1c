package soak

import (
	"fmt"
	"os/exec"
	"runtime"

	"golang.org/x/sys/unix"
)

// startOn starts command on the given processors, or on all if the list is empty. A
// process inherits the processors of the thread that starts it.
func startOn(processors []int, command *exec.Cmd) error {
	if len(processors) == 0 {
		return command.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, wanted unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("get processors: %w", err)
	}
	for _, p := range processors {
		wanted.Set(p)
	}
	if err := unix.SchedSetaffinity(0, &wanted); err != nil {
		return fmt.Errorf("set processors %v: %w", processors, err)
	}
	startErr := command.Start()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		return fmt.Errorf("restore processors: %w", err)
	}
	return startErr
}

package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// Guards against broken promises when faults of processes, connections, disks
// and backend servers overlap.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "zinniatide")
	if out, err := exec.Command("go", "build", "-o", program, "zinniatide.example/zinniatide/cmd/zinniatide").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := []uint64{1}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		report, err := Run(Config{Seed: seed, Faults: 6 * time.Second, Program: program, Relays: 3})
		if err != nil {
			t.Errorf("%v\n%v", report, err)
		}
		t.Log(report)
	}
}

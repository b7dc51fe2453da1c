package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressionSeeds are seeds of runs that found a bug, each with its cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{}

// Guards against violated guarantees when faults of processes, connections,
// disks and backend servers overlap.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "zinniatide")
	if out, err := exec.Command("go", "build", "-o", binary, "zinniatide.example/zinniatide/cmd/zinniatide").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := []uint64{1}
	for _, r := range regressionSeeds {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		report, err := Run(Config{Seed: seed, FaultDuration: 6 * time.Second, BinaryPath: binary, Relays: 3})
		if err != nil {
			t.Errorf("%v\n%v", report, err)
		}
		t.Log(report)
	}
}

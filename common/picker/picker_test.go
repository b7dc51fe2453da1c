package picker_test

import (
	"strconv"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
)

// When one VM restarts, keys of the other VMs must not move.
func TestRemovingCandidateMovesOnlyItsKeys(t *testing.T) {
	all := []zinniatide.VMID{"a", "b", "c", "d"}
	for i := range 500 {
		key := strconv.Itoa(i)
		before, after := picker.Pick(key, all), picker.Pick(key, all[:3])
		if before != "d" && before != after {
			t.Fatalf("key %s moved from %s to %s, but only d was removed", key, before, after)
		}
	}
}

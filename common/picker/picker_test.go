package picker_test

import (
	"strconv"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
)

// Guards against a global reshuffle when one VM restarts.
func TestRemovalMovesOnlyItsKeys(t *testing.T) {
	all := []zinniatide.VMID{"a", "b", "c", "d"}
	for i := range 500 {
		key := strconv.Itoa(i)
		before, after := picker.Pick(key, all), picker.Pick(key, all[:3])
		if before != "d" && before != after {
			t.Fatalf("key %s moved from %s to %s though only d left", key, before, after)
		}
	}
}

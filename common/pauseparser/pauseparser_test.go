package pauseparser

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a pause that is ignored, shortened or endless because of the form of
// its value.
func TestParse(t *testing.T) {
	for value, want := range map[string]zinniatide.Millis{
		"": 0, "0": 0, "2": 2000, "0.25": 250, "0.0001": 1, " 1 ": 1000, "-1": Unclear, "soon": Unclear, "NaN": Unclear,
		"Wed, 21 Oct 2026 07:28:00 GMT": Unclear, "1e9": Longest, "1e999": Longest, "+Inf": Longest, "-1e999": Unclear,
	} {
		if got := Parse(value); got != want {
			t.Errorf("%q: got %d ms, want %d", value, got, want)
		}
	}
}

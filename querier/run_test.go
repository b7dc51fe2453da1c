package querier

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a search that omits shards or reports a wrong coverage.
func TestCompleteAnswer(t *testing.T) {
	sim := newSimulation(2, versionSetting(7, 84))
	answer, refusal, _ := sim.search(300, 0)
	if refusal != nil {
		t.Fatal(refusal)
	}
	want := zinniatide.Coverage{ShardsAnswered: 84, ShardsTotal: 84, Ratio: 1}
	if answer.Coverage != want || answer.Version != 7 || answer.Total != 84 || len(answer.Hits) != 10 {
		t.Errorf("got %+v, version %d, total %d, %d hits", answer.Coverage, answer.Version, answer.Total, len(answer.Hits))
	}
	if got := len(sim.sent); got != 84 {
		t.Errorf("got %d sub-requests, want 84", got)
	}
}

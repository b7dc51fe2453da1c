package observer_test

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
)

// Guards against an unreachable server that stays in every query plan, a pause
// that doesn't end, and a pause after an overload of the owner that is as long as
// one after an unreachable server.
func TestPaused(t *testing.T) {
	tests := []struct {
		name    string
		code    zinniatide.Code
		results int
		want    zinniatide.Millis // duration of the pause after the last result
	}{
		{"first unreachable result", zinniatide.CodeServerGone, 1, 100},
		{"third result with an unreachable owner", zinniatide.CodePeerLost, 3, 400},
		{"many unreachable results", zinniatide.CodeServerGone, 12, 2000},
		{"owner overloaded", zinniatide.CodeOverloaded, 1, 100},
		{"owner overloaded for long", zinniatide.CodeOverloaded, 12, 400},
		{"other refusal", zinniatide.CodeNotOwner, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := observer.New()
			server, service, now := table.Server("b1"), table.Service("s"), zinniatide.Millis(1000)
			result := func(r zinniatide.SubResult) {
				server.RecordStart()
				server.RecordResult(service, now, now, &r)
			}
			for i := range test.results {
				if i > 0 {
					for server.Paused(now) {
						now++
					}
				}
				result(zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: test.code})
			}
			got := zinniatide.Millis(0)
			for server.Paused(now + got) {
				got++
			}
			if got != test.want {
				t.Errorf("got a pause of %d ms, want %d", got, test.want)
			}
			result(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone})
			if server.Paused(now) {
				t.Error("got a pause after an answer, want none")
			}
		})
	}
}

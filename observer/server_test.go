package observer_test

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
)

// Guards against a lost server that every query plans again, against a pause
// that never ends, and against a cold server that is avoided longer than its
// pacing needs.
func TestPauses(t *testing.T) {
	tests := []struct {
		name    string
		code    zinniatide.Code
		results int
		want    zinniatide.Millis // pause after the last result
	}{
		{"first loss", zinniatide.CodeServerGone, 1, 100},
		{"third loss of the owner", zinniatide.CodePeerLost, 3, 400},
		{"many losses", zinniatide.CodeServerGone, 12, 2000},
		{"owner without room", zinniatide.CodeOverloaded, 1, 100},
		{"owner without room for long", zinniatide.CodeOverloaded, 12, 400},
		{"other refusal", zinniatide.CodeNotOwner, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := observer.New()
			server, service, now := table.Server("b1"), table.Service("s"), zinniatide.Millis(1000)
			result := func(r zinniatide.SubResult) {
				server.Begin()
				server.Result(service, now, now, &r)
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

package querier

import (
	"testing"

	"zinniatide.example/zinniatide"
)

func crash() *zinniatide.SubResult { return lost(zinniatide.CodeServerGone, true) }

// Guards against a new fingerprint that reaches more servers than it may lose,
// and against canaries that cost extra sub-requests or time without end.
func TestCanary(t *testing.T) {
	never := func(*world, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 0, nil }
	nth := func(n int, special, rest reply) reply { // special for the first n sub-requests
		return func(w *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
			if n--; n >= 0 {
				return special(w, r)
			}
			return rest(w, r)
		}
	}
	tests := []struct {
		name     string
		servers  int
		reply    reply
		permit   func(*world) (bool, bool)
		answered int
		code     zinniatide.Code
		outcome  zinniatide.Outcome
		canaries int // sub-requests during the canary phase
		sent     int
		crashes  int
	}{
		{"sound", 2, always(done(1)), nil, 84, "", "", 1, 84, 0},
		{"deadly", 2, always(crash()), nil, 0, "quarantined", "unknown", 2, 2, 2},
		{"deadly after one strike", 1, always(crash()), nil, 0, "quarantined", "unknown", 1, 1, 1},
		{"one crash for another reason", 2, nth(1, always(crash()), always(done(1))), nil, 84, "", "", 2, 85, 1},
		{"slow canary is hedged", 2, nth(1, never, always(done(1))), nil, 84, "", "", 2, 85, 0},
		{"slow canary is not hedged after a strike until the others are sent", 1, nth(1, never, always(done(1))), nil, 84, "", "", 1, 85, 0},
		{"two silent canaries hold the others back for a while only", 2, nth(2, never, always(done(1))), nil, 83, "", "", 2, 85, 0},
		{"canary is shed", 2, nth(1, always(refuse(zinniatide.CodeShed)), always(done(1))), nil, 84, "", "", 2, 85, 0},
		{"a later crash, retry permitted", 2, nth(3, nth(2, always(done(1)), always(crash())), always(done(1))), nil, 84, "", "", 1, 85, 1},
		{"a later crash, retry denied", 2, nth(3, nth(2, always(done(1)), always(crash())), always(done(1))), func(*world) (bool, bool) { return false, false }, 83, "", "", 1, 84, 1},
		{"a later crash, quarantined meanwhile", 2, nth(3, nth(2, always(done(1)), always(crash())), never), func(*world) (bool, bool) { return false, true }, 0, "quarantined", "unknown", 1, 84, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(2, version(7, 84))
			w.budgets.hedges.tokens = 10
			w.reply = test.reply
			if test.permit != nil {
				w.permit = test.permit
			}
			// Hedges of the fan-out would blur the counts.
			w.config.HedgesPerShard = 1
			answer, refusal, took := w.search(600, test.servers)
			if refusal == nil {
				refusal = &zinniatide.Refusal{}
			}
			if refusal.Code != test.code || refusal.Outcome != test.outcome || answer.Coverage.ShardsAnswered != test.answered {
				t.Errorf("got %q, %q, %d shards, want %q, %q, %d", refusal.Code, refusal.Outcome, answer.Coverage.ShardsAnswered, test.code, test.outcome, test.answered)
			}
			if w.canary != test.canaries || len(w.sent) != test.sent || w.crashes != test.crashes || took > 600 {
				t.Errorf("got %d canaries, %d sent, %d crashes, %d ms, want %d, %d, %d", w.canary, len(w.sent), w.crashes, took, test.canaries, test.sent, test.crashes)
			}
		})
	}
}

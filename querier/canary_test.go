package querier

import (
	"testing"

	"zinniatide.example/zinniatide"
)

func crashResult() *zinniatide.SubResult { return lostResult(zinniatide.CodeServerGone, true) }

// Guards against a new fingerprint being sent to more servers than it may crash,
// and against canaries that cost an unlimited number of extra sub-requests or
// wait forever.
func TestCanary(t *testing.T) {
	never := func(*simulation, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 0, nil }
	firstN := func(n int, special, rest replyFunc) replyFunc { // replies with special to the first n sub-requests
		return func(sim *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
			if n--; n >= 0 {
				return special(sim, r)
			}
			return rest(sim, r)
		}
	}
	tests := []struct {
		name             string
		maxCanaryServers int // 1 after an earlier crash of the fingerprint
		reply            replyFunc
		permit           func(*simulation) (bool, bool)
		answered         int
		code             zinniatide.Code
		outcome          zinniatide.Outcome
		canaries         int // sub-requests during the canary phase
		sent             int
		crashes          int
	}{
		{"healthy", 2, alwaysReply(okResult(1)), nil, 84, "", "", 1, 84, 0},
		{"crashes every server", 2, alwaysReply(crashResult()), nil, 0, "quarantined", "unknown", 2, 2, 2},
		{"crashes every server, one earlier crash", 1, alwaysReply(crashResult()), nil, 0, "quarantined", "unknown", 1, 1, 1},
		{"one unrelated crash", 2, firstN(1, alwaysReply(crashResult()), alwaysReply(okResult(1))), nil, 84, "", "", 2, 85, 1},
		{"slow canary is hedged", 2, firstN(1, never, alwaysReply(okResult(1))), nil, 84, "", "", 2, 85, 0},
		{"after a crash a slow canary is hedged only once the other shards are sent", 1, firstN(1, never, alwaysReply(okResult(1))), nil, 84, "", "", 1, 85, 0},
		{"two unanswered canaries delay the other shards only until the timeout", 2, firstN(2, never, alwaysReply(okResult(1))), nil, 83, "", "", 2, 85, 0},
		{"canary is shed", 2, firstN(1, alwaysReply(refusedResult(zinniatide.CodeShed)), alwaysReply(okResult(1))), nil, 84, "", "", 2, 85, 0},
		// In the next three tests only the third sub-request crashes its server.
		{"crash after the canary, retry permitted", 2, firstN(3, firstN(2, alwaysReply(okResult(1)), alwaysReply(crashResult())), alwaysReply(okResult(1))), nil, 84, "", "", 1, 85, 1},
		{"crash after the canary, retry denied", 2, firstN(3, firstN(2, alwaysReply(okResult(1)), alwaysReply(crashResult())), alwaysReply(okResult(1))), func(*simulation) (bool, bool) { return false, false }, 83, "", "", 1, 84, 1},
		{"crash after the canary, quarantined meanwhile", 2, firstN(3, firstN(2, alwaysReply(okResult(1)), alwaysReply(crashResult())), never), func(*simulation) (bool, bool) { return false, true }, 0, "quarantined", "unknown", 1, 84, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(2, versionSetting(7, 84))
			sim.budgets.hedges.tokens = 10
			sim.reply = test.reply
			if test.permit != nil {
				sim.decideRetry = test.permit
			}
			// A second hedge per shard would make the counts unpredictable.
			sim.config.HedgesPerShard = 1
			answer, refusal, took := sim.search(600, test.maxCanaryServers)
			if refusal == nil {
				refusal = &zinniatide.Refusal{}
			}
			if refusal.Code != test.code || refusal.Outcome != test.outcome || answer.Coverage.ShardsAnswered != test.answered {
				t.Errorf("got %q, %q, %d shards, want %q, %q, %d", refusal.Code, refusal.Outcome, answer.Coverage.ShardsAnswered, test.code, test.outcome, test.answered)
			}
			if sim.canaryRequests != test.canaries || len(sim.sent) != test.sent || sim.crashes != test.crashes || took > 600 {
				t.Errorf("got %d canaries, %d sent, %d crashes, %d ms, want %d, %d, %d", sim.canaryRequests, len(sim.sent), sim.crashes, took, test.canaries, test.sent, test.crashes)
			}
		})
	}
}

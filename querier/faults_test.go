package querier

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
)

type replyFunc = func(sim *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult)

// onlyVersion answers for one version and refuses all others with wrong-version.
func onlyVersion(number zinniatide.IndexVersion) replyFunc {
	return func(_ *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if r.Version != number {
			return 2, refusedResult(zinniatide.CodeWrongVersion)
		}
		return 5, okResult(1)
	}
}

func alwaysReply(result *zinniatide.SubResult) replyFunc {
	return func(*simulation, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 5, result }
}

// onShard replies with special for the shard that starts at key first, and with
// an answer for all others.
func onShard(first uint32, special replyFunc) replyFunc {
	return func(sim *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if r.Range.First == first {
			return special(sim, r)
		}
		return 5, okResult(1)
	}
}

// Guards against a wrong coverage, a wrong outcome, and endless or missing
// retries after server faults.
func TestFaults(t *testing.T) {
	drainFirstShard := func(versions ...zinniatide.IndexVersion) func(*simulation) {
		return func(sim *simulation) {
			sim.changeServers(func(s *zinniatide.ServerStatus) {
				if v := s.Offers[0].Searchers[0]; v.First == 0 && slices.Contains(versions, v.Version) {
					s.Draining = true
				}
			})
		}
	}
	tests := []struct {
		name     string
		versions []zinniatide.IndexVersionSetting
		change   func(*simulation)
		reply    replyFunc
		version  zinniatide.IndexVersion
		answered int
		code     zinniatide.Code
		outcome  zinniatide.Outcome
		sent     int // sub-requests; 0 skips the check
	}{
		{"shard without a server", []zinniatide.IndexVersionSetting{versionSetting(7, 4)}, drainFirstShard(7), alwaysReply(okResult(1)), 7, 3, "", "", 3},
		{"older complete version is preferred", []zinniatide.IndexVersionSetting{versionSetting(7, 4), versionSetting(8, 2)}, drainFirstShard(8), alwaysReply(okResult(1)), 7, 4, "", "", 4},
		{"version was removed from the servers", []zinniatide.IndexVersionSetting{versionSetting(7, 4), versionSetting(8, 2)}, nil, onlyVersion(7), 7, 4, "", "", 0},
		{"other version does not cover more", []zinniatide.IndexVersionSetting{versionSetting(7, 4), versionSetting(8, 4)}, drainFirstShard(7), onShard(0, alwaysReply(refusedResult(zinniatide.CodeWrongVersion))), 8, 3, "", "", 5},
		{"no time for a restart", []zinniatide.IndexVersionSetting{versionSetting(7, 1), versionSetting(8, 1)}, func(sim *simulation) {
			sim.observer.Service("s").Sample(sim.now, 299)
		}, onlyVersion(7), 0, 0, "wrong-version", "not-run", 2},
		{"all replicas shed", []zinniatide.IndexVersionSetting{versionSetting(7, 2)}, nil, alwaysReply(refusedResult(zinniatide.CodeShed)), 0, 0, "shed", "not-run", 0},
		{"all replicas are lost", []zinniatide.IndexVersionSetting{versionSetting(7, 2)}, nil, alwaysReply(lostResult(zinniatide.CodeServerGone, false)), 0, 0, "server-gone", "unknown", 4},
		{"one shard is lost", []zinniatide.IndexVersionSetting{versionSetting(7, 2)}, nil, onShard(0, alwaysReply(lostResult(zinniatide.CodeServerGone, false))), 7, 1, "", "", 3},
		{"answers of one shard are malformed", []zinniatide.IndexVersionSetting{versionSetting(7, 2)}, nil, onShard(0, alwaysReply(&zinniatide.SubResult{Outcome: "done", Body: []byte(`{"total":1,"hits":[`)})), 7, 1, "", "", 3},
		{"one shard never answers", []zinniatide.IndexVersionSetting{versionSetting(7, 2)}, nil, onShard(0, func(*simulation, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 0, nil }), 7, 1, "", "", 0},
		{"no shard answers", []zinniatide.IndexVersionSetting{versionSetting(7, 2)}, nil, func(*simulation, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 0, nil }, 0, 0, "deadline-passed", "unknown", 0},
		{"servers have no owner", []zinniatide.IndexVersionSetting{versionSetting(7, 1)}, nil, alwaysReply(refusedResult(zinniatide.CodeNotOwner)), 0, 0, "not-owner", "not-run", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(2, test.versions...)
			sim.reply = test.reply
			if test.change != nil {
				test.change(sim)
			}
			answer, refusal, took := sim.search(300, 0)
			if took > 300 {
				t.Errorf("took %d ms of 300", took)
			}
			if refusal == nil {
				refusal = &zinniatide.Refusal{}
			}
			if refusal.Code != test.code || refusal.Outcome != test.outcome {
				t.Errorf("got refusal %q, %q, want %q, %q", refusal.Code, refusal.Outcome, test.code, test.outcome)
			}
			if answer.Version != test.version || answer.Coverage.ShardsAnswered != test.answered || int(answer.Total) != test.answered {
				t.Errorf("got version %d, %+v, total %d, want version %d, %d shards", answer.Version, answer.Coverage, answer.Total, test.version, test.answered)
			}
			if test.sent > 0 && len(sim.sent) != test.sent {
				t.Errorf("got %d sub-requests, want %d", len(sim.sent), test.sent)
			}
		})
	}
}

// Guards against late or duplicate results, or results of another version, being
// merged into an answer.
func TestIgnoresLateAndDuplicateResults(t *testing.T) {
	sim := newSimulation(2, versionSetting(7, 4), versionSetting(8, 4))
	sim.reply = func(sim *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		run, generation, index := sim.run, len(sim.run.generations)-1, len(sim.sent)-1
		if r.Version == 8 && r.Range.First != 0 {
			// Arrives after the restart on version 7.
			sim.schedule(sim.now+8, func(now zinniatide.Millis) { run.handleResult(now, generation, index, *okResult(1000)) })
			return 9, okResult(1000)
		}
		if r.Version == 8 {
			return 2, refusedResult(zinniatide.CodeWrongVersion)
		}
		sim.schedule(sim.now+10, func(now zinniatide.Millis) { run.handleResult(now, generation, 0, *okResult(1)) })
		sim.schedule(sim.now+11, func(now zinniatide.Millis) { run.handleResult(now, generation, 1, *okResult(1)) })
		return 12, okResult(1)
	}
	answer, refusal, _ := sim.search(300, 0)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if answer.Version != 7 || answer.Total != 4 || answer.Coverage.ShardsAnswered != 4 {
		t.Errorf("got version %d, total %d, %+v, want version 7, total 4, 4 shards", answer.Version, answer.Total, answer.Coverage)
	}
	ids := map[zinniatide.RequestID]zinniatide.IndexVersion{}
	for i := range sim.sent {
		id := sim.sent[i].RequestID
		if v, seen := ids[id]; seen && v != sim.sent[i].Version {
			t.Errorf("request id %q was used for versions %d and %d", id, v, sim.sent[i].Version)
		}
		if !strings.HasPrefix(string(id), "q~") {
			t.Errorf("request id %q does not start with the caller's id", id)
		}
		ids[id] = sim.sent[i].Version
	}
	if sim.now += 100; len(sim.events) > 0 { // results after the end must be ignored
		for _, e := range sim.events {
			e.handle(sim.now)
		}
	}
}

// Guards against a search that fails while a bucket moves to another VM.
func TestSearchWaitsForHandover(t *testing.T) {
	sim := newSimulation(1, versionSetting(7, 2))
	start := sim.now
	sim.reply = onShard(0, func(sim *simulation, _ *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if sim.now < start+40 {
			return 1, refusedResult(zinniatide.CodeNotOwner)
		}
		return 5, okResult(1)
	})
	answer, refusal, _ := sim.search(300, 0)
	if refusal != nil || answer.Coverage.Ratio != 1 {
		t.Errorf("after not-owner got %+v, %v, want the complete answer", answer.Coverage, refusal)
	}
	sim.changeServers(func(s *zinniatide.ServerStatus) { s.Owner = "" })
	sim.reply = alwaysReply(okResult(1))
	sim.schedule(sim.now+30, func(zinniatide.Millis) { sim.changeServers(func(s *zinniatide.ServerStatus) { s.Owner = "e2" }) })
	answer, refusal, _ = sim.search(300, 0)
	if refusal != nil || answer.Coverage.Ratio != 1 {
		t.Errorf("without an owner got %+v, %v, want the complete answer", answer.Coverage, refusal)
	}
}

// Guards against retries that multiply the load of servers that shed requests.
func TestRetryBudget(t *testing.T) {
	sim := newSimulation(3, versionSetting(7, 50))
	sim.reply = alwaysReply(refusedResult(zinniatide.CodeShed))
	const queries = 40
	for range queries {
		sim.search(300, 0)
	}
	first := queries * 50
	if got, limit := len(sim.sent)-first, first/10+int(sim.config.RetryBurst); got > limit || got < first/20 {
		t.Errorf("got %d retries, want %d to %d", got, first/20, limit)
	}
}

// measureLatencies runs searches on servers of which 1% are always slow. It
// returns the sorted durations and the number of extra sub-requests.
func measureLatencies(sim *simulation, queries int) ([]zinniatide.Millis, int) {
	random := rand.New(rand.NewPCG(3, 4))
	slow := map[zinniatide.BackendServerID]bool{}
	for i := range sim.catalog.Servers {
		slow[sim.catalog.Servers[i].Server] = random.IntN(100) == 0
	}
	sim.reply = func(_ *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if slow[r.Server] {
			return zinniatide.Millis(400 + random.IntN(100)), okResult(1)
		}
		return zinniatide.Millis(4 + random.IntN(5) + random.IntN(5)), okResult(1)
	}
	var took []zinniatide.Millis
	for range queries {
		_, _, d := sim.search(2000, 0)
		took = append(took, d)
		sim.now += 3
	}
	slices.Sort(took)
	return took, len(sim.sent) - queries*84
}

// Guards against hedges that are sent too late to help or exceed their budget.
// Time is virtual, so the results do not depend on the machine.
func TestHedgingWithSlowSearchers(t *testing.T) {
	const queries, p99 = 1000, 990
	measure := func(name string, fraction float64, random bool) (zinniatide.Millis, int) {
		sim := newSimulation(2, versionSetting(7, 84))
		sim.config.HedgeFraction, sim.config.RandomReplica = fraction, random
		sim.budgets = newRequestBudgets(&sim.config)
		took, extra := measureLatencies(sim, queries)
		t.Logf("%s: p50 %d, p99 %d, %d extra sub-requests of %d", name, took[queries/2], took[p99], extra, queries*84)
		return took[p99], extra
	}
	plain, none := measure("one try", 0, true)
	if none != 0 {
		t.Errorf("got %d extra sub-requests without hedging, want 0", none)
	}
	for _, test := range []struct {
		name   string
		random bool
	}{{"hedging, random replica", true}, {"hedging, power of two choices", false}} {
		hedged, extra := measure(test.name, 0.02, test.random)
		if hedged*5 > plain {
			t.Errorf("%s: got p99 %d, %d with one try, want 5 times less", test.name, hedged, plain)
		}
		if limit := queries * 84 / 50; extra > limit || extra == 0 {
			t.Errorf("%s: got %d hedges, want 1 to %d", test.name, extra, limit)
		}
	}
}

// Guards against combinations of faults that make a search send a shard twice to
// the same server, exceed its deadline, miscount attempts or report a wrong
// coverage.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 3).Draw(t, "replicas"), versionSetting(7, uint32(rapid.IntRange(1, 6).Draw(t, "shards"))), versionSetting(8, 3))
		sim.budgets.hedges.tokens = 5
		type attemptKey struct {
			server  zinniatide.BackendServerID
			version zinniatide.IndexVersion
		}
		repeatable := map[attemptKey]bool{}
		sim.reply = func(_ *simulation, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
			key := attemptKey{r.Server, r.Version}
			if again, seen := repeatable[key]; seen && !again {
				t.Errorf("server %s was tried again", r.Server)
			}
			results := []*zinniatide.SubResult{okResult(1), okResult(1), nil, crashResult(), lostResult(zinniatide.CodePeerLost, false),
				refusedResult(zinniatide.CodeWrongVersion), refusedResult(zinniatide.CodeShed), refusedResult(zinniatide.CodeNotOwner),
				okResult(0)} // malformed: more hits than the total
			n := rapid.IntRange(0, len(results)-1).Draw(t, "result")
			repeatable[key] = n == 6 || n == 7 // after shed and not-owner the server may be tried again
			return zinniatide.Millis(rapid.IntRange(0, 150).Draw(t, "delay")), results[n]
		}
		answer, refusal, took := sim.search(200, rapid.IntRange(0, 2).Draw(t, "canary"))
		if took > 200 {
			t.Errorf("took %d ms of 200", took)
		}
		if refusal == nil && answer.Coverage.ShardsAnswered != int(answer.Total) {
			t.Errorf("got %d shards, total %d", answer.Coverage.ShardsAnswered, answer.Total)
		}
		abandoned := 0
		for _, g := range sim.run.generations {
			for i := range g.attempts {
				if !g.attempts[i].wanted {
					abandoned++
				}
			}
			for i, s := range g.shards {
				if s.inFlight != 0 {
					t.Errorf("shard %d: got %d in flight after the end", i, s.inFlight)
				}
			}
		}
		if sim.cancels != abandoned {
			t.Errorf("got %d cancellations, want %d", sim.cancels, abandoned)
		}
		for _, e := range sim.events { // results after the end must be ignored
			e.handle(sim.now + 1000)
		}
	})
}

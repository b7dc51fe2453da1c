package querier

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
)

type reply = func(w *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult)

// ofVersion answers for one version and refuses all others as wrong.
func ofVersion(number zinniatide.IndexVersion) reply {
	return func(_ *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if r.Version != number {
			return 2, refuse(zinniatide.CodeWrongVersion)
		}
		return 5, done(1)
	}
}

func always(result *zinniatide.SubResult) reply {
	return func(*world, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 5, result }
}

// onShard uses special for the shard that starts at first, and answers others.
func onShard(first uint32, special reply) reply {
	return func(w *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if r.Range.First == first {
			return special(w, r)
		}
		return 5, done(1)
	}
}

// Guards against wrong coverage, an outcome that is not true, and endless or
// missing retries after each fault of servers.
func TestFaults(t *testing.T) {
	unserve := func(versions ...zinniatide.IndexVersion) func(*world) {
		return func(w *world) {
			w.edit(func(s *zinniatide.ServerStatus) {
				if v := s.Offers[0].Searchers[0]; v.First == 0 && slices.Contains(versions, v.Version) {
					s.Draining = true
				}
			})
		}
	}
	tests := []struct {
		name     string
		versions []zinniatide.IndexVersionSetting
		change   func(*world)
		reply    reply
		version  zinniatide.IndexVersion
		answered int
		code     zinniatide.Code
		outcome  zinniatide.Outcome
		sent     int
	}{
		{"a shard that nobody serves", []zinniatide.IndexVersionSetting{version(7, 4)}, unserve(7), always(done(1)), 7, 3, "", "", 3},
		{"an older whole version is preferred", []zinniatide.IndexVersionSetting{version(7, 4), version(8, 2)}, unserve(8), always(done(1)), 7, 4, "", "", 4},
		{"the version has disappeared", []zinniatide.IndexVersionSetting{version(7, 4), version(8, 2)}, nil, ofVersion(7), 7, 4, "", "", 0},
		{"the other version covers no more", []zinniatide.IndexVersionSetting{version(7, 4), version(8, 4)}, unserve(7), onShard(0, always(refuse(zinniatide.CodeWrongVersion))), 8, 3, "", "", 5},
		{"no time for a restart", []zinniatide.IndexVersionSetting{version(7, 1), version(8, 1)}, func(w *world) {
			w.table.Service("s").Sample(w.now, 299)
		}, ofVersion(7), 0, 0, "wrong-version", "not-run", 2},
		{"all replicas shed", []zinniatide.IndexVersionSetting{version(7, 2)}, nil, always(refuse(zinniatide.CodeShed)), 0, 0, "shed", "not-run", 0},
		{"all replicas are lost", []zinniatide.IndexVersionSetting{version(7, 2)}, nil, always(lost(zinniatide.CodeServerGone, false)), 0, 0, "server-gone", "unknown", 4},
		{"one shard is lost", []zinniatide.IndexVersionSetting{version(7, 2)}, nil, onShard(0, always(lost(zinniatide.CodeServerGone, false))), 7, 1, "", "", 3},
		{"answers of one shard are malformed", []zinniatide.IndexVersionSetting{version(7, 2)}, nil, onShard(0, always(&zinniatide.SubResult{Outcome: "done", Body: []byte(`{"total":1,"hits":[`)})), 7, 1, "", "", 3},
		{"one shard never answers", []zinniatide.IndexVersionSetting{version(7, 2)}, nil, onShard(0, func(*world, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 0, nil }), 7, 1, "", "", 0},
		{"nothing answers", []zinniatide.IndexVersionSetting{version(7, 2)}, nil, func(*world, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 0, nil }, 0, 0, "deadline-passed", "unknown", 0},
		{"nobody owns the servers", []zinniatide.IndexVersionSetting{version(7, 1)}, nil, always(refuse(zinniatide.CodeNotOwner)), 0, 0, "not-owner", "not-run", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(2, test.versions...)
			w.reply = test.reply
			if test.change != nil {
				test.change(w)
			}
			answer, refusal, took := w.search(300, 0)
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
			if test.sent > 0 && len(w.sent) != test.sent {
				t.Errorf("got %d sub-requests, want %d", len(w.sent), test.sent)
			}
		})
	}
}

// Guards against results that are late, doubled or crossed between versions
// entering an answer.
func TestLateDoubledAndCrossedResults(t *testing.T) {
	w := newWorld(2, version(7, 4), version(8, 4))
	w.reply = func(w *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		run, gen, number := w.run, len(w.run.gens)-1, len(w.sent)-1
		if r.Version == 8 && r.Range.First != 0 {
			// Arrives while the query runs on version 7.
			w.at(w.now+8, func(now zinniatide.Millis) { run.result(now, gen, number, *done(1000)) })
			return 9, done(1000)
		}
		if r.Version == 8 {
			return 2, refuse(zinniatide.CodeWrongVersion)
		}
		w.at(w.now+10, func(now zinniatide.Millis) { run.result(now, gen, 0, *done(1)) })
		w.at(w.now+11, func(now zinniatide.Millis) { run.result(now, gen, 1, *done(1)) })
		return 12, done(1)
	}
	answer, refusal, _ := w.search(300, 0)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if answer.Version != 7 || answer.Total != 4 || answer.Coverage.ShardsAnswered != 4 {
		t.Errorf("got version %d, total %d, %+v, want version 7, total 4, 4 shards", answer.Version, answer.Total, answer.Coverage)
	}
	ids := map[zinniatide.RequestID]zinniatide.IndexVersion{}
	for i := range w.sent {
		id := w.sent[i].RequestID
		if v, seen := ids[id]; seen && v != w.sent[i].Version {
			t.Errorf("request id %q was used for versions %d and %d", id, v, w.sent[i].Version)
		}
		if !strings.HasPrefix(string(id), "q~") {
			t.Errorf("request id %q does not name the caller's", id)
		}
		ids[id] = w.sent[i].Version
	}
	if w.now += 100; len(w.events) > 0 { // what is still on its way must be harmless
		for _, e := range w.events {
			e.do(w.now)
		}
	}
}

// Guards against a query that fails while buckets are handed over.
func TestHandOverIsWaitedFor(t *testing.T) {
	w := newWorld(1, version(7, 2))
	start := w.now
	w.reply = onShard(0, func(w *world, _ *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if w.now < start+40 {
			return 1, refuse(zinniatide.CodeNotOwner)
		}
		return 5, done(1)
	})
	answer, refusal, _ := w.search(300, 0)
	if refusal != nil || answer.Coverage.Ratio != 1 {
		t.Errorf("after not-owner got %+v, %v, want the whole answer", answer.Coverage, refusal)
	}
	w.edit(func(s *zinniatide.ServerStatus) { s.Owner = "" })
	w.reply = always(done(1))
	w.at(w.now+30, func(zinniatide.Millis) { w.edit(func(s *zinniatide.ServerStatus) { s.Owner = "e2" }) })
	answer, refusal, _ = w.search(300, 0)
	if refusal != nil || answer.Coverage.Ratio != 1 {
		t.Errorf("without an owner got %+v, %v, want the whole answer", answer.Coverage, refusal)
	}
}

// Guards against retries that multiply the load of servers that refuse.
func TestRetryBudget(t *testing.T) {
	w := newWorld(3, version(7, 50))
	w.reply = always(refuse(zinniatide.CodeShed))
	const queries = 40
	for range queries {
		w.search(300, 0)
	}
	first := queries * 50
	if got, limit := len(w.sent)-first, first/10+int(w.config.RetryBurst); got > limit || got < first/20 {
		t.Errorf("got %d retries, want %d to %d", got, first/20, limit)
	}
}

// latencies runs queries over servers of which 1% are slow all the time, and
// returns their sorted durations and the number of extra sub-requests.
func latencies(w *world, queries int) ([]zinniatide.Millis, int) {
	random := rand.New(rand.NewPCG(3, 4))
	slow := map[zinniatide.BackendServerID]bool{}
	for i := range w.catalog.Servers {
		slow[w.catalog.Servers[i].Server] = random.IntN(100) == 0
	}
	w.reply = func(_ *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
		if slow[r.Server] {
			return zinniatide.Millis(400 + random.IntN(100)), done(1)
		}
		return zinniatide.Millis(4 + random.IntN(5) + random.IntN(5)), done(1)
	}
	var took []zinniatide.Millis
	for range queries {
		_, _, d := w.search(2000, 0)
		took = append(took, d)
		w.now += 3
	}
	slices.Sort(took)
	return took, len(w.sent) - queries*84
}

// Guards against hedges that come too late to help, or that cost more than
// their budget. Time is virtual, so the figures do not depend on the machine.
func TestHedgingUnderSlowSearchers(t *testing.T) {
	const queries, p99 = 1000, 990
	measure := func(name string, fraction float64, random bool) (zinniatide.Millis, int) {
		w := newWorld(2, version(7, 84))
		w.config.HedgeFraction, w.config.RandomReplica = fraction, random
		w.budgets = newBudgets(&w.config)
		took, extra := latencies(w, queries)
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

// Guards against any mix of faults that makes a query ask a server twice for a
// shard, outlive its deadline, lose count or answer with another coverage.
func TestAnyMixOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 3).Draw(t, "replicas"), version(7, uint32(rapid.IntRange(1, 6).Draw(t, "shards"))), version(8, 3))
		w.budgets.hedges.tokens = 5
		type asked struct {
			server  zinniatide.BackendServerID
			version zinniatide.IndexVersion
		}
		repeatable := map[asked]bool{}
		w.reply = func(_ *world, r *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
			a := asked{r.Server, r.Version}
			if again, seen := repeatable[a]; seen && !again {
				t.Errorf("server %s was asked again", r.Server)
			}
			results := []*zinniatide.SubResult{done(1), done(1), nil, crash(), lost(zinniatide.CodePeerLost, false),
				refuse(zinniatide.CodeWrongVersion), refuse(zinniatide.CodeShed), refuse(zinniatide.CodeNotOwner), done(0)}
			n := rapid.IntRange(0, len(results)-1).Draw(t, "result")
			repeatable[a] = n == 6 || n == 7
			return zinniatide.Millis(rapid.IntRange(0, 150).Draw(t, "delay")), results[n]
		}
		answer, refusal, took := w.search(200, rapid.IntRange(0, 2).Draw(t, "canary"))
		if took > 200 {
			t.Errorf("took %d ms of 200", took)
		}
		if refusal == nil && answer.Coverage.ShardsAnswered != int(answer.Total) {
			t.Errorf("got %d shards, total %d", answer.Coverage.ShardsAnswered, answer.Total)
		}
		abandoned := 0
		for _, g := range w.run.gens {
			for i := range g.attempts {
				if !g.attempts[i].kept {
					abandoned++
				}
			}
			for i, s := range g.shards {
				if s.pending != 0 {
					t.Errorf("shard %d: got %d in flight after the end", i, s.pending)
				}
			}
		}
		if w.cancels != abandoned {
			t.Errorf("got %d cancellations, want %d", w.cancels, abandoned)
		}
		for _, e := range w.events {
			e.do(w.now + 1000)
		}
	})
}

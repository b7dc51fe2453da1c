package executor_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/executor"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testEnvironment implements the dependencies of an Executor, with a scripted
// claim store and forwarder. The last entry of a script is repeated.
type testEnvironment struct {
	mu            sync.Mutex
	clock         zinniatide.Clock
	catalog       *zinniatide.Catalog
	configuration *zinniatide.Configuration
	claimScript   []func(c zinniatide.Claim, done func(zinniatide.ClaimReply, error))
	forwardScript []func(r zinniatide.SubRequest, done func(zinniatide.SubResult))
	claims        []zinniatide.Claim
	sent          []zinniatide.SubRequest
	finished      []zinniatide.ClaimResult
	lease         zinniatide.Millis
	quarantiner   *quarantiner.Quarantiner
}

// noopLinker is the Linker of a VM without peers.
type noopLinker struct{ zinniatide.Linker }

func (noopLinker) Handle(zinniatide.MessageKind, zinniatide.LinkHandler) {}

func (env *testEnvironment) Configuration() *zinniatide.Configuration { return env.configuration }
func (env *testEnvironment) LeaseUntil() zinniatide.Millis            { return env.lease }
func (env *testEnvironment) Catalog() *zinniatide.Catalog             { return env.catalog }

func (env *testEnvironment) Claim(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	env.mu.Lock()
	n := min(len(env.claims), len(env.claimScript)-1)
	env.claims = append(env.claims, c)
	env.mu.Unlock()
	env.claimScript[n](c, done)
}

func (env *testEnvironment) Finish(r zinniatide.ClaimResult) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.finished = append(env.finished, r)
}

func (env *testEnvironment) DispatchAll(rs []zinniatide.SubRequest, done func(int, zinniatide.SubResult)) func(int) {
	n := min(len(env.sent), len(env.forwardScript)-1)
	env.sent = append(env.sent, rs...)
	env.forwardScript[n](rs[0], func(r zinniatide.SubResult) { done(0, r) })
	return func(int) {}
}

func grantClaim(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	done(zinniatide.ClaimReply{Granted: true}, nil)
}

func respondWith(r zinniatide.SubResult) func(zinniatide.SubRequest, func(zinniatide.SubResult)) {
	return func(_ zinniatide.SubRequest, done func(zinniatide.SubResult)) { done(r) }
}

func newTestEnvironment(servers int) *testEnvironment {
	env := &testEnvironment{clock: clock.New(), lease: 1 << 40, catalog: &zinniatide.Catalog{}}
	env.configuration = &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{
		"s": {Versions: []zinniatide.IndexVersionSetting{{Version: 3, ShardCount: 1}}},
	}}
	for i := range servers {
		env.catalog.Servers = append(env.catalog.Servers, zinniatide.ServerStatus{Owner: "e1", Announcement: zinniatide.Announcement{
			Server: zinniatide.BackendServerID(fmt.Sprintf("b%d", i)), Slots: 2,
			Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{
				{Version: 3, KeyRange: zinniatide.KeyRange{End: zinniatide.KeySpace}}}}},
		}})
	}
	return env
}

func (env *testEnvironment) executor() *executor.Executor {
	observations := observer.New()
	env.quarantiner = quarantiner.New(quarantiner.DefaultConfig(), quarantiner.Dependencies{VM: "e1", Clock: env.clock, Timer: timer.New(),
		Linker: noopLinker{}, ServingVMs: func() []zinniatide.VMID { return []zinniatide.VMID{"e1"} }})
	return executor.New(executor.DefaultConfig(), executor.Dependencies{
		VM: "e1", Clock: env.clock, Timer: timer.New(), Configurations: env, Claims: env, Forwarder: env, Observer: observations, Quarantiner: env.quarantiner,
		Planner: planner.New(env, env, observations, "a", env.clock, 0), Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func (env *testEnvironment) request() zinniatide.ExecuteRequest {
	return zinniatide.ExecuteRequest{RequestID: "9000-abcdefgh", Expires: 9000, Service: "s", Workspace: "t",
		Deadline: env.clock.Now() + 400, Key: 5, Body: []byte(`{"n":1}`)}
}

// checkResult compares the result of Execute with the expected body, code and
// outcome.
func checkResult(t *testing.T, body []byte, err error, wantBody string, wantCode zinniatide.Code, wantOutcome zinniatide.Outcome) {
	t.Helper()
	var refusal *zinniatide.Refusal
	if !errors.As(err, &refusal) {
		refusal = &zinniatide.Refusal{Outcome: zinniatide.OutcomeDone}
	}
	if string(body) != wantBody || refusal.Code != wantCode || refusal.Outcome != wantOutcome {
		t.Errorf("got %q, code %q, outcome %q, want %q, %q, %q", body, refusal.Code, refusal.Outcome, wantBody, wantCode, wantOutcome)
	}
}

func (env *testEnvironment) checkFinished(t *testing.T, want ...zinniatide.Outcome) {
	t.Helper()
	var got []zinniatide.Outcome
	for _, f := range env.finished {
		got = append(got, f.Outcome)
		if f.Token != env.claims[0].Token {
			t.Errorf("finished with token %d, claimed with %d", f.Token, env.claims[0].Token)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got finished %s, want %s", got, want)
	}
}

// Guards against a request that is dispatched without a granted claim, is
// dispatched again although it may have run, or is recorded with a wrong outcome.
func TestOutcomes(t *testing.T) {
	done := zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(`{"ok":1}`)}
	unknown := zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodePeerLost}
	shed := zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: zinniatide.CodeShed}
	reply := func(r zinniatide.ClaimReply) func(zinniatide.Claim, func(zinniatide.ClaimReply, error)) {
		return func(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) { done(r, nil) }
	}
	tests := []struct {
		name     string
		claim    func(zinniatide.Claim, func(zinniatide.ClaimReply, error))
		results  []zinniatide.SubResult
		body     string
		code     zinniatide.Code
		outcome  zinniatide.Outcome
		sent     int
		finished []zinniatide.Outcome
	}{
		{"done", grantClaim, []zinniatide.SubResult{done}, `{"ok":1}`, "", "done", 1, []zinniatide.Outcome{"done"}},
		{"connection lost while running", grantClaim, []zinniatide.SubResult{unknown, done}, "", "peer-lost", "unknown", 1, []zinniatide.Outcome{"unknown"}},
		{"shed, then done", grantClaim, []zinniatide.SubResult{shed, done}, `{"ok":1}`, "", "done", 2, []zinniatide.Outcome{"done"}},
		{"shed, then lost", grantClaim, []zinniatide.SubResult{shed, unknown, done}, "", "peer-lost", "unknown", 2, []zinniatide.Outcome{"unknown"}},
		{"result without outcome", grantClaim, []zinniatide.SubResult{{}}, "", "internal", "unknown", 1, []zinniatide.Outcome{"unknown"}},
		{"claim held by another VM", reply(zinniatide.ClaimReply{Code: "in-progress"}), nil, "", "in-progress", "unknown", 0, nil},
		{"request id expired", reply(zinniatide.ClaimReply{Code: "request-id-expired"}), nil, "", "request-id-expired", "unknown", 0, nil},
		{"request id reused", reply(zinniatide.ClaimReply{Code: "request-id-reused"}), nil, "", "request-id-reused", "not-run", 0, nil},
		{"result recorded", reply(zinniatide.ClaimReply{Outcome: "done", Body: []byte(`{"ok":2}`)}), nil, `{"ok":2}`, "", "done", 0, nil},
		{"result recorded without body", reply(zinniatide.ClaimReply{Outcome: "done"}), nil, "", "too-large", "done", 0, nil},
		{"outcome recorded as unknown", reply(zinniatide.ClaimReply{Outcome: "unknown"}), nil, "", "in-progress", "unknown", 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnvironment(2)
			env.claimScript = append(env.claimScript, test.claim)
			for _, r := range test.results {
				env.forwardScript = append(env.forwardScript, respondWith(r))
			}
			body, err := env.executor().Execute(env.request())
			checkResult(t, body, err, test.body, test.code, test.outcome)
			if len(env.sent) != test.sent {
				t.Errorf("got %d dispatches, want %d", len(env.sent), test.sent)
			}
			env.checkFinished(t, test.finished...)
			if len(env.sent) == 2 && env.sent[0].Server == env.sent[1].Server {
				t.Errorf("both dispatches went to %s", env.sent[0].Server)
			}
		})
	}
}

// Guards against a lost reply that blocks the request id for good, against a
// dispatch without a granted claim, and against answering not-run although the
// request may run. When the fate of the claim is unknown, not-run is reported at
// the deadline and again for a late grant.
func TestLostClaimReplies(t *testing.T) {
	fail := func(err error) func(zinniatide.Claim, func(zinniatide.ClaimReply, error)) {
		return func(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) { done(zinniatide.ClaimReply{}, err) }
	}
	var late func(zinniatide.ClaimReply, error)
	noReply := func(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) { late = done }
	uncertain := &zinniatide.Refusal{Code: zinniatide.CodeNoQuorum, Outcome: zinniatide.OutcomeUnknown}
	type script = []func(zinniatide.Claim, func(zinniatide.ClaimReply, error))
	tests := []struct {
		name     string
		claim    script
		granted  bool
		finished []zinniatide.Outcome
	}{
		{"reply lost once", script{fail(zinniatide.ErrLinkLost), grantClaim}, true, []zinniatide.Outcome{"done"}},
		{"no reply, then granted", script{noReply, grantClaim}, true, []zinniatide.Outcome{"done"}},
		{"never sent", script{fail(zinniatide.ErrNotSent)}, false, nil},
		{"refused before it was written to the log", script{fail(zinniatide.Refuse(zinniatide.CodeNoQuorum, "no leader"))}, false, nil},
		{"all replies lost", script{fail(zinniatide.ErrLinkLost)}, false, []zinniatide.Outcome{"not-run"}},
		{"unknown whether recorded", script{fail(uncertain)}, false, []zinniatide.Outcome{"not-run"}},
		{"granted after the deadline", script{noReply}, false, []zinniatide.Outcome{"not-run", "not-run"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnvironment(1)
			env.claimScript, late = test.claim, nil
			env.forwardScript = append(env.forwardScript, respondWith(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte("{}")}))
			body, err := env.executor().Execute(env.request())
			if late != nil {
				late(zinniatide.ClaimReply{Granted: true}, nil)
			}
			if test.granted {
				checkResult(t, body, err, "{}", "", "done")
			} else {
				checkResult(t, body, err, "", zinniatide.CodeNoQuorum, "not-run")
			}
			if got := len(env.sent) == 1; got != test.granted {
				t.Errorf("got %d dispatches, granted %t", len(env.sent), test.granted)
			}
			for _, c := range env.claims {
				if c.Token != env.claims[0].Token || c.RequestID != env.claims[0].RequestID {
					t.Errorf("the claim was retried as %+v, first %+v", c, env.claims[0])
				}
			}
			env.checkFinished(t, test.finished...)
		})
	}
}

// Guards against a result after the deadline that is dropped, causes a second
// dispatch, or leaves the canary of its fingerprint open.
func TestResultAfterDeadline(t *testing.T) {
	for _, outcome := range []zinniatide.Outcome{zinniatide.OutcomeDone, zinniatide.OutcomeNotRun, zinniatide.OutcomeUnknown} {
		env := newTestEnvironment(2)
		env.claimScript = append(env.claimScript, grantClaim)
		var late func(zinniatide.SubResult)
		env.forwardScript = append(env.forwardScript, func(_ zinniatide.SubRequest, done func(zinniatide.SubResult)) { late = done })
		r := env.request()
		r.Deadline = env.clock.Now() + 30
		body, err := env.executor().Execute(r)
		checkResult(t, body, err, "", zinniatide.CodeDeadlinePassed, "unknown")
		env.checkFinished(t)
		late(zinniatide.SubResult{Outcome: outcome, Body: []byte("{}")})
		late(zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun}) // duplicate
		env.checkFinished(t, outcome)
		if len(env.sent) != 1 {
			t.Errorf("%s: got %d dispatches, want 1", outcome, len(env.sent))
		}
		if _, refusal := env.quarantiner.Acquire(env.sent[0].Fingerprint, env.clock.Now()+60); refusal != nil {
			t.Errorf("%s: the same request got %v afterwards", outcome, refusal)
		}
	}
}

// Guards against a request that crashes more than two servers when it is repeated
// under new request ids.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	env := newTestEnvironment(5)
	env.claimScript = append(env.claimScript, grantClaim)
	env.forwardScript = append(env.forwardScript, respondWith(zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeServerGone, Crashed: true}))
	x := env.executor()
	for i := range 5 {
		r := env.request()
		r.RequestID = zinniatide.RequestID(fmt.Sprintf("9000-abcdefg%d", i))
		body, err := x.Execute(r)
		if i < 2 {
			checkResult(t, body, err, "", zinniatide.CodeServerGone, "unknown")
		} else {
			checkResult(t, body, err, "", zinniatide.CodeQuarantined, "not-run")
		}
	}
	if len(env.sent) != 2 {
		t.Errorf("got %d dispatches, want 2", len(env.sent))
	}
}

// Guards against a dispatch with a configuration that may be outdated because the
// lease expired during the claim.
func TestLeaseExpiresDuringClaim(t *testing.T) {
	env := newTestEnvironment(1)
	env.claimScript = append(env.claimScript, func(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
		env.lease = 0
		grantClaim(c, done)
	})
	body, err := env.executor().Execute(env.request())
	checkResult(t, body, err, "", zinniatide.CodeNotServing, "not-run")
	env.checkFinished(t, "not-run")
	if len(env.sent) != 0 {
		t.Errorf("got %d dispatches, want none", len(env.sent))
	}
}

// Guards against a request that fails while a bucket moves to another VM, or that
// stays on a version that its server no longer serves, and against recording a
// body above MaxRecordedBody.
func TestRetryAfterRefusal(t *testing.T) {
	env := newTestEnvironment(1)
	env.claimScript = append(env.claimScript, grantClaim)
	refuse := func(code zinniatide.Code) func(zinniatide.SubRequest, func(zinniatide.SubResult)) {
		return respondWith(zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code})
	}
	setting := env.configuration.Services["s"]
	setting.Versions = append(setting.Versions, zinniatide.IndexVersionSetting{Version: 2, ShardCount: 1})
	env.configuration.Services["s"] = setting
	offer := &env.catalog.Servers[0].Offers[0]
	offer.Searchers = append(offer.Searchers, zinniatide.Searcher{Version: 2, KeyRange: zinniatide.KeyRange{End: zinniatide.KeySpace}})
	env.forwardScript = append(env.forwardScript, refuse(zinniatide.CodeWrongVersion), refuse(zinniatide.CodeNotOwner),
		respondWith(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: make([]byte, zinniatide.MaxRecordedBody+1)}))
	body, err := env.executor().Execute(env.request())
	if err != nil || len(body) != zinniatide.MaxRecordedBody+1 {
		t.Fatalf("got %d bytes, %v", len(body), err)
	}
	var versions []zinniatide.IndexVersion
	for _, r := range env.sent {
		versions = append(versions, r.Version)
	}
	if got, want := fmt.Sprint(versions), "[3 2 2]"; got != want {
		t.Errorf("got versions %s, want %s", got, want)
	}
	env.checkFinished(t, "done")
	if len(env.finished[0].Body) != 0 {
		t.Errorf("recorded a body of %d bytes, which exceeds the limit", len(env.finished[0].Body))
	}
}

// Guards against different requests with the same digest.
func TestDigestCoversEveryPart(t *testing.T) {
	base := zinniatide.ExecuteRequest{Service: "s", Workspace: "t", Key: 1, Body: []byte("b")}
	variants := []zinniatide.ExecuteRequest{base, base, base, base, base}
	variants[1].Service, variants[2].Workspace, variants[3].Key, variants[4].Body = "st", "u", 2, []byte("c")
	moved := base
	moved.Service, moved.Workspace = "st", ""
	variants = append(variants, moved)
	seen := map[zinniatide.Fingerprint]int{}
	for i := range variants {
		d := executor.Digest(&variants[i])
		if j, ok := seen[d]; ok {
			t.Errorf("requests %d and %d have the same digest", i, j)
		}
		seen[d] = i
	}
}

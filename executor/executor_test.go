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

// world is the surroundings of an Executor: a claim store and a forwarder that
// follow a script. The last entry of a script is repeated.
type world struct {
	mu       sync.Mutex
	clock    zinniatide.Clock
	catalog  *zinniatide.Catalog
	conf     *zinniatide.Configuration
	claim    []func(c zinniatide.Claim, done func(zinniatide.ClaimReply, error))
	forward  []func(r zinniatide.SubRequest, done func(zinniatide.SubResult))
	claims   []zinniatide.Claim
	sent     []zinniatide.SubRequest
	finished []zinniatide.ClaimResult
	lease    zinniatide.Millis
	guard    *quarantiner.Quarantiner
}

// noLink is the Linker of a VM without peers.
type noLink struct{ zinniatide.Linker }

func (noLink) Handle(zinniatide.MessageKind, zinniatide.LinkHandler) {}

func (w *world) Configuration() *zinniatide.Configuration { return w.conf }
func (w *world) LeaseUntil() zinniatide.Millis            { return w.lease }
func (w *world) Catalog() *zinniatide.Catalog             { return w.catalog }

func (w *world) Claim(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	w.mu.Lock()
	n := min(len(w.claims), len(w.claim)-1)
	w.claims = append(w.claims, c)
	w.mu.Unlock()
	w.claim[n](c, done)
}

func (w *world) Finish(r zinniatide.ClaimResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = append(w.finished, r)
}

func (w *world) DispatchAll(rs []zinniatide.SubRequest, done func(int, zinniatide.SubResult)) func(int) {
	n := min(len(w.sent), len(w.forward)-1)
	w.sent = append(w.sent, rs...)
	w.forward[n](rs[0], func(r zinniatide.SubResult) { done(0, r) })
	return func(int) {}
}

func granted(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	done(zinniatide.ClaimReply{Granted: true}, nil)
}

func answer(r zinniatide.SubResult) func(zinniatide.SubRequest, func(zinniatide.SubResult)) {
	return func(_ zinniatide.SubRequest, done func(zinniatide.SubResult)) { done(r) }
}

func newWorld(servers int) *world {
	w := &world{clock: clock.New(), lease: 1 << 40, catalog: &zinniatide.Catalog{}}
	w.conf = &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{
		"s": {Versions: []zinniatide.IndexVersionSetting{{Version: 3, ShardCount: 1}}},
	}}
	for i := range servers {
		w.catalog.Servers = append(w.catalog.Servers, zinniatide.ServerStatus{Owner: "e1", Announcement: zinniatide.Announcement{
			Server: zinniatide.BackendServerID(fmt.Sprintf("b%d", i)), Slots: 2,
			Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{
				{Version: 3, KeyRange: zinniatide.KeyRange{Last: zinniatide.KeySpace}}}}},
		}})
	}
	return w
}

func (w *world) executor() *executor.Executor {
	table := observer.New()
	w.guard = quarantiner.New(quarantiner.DefaultConfig(), quarantiner.Dependencies{VM: "e1", Clock: w.clock, Timer: timer.New(),
		Linker: noLink{}, ServingVMs: func() []zinniatide.VMID { return []zinniatide.VMID{"e1"} }})
	return executor.New(executor.DefaultConfig(), executor.Dependencies{
		VM: "e1", Clock: w.clock, Timer: timer.New(), Configurations: w, Claims: w, Forwarder: w, Observer: table, Quarantiner: w.guard,
		Planner: planner.New(w, w, table, "a", w.clock, 0), Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func (w *world) request() zinniatide.ExecuteRequest {
	return zinniatide.ExecuteRequest{RequestID: "9000-abcdefgh", Expires: 9000, Service: "s", Tenant: "t",
		Deadline: w.clock.Now() + 400, Key: 5, Body: []byte(`{"n":1}`)}
}

// check compares the result of Execute with the wanted body or code and outcome.
func check(t *testing.T, body []byte, err error, wantBody string, wantCode zinniatide.Code, wantOutcome zinniatide.Outcome) {
	t.Helper()
	var refusal *zinniatide.Refusal
	if !errors.As(err, &refusal) {
		refusal = &zinniatide.Refusal{Outcome: zinniatide.OutcomeDone}
	}
	if string(body) != wantBody || refusal.Code != wantCode || refusal.Outcome != wantOutcome {
		t.Errorf("got %q, code %q, outcome %q, want %q, %q, %q", body, refusal.Code, refusal.Outcome, wantBody, wantCode, wantOutcome)
	}
}

func (w *world) checkFinished(t *testing.T, want ...zinniatide.Outcome) {
	t.Helper()
	var got []zinniatide.Outcome
	for _, f := range w.finished {
		got = append(got, f.Outcome)
		if f.Token != w.claims[0].Token {
			t.Errorf("finished with token %d, claimed with %d", f.Token, w.claims[0].Token)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got finished %s, want %s", got, want)
	}
}

// Guards against a request that is dispatched without a granted claim, twice,
// or recorded with an outcome that it did not have.
func TestOutcomeOfEachStep(t *testing.T) {
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
		{"done", granted, []zinniatide.SubResult{done}, `{"ok":1}`, "", "done", 1, []zinniatide.Outcome{"done"}},
		{"lost while running", granted, []zinniatide.SubResult{unknown, done}, "", "peer-lost", "unknown", 1, []zinniatide.Outcome{"unknown"}},
		{"shed, then done", granted, []zinniatide.SubResult{shed, done}, `{"ok":1}`, "", "done", 2, []zinniatide.Outcome{"done"}},
		{"shed, then lost", granted, []zinniatide.SubResult{shed, unknown, done}, "", "peer-lost", "unknown", 2, []zinniatide.Outcome{"unknown"}},
		{"result without outcome", granted, []zinniatide.SubResult{{}}, "", "internal", "unknown", 1, []zinniatide.Outcome{"unknown"}},
		{"held elsewhere", reply(zinniatide.ClaimReply{Code: "in-progress"}), nil, "", "in-progress", "unknown", 0, nil},
		{"expired", reply(zinniatide.ClaimReply{Code: "request-id-expired"}), nil, "", "request-id-expired", "unknown", 0, nil},
		{"reused", reply(zinniatide.ClaimReply{Code: "request-id-reused"}), nil, "", "request-id-reused", "not-run", 0, nil},
		{"recorded", reply(zinniatide.ClaimReply{Outcome: "done", Body: []byte(`{"ok":2}`)}), nil, `{"ok":2}`, "", "done", 0, nil},
		{"recorded without body", reply(zinniatide.ClaimReply{Outcome: "done"}), nil, "", "too-large", "done", 0, nil},
		{"recorded as unknown", reply(zinniatide.ClaimReply{Outcome: "unknown"}), nil, "", "in-progress", "unknown", 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(2)
			w.claim = append(w.claim, test.claim)
			for _, r := range test.results {
				w.forward = append(w.forward, answer(r))
			}
			body, err := w.executor().Execute(w.request())
			check(t, body, err, test.body, test.code, test.outcome)
			if len(w.sent) != test.sent {
				t.Errorf("got %d dispatches, want %d", len(w.sent), test.sent)
			}
			w.checkFinished(t, test.finished...)
			if len(w.sent) == 2 && w.sent[0].Server == w.sent[1].Server {
				t.Errorf("both dispatches went to %s", w.sent[0].Server)
			}
		})
	}
}

// Guards against a claim that is lost for good when a reply is lost, against a
// dispatch without a granted claim, and against a not-run that is not true.
func TestLostClaimReplies(t *testing.T) {
	fail := func(err error) func(zinniatide.Claim, func(zinniatide.ClaimReply, error)) {
		return func(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) { done(zinniatide.ClaimReply{}, err) }
	}
	var late func(zinniatide.ClaimReply, error)
	silent := func(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) { late = done }
	open := &zinniatide.Refusal{Code: zinniatide.CodeNoQuorum, Outcome: zinniatide.OutcomeUnknown}
	type script = []func(zinniatide.Claim, func(zinniatide.ClaimReply, error))
	tests := []struct {
		name     string
		claim    script
		granted  bool
		finished []zinniatide.Outcome
	}{
		{"reply lost once", script{fail(zinniatide.ErrLinkLost), granted}, true, []zinniatide.Outcome{"done"}},
		{"no reply, then granted", script{silent, granted}, true, []zinniatide.Outcome{"done"}},
		{"never sent", script{fail(zinniatide.ErrNotSent)}, false, nil},
		{"refused before it was proposed", script{fail(zinniatide.Refuse(zinniatide.CodeNoQuorum, "no leader"))}, false, nil},
		{"all replies lost", script{fail(zinniatide.ErrLinkLost)}, false, []zinniatide.Outcome{"not-run"}},
		{"fate open", script{fail(open)}, false, []zinniatide.Outcome{"not-run"}},
		{"granted after the end", script{silent}, false, []zinniatide.Outcome{"not-run", "not-run"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(1)
			w.claim, late = test.claim, nil
			w.forward = append(w.forward, answer(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte("{}")}))
			body, err := w.executor().Execute(w.request())
			if late != nil {
				late(zinniatide.ClaimReply{Granted: true}, nil)
			}
			if test.granted {
				check(t, body, err, "{}", "", "done")
			} else {
				check(t, body, err, "", zinniatide.CodeNoQuorum, "not-run")
			}
			if got := len(w.sent) == 1; got != test.granted {
				t.Errorf("got %d dispatches, granted %t", len(w.sent), test.granted)
			}
			for _, c := range w.claims {
				if c.Token != w.claims[0].Token || c.RequestID != w.claims[0].RequestID {
					t.Errorf("the claim was repeated as %+v, first %+v", c, w.claims[0])
				}
			}
			w.checkFinished(t, test.finished...)
		})
	}
}

// Guards against a result that arrives after the deadline being dropped,
// causing a second dispatch, or leaving the canary of its fingerprint open.
func TestResultAfterTheDeadline(t *testing.T) {
	for _, outcome := range []zinniatide.Outcome{zinniatide.OutcomeDone, zinniatide.OutcomeNotRun, zinniatide.OutcomeUnknown} {
		w := newWorld(2)
		w.claim = append(w.claim, granted)
		var late func(zinniatide.SubResult)
		w.forward = append(w.forward, func(_ zinniatide.SubRequest, done func(zinniatide.SubResult)) { late = done })
		r := w.request()
		r.Deadline = w.clock.Now() + 30
		body, err := w.executor().Execute(r)
		check(t, body, err, "", zinniatide.CodeDeadlinePassed, "unknown")
		w.checkFinished(t)
		late(zinniatide.SubResult{Outcome: outcome, Body: []byte("{}")})
		late(zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun}) // doubled
		w.checkFinished(t, outcome)
		if len(w.sent) != 1 {
			t.Errorf("%s: got %d dispatches, want 1", outcome, len(w.sent))
		}
		if _, refusal := w.guard.Enter(w.sent[0].Fingerprint, w.clock.Now()+60); refusal != nil {
			t.Errorf("%s: the same request got %v afterwards", outcome, refusal)
		}
	}
}

// Guards against a deadly request that takes more than two servers when it is
// sent under new request ids.
func TestDeadlyRequestIsQuarantined(t *testing.T) {
	w := newWorld(5)
	w.claim = append(w.claim, granted)
	w.forward = append(w.forward, answer(zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: zinniatide.CodeServerGone, Crashed: true}))
	x := w.executor()
	for i := range 5 {
		r := w.request()
		r.RequestID = zinniatide.RequestID(fmt.Sprintf("9000-abcdefg%d", i))
		body, err := x.Execute(r)
		if i < 2 {
			check(t, body, err, "", zinniatide.CodeServerGone, "unknown")
		} else {
			check(t, body, err, "", zinniatide.CodeQuarantined, "not-run")
		}
	}
	if len(w.sent) != 2 {
		t.Errorf("got %d dispatches, want 2", len(w.sent))
	}
}

// Guards against a dispatch under a configuration that may have changed.
func TestLeaseEndsDuringTheClaim(t *testing.T) {
	w := newWorld(1)
	w.claim = append(w.claim, func(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
		w.lease = 0
		granted(c, done)
	})
	body, err := w.executor().Execute(w.request())
	check(t, body, err, "", zinniatide.CodeNotServing, "not-run")
	w.checkFinished(t, "not-run")
	if len(w.sent) != 0 {
		t.Errorf("got %d dispatches, want none", len(w.sent))
	}
}

// Guards against an execute that fails during a hand-over, or that stays with a
// version that its server has dropped.
func TestRefusalsLeadToAnotherAttempt(t *testing.T) {
	w := newWorld(1)
	w.claim = append(w.claim, granted)
	refuse := func(code zinniatide.Code) func(zinniatide.SubRequest, func(zinniatide.SubResult)) {
		return answer(zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code})
	}
	setting := w.conf.Services["s"]
	setting.Versions = append(setting.Versions, zinniatide.IndexVersionSetting{Version: 2, ShardCount: 1})
	w.conf.Services["s"] = setting
	offer := &w.catalog.Servers[0].Offers[0]
	offer.Searchers = append(offer.Searchers, zinniatide.Searcher{Version: 2, KeyRange: zinniatide.KeyRange{Last: zinniatide.KeySpace}})
	w.forward = append(w.forward, refuse(zinniatide.CodeWrongVersion), refuse(zinniatide.CodeNotOwner),
		answer(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: make([]byte, zinniatide.MaxRecordedBody+1)}))
	body, err := w.executor().Execute(w.request())
	if err != nil || len(body) != zinniatide.MaxRecordedBody+1 {
		t.Fatalf("got %d bytes, %v", len(body), err)
	}
	var versions []zinniatide.IndexVersion
	for _, r := range w.sent {
		versions = append(versions, r.Version)
	}
	if got, want := fmt.Sprint(versions), "[3 2 2]"; got != want {
		t.Errorf("got versions %s, want %s", got, want)
	}
	w.checkFinished(t, "done")
	if len(w.finished[0].Body) != 0 {
		t.Errorf("recorded %d bytes, more than may be kept", len(w.finished[0].Body))
	}
}

// Guards against two different requests with one digest.
func TestDigestCoversEveryPart(t *testing.T) {
	base := zinniatide.ExecuteRequest{Service: "s", Tenant: "t", Key: 1, Body: []byte("b")}
	variants := []zinniatide.ExecuteRequest{base, base, base, base, base}
	variants[1].Service, variants[2].Tenant, variants[3].Key, variants[4].Body = "st", "u", 2, []byte("c")
	moved := base
	moved.Service, moved.Tenant = "st", ""
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

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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is the surroundings of an Executor: a claim store and a forwarder that
// follow a script, and timers that fire as soon as they are set.
type world struct {
	mu       sync.Mutex
	clock    *clock.Clock
	catalog  *zinniatide.Catalog
	conf     *zinniatide.Configuration
	claim    []func(c zinniatide.Claim, done func(zinniatide.ClaimReply, error))
	forward  []func(r zinniatide.SubRequest, done func(zinniatide.SubResult))
	claims   []zinniatide.Claim
	sent     []zinniatide.SubRequest
	finished []zinniatide.ClaimResult
	lease    zinniatide.Millis
}

func (w *world) Configuration() *zinniatide.Configuration { return w.conf }
func (w *world) LeaseUntil() zinniatide.Millis            { return w.lease }
func (w *world) Catalog() *zinniatide.Catalog             { return w.catalog }

func (w *world) Claim(c zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	n := min(len(w.claims), len(w.claim)-1)
	w.claims = append(w.claims, c)
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

// After implements timer.Timer: it advances the clock and fires at once, on
// another goroutine, unless the step has ended.
func (w *world) After(d zinniatide.Millis, f func()) func() {
	w.clock.Advance(d)
	f()
	return func() {}
}

// lateTimer fires nothing: for scripts in which every step ends by itself.
type lateTimer struct{}

func (lateTimer) After(zinniatide.Millis, func()) func() { return func() {} }

func granted(_ zinniatide.Claim, done func(zinniatide.ClaimReply, error)) {
	done(zinniatide.ClaimReply{Granted: true}, nil)
}

func answer(r zinniatide.SubResult) func(zinniatide.SubRequest, func(zinniatide.SubResult)) {
	return func(_ zinniatide.SubRequest, done func(zinniatide.SubResult)) { done(r) }
}

func newWorld(servers int) *world {
	w := &world{clock: clock.NewManual(1000, 5000), lease: 1 << 40, catalog: &zinniatide.Catalog{}}
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

func (w *world) executor(t timer.Timer) *executor.Executor {
	table := observer.New()
	return executor.New(executor.DefaultConfig(), executor.Dependencies{
		VM: "e1", Clock: w.clock, Timer: t, Configurations: w, Claims: w, Forwarder: w, Observer: table,
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
			body, err := w.executor(lateTimer{}).Execute(w.request())
			check(t, body, err, test.body, test.code, test.outcome)
			if len(w.sent) != test.sent {
				t.Errorf("got %d dispatches, want %d", len(w.sent), test.sent)
			}
			var finished []zinniatide.Outcome
			for _, f := range w.finished {
				finished = append(finished, f.Outcome)
			}
			if got, want := fmt.Sprint(finished), fmt.Sprint(test.finished); got != want {
				t.Errorf("got finished %s, want %s", got, want)
			}
			if len(w.sent) == 2 && w.sent[0].Server == w.sent[1].Server {
				t.Errorf("both dispatches went to %s", w.sent[0].Server)
			}
		})
	}
}

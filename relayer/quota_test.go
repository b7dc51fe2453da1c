package relayer

import (
	"fmt"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// fakeLimiter is a QuotaLimiter that answers when the test says so.
type fakeLimiter struct {
	immediate *zinniatide.QuotaDecision // answer within Take
	open      []func(zinniatide.QuotaDecision)
	taken     []string
	cancelled int
	returned  int
}

func (l *fakeLimiter) Take(w zinniatide.WorkspaceID, rate, burst float64, done func(zinniatide.QuotaDecision)) func() {
	l.taken = append(l.taken, fmt.Sprintf("%s %v %v", w, rate, burst))
	if l.immediate != nil {
		done(*l.immediate)
		return func() {}
	}
	l.open = append(l.open, done)
	return func() { l.cancelled++ }
}

func (l *fakeLimiter) Return(zinniatide.WorkspaceID) { l.returned++ }

// newQuotaSimulation limits the workspace "limited"; "free" has no limit.
func newQuotaSimulation(t *testing.T) (*simulation, *fakeLimiter) {
	sim := newSimulation(t, testShards)
	routing := *sim.config.Routing
	sim.requireKeys(&routing, zinniatide.RelayWorkspace{Workspace: "limited", Rate: 5, Burst: 2}, zinniatide.RelayWorkspace{Workspace: "free"})
	l := &fakeLimiter{}
	sim.relayer.deps.Quota = l
	sim.updateRelayer()
	return sim, l
}

// requireKeys sets a table with the workspaces. Each has the key that serveFor sends; its
// routes are public, so that requests without a workspace are served too.
func (sim *simulation) requireKeys(routing *zinniatide.Routing, workspaces ...zinniatide.RelayWorkspace) {
	sim.relayer.deps.Names.Workspace, sim.relayer.deps.Names.CredentialScheme = "X-Tenant", "Token"
	routing.Routes = slices.Clone(routing.Routes)
	for i := range routing.Routes {
		routing.Routes[i].Public = true
	}
	for i := range workspaces {
		workspaces[i].Keys = []zinniatide.KeyDigest{zinniatide.DigestKey([]byte(workspaces[i].Workspace))}
	}
	routing.KeysRequired, routing.Workspaces = true, workspaces
	sim.config.Routing, sim.config.RoutingNumber = routing, 2
}

// serveFor sends a request of a workspace. The reply is nil until it is answered.
func (sim *simulation) serveFor(w zinniatide.WorkspaceID, path string) (reply **Reply, cancel func()) {
	var got *Reply
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n", path)
	sim.requestCount++
	cancel = sim.relayer.Serve(&Request{ID: fmt.Sprint("r", sim.requestCount), Host: "h", Path: path, Head: []byte(head), ArrivedAt: sim.clock.Now(),
		Timeout: 1000, Credential: []byte("Token " + w)}, func(r Reply) {
		if got != nil {
			sim.t.Errorf("got a second reply %+v, want one", r)
		}
		got = &r
	})
	return &got, cancel
}

// Guards against a request over the quota that reaches a server, against a status that
// does not say whether the quota is used up, and against a message for workspaces that
// have no limit.
func TestQuotaIsDecidedBeforeAnythingIsSent(t *testing.T) {
	for _, row := range []struct {
		name      string
		workspace zinniatide.WorkspaceID
		decision  zinniatide.QuotaDecision
		takes     int
		status    int
		sent      bool
	}{
		{"admitted", "limited", zinniatide.QuotaDecision{Admitted: true, ReturnWithin: 500}, 1, 200, true},
		{"used up", "limited", zinniatide.QuotaDecision{Exhausted: true, RetryAfter: 730}, 1, 429, false},
		{"unknown", "limited", zinniatide.QuotaDecision{RetryAfter: 730}, 1, 503, false},
		{"no limit", "free", zinniatide.QuotaDecision{}, 0, 200, true},
		{"no workspace", "", zinniatide.QuotaDecision{}, 0, 200, true},
	} {
		for _, path := range []string{"/p/x", "/once/x", "/q/x"} {
			for _, immediate := range []bool{true, false} {
				t.Run(fmt.Sprint(row.name, path, immediate), func(t *testing.T) {
					sim, l := newQuotaSimulation(t)
					if immediate {
						l.immediate = &row.decision
					}
					reply, _ := sim.serveFor(row.workspace, path)
					if got := len(l.taken); got != row.takes {
						t.Fatalf("got %d takes %v, want %d", got, l.taken, row.takes)
					}
					if !immediate && row.takes > 0 {
						sim.run(sim.clock.Now() + 50)
						if *reply != nil || sim.arrived() > 0 {
							t.Fatalf("got reply %v and %d sends before the decision, want none", *reply, sim.arrived())
						}
						l.open[0](row.decision)
					}
					sim.run(sim.clock.Now() + 2000)
					if *reply == nil || (*reply).Status != row.status {
						t.Fatalf("got reply %v, want status %d", *reply, row.status)
					}
					if row.status != 200 && (*reply).RetryAfter != 730 {
						t.Errorf("got retry after %d, want 730", (*reply).RetryAfter)
					}
					if got := sim.arrived() > 0; got != row.sent {
						t.Errorf("got %d requests at servers, want some: %v", sim.arrived(), row.sent)
					}
					if l.returned != 0 || len(sim.relayer.openRequests) != 0 {
						t.Errorf("got %d returned tokens and %d open requests, want none", l.returned, len(sim.relayer.openRequests))
					}
				})
			}
		}
	}
}

// Guards against a token that is lost with a request that has not run, and against one
// that is given back although the request may have run or the token has expired.
func TestTokenIsReturnedIfTheRequestHasNotRun(t *testing.T) {
	for _, row := range []struct {
		name         string
		path         string
		prepare      func(sim *simulation)
		returnWithin zinniatide.Millis
		status       int
		returned     int
	}{
		{"no server", "/p/x", func(sim *simulation) { sim.enrollments = nil; sim.updateRelayer() }, 500, 503, 1},
		{"no server of the shards", "/q/x", func(sim *simulation) { sim.enrollments = nil; sim.updateRelayer() }, 500, 503, 1},
		{"no server, token expired", "/p/x", func(sim *simulation) { sim.enrollments = nil; sim.updateRelayer() }, 0, 503, 0},
		{"quarantined", "/p/x", func(sim *simulation) {
			q := newRecordedReports()
			q.refused[(&Request{Host: "h", Head: []byte("GET /p/x HTTP/1.1\r\nHost: h\r\n"), Workspace: "limited"}).fingerprint()] = 1000
			sim.relayer.deps.Quarantine = q
		}, 500, 503, 1},
		{"servers shed", "/p/x", func(sim *simulation) {
			for _, s := range sim.servers {
				s.pause = 50
			}
		}, 500, 503, 1},
		{"connections lost", "/once/x", func(sim *simulation) {
			for _, s := range sim.servers {
				s.fault = func() (transporter.Result, int) { return transporter.ConnectionLost, 0 }
			}
		}, 500, 502, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim, l := newQuotaSimulation(t)
			row.prepare(sim)
			l.immediate = &zinniatide.QuotaDecision{Admitted: true, ReturnWithin: row.returnWithin}
			reply, _ := sim.serveFor("limited", row.path)
			sim.run(sim.clock.Now() + 3000)
			if *reply == nil || (*reply).Status != row.status {
				t.Fatalf("got reply %v, want status %d", *reply, row.status)
			}
			if l.returned != row.returned {
				t.Errorf("got %d returned tokens, want %d", l.returned, row.returned)
			}
		})
	}
}

// Guards against a request that waits for its quota and is sent after its caller has left,
// after its deadline, or after the VM has begun to end its requests, and against its token
// being lost.
func TestEndWhileWaitingForTheQuota(t *testing.T) {
	for _, row := range []struct {
		name   string
		end    func(sim *simulation, cancel func())
		status int // 0: no reply
	}{
		{"caller leaves", func(_ *simulation, cancel func()) { cancel() }, 0},
		{"deadline", func(sim *simulation, _ func()) { sim.run(sim.clock.Now() + 1500) }, 503},
		{"stop", func(sim *simulation, _ func()) { sim.relayer.EndRequests() }, 503},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim, l := newQuotaSimulation(t)
			reply, cancel := sim.serveFor("limited", "/once/x")
			row.end(sim, cancel)
			if row.status == 0 && *reply != nil || row.status > 0 && (*reply == nil || (*reply).Status != row.status) {
				t.Errorf("got reply %v, want status %d", *reply, row.status)
			}
			if l.cancelled != 1 {
				t.Errorf("got %d calls of cancel, want 1", l.cancelled)
			}
			// The decision was already on its way.
			l.open[0](zinniatide.QuotaDecision{Admitted: true, ReturnWithin: 500})
			sim.run(sim.clock.Now() + 1000)
			if got := sim.arrived(); got != 0 {
				t.Errorf("got %d requests at servers, want none", got)
			}
			if l.returned != 1 || len(sim.relayer.openRequests) != 0 {
				t.Errorf("got %d returned tokens and %d open requests, want 1 and 0", l.returned, len(sim.relayer.openRequests))
			}
		})
	}
}

// Guards against a caller that leaves after the decision and whose request is not
// cancelled, because it is another one by then.
func TestCancelAfterTheQuotaDecision(t *testing.T) {
	sim, l := newQuotaSimulation(t)
	reply, cancel := sim.serveFor("limited", "/p/x")
	l.open[0](zinniatide.QuotaDecision{Admitted: true, ReturnWithin: 500})
	if got := sim.arrived(); got != 1 {
		t.Fatalf("got %d requests at servers, want 1", got)
	}
	cancel()
	sim.run(sim.clock.Now() + 1000)
	if *reply != nil || len(sim.relayer.openRequests) != 0 {
		t.Errorf("got reply %v and %d open requests, want none", *reply, len(sim.relayer.openRequests))
	}
}

// Guards against a delegate that takes a second token for the parts of a request that it
// gathers for another VM.
func TestDelegatedGatherTakesNoToken(t *testing.T) {
	m := newMesh(t, testShards, map[zinniatide.VMID]zinniatide.ZoneID{"self": "a", "other": "b"})
	routing := *m.config.Routing
	for _, p := range m.processes {
		p.relayer.deps.Names.Workspace, p.relayer.deps.Names.CredentialScheme = "X-Tenant", "Token"
	}
	m.requireKeys(&routing, zinniatide.RelayWorkspace{Workspace: "limited", Rate: 5})
	m.enrollments = slices.DeleteFunc(m.enrollments, func(e zinniatide.Enrollment) bool { return e.Zone == "a" })
	limiters := map[zinniatide.VMID]*fakeLimiter{}
	for vm, p := range m.processes {
		limiters[vm] = &fakeLimiter{immediate: &zinniatide.QuotaDecision{Admitted: true, ReturnWithin: 500}}
		p.relayer.deps.Quota = limiters[vm]
	}
	m.update()
	m.relayer = m.processes["self"].relayer
	reply, _ := m.serveFor("limited", "/q/x")
	m.run(m.clock.Now() + 2000)
	if *reply == nil || (*reply).Status != 200 {
		t.Fatalf("got reply %v, want status 200", *reply)
	}
	if got := len(m.relayer.delegates["b"]); got == 0 || m.sentBytes == 0 {
		t.Fatalf("got %d delegates and %d bytes, want a delegated request", got, m.sentBytes)
	}
	if got, want := len(limiters["self"].taken)+len(limiters["other"].taken), 1; got != want {
		t.Errorf("got %d takes, want %d", got, want)
	}
}

package relayer

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// knownKey is the key of workspace "acme" in these tests, and unknownKey that of none.
const (
	knownKey   = "k3y-5ecret-known"
	unknownKey = "k3y-5ecret-unknown"
)

// requireKeys adds workspaces to the routing table, and a public route for each path
// prefix with the same targets or shards.
func requireKeys(sim *simulation) {
	sim.relayer.deps.Names.Workspace, sim.relayer.deps.Names.CredentialScheme = "X-Tenant", "Token"
	routing := *sim.config.Routing
	routing.Routes = slices.Clone(routing.Routes)
	for _, route := range sim.config.Routing.Routes {
		route.ID, route.PathPrefix, route.Public = route.ID+"-public", "/public"+route.PathPrefix, true
		routing.Routes = append(routing.Routes, route)
	}
	routing.KeysRequired = true
	routing.Workspaces = []zinniatide.RelayWorkspace{
		{Workspace: "acme", Keys: []zinniatide.KeyDigest{zinniatide.DigestKey([]byte(knownKey))}}, {Workspace: "empty"},
	}
	sim.setRouting(&routing)
}

// setRouting replaces the routing table.
func (sim *simulation) setRouting(routing *zinniatide.Routing) {
	next := *sim.config
	next.Routing, next.RoutingNumber = routing, next.RoutingNumber+1
	sim.config = &next
	sim.updateRelayer()
}

// withoutKeys returns a table in which no workspace has a key.
func withoutKeys(routing *zinniatide.Routing) *zinniatide.Routing {
	next := *routing
	next.Workspaces = []zinniatide.RelayWorkspace{{Workspace: "acme"}}
	return &next
}

// keyRequest returns a request as the acceptor passes it on.
func keyRequest(id, path, credential, workspace string, now zinniatide.Millis) *Request {
	req := &Request{ID: id, Host: "h", Path: path, Head: fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\n", path), ArrivedAt: now, Timeout: 1000}
	if credential != "" {
		req.Credential = []byte(credential)
		req.KeyHeaders = fmt.Appendf(req.KeyHeaders, "Authorization: %s\r\n", credential)
	}
	if workspace != "" {
		req.KeyHeaders = fmt.Appendf(req.KeyHeaders, "X-Tenant: %s\r\n", workspace)
	}
	return req
}

// keyLines returns the lines of a head that name a workspace or hold a credential.
func keyLines(head []byte) []string {
	var out []string
	for _, line := range splitLines(string(head)) {
		if strings.HasPrefix(line, "X-Tenant:") || strings.HasPrefix(line, "Authorization:") {
			out = append(out, line)
		}
	}
	return out
}

// Guards against requests that reach servers without a known key or with the key or the
// workspace that the caller sent, and against refusals of requests that are allowed.
func TestRequestsNeedKeys(t *testing.T) {
	for _, row := range []struct {
		name, path, credential, sent string
		status                       int
		want                         []string // lines that servers receive
	}{
		{"known key", "/p/x", "Token " + knownKey, "", 200, []string{"X-Tenant: acme"}},
		{"known key, other workspace sent", "/p/x", "Token " + knownKey, "evil", 200, []string{"X-Tenant: acme"}},
		{"known key, gathered", "/q/x", "Token " + knownKey, "evil", 200, []string{"X-Tenant: acme"}},
		{"known key, not idempotent", "/once/x", "token " + knownKey, "", 200, []string{"X-Tenant: acme"}},
		{"unknown key", "/p/x", "Token " + unknownKey, "acme", 401, nil},
		{"unknown key, gathered", "/q/x", "Token " + unknownKey, "", 401, nil},
		{"no key", "/p/x", "", "acme", 401, nil},
		{"other scheme", "/p/x", "Bearer " + knownKey, "", 401, nil},
		{"public, no key", "/public/p/x", "", "", 200, nil},
		{"public, workspace sent", "/public/p/x", "", "acme", 200, nil},
		{"public, known key", "/public/p/x", "Token " + knownKey, "evil", 200, []string{"X-Tenant: acme"}},
		{"public, unknown key", "/public/p/x", "Token " + unknownKey, "evil", 200, nil},
		{"public, gathered", "/public/q/x", "Token " + unknownKey, "evil", 200, nil},
		{"no route", "/nowhere/x", "", "", 404, nil},
	} {
		m := newMesh(t, testShards, map[zinniatide.VMID]zinniatide.ZoneID{"front": "a"})
		requireKeys(m.simulation)
		front := m.processes["front"].relayer
		front.deps.Names = m.relayer.deps.Names
		m.update()
		var got Reply
		front.Serve(keyRequest("r", row.path, row.credential, row.sent, m.clock.Now()), func(r Reply) { got = r })
		m.run(m.clock.Now() + 1000)
		if got.Status != row.status {
			t.Errorf("%s: got status %d, want %d", row.name, got.Status, row.status)
		}
		if challenged := string(got.Header) == "WWW-Authenticate: Token\r\n"; challenged != (row.status == 401) {
			t.Errorf("%s: got header %q for status %d", row.name, got.Header, got.Status)
		}
		if sent := len(m.exchanges) > 0; sent != (row.status == 200) {
			t.Errorf("%s: got %d sends to servers with status %d", row.name, len(m.exchanges), got.Status)
		}
		for _, x := range m.exchanges {
			if lines := keyLines(x.Head); !slices.Equal(lines, row.want) {
				t.Errorf("%s: got lines %q at a server, want %q", row.name, lines, row.want)
			}
		}
	}
}

// Guards against a deployment without workspaces whose callers' credentials or workspace
// headers are checked, dropped or changed.
func TestHeadersWithoutWorkspaces(t *testing.T) {
	for _, credential := range []string{"", "Token " + knownKey, "Bearer x", "Basic x"} {
		m := newMesh(t, testShards, map[zinniatide.VMID]zinniatide.ZoneID{"front": "a"})
		req := keyRequest("r", "/p/x", credential, "sent", m.clock.Now())
		want := string(req.Head) + string(req.KeyHeaders)
		var got Reply
		m.processes["front"].relayer.Serve(req, func(r Reply) { got = r })
		m.run(m.clock.Now() + 1000)
		if got.Status != 200 || len(m.exchanges) != 1 || string(m.exchanges[0].Head) != want {
			t.Errorf("credential %q: got status %d and %d sends, want one with head %q", credential, got.Status, len(m.exchanges), want)
		}
	}
}

// Guards against a request that is rejected for good by a VM that has missed the table
// with its key.
func TestUnknownKeyInUnconfirmedTable(t *testing.T) {
	sim := newSimulation(t, 2)
	requireKeys(sim)
	var confirmedAt zinniatide.Millis
	sim.relayer.deps.ConfirmedAt = func() zinniatide.Millis { return confirmedAt }
	for _, row := range []struct {
		name, credential string
		age              zinniatide.Millis
		status           int
	}{
		{"unknown key, confirmed", "Token " + unknownKey, 0, 401},
		{"unknown key, confirmed within the limit", "Token " + unknownKey, maxConfirmationAge, 401},
		{"unknown key, unconfirmed", "Token " + unknownKey, maxConfirmationAge + 1, 503},
		{"no key, unconfirmed", "", maxConfirmationAge + 1, 503},
		{"known key, unconfirmed", "Token " + knownKey, 10 * maxConfirmationAge, 200},
	} {
		confirmedAt = sim.clock.Now() - row.age
		var got Reply
		sim.relayer.Serve(keyRequest(row.name, "/p/x", row.credential, "", sim.clock.Now()), func(r Reply) { got = r })
		sim.run(sim.clock.Now() + 1000)
		if got.Status != row.status || got.RetryAfter > 0 != (row.status == 503) {
			t.Errorf("%s: got status %d, retry after %d ms, want status %d", row.name, got.Status, got.RetryAfter, row.status)
		}
	}
	none := New(sim.relayer.config, sim.relayer.deps) // without a table
	var got Reply
	none.Serve(keyRequest("r", "/p/x", "Token "+unknownKey, "", sim.clock.Now()), func(r Reply) { got = r })
	if got.Status != 503 || got.RetryAfter == 0 {
		t.Errorf("no table: got status %d, retry after %d ms, want 503 and a time", got.Status, got.RetryAfter)
	}
}

// Guards against requests without a known key that cost work or take a place that others
// need: the key is decided before quarantine, deadline and planned stop.
func TestKeyIsDecidedFirst(t *testing.T) {
	sim, q := newSimulation(t, 2), newRecordedReports()
	requireKeys(sim)
	sim.relayer.deps.Quarantine = q
	req := keyRequest("r", "/p/x", "", "", sim.clock.Now())
	q.refused[req.fingerprint()] = 60_000
	sim.relayer.StopBy(sim.clock.Now() + 1)
	req.ArrivedAt -= 10_000
	var got Reply
	sim.relayer.Serve(req, func(r Reply) { got = r })
	if got.Status != 401 {
		t.Errorf("got status %d, want 401", got.Status)
	}
}

// Guards against a removed key that is still admitted, and against requests that were
// admitted with it and are cut off: those in progress go on, with retries under the
// workspace that they had.
func TestRemovedKey(t *testing.T) {
	for _, path := range []string{"/p/x", "/once/x", "/q/x"} {
		m := newMesh(t, testShards, map[zinniatide.VMID]zinniatide.ZoneID{"front": "a"})
		requireKeys(m.simulation)
		front := m.processes["front"].relayer
		front.deps.Names = m.relayer.deps.Names
		m.update()
		shed := map[zinniatide.BackendServerID]bool{}
		for id, s := range m.servers {
			s.drawWorkTime = func() zinniatide.Millis { return 60 }
			s.fault = func() (transporter.Result, int) {
				// The first send is refused after the key was removed, and is retried.
				if m.config.RoutingNumber == 2 && !shed[id] {
					shed[id] = true
					return transporter.NotRun, 503
				}
				return transporter.Answered, 200
			}
		}
		var admitted, later Reply
		front.Serve(keyRequest("admitted", path, "Token "+knownKey, "", m.clock.Now()), func(r Reply) { admitted = r })
		m.run(m.clock.Now() + 10)
		first := len(m.exchanges)
		m.setRouting(withoutKeys(m.config.Routing))
		m.update()
		front.Serve(keyRequest("later", path, "Token "+knownKey, "", m.clock.Now()), func(r Reply) { later = r })
		m.run(m.clock.Now() + 2000)
		if admitted.Status != 200 || later.Status != 401 {
			t.Errorf("%s: got status %d of the admitted and %d of the later request, want 200 and 401", path, admitted.Status, later.Status)
		}
		if len(m.exchanges) <= first {
			t.Errorf("%s: got no send after the key was removed, want a retry", path)
		}
		for _, x := range m.exchanges {
			if lines := keyLines(x.Head); !slices.Equal(lines, []string{"X-Tenant: acme"}) {
				t.Errorf("%s: got lines %q, want the workspace", path, lines)
			}
		}
	}
}

// Guards against labels of the priority of the route where a workspace has one, and
// against a number of time series that grows with the number of workspaces.
func TestPriorityOfWorkspaceComesFirst(t *testing.T) {
	sim, registry := newSimulation(t, 2), prometheus.NewRegistry()
	sim.relayer.deps.Registerer = registry
	sim.relayer = New(sim.relayer.config, sim.relayer.deps)
	requireKeys(sim)
	sim.relayer.deps.Names.Workspace, sim.relayer.deps.Names.CredentialScheme = "X-Tenant", "Token"
	routing := *sim.config.Routing
	routing.Workspaces = nil
	for i := range 200 {
		w := zinniatide.RelayWorkspace{Workspace: zinniatide.WorkspaceID(fmt.Sprint("w", i)), Keys: []zinniatide.KeyDigest{zinniatide.DigestKey(fmt.Append(nil, "key", i))}}
		if i > 0 {
			priority := 5 + i // above 9 for most
			w.Priority = &priority
		}
		routing.Workspaces = append(routing.Workspaces, w)
	}
	sim.setRouting(&routing)
	for i := range 200 {
		sim.relayer.Serve(keyRequest(fmt.Sprint("r", i), "/q/x", fmt.Sprint("Token key", i), "", sim.clock.Now()), func(Reply) {})
		sim.run(sim.clock.Now() + 500)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]uint64{}
	for _, family := range families {
		if family.GetName() != "zinniatide_relay_seconds" {
			continue
		}
		for _, m := range family.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetName() == "priority" {
					got[label.GetValue()] += m.GetHistogram().GetSampleCount()
				}
			}
		}
	}
	// The route has priority 1.
	want := map[string]uint64{"1": 1, "6": 1, "7": 1, "8": 1, "9": 1, "other": 195}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got requests by priority %v, want %v", got, want)
	}
}

// Guards against a crashing request that is not recognised because its caller changes
// the key, and against other workspaces whose requests are refused for it.
func TestCrashingRequestsByWorkspace(t *testing.T) {
	sim, q := newSimulation(t, 2), newRecordedReports()
	requireKeys(sim)
	sim.relayer.deps.Quarantine = q
	routing := *sim.config.Routing
	routing.Workspaces = []zinniatide.RelayWorkspace{
		{Workspace: "a", Keys: []zinniatide.KeyDigest{zinniatide.DigestKey([]byte("a1")), zinniatide.DigestKey([]byte("a2"))}},
		{Workspace: "b", Keys: []zinniatide.KeyDigest{zinniatide.DigestKey([]byte("b1"))}},
	}
	slices.SortFunc(routing.Workspaces[0].Keys, zinniatide.KeyDigest.Compare)
	sim.setRouting(&routing)
	for _, s := range sim.servers {
		s.fault = func() (transporter.Result, int) { return transporter.ConnectionLost, 0 }
	}
	for _, key := range []string{"a1", "a2", "b1", "a1"} {
		sim.relayer.Serve(keyRequest(key, "/once/x", "Token "+key, "", sim.clock.Now()), func(Reply) {})
		sim.run(sim.clock.Now() + 1500)
	}
	var got []string
	for _, attempts := range q.reports {
		got = append(got, fmt.Sprint(attempts))
	}
	slices.Sort(got)
	if want := "[[a1 a2 a1] [b1]]"; fmt.Sprint(got) != want {
		t.Errorf("got reports %v, want %s", got, want)
	}
}

// Guards against a key that leaves the VM that took the request, or shows in its output:
// in sends to servers (first sends, hedges, retries and sends of delegates), messages
// between VMs, log lines, metrics, replies and reports of crashing requests. Tables with
// the key and without it are applied meanwhile.
func TestKeyLeavesNoTrace(t *testing.T) {
	var logs bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&logs)
	t.Cleanup(func() { klog.LogToStderr(true) })
	registry := prometheus.NewRegistry()
	const shards = 12
	m := newMeshWithRemoteShards(t, shards, shards/2)
	requireKeys(m.simulation)
	reports := newRecordedReports()
	m.relayer.deps.Quarantine, m.relayer.deps.Registerer = reports, registry
	m.kill("front")
	m.start("front") // with the names, metrics and quarantine
	m.relayer.deps.Registerer = nil
	m.update()
	m.keepMessages = true
	front := m.processes["front"].relayer
	for _, s := range m.servers {
		s.fault = func() (transporter.Result, int) {
			switch m.random.IntN(10) {
			case 0:
				return transporter.NotRun, 503
			case 1:
				return transporter.ConnectionLost, 0
			case 2:
				return transporter.Answered, 500
			}
			return transporter.Answered, 200
		}
		s.drawWorkTime = func() zinniatide.Millis {
			if m.random.IntN(10) == 0 {
				return 200
			}
			return 8
		}
	}
	statuses := map[int]int{}
	var shown bytes.Buffer // replies
	withKeys, without := m.config.Routing, withoutKeys(m.config.Routing)
	paths := []string{"/p/x", "/once/x", "/q/x", "/public/p/x", "/public/q/x", "/nowhere/x"}
	for i := range 600 {
		credential := "Token " + knownKey
		if i%3 == 0 {
			credential = "Token " + unknownKey
		}
		if i%100 == 99 {
			next := without
			if m.config.Routing == without {
				next = withKeys
			}
			m.setRouting(next)
			m.update()
		}
		cancel := front.Serve(keyRequest(fmt.Sprint("r", i), paths[i%len(paths)], credential, "evil", m.clock.Now()), func(r Reply) {
			statuses[r.Status]++
			shown.Write(r.Header)
			shown.Write(r.Body)
		})
		m.run(m.clock.Now() + 20)
		if i%20 == 0 {
			cancel()
		}
	}
	m.run(m.clock.Now() + 5000)
	klog.Flush()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		shown.WriteString(family.String())
	}
	for f, attempts := range reports.reports {
		fmt.Fprint(&shown, f, attempts)
	}
	byKind := map[string]int{}
	for _, x := range m.exchanges {
		shown.Write(x.Head)
		byKind[string(x.process.vm)]++
		lines, public := keyLines(x.Head), bytes.HasPrefix(x.Head, []byte("GET /public/"))
		if named := slices.Equal(lines, []string{"X-Tenant: acme"}); !named && (!public || len(lines) > 0) {
			t.Errorf("got lines %q at a server, want the workspace, or none on a public route", lines)
		}
	}
	messages := bytes.Join(m.messages, nil)
	for name, output := range map[string][]byte{"log": logs.Bytes(), "sends, metrics and replies": shown.Bytes(), "messages": messages} {
		if len(output) == 0 {
			t.Errorf("got no %s, so that this test shows nothing", name)
		}
		for _, key := range []string{knownKey, unknownKey} {
			digest := zinniatide.DigestKey([]byte(key))
			for _, form := range []string{key, string(digest[:]), fmt.Sprintf("%x", digest), fmt.Sprint(digest)} {
				if i := bytes.Index(output, []byte(form)); i >= 0 {
					t.Errorf("got %q in the %s, want no key", output[max(i-100, 0):min(i+len(form)+50, len(output))], name)
				}
			}
		}
	}
	// The test is void if a kind of send did not happen.
	if byKind["front"] == 0 || byKind["helper"] == 0 || len(reports.reports) == 0 {
		t.Errorf("got sends %v and %d reports of crashes, want each kind", byKind, len(reports.reports))
	}
	for _, status := range []int{200, 401, 404} {
		if statuses[status] == 0 {
			t.Errorf("got statuses %v, want some %d", statuses, status)
		}
	}
	for _, want := range []string{"resending request", "request refused", "request failed", "routing table applied", "caller disconnected"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("got no log line %q, want one", want)
		}
	}
	if hedges := metricValue(t, registry, "zinniatide_relay_hedges_total"); hedges == 0 {
		t.Error("got no hedges, want some")
	}
}

// metricValue returns the value of a counter.
func metricValue(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

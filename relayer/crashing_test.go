package relayer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// recordedReports is a Quarantine that keeps all reports and refuses the
// fingerprints in refused.
type recordedReports struct {
	reports  map[zinniatide.Fingerprint][]string
	refused  map[zinniatide.Fingerprint]zinniatide.Millis
	answered map[zinniatide.Fingerprint]int
}

func newRecordedReports() *recordedReports {
	return &recordedReports{reports: map[zinniatide.Fingerprint][]string{}, refused: map[zinniatide.Fingerprint]zinniatide.Millis{},
		answered: map[zinniatide.Fingerprint]int{}}
}

func (q *recordedReports) Empty() bool { return len(q.refused) == 0 }
func (q *recordedReports) QuarantineLeft(f zinniatide.Fingerprint) zinniatide.Millis {
	return q.refused[f]
}
func (q *recordedReports) ReportUnanswered(f zinniatide.Fingerprint, attempt zinniatide.UnansweredAttempt) {
	q.reports[f] = append(q.reports[f], attempt.ID)
}
func (q *recordedReports) ReportAnswered(f zinniatide.Fingerprint) { q.answered[f]++ }

// serve sends a request and returns its reply once it has ended.
func (sim *simulation) serve(id, path string) Reply {
	sim.t.Helper()
	var got *Reply
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Caller: c\r\n", path, id)
	req := &Request{ID: id, Host: "h", Path: path, Head: []byte(head), ArrivedAt: sim.clock.Now(), Timeout: 1000}
	sim.relayer.Serve(req, func(r Reply) { got = &r })
	sim.run(sim.clock.Now() + 3000)
	if got == nil {
		sim.t.Fatalf("request %s was not answered", id)
	}
	return *got
}

// Guards against a request that crashes all servers that run it and is not
// recognised, and against a quarantined one that reaches a server.
func TestCrashingRequestsAreReported(t *testing.T) {
	for _, path := range []string{"/p/x", "/once/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			sim, q := newSimulation(t, testShards), newRecordedReports()
			sim.relayer.deps.Quarantine = q
			for _, s := range sim.servers {
				s.fault = func() (transporter.Result, int) { return transporter.ConnectionLost, 0 }
			}
			for n := range 3 {
				if got := sim.serve(fmt.Sprint("a", n), path).Status; got != 502 {
					t.Errorf("got status %d, want 502", got)
				}
			}
			if len(q.reports) != 1 {
				t.Fatalf("got reports of %d requests, want one request", len(q.reports))
			}
			arrived := sim.arrived()
			for f, attempts := range q.reports {
				if got, want := fmt.Sprint(attempts), "[a0 a1 a2]"; got != want {
					t.Errorf("got reports of attempts %s, want %s", got, want)
				}
				q.refused[f] = 60_000
			}
			if got := sim.serve("a3", path); got.Status != 503 || got.RetryAfter != 60_000 {
				t.Errorf("got status %d, retry after %d ms of a quarantined request, want 503, 60000", got.Status, got.RetryAfter)
			}
			if got := sim.arrived(); got != arrived {
				t.Errorf("got %d requests at servers while it was quarantined, want none", got-arrived)
			}
			for _, s := range sim.servers {
				s.fault = nil
			}
			if got := sim.serve("b0", path+"y").Status; got != 200 {
				t.Errorf("got status %d of another request, want 200", got)
			}
		})
	}
}

// arrived returns the number of requests that reached a server.
func (sim *simulation) arrived() int {
	n := 0
	for _, s := range sim.servers {
		n += s.arrived
	}
	return n
}

// Guards against reports of innocent requests while servers crash, for example
// those of one rack.
func TestRequestsLostWithARackAreNotReported(t *testing.T) {
	sim, q := newSimulation(t, testShards), newRecordedReports()
	sim.relayer.deps.Quarantine = q
	n := 0
	for _, s := range sim.servers {
		crashes := n%3 == 0
		n++
		s.fault = func() (transporter.Result, int) {
			if crashes && sim.random.IntN(2) == 0 {
				return transporter.ConnectionLost, 0
			}
			return transporter.Answered, 200
		}
	}
	for n := range 300 {
		sim.serve(fmt.Sprint("q", n), "/q/x")
	}
	if len(q.reports) > 0 {
		t.Errorf("got reports %v of a query that other servers answered, want none", q.reports)
	}
}

// Guards against a query that crashes the servers of all shards but one and is not
// recognised, because the servers of that shard fail it with an error status.
func TestFailedPartsDoNotClearCrashingQueries(t *testing.T) {
	for _, row := range []struct {
		name string
		part func() (transporter.Result, int)
		want int // reports
	}{
		{"error status", func() (transporter.Result, int) { return transporter.Answered, 500 }, 3},
		{"no answer in the protocol", func() (transporter.Result, int) { return transporter.InvalidAnswer, 0 }, 3},
		{"success", func() (transporter.Result, int) { return transporter.Answered, 200 }, 0},
		{"rejected as bad", func() (transporter.Result, int) { return transporter.Answered, 400 }, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim, q := newSimulation(t, testShards), newRecordedReports()
			sim.relayer.deps.Quarantine = q
			for id, s := range sim.servers {
				s.fault = func() (transporter.Result, int) { return transporter.ConnectionLost, 0 }
				if strings.HasPrefix(string(id), "shard-00") {
					s.fault = row.part
				}
			}
			for n := range 3 {
				sim.serve(fmt.Sprint("a", n), "/q/x")
			}
			got := 0
			for _, attempts := range q.reports {
				got += len(attempts)
			}
			if got != row.want {
				t.Errorf("got %d reports, want %d", got, row.want)
			}
		})
	}
}

// Guards against a suspicion that stays although servers answer the request.
func TestAnsweredRequestsAreReported(t *testing.T) {
	for _, path := range []string{"/p/x", "/once/x", "/q/x"} {
		sim, q := newSimulation(t, testShards), newRecordedReports()
		sim.relayer.deps.Quarantine = q
		sim.serve("a0", path)
		if got := len(q.answered); got != 0 {
			t.Errorf("%s: got %d reports of answers without a suspect, want none", path, got)
		}
		q.refused[1] = 60_000 // another request
		sim.serve("a1", path)
		if got, want := fmt.Sprint(slices.Collect(maps.Values(q.answered))), "[1]"; got != want {
			t.Errorf("%s: got reports of answers %s, want %s", path, got, want)
		}
	}
}

// Guards against a crashing request that counts as another one in each attempt,
// and against requests of others that count as the same.
func TestFingerprint(t *testing.T) {
	request := func(line, headers, body string) *Request {
		return &Request{Host: "h", Head: []byte(line + " HTTP/1.1\r\nHost: h\r\n" + headers), Body: []byte(body)}
	}
	base := request("POST /p/x?q=1", "X-Request-Id: 1\r\nAuthorization: a\r\n", "body")
	for name, row := range map[string]struct {
		request *Request
		same    bool
	}{
		"id and trace":   {request("POST /p/x?q=1", "X-Request-Id: 2\r\nTraceparent: 00-1\r\nAuthorization: a\r\n", "body"), true},
		"other order":    {request("POST /p/x?q=1", "Authorization: a\r\nX-Retry: 3\r\n", "body"), true},
		"other caller":   {request("POST /p/x?q=1", "Authorization: b\r\n", "body"), false},
		"no credentials": {request("POST /p/x?q=1", "", "body"), false},
		"other query":    {request("POST /p/x?q=2", "Authorization: a\r\n", "body"), false},
		"other method":   {request("PUT /p/x?q=1", "Authorization: a\r\n", "body"), false},
		"other body":     {request("POST /p/x?q=1", "Authorization: a\r\n", "body2"), false},
		"header as body": {request("POST /p/x?q=1", "", "Authorization: a\r\nbody"), false},
	} {
		if got := row.request.fingerprint() == base.fingerprint(); got != row.same {
			t.Errorf("%s: got same %v, want %v", name, got, row.same)
		}
	}
}

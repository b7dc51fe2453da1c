package relayer

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// exchangeResults are the possible results of an exchange; repeated entries are
// more likely.
var exchangeResults = []transporter.Result{
	transporter.Answered, transporter.Answered, transporter.Answered, transporter.NotRun, transporter.ConnectionLost,
	transporter.InvalidAnswer, transporter.DeadlineExceeded,
}

// A request that is not idempotent must run at most once, and a request refused
// with 503 must not have run. 100,000 requests meet servers that shed requests
// and that lose, corrupt or delay responses.
func TestAtMostOnce(t *testing.T) {
	sim := newSimulation(t, 0)
	for _, s := range sim.servers {
		s.slots, s.queue = 50, 2
		s.drawWorkTime = func() zinniatide.Millis { return 1 + zinniatide.Millis(sim.random.IntN(5)) }
		s.fault = func() (transporter.Result, int) { return exchangeResults[sim.random.IntN(len(exchangeResults))], 200 }
	}
	const requests = 100_000
	statuses := map[string]int{}
	var counts [600]int
	for n := range requests {
		sim.After(zinniatide.Millis(n/10), func() {
			id := fmt.Sprintf("once-%d", n)
			req := &Request{ID: id, Host: "h", Path: "/once/x", Head: []byte("POST /once/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now(), Timeout: 300}
			sim.relayer.Serve(req, func(reply Reply) {
				statuses[id] = reply.Status
				counts[reply.Status]++
			})
		})
	}
	sim.run(sim.clock.Now() + requests/10 + 5000)
	runs := map[string]int{}
	for _, s := range sim.servers {
		for id, n := range s.runsByRequest() {
			runs[id] += n
		}
	}
	if got := len(statuses); got != requests {
		t.Fatalf("got %d answers, want %d", got, requests)
	}
	for id, n := range runs {
		if n > 1 {
			t.Fatalf("request %s ran %d times, want at most once", id, n)
		}
		if statuses[id] == 503 && n > 0 {
			t.Fatalf("request %s was refused with 503 but has run", id)
		}
	}
	t.Logf("answers by status: 200: %d, 502: %d, 503: %d, 504: %d", counts[200], counts[502], counts[503], counts[504])
}

// runsByRequest returns how often each request was started on the server. A
// request that the server reports as not run is not counted.
func (s *simServer) runsByRequest() map[string]int { return s.runCounts }

// When a caller disconnects, the requests at the servers must be cancelled.
func TestCallerDisconnectStopsServers(t *testing.T) {
	sim := newSimulation(t, testShards)
	for _, s := range sim.servers {
		s.drawWorkTime = func() zinniatide.Millis { return 500 }
	}
	answered := false
	req := &Request{ID: "r", Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now()}
	cancel := sim.relayer.Serve(req, func(Reply) { answered = true })
	sim.run(sim.clock.Now() + 20)
	cancel()
	sim.run(sim.clock.Now() + 2000)
	if answered {
		t.Error("got an answer after the caller disconnected, want none")
	}
	for id := range sim.relayer.servers {
		if got := sim.relayer.servers[id].InFlight(); got != 0 {
			t.Errorf("server %s: got %d requests in flight, want 0", id.server, got)
		}
	}
}

// The status of a failed request must not claim that the request has not run if
// it may have. Each row is one result of its only exchange.
func TestFailureStatusReflectsExecution(t *testing.T) {
	for _, row := range []struct {
		result transporter.Result
		want   int
	}{
		{transporter.NotRun, 503}, {transporter.NotSent, 503}, {transporter.WrongServer, 503},
		{transporter.ConnectionLost, 502}, {transporter.InvalidAnswer, 502}, {transporter.DeadlineExceeded, 504},
	} {
		t.Run(row.result.String(), func(t *testing.T) {
			sim := newSimulation(t, 0)
			for _, s := range sim.servers {
				s.fault = func() (transporter.Result, int) { return row.result, 0 }
			}
			got := 0
			req := &Request{ID: "r", Host: "h", Path: "/once/x", Head: []byte("POST /once/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now(), Timeout: 400}
			sim.relayer.Serve(req, func(reply Reply) { got = reply.Status })
			sim.run(sim.clock.Now() + 5000)
			if got != row.want {
				t.Errorf("got status %d, want %d", got, row.want)
			}
		})
	}
}

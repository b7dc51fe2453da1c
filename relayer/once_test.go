package relayer

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// faults are the ways in which one exchange ends, with their weights.
var faults = []transporter.Result{
	transporter.Answered, transporter.Answered, transporter.Answered, transporter.NotRun, transporter.Lost,
	transporter.Garbled, transporter.Expired,
}

// Guards against a request that is not idempotent running twice, and against a
// refusal that says "has not run" after a server has begun to run it: 100,000
// requests meet servers that shed, lose, spoil and swallow answers.
func TestAtMostOnce(t *testing.T) {
	w := newWorld(t, 0)
	for _, s := range w.servers {
		s.slots, s.queue = 50, 2
		s.work = func() zinniatide.Millis { return 1 + zinniatide.Millis(w.random.IntN(5)) }
		s.fault = func() (transporter.Result, int) { return faults[w.random.IntN(len(faults))], 200 }
	}
	const requests = 100_000
	statuses := map[string]int{}
	var counts [600]int
	for n := range requests {
		w.After(zinniatide.Millis(n/10), func() {
			id := fmt.Sprintf("once-%d", n)
			req := &Request{ID: id, Host: "h", Path: "/once/x", Head: []byte("POST /once/x HTTP/1.1\r\n"), Arrived: w.clock.Now(), Wait: 300}
			w.relayer.Serve(req, func(reply Reply) {
				statuses[id] = reply.Status
				counts[reply.Status]++
			})
		})
	}
	w.run(w.clock.Now() + requests/10 + 5000)
	runs := map[string]int{}
	for _, s := range w.servers {
		for id, n := range s.begun() {
			runs[id] += n
		}
	}
	if got := len(statuses); got != requests {
		t.Fatalf("got %d answers, want %d", got, requests)
	}
	for id, n := range runs {
		if n > 1 {
			t.Fatalf("request %s ran %d times, want once at most", id, n)
		}
		if statuses[id] == 503 && n > 0 {
			t.Fatalf("request %s was refused with 503 and has run", id)
		}
	}
	t.Logf("answers by status: 200: %d, 502: %d, 503: %d, 504: %d", counts[200], counts[502], counts[503], counts[504])
}

// begun counts the requests that the server has begun to run. A server that
// says it did not run a request has not.
func (s *simServer) begun() map[string]int { return s.ran }

// Guards against work at servers after the caller has left.
func TestCallerThatLeavesStopsItsServers(t *testing.T) {
	w := newWorld(t, testShards)
	for _, s := range w.servers {
		s.work = func() zinniatide.Millis { return 500 }
	}
	answered := false
	req := &Request{ID: "r", Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), Arrived: w.clock.Now()}
	cancel := w.relayer.Serve(req, func(Reply) { answered = true })
	w.run(w.clock.Now() + 20)
	cancel()
	w.run(w.clock.Now() + 2000)
	if answered {
		t.Error("got an answer after the caller had left, want none")
	}
	for id := range w.relayer.servers {
		if got := w.relayer.servers[id].InFlight(); got != 0 {
			t.Errorf("server %s: got %d requests in flight, want 0", id.server, got)
		}
	}
}

// Guards against statuses that promise "not run" for what may have run, at
// each end of the only exchange of a request.
func TestFailureStatusTellsTheTruth(t *testing.T) {
	for _, row := range []struct {
		result transporter.Result
		want   int
	}{
		{transporter.NotRun, 503}, {transporter.NotSent, 503}, {transporter.OtherServer, 503},
		{transporter.Lost, 502}, {transporter.Garbled, 502}, {transporter.Expired, 504},
	} {
		t.Run(row.result.String(), func(t *testing.T) {
			w := newWorld(t, 0)
			for _, s := range w.servers {
				s.fault = func() (transporter.Result, int) { return row.result, 0 }
			}
			got := 0
			req := &Request{ID: "r", Host: "h", Path: "/once/x", Head: []byte("POST /once/x HTTP/1.1\r\n"), Arrived: w.clock.Now(), Wait: 400}
			w.relayer.Serve(req, func(reply Reply) { got = reply.Status })
			w.run(w.clock.Now() + 5000)
			if got != row.want {
				t.Errorf("got status %d, want %d", got, row.want)
			}
		})
	}
}

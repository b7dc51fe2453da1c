package relayer

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/retrybudget"
)

// simLinks delivers messages to another Relayer of the simulation.
type simLinks struct {
	sim  *simulation
	peer *Relayer
	// fault is the error of all calls to the peer, or nil.
	fault error
	// unresponsive makes all calls time out.
	unresponsive bool
	// diesAfter is when the link is lost after each call, or 0. The peer has worked on
	// the call until then, and its answers are lost.
	diesAfter zinniatide.Millis
	// disconnected reports the link as down and drops the messages that the peer
	// sends after its first reply.
	disconnected bool
	calls        int
	// diesAt is when the link is lost for each call, if diesAfter is set.
	diesAt map[uint64]zinniatide.Millis
}

func (l *simLinks) Connected(zinniatide.VMID) bool { return !l.disconnected }

func (l *simLinks) Send(_ zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	raw, err := encoder.Marshal(body)
	switch {
	case err != nil:
	case kind == zinniatide.KindGatherCancel:
		l.sim.After(1, func() { l.peer.HandleGatherCancel("self", raw, nil) })
	case kind == zinniatide.KindGatherLateParts && !l.disconnected:
		l.sim.After(1, func() { l.sim.relayer.HandleLateParts("peer", raw, nil) })
	}
	return err
}

func (l *simLinks) Call(_ zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	raw, err := encoder.Marshal(body)
	if kind == zinniatide.KindGatherAttempts {
		l.askForAttempts(body.(*attemptsRequest), raw, done)
		return
	}
	l.calls++
	if err == nil {
		err = l.fault
	}
	switch {
	case errors.Is(err, zinniatide.ErrNotSent):
		done(nil, err)
	case err != nil:
		l.sim.After(3, func() { done(nil, err) })
	case l.diesAfter > 0:
		if l.diesAt == nil {
			l.diesAt = map[uint64]zinniatide.Millis{}
		}
		l.diesAt[body.(*delegationRequest).Call] = l.sim.clock.Now() + l.diesAfter
		l.sim.After(1, func() { l.peer.HandleGather("self", raw, func(any, error) {}) })
		l.sim.After(l.diesAfter, func() { done(nil, zinniatide.ErrLinkLost) })
	case l.unresponsive:
		l.sim.After(timeout, func() { done(nil, zinniatide.ErrTimeout) })
	default:
		l.sim.After(1, func() {
			l.peer.HandleGather("self", raw, func(value any, err error) {
				answer, encodeErr := encoder.Marshal(value)
				l.sim.After(1, func() { done(answer, errors.Join(err, encodeErr)) })
			})
		})
	}
}

// askForAttempts passes a request of the peer for attempts to the Relayer under test.
func (l *simLinks) askForAttempts(msg *attemptsRequest, raw []byte, done func([]byte, error)) {
	arrivesAt := l.sim.clock.Now() + 1
	if diesAt, dies := l.diesAt[msg.Call]; dies && arrivesAt >= diesAt || l.disconnected {
		l.sim.After(1, func() { done(nil, zinniatide.ErrLinkLost) })
		return
	}
	l.sim.After(1, func() {
		l.sim.relayer.HandleGatherAttempts("peer", raw, func(value any, err error) {
			answer, encodeErr := encoder.Marshal(value)
			l.sim.After(1, func() { done(answer, errors.Join(err, encodeErr)) })
		})
	})
}

// newTwoZoneSimulation returns a Relayer in zone a and its delegate in zone b.
// All servers of the shards are in zone b.
func newTwoZoneSimulation(t *testing.T, shards int) (*simulation, *simLinks) {
	sim := newSimulation(t, shards)
	for i := range sim.enrollments {
		if sim.enrollments[i].Service != "plain" {
			sim.enrollments[i].Zone = "b"
		}
	}
	sim.config.Members["peer"] = zinniatide.Member{VM: "peer", Zone: "b", Relay: true, State: zinniatide.StateIn}
	links := &simLinks{sim: sim}
	sim.relayer.deps.Links = links
	links.peer = New(Config{VM: "peer", Process: 2, Zone: "b", Budget: retrybudget.Config{Ratio: 0.2, Slack: 52, Window: 10_000}, RemoteCost: 25, ReplyMargin: 11},
		sim.relayer.deps)
	links.peer.Update(sim.config, sim.enrollments)
	sim.updateRelayer()
	return sim, links
}

// Parts gathered by a delegate in another zone must not be lost, duplicated or
// mixed up.
func TestDelegateGathersPartsOfItsZone(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	sim.schedulePauses(150, 3600)
	out := sim.runLoad("/q/x", 40, 5000, testTarget, testShards)
	if got, want := out.quality, 0.95; got < want {
		t.Errorf("got quality %.3f of %+v, want at least %.2f", got, *out, want)
	}
	if links.calls == 0 {
		t.Error("got no call to the delegate, want one for each query")
	}
	if got, most := sim.arrivals("shard-00"), int(1.3*float64(out.sent)); got > most {
		t.Errorf("got %d arrivals at a shard for %d queries, want at most %d", got, out.sent, most)
	}
}

// The parts and the missing parts of an answer must add up to all shards, and
// no part may be listed twice.
func TestDelegateReplyIsConsistent(t *testing.T) {
	sim, _ := newTwoZoneSimulation(t, testShards)
	for i, e := range sim.enrollments {
		if e.Service != "plain" && i/2 == 3 {
			sim.servers[e.Server].unreachable = true
		}
	}
	answers := 0
	for n := range 40 {
		sim.After(zinniatide.Millis(n*30), func() {
			id := fmt.Sprintf("c%d", n)
			req := &Request{ID: id, Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now()}
			sim.relayer.Serve(req, func(reply Reply) {
				if reply.Status != 200 {
					return
				}
				answers++
				seen := map[string]bool{}
				for _, line := range splitLines(string(reply.Header)) {
					if list, ok := strings.CutPrefix(line, "X-Parts: "); ok {
						for stamp := range strings.SplitSeq(list, ", ") {
							shard := stamp[:len("shard-00")]
							if seen[shard] || !strings.HasSuffix(stamp, "."+id) {
								t.Errorf("request %s: got stamp %s twice or of another request", id, stamp)
							}
							seen[shard] = true
						}
					}
				}
				if got, want := len(seen)+missingParts(t, reply), testShards; got != want {
					t.Errorf("request %s: got %d parts including missing ones, want %d", id, got, want)
				}
			})
		})
	}
	sim.run(sim.clock.Now() + 5000)
	if answers == 0 {
		t.Error("got no answer, want some")
	}
}

// A failed delegate must not fail the queries that were delegated to it, and no
// server may run a part more often than the route allows attempts.
func TestDelegateFailure(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*simLinks)
		// minAnswered is the minimum share of answered queries.
		minAnswered float64
	}{
		{"link down", func(l *simLinks) { l.fault = zinniatide.ErrNotSent }, 0.95},
		{"link lost during the call", func(l *simLinks) { l.fault = zinniatide.ErrLinkLost }, 0.9},
		{"silent", func(l *simLinks) { l.unresponsive = true }, 0.8},
		{"dies after 15 ms of work", func(l *simLinks) { l.diesAfter = 15 }, 0.8},
		{"dies after 40 ms of work", func(l *simLinks) { l.diesAfter = 40 }, 0.8},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim, links := newTwoZoneSimulation(t, testShards)
			row.change(links)
			out := sim.runLoad("/q/x", 30, 5000, testTarget, testShards)
			if got, want := float64(out.inTarget+out.late), row.minAnswered*float64(out.sent); got < want {
				t.Errorf("got %.0f of %d answered: %+v, want at least %.0f", got, out.sent, *out, want)
			}
			type shardRun struct{ request, shard string }
			runs := map[shardRun]int{}
			for _, s := range sim.servers {
				for id, n := range s.runCounts {
					runs[shardRun{id, string(s.id[:len(s.id)-1])}] += n
				}
			}
			for r, n := range runs {
				if n > 2 {
					t.Fatalf("request %s ran %d times on servers of %s, want at most 2", r.request, n, r.shard)
				}
			}
		})
	}
}

// When the caller of a delegated query disconnects, the delegate must cancel
// its requests to servers.
func TestCancelReachesDelegate(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	for _, s := range sim.servers {
		s.drawWorkTime = func() zinniatide.Millis { return 800 }
	}
	req := &Request{ID: "r", Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now()}
	cancel := sim.relayer.Serve(req, func(Reply) { t.Error("got an answer after the caller disconnected, want none") })
	sim.run(sim.clock.Now() + 20)
	cancel()
	sim.run(sim.clock.Now() + 10)
	if got := len(links.peer.delegatedGathers); got != 0 {
		t.Errorf("got %d gather requests at the delegate, want 0", got)
	}
}

// If a part is hedged through a delegate and the first server answers as well,
// its records must count once. Hedges must stay within the retry budget.
func TestHedgesThroughDelegate(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	for i := range sim.enrollments {
		if sim.enrollments[i].Service != "plain" && i%2 == 0 {
			sim.enrollments[i].Zone = "a" // one server of each shard in each zone
		}
	}
	links.peer.Update(sim.config, sim.enrollments)
	sim.updateRelayer()
	sim.schedulePauses(150, 2000)
	out := sim.runLoad("/q/x", 40, 10_000, testTarget, testShards)
	if got, want := out.quality, 0.95; got < want {
		t.Errorf("got quality %.3f of %+v, want at least %.2f", got, *out, want)
	}
	if links.calls == 0 {
		t.Error("got no call to the delegate, want hedges through it")
	}
	sim.checkBudget(out, 10)
	if out.duplicated > 0 {
		t.Errorf("got %d answers with a duplicate record, want none", out.duplicated)
	}
}

// slowShards slows down the servers of the first n shards, so that their parts
// arrive after the cutoff.
func (sim *simulation) slowShards(n int) {
	for i, e := range sim.enrollments {
		if e.Service != "plain" && i/2 < n {
			sim.servers[e.Server].drawWorkTime = func() zinniatide.Millis { return 200 }
		}
	}
}

// More shards than an answer may lack are slow, so the query needs parts that
// arrive after the cutoff. The delegate must keep waiting for them and leave no
// gather request behind; otherwise the query fails after nearly all of its work
// is done.
func TestDelegateSendsLateParts(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	sim.slowShards(testShards / 2)
	out := sim.runLoad("/q/x", 4, 3000, testTarget, testShards)
	if out.late != out.sent {
		t.Errorf("got %+v, want all answered late", *out)
	}
	if got := len(links.peer.delegatedGathers) + len(sim.relayer.delegations); got != 0 {
		t.Errorf("got %d gather requests and delegations left, want 0", got)
	}
}

// Once the caller has been answered without the last parts, the delegate must
// stop.
func TestDelegateStopsAfterReply(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	sim.slowShards(1)
	out := &outcomeCounts{}
	sim.sendRequest("/q/x", testTarget, testShards, out)
	sim.run(sim.clock.Now() + testTarget + 10)
	if got := len(links.peer.delegatedGathers); got != 0 || out.inTarget != 1 {
		t.Errorf("got %d gather requests at the delegate and %+v, want 0 and an answer within the target latency", got, *out)
	}
}

// A delegate is lost between its first and its last reply. The query must fail
// soon instead of waiting until its deadline.
func TestDelegateLostBeforeLateParts(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	sim.slowShards(testShards / 2)
	out := &outcomeCounts{}
	sim.sendRequest("/q/x", testTarget, testShards, out)
	sim.After(150, func() { links.disconnected = true })
	sim.run(sim.clock.Now() + 300)
	if out.failed != 1 {
		t.Errorf("got %+v after 300 ms, want a failure", *out)
	}
}

// Guards against a request id that other VMs cannot decode, which would have their
// delegate left out for other requests too.
func TestRequestIDThatIsNoTextIsNotDelegated(t *testing.T) {
	sim, links := newTwoZoneSimulation(t, testShards)
	if got := sim.serve("r-\xff", "/q/x").Status; got != 200 {
		t.Errorf("got status %d, want 200", got)
	}
	if got := links.calls; got != 0 {
		t.Errorf("got %d calls to the delegate, want none", got)
	}
	if got := sim.serve("r-1", "/q/x").Status; got != 200 || links.calls == 0 {
		t.Errorf("got status %d and %d calls of the next request, want 200 and a call", got, links.calls)
	}
}

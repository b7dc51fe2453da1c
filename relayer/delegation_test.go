package relayer

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/rationer"
)

// simLinks deliver messages to another Relayer of the world.
type simLinks struct {
	w    *world
	peer *Relayer
	// fault ends calls to the peer; nil for none.
	fault error
	// silent drops calls without an answer.
	silent bool
	// cut drops what the peer sends by itself.
	cut   bool
	calls int
}

func (l *simLinks) Connected(zinniatide.VMID) bool { return !l.cut }

func (l *simLinks) Send(_ zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	raw, err := encoder.Marshal(body)
	switch {
	case err != nil:
	case kind == zinniatide.KindGatherCancel:
		l.w.After(1, func() { l.peer.HandleGatherCancel("self", raw, nil) })
	case kind == zinniatide.KindGatherRest && !l.cut:
		l.w.After(1, func() { l.w.relayer.HandleGatherRest("peer", raw, nil) })
	}
	return err
}

func (l *simLinks) Call(_ zinniatide.VMID, _ zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	l.calls++
	raw, err := encoder.Marshal(body)
	if err == nil {
		err = l.fault
	}
	switch {
	case errors.Is(err, zinniatide.ErrNotSent):
		done(nil, err)
	case err != nil:
		l.w.After(3, func() { done(nil, err) })
	case l.silent:
		l.w.After(timeout, func() { done(nil, zinniatide.ErrTimeout) })
	default:
		l.w.After(1, func() {
			l.peer.HandleGather("self", raw, func(value any, err error) {
				answer, encodeErr := encoder.Marshal(value)
				l.w.After(1, func() { done(answer, errors.Join(err, encodeErr)) })
			})
		})
	}
}

// newWorldOfZones builds shards whose servers all stand in zone b, a Relayer in
// zone a and its helper in zone b.
func newWorldOfZones(t *testing.T, shards int) (*world, *simLinks) {
	w := newWorld(t, shards)
	for i := range w.list {
		if w.list[i].Service != "plain" {
			w.list[i].Zone = "b"
		}
	}
	w.config.Members["peer"] = zinniatide.Member{VM: "peer", Zone: "b", Relay: true, State: zinniatide.StateIn}
	links := &simLinks{w: w}
	w.relayer.d.Links = links
	links.peer = New(Config{VM: "peer", Zone: "b", Budget: rationer.Config{Ratio: 0.2, Slack: 52, Window: 10_000}, RemoteCost: 25, ReplyMargin: 11},
		w.relayer.d)
	links.peer.Update(w.config, w.list)
	w.update()
	return w, links
}

// Guards against parts that are lost, doubled or mixed when a helper of another
// zone gathers them.
func TestHelperGathersPartsOfItsZone(t *testing.T) {
	w, links := newWorldOfZones(t, testShards)
	w.pauses(150, 3600)
	out := w.load("/q/x", 40, 5000, testTarget, testShards)
	if got, want := out.worth, 0.95; got < want {
		t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
	}
	if links.calls == 0 {
		t.Error("got no call to the helper, want one for each query")
	}
	if got, most := w.arrivals("shard-00"), int(1.3*float64(out.asked)); got > most {
		t.Errorf("got %d arrivals at a shard for %d queries, want at most %d", got, out.asked, most)
	}
}

// Guards against an answer that names a part twice, or whose parts and missing
// parts are not all shards.
func TestHelpersAnswerIsConsistent(t *testing.T) {
	w, _ := newWorldOfZones(t, testShards)
	for i, e := range w.list {
		if e.Service != "plain" && i/2 == 3 {
			w.servers[e.Server].dark = true
		}
	}
	answers := 0
	for n := range 40 {
		w.After(zinniatide.Millis(n*30), func() {
			id := fmt.Sprintf("c%d", n)
			req := &Request{ID: id, Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), Arrived: w.clock.Now()}
			w.relayer.Serve(req, func(reply Reply) {
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
				if got, want := len(seen)+missingOf(t, reply), testShards; got != want {
					t.Errorf("request %s: got %d parts and missing ones, want %d", id, got, want)
				}
			})
		})
	}
	w.run(w.clock.Now() + 5000)
	if answers == 0 {
		t.Error("got no answer, want some")
	}
}

// Guards against queries that are lost with a helper, and against parts that
// reach more servers than the route allows.
func TestLostHelper(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*simLinks)
		// served is the least share of queries that are answered.
		served float64
	}{
		{"link down", func(l *simLinks) { l.fault = zinniatide.ErrNotSent }, 0.95},
		{"link lost on the way", func(l *simLinks) { l.fault = zinniatide.ErrLinkLost }, 0.9},
		{"silent", func(l *simLinks) { l.silent = true }, 0.8},
	} {
		t.Run(row.name, func(t *testing.T) {
			w, links := newWorldOfZones(t, testShards)
			row.change(links)
			out := w.load("/q/x", 30, 5000, testTarget, testShards)
			if got, want := float64(out.inTarget+out.late), row.served*float64(out.asked); got < want {
				t.Errorf("got %.0f of %d answered: %+v, want at least %.0f", got, out.asked, *out, want)
			}
			for _, s := range w.servers {
				for id, n := range s.ran {
					if n > 2 {
						t.Fatalf("request %s ran %d times on one server", id, n)
					}
				}
			}
		})
	}
}

// Guards against servers that go on for a caller that has left a delegated
// query.
func TestCancelReachesTheHelper(t *testing.T) {
	w, links := newWorldOfZones(t, testShards)
	for _, s := range w.servers {
		s.work = func() zinniatide.Millis { return 800 }
	}
	req := &Request{ID: "r", Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), Arrived: w.clock.Now()}
	cancel := w.relayer.Serve(req, func(Reply) { t.Error("got an answer after the caller had left, want none") })
	w.run(w.clock.Now() + 20)
	cancel()
	w.run(w.clock.Now() + 10)
	if got := len(links.peer.delegated); got != 0 {
		t.Errorf("got %d gatherings at the helper, want 0", got)
	}
}

// Guards against records that count twice when both the first server and the
// helper that repeats a part answer, and against repeats beyond the bound.
func TestRepeatsThroughAHelper(t *testing.T) {
	w, links := newWorldOfZones(t, testShards)
	for i := range w.list {
		if w.list[i].Service != "plain" && i%2 == 0 {
			w.list[i].Zone = "a" // one server of each shard in each zone
		}
	}
	links.peer.Update(w.config, w.list)
	w.update()
	w.pauses(150, 2000)
	out := w.load("/q/x", 40, 10_000, testTarget, testShards)
	if got, want := out.worth, 0.95; got < want {
		t.Errorf("got worth %.3f of %+v, want at least %.2f", got, *out, want)
	}
	if links.calls == 0 {
		t.Error("got no call to the helper, want repeats through it")
	}
	w.checkBudget(out, 10)
	if out.doubled > 0 {
		t.Errorf("got %d answers with a record twice, want none", out.doubled)
	}
}

// slowShards makes the servers of the first n shards so slow that their parts
// arrive after the cutoff.
func (w *world) slowShards(n int) {
	for i, e := range w.list {
		if e.Service != "plain" && i/2 < n {
			w.servers[e.Server].work = func() zinniatide.Millis { return 200 }
		}
	}
}

// Pattern: more shards than an answer may lack are slow. Guards against queries
// that fail at the cutoff, after nearly all work has been done, because a helper
// stops waiting for its parts, and against gatherings that stay behind.
func TestHelperSendsLateParts(t *testing.T) {
	w, links := newWorldOfZones(t, testShards)
	w.slowShards(testShards / 2)
	out := w.load("/q/x", 4, 3000, testTarget, testShards)
	if out.late != out.asked {
		t.Errorf("got %+v, want all answered late", *out)
	}
	if got := len(links.peer.delegated) + len(w.relayer.groups); got != 0 {
		t.Errorf("got %d gatherings left, want 0", got)
	}
}

// Guards against work for queries that have been answered without the last
// parts.
func TestHelperStopsAfterTheAnswer(t *testing.T) {
	w, links := newWorldOfZones(t, testShards)
	w.slowShards(1)
	out := &tally{}
	w.ask("/q/x", testTarget, testShards, out)
	w.run(w.clock.Now() + testTarget + 10)
	if got := len(links.peer.delegated); got != 0 || out.inTarget != 1 {
		t.Errorf("got %d gatherings at the helper and %+v, want 0 and an answer in the target time", got, *out)
	}
}

// Guards against queries that wait until their deadline for a helper that is
// lost between its first answer and its last.
func TestHelperLostBeforeItsLateParts(t *testing.T) {
	w, links := newWorldOfZones(t, testShards)
	w.slowShards(testShards / 2)
	out := &tally{}
	w.ask("/q/x", testTarget, testShards, out)
	w.After(150, func() { links.cut = true })
	w.run(w.clock.Now() + 300)
	if out.failed != 1 {
		t.Errorf("got %+v after 300 ms, want a failure", *out)
	}
}

package forwarder

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// TestGroupingByOwner checks that one message is sent per owner, that results are
// assigned to the right sub-request, and that a request body does not change after the
// link's handler has returned.
func TestGroupingByOwner(t *testing.T) {
	c := clock.NewManual(1000, 0)
	a, b := newVMPair(t, c)
	rs := newRequests(c, "b3", "a1", "b1", "none", "x1", "b2")
	got, cancel := dispatchAll(a, rs)
	got.want(t, 3, zinniatide.OutcomeNotRun, zinniatide.CodeNoServer)
	got.want(t, 4, zinniatide.OutcomeNotRun, zinniatide.CodeNotOwner)
	if n := a.sentMessages[zinniatide.KindSubRequest]; n != 1 || len(b.running) != 3 || len(a.running) != 1 {
		t.Fatalf("got %d messages, %d remote and %d local requests, want 1, 3 and 1", n, len(b.running), len(a.running))
	}
	cancel(5)
	cancel(1)
	if len(b.cancelled) != 1 || b.cancelled[0] != "b2" || len(a.cancelled) != 1 {
		t.Errorf("got cancelled %v remotely and %v locally, want b2 and a1", b.cancelled, a.cancelled)
	}
	for _, d := range append(b.running, a.running...) {
		if !bytes.Equal(d.request.Body, rs[0].Body) || d.request.Deadline != 2000 || d.request.RequestID != "r" {
			t.Errorf("got request %+v", d.request)
		}
		d.done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(d.request.Server), InFlight: 2, Queued: 3, Crashed: true})
		d.done(zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown}) // must be ignored
		b.server.flush()
	}
	for _, i := range []int{0, 1, 2, 5} {
		got.want(t, i, zinniatide.OutcomeDone, "")
		if r := got.results[i]; string(r.Body) != string(rs[i].Server) || r.InFlight != 2 || r.Queued != 3 || !r.Crashed {
			t.Errorf("got result %+v for %s", r, rs[i].Server)
		}
	}
}

// TestCoalescedResults checks that several results are sent in one message of limited
// size, and that the reply to a batch is not sent before results that are being sent.
func TestCoalescedResults(t *testing.T) {
	c := clock.NewManual(1000, 0)
	a, b := newVMPair(t, c)
	got, _ := dispatchAll(a, newRequests(c, "b1", "b2", "b3", "b4", "b5"))
	done := zinniatide.SubResult{Outcome: zinniatide.OutcomeDone}
	b.running[0].done(done)
	b.running[1].done(done)
	// The last results arrive while flush is sending the first ones.
	b.beforeSend = func() {
		b.running[2].done(done)
		b.running[3].done(done)
		b.running[4].done(done)
	}
	b.server.flush()
	for i := range got.counts {
		got.want(t, i, zinniatide.OutcomeDone, "")
	}
	if n := b.sentMessages[zinniatide.KindSubResult]; n != 1 {
		t.Errorf("got %d messages of results, want 1 in addition to the reply", n)
	}
	large := []resultItem{{Body: make([]byte, maxResultMessageBytes)}, {Body: make([]byte, 1)}, {Body: make([]byte, 1)}}
	if n := countFitting(large); n != 1 {
		t.Errorf("got %d results in a message, want 1", n)
	}
	if n := countFitting(large[1:]); n != 2 {
		t.Errorf("got %d results in a message, want 2", n)
	}
}

// TestLargeReply checks that a reply does not exceed the message size of a link if large
// results are unsent when the batch ends.
func TestLargeReply(t *testing.T) {
	c := clock.NewManual(1000, 0)
	a, b := newVMPair(t, c)
	got, _ := dispatchAll(a, newRequests(c, "b1", "b2", "b3", "b4"))
	for _, d := range b.running {
		d.done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: make([]byte, maxResultMessageBytes)})
	}
	for i := range got.counts {
		got.want(t, i, zinniatide.OutcomeDone, "")
	}
	if n := b.sentMessages[zinniatide.KindSubResult]; n != 3 || b.largestMessage > maxResultMessageBytes+1000 {
		t.Errorf("got %d messages and at most %d bytes, want 3 and about %d", n, b.largestMessage, maxResultMessageBytes)
	}
}

// TestLinkFaults checks that each sub-request gets exactly one result, with the right
// outcome, if the link or the owner fails.
func TestLinkFaults(t *testing.T) {
	tests := []struct {
		fault   string
		outcome zinniatide.Outcome
		code    zinniatide.Code
	}{
		{"not-sent", zinniatide.OutcomeNotRun, zinniatide.CodePeerLost},
		{"lost", zinniatide.OutcomeUnknown, zinniatide.CodePeerLost},
		{"timeout", zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed},
	}
	for _, tt := range tests {
		c := clock.NewManual(1000, 0)
		a, b := newVMPair(t, c)
		a.callFault = tt.fault
		got, cancel := dispatchAll(a, newRequests(c, "b1", "b2"))
		for _, d := range b.running {
			d.done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone}) // too late
		}
		b.server.flush()
		c.Advance(2000)
		a.expireCalls()
		for i := range 2 {
			cancel(i)
			got.want(t, i, tt.outcome, tt.code)
		}
		if len(a.batches) != 0 || len(a.calls) != 0 || len(b.server.batches) != 0 {
			t.Errorf("%s: got %d batches, %d calls and %d served batches left, want none",
				tt.fault, len(a.batches), len(a.calls), len(b.server.batches))
		}
	}
}

// TestDeadline checks that a sub-request ends deadlineMargin before its deadline, neither
// later nor earlier, while the owner may still send a result, and that a sub-request
// whose deadline has passed is not sent.
func TestDeadline(t *testing.T) {
	c := clock.NewManual(1000, 0)
	a, b := newVMPair(t, c)
	got, _ := dispatchAll(a, newRequests(c, "b1", "a1"))
	c.Advance(990)
	a.expireCalls()
	if got.counts[0] != 0 || got.counts[1] != 0 {
		t.Error("got a result more than deadlineMargin before the deadline")
	}
	c.Advance(5)
	a.expireCalls()
	for i := range 2 {
		got.want(t, i, zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed)
	}
	for _, d := range append(a.running, b.running...) {
		d.done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone})
	}
	got.want(t, 0, zinniatide.OutcomeUnknown, zinniatide.CodeDeadlinePassed)
	rs := newRequests(c, "b1")
	c.Advance(1000)
	late, _ := dispatchAll(a, rs)
	late.want(t, 0, zinniatide.OutcomeNotRun, zinniatide.CodeDeadlinePassed)
}

// TestStrayResults checks that results from another VM, for another batch or with an
// invalid index or outcome are ignored.
func TestStrayResults(t *testing.T) {
	c := clock.NewManual(1000, 0)
	a, b := newVMPair(t, c)
	got, _ := dispatchAll(a, newRequests(c, "b1"))
	number := a.lastBatch.Load()
	stray := func(from zinniatide.VMID, batch uint64, index int, outcome outcomeCode) {
		raw, err := cbor.Marshal(resultMessage{Process: 1, Items: []resultItem{{Batch: batch, Index: index, Outcome: outcome}}})
		if err != nil {
			t.Fatal(err)
		}
		a.receiveResults(from, raw, nil)
	}
	stray("c", number, 0, encodeOutcome(zinniatide.OutcomeDone))
	stray("b", number-1, 0, encodeOutcome(zinniatide.OutcomeDone))
	stray("b", number, 1, encodeOutcome(zinniatide.OutcomeDone))
	stray("b", number, -1, encodeOutcome(zinniatide.OutcomeDone))
	stray("b", number, 0, outcomeCode(len(outcomesByCode)))
	if got.counts[0] != 0 {
		t.Errorf("got %d results, want 0", got.counts[0])
	}
	b.running[0].done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone})
	got.want(t, 0, zinniatide.OutcomeDone, "")
}

// TestResultsForEarlierProcess guards against results that a batch of an earlier process
// of the VM gets after the restart, when the new process uses the same numbers, and
// against a cancel that ends the batch of another process.
func TestResultsForEarlierProcess(t *testing.T) {
	c := clock.NewManual(1000, 0)
	a, b := newVMPair(t, c)
	dispatchAll(a, newRequests(c, "b1", "b2"))
	restarted := startVM(t, c, "a", 3, a.catalog, a.peers)
	later, _ := dispatchAll(restarted, newRequests(c, "b3", "b4"))
	if got, want := len(b.running), 4; got != want {
		t.Fatalf("got %d sub-requests at the owner, want %d", got, want)
	}
	for i := range 2 {
		b.running[i].done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte("early")})
	}
	b.server.flush()
	if got := later.counts[0] + later.counts[1]; got != 0 {
		t.Errorf("got %d results of an earlier process, want 0", got)
	}
	raw, err := cbor.Marshal(cancelMessage{Process: 1, Batch: 1})
	if err != nil {
		t.Fatal(err)
	}
	b.server.receiveCancel("a", raw, nil)
	if got := len(b.cancelled); got != 0 {
		t.Errorf("got %d cancelled sub-requests of another process, want 0", got)
	}
	for i := 2; i < 4; i++ {
		b.running[i].done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte("later")})
	}
	b.server.flush()
	for i := range 2 {
		later.want(t, i, zinniatide.OutcomeDone, "")
		if got, want := string(later.results[i].Body), "later"; got != want {
			t.Errorf("got result %q, want %q", got, want)
		}
	}
}

// TestRejectsInvalidBatch checks that malformed and duplicate batches are not run.
func TestRejectsInvalidBatch(t *testing.T) {
	valid := batchMessage{Batch: 1, Remaining: 10, Items: make([]batchItem, 1)}
	for name, change := range map[string]func(m *batchMessage){
		"no items":          func(m *batchMessage) { m.Items = nil },
		"large body":        func(m *batchMessage) { m.Body = make([]byte, zinniatide.MaxRequestBody+1) },
		"unknown operation": func(m *batchMessage) { m.Operation = 2 },
		"negative time":     func(m *batchMessage) { m.Remaining = -1 },
		"excessive time":    func(m *batchMessage) { m.Remaining = maxRemainingTime + 1 },
		"duplicate batch":   func(m *batchMessage) { m.Batch = 7 },
	} {
		c := clock.NewManual(1000, 0)
		_, b := newVMPair(t, c)
		send := func(m batchMessage) (err error) {
			raw, _ := cbor.Marshal(m)
			b.server.receiveBatch("a", raw, func(_ any, e error) { err = e })
			return err
		}
		first := valid
		first.Batch = 7
		if err := send(first); err != nil {
			t.Errorf("%s: got %v for a valid batch", name, err)
		}
		m := valid
		change(&m)
		if err := send(m); err == nil || len(b.running) != 1 {
			t.Errorf("%s: got %v and %d requests, want an error and 1", name, err, len(b.running))
		}
	}
}

// FuzzDecode checks that the decoders neither panic nor accept invalid values.
func FuzzDecode(f *testing.F) {
	for _, value := range []any{
		batchMessage{Batch: 1, Remaining: 10, Items: []batchItem{{Server: "b", LastKey: 9}}, Body: []byte("{}")},
		resultMessage{Process: 1, Items: []resultItem{{Batch: 1, Outcome: encodeOutcome(zinniatide.OutcomeDone)}}}, cancelMessage{1, 1, 2},
	} {
		raw, err := cbor.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, err := decodeBatch(raw); err == nil {
			if len(m.Items) == 0 || m.Operation > zinniatide.OperationExecute || m.subRequest(0, 1000).Deadline < 1000 {
				t.Errorf("accepted %+v", m)
			}
		}
		if m, err := decodeResults(raw); err == nil {
			for _, item := range m.Items {
				if item.subResult().Outcome == "" {
					t.Errorf("accepted %+v", item)
				}
			}
		}
	})
}

// BenchmarkForward sends calls of 84 sub-requests to one owner and receives the results.
// The link is in memory and results are available immediately, so that only encoding,
// decoding and bookkeeping are measured.
func BenchmarkForward(b *testing.B) {
	c := clock.New()
	from, to := newVMPair(b, c)
	to.respond = func(zinniatide.SubRequest) (zinniatide.SubResult, bool) {
		return zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(`{"total":1}`)}, true
	}
	servers := make([]string, 84)
	for i := range servers {
		servers[i] = fmt.Sprint("b", i%9+1)
	}
	left := 0
	done := func(int, zinniatide.SubResult) { left-- }
	b.ReportAllocs()
	for range b.N {
		left = len(servers)
		from.DispatchAll(newRequests(c, servers...), done)
		from.expireCalls()
		if left != 0 {
			b.Fatalf("got %d missing results", left)
		}
	}
}

// TestConcurrentCalls checks that no result is lost or reported twice if calls, results,
// cancellations and deadlines coincide.
func TestConcurrentCalls(t *testing.T) {
	c := clock.New()
	a, b := newVMPair(t, c)
	for _, n := range []*fakeVM{a, b} {
		n.respond = func(r zinniatide.SubRequest) (zinniatide.SubResult, bool) {
			return zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: r.Body}, r.Range.First%3 == 0
		}
		n.Start()
	}
	const calls, size = 50, 6
	var counts [calls * size]atomic.Int32
	var wait sync.WaitGroup
	wait.Add(len(counts))
	for k := range calls {
		go func() {
			rs := newRequests(c, "b1", "b2", "a1", "b3", "a1", "b4")
			for i := range rs {
				rs[i].Deadline = c.Now() + 30
			}
			cancel := a.DispatchAll(rs, func(i int, _ zinniatide.SubResult) {
				if counts[k*size+i].Add(1) == 1 {
					wait.Done()
				}
			})
			cancel(k % size)
		}()
	}
	wait.Wait()
	for _, n := range []*fakeVM{a, b} {
		n.mu.Lock()
		running := n.running
		n.mu.Unlock()
		for _, d := range running {
			d.done(zinniatide.SubResult{Outcome: zinniatide.OutcomeDone})
		}
	}
	b.server.flush()
	for i := range counts {
		if got := counts[i].Load(); got != 1 {
			t.Errorf("got %d results for sub-request %d, want 1", got, i)
		}
	}
}

package relayer

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// Guards against parts of a request of an earlier process of the VM in the answer to
// a request of the process that runs now.
func TestLatePartsOfEarlierProcess(t *testing.T) {
	const shards = 4
	m := newMeshWithRemoteShards(t, shards, shards)
	for _, e := range m.enrollments[:2] {
		m.servers[e.Server].drawWorkTime = func() zinniatide.Millis { return 700 }
	}
	for i := range 3 {
		m.ask("front", fmt.Sprintf("early-%d", i))
	}
	m.run(m.clock.Now() + 250) // the helper has replied with the other parts
	m.kill("front")
	m.start("front")
	answers := map[string]*meshAnswer{}
	for i := range 8 {
		id := fmt.Sprintf("later-%d", i)
		answers[id], _ = m.ask("front", id)
		m.run(m.clock.Now() + 5)
	}
	m.run(m.clock.Now() + 3000)
	for id, a := range answers {
		a.checkParts(t, id, shards)
	}
}

// newMeshWithRemoteShards returns a mesh in which the servers of the first remote
// shards are in zone b, and a front in zone a that needs all shards.
func newMeshWithRemoteShards(t testing.TB, shards, remote int) *mesh {
	t.Helper()
	m := newMesh(t, shards, map[zinniatide.VMID]zinniatide.ZoneID{"front": "a", "helper": "b"})
	m.config.Routing.Routes[0].MinCoverage = 1
	m.config.RoutingNumber++
	for i := range m.enrollments {
		if m.enrollments[i].Service != "plain" && i/2 < remote {
			m.enrollments[i].Zone = "b"
		}
	}
	m.update()
	return m
}

// Guards against a cancel of an earlier process that ends the gather request of the
// process that runs now, and against work that goes on for the earlier one.
func TestDelegationsOfTwoProcessesAreSeparate(t *testing.T) {
	m := newMeshWithRemoteShards(t, 4, 4)
	m.ask("front", "early")
	m.run(m.clock.Now() + 3)
	m.kill("front")
	m.start("front")
	a, _ := m.ask("front", "later")
	m.run(m.clock.Now() + 3)
	helper := m.processes["helper"].relayer
	later := delegationKey{"front", 3, 1}
	if got := len(helper.delegatedGathers); got != 1 || helper.delegatedGathers[later] == nil {
		t.Fatalf("got %d gather requests at the delegate, want that of the running process", got)
	}
	raw, err := encoder.Marshal(&delegationCancel{Call: 1, Process: 1}) // that of "early"
	if err != nil {
		t.Fatal(err)
	}
	helper.HandleGatherCancel("front", raw, nil)
	m.run(m.clock.Now() + 1000)
	a.checkParts(t, "later", 4)
	if got, want := a.reply.Status, 200; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// Guards against replies of a delegate that do not belong to what was asked: they must
// not become part of an answer, nor end the process.
func TestForeignRepliesAreNotMerged(t *testing.T) {
	for _, row := range []struct {
		name   string
		tamper func(*delegationReply)
	}{
		{"other request or shards", func(r *delegationReply) { r.Digest++ }},
		{"index beyond the shards", func(r *delegationReply) { r.Parts = append(r.Parts, 99); r.Stamps = append(r.Stamps, "x") }},
		{"negative index", func(r *delegationReply) { r.Parts = append(r.Parts, -1); r.Stamps = append(r.Stamps, "x") }},
		{"part twice", func(r *delegationReply) {
			r.Parts, r.Stamps = append(r.Parts, r.Parts...), append(r.Stamps, r.Stamps...)
		}},
		{"part without stamp", func(r *delegationReply) { r.Stamps = nil }},
		{"negative count of runs", func(r *delegationReply) { r.Parts, r.Stamps, r.Missing, r.PossibleRuns = nil, nil, []int{0}, []int{-5} }},
		{"huge count of runs", func(r *delegationReply) {
			r.Parts, r.Stamps, r.Missing, r.PossibleRuns = nil, nil, []int{0}, []int{1 << 40}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newMeshWithRemoteShards(t, 4, 4)
			tampered := 0
			m.processes["helper"].tamper = func(r *delegationReply) {
				if len(r.Parts) > 0 {
					row.tamper(r)
					tampered++
				}
			}
			a, _ := m.ask("front", "r")
			m.run(m.clock.Now() + 3000)
			if a.reply.Status == 0 || tampered == 0 {
				t.Fatalf("got status %d and %d changed replies, want an answer and at least 1", a.reply.Status, tampered)
			}
			a.checkParts(t, "r", 4)
			if got := testutil.ToFloat64(m.processes["front"].relayer.metrics.foreignReplies); got < 1 {
				t.Errorf("got %v rejected replies, want at least 1", got)
			}
			if got := len(m.processes["front"].relayer.delegations); got != 0 {
				t.Errorf("got %d open delegations at the end, want 0", got)
			}
		})
	}
}

// Guards against attempts beyond what the route allows, and for parts that were never
// delegated, when a delegate asks for them again and again.
func TestAttemptsAreBounded(t *testing.T) {
	m := newMeshWithRemoteShards(t, 4, 2) // shards 0 and 1 are delegated
	m.ask("front", "r")
	front := m.processes["front"].relayer
	for _, row := range []struct {
		from zinniatide.VMID
		ask  attemptsRequest
		want int
	}{
		{"helper", attemptsRequest{Call: 1, Process: 7, Parts: []int{0}}, 0},
		{"helper", attemptsRequest{Call: 2, Process: 1, Parts: []int{0}}, 0},
		{"other", attemptsRequest{Call: 1, Process: 1, Parts: []int{0}}, 0},
		{"helper", attemptsRequest{Call: 1, Process: 1, Parts: []int{-1, 2, 99, 0, 0}}, 1},
		{"helper", attemptsRequest{Call: 1, Process: 1, Parts: []int{0, 1}}, 1},
		{"helper", attemptsRequest{Call: 1, Process: 1, Parts: []int{0, 1}}, 0},
	} {
		raw, err := encoder.Marshal(&row.ask)
		if err != nil {
			t.Fatal(err)
		}
		got := -1
		front.HandleGatherAttempts(row.from, raw, func(value any, _ error) { got = len(value.(*attemptsReply).Parts) })
		if got != row.want {
			t.Errorf("%s asked for %+v: got %d attempts, want %d", row.from, row.ask, got, row.want)
		}
	}
}

// FuzzDelegationMessages guards against messages of other VMs that end the process.
func FuzzDelegationMessages(f *testing.F) {
	for _, message := range []any{
		&delegationRequest{Call: 1, Process: 2, RequestID: "r", Route: "gather", Shards: []zinniatide.ServiceID{"shard-00", "none"}, TimeToCutoff: 20, TimeToDeadline: 50},
		&lateDelegationReply{Call: 1, Process: 1, Reply: delegationReply{Parts: []int{0}, Stamps: []string{"s"}, Records: []byte("r")}},
		&delegationCancel{Call: 1, Process: 2},
		&attemptsRequest{Call: 1, Process: 1, Parts: []int{0, 0, -1, 1 << 40}},
	} {
		raw, err := encoder.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := newMeshWithRemoteShards(t, 2, 2)
		front, helper := m.processes["front"].relayer, m.processes["helper"].relayer
		a, _ := m.ask("front", "r")
		front.HandleLateParts("helper", raw, nil)
		front.HandleGatherAttempts("helper", raw, func(any, error) {})
		helper.HandleGatherCancel("front", raw, nil)
		helper.HandleGather("front", raw, func(any, error) {})
		m.run(m.clock.Now() + maxDelegatedTime + 1000)
		a.checkParts(t, "r", 2)
		if a.reply.Status == 0 || len(helper.delegatedGathers) > 0 {
			t.Errorf("got status %d and %d open gather requests, want an answer and none", a.reply.Status, len(helper.delegatedGathers))
		}
	})
}

// Guards against replies of a delegate that was frozen, which arrive after the request
// that asked for them has ended and others have begun.
func TestRepliesOfFrozenDelegate(t *testing.T) {
	m := newMeshWithRemoteShards(t, 4, 4)
	early, _ := m.ask("front", "early")
	m.run(m.clock.Now() + 3)
	helper := m.processes["helper"]
	helper.frozen = true
	m.run(m.clock.Now() + 2000)
	if got := early.reply.Status; got != 502 && got != 504 {
		t.Errorf("got status %d of the request to a frozen delegate, want 502 or 504", got)
	}
	helper.thaw()
	a, _ := m.ask("front", "later")
	m.run(m.clock.Now() + 2000)
	a.checkParts(t, "later", 4)
	if got, want := a.reply.Status, 200; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// Guards against work that goes on at other VMs after the client has left: parts that
// were hedged through a delegate, and parts that a delegate hedged through a third VM.
func TestClientLeavesDuringHedges(t *testing.T) {
	for name, zones := range map[string][2]zinniatide.ZoneID{
		"hedged through a delegate": {"a", "b"}, "hedged by a delegate through a third VM": {"b", "c"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 4, map[zinniatide.VMID]zinniatide.ZoneID{"front": "a", "helper": "b", "third": "c"})
			for i := range m.enrollments {
				if e := &m.enrollments[i]; e.Service != "plain" {
					e.Zone = zones[i%2]
					m.servers[e.Server].drawWorkTime = func() zinniatide.Millis { return 700 }
				}
			}
			m.update()
			_, cancel := m.ask("front", "r")
			m.run(m.clock.Now() + 80)
			arrived := 0
			for i := range 4 {
				arrived += m.arrivals(zinniatide.ServiceID(fmt.Sprintf("shard-%02d", i)))
			}
			if got, want := arrived, 8; got != want {
				t.Fatalf("got %d sends of four parts, want each hedged once", got)
			}
			cancel()
			m.run(m.clock.Now() + 10)
			for vm, p := range m.processes {
				if got := len(p.relayer.delegatedGathers) + len(p.relayer.delegations); got != 0 {
					t.Errorf("%s: got %d gather requests and delegations, want 0", vm, got)
				}
			}
		})
	}
}

// Guards against parts that are gathered although their request has ended: the cancel
// arrived before the delegation, the delegation arrived twice, or the link by which its
// reply would go is lost.
func TestDelegationsThatNobodyAwaits(t *testing.T) {
	request := &delegationRequest{Call: 7, Process: 1, RequestID: "r", Route: "gather", Shards: []zinniatide.ServiceID{"shard-00", "shard-01"},
		TopRecords: 5, MaxAttempts: 1, TargetLatency: 120, TimeToCutoff: 100, TimeToDeadline: 1000}
	raw, err := encoder.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	cancel, err := encoder.Marshal(&delegationCancel{Call: 7, Process: 1})
	if err != nil {
		t.Fatal(err)
	}
	for name, play := range map[string]func(m *mesh, helper *Relayer, reply func(any, error)){
		"cancel first": func(_ *mesh, helper *Relayer, reply func(any, error)) {
			helper.HandleGatherCancel("front", cancel, nil)
			helper.HandleGather("front", raw, reply)
		},
		"twice": func(m *mesh, helper *Relayer, reply func(any, error)) {
			helper.HandleGather("front", raw, func(any, error) {})
			m.run(m.clock.Now() + 300)
			helper.HandleGather("front", raw, reply)
		},
		"link lost": func(m *mesh, helper *Relayer, reply func(any, error)) {
			for _, s := range m.servers {
				s.drawWorkTime = func() zinniatide.Millis { return 700 }
			}
			helper.HandleGather("front", raw, func(any, error) { t.Error("got a reply on a lost link, want none") })
			m.processes["helper"].closeLink("front")
			m.run(m.clock.Now() + 105)
			reply(nil, zinniatide.ErrLinkLost)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMeshWithRemoteShards(t, 4, 4)
			helper := m.processes["helper"].relayer
			var replyErr error
			play(m, helper, func(_ any, err error) { replyErr = err })
			if got := len(helper.delegatedGathers); got != 0 || replyErr == nil {
				t.Errorf("got %d gather requests at the delegate, and %v for the last one, want none and an error", got, replyErr)
			}
		})
	}
}

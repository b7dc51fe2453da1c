package registrar

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
)

const baseTime zinniatide.Millis = 1_800_000_000_000

func apply(t testing.TB, r *Registrar, now zinniatide.Millis, c Command) any {
	t.Helper()
	c.Now = baseTime + now
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return r.Apply(1, data)
}

func ticketEntry(t testing.TB, text string) *TicketEntry {
	t.Helper()
	validator, err := checker.New()
	if err != nil {
		t.Fatal(err)
	}
	ticket, digest, err := validator.Decode([]byte(text))
	if err != nil {
		t.Fatalf("ticket %s: %v", text, err)
	}
	return &TicketEntry{Ticket: *ticket, Digest: digest}
}

// outcome formats the result of Apply for comparison.
func outcome(result any) string {
	switch result := result.(type) {
	case *zinniatide.Refusal:
		return string(result.Code)
	case zinniatide.TicketReply:
		return fmt.Sprintf("epoch %d repeated %v", result.Epoch, result.Repeated)
	}
	return fmt.Sprint(result)
}

// restore returns a copy of r restored from its snapshot.
func restore(t testing.TB, r *Registrar) *Registrar {
	t.Helper()
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := New()
	fresh.tickets.maxRecords, fresh.claims.maxClaims, fresh.claims.maxBytes = r.tickets.maxRecords, r.claims.maxClaims, r.claims.maxBytes
	if err := fresh.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := fresh.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Fatalf("snapshot of the restored state differs (error %v)", err)
	}
	return fresh
}

// Guards against evaluating the ticket number rules in another order, and
// against different results after restoring a snapshot. The table keeps 4
// tickets instead of 50,000.
func TestTicketNumberRules(t *testing.T) {
	zone := func(number int, zone, state string) string {
		return fmt.Sprintf(`{"ticket": %d, "availability-zones": {%q: {"state": %q}}}`, number, zone, state)
	}
	steps := []struct{ name, text, want string }{
		{"first", zone(10, "a", "out"), "epoch 1 repeated false"},
		{"same content, formatted differently", `{"availability-zones":{"a":{"state":"out"}},"ticket":10}`, "epoch 1 repeated true"},
		{"same number, other content", zone(10, "a", "in"), "ticket-conflict"},
		{"lower number, same entity", zone(9, "a", "in"), "superseded"},
		{"lower number, other entity", zone(9, "b", "out"), "epoch 2 repeated false"},
		{"lower number, one of two entities", `{"ticket": 8, "availability-zones": {"c": {"state": "out"}, "b": {"state": "in"}}}`, "superseded"},
		{"no effect", zone(11, "a", "out"), "epoch 2 repeated false"},
		{"removal", `{"ticket": 12, "availability-zones": {"a": null}}`, "epoch 3 repeated false"},
		{"old ticket for a removed entity", zone(7, "a", "out"), "superseded"},
		{"fifth ticket drops ticket 10", zone(13, "d", "out"), "epoch 4 repeated false"},
		{"dropped ticket", zone(10, "a", "out"), "superseded"},
		{"kept ticket below the highest dropped one", zone(9, "b", "out"), "epoch 2 repeated true"},
		{"unknown ticket below the highest dropped one", zone(6, "new", "out"), "superseded"},
		{"two control VMs in the first set", `{"ticket": 20, "control-vms": [{"vm": "c1", "peer-address": "h:1"}, {"vm": "c2", "peer-address": "h:2"}]}`, "epoch 5 repeated false"},
		{"two control VMs replaced", `{"ticket": 21, "control-vms": [{"vm": "c1", "peer-address": "h:1"}, {"vm": "c3", "peer-address": "h:3"}]}`, "bad-request"},
		{"one control VM removed", `{"ticket": 22, "control-vms": [{"vm": "c1", "peer-address": "h:1"}]}`, "epoch 6 repeated false"},
	}
	plain, restored := New(), New()
	plain.tickets.maxRecords, restored.tickets.maxRecords = 4, 4
	for _, step := range steps {
		e := ticketEntry(t, step.text)
		for name, r := range map[string]*Registrar{"plain": plain, "restored": restored} {
			if got := outcome(apply(t, r, 0, Command{Ticket: e})); got != step.want {
				t.Errorf("%s (%s): got %q, want %q", step.name, name, got, step.want)
			}
		}
		restored = restore(t, restored)
	}
}

func join(vm zinniatide.VMID, zone zinniatide.ZoneID, process zinniatide.ProcessID) Command {
	return Command{Join: &Join{Members: []zinniatide.Member{{VM: vm, Zone: zone, Process: process, Entry: true, State: zinniatide.StateIn}}}}
}

func countOwned(r *Registrar, zone zinniatide.ZoneID) (owned map[zinniatide.VMID]int, moving int) {
	owned = map[zinniatide.VMID]int{}
	for _, b := range r.Configuration().Buckets[zone] {
		owned[b.Owner]++
		if b.NextOwner != "" {
			moving++
		}
	}
	return owned, moving
}

// Guards against moving a bucket from a live owner before the owner has released
// it, and against a delayed release that completes a later move.
func TestBucketMoveNeedsRelease(t *testing.T) {
	r := New()
	apply(t, r, 0, join("e1", "a", 1))
	apply(t, r, 0, join("e2", "a", 1))
	owned, moving := countOwned(r, "a")
	if owned["e1"] != zinniatide.BucketsPerZone || moving == 0 {
		t.Fatalf("owners %v with %d moves, want e1 to own all and some moves", owned, moving)
	}
	early := r.Configuration().Epoch
	release := Command{Release: &controlproto.BucketRelease{VM: "e1", Process: 1, Epoch: early}}
	for i := range zinniatide.BucketsPerZone {
		release.Release.Buckets = append(release.Release.Buckets, controlproto.BucketID{Zone: "a", Index: i})
	}
	apply(t, r, 0, release)
	if got, _ := countOwned(r, "a"); got["e2"] != moving {
		t.Fatalf("owners %v after the release, want e2 to own %d", got, moving)
	}
	// e2 is lost and e1 takes over. e2 returns, and the old release arrives again.
	apply(t, r, 0, Command{Remove: &Removal{Sessions: []Session{{VM: "e2", Process: 1}}}})
	apply(t, r, 0, join("e2", "a", 2))
	before, _ := countOwned(r, "a")
	// On a copy restored from a snapshot, the release meets the restored pending
	// moves. The copy's owners are not compared.
	apply(t, restore(t, r), 0, release)
	apply(t, r, 0, release)
	if after, _ := countOwned(r, "a"); after["e1"] != before["e1"] {
		t.Errorf("a delayed release moved buckets: owners %v, want %v", after, before)
	}
}

// Guards against cancelling a pending move when no VM can take over or the owner
// is wanted again: a release still in transit would complete a later move.
func TestPendingMoveIsNeverCancelled(t *testing.T) {
	out := `{"ticket": 1, "availability-zones": {"a": {"state": "out"}}}`
	for name, command := range map[string]Command{
		"no serving VM":   {Ticket: ticketEntry(t, out)},
		"next owner lost": {Remove: &Removal{Sessions: []Session{{VM: "e2", Process: 1}}}},
	} {
		r := New()
		apply(t, r, 0, join("e1", "a", 1))
		apply(t, r, 0, join("e2", "a", 1))
		_, before := countOwned(r, "a")
		apply(t, r, 0, command)
		if _, after := countOwned(r, "a"); before == 0 || after != before {
			t.Errorf("%s: %d pending moves, want %d", name, after, before)
		}
	}
}

// Guards against buckets that stay with a lost process, against a zone without
// serving VMs whose buckets have no owner, and against joins of replaced
// processes or malformed members.
func TestBucketsOfLostOwners(t *testing.T) {
	r := New()
	apply(t, r, 0, join("e1", "a", 1))
	apply(t, r, 0, join("e2", "b", 1))
	apply(t, r, 0, join("e1", "a", 2))
	if r.ReleaseHasEffect(&controlproto.BucketRelease{VM: "e1", Process: 1, Epoch: 9, Buckets: []controlproto.BucketID{{Zone: "a"}, {Zone: "none", Index: 1}}}) {
		t.Error("a release of buckets without a pending move has an effect")
	}
	if b := r.Configuration().Buckets["a"][0]; b.OwnerProcess != 2 || b.NextOwner != "" || !b.DelayStart {
		t.Errorf("bucket after a restart: %+v, want process 2 and settling", b)
	}
	if b := r.Configuration().Buckets["b"][0]; b.DelayStart {
		t.Errorf("bucket that kept its owner: %+v, want no settling", b)
	}
	apply(t, r, 0, Command{Remove: &Removal{Sessions: []Session{{VM: "e1", Process: 1}}}})
	if _, ok := r.Configuration().Members["e1"]; !ok {
		t.Error("removing a replaced process removed the new one")
	}
	running := r.Configuration()
	for _, stale := range []*Registrar{r, restore(t, r)} {
		if apply(t, stale, 0, join("e1", "a", 1)); stale.Configuration().Epoch != running.Epoch {
			t.Errorf("a replaced process joined: %+v", stale.Configuration().Members["e1"])
		}
	}
	apply(t, r, 0, Command{Remove: &Removal{Sessions: []Session{{VM: "e1", Process: 2}}}})
	if owned, moving := countOwned(r, "a"); owned["e2"] != zinniatide.BucketsPerZone || moving != 0 {
		t.Errorf("owners %v with %d moves, want e2 to own all", owned, moving)
	}
	if b := r.Configuration().Buckets["a"][0]; b.DelayStart {
		t.Errorf("bucket after the lease of its owner ended: %+v, want no settling", b)
	}
	before := r.Configuration()
	invalid := join("e2", "b", 0)
	twice := join("e7", "b", 2)
	twice.Join.Members = append(twice.Join.Members, join("e7", "b", 1).Join.Members...)
	twice.Join.Members = append(twice.Join.Members, join("e7", "b", 2).Join.Members...)
	if other := restore(t, r); apply(t, other, 0, twice) != nil && other.Configuration().Members["e7"].Process != 1 {
		t.Errorf("member %+v joined, want process 1, the last that joined first", other.Configuration().Members["e7"])
	}
	invalid.Join.Members = append(invalid.Join.Members, zinniatide.Member{VM: "e9", Zone: "", State: zinniatide.StateIn}, zinniatide.Member{VM: "e8", Zone: "b", State: "gone"})
	if apply(t, r, 0, invalid); r.Configuration() != before {
		t.Errorf("a malformed member joined: %v", r.Configuration().Members)
	}
}

// Guards against modifying a published configuration, and against deltas that
// yield a configuration other than the leader's.
func TestDeltasRebuildConfiguration(t *testing.T) {
	r := New()
	var deltas []Delta
	r.Observe(func(_ *zinniatide.Configuration, d *Delta) { deltas = append(deltas, *d) })
	first := NewConfiguration()
	apply(t, r, 0, Command{Bootstrap: &Bootstrap{ControlVMs: []zinniatide.ControlVM{{VM: "c1", PeerAddress: "h:1"}}}})
	apply(t, r, 0, join("e1", "a", 1))
	middle := r.Configuration()
	printed := fmt.Sprint(*middle)
	apply(t, r, 0, join("e2", "a", 1))
	apply(t, r, 0, Command{Ticket: ticketEntry(t, `{"ticket": 1, "availability-zones": {"a": {"state": "out"}}}`)})
	apply(t, r, 0, Command{Ticket: ticketEntry(t, `{"ticket": 2, "availability-zones": {"a": null}}`)})
	if got := fmt.Sprint(*middle); got != printed {
		t.Errorf("published configuration changed:\n%s\n%s", printed, got)
	}
	rebuilt := ApplyDeltas(first, deltas)
	if got, want := fmt.Sprint(*rebuilt), fmt.Sprint(*r.Configuration()); got != want {
		t.Errorf("deltas yield\n%s\nwant\n%s", got, want)
	}
}

// Guards against a restore that keeps the cached eligible owners: the next join
// of a VM that the snapshot does not contain would seem to change nothing, and
// the VM would be given no buckets.
func TestRestoreReplacesMembers(t *testing.T) {
	r, other := New(), New()
	apply(t, other, 0, join("e1", "a", 1))
	data, _ := other.Snapshot()
	apply(t, r, 0, join("e1", "a", 1))
	apply(t, r, 0, join("e2", "a", 1))
	if err := r.Restore(data); err != nil {
		t.Fatal(err)
	}
	apply(t, r, 0, join("e2", "a", 1))
	apply(t, other, 0, join("e2", "a", 1))
	a, _ := r.Snapshot()
	if b, _ := other.Snapshot(); !bytes.Equal(a, b) {
		t.Error("the restored state differs from one that applied all entries")
	}
}

// Guards against a corrupt snapshot that replaces valid state.
func TestRestoreRejectsCorruption(t *testing.T) {
	r := New()
	apply(t, r, 0, join("e1", "a", 1))
	data, _ := r.Snapshot()
	for name, corrupt := range map[string][]byte{"empty": nil, "short": data[:len(data)/2], "longer": append(bytes.Clone(data), 0)} {
		if err := r.Restore(corrupt); err == nil {
			t.Errorf("%s snapshot was accepted", name)
		}
	}
	if len(r.Configuration().Members) != 1 {
		t.Error("a rejected snapshot changed the state")
	}
}

// Guards against log entries that crash a control VM, and against commands that
// change when they are decoded and encoded again.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []Command{join("e1", "a", 1), {Claim: claim("1-abcdefgh", 1, 1)}, {Remove: &Removal{}}, {Bootstrap: &Bootstrap{}},
		{Release: &controlproto.BucketRelease{Buckets: []controlproto.BucketID{{Zone: "a", Index: -1}}}}, {Result: &zinniatide.ClaimResult{Body: []byte("x")}}} {
		data, _ := c.Encode()
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x02, 0xa1, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New()
		result := r.Apply(1, data)
		command, err := DecodeCommand(data)
		if err != nil {
			if _, refused := result.(*zinniatide.Refusal); len(data) > 0 && !refused {
				t.Fatalf("malformed entry returned %v, want a refusal", result)
			}
			return
		}
		again, err := command.Encode()
		if err != nil {
			t.Fatalf("re-encode: %v", err)
		}
		other := New()
		other.Apply(1, again)
		a, errA := r.Snapshot()
		b, errB := other.Snapshot()
		if err := errors.Join(errA, errB); err != nil || !bytes.Equal(a, b) {
			t.Fatalf("states differ after re-encoding (error %v)", err)
		}
	})
}

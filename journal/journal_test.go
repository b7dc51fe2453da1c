package journal_test

import (
	"bytes"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/journal/journaltest"
	"zinniatide.example/zinniatide/replicator"
)

const logName = "data/log-00000000000000000001"

func entries(term, first, last uint64) []replicator.Entry {
	var es []replicator.Entry
	for i := first; i <= last; i++ {
		es = append(es, replicator.Entry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i + 1)}, int(i*37%1500))})
	}
	return es
}

func open(t *testing.T, d journal.FileSystem, folder string) (*journal.Journal, journal.Contents) {
	t.Helper()
	j, c, err := journal.Open(d, folder, "c1", "disk-1")
	if err != nil {
		t.Fatal(err)
	}
	return j, c
}

func check(t *testing.T, step string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

// Guards the round trip through a real folder: identity, hard state, replaced
// entries, snapshot, and the lock against a second process.
func TestFolderKeepsItsState(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a", "b")
	j, c := open(t, journal.Disk{}, folder)
	if c.Disk != "disk-1" {
		t.Errorf("new folder has disk id %q, want disk-1", c.Disk)
	}
	if _, _, err := journal.Open(journal.Disk{}, folder, "c1", "x"); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("second open: %v, want a refusal that says in use", err)
	}
	hard := replicator.HardState{Term: 3}
	check(t, "append", j.Append(&hard, entries(1, 1, 9)))
	check(t, "append", j.Append(nil, entries(3, 6, 7)))
	check(t, "close", j.Close())
	j, c = open(t, journal.Disk{}, folder)
	want := replicator.State{HardState: hard, Entries: append(entries(1, 1, 5), entries(3, 6, 7)...)}
	if !reflect.DeepEqual(c.State, want) {
		t.Errorf("reopened state = %+v, want %+v", c.State, want)
	}
	want.Snapshot = &replicator.Snapshot{Index: 6, Term: 3, Data: []byte("s")}
	want.Entries = want.Entries[4:]
	check(t, "rewrite", j.Rewrite(want))
	check(t, "append", j.Append(nil, entries(3, 8, 8)))
	check(t, "close", j.Close())
	want.Entries = append(want.Entries, entries(3, 8, 8)...)
	_, c, err := journal.Open(journal.Disk{}, folder, "c1", "x")
	if err != nil || !reflect.DeepEqual(c.State, want) || c.Disk != "disk-1" {
		t.Errorf("after rewrite: %+v, %v, want %+v of disk-1", c, err, want)
	}
	names, err := journal.Disk{}.Names(folder)
	if err != nil || len(names) != 2 {
		t.Errorf("folder holds %v, %v, want one log and the lock", names, err)
	}
}

// Guards the promise behind every acknowledgement: after a crash at any point
// the journal holds all acknowledged writes, and beyond them at most the one
// under way.
func TestCrashKeepsWhatWasAcknowledged(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		d := journaltest.NewDisk()
		j, _ := open(t, d, "data")
		var last, snapshot uint64
		for range random.IntN(12) {
			n := uint64(random.IntN(4) + 1)
			check(t, "append", j.Append(&replicator.HardState{Term: last + n}, entries(1, last+1, last+n)))
			last += n
			if random.IntN(4) == 0 {
				snapshot = last
				check(t, "rewrite", j.Rewrite(replicator.State{
					HardState: replicator.HardState{Term: last},
					Snapshot:  &replicator.Snapshot{Index: last, Term: 1}, Entries: entries(1, (last+1)/2, last),
				}))
			}
		}
		under := last
		if random.IntN(3) > 0 {
			d.FailSyncs = true
			under = last + 3
			if err := j.Append(nil, entries(1, last+1, under)); err == nil {
				t.Fatal("append acknowledged without a sync")
			}
			if err := j.Append(nil, nil); err == nil {
				t.Fatal("append after a failed sync succeeded")
			}
			d.FailSyncs = false
		}
		d.Crash(random)
		j, c := open(t, d, "data")
		got := last
		if n := len(c.State.Entries); n > 0 {
			got = c.State.Entries[n-1].Index
		}
		if got != last && got != under || c.State.HardState.Term != last {
			t.Fatalf("seed %d: journal ends at %d in term %d, want entry %d or %d in term %d",
				seed, got, c.State.HardState.Term, last, under, last)
		}
		if snapshot > 0 && (c.State.Snapshot == nil || c.State.Snapshot.Index != snapshot) {
			t.Fatalf("seed %d: snapshot %+v, want index %d", seed, c.State.Snapshot, snapshot)
		}
		for i, e := range c.State.Entries {
			if want := entries(1, e.Index, e.Index)[0]; !bytes.Equal(e.Data, want.Data) {
				t.Fatalf("seed %d: entry %d of the file changed", seed, i)
			}
		}
		check(t, "append after the crash", j.Append(nil, entries(1, got+1, got+1)))
	}
}

// Guards against starting from a damaged journal, which would let a voter
// forget what it acknowledged. Every byte is damaged in turn.
func TestDamageIsRefused(t *testing.T) {
	d := journaltest.NewDisk()
	j, _ := open(t, d, "data")
	for i := range uint64(4) {
		check(t, "append", j.Append(&replicator.HardState{Term: 1}, entries(1, 2*i+1, 2*i+2)))
	}
	check(t, "close", j.Close())
	for offset := range d.Size(logName) {
		d.Damage(logName, offset)
		_, c, err := journal.Open(d, "data", "c1", "x")
		if err == nil {
			t.Fatalf("damage at byte %d went unnoticed, %d bytes cut off", offset, c.Truncated)
		}
		if !strings.Contains(err.Error(), "damaged at byte") || !strings.Contains(err.Error(), logName) {
			t.Fatalf("damage at byte %d: %v", offset, err)
		}
		d.Damage(logName, offset)
	}
}

// Guards against mixing up folders and against initialising one twice.
func TestForeignFoldersAreRefused(t *testing.T) {
	d := journaltest.NewDisk()
	check(t, "create", journal.Create(d, "data", "c1", "disk-1", replicator.State{}))
	before, err := d.ReadFile(logName)
	check(t, "read", err)
	if err := journal.Create(d, "data", "c1", "disk-2", replicator.State{}); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("second create: %v, want not empty", err)
	}
	if _, _, err := journal.Open(d, "data", "c2", "x"); err == nil || !strings.Contains(err.Error(), `belongs to VM "c1"`) {
		t.Errorf("open by another VM: %v", err)
	}
	if after, _ := d.ReadFile(logName); !bytes.Equal(before, after) {
		t.Error("a refused call changed the folder")
	}
}

// Guards against acknowledging what a full disk did not take.
func TestFullDiskFailsForGood(t *testing.T) {
	d := journaltest.NewDisk()
	j, _ := open(t, d, "data")
	check(t, "append", j.Append(nil, entries(1, 1, 1)))
	d.Capacity = d.Size(logName) + 10
	if err := j.Append(nil, entries(1, 2, 2)); err == nil {
		t.Error("append on a full disk succeeded")
	}
	d.Capacity = 0
	if err := j.Append(nil, entries(1, 2, 2)); err == nil {
		t.Error("append after a failed write succeeded")
	}
	check(t, "close", j.Close())
	if _, c := open(t, d, "data"); len(c.State.Entries) != 1 || c.Truncated != 10 {
		t.Errorf("reopened with %d entries and %d bytes cut off, want 1 and 10", len(c.State.Entries), c.Truncated)
	}
}

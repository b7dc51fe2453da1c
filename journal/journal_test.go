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

const logPath = "data/log-00000000000000000001"

func entries(term, first, last uint64) []replicator.Entry {
	var es []replicator.Entry
	for i := first; i <= last; i++ {
		es = append(es, replicator.Entry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i + 1)}, int(i*37%1500))})
	}
	return es
}

func open(t *testing.T, files journal.FileSystem, dir string) (*journal.Journal, journal.RecoveredState) {
	t.Helper()
	j, c, err := journal.Open(files, dir, "c1", "disk-1")
	if err != nil {
		t.Fatal(err)
	}
	return j, c
}

func must(t *testing.T, step string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

// Checks that a real directory restores its identity, hard state, entries and
// snapshot when reopened, and that its lock keeps out a second process.
func TestReopenRestoresState(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	j, c := open(t, journal.OSFileSystem{}, dir)
	if c.DiskID != "disk-1" {
		t.Errorf("new directory has disk id %q, want disk-1", c.DiskID)
	}
	if _, _, err := journal.Open(journal.OSFileSystem{}, dir, "c1", "x"); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("second open: %v, want an error that says in use", err)
	}
	hard := replicator.HardState{Term: 3}
	must(t, "append", j.Append(&hard, entries(1, 1, 9)))
	must(t, "append", j.Append(nil, entries(3, 6, 7)))
	must(t, "close", j.Close())
	j, c = open(t, journal.OSFileSystem{}, dir)
	want := replicator.PersistentState{HardState: hard, Entries: append(entries(1, 1, 5), entries(3, 6, 7)...)}
	if !reflect.DeepEqual(c.State, want) {
		t.Errorf("reopened state = %+v, want %+v", c.State, want)
	}
	want.Snapshot = &replicator.Snapshot{Index: 6, Term: 3, Data: []byte("s")}
	want.Entries = want.Entries[4:]
	must(t, "rewrite", j.Rewrite(want))
	must(t, "append", j.Append(nil, entries(3, 8, 8)))
	must(t, "close", j.Close())
	want.Entries = append(want.Entries, entries(3, 8, 8)...)
	_, c, err := journal.Open(journal.OSFileSystem{}, dir, "c1", "x")
	if err != nil || !reflect.DeepEqual(c.State, want) || c.DiskID != "disk-1" {
		t.Errorf("after rewrite: %+v, %v, want %+v of disk-1", c, err, want)
	}
	names, err := journal.OSFileSystem{}.List(dir)
	if err != nil || len(names) != 2 {
		t.Errorf("directory contains %v, %v, want one log and the lock", names, err)
	}
}

// Guards against losing acknowledged writes: after a crash at any point, the
// journal contains all acknowledged writes and at most one more, the write that
// was in progress.
func TestCrashKeepsAcknowledgedWrites(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		d := journaltest.NewFaultyFileSystem()
		j, _ := open(t, d, "data")
		var last, snapshot uint64
		for range random.IntN(12) {
			n := uint64(random.IntN(4) + 1)
			must(t, "append", j.Append(&replicator.HardState{Term: last + n}, entries(1, last+1, last+n)))
			last += n
			if random.IntN(4) == 0 {
				snapshot = last
				must(t, "rewrite", j.Rewrite(replicator.PersistentState{
					HardState: replicator.HardState{Term: last},
					Snapshot:  &replicator.Snapshot{Index: last, Term: 1}, Entries: entries(1, (last+1)/2, last),
				}))
			}
		}
		attempted := last
		if random.IntN(3) > 0 {
			d.FailSyncs = true
			attempted = last + 3
			if err := j.Append(nil, entries(1, last+1, attempted)); err == nil {
				t.Fatal("append succeeded although its sync failed")
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
		if got != last && got != attempted || c.State.HardState.Term != last {
			t.Fatalf("seed %d: journal ends at %d in term %d, want entry %d or %d in term %d",
				seed, got, c.State.HardState.Term, last, attempted, last)
		}
		if snapshot > 0 && (c.State.Snapshot == nil || c.State.Snapshot.Index != snapshot) {
			t.Fatalf("seed %d: snapshot %+v, want index %d", seed, c.State.Snapshot, snapshot)
		}
		for i, e := range c.State.Entries {
			if want := entries(1, e.Index, e.Index)[0]; !bytes.Equal(e.Data, want.Data) {
				t.Fatalf("seed %d: entry at position %d changed", seed, i)
			}
		}
		must(t, "append after the crash", j.Append(nil, entries(1, got+1, got+1)))
	}
}

// Guards against opening a corrupt journal, which would make a voter forget
// entries it has acknowledged. Each byte is corrupted in turn.
func TestOpenRejectsCorruption(t *testing.T) {
	d := journaltest.NewFaultyFileSystem()
	j, _ := open(t, d, "data")
	for i := range uint64(4) {
		must(t, "append", j.Append(&replicator.HardState{Term: 1}, entries(1, 2*i+1, 2*i+2)))
	}
	must(t, "close", j.Close())
	for offset := range d.Size(logPath) {
		d.Damage(logPath, offset)
		_, c, err := journal.Open(d, "data", "c1", "x")
		if err == nil {
			t.Fatalf("corruption at byte %d was not detected, %d bytes truncated", offset, c.TruncatedBytes)
		}
		if !strings.Contains(err.Error(), "damaged at byte") || !strings.Contains(err.Error(), logPath) {
			t.Fatalf("corruption at byte %d: got error %v, want one with the path and the damaged byte", offset, err)
		}
		d.Damage(logPath, offset)
	}
}

// Guards against opening the data folder of another VM and against
// initializing a directory twice.
func TestForeignDirectoryIsRejected(t *testing.T) {
	d := journaltest.NewFaultyFileSystem()
	must(t, "create", journal.Create(d, "data", "c1", "disk-1", replicator.PersistentState{}))
	before, err := d.ReadFile(logPath)
	must(t, "read", err)
	if err := journal.Create(d, "data", "c1", "disk-2", replicator.PersistentState{}); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("second create: got error %v, want not empty", err)
	}
	if _, _, err := journal.Open(d, "data", "c2", "x"); err == nil || !strings.Contains(err.Error(), `belongs to VM "c1"`) {
		t.Errorf("open by another VM: got error %v, want one that names the owner", err)
	}
	if after, _ := d.ReadFile(logPath); !bytes.Equal(before, after) {
		t.Error("a rejected call changed the journal")
	}
}

// Guards against acknowledging writes that a full disk did not store. Once a
// write has failed, later ones fail too, even if space becomes free.
func TestAppendFailsAfterDiskFull(t *testing.T) {
	d := journaltest.NewFaultyFileSystem()
	j, _ := open(t, d, "data")
	must(t, "append", j.Append(nil, entries(1, 1, 1)))
	d.Capacity = d.Size(logPath) + 10
	if err := j.Append(nil, entries(1, 2, 2)); err == nil {
		t.Error("append on a full disk succeeded")
	}
	d.Capacity = 0
	if err := j.Append(nil, entries(1, 2, 2)); err == nil {
		t.Error("append after a failed write succeeded")
	}
	must(t, "close", j.Close())
	if _, c := open(t, d, "data"); len(c.State.Entries) != 1 || c.TruncatedBytes != 10 {
		t.Errorf("reopened with %d entries and %d bytes truncated, want 1 and 10", len(c.State.Entries), c.TruncatedBytes)
	}
}

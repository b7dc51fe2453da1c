package logkeeper

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal"
)

// lastValueMachine is a state machine whose state is the last command.
type lastValueMachine struct{ last []byte }

func (m *lastValueMachine) Apply(_ uint64, data []byte) any { m.last = data; return nil }
func (m *lastValueMachine) Snapshot() ([]byte, error)       { return m.last, nil }
func (m *lastValueMachine) Restore(data []byte) error       { m.last = data; return nil }

// Guards against a log whose memory and file grow with the number of changes: each
// change replaces the whole state, as a routing table does.
func TestLogSizeFollowsStateSize(t *testing.T) {
	const changes, changeBytes = 300, 300 << 10
	folder := t.TempDir()
	if err := Init(journal.OSFileSystem{}, folder, "c1", []zinniatide.ControlVM{{VM: "c1", PeerAddress: "127.0.0.1:1"}}); err != nil {
		t.Fatal(err)
	}
	k, err := New(Config{
		VM: "c1", Folder: folder, Linker: &node{c: &cluster{t: t}}, Clock: clock.New(), StateMachine: &lastValueMachine{},
		Rand: rand.New(rand.NewPCG(1, 1)), Registerer: prometheus.NewRegistry(), //nolint:gosec // fixed seed
	})
	if err != nil {
		t.Fatal(err)
	}
	leading := make(chan bool, 1)
	k.OnLeadership(func(is bool) { leading <- is })
	k.Start()
	<-leading
	largestLog, largestFolder := 0, int64(0)
	for range changes {
		done := make(chan int)
		k.Post(func() {
			k.Propose(make([]byte, changeBytes), func(any, error) {
				size := 0
				for _, e := range k.replicator.State().Entries {
					size += len(e.Data)
				}
				done <- size
			})
		})
		largestLog = max(largestLog, <-done)
		largestFolder = max(largestFolder, folderSize(t, folder))
	}
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	// What is kept before a snapshot, what leads to the next one, and one change.
	if got, want := largestLog, keptLogBytes+minSnapshotBytes+changeBytes; got > want {
		t.Errorf("got %d bytes of entries in memory, want %d at most", got, want)
	}
	// A new file is written beside the old one, and it holds a snapshot.
	if got, want := largestFolder, int64(2*(keptLogBytes+minSnapshotBytes+3*changeBytes)); got > want {
		t.Errorf("got %d bytes in the data folder, want %d at most", got, want)
	}
}

func folderSize(t *testing.T, folder string) int64 {
	t.Helper()
	size := int64(0)
	err := filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			size += info.Size()
		}
		return nil // a file may be removed meanwhile
	})
	if err != nil {
		t.Fatal(err)
	}
	return size
}

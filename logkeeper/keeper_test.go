package logkeeper

import (
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal"
)

func TestMain(m *testing.M) {
	klog.SetLogger(logr.Discard())
	goleak.VerifyTestMain(m)
}

// Guards the whole path: three empty or initialised folders become three
// voters, commit, survive the loss of all processes and catch up.
func TestElectCommitRestartCatchUp(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.waitVoters(c.nodes...)
	for v := range uint64(120) {
		c.write(v)
	}
	away := c.nodes[2]
	away.crash()
	for v := range uint64(200) {
		c.write(1000 + v)
	}
	away.start()
	c.checkEqual()
	for _, n := range c.nodes {
		n.crash()
	}
	for _, n := range c.nodes {
		n.start()
	}
	c.write(5000)
	c.checkEqual()
	if got, want := len(c.nodes[0].machine.Applied), 321; got < want {
		t.Errorf("applied %d operations, want at least %d", got, want)
	}
}

// Guards the threads and the real files: what a sole voter acknowledged is
// there after a restart, and proposals share syncs.
func TestThreadsAndFolder(t *testing.T) {
	folder := t.TempDir()
	vms := []zinniatide.ControlVM{{VM: "c1", PeerAddress: "127.0.0.1:1"}}
	if err := Init(journal.Disk{}, folder, "c1", vms); err != nil {
		t.Fatal(err)
	}
	if err := Init(journal.Disk{}, folder, "c1", vms); err == nil {
		t.Error("a folder was initialised twice")
	}
	const operations = 500
	for round := range 2 {
		c := &cluster{t: t, applied: map[uint64]string{}}
		m := &register{node: &node{c: c}, Values: map[uint8]uint64{}}
		k, err := New(Config{
			VM: "c1", Folder: folder, Linker: &node{c: c}, Clock: clock.New(), Machine: m,
			Rand: rand.New(rand.NewPCG(1, 1)), SnapshotEvery: 100, Registerer: prometheus.NewRegistry(),
		})
		if err != nil {
			t.Fatal(err)
		}
		leads := make(chan bool, 1)
		k.OnLeadership(func(leading bool) { leads <- leading })
		k.Start()
		<-leads
		failed := make(chan error, operations)
		for i := range uint64(operations) {
			data, err := cbor.Marshal(operation{1, i})
			if err != nil {
				t.Fatal(err)
			}
			k.Post(func() { k.Propose(data, func(_ any, err error) { failed <- err }) })
		}
		for range operations {
			if err := <-failed; err != nil {
				t.Fatal(err)
			}
		}
		if err := k.Close(); err != nil {
			t.Fatal(err)
		}
		if got, want := len(m.Applied), operations*(round+1); got != want {
			t.Errorf("round %d: %d operations applied, want %d", round, got, want)
		}
	}
}

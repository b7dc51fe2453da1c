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

// Verifies the complete life cycle: one VM with an initialised data folder and
// two with empty ones form a cluster of three voters, commit entries, let a lagging
// VM catch up, and recover from a restart of all VMs.
func TestElectCommitRestartCatchUp(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.waitForVoters(c.nodes...)
	for v := range uint64(120) {
		c.write(v)
	}
	lagging := c.nodes[2]
	lagging.crash()
	for v := range uint64(200) {
		c.write(1000 + v)
	}
	lagging.start()
	c.waitConverged()
	for _, n := range c.nodes {
		n.crash()
	}
	for _, n := range c.nodes {
		n.start()
	}
	c.write(5000)
	c.waitConverged()
	if got, want := len(c.nodes[0].stateMachine.Applied), 321; got < want {
		t.Errorf("applied %d operations, want at least %d", got, want)
	}
}

// Verifies with the real goroutines and files that the entries acknowledged by a
// single voter survive a restart. Many proposals are posted at once, so that they
// share syncs.
func TestGoroutinesAndFolder(t *testing.T) {
	folder := t.TempDir()
	vms := []zinniatide.ControlVM{{VM: "c1", PeerAddress: "127.0.0.1:1"}}
	if err := Init(journal.OSFileSystem{}, folder, "c1", vms); err != nil {
		t.Fatal(err)
	}
	if err := Init(journal.OSFileSystem{}, folder, "c1", vms); err == nil {
		t.Error("Init succeeded on a folder that is already initialised")
	}
	const operations = 500
	for round := range 2 {
		c := &cluster{t: t, applied: map[uint64]string{}}
		m := &registerMachine{node: &node{c: c}, Values: map[uint8]uint64{}}
		k, err := New(Config{
			VM: "c1", Folder: folder, Linker: &node{c: c}, Clock: clock.New(), StateMachine: m,
			Rand: rand.New(rand.NewPCG(1, 1)), SnapshotEvery: 100, Registerer: prometheus.NewRegistry(),
		})
		if err != nil {
			t.Fatal(err)
		}
		leadership := make(chan bool, 1)
		k.OnLeadership(func(leading bool) { leadership <- leading })
		k.Start()
		<-leadership
		results := make(chan error, operations)
		for i := range uint64(operations) {
			data, err := cbor.Marshal(operation{1, i})
			if err != nil {
				t.Fatal(err)
			}
			k.Post(func() { k.Propose(data, func(_ any, err error) { results <- err }) })
		}
		for range operations {
			if err := <-results; err != nil {
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

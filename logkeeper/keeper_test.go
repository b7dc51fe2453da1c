package logkeeper

import (
	"testing"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"
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

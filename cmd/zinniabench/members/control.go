// Package members runs control VMs and many member VMs with sessions in one
// process, to measure the cost of the control plane.
package members

import (
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/controller"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/registrar"
)

// ControlNode runs a control VM that is not an entry VM.
type ControlNode struct {
	Controller   *controller.Controller
	Log          *logkeeper.Keeper
	StateMachine *registrar.Registrar
	Registry     *prometheus.Registry
	links        *linker.Linker
}

// NewControlNode starts the control VM id with the given data folder. All control
// VMs of the cluster, including this one, are listed in control.
func NewControlNode(id zinniatide.VMID, folder string, control []zinniatide.ControlVM) (*ControlNode, error) {
	c := &ControlNode{Registry: prometheus.NewRegistry(), StateMachine: registrar.New()}
	peers, names := map[zinniatide.VMID]zinniatide.Peer{}, []zinniatide.VMID{}
	for _, vm := range control {
		peers[vm.VM] = zinniatide.Peer{Address: vm.PeerAddress}
		names = append(names, vm.VM)
	}
	now := clock.New()
	var err error
	if c.links, err = newLinker(id, peers[id].Address, now, c.Registry); err != nil {
		return nil, err
	}
	tickets, err := checker.New()
	if err != nil {
		return nil, err
	}
	c.Log, err = logkeeper.New(logkeeper.Config{
		VM: id, Folder: folder, ControlVMs: names, Linker: c.links, Clock: now,
		StateMachine: c.StateMachine, Rand: newJitterRand(), Registerer: c.Registry,
	})
	if err != nil {
		return nil, zinniatide.WrapStep(err, "open data folder", folder)
	}
	c.Controller = controller.New(controller.Config{VM: id, ControlVMs: control}, c.Log, c.links, now, c.StateMachine, tickets, c.Registry)
	c.links.SetPeers(peers)
	if err := c.links.Start(); err != nil {
		return nil, err
	}
	c.Log.Start()
	return c, nil
}

// RunOnControlGoroutine runs f on the control goroutine and waits until it returns.
func (c *ControlNode) RunOnControlGoroutine(f func()) {
	done := make(chan struct{})
	c.Log.Post(func() { f(); close(done) })
	<-done
}

// Close stops the VM abruptly, as a crash does.
func (c *ControlNode) Close() {
	c.links.Close()
	_ = c.Log.Close() // the folder is deleted after the measurement
}

func newLinker(id zinniatide.VMID, address string, now zinniatide.Clock, registry prometheus.Registerer) (*linker.Linker, error) {
	return linker.New(linker.Config{
		Self: id, Process: zinniatide.ProcessID(rand.Uint64()), ListenAddress: address, EventLoops: 1,
	}, now, registry)
}

func newJitterRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter only
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", zinniatide.WrapStep(err, "find a free port", "loopback")
	}
	return l.Addr().String(), l.Close()
}

// MetricSums returns the counters and gauges of a registry by name, each summed
// over all label values.
func MetricSums(registry *prometheus.Registry) (map[string]float64, error) {
	families, err := registry.Gather()
	if err != nil {
		return nil, zinniatide.WrapStep(err, "gather metrics", "self")
	}
	sums := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			sums[family.GetName()] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sums, nil
}

// CPUTime returns the user and system CPU time of this process.
func CPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, zinniatide.WrapStep(err, "read CPU time", "self")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// Package members runs control VMs and many VMs with sessions in one process,
// for measurements of the control work.
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

// Control is a control VM that is no entry VM.
type Control struct {
	Controller *controller.Controller
	Keeper     *logkeeper.Keeper
	Machine    *registrar.Registrar
	Registry   *prometheus.Registry
	links      *linker.Linker
}

// NewControl starts the control VM id of the set control over a data folder.
func NewControl(id zinniatide.VMID, folder string, control []zinniatide.ControlVM) (*Control, error) {
	c := &Control{Registry: prometheus.NewRegistry(), Machine: registrar.New()}
	peers, names := map[zinniatide.VMID]string{}, []zinniatide.VMID{}
	for _, vm := range control {
		peers[vm.VM] = vm.PeerAddress
		names = append(names, vm.VM)
	}
	now := clock.New()
	var err error
	if c.links, err = newLinks(id, peers[id], now, c.Registry); err != nil {
		return nil, err
	}
	tickets, err := checker.New()
	if err != nil {
		return nil, err
	}
	c.Keeper, err = logkeeper.New(logkeeper.Config{
		VM: id, Folder: folder, ControlVMs: names, Linker: c.links, Clock: now,
		Machine: c.Machine, Rand: newRandom(), Registerer: c.Registry,
	})
	if err != nil {
		return nil, zinniatide.WrapStep(err, "open data folder", folder)
	}
	c.Controller = controller.New(controller.Config{VM: id, ControlVMs: control}, c.Keeper, c.links, now, c.Machine, tickets, c.Registry)
	c.links.SetPeers(peers)
	if err := c.links.Start(); err != nil {
		return nil, err
	}
	c.Keeper.Start()
	return c, nil
}

// OnThread runs f on the control thread and waits for it.
func (c *Control) OnThread(f func()) {
	done := make(chan struct{})
	c.Keeper.Post(func() { f(); close(done) })
	<-done
}

// Close ends the VM as a crash does.
func (c *Control) Close() {
	c.links.Close()
	_ = c.Keeper.Close() // the folder is removed after a measurement
}

func newLinks(id zinniatide.VMID, address string, now zinniatide.Clock, registry prometheus.Registerer) (*linker.Linker, error) {
	return linker.New(linker.Config{
		Self: id, Incarnation: zinniatide.Incarnation(now.Unix()), ListenAddress: address, EventLoops: 1,
	}, now, registry)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter only
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", zinniatide.WrapStep(err, "find a port", "loopback")
	}
	return l.Addr().String(), l.Close()
}

// Counters returns the sums of a registry's counters and gauges by name.
func Counters(registry *prometheus.Registry) (map[string]float64, error) {
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

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, zinniatide.WrapStep(err, "read processor time", "self")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

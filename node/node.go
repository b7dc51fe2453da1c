// Package node builds, starts and stops one process of the query tier. A Node
// runs searches and execute requests on backend servers itself; a Relay relays
// HTTP requests to them by the routing table.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cataloger"
	"zinniatide.example/zinniatide/controller"
	"zinniatide.example/zinniatide/dispatcher"
	"zinniatide.example/zinniatide/forwarder"
	"zinniatide.example/zinniatide/gateway"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/querier"
	"zinniatide.example/zinniatide/subscriber"
)

// Config configures a Node.
type Config struct {
	VM   zinniatide.VMID
	Zone zinniatide.ZoneID
	// Entry is set on a VM that serves callers and owns buckets, Control on one
	// that keeps the replicated log.
	Entry   bool
	Control bool
	// HTTPAddress serves callers, backend servers and operators, PeerAddress the
	// links between VMs. Both are IP:port.
	HTTPAddress string
	PeerAddress string
	// DataFolder holds the replicated log. It is only used with the control
	// role.
	DataFolder string
	ControlVMs []zinniatide.ControlVM
	// DialAddress maps a peer and its advertised address to the address to dial. If
	// nil, the advertised address is used.
	DialAddress func(peer zinniatide.VMID, address string) string
	// Query configures how searches are planned and run.
	Query querier.Config
	// DisableQuarantine disables canary requests, and DisableAdmission disables
	// admission control. Benchmarks use both as baselines.
	DisableQuarantine bool
	DisableAdmission  bool
}

// Node is a process of the query tier that serves search and execute requests of
// callers. Depending on its Config it also has the control role.
type Node struct {
	cfg        Config
	clock      zinniatide.Clock
	registerer prometheus.Registerer
	process    zinniatide.ProcessID

	linker        *linker.Linker
	replicatedLog *logkeeper.Keeper
	controller    *controller.Controller
	subscriber    *subscriber.Subscriber
	cataloger     *cataloger.Cataloger
	dispatcher    *dispatcher.Dispatcher
	forwarder     *forwarder.Forwarder
	gateway       *gateway.Gateway

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New builds a Node. It stays idle until Start is called.
func New(cfg Config, clock zinniatide.Clock, registerer prometheus.Registerer) (*Node, error) {
	n := &Node{cfg: cfg, clock: clock, registerer: registerer, process: newProcessID()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var err error
	n.linker, err = linker.New(linker.Config{
		Self: cfg.VM, Process: n.process, ListenAddress: cfg.PeerAddress,
		AdvertiseAddress: cfg.PeerAddress, DialAddress: cfg.DialAddress,
	}, clock, registerer)
	if err != nil {
		return nil, err
	}
	if cfg.Control {
		if err := n.buildControlComponents(); err != nil {
			return nil, err
		}
	}
	n.subscriber = subscriber.New(subscriber.Config{
		Member: zinniatide.Member{
			VM: cfg.VM, Process: n.process, Zone: cfg.Zone, Entry: cfg.Entry,
			HTTPAddress: cfg.HTTPAddress, PeerAddress: cfg.PeerAddress, State: zinniatide.StateIn,
		},
		Control: cfg.Control, ControlVMs: cfg.ControlVMs,
	}, n.linker, clock, newRand(), registerer)
	n.buildOwnerComponents()
	n.subscriber.OnConfiguration(func(*zinniatide.Configuration) {
		n.cataloger.TriggerTick()
		n.dispatcher.Wake()
	})
	return n, n.buildCoordinatorComponents()
}

// newProcessID returns a random id for this start of the process.
func newProcessID() zinniatide.ProcessID { return zinniatide.ProcessID(rand.Uint64()) } //nolint:gosec // unique, not secret

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // only used for choices among replicas and jitter
}

// buildOwnerComponents builds the components that send work to backend servers:
// directly to those whose buckets this VM owns, and to the others through the
// VMs that own them.
func (n *Node) buildOwnerComponents() {
	n.cataloger = cataloger.New(cataloger.Options{
		VM: n.cfg.VM, Process: n.process, Clock: n.clock, Configuration: n.subscriber, Linker: n.linker,
		OnAnnouncement: func(a zinniatide.Announcement) { n.dispatcher.Observe(a) },
		OnChange:       func() { n.dispatcher.Wake() },
	})
	n.dispatcher = dispatcher.New(dispatcher.Options{
		VM: n.cfg.VM, Process: n.process, Clock: n.clock, Configuration: n.subscriber, Catalog: n.cataloger,
		Linker: n.linker, Random: newRand(), Registerer: n.registerer, Release: n.subscriber.ReleaseBucketAt,
	})
	n.forwarder = forwarder.New(forwarder.Options{
		VM: n.cfg.VM, Clock: n.clock, Catalog: n.cataloger, Linker: n.linker, Dispatcher: n.dispatcher,
		Process: n.process,
	})
}

// Start starts all components and the HTTP server. If it returns an error, the
// caller must release the Node with Kill.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.cfg.HTTPAddress)
	if err != nil {
		return zinniatide.WrapStep(err, "listen", n.cfg.HTTPAddress)
	}
	if err := n.linker.Start(); err != nil {
		return errors.Join(err, listener.Close())
	}
	if n.replicatedLog != nil {
		n.replicatedLog.Start()
	}
	n.cataloger.Start()
	n.dispatcher.Start()
	n.forwarder.Start()
	n.startGoroutine(func() { n.subscriber.Run(n.ctx) })
	n.startGoroutine(func() {
		if err := n.gateway.Serve(listener); err != nil {
			klog.ErrorS(err, "HTTP server failed", "step", "serve", "peer", n.cfg.HTTPAddress)
		}
	})
	klog.InfoS("serving", "step", "start", "http-address", n.cfg.HTTPAddress, "peer-address", n.cfg.PeerAddress,
		"entry", n.cfg.Entry, "control", n.cfg.Control, "process", n.process)
	return nil
}

func (n *Node) startGoroutine(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Configuration returns the configuration that is installed on this VM.
func (n *Node) Configuration() *zinniatide.Configuration { return n.subscriber.Configuration() }

// LeaseUntil returns the time at which the lease of this VM expires. After it
// the VM takes no new work.
func (n *Node) LeaseUntil() zinniatide.Millis { return n.subscriber.LeaseUntil() }

// Catalog returns the backend servers that this VM knows.
func (n *Node) Catalog() *zinniatide.Catalog { return n.cataloger.Catalog() }

// Operator returns the interface for operators, or nil without the control role.
func (n *Node) Operator() zinniatide.Operator {
	if n.controller == nil {
		return nil
	}
	return n.controller
}

// IsLeader reports whether this process is the leader of the replicated log.
func (n *Node) IsLeader() bool { return n.LogStatus().Leading }

// LogStatus returns the local state of the replicated log. It returns the zero
// value without the control role and after the process has stopped.
func (n *Node) LogStatus() zinniatide.LogStatus {
	if n.replicatedLog == nil {
		return zinniatide.LogStatus{}
	}
	result := make(chan zinniatide.LogStatus, 1)
	n.replicatedLog.Post(func() { result <- n.replicatedLog.Status() })
	select {
	case status := <-result:
		return status
	case <-n.ctx.Done():
		return zinniatide.LogStatus{}
	}
}

// Package node assembles one process of the query tier from its parts.
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

// Config describes one process.
type Config struct {
	VM          zinniatide.VMID
	Zone        zinniatide.ZoneID
	Entry       bool
	Control     bool
	HTTPAddress string
	PeerAddress string
	// DataFolder is used with the control role only.
	DataFolder string
	ControlVMs []zinniatide.ControlVM
	// Route returns the address to dial for a peer; nil for the peer's own.
	Route func(peer zinniatide.VMID, address string) string
	// Query is the policy of searches.
	Query querier.Config
	// WithoutQuarantine sends every request without a canary, and
	// WithoutAdmission admits every request. Measurements compare with them.
	WithoutQuarantine bool
	WithoutAdmission  bool
}

// Node is one process of the query tier.
type Node struct {
	cfg         Config
	clock       zinniatide.Clock
	registerer  prometheus.Registerer
	incarnation zinniatide.Incarnation

	linker     *linker.Linker
	keeper     *logkeeper.Keeper
	controller *controller.Controller
	subscriber *subscriber.Subscriber
	cataloger  *cataloger.Cataloger
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	gateway    *gateway.Gateway

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New assembles a process that does nothing until Start.
func New(cfg Config, clock zinniatide.Clock, registerer prometheus.Registerer) (*Node, error) {
	n := &Node{cfg: cfg, clock: clock, registerer: registerer, incarnation: zinniatide.Incarnation(clock.Unix())}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var err error
	n.linker, err = linker.New(linker.Config{
		Self: cfg.VM, Incarnation: n.incarnation, ListenAddress: cfg.PeerAddress,
		AdvertiseAddress: cfg.PeerAddress, Route: cfg.Route,
	}, clock, registerer)
	if err != nil {
		return nil, err
	}
	if cfg.Control {
		if err := n.assembleControl(); err != nil {
			return nil, err
		}
	}
	n.subscriber = subscriber.New(subscriber.Config{
		Member: zinniatide.Member{
			VM: cfg.VM, Incarnation: n.incarnation, Zone: cfg.Zone, Entry: cfg.Entry,
			HTTPAddress: cfg.HTTPAddress, PeerAddress: cfg.PeerAddress, State: zinniatide.StateIn,
		},
		Control: cfg.Control, ControlVMs: cfg.ControlVMs,
	}, n.linker, clock, newRandom(), registerer)
	n.assembleOwner()
	n.subscriber.OnConfiguration(func(*zinniatide.Configuration) {
		n.cataloger.Wake()
		n.dispatcher.Wake()
	})
	return n, n.assembleCoordinator()
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // choices among replicas, no secrets
}

// assembleOwner builds the parts that send work to backend servers.
func (n *Node) assembleOwner() {
	n.cataloger = cataloger.New(cataloger.Options{
		VM: n.cfg.VM, Incarnation: n.incarnation, Clock: n.clock, Configuration: n.subscriber, Linker: n.linker,
		Observe: func(a zinniatide.Announcement) { n.dispatcher.Observe(a) },
		Changed: func() { n.dispatcher.Wake() },
	})
	n.dispatcher = dispatcher.New(dispatcher.Options{
		VM: n.cfg.VM, Incarnation: n.incarnation, Clock: n.clock, Configuration: n.subscriber, Catalog: n.cataloger,
		Linker: n.linker, Random: newRandom(), Registerer: n.registerer, Release: n.subscriber.ReleaseBucketAt,
	})
	n.forwarder = forwarder.New(forwarder.Options{
		VM: n.cfg.VM, Clock: n.clock, Catalog: n.cataloger, Linker: n.linker, Dispatcher: n.dispatcher,
		FirstBatch: uint64(n.incarnation) << 32,
	})
}

// Start begins to serve. On an error the process must be closed.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.cfg.HTTPAddress)
	if err != nil {
		return zinniatide.WrapStep(err, "listen", n.cfg.HTTPAddress)
	}
	if err := n.linker.Start(); err != nil {
		return errors.Join(err, listener.Close())
	}
	if n.keeper != nil {
		n.keeper.Start()
	}
	n.cataloger.Start()
	n.dispatcher.Start()
	n.forwarder.Start()
	n.goRun(func() { n.subscriber.Run(n.ctx) })
	n.goRun(func() {
		if err := n.gateway.Serve(listener); err != nil {
			klog.ErrorS(err, "HTTP server ended", "step", "serve", "peer", n.cfg.HTTPAddress)
		}
	})
	klog.InfoS("serving", "step", "start", "http-address", n.cfg.HTTPAddress, "peer-address", n.cfg.PeerAddress,
		"entry", n.cfg.Entry, "control", n.cfg.Control, "incarnation", n.incarnation)
	return nil
}

func (n *Node) goRun(f func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f()
	}()
}

// Configuration returns the configuration in force here.
func (n *Node) Configuration() *zinniatide.Configuration { return n.subscriber.Configuration() }

// LeaseUntil returns when this VM stops taking new work.
func (n *Node) LeaseUntil() zinniatide.Millis { return n.subscriber.LeaseUntil() }

// Catalog returns the backend servers known here.
func (n *Node) Catalog() *zinniatide.Catalog { return n.cataloger.Catalog() }

// Operator returns the operators' interface, nil without the control role.
func (n *Node) Operator() zinniatide.Operator {
	if n.controller == nil {
		return nil
	}
	return n.controller
}

// Leading reports whether this process leads the replicated log.
func (n *Node) Leading() bool { return n.LogStatus().Leading }

// LogStatus returns the state of the replicated log here. It is zero without
// the control role, and once the process has ended.
func (n *Node) LogStatus() zinniatide.LogStatus {
	if n.keeper == nil {
		return zinniatide.LogStatus{}
	}
	answer := make(chan zinniatide.LogStatus, 1)
	n.keeper.Post(func() { answer <- n.keeper.Status() })
	select {
	case status := <-answer:
		return status
	case <-n.ctx.Done():
		return zinniatide.LogStatus{}
	}
}

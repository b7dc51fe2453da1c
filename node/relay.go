package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/acceptor"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/controller"
	"zinniatide.example/zinniatide/enroller"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/rationer"
	"zinniatide.example/zinniatide/registrar"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/steerer"
	"zinniatide.example/zinniatide/subscriber"
	"zinniatide.example/zinniatide/transporter"
)

// RelayConfig describes one process that relays HTTP requests by the routing
// table, or keeps the control state of such processes.
type RelayConfig struct {
	// VM is the peer address of the process, which names it.
	VM   zinniatide.VMID
	Zone zinniatide.ZoneID
	// CallerAddress serves callers; empty on a process that does not relay.
	CallerAddress string
	// ControlAddress serves operators and backend servers; empty on a process
	// without the replicated log.
	ControlAddress string
	// DataFolder holds the replicated log; empty on a process without it.
	DataFolder string
	// FirstStart is set when the whole system starts for the first time, with
	// empty data folders. The first of Seeds then initialises the log.
	FirstStart bool
	// Seeds are control VMs known from the settings, in order of their ids.
	Seeds []zinniatide.ControlVM
	// Voters is the wanted number of control VMs.
	Voters int
	// RelayCapacity is the requests a second to backend servers that one relay
	// VM should have.
	RelayCapacity float64
	// Budget bounds repeated sends to one service over all VMs.
	Budget rationer.Config
	// StopLimit is how long a planned stop may take.
	StopLimit zinniatide.Millis
	// Names of the headers spoken with callers and backend servers.
	CallerNames  acceptor.Names
	RelayNames   relayer.Names
	BackendNames transporter.Names
}

// Endpoint is an HTTP address that the process serves besides callers.
type Endpoint struct {
	Address string
	Handler fasthttp.RequestHandler
}

// Relay is one process of a relaying deployment.
type Relay struct {
	cfg   RelayConfig
	clock zinniatide.Clock

	linker      *linker.Linker
	keeper      *logkeeper.Keeper
	machine     *registrar.Registrar
	controller  *controller.Controller
	subscriber  *subscriber.Subscriber
	enroller    *enroller.Enroller
	steerer     *steerer.Steerer
	relayer     *relayer.Relayer
	transporter *transporter.Transporter
	acceptor    *acceptor.Acceptor
	servers     []*fasthttp.Server

	changed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	leaving bool
	// loadAt, loadSends and lastLoad belong to load.
	loadAt    zinniatide.Millis
	loadSends uint64
	lastLoad  float64
}

// Policy of relaying.
const (
	// remoteCost is about the way to another zone and back, and what the bytes
	// between zones cost.
	remoteCost = 25.0
	// replyMargin covers the way between caller and VM of up to 3 ms and the work
	// on both sides, connectMargin one more way there and back.
	replyMargin   zinniatide.Millis = 9
	connectMargin zinniatide.Millis = 7
	// electionTimeout and logHeartbeat are shorter than the defaults: the control
	// VMs of one region answer within a few milliseconds, and after a restart of
	// all processes nothing is served before a leader is elected.
	electionTimeout zinniatide.Millis = 400
	logHeartbeat    zinniatide.Millis = 120
	// heartbeatInterval leaves five heartbeats in a lease. Relay VMs serve without
	// one, and each heartbeat costs bytes between zones.
	heartbeatInterval zinniatide.Millis = 800
	// diskRetry spaces attempts to write after a failure.
	diskRetry zinniatide.Millis = 200
)

// NewRelay assembles a process that does nothing until Start.
func NewRelay(cfg RelayConfig, clock zinniatide.Clock, registerer prometheus.Registerer) (*Relay, error) {
	r := &Relay{cfg: cfg, clock: clock, changed: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	incarnation := zinniatide.Incarnation(clock.Unix())
	var err error
	r.linker, err = linker.New(linker.Config{
		Self: cfg.VM, Incarnation: incarnation, ListenAddress: string(cfg.VM), AdvertiseAddress: string(cfg.VM),
	}, clock, registerer)
	if err != nil {
		return nil, err
	}
	control := cfg.DataFolder != ""
	if control {
		if err := r.openLog(registerer); err != nil {
			return nil, err
		}
	}
	r.subscriber = subscriber.New(subscriber.Config{
		Member: zinniatide.Member{
			VM: cfg.VM, Incarnation: incarnation, Zone: cfg.Zone, HTTPAddress: cmp.Or(cfg.CallerAddress, cfg.ControlAddress),
			PeerAddress: string(cfg.VM), State: zinniatide.StateIn, Relay: cfg.CallerAddress != "", Control: control,
		},
		Control: control, ControlVMs: r.knownControlVMs(),
		Peering: r.peering, Load: r.load, HeartbeatInterval: heartbeatInterval,
	}, r.linker, clock, newRandom(), registerer)
	if control {
		if err := r.assembleControl(registerer); err != nil {
			return nil, err
		}
	}
	r.enroller = enroller.New(enroller.Dependencies{
		VM: cfg.VM, Control: control, Clock: clock, Linker: r.linker, Configurations: r.subscriber,
		Registerer: registerer, Changed: r.change,
	})
	r.subscriber.OnConfiguration(func(c *zinniatide.Configuration) {
		r.change()
		r.enroller.Wake()
		if r.keeper != nil {
			r.keeper.Post(func() { r.keeper.SetContacts(contacts(c, cfg.Seeds)) })
		}
	})
	r.steerer = steerer.New(cfg.VM, r.subscriber, r.enroller.Table)
	if cfg.CallerAddress != "" {
		r.assembleRelayer(registerer)
	}
	return r, nil
}

// helpersPerZone are linked to in each other zone. Links cost a ping twice a
// second, so a VM does not keep them to all.
const helpersPerZone = 3

// peering returns the members to which this VM keeps links: a control VM to
// all, an active relay to control VMs, to those of its zone that share the parts
// of queries, and to a few active relays of each other zone.
func (r *Relay) peering(c *zinniatide.Configuration) []zinniatide.VMID {
	var out []zinniatide.VMID
	for vm, m := range c.Members {
		if m.Control || r.cfg.DataFolder != "" {
			out = append(out, vm)
		}
	}
	if r.cfg.DataFolder != "" || !slices.Contains(c.Relays(r.cfg.Zone), r.cfg.VM) {
		return out
	}
	for _, zone := range c.RelayZones() {
		candidates := c.Relays(zone)
		if zone == r.cfg.Zone {
			out = append(out, candidates[:min(len(candidates), relayer.MaxSiblings)]...)
			continue
		}
		for range min(helpersPerZone, len(candidates)) {
			best := picker.Pick(string(r.cfg.VM), candidates)
			out = append(out, best)
			candidates = slices.DeleteFunc(candidates, func(vm zinniatide.VMID) bool { return vm == best })
		}
	}
	return out
}

// load returns the requests sent to backend servers since the last call as a
// share of what this VM should have. It is called by the subscriber only.
func (r *Relay) load() float64 {
	if r.relayer == nil || r.cfg.RelayCapacity <= 0 {
		return 0
	}
	now, sends := r.clock.Now(), r.relayer.Sends()
	passed := float64(now-r.loadAt) / 1000
	if passed <= 0 {
		return r.lastLoad
	}
	r.lastLoad = float64(sends-r.loadSends) / passed / r.cfg.RelayCapacity
	r.loadAt, r.loadSends = now, sends
	return r.lastLoad
}

// contacts are the control VMs to which one that knows no leader turns.
func contacts(c *zinniatide.Configuration, seeds []zinniatide.ControlVM) []zinniatide.VMID {
	var out []zinniatide.VMID
	for _, list := range [][]zinniatide.ControlVM{c.ControlVMs, seeds} {
		for _, vm := range list {
			out = append(out, vm.VM)
		}
	}
	return out
}

// openLog opens the replicated log.
func (r *Relay) openLog(registerer prometheus.Registerer) error {
	cfg := &r.cfg
	if err := r.initialise(); err != nil {
		return err
	}
	r.machine = registrar.New()
	seeds := contacts(registrar.NewConfiguration(), cfg.Seeds)
	var err error
	r.keeper, err = logkeeper.New(logkeeper.Config{
		VM: cfg.VM, Folder: cfg.DataFolder, ControlVMs: seeds, Linker: r.linker, Clock: r.clock,
		Machine: r.machine, Rand: newRandom(), DiskRetry: diskRetry,
		ElectionTimeout: electionTimeout, HeartbeatInterval: logHeartbeat, Registerer: registerer,
	})
	if err != nil {
		return zinniatide.WrapStep(err, "open data folder", cfg.DataFolder)
	}
	return nil
}

// knownControlVMs are the seeds and, on a control VM, those that its log names:
// after a restart of all processes its voters must find each other before any of
// them leads, also those that are no seeds.
func (r *Relay) knownControlVMs() []zinniatide.ControlVM {
	known := slices.Clone(r.cfg.Seeds)
	if r.keeper == nil {
		return known
	}
	add := func(vm zinniatide.VMID) {
		if !slices.ContainsFunc(known, func(c zinniatide.ControlVM) bool { return c.VM == vm }) {
			known = append(known, zinniatide.ControlVM{VM: vm, PeerAddress: string(vm)})
		}
	}
	for _, vm := range r.keeper.ControlVMs() {
		add(vm.VM)
	}
	for _, voter := range r.keeper.Status().Voters {
		add(voter.VM)
	}
	return known
}

func (r *Relay) assembleControl(registerer prometheus.Registerer) error {
	cfg := &r.cfg
	tickets, err := checker.New()
	if err != nil {
		return err
	}
	r.controller = controller.New(controller.Config{
		VM: cfg.VM, ControlVMs: cfg.Seeds, Voters: cfg.Voters, CountRelays: true, KnownLeader: r.subscriber.KnownLeader,
	}, r.keeper, r.linker, r.clock, r.machine, tickets, registerer)
	return nil
}

// initialise begins the replicated log on the first seed of a system that
// starts for the first time. The others join it as empty voters to be.
func (r *Relay) initialise() error {
	cfg := &r.cfg
	if !cfg.FirstStart || len(cfg.Seeds) == 0 || cfg.Seeds[0].VM != cfg.VM {
		return nil
	}
	entries, err := os.ReadDir(cfg.DataFolder)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return zinniatide.WrapStep(err, "read data folder", cfg.DataFolder)
	}
	if len(entries) > 0 {
		return nil
	}
	if err := logkeeper.Init(journal.Disk{}, cfg.DataFolder, cfg.VM, cfg.Seeds); err != nil {
		return zinniatide.WrapStep(err, "initialise data folder", cfg.DataFolder)
	}
	klog.InfoS("replicated log initialised", "step", "initialise", "control-vms", cfg.Seeds)
	return nil
}

func (r *Relay) assembleRelayer(registerer prometheus.Registerer) {
	lock, timers := &sync.Mutex{}, timer.New()
	dialled := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_connections_total", Help: "Connections set up to backend servers.",
	})
	registerer.MustRegister(dialled)
	r.transporter = transporter.New(transporter.Dependencies{
		Lock: lock, Clock: r.clock, Timer: timers, Names: r.cfg.BackendNames, Dialled: dialled.Inc,
	})
	r.relayer = relayer.New(relayer.Config{
		VM: r.cfg.VM, Zone: r.cfg.Zone, Budget: r.cfg.Budget, RemoteCost: remoteCost, ReplyMargin: replyMargin,
		ConnectMargin: connectMargin,
	}, relayer.Dependencies{
		Lock: lock, Clock: r.clock, Timer: timers, Random: newRandom(), Names: r.cfg.RelayNames, Links: r.linker, Registerer: registerer,
		NewPool: func(server zinniatide.BackendServerID, address string, limit int) relayer.Pool {
			return r.transporter.Pool(server, address, limit)
		},
	})
	r.linker.Handle(zinniatide.KindGather, r.relayer.HandleGather)
	r.linker.Handle(zinniatide.KindGatherCancel, r.relayer.HandleGatherCancel)
	r.linker.Handle(zinniatide.KindGatherRest, r.relayer.HandleGatherRest)
	r.acceptor = acceptor.New(r.cfg.CallerNames, r.relayer, r.clock)
}

// change has the newest configuration and enrollments put in force.
func (r *Relay) change() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Start begins to serve. On an error the process must exit.
func (r *Relay) Start(endpoints []Endpoint) error {
	if err := r.linker.Start(); err != nil {
		return err
	}
	if r.keeper != nil {
		r.keeper.Start()
	}
	r.enroller.Start()
	r.goRun(func() { r.subscriber.Run(r.ctx) })
	if r.acceptor != nil {
		r.goRun(r.follow)
		listener, err := net.Listen("tcp", r.cfg.CallerAddress)
		if err != nil {
			return zinniatide.WrapStep(err, "listen", r.cfg.CallerAddress)
		}
		go r.acceptor.Serve(listener)
	}
	for _, e := range endpoints {
		if err := r.host(e); err != nil {
			return err
		}
	}
	klog.InfoS("serving", "step", "start", "caller-address", r.cfg.CallerAddress, "control", r.keeper != nil,
		"first-start", r.cfg.FirstStart, "seeds", r.cfg.Seeds, "voters", r.cfg.Voters)
	return nil
}

// Bounds of the HTTP servers for operators and backend servers.
const (
	maxDocument = 4 << 20
	idleTimeout = 30 * time.Second
	readTimeout = 10 * time.Second
)

func (r *Relay) host(e Endpoint) error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return zinniatide.WrapStep(err, "listen", e.Address)
	}
	server := &fasthttp.Server{
		Handler: e.Handler, MaxRequestBodySize: maxDocument, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
	r.servers = append(r.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil {
			klog.ErrorS(err, "HTTP server ended", "step", "serve", "peer", e.Address)
		}
	}()
	return nil
}

// follow keeps the relayer on the newest configuration and enrollments.
func (r *Relay) follow() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.changed:
			r.relayer.Update(r.subscriber.Configuration(), r.enroller.Table())
		}
	}
}

func (r *Relay) goRun(f func()) {
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		f()
	}()
}

// Operator returns the operators' interface, nil without a data folder.
func (r *Relay) Operator() zinniatide.RoutingOperator {
	if r.controller == nil {
		return nil
	}
	return r.controller
}

// Enroller takes the heartbeats of backend servers.
func (r *Relay) Enroller() zinniatide.Enroller { return r.enroller }

// HeartbeatAddress returns where the backend servers of a zone should send
// their heartbeats: a control VM of the zone, or empty when there is none or it
// is this one.
func (r *Relay) HeartbeatAddress(zone zinniatide.ZoneID) string {
	c := r.subscriber.Configuration()
	if zone == r.cfg.Zone {
		return ""
	}
	var near []zinniatide.VMID
	for vm, m := range c.Members {
		if m.Control && m.Zone == zone && m.State == zinniatide.StateIn {
			near = append(near, vm)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return c.Members[slices.Min(near)].HTTPAddress
}

// Addresses returns the relay VMs for callers in zone.
func (r *Relay) Addresses(zone zinniatide.ZoneID) []string { return r.steerer.Addresses(zone) }

// Ready reports whether callers should be sent here.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	return !leaving && r.relayer != nil && r.relayer.Ready()
}

// SetSeeds replaces the control VMs known from the settings.
func (r *Relay) SetSeeds(seeds []zinniatide.ControlVM) {
	klog.InfoS("settings changed", "step", "reload", "seeds", seeds)
	if r.keeper != nil {
		r.keeper.Post(func() { r.keeper.SetContacts(contacts(r.subscriber.Configuration(), seeds)) })
	}
}

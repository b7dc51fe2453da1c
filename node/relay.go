package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/acceptor"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/common/boottime"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/controller"
	"zinniatide.example/zinniatide/enroller"
	"zinniatide.example/zinniatide/granter"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/quarantiner"
	"zinniatide.example/zinniatide/quotalimiter"
	"zinniatide.example/zinniatide/registrar"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/reserver"
	"zinniatide.example/zinniatide/resolver"
	"zinniatide.example/zinniatide/responder"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/rollouter"
	"zinniatide.example/zinniatide/subscriber"
	"zinniatide.example/zinniatide/transporter"
)

// RelayConfig configures a Relay: a process that relays HTTP requests by the
// routing table if CallerAddress is set, and holds the control state of such
// processes if DataFolder is set. With both addresses set, the other VMs learn
// only CallerAddress.
type RelayConfig struct {
	// VM identifies the process. It is also its peer address.
	VM   zinniatide.VMID
	Zone zinniatide.ZoneID
	// CallerAddress is the address that serves callers. It is empty on a process
	// that does not relay.
	CallerAddress string
	// ControlAddress is the address that serves operators and backend servers.
	// It is empty on a process without the replicated log.
	ControlAddress string
	// DataFolder holds the replicated log. It is empty on a process without one.
	DataFolder string
	// FirstStart is set when the whole system starts for the first time, with
	// empty data folders. The first VM of Seeds then initialises the log.
	FirstStart bool
	// Seeds are the control VMs named in the settings, sorted by id.
	Seeds []zinniatide.ControlVM
	// LoadSeeds reads the seeds of the present settings. It is called by ReloadSeeds and
	// while no control leader answers, and may be nil.
	LoadSeeds func() ([]zinniatide.ControlVM, error)
	// Voters is the target number of control VMs.
	Voters int
	// RelayCapacity is the target load of one relay VM in requests per second
	// sent to backend servers.
	RelayCapacity float64
	// Budget limits the retries to one service over all VMs.
	Budget retrybudget.Config
	// Rollouts limits the requests that a bad version of backend servers gets. It is nil
	// where rollouts are not in use.
	Rollouts *rollouter.Config
	// Quota holds the bounds of the rate limits of workspaces.
	Quota granter.Bounds
	// StopLimit is the time limit of a graceful shutdown.
	StopLimit zinniatide.Millis
	// CallerNames, RelayNames and BackendNames are the names of the HTTP headers
	// exchanged with callers and backend servers.
	CallerNames  acceptor.HeaderNames
	RelayNames   relayer.HeaderNames
	BackendNames transporter.HeaderNames
	// Clients limits what all clients of the process can occupy together.
	Clients reserver.Config
}

// Endpoint is an HTTP address that the process serves in addition to
// RelayConfig.CallerAddress.
type Endpoint struct {
	Address string
	Handler fasthttp.RequestHandler
	// ReadsBodies is set if Handler needs the bodies of requests.
	ReadsBodies bool
}

// Relay is a process that relays HTTP requests, takes part in the replicated
// log of the control state, or both.
type Relay struct {
	cfg     RelayConfig
	clock   zinniatide.Clock
	process zinniatide.ProcessID

	linker        *linker.Linker
	replicatedLog *logkeeper.Keeper
	stateMachine  *registrar.Registrar
	controller    *controller.Controller
	subscriber    *subscriber.Subscriber
	enroller      *enroller.Enroller
	quarantiner   *quarantiner.Quarantiner
	quotaLimiter  *quotalimiter.Limiter // nil on a VM that does not relay
	resolver      *resolver.Resolver
	relayer       *relayer.Relayer
	transporter   *transporter.Transporter
	acceptor      *acceptor.Acceptor
	httpServers   []*fasthttp.Server
	budget        *reserver.Reserver
	responder     *responder.Responder

	updates chan struct{}
	// updating is held during an update of the relayer, so that no older state replaces
	// a newer one.
	updating sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	leaving  bool // guarded by mu, as is cfg.Seeds once the process serves
	// lastReloadError is the error of the last attempt to read the settings again, empty
	// after a success. It is guarded by mu.
	lastReloadError string
	// lastLoadAt, lastSends and lastLoad are only used by measureLoad.
	lastLoadAt zinniatide.Millis
	lastSends  uint64
	lastLoad   float64
}

// Costs, margins and intervals of a Relay.
const (
	// crossZoneCostMillis is added to the expected wait at a server of another
	// zone. It approximates the round trip between zones plus the cost of
	// traffic between them.
	crossZoneCostMillis = 25.0
	// replyMargin covers the network latency between caller and VM, up to 3 ms
	// each way, and the processing on both sides. connectMargin covers one more
	// round trip for callers that had to set up a connection.
	replyMargin   zinniatide.Millis = 9
	connectMargin zinniatide.Millis = 7
	// electionTimeout and logHeartbeatInterval are shorter than the defaults:
	// control VMs of one region answer within a few milliseconds, and after a
	// restart of all processes no request is served before a leader is elected.
	electionTimeout      zinniatide.Millis = 400
	logHeartbeatInterval zinniatide.Millis = 120
	// heartbeatInterval fits five heartbeats into a lease. It can be long because
	// relay VMs serve without a lease, and each heartbeat adds traffic between
	// zones.
	heartbeatInterval zinniatide.Millis = 800
	// diskRetryInterval is the delay before a failed write is retried.
	diskRetryInterval zinniatide.Millis = 200
)

// NewRelay builds a Relay. It stays idle until Start is called.
func NewRelay(cfg RelayConfig, clock zinniatide.Clock, registerer prometheus.Registerer) (*Relay, error) {
	r := &Relay{cfg: cfg, clock: clock, process: newProcessID(), updates: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.budget = reserver.New(cfg.Clients, clock, registerer)
	r.responder = responder.New(r.budget)
	var err error
	r.linker, err = linker.New(linker.Config{
		Self: cfg.VM, Process: r.process, ListenAddress: string(cfg.VM), AdvertiseAddress: string(cfg.VM), Budget: r.budget,
	}, clock, registerer)
	if err != nil {
		return nil, err
	}
	control := cfg.DataFolder != ""
	if control {
		if err := r.openReplicatedLog(registerer); err != nil {
			return nil, err
		}
	}
	r.subscriber = subscriber.New(subscriber.Config{
		Member: zinniatide.Member{
			VM: cfg.VM, Process: r.process, Zone: cfg.Zone, HTTPAddress: cmp.Or(cfg.CallerAddress, cfg.ControlAddress),
			PeerAddress: string(cfg.VM), State: zinniatide.StateIn, Relay: cfg.CallerAddress != "", Control: control,
		},
		Control: control, ControlVMs: r.knownControlVMs(),
		SelectPeers: r.linkedPeers, Load: r.measureLoad, HeartbeatInterval: heartbeatInterval, OnSearch: func() { r.reloadSeeds(false) },
	}, r.linker, clock, newRand(), registerer)
	if control {
		if err := r.buildControlComponents(registerer); err != nil {
			return nil, err
		}
	}
	r.enroller = enroller.New(enroller.Dependencies{
		VM: cfg.VM, Control: control, Clock: clock, Linker: r.linker, Configurations: r.subscriber, Voters: r.passVoters,
		Registerer: registerer, OnChange: r.notifyChange,
	})
	var requestQuarantines sync.Once
	r.subscriber.OnConfiguration(func(c *zinniatide.Configuration) {
		// Before the subscriber confirms the configuration to the control leader, which
		// then acknowledges it to the operator.
		if r.quotaLimiter != nil {
			r.quotaLimiter.Install(c)
		}
		r.updateRelayer()
		requestQuarantines.Do(r.quarantiner.RequestQuarantines)
		r.enroller.TriggerTick()
		if r.replicatedLog != nil {
			seeds := r.seeds()
			r.replicatedLog.Post(func() { r.replicatedLog.SetContacts(contactIDs(c, seeds)) })
		}
	})
	r.quarantiner = quarantiner.New(quarantiner.RelayConfig(), quarantiner.Dependencies{
		VM: cfg.VM, Clock: clock, Timer: timer.New(), Linker: r.linker, Registerer: registerer,
		ServingVMs: func() []zinniatide.VMID {
			return memberIDs(r.subscriber.Configuration(), func(m *zinniatide.Member) bool { return m.Relay })
		},
		Counters: func() []zinniatide.VMID {
			return memberIDs(r.subscriber.Configuration(), func(m *zinniatide.Member) bool { return m.Control })
		},
	})
	r.resolver = resolver.New(r.subscriber, r.enroller.Table)
	if cfg.CallerAddress != "" {
		r.buildRelayer(registerer)
	}
	return r, nil
}

// memberIDs returns the sorted ids of the members that match.
func memberIDs(c *zinniatide.Configuration, matches func(*zinniatide.Member) bool) []zinniatide.VMID {
	var ids []zinniatide.VMID
	for vm, m := range c.Members {
		if matches(&m) {
			ids = append(ids, vm)
		}
	}
	slices.Sort(ids)
	return ids
}

// remoteRelaysPerZone is the number of relays in each other zone to which a
// relay keeps links. It is limited because each link costs two pings per second.
const remoteRelaysPerZone = 3

// linkedPeers returns the members to which this VM keeps links. A control VM
// links to all members. An active relay links to the control VMs, to the relays
// of its zone that share the parts of queries with it, and to a few active
// relays of each other zone. An inactive relay links to the control VMs only.
// While a workspace has a limit, all relays link to the VMs that count as well.
func (r *Relay) linkedPeers(c *zinniatide.Configuration) []zinniatide.VMID {
	var peers []zinniatide.VMID
	for vm, m := range c.Members {
		if m.Control || r.cfg.DataFolder != "" {
			peers = append(peers, vm)
		}
	}
	if r.cfg.DataFolder == "" && r.cfg.CallerAddress != "" && granter.HasLimits(c) {
		peers = append(peers, granter.Counters(c)...)
	}
	if r.cfg.DataFolder != "" || !slices.Contains(c.Relays(r.cfg.Zone), r.cfg.VM) {
		return peers
	}
	for _, zone := range c.RelayZones() {
		candidates := c.Relays(zone)
		if zone == r.cfg.Zone {
			peers = append(peers, candidates[:min(len(candidates), relayer.MaxZonePeers)]...)
			continue
		}
		for range min(remoteRelaysPerZone, len(candidates)) {
			selected := picker.Pick(string(r.cfg.VM), candidates)
			peers = append(peers, selected)
			candidates = slices.DeleteFunc(candidates, func(vm zinniatide.VMID) bool { return vm == selected })
		}
	}
	return peers
}

// measureLoad returns the rate of requests sent to backend servers since the
// previous call, as a fraction of RelayConfig.RelayCapacity. Only the
// subscriber may call it.
func (r *Relay) measureLoad() float64 {
	if r.relayer == nil || r.cfg.RelayCapacity <= 0 {
		return 0
	}
	now, sends := r.clock.Now(), r.relayer.SentRequests()
	elapsedSeconds := float64(now-r.lastLoadAt) / 1000
	if elapsedSeconds <= 0 {
		return r.lastLoad
	}
	r.lastLoad = float64(sends-r.lastSends) / elapsedSeconds / r.cfg.RelayCapacity
	r.lastLoadAt, r.lastSends = now, sends
	return r.lastLoad
}

// openReplicatedLog opens the replicated log in the data folder, which it
// initialises first if needed.
func (r *Relay) openReplicatedLog(registerer prometheus.Registerer) error {
	cfg := &r.cfg
	if err := r.initialiseLog(); err != nil {
		return err
	}
	r.stateMachine = registrar.New()
	seeds := contactIDs(registrar.NewConfiguration(), cfg.Seeds)
	var err error
	r.replicatedLog, err = logkeeper.New(logkeeper.Config{
		VM: cfg.VM, Folder: cfg.DataFolder, ControlVMs: seeds, Linker: r.linker, Clock: r.clock,
		StateMachine: r.stateMachine, Rand: newRand(), WriteRetryDelay: diskRetryInterval,
		ElectionTimeout: electionTimeout, HeartbeatInterval: logHeartbeatInterval, Registerer: registerer,
	})
	if err != nil {
		return zinniatide.WrapStep(err, "open data folder", cfg.DataFolder)
	}
	return nil
}

// passVoters passes the voters that the replicated log of this VM knows to f. There are
// none on a VM without a log, before a leader has contacted a new one, and while a new
// log is forming: its first voter is a majority of itself only.
func (r *Relay) passVoters(f func([]zinniatide.VMID)) {
	if r.replicatedLog == nil {
		f(nil)
		return
	}
	r.replicatedLog.Post(func() {
		status := r.replicatedLog.Status()
		if status.Forming {
			f(nil)
			return
		}
		var ids []zinniatide.VMID
		for _, voter := range status.Voters {
			ids = append(ids, voter.VM)
		}
		f(ids)
	})
}

func (r *Relay) buildControlComponents(registerer prometheus.Registerer) error {
	cfg := &r.cfg
	ticketChecker, err := checker.New()
	if err != nil {
		return err
	}
	r.controller = controller.New(controller.Config{
		VM: cfg.VM, ControlVMs: cfg.Seeds, TargetControlVMs: cfg.Voters, AdjustRelayCounts: true, KnownLeader: r.subscriber.KnownLeader,
		Rollouts: r.rolloutsOfLeader(),
	}, r.replicatedLog, r.linker, r.clock, r.stateMachine, ticketChecker, registerer)
	return nil
}

// initialiseLog creates the replicated log on the first seed when the system
// starts for the first time. The other control VMs start with an empty log and
// are added as voters later.
func (r *Relay) initialiseLog() error {
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
	if err := logkeeper.Init(journal.OSFileSystem{}, cfg.DataFolder, cfg.VM, cfg.Seeds); err != nil {
		return zinniatide.WrapStep(err, "initialise data folder", cfg.DataFolder)
	}
	klog.InfoS("initialised replicated log", "step", "initialise", "control-vms", cfg.Seeds)
	return nil
}

func (r *Relay) buildRelayer(registerer prometheus.Registerer) {
	// mu guards the transporter and the relayer together, because each calls the
	// other with the lock held.
	mu, timers := &sync.Mutex{}, timer.New()
	connections := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_connections_total", Help: "Connections set up to backend servers.",
	})
	registerer.MustRegister(connections)
	r.transporter = transporter.New(transporter.Dependencies{
		Lock: mu, Clock: r.clock, Timer: timers, Names: r.cfg.BackendNames, OnOpen: connections.Inc,
	})
	r.quotaLimiter = quotalimiter.New(granter.New(granter.Config{VM: r.cfg.VM, Bounds: r.cfg.Quota}), quotalimiter.Dependencies{
		Clock: r.clock, BootTime: boottime.Read, Timer: timers, Linker: r.linker, ConfirmedAt: r.subscriber.ConfirmedAt, Registerer: registerer,
	})
	r.relayer = relayer.New(relayer.Config{
		VM: r.cfg.VM, Process: r.process, Zone: r.cfg.Zone, Budget: r.cfg.Budget, RemoteCost: crossZoneCostMillis, ReplyMargin: replyMargin,
		ConnectMargin: connectMargin, Rollouts: r.cfg.Rollouts != nil,
	}, relayer.Dependencies{
		Lock: mu, Clock: r.clock, Timer: timers, Random: newRand(), Names: r.cfg.RelayNames, Links: r.linker, Quarantine: r.quarantiner, Quota: r.quotaLimiter, Registerer: registerer,
		ConfirmedAt: r.subscriber.ConfirmedAt, ReportRollouts: r.reportRollouts,
		NewPool: func(server zinniatide.BackendServerID, address string, limit int) relayer.Pool {
			return r.transporter.Pool(server, address, limit)
		},
	})
	r.linker.Handle(zinniatide.KindGather, r.relayer.HandleGather)
	r.linker.Handle(zinniatide.KindGatherCancel, r.relayer.HandleGatherCancel)
	r.linker.Handle(zinniatide.KindGatherLateParts, r.relayer.HandleLateParts)
	r.linker.Handle(zinniatide.KindGatherAttempts, r.relayer.HandleGatherAttempts)
	r.acceptor = acceptor.New(r.cfg.CallerNames, r.relayer, r.budget, r.clock)
}

// notifyChange tells applyUpdates that the enrollments have changed. It does not
// block.
func (r *Relay) notifyChange() {
	select {
	case r.updates <- struct{}{}:
	default:
	}
}

// Start starts all components and serves callers and endpoints. If it returns
// an error, the process must exit.
func (r *Relay) Start(endpoints []Endpoint) error {
	if err := r.linker.Start(); err != nil {
		return err
	}
	if r.replicatedLog != nil {
		r.replicatedLog.Start()
	}
	r.enroller.Start()
	r.startGoroutine(func() { r.subscriber.Run(r.ctx) })
	if r.acceptor != nil {
		r.startGoroutine(r.applyUpdates)
		listener, err := listenForClients(r.cfg.CallerAddress)
		if err != nil {
			return zinniatide.WrapStep(err, "listen", r.cfg.CallerAddress)
		}
		go r.acceptor.Serve(listener)
	}
	for _, e := range endpoints {
		if err := r.serveEndpoint(e); err != nil {
			return err
		}
	}
	klog.InfoS("serving", "step", "start", "caller-address", r.cfg.CallerAddress, "control", r.replicatedLog != nil,
		"first-start", r.cfg.FirstStart, "seeds", r.cfg.Seeds, "voters", r.cfg.Voters)
	return nil
}

// listenForClients listens on a TCP address. Its sockets have small buffers, so that the
// kernel holds little for clients that do not read or whose requests are not read.
func listenForClients(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sendErr, receiveErr error
		err := raw.Control(func(fd uintptr) {
			sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, reserver.SendBufferBytes)
			receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, reserver.ReceiveBufferBytes)
		})
		return errors.Join(err, sendErr, receiveErr)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// serveEndpoint starts an HTTP server for e.
func (r *Relay) serveEndpoint(e Endpoint) error {
	listener, err := listenForClients(e.Address)
	if err != nil {
		return zinniatide.WrapStep(err, "listen", e.Address)
	}
	server := r.responder.Server(e.Handler, e.ReadsBodies)
	server.Logger = serverLogger{e.Address}
	r.httpServers = append(r.httpServers, server)
	go func() {
		if err := server.Serve(r.responder.Listen(listener)); err != nil {
			klog.ErrorS(err, "HTTP server failed", "step", "serve", "peer", e.Address)
		}
	}()
	return nil
}

// serverLogger writes the messages of an HTTP server to klog.
type serverLogger struct{ address string }

// Printf implements fasthttp.Logger. The arguments are left out: errors of requests that
// cannot be parsed quote lines of them, which may contain a key. SecureErrorLogMessage
// does not prevent that.
func (l serverLogger) Printf(string, ...any) {
	klog.InfoS("a request could not be read or answered", "step", "serve", "address", l.address)
}

// applyUpdates updates the relayer after each change of the enrollments. It returns
// when the context is done.
func (r *Relay) applyUpdates() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.updates:
			r.updateRelayer()
		}
	}
}

// updateRelayer passes the newest configuration and enrollments to the relayer.
func (r *Relay) updateRelayer() {
	if r.relayer == nil {
		return
	}
	r.updating.Lock()
	defer r.updating.Unlock()
	r.relayer.Update(r.subscriber.Configuration(), r.enroller.Table())
}

func (r *Relay) startGoroutine(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// Operator returns the interface for operators, or nil without a data folder.
func (r *Relay) Operator() zinniatide.RoutingOperator {
	if r.controller == nil {
		return nil
	}
	return r.controller
}

// Enroller returns the component that receives heartbeats of backend servers.
func (r *Relay) Enroller() zinniatide.Enroller { return r.enroller }

// HeartbeatAddress returns the address to which the backend servers of zone
// should send their heartbeats: that of a control VM in zone. It is empty if
// there is none or if zone is the zone of this VM.
func (r *Relay) HeartbeatAddress(zone zinniatide.ZoneID) string {
	if zone == r.cfg.Zone {
		return ""
	}
	return controlAddressIn(r.subscriber.Configuration(), zone)
}

func controlAddressIn(c *zinniatide.Configuration, zone zinniatide.ZoneID) string {
	var candidates []zinniatide.VMID
	for vm, m := range c.Members {
		// HTTPAddress of a VM that also relays is its address for callers.
		if m.Control && !m.Relay && m.Zone == zone && m.State == zinniatide.StateIn {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return c.Members[slices.Min(candidates)].HTTPAddress
}

// Addresses returns the addresses of the relay VMs for callers in zone.
func (r *Relay) Addresses(zone zinniatide.ZoneID) []string { return r.resolver.Addresses(zone) }

// Ready reports whether this VM is ready to serve callers.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	return !leaving && r.relayer != nil && r.relayer.Ready()
}

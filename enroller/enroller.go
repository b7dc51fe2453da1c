// Package enroller maintains the table of backend servers that register
// themselves by heartbeats. Control VMs receive the heartbeats and broadcast them
// to all VMs; every VM holds the merged table. Nothing is stored on disk: after a
// restart the table is restored from peers and from new heartbeats.
//
// Relay VMs and their control VMs use it; entry VMs use package cataloger, which
// collects announcements at the owner of a bucket.
package enroller

import (
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
	"zinniatide.example/zinniatide/encoder"
)

// Timeouts and intervals.
const (
	// digestInterval is the time between comparisons of the tables of two VMs. It
	// bounds how long a VM is out of date after a lost message. A leaving server
	// must get no new work after 3 s, three of these intervals.
	digestInterval zinniatide.Millis = 1000
	// pullTimeout bounds the wait for the table of a peer.
	pullTimeout zinniatide.Millis = 1000
	// broadcastTimeout bounds the wait for other control VMs to record a leave. It
	// is below the one second after which a backend server tries another VM.
	broadcastTimeout zinniatide.Millis = 700
	// endedRetention is how long ended processes stay in the table, so that their
	// delayed heartbeats do not add them again.
	endedRetention zinniatide.Millis = 120_000
)

// Dependencies of an Enroller.
type Dependencies struct {
	VM zinniatide.VMID
	// Control is set on a VM with the control role, in the configured set or not.
	Control        bool
	Clock          zinniatide.Clock
	Linker         zinniatide.Linker
	Configurations zinniatide.ConfigurationProvider
	// Voters passes the voters that this VM's replicated log knows to a function, which
	// may run later on another goroutine. It must be set on control VMs.
	Voters     func(func([]zinniatide.VMID))
	Registerer prometheus.Registerer
	// OnChange is called after each change of the table, with no lock held. It may
	// be nil.
	OnChange func()
}

// Enroller implements zinniatide.Enroller. It is safe for concurrent use.
type Enroller struct {
	deps      Dependencies
	ticker    *ticker.Ticker
	stop      chan struct{}
	done      sync.WaitGroup
	metrics   *metrics
	tickCount uint64 // used by the ticker only

	mu           sync.Mutex
	table        table
	pullInFlight bool
	// differing holds the control VMs whose table differed at their last digest.
	differing map[zinniatide.VMID]bool
}

var _ zinniatide.Enroller = (*Enroller)(nil)

// digest summarizes a table, so that two VMs can compare theirs.
type digest struct {
	Processes int    `cbor:"1,keyasint"`
	Checksum  uint64 `cbor:"2,keyasint"`
}

// New returns an Enroller. It registers its handlers with the Linker, so it must
// be called before the Linker is started.
func New(d Dependencies) *Enroller {
	e := &Enroller{deps: d, table: newTable(), differing: map[zinniatide.VMID]bool{}, stop: make(chan struct{}), metrics: newMetrics(d.Registerer)}
	e.ticker = ticker.New(d.Clock, e.tick)
	d.Linker.Handle(zinniatide.KindEnroll, e.handleEnroll)
	d.Linker.Handle(zinniatide.KindEnrollDigest, e.handleDigest)
	d.Linker.Handle(zinniatide.KindEnrollPull, e.handlePull)
	return e
}

// Start starts the periodic comparison of tables on a control VM. It does nothing
// on other VMs.
func (e *Enroller) Start() {
	if !e.deps.Control {
		return
	}
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		e.ticker.Run(e.stop)
	}()
}

// TriggerTick triggers a comparison of tables, for example after a membership
// change.
func (e *Enroller) TriggerTick() { e.ticker.Wake() }

// Close stops the comparison of tables and waits for its goroutine.
func (e *Enroller) Close() {
	close(e.stop)
	e.done.Wait()
}

// Table returns all known processes, including ended ones, sorted by id.
func (e *Enroller) Table() []zinniatide.Enrollment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.all(e.deps.Clock.Now())
}

// Enroll implements zinniatide.Enroller.
func (e *Enroller) Enroll(en zinniatide.Enrollment, done func(error)) {
	if e.contradictsKnownServer(&en) {
		klog.InfoS("left out a heartbeat for an unknown service under the id of a known backend server", "step", "enroll",
			"server", en.Server, "service", en.Service, "address", en.Address, "born", en.StartedAt)
		done(nil)
		return
	}
	changed := e.merge([]zinniatide.Enrollment{en}, "")
	if en.State == zinniatide.StateLeaving {
		// Repeated heartbeats of a leaving server wait for a majority as well,
		// because the reply to an earlier one may have been an error.
		e.recordOnMajority([]zinniatide.Enrollment{e.passedOn(en)}, done)
		return
	}
	if len(changed) > 0 {
		e.broadcast(changed)
	}
	if len(e.deps.Configurations.Configuration().ControlVMs) > 0 {
		done(nil)
		return
	}
	// Nobody may learn of the server from this VM. It then calls another one.
	e.deps.Voters(func(voters []zinniatide.VMID) {
		if len(voters) == 0 {
			done(errVotersUnknown())
			return
		}
		done(nil)
	})
}

// passedOn returns a heartbeat as this VM passes it on.
func (e *Enroller) passedOn(en zinniatide.Enrollment) zinniatide.Enrollment {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.table.rows[en.Server]; r != nil && r.StartedAt == en.StartedAt && r.Sequence == en.Sequence {
		return r.enrollment(e.deps.Clock.Now())
	}
	return en
}

func errVotersUnknown() error {
	return zinniatide.Refuse(zinniatide.CodeNoQuorum, "this VM does not know the other control VMs yet")
}

// contradictsKnownServer reports whether a heartbeat under the id of a server of a
// configured service names a service that is not configured. A server that really
// moves to another service is enrolled by its first heartbeat after the
// configuration that names the service.
func (e *Enroller) contradictsKnownServer(en *zinniatide.Enrollment) bool {
	routing := e.deps.Configurations.Configuration().Routing
	if routing == nil {
		return false
	}
	configured := func(service zinniatide.ServiceID) bool {
		return slices.ContainsFunc(routing.Services, func(s zinniatide.RelayService) bool { return s.Service == service })
	}
	e.mu.Lock()
	r := e.table.rows[en.Server]
	differs := r != nil && !r.Ended && r.Service != en.Service
	var known zinniatide.ServiceID
	if differs {
		known = r.Service
	}
	e.mu.Unlock()
	return differs && configured(known) && !configured(en.Service)
}

// Withdraw implements zinniatide.Enroller. The end of an unknown process is
// recorded too, because this VM may have restarted while others still use it. Its
// start time must then be known, as it may be older than the process that others
// know.
func (e *Enroller) Withdraw(server zinniatide.BackendServerID, startedAt zinniatide.Millis, done func(error)) {
	e.mu.Lock()
	ended := zinniatide.Enrollment{Server: server}
	if r := e.table.rows[server]; r != nil {
		ended = r.enrollment(e.deps.Clock.Now())
	}
	e.mu.Unlock()
	switch {
	case startedAt == 0 && ended.StartedAt == 0:
		done(zinniatide.Refuse(zinniatide.CodeNotServing, "server %s is unknown and its start time is missing", server))
		return
	case startedAt != 0 && startedAt < ended.StartedAt:
		done(nil) // a later process has taken over the id
		return
	case startedAt > ended.StartedAt:
		ended = zinniatide.Enrollment{Server: server, StartedAt: startedAt}
	}
	ended.Ended = true
	e.merge([]zinniatide.Enrollment{ended}, "")
	e.recordOnMajority([]zinniatide.Enrollment{ended}, done)
}

// merge applies enrollments to the table and returns those that changed it. from is
// the VM that has passed them on; it is empty for heartbeats.
func (e *Enroller) merge(list []zinniatide.Enrollment, from zinniatide.VMID) []zinniatide.Enrollment {
	now := e.deps.Clock.Now()
	var changed []zinniatide.Enrollment
	e.mu.Lock()
	for i := range list {
		apply := e.table.merge
		if from == "" {
			apply = e.table.mergeHeartbeat
		}
		if apply(&list[i], now) {
			changed = append(changed, e.table.rows[list[i].Server].enrollment(now))
		}
	}
	rows := len(e.table.rows)
	e.mu.Unlock()
	if len(changed) == 0 {
		return nil
	}
	e.metrics.rows.Set(float64(rows))
	e.metrics.changes.Add(float64(len(changed)))
	if from == "" || len(changed) == 1 {
		for i := range changed {
			c := &changed[i]
			klog.InfoS("backend server changed", "step", "enroll", "server", c.Server, "service", c.Service,
				"address", c.Address, "state", c.State, "gone", c.Ended, "born", c.StartedAt, "sequence", c.Sequence,
				"cold-ms", c.ColdRemaining, "peer", from)
		}
	} else {
		klog.InfoS("backend servers changed", "step", "enroll", "changed", len(changed), "rows", rows, "peer", from)
	}
	if e.deps.OnChange != nil {
		e.deps.OnChange()
	}
	return changed
}

// broadcast sends enrollments to the other control VMs and to the direct
// recipients; the control VMs pass new ones on to the members of their zones.
func (e *Enroller) broadcast(list []zinniatide.Enrollment) {
	r := newRecipients(e.deps.VM, e.deps.Configurations.Configuration(), e.deps.Linker.Connected)
	e.send(r.direct, list)
	e.send(r.controlPeers, list)
}

// recordOnMajority is like broadcast and calls done once a majority of the control VMs
// has recorded the enrollments, or can no longer do so. The control VMs are the voters
// that the replicated log knows and, if they differ during a change, the configured
// set. The configuration alone is not enough: until it is installed it names none.
func (e *Enroller) recordOnMajority(list []zinniatide.Enrollment, done func(error)) {
	e.deps.Voters(func(voters []zinniatide.VMID) {
		if len(voters) == 0 {
			done(errVotersUnknown())
			return
		}
		r := newRecipients(e.deps.VM, e.deps.Configurations.Configuration(), e.deps.Linker.Connected)
		configured := r.controlPeers
		if r.selfInControlSet {
			configured = append(slices.Clone(configured), e.deps.VM)
		}
		sets := [][]zinniatide.VMID{voters}
		if len(configured) > 0 {
			sets = append(sets, configured)
		}
		q := newQuorum(done, sets...)
		q.update(e.deps.VM, nil)
		e.send(r.direct, list)
		for _, vm := range unionOf(voters, configured) {
			if vm != e.deps.VM {
				e.deps.Linker.Call(vm, zinniatide.KindEnroll, list, broadcastTimeout, func(_ []byte, err error) { q.update(vm, err) })
			}
		}
	})
}

// send sends enrollments without waiting. Lost messages are recovered by the
// comparison of digests.
func (e *Enroller) send(to []zinniatide.VMID, list []zinniatide.Enrollment) {
	for _, vm := range to {
		_ = e.deps.Linker.Send(vm, zinniatide.KindEnroll, list)
	}
}

func (e *Enroller) handleEnroll(from zinniatide.VMID, body []byte, reply func(any, error)) {
	list, err := decodeEnrollments(body, from)
	if err != nil {
		klog.ErrorS(err, "dropped undecodable enrollments", "step", "decode enrollments", "peer", from)
	} else if changed := e.merge(list, from); len(changed) > 0 && e.deps.Control {
		e.send(newRecipients(e.deps.VM, e.deps.Configurations.Configuration(), e.deps.Linker.Connected).direct, changed)
	}
	if reply != nil {
		reply(struct{}{}, err)
	}
}

func (e *Enroller) handlePull(_ zinniatide.VMID, _ []byte, reply func(any, error)) {
	if reply != nil {
		reply(e.Table(), nil)
	}
}

// handleDigest pulls the sender's table when it differs from this VM's.
func (e *Enroller) handleDigest(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var d digest
	if err := encoder.Unmarshal(body, &d); err != nil {
		klog.ErrorS(err, "dropped undecodable digest", "step", "decode digest", "peer", from)
		return
	}
	e.mu.Lock()
	if !e.deps.Control {
		e.table.dropEnded(e.deps.Clock.Now() - endedRetention) // control VMs do so in tick
	}
	differs := d != e.currentDigest()
	repeated := differs && e.differing[from]
	if differs {
		e.differing[from] = true
	} else {
		delete(e.differing, from)
	}
	pull := differs && !e.pullInFlight
	e.pullInFlight = e.pullInFlight || pull
	e.mu.Unlock()
	if !pull {
		return
	}
	e.deps.Linker.Call(from, zinniatide.KindEnrollPull, struct{}{}, pullTimeout, func(body []byte, err error) {
		e.mu.Lock()
		e.pullInFlight = false
		e.mu.Unlock()
		var list []zinniatide.Enrollment
		if err == nil {
			list, err = decodeEnrollments(body, from)
		}
		if err != nil {
			klog.InfoS("failed to pull the table of backend servers", "step", "pull", "peer", from, "err", err.Error())
			return
		}
		e.merge(list, from)
		if !e.deps.Control {
			e.sendBack(from, list, repeated)
		}
	})
}

// sendBack sends a control VM what this VM knows better than its table list. A
// control VM that has restarted may take a delayed heartbeat of a server that has
// left for a new server; the other VMs still know that it left. Processes that
// the list lacks are sent only if the tables differed before too: a control VM
// that has just started gets them from the other control VMs.
func (e *Enroller) sendBack(to zinniatide.VMID, list []zinniatide.Enrollment, withMissing bool) {
	e.mu.Lock()
	newer := e.table.newerThan(list, withMissing, e.deps.Clock.Now())
	e.mu.Unlock()
	if len(newer) == 0 {
		return
	}
	klog.InfoS("sending newer states of backend servers to a control VM", "step", "pull", "peer", to, "processes", len(newer))
	e.send([]zinniatide.VMID{to}, newer)
}

// currentDigest returns the digest of the table. The caller must hold mu.
func (e *Enroller) currentDigest() digest {
	d := digest{Checksum: e.table.checksum}
	for _, r := range e.table.rows {
		if !r.Ended {
			d.Processes++
		}
	}
	return d
}

// tick sends the digest to the other control VMs, to the direct recipients and,
// in rotation, to the indirect ones. An indirect recipient gets digests from other
// zones too, because the control VM of its own zone may be unreachable or
// suspended.
func (e *Enroller) tick() zinniatide.Millis {
	now := e.deps.Clock.Now()
	e.mu.Lock()
	e.table.dropEnded(now - endedRetention)
	d := e.currentDigest()
	e.mu.Unlock()
	r := newRecipients(e.deps.VM, e.deps.Configurations.Configuration(), e.deps.Linker.Connected)
	for _, vm := range slices.Concat(r.controlPeers, r.direct, r.indirectAt(e.tickCount)) {
		_ = e.deps.Linker.Send(vm, zinniatide.KindEnrollDigest, d) // a lost digest is replaced by the next
	}
	e.tickCount++
	return now + digestInterval
}

package granter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/granter"
	"zinniatide.example/zinniatide/quotalimiter"
)

// fleet simulates relay VMs with their limiters, links and clocks, and a control leader
// that knows the members, in virtual time.
type fleet struct {
	random  *rand.Rand
	now     zinniatide.Millis
	events  eventHeap
	count   int
	vms     []*vm
	config  *zinniatide.Configuration // of the leader
	history []*zinniatide.Configuration
	plant   plant
	// cut holds the VMs that cannot reach the leader and the VMs that are not in it.
	cut map[*vm]bool
	// runs are the times at which requests of each workspace were admitted.
	runs    map[zinniatide.WorkspaceID][]zinniatide.Millis
	outcome map[string]int
	// lastSeen are the times of the last heartbeats at the leader.
	lastSeen map[zinniatide.VMID]zinniatide.Millis
	// messages and bytes are those of the quota.
	messages, bytes int
	// returned is the share of admitted requests that do not run and give their token back.
	returned float64
}

// plant is a fault in the rules that the property test must find.
type plant struct {
	noWait, monotonicLeases, trustsOldConfiguration, burstAtOnce bool
}

type event struct {
	at    zinniatide.Millis
	order int
	run   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (f *fleet) after(d zinniatide.Millis, run func()) {
	f.count++
	heap.Push(&f.events, &event{f.now + max(d, 0), f.count, run})
}

func (f *fleet) runUntil(end zinniatide.Millis) {
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// vm is one relay VM. Its methods named Now, Unix, After, Handle and so on make it the
// clock, timer and linker of its limiter.
type vm struct {
	f       *fleet
	id      zinniatide.VMID
	zone    zinniatide.ZoneID
	process int
	down    bool
	// stoppedUntil is when a frozen or suspended VM runs again. asleep is the total time
	// of suspensions, which the monotonic clock does not count.
	stoppedUntil zinniatide.Millis
	asleep       zinniatide.Millis
	wallStep     zinniatide.Millis
	leaving      bool
	limiter      *quotalimiter.Limiter
	handlers     map[zinniatide.MessageKind]zinniatide.LinkHandler
	installed    *zinniatide.Configuration
	confirmedAt  zinniatide.Millis
}

func newFleet(vms, zones int, random *rand.Rand, p plant) *fleet {
	f := &fleet{random: random, now: 100_000, plant: p, cut: map[*vm]bool{}, runs: map[zinniatide.WorkspaceID][]zinniatide.Millis{}, outcome: map[string]int{}, lastSeen: map[zinniatide.VMID]zinniatide.Millis{},
		config: &zinniatide.Configuration{Members: map[zinniatide.VMID]zinniatide.Member{}}}
	for i := range vms {
		m := &vm{f: f, id: zinniatide.VMID(fmt.Sprintf("10.0.%d.%d", i%zones, i)), zone: zinniatide.ZoneID(fmt.Sprint("z", i%zones))}
		f.vms = append(f.vms, m)
		m.start()
	}
	f.runUntil(f.now + 3000)
	return f
}

func (m *vm) start() {
	m.process++
	m.down, m.leaving, m.installed, m.confirmedAt, m.stoppedUntil = false, false, nil, -1<<40, 0
	m.handlers = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	g := granter.New(granter.Config{VM: m.id, Bounds: granter.Bounds{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}})
	if m.f.plant.noWait {
		g.SetWait(0)
	}
	if m.f.plant.burstAtOnce {
		g.SetEarlyTime(0)
	}
	m.limiter = quotalimiter.New(g, quotalimiter.Dependencies{
		Clock: m, BootTime: m.bootTime, Timer: m, Linker: m, ConfirmedAt: func() zinniatide.Millis {
			if m.f.plant.trustsOldConfiguration {
				return m.Now()
			}
			return m.confirmedAt
		},
	})
	m.heartbeat(m.process)
}

func (m *vm) Now() zinniatide.Millis  { return m.f.now - m.asleep }
func (m *vm) Unix() zinniatide.Millis { return m.f.now + m.wallStep }
func (m *vm) bootTime() zinniatide.Millis {
	if m.f.plant.monotonicLeases {
		return m.Now()
	}
	return m.f.now + 77_000
}

// do runs g on the VM after d, or once the VM runs again, unless its process has ended.
func (m *vm) do(d zinniatide.Millis, process int, g func()) {
	m.f.after(d, func() {
		switch {
		case m.process != process || m.down:
		case m.f.now < m.stoppedUntil:
			m.do(m.stoppedUntil-m.f.now, process, g)
		default:
			g()
		}
	})
}

func (m *vm) After(d zinniatide.Millis, g func()) func() {
	stopped := false
	m.do(d, m.process, func() {
		if !stopped {
			g()
		}
	})
	return func() { stopped = true }
}

func (m *vm) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) { m.handlers[kind] = h }
func (m *vm) SetPeers(map[zinniatide.VMID]zinniatide.Peer)                 {}
func (m *vm) Connected(peer zinniatide.VMID) bool                          { return m.f.reachable(m, m.f.find(peer)) }

func (m *vm) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	m.deliver(m.f.find(peer), kind, body, nil)
	return nil
}

func (m *vm) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	to, process, ended := m.f.find(peer), m.process, false
	if to == nil || !m.f.reachable(m, to) {
		done(nil, zinniatide.ErrNotSent)
		return
	}
	end := func(b []byte, err error) {
		if !ended {
			ended = true
			done(b, err)
		}
	}
	m.do(timeout, process, func() { end(nil, zinniatide.ErrTimeout) })
	m.deliver(to, kind, body, func(value any, err error) {
		raw, _ := encoder.Marshal(value)
		m.f.messages++
		m.f.bytes += len(raw)
		if m.f.reachable(to, m) {
			m.do(m.f.latency(), process, func() { end(raw, err) })
		}
	})
}

func (m *vm) deliver(to *vm, kind zinniatide.MessageKind, body any, reply func(any, error)) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		panic(err)
	}
	m.f.messages++
	m.f.bytes += len(raw)
	if to == nil || !m.f.reachable(m, to) {
		return
	}
	to.do(m.f.latency(), to.process, func() { to.handlers[kind](m.id, raw, reply) })
}

func (f *fleet) latency() zinniatide.Millis { return 1 + zinniatide.Millis(f.random.IntN(3)) }
func (f *fleet) reachable(a, b *vm) bool    { return !a.down && !b.down && f.cut[a] == f.cut[b] }

func (f *fleet) find(id zinniatide.VMID) *vm {
	for _, m := range f.vms {
		if m.id == id {
			return m
		}
	}
	return nil
}

// heartbeat sends a heartbeat to the leader, which confirms the configuration or sends
// a newer one. It repeats itself.
func (m *vm) heartbeat(process int) {
	sentAt := m.Now()
	if !m.f.cut[m] {
		m.f.after(m.f.latency(), func() {
			if m.down || m.process != process {
				return
			}
			m.f.join(m)
			epoch := m.f.config.Epoch
			if !m.f.cut[m] {
				m.do(m.f.latency(), process, func() {
					m.install(m.f.history[epoch-1])
					if m.installed.Epoch == epoch || m.installed.Epoch > epoch {
						m.confirmedAt = max(m.confirmedAt, sentAt)
					}
				})
			}
		})
	}
	m.do(800, process, func() { m.heartbeat(process) })
}

func (m *vm) install(c *zinniatide.Configuration) {
	if m.installed != nil && m.installed.Epoch >= c.Epoch {
		return
	}
	m.limiter.Install(c)
	m.installed = c
}

// join records a heartbeat at the leader, which removes VMs without one for a lease.
func (f *fleet) join(m *vm) {
	state := zinniatide.StateIn
	if m.leaving {
		state = zinniatide.StateLeaving
	}
	member := zinniatide.Member{VM: m.id, Process: zinniatide.ProcessID(m.process), Zone: m.zone, Relay: true, State: state} //nolint:gosec // small
	if f.config.Members[m.id] != member {
		f.change(func(c *zinniatide.Configuration) { c.Members[m.id] = member })
	}
	seen := f.now
	m.f.after(4400, func() {
		if f.lastSeen[m.id] == seen {
			f.change(func(c *zinniatide.Configuration) { delete(c.Members, m.id) })
		}
	})
	f.lastSeen[m.id] = seen
}

// change commits a new configuration and pushes it to the VMs in contact.
func (f *fleet) change(edit func(*zinniatide.Configuration)) {
	next := *f.config
	next.Members = map[zinniatide.VMID]zinniatide.Member{}
	for id, m := range f.config.Members {
		next.Members[id] = m
	}
	next.Epoch++
	edit(&next)
	f.config = &next
	f.history = append(f.history, &next)
	for _, m := range f.vms {
		if !m.down && !f.cut[m] {
			m.do(f.latency(), m.process, func() { m.install(&next) })
		}
	}
}

// setLimits replaces the routing table by one with the given workspaces.
func (f *fleet) setLimits(workspaces ...zinniatide.RelayWorkspace) {
	f.change(func(c *zinniatide.Configuration) {
		c.Routing, c.RoutingNumber = &zinniatide.Routing{Workspaces: slices.Clone(workspaces)}, c.RoutingNumber+1
	})
}

// request sends one request of a workspace to m, which limits it by its own table.
func (f *fleet) request(m *vm, w zinniatide.WorkspaceID) {
	if m.down {
		return
	}
	m.do(0, m.process, func() {
		if m.installed == nil || m.installed.Routing == nil {
			return
		}
		for _, ws := range m.installed.Routing.Workspaces {
			if ws.Workspace != w {
				continue
			}
			if ws.Rate <= 0 {
				return
			}
			m.limiter.Take(w, ws.Rate, ws.Burst, func(d zinniatide.QuotaDecision) {
				if d.Admitted && d.ReturnWithin > 0 && f.random.Float64() < f.returned {
					f.outcome["returned"]++
					returnBefore := m.Now() + d.ReturnWithin
					m.do(zinniatide.Millis(f.random.Int64N(int64(d.ReturnWithin))), m.process, func() {
						if m.Now() < returnBefore {
							m.limiter.Return(w)
						}
					})
					return
				}
				f.record(w, d)
			})
		}
	})
}

func (f *fleet) record(w zinniatide.WorkspaceID, d zinniatide.QuotaDecision) {
	switch {
	case d.Admitted:
		f.outcome["admitted"]++
		f.runs[w] = append(f.runs[w], f.now)
	case d.Exhausted:
		f.outcome["exhausted"]++
	default:
		f.outcome["unknown"]++
	}
	if !d.Admitted && (d.RetryAfter <= 0 || d.Reason == "") {
		f.outcome["without retry-after or reason"]++
	}
}

// stop freezes a VM, or suspends it, for d.
func (m *vm) stop(d zinniatide.Millis, suspend bool) {
	if m.down || m.f.now < m.stoppedUntil {
		return
	}
	m.stoppedUntil = m.f.now + d
	if suspend {
		m.asleep += d
	}
}

// kill ends the process. It starts again after d.
func (m *vm) kill(d zinniatide.Millis) {
	if m.down {
		return
	}
	m.down = true
	m.process++
	m.f.after(d, m.start)
}

// restart stops the VM by plan and starts it again.
func (m *vm) restart() {
	process := m.process
	m.leaving = true
	if !m.down && !m.f.cut[m] {
		m.f.join(m)
	}
	m.f.after(2500, func() {
		if m.process == process {
			m.kill(600)
		}
	})
}

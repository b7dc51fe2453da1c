package controller

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"testing"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
	"zinniatide.example/zinniatide/subscriber"
)

const startUnixMillis zinniatide.Millis = 1_800_000_000_000

// simulation runs VMs, links and a replicated log on one thread with a manual
// clock.
type simulation struct {
	t          testingT
	clock      *clock.Clock
	random     *rand.Rand
	events     []event // by time, then by order of scheduling
	vms        map[zinniatide.VMID]*vm
	vmIDs      []zinniatide.VMID // in order of creation, for deterministic runs
	logEntries [][]byte
	leader     zinniatide.VMID
	controlVMs []zinniatide.ControlVM
	// blockedLinks drops all messages from one VM to another. The rates are
	// probabilities, and maxDelay is the longest random delay of a message.
	blockedLinks            map[[2]zinniatide.VMID]bool
	unlinked                map[zinniatide.VMID]bool // VMs whose links are closed
	lossRate, duplicateRate float64
	maxDelay                zinniatide.Millis
	callCount               map[zinniatide.MessageKind]int
	commitDelay             zinniatide.Millis
	droppedKind             zinniatide.MessageKind // requests of this kind are lost
}

// testingT is the part of testing.TB that rapid.T implements too.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// vm is one process of a VM.
type vm struct {
	zinniatide.Linker // nil: Send is not used
	sim               *simulation
	member            zinniatide.Member
	stopped           bool
	handlers          map[zinniatide.MessageKind]zinniatide.LinkHandler
	subscriber        *subscriber.Subscriber
	controller        *Controller
	stateMachine      *registrar.Registrar
	log               *fakeLog
}

type event struct {
	at     zinniatide.Millis
	action func()
}

func TestMain(m *testing.M) {
	klog.SetLogger(logr.Discard())
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// newSimulation starts control VMs c1 to cN without the entry role. c1 leads.
func newSimulation(t testingT, controlVMs int) *simulation {
	sim := &simulation{
		t: t, clock: clock.NewManual(1000, startUnixMillis), random: rand.New(rand.NewPCG(1, 2)),
		vms: map[zinniatide.VMID]*vm{}, blockedLinks: map[[2]zinniatide.VMID]bool{}, unlinked: map[zinniatide.VMID]bool{}, maxDelay: 2,
		callCount: map[zinniatide.MessageKind]int{}, commitDelay: 1,
	}
	for i := range controlVMs {
		id := zinniatide.VMID(fmt.Sprintf("c%d", i+1))
		sim.controlVMs = append(sim.controlVMs, zinniatide.ControlVM{VM: id, PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	for _, c := range sim.controlVMs {
		sim.startVM(zinniatide.Member{VM: c.VM, Zone: "z1", PeerAddress: c.PeerAddress, Process: 1, Control: true})
	}
	sim.setLeader("c1")
	return sim
}

// startVM starts a process and stops an earlier one of the same VM.
func (sim *simulation) startVM(m zinniatide.Member) *vm {
	m.State = zinniatide.StateIn
	v := &vm{sim: sim, member: m, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{}}
	if old := sim.vms[m.VM]; old != nil {
		old.stopped = true
	} else {
		sim.vmIDs = append(sim.vmIDs, m.VM)
	}
	sim.vms[m.VM] = v
	for _, c := range sim.controlVMs {
		if c.VM == m.VM {
			v.stateMachine = registrar.New()
			v.log = &fakeLog{vm: v}
			ticketChecker, err := checker.New()
			if err != nil {
				sim.t.Fatal(err)
			}
			v.controller = New(Config{VM: m.VM, ControlVMs: sim.controlVMs, Rollouts: testRollouts}, v.log, v, sim.clock, v.stateMachine, ticketChecker, prometheus.NewRegistry())
		}
	}
	v.subscriber = subscriber.New(subscriber.Config{Member: m, ControlVMs: sim.controlVMs}, v, sim.clock, sim.random, prometheus.NewRegistry())
	sim.schedule(0, func() { v.tick() })
	return v
}

func (sim *simulation) startEntryVM(id string, zone zinniatide.ZoneID, process zinniatide.ProcessID) *vm {
	return sim.startVM(zinniatide.Member{VM: zinniatide.VMID(id), Zone: zone, Entry: true, Process: process,
		HTTPAddress: id + ":80", PeerAddress: id + ":70"})
}

func (v *vm) tick() {
	if v.stopped {
		return
	}
	if v.log != nil && v.log.onTick != nil {
		v.log.onTick(v.sim.clock.Now())
	}
	v.subscriber.Step()
	v.sim.schedule(zinniatide.TickInterval, v.tick)
}

func (sim *simulation) schedule(d zinniatide.Millis, f func()) {
	at := sim.clock.Now() + d
	i := sort.Search(len(sim.events), func(i int) bool { return sim.events[i].at > at })
	sim.events = slices.Insert(sim.events, i, event{at, f})
}

// run executes the events of the next d milliseconds.
func (sim *simulation) run(d zinniatide.Millis) {
	until := sim.clock.Now() + d
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := sim.events[0]
		sim.events = sim.events[1:]
		sim.clock.Advance(max(0, next.at-sim.clock.Now()))
		next.action()
	}
	sim.clock.Advance(until - sim.clock.Now())
}

// setLeader moves the leadership to id. An empty id leaves no leader.
func (sim *simulation) setLeader(id zinniatide.VMID) {
	old := sim.vms[sim.leader]
	sim.leader = id
	if old != nil {
		old.log.failPending()
		old.log.onLeadership(false)
	}
	if next := sim.vms[id]; next != nil {
		next.log.applyUpTo(len(sim.logEntries))
		next.log.onLeadership(true)
	}
}

func (sim *simulation) leaderController() *Controller { return sim.vms[sim.leader].controller }

// operatorRequest sends an operator request to the controller of v and waits for
// the reply.
func (sim *simulation) operatorRequest(v *vm, f *controlproto.Forward, out any) error {
	sim.t.Helper()
	var err error
	answered := false
	v.controller.dispatch(f, 1000, func(response controlproto.ForwardReply) {
		answered = true
		if err = response.Refusal.Err(); err == nil && out != nil {
			err = encoder.Unmarshal(response.Result, out)
		}
	})
	for i := 0; i < 2000 && !answered; i++ {
		sim.run(1)
	}
	if !answered {
		sim.t.Fatal("operator request was never answered")
	}
	return err
}

func (sim *simulation) fileTicket(text string) zinniatide.TicketReply {
	sim.t.Helper()
	var reply zinniatide.TicketReply
	if err := sim.operatorRequest(sim.vms[sim.leader], &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: []byte(text)}, &reply); err != nil {
		sim.t.Fatalf("file %s: %v", text, err)
	}
	return reply
}

func (sim *simulation) ticketStatus(n zinniatide.TicketNumber) zinniatide.TicketStatus {
	sim.t.Helper()
	var status zinniatide.TicketStatus
	if err := sim.operatorRequest(sim.vms[sim.leader], &controlproto.Forward{Operation: controlproto.ForwardTicketStatus, Number: n}, &status); err != nil {
		sim.t.Fatalf("status of ticket %d: %v", n, err)
	}
	return status
}

func (v *vm) hasLease() bool { return !v.stopped && v.sim.clock.Now() < v.subscriber.LeaseUntil() }

func (v *vm) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) { v.handlers[kind] = h }
func (v *vm) SetPeers(map[zinniatide.VMID]zinniatide.Peer)                 {}

func (v *vm) Connected(peer zinniatide.VMID) bool {
	other := v.sim.vms[peer]
	return other != nil && !other.stopped && !v.sim.unlinked[peer]
}

// Call delivers a message after a random delay, so messages may be reordered.
func (v *vm) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	sim := v.sim
	sim.callCount[kind]++
	data, err := encoder.Marshal(body)
	if err != nil {
		sim.t.Fatal(err)
	}
	called := false
	finish := func(body []byte, err error) {
		if !called && !v.stopped {
			called = true
			done(body, err)
		}
	}
	sim.schedule(timeout, func() { finish(nil, zinniatide.ErrTimeout) })
	if kind == sim.droppedKind {
		return
	}
	target := sim.vms[peer]
	sim.deliver(v.member.VM, peer, func() {
		if target == nil || target.stopped || target.handlers[kind] == nil {
			return
		}
		target.handlers[kind](v.member.VM, data, func(value any, replyErr error) {
			encoded, err := encoder.Marshal(value)
			if err != nil {
				sim.t.Fatal(err)
			}
			sim.deliver(peer, v.member.VM, func() { finish(encoded, replyErr) })
		})
	})
}

func (sim *simulation) deliver(from, to zinniatide.VMID, f func()) {
	copies := 1
	if sim.random.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		if sim.blockedLinks[[2]zinniatide.VMID{from, to}] || sim.random.Float64() < sim.lossRate {
			continue
		}
		sim.schedule(zinniatide.Millis(sim.random.Int64N(int64(sim.maxDelay)+1)), f)
	}
}

// setIsolated blocks or unblocks all links of id in both directions.
func (sim *simulation) setIsolated(id zinniatide.VMID, isolated bool) {
	for _, other := range sim.vmIDs {
		if other != id {
			sim.blockedLinks[[2]zinniatide.VMID{id, other}] = isolated
			sim.blockedLinks[[2]zinniatide.VMID{other, id}] = isolated
		}
	}
}

// fakeLog is a replicated log whose entries commit after commitDelay on the
// leader and a millisecond later on the others.
type fakeLog struct {
	vm                  *vm
	applied             int
	pendingProposals    map[int]func(any, error)
	onTick              func(zinniatide.Millis)
	onLeadership        func(bool)
	requestedControlVMs []zinniatide.ControlVM
}

var errLeadershipLost = &zinniatide.Refusal{Code: zinniatide.CodeNoQuorum, Outcome: zinniatide.OutcomeUnknown, Message: "leader lost"}

func (l *fakeLog) Post(f func())                            { l.vm.sim.schedule(0, f) }
func (l *fakeLog) OnTick(f func(zinniatide.Millis))         { l.onTick = f }
func (l *fakeLog) OnLeadership(f func(bool))                { l.onLeadership = f }
func (l *fakeLog) SetControlVMs(vms []zinniatide.ControlVM) { l.requestedControlVMs = vms }
func (l *fakeLog) TransferLeadership()                      {}
func (l *fakeLog) isLeader() bool                           { return l.vm.sim.leader == l.vm.member.VM }
func (l *fakeLog) Status() zinniatide.LogStatus {
	status := zinniatide.LogStatus{Leader: l.vm.sim.leader, Leading: l.isLeader()}
	for _, c := range l.vm.stateMachine.Configuration().ControlVMs {
		status.Voters = append(status.Voters, zinniatide.Voter{VM: c.VM})
	}
	return status
}

func (l *fakeLog) Barrier(done func(error)) {
	if !l.isLeader() {
		done(errors.New("not the leader"))
		return
	}
	done(nil)
}

func (l *fakeLog) Propose(data []byte, done func(any, error)) {
	sim := l.vm.sim
	if !l.isLeader() {
		done(nil, zinniatide.Refuse(zinniatide.CodeNoQuorum, "not the leader"))
		return
	}
	sim.logEntries = append(sim.logEntries, data)
	n := len(sim.logEntries)
	if l.pendingProposals == nil {
		l.pendingProposals = map[int]func(any, error){}
	}
	l.pendingProposals[n] = done
	sim.schedule(sim.commitDelay, func() {
		if l.pendingProposals[n] != nil {
			delete(l.pendingProposals, n)
			l.applyUpTo(n - 1)
			l.applied = n
			done(l.vm.stateMachine.Apply(uint64(n), data), nil)
		}
	})
	for _, c := range sim.controlVMs {
		if other := sim.vms[c.VM]; other != l.vm {
			sim.schedule(sim.commitDelay+1, func() { other.log.applyUpTo(n) })
		}
	}
}

// failPending fails the pending proposals of a leader that lost its leadership.
// Their entries stay in the log.
func (l *fakeLog) failPending() {
	for _, n := range slices.Sorted(maps.Keys(l.pendingProposals)) {
		done := l.pendingProposals[n]
		delete(l.pendingProposals, n)
		done(nil, errLeadershipLost)
	}
}

func (l *fakeLog) applyUpTo(n int) {
	for l.applied < n {
		l.applied++
		l.vm.stateMachine.Apply(uint64(l.applied), l.vm.sim.logEntries[l.applied-1])
	}
}

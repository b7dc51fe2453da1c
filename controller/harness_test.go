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

const startUnix zinniatide.Millis = 1_800_000_000_000

// world simulates VMs, links and a replicated log on one thread and a manual
// clock.
type world struct {
	t       failer
	clock   *clock.Clock
	random  *rand.Rand
	events  []event // in order of time, and of arrival at the same time
	vms     map[zinniatide.VMID]*vm
	names   []zinniatide.VMID // in order of creation, to keep runs repeatable
	entries [][]byte
	leader  zinniatide.VMID
	control []zinniatide.ControlVM
	// cut drops messages from one VM to another. Loss and duplicate are
	// probabilities, and delay the longest random delay of a message.
	cut             map[[2]zinniatide.VMID]bool
	loss, duplicate float64
	delay           zinniatide.Millis
	calls           map[zinniatide.MessageKind]int
	commitDelay     zinniatide.Millis
	dropped         zinniatide.MessageKind // requests of this kind are lost
}

// failer is the part of testing.TB that rapid.T has too.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// vm is one process.
type vm struct {
	zinniatide.Linker // nil: Send and Connected are not used
	w                 *world
	member            zinniatide.Member
	dead              bool
	handlers          map[zinniatide.MessageKind]zinniatide.LinkHandler
	subscriber        *subscriber.Subscriber
	controller        *Controller
	machine           *registrar.Registrar
	log               *fakeLog
}

type event struct {
	at  zinniatide.Millis
	run func()
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

// newWorld starts control VMs c1 to cN, which are not entry VMs. C1 leads.
func newWorld(t failer, controlVMs int) *world {
	w := &world{
		t: t, clock: clock.NewManual(1000, startUnix), random: rand.New(rand.NewPCG(1, 2)),
		vms: map[zinniatide.VMID]*vm{}, cut: map[[2]zinniatide.VMID]bool{}, delay: 2,
		calls: map[zinniatide.MessageKind]int{}, commitDelay: 1,
	}
	for i := range controlVMs {
		id := zinniatide.VMID(fmt.Sprintf("c%d", i+1))
		w.control = append(w.control, zinniatide.ControlVM{VM: id, PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	for _, c := range w.control {
		w.start(zinniatide.Member{VM: c.VM, Zone: "z1", PeerAddress: c.PeerAddress, Incarnation: 1})
	}
	w.elect("c1")
	return w
}

// start starts a process; it replaces an earlier one of the same VM.
func (w *world) start(m zinniatide.Member) *vm {
	m.State = zinniatide.StateIn
	v := &vm{w: w, member: m, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{}}
	if old := w.vms[m.VM]; old != nil {
		old.dead = true
	} else {
		w.names = append(w.names, m.VM)
	}
	w.vms[m.VM] = v
	for _, c := range w.control {
		if c.VM == m.VM {
			v.machine = registrar.New()
			v.log = &fakeLog{vm: v}
			tickets, err := checker.New()
			if err != nil {
				w.t.Fatal(err)
			}
			v.controller = New(Config{VM: m.VM, ControlVMs: w.control}, v.log, v, w.clock, v.machine, tickets, prometheus.NewRegistry())
		}
	}
	v.subscriber = subscriber.New(subscriber.Config{Member: m, ControlVMs: w.control}, v, w.clock, w.random, prometheus.NewRegistry())
	w.after(0, func() { v.tick() })
	return v
}

func (w *world) entry(id string, zone zinniatide.ZoneID, incarnation zinniatide.Incarnation) *vm {
	return w.start(zinniatide.Member{VM: zinniatide.VMID(id), Zone: zone, Entry: true, Incarnation: incarnation,
		HTTPAddress: id + ":80", PeerAddress: id + ":70"})
}

func (v *vm) tick() {
	if v.dead {
		return
	}
	if v.log != nil && v.log.onTick != nil {
		v.log.onTick(v.w.clock.Now())
	}
	v.subscriber.Step()
	v.w.after(zinniatide.TickInterval, v.tick)
}

func (w *world) after(d zinniatide.Millis, f func()) {
	at := w.clock.Now() + d
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > at })
	w.events = slices.Insert(w.events, i, event{at, f})
}

// run lets d milliseconds pass.
func (w *world) run(d zinniatide.Millis) {
	until := w.clock.Now() + d
	for len(w.events) > 0 && w.events[0].at <= until {
		next := w.events[0]
		w.events = w.events[1:]
		w.clock.Advance(max(0, next.at-w.clock.Now()))
		next.run()
	}
	w.clock.Advance(until - w.clock.Now())
}

// elect moves the leadership. It is empty while there is no leader.
func (w *world) elect(id zinniatide.VMID) {
	old := w.vms[w.leader]
	w.leader = id
	if old != nil {
		old.log.failOpen()
		old.log.onLeadership(false)
	}
	if next := w.vms[id]; next != nil {
		next.log.catchUp(len(w.entries))
		next.log.onLeadership(true)
	}
}

func (w *world) lead() *Controller { return w.vms[w.leader].controller }

// ask runs an operator's request on the controller of v.
func (w *world) ask(v *vm, f *controlproto.Forward, out any) error {
	w.t.Helper()
	var err error
	answered := false
	v.controller.route(f, 1000, func(answer controlproto.ForwardReply) {
		answered = true
		if err = answer.Refusal.Err(); err == nil && out != nil {
			err = encoder.Unmarshal(answer.Result, out)
		}
	})
	for i := 0; i < 2000 && !answered; i++ {
		w.run(1)
	}
	if !answered {
		w.t.Fatal("operator request was never answered")
	}
	return err
}

func (w *world) file(text string) zinniatide.TicketReply {
	w.t.Helper()
	var reply zinniatide.TicketReply
	if err := w.ask(w.vms[w.leader], &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: []byte(text)}, &reply); err != nil {
		w.t.Fatalf("file %s: %v", text, err)
	}
	return reply
}

func (w *world) status(n zinniatide.TicketNumber) zinniatide.TicketStatus {
	w.t.Helper()
	var status zinniatide.TicketStatus
	if err := w.ask(w.vms[w.leader], &controlproto.Forward{Operation: controlproto.ForwardTicketStatus, Number: n}, &status); err != nil {
		w.t.Fatalf("status of ticket %d: %v", n, err)
	}
	return status
}

func (v *vm) leased() bool { return !v.dead && v.w.clock.Now() < v.subscriber.LeaseUntil() }

func (v *vm) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) { v.handlers[kind] = h }
func (v *vm) SetPeers(map[zinniatide.VMID]string)                          {}

// Call delivers a message after a random delay, so that messages overtake each
// other.
func (v *vm) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	w := v.w
	w.calls[kind]++
	data, err := encoder.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	called := false
	finish := func(body []byte, err error) {
		if !called && !v.dead {
			called = true
			done(body, err)
		}
	}
	w.after(timeout, func() { finish(nil, zinniatide.ErrTimeout) })
	if kind == w.dropped {
		return
	}
	target := w.vms[peer]
	w.deliver(v.member.VM, peer, func() {
		if target == nil || target.dead || target.handlers[kind] == nil {
			return
		}
		target.handlers[kind](v.member.VM, data, func(value any, replyErr error) {
			encoded, err := encoder.Marshal(value)
			if err != nil {
				w.t.Fatal(err)
			}
			w.deliver(peer, v.member.VM, func() { finish(encoded, replyErr) })
		})
	})
}

func (w *world) deliver(from, to zinniatide.VMID, f func()) {
	copies := 1
	if w.random.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		if w.cut[[2]zinniatide.VMID{from, to}] || w.random.Float64() < w.loss {
			continue
		}
		w.after(zinniatide.Millis(w.random.Int64N(int64(w.delay)+1)), f)
	}
}

// isolate cuts id off in both directions.
func (w *world) isolate(id zinniatide.VMID, cut bool) {
	for _, other := range w.names {
		if other != id {
			w.cut[[2]zinniatide.VMID{id, other}] = cut
			w.cut[[2]zinniatide.VMID{other, id}] = cut
		}
	}
}

// fakeLog is a replicated log whose entries commit after commitDelay on the
// leader and a millisecond later on the others.
type fakeLog struct {
	vm           *vm
	applied      int
	open         map[int]func(any, error)
	onTick       func(zinniatide.Millis)
	onLeadership func(bool)
	wanted       []zinniatide.ControlVM
}

var errLeaderLost = &zinniatide.Refusal{Code: zinniatide.CodeNoQuorum, Outcome: zinniatide.OutcomeUnknown, Message: "leader lost"}

func (l *fakeLog) Post(f func())                            { l.vm.w.after(0, f) }
func (l *fakeLog) OnTick(f func(zinniatide.Millis))         { l.onTick = f }
func (l *fakeLog) OnLeadership(f func(bool))                { l.onLeadership = f }
func (l *fakeLog) SetControlVMs(vms []zinniatide.ControlVM) { l.wanted = vms }
func (l *fakeLog) TransferLeadership()                      {}
func (l *fakeLog) leads() bool                              { return l.vm.w.leader == l.vm.member.VM }
func (l *fakeLog) Status() zinniatide.LogStatus {
	return zinniatide.LogStatus{Leader: l.vm.w.leader, Leading: l.leads()}
}

func (l *fakeLog) Barrier(done func(error)) {
	if !l.leads() {
		done(errors.New("not the leader"))
		return
	}
	done(nil)
}

func (l *fakeLog) Propose(data []byte, done func(any, error)) {
	w := l.vm.w
	if !l.leads() {
		done(nil, zinniatide.Refuse(zinniatide.CodeNoQuorum, "not the leader"))
		return
	}
	w.entries = append(w.entries, data)
	n := len(w.entries)
	if l.open == nil {
		l.open = map[int]func(any, error){}
	}
	l.open[n] = done
	w.after(w.commitDelay, func() {
		if l.open[n] != nil {
			delete(l.open, n)
			l.catchUp(n - 1)
			l.applied = n
			done(l.vm.machine.Apply(uint64(n), data), nil)
		}
	})
	for _, c := range w.control {
		if other := w.vms[c.VM]; other != l.vm {
			w.after(w.commitDelay+1, func() { other.log.catchUp(n) })
		}
	}
}

// failOpen ends the open proposals of a leader that has lost its leadership.
// Their entries stay in the log.
func (l *fakeLog) failOpen() {
	for _, n := range slices.Sorted(maps.Keys(l.open)) {
		done := l.open[n]
		delete(l.open, n)
		done(nil, errLeaderLost)
	}
}

func (l *fakeLog) catchUp(n int) {
	for l.applied < n {
		l.applied++
		l.vm.machine.Apply(uint64(l.applied), l.vm.w.entries[l.applied-1])
	}
}

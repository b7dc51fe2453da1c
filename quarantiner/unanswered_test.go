package quarantiner

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/encoder"
)

// fleet is a number of relay VMs and five control VMs whose messages arrive at
// once, but for those to and from VMs that are cut off.
type fleet struct {
	t        *testing.T
	clock    *clock.Clock
	relays   []zinniatide.VMID
	control  []zinniatide.VMID
	vms      map[zinniatide.VMID]*Quarantiner
	handlers map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	cutOff   map[zinniatide.VMID]bool
	sent     int // bytes of all messages
}

type fleetLinker struct {
	zinniatide.Linker
	f  *fleet
	vm zinniatide.VMID
}

func (l fleetLinker) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	l.f.handlers[l.vm][kind] = h
}

func (l fleetLinker) Send(to zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	raw, err := encoder.Marshal(body)
	if err != nil {
		l.f.t.Error(err)
	}
	l.f.sent += len(raw)
	if !l.f.cutOff[l.vm] && !l.f.cutOff[to] {
		l.f.handlers[to][kind](l.vm, raw, nil)
	}
	return nil
}

func newFleet(t *testing.T, relays int) *fleet {
	f := &fleet{t: t, clock: clock.NewManual(1000, 1000), vms: map[zinniatide.VMID]*Quarantiner{},
		handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{}, cutOff: map[zinniatide.VMID]bool{}}
	for i := range relays {
		f.relays = append(f.relays, zinniatide.VMID(fmt.Sprintf("relay-%03d", i)))
	}
	for i := range 5 {
		f.control = append(f.control, zinniatide.VMID(fmt.Sprintf("control-%d", i)))
	}
	for _, list := range [][]zinniatide.VMID{f.relays, f.control} {
		for _, vm := range list {
			f.restart(vm)
		}
	}
	return f
}

// restart replaces the state of a VM by an empty one.
func (f *fleet) restart(vm zinniatide.VMID) {
	f.handlers[vm] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	f.vms[vm] = New(RelayConfig(), Dependencies{VM: vm, Clock: f.clock, Timer: timer.New(), Linker: fleetLinker{f: f, vm: vm},
		ServingVMs: func() []zinniatide.VMID { return f.relays }, Counters: func() []zinniatide.VMID { return f.control },
		Registerer: prometheus.NewRegistry()})
	if len(f.vms) > len(f.relays)+len(f.control)-1 {
		f.vms[vm].RequestQuarantines()
	}
}

// Guards against a request that crashes the servers that run it and comes again
// under new ids through other VMs. After the third crash it may run three times
// more at the most, also with control VMs that are restarted or cut off.
func TestCrashingRequestIsRefusedOnAllVMs(t *testing.T) {
	const crashing, relays = zinniatide.Fingerprint(7), 200
	for name, disturb := range map[string]func(f *fleet, attempt int){
		"calm":                  func(*fleet, int) {},
		"control VMs cut off":   func(f *fleet, _ int) { f.cutOff["control-0"], f.cutOff["control-1"] = true, true },
		"a control VM restarts": func(f *fleet, attempt int) { f.restart(f.control[attempt%5]) },
		"relay VMs restart":     func(f *fleet, attempt int) { f.restart(f.relays[(attempt+1)%relays]) },
		"a relay VM is cut off": func(f *fleet, attempt int) { f.cutOff["relay-000"] = attempt < 100 },
		"reports arrive twice": func(f *fleet, _ int) {
			f.vms["relay-001"].ReportUnanswered(crashing, zinniatide.UnansweredAttempt{ID: "a0"})
		},
		"many others are counted": func(f *fleet, n int) {
			f.vms["relay-002"].ReportUnanswered(zinniatide.Fingerprint(1000+n), zinniatide.UnansweredAttempt{ID: "x"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, relays)
			ran, refused := 0, 0
			for attempt := range 600 {
				disturb(f, attempt)
				f.clock.Advance(100)
				q := f.vms[f.relays[attempt%relays]]
				if q.QuarantineLeft(crashing) > 0 {
					refused++
					continue
				}
				ran++
				q.ReportUnanswered(crashing, zinniatide.UnansweredAttempt{ID: fmt.Sprint("a", attempt)})
			}
			limit := RelayConfig().StrikeLimit + 3
			if ran > limit || refused < 600-limit {
				t.Errorf("got %d runs and %d refusals, want at most %d runs", ran, refused, limit)
			}
		})
	}
}

// Guards against refusals of innocent requests: reports of one attempt count once,
// a few lost attempts are no proof, and they are forgotten.
func TestInnocentRequestsAreNotRefused(t *testing.T) {
	f := newFleet(t, 10)
	q := f.vms["relay-000"]
	if !q.Empty() {
		t.Error("got a suspect without a report")
	}
	for range 50 {
		q.ReportUnanswered(1, zinniatide.UnansweredAttempt{ID: "same"})
	}
	q.ReportUnanswered(1, zinniatide.UnansweredAttempt{ID: "second"})
	for n := range zinniatide.Fingerprint(1000) {
		q.ReportUnanswered(1000+n, zinniatide.UnansweredAttempt{ID: "once"})
	}
	f.clock.Advance(RelayConfig().StrikeLifetime)
	q.ReportUnanswered(1, zinniatide.UnansweredAttempt{ID: "much later"})
	for vm, q := range f.vms {
		for n := range zinniatide.Fingerprint(2000) {
			if q.QuarantineLeft(n) > 0 {
				t.Fatalf("%s: request %d is refused, want it to run", vm, n)
			}
		}
	}
}

// Guards against memory and messages that grow with the number of lost requests,
// for example while all servers of a service are down.
func TestReportsAreBounded(t *testing.T) {
	f := newFleet(t, 200)
	const seconds, perSecond = 10, 2000
	for n := range seconds * perSecond {
		if n%perSecond == 0 {
			f.clock.Advance(1000)
		}
		f.vms["relay-000"].ReportUnanswered(zinniatide.Fingerprint(n), zinniatide.UnansweredAttempt{ID: fmt.Sprint(n)})
	}
	const maxReportBytes = 32
	if got, want := f.sent, seconds*maxReportsPerSecond*len(f.control)*maxReportBytes; got > want {
		t.Errorf("got %d bytes of reports in %d s, want at most %d", got, seconds, want)
	}
	for vm, q := range f.vms {
		if got := len(q.table.suspects); got > q.config.SuspectLimit {
			t.Errorf("%s: got %d suspects, want at most %d", vm, got, q.config.SuspectLimit)
		}
	}
}

// Guards against refusals of a harmless request that many callers send alike: one
// crash ends all that its server runs, and several servers may crash together.
func TestRequestsLostTogetherAreNotRefused(t *testing.T) {
	const harmless = zinniatide.Fingerprint(3)
	for _, inProgress := range []int{3, 20} {
		f := newFleet(t, 10)
		for n := range inProgress {
			f.vms[f.relays[n%len(f.relays)]].ReportUnanswered(harmless, zinniatide.UnansweredAttempt{ID: fmt.Sprint(n), Age: 400})
			f.clock.Advance(1)
		}
		for _, vm := range f.relays {
			if left := f.vms[vm].QuarantineLeft(harmless); left > 0 {
				t.Errorf("%d in progress: %s refuses the request for %d ms, want it to run", inProgress, vm, left)
			}
		}
	}
}

// Guards against refusals of a harmless request that is answered between crashes,
// and against a quarantine that outlives an answer.
func TestAnswerClearsRequest(t *testing.T) {
	const harmless = zinniatide.Fingerprint(3)
	f := newFleet(t, 10)
	for n := range 30 {
		q := f.vms[f.relays[n%len(f.relays)]]
		q.ReportUnanswered(harmless, zinniatide.UnansweredAttempt{ID: fmt.Sprint(n)})
		f.clock.Advance(100)
		q.ReportAnswered(harmless)
	}
	if left := f.vms["relay-000"].QuarantineLeft(harmless); left > 0 {
		t.Errorf("got a quarantine of %d ms of a request that was answered after each loss, want none", left)
	}
	for n := range 3 {
		f.vms["relay-001"].ReportUnanswered(harmless, zinniatide.UnansweredAttempt{ID: fmt.Sprint("lost", n)})
		f.clock.Advance(100)
	}
	if left := f.vms["relay-002"].QuarantineLeft(harmless); left <= 0 {
		t.Fatal("got no quarantine after three losses in turn")
	}
	f.vms["relay-003"].ReportAnswered(harmless)
	for vm, q := range f.vms {
		if left := q.QuarantineLeft(harmless); left > 0 {
			t.Errorf("%s: got a quarantine of %d ms after an answer, want none", vm, left)
		}
	}
}

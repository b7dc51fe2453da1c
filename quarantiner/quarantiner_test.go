package quarantiner

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
)

// network is a fake Linker for several VMs. Messages between VMs are delivered
// at once, in order; cut VMs reach nobody.
type network struct {
	mu       sync.Mutex
	handlers map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	vms      []zinniatide.VMID
	cut      map[zinniatide.VMID]bool
}

type link struct {
	net *network
	vm  zinniatide.VMID
}

func (l *link) Handle(k zinniatide.MessageKind, h zinniatide.LinkHandler) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.handlers[l.vm] == nil {
		l.net.handlers[l.vm] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	}
	l.net.handlers[l.vm][k] = h
}

func (l *link) SetPeers(map[zinniatide.VMID]string) {}

func (l *link) Connected(zinniatide.VMID) bool { return true }

func (l *link) handler(peer zinniatide.VMID, k zinniatide.MessageKind) zinniatide.LinkHandler {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.cut[peer] || l.net.cut[l.vm] {
		return nil
	}
	return l.net.handlers[peer][k]
}

func (l *link) Send(peer zinniatide.VMID, k zinniatide.MessageKind, body any) error {
	h := l.handler(peer, k)
	if h == nil {
		return zinniatide.ErrNotSent
	}
	encoded, err := cbor.Marshal(body)
	if err == nil {
		h(l.vm, encoded, nil)
	}
	return err
}

func (l *link) Call(peer zinniatide.VMID, k zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	h := l.handler(peer, k)
	if h == nil {
		done(nil, zinniatide.ErrTimeout)
		return
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		done(nil, err)
		return
	}
	h(l.vm, encoded, func(value any, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		reply, err := cbor.Marshal(value)
		done(reply, err)
	})
}

func newNetwork(n int) (*network, []*Quarantiner) {
	net := &network{handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{}, cut: map[zinniatide.VMID]bool{}}
	var qs []*Quarantiner
	for i := range n {
		net.vms = append(net.vms, zinniatide.VMID(fmt.Sprintf("e%d", i)))
	}
	c := clock.New()
	for _, vm := range net.vms {
		qs = append(qs, New(DefaultConfig(), Dependencies{VM: vm, Clock: c, Timer: timer.New(), Linker: &link{net, vm},
			ServingVMs: func() []zinniatide.VMID { return net.vms }}))
	}
	return net, qs
}

// search runs a request as the querier does: first on the canary servers, then
// on 84. Run returns whether the server survived.
func search(q *Quarantiner, f zinniatide.Fingerprint, run func() bool) (served bool, refusal *zinniatide.Refusal) {
	p, refusal := q.Enter(f, q.Clock.Now()+4000)
	if refusal != nil {
		return false, refusal
	}
	defer p.End()
	if n := p.CanaryServers(); n > 0 {
		for !run() {
			p.Crashed(true, nil)
			if n--; n == 0 {
				return false, nil
			}
		}
		p.Proven()
	}
	for range 83 {
		for !run() {
			permit := make(chan bool, 1)
			p.Crashed(false, func(allowed, _ bool) { permit <- allowed })
			if !<-permit {
				return false, nil
			}
		}
	}
	p.Proven()
	return true, nil
}

// Guards against a request that crashes every server taking more than two of
// them, when callers resend it to all VMs at the same time.
func TestDeadlyRequestLosesAtMostTwoServers(t *testing.T) {
	for seed := range 20 {
		_, qs := newNetwork(8)
		var lost, refused, other atomic.Int32
		var group sync.WaitGroup
		for i := range 64 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 3 {
					served, refusal := search(qs[i%len(qs)], zinniatide.Fingerprint(seed), func() bool { lost.Add(1); return false })
					switch {
					case served:
						other.Add(1)
					case refusal != nil && refusal.Code == zinniatide.CodeQuarantined && refusal.Outcome == zinniatide.OutcomeNotRun:
						refused.Add(1)
					}
				}
			}()
		}
		group.Wait()
		if lost.Load() != 2 || other.Load() != 0 || refused.Load() < 64*3-2 {
			t.Errorf("got %d servers lost, %d served, %d refused of %d, want 2, 0 and at least %d", lost.Load(), other.Load(), refused.Load(), 64*3, 64*3-2)
		}
	}
}

// Guards against refusing a sound request because a server that ran it died
// for another reason, and against canaries for what has just completed.
func TestSoundRequestIsServedAfterOtherCrashes(t *testing.T) {
	_, qs := newNetwork(4)
	crashes := 1
	for i := range 40 {
		served, refusal := search(qs[i%4], 5, func() bool {
			if i%10 == 0 && crashes > 0 {
				crashes--
				return false
			}
			return true
		})
		if !served || refusal != nil {
			t.Fatalf("request %d: got served %t, refusal %v", i, served, refusal)
		}
		if i%10 == 9 {
			crashes = 1
		}
	}
	for i, q := range qs {
		p, refusal := q.Enter(5, q.Clock.Now()+1000)
		if refusal != nil || p.CanaryServers() != 0 {
			t.Errorf("VM %d: got %v, %d canary servers, want none", i, refusal, p.CanaryServers())
		}
	}
}

// Guards against a request that waits for a guard that cannot be reached, and
// against the crash of a local canary staying unknown to this VM.
func TestUnreachableGuard(t *testing.T) {
	net, qs := newNetwork(3)
	for _, vm := range net.vms {
		net.cut[vm] = true
	}
	for i, q := range qs {
		f := zinniatide.Fingerprint(100 + i)
		if served, refusal := search(q, f, func() bool { return true }); !served {
			t.Errorf("VM %d: got %v for a sound request", i, refusal)
		}
		lost := 0
		for range 5 {
			search(q, f+50, func() bool { lost++; return false })
		}
		if lost != 2 {
			t.Errorf("VM %d: lost %d servers, want 2", i, lost)
		}
	}
}

// Guards against a guard that is lost between its grant and the crash: the
// holder must count by itself and tell the others.
func TestGuardLostAfterGrant(t *testing.T) {
	net, qs := newNetwork(3)
	f := zinniatide.Fingerprint(1)
	for qs[0].guard(f) == "e0" {
		f++
	}
	p, refusal := qs[0].Enter(f, qs[0].Clock.Now()+1000)
	if refusal != nil || p.CanaryServers() != 2 {
		t.Fatalf("got %v, %d canary servers, want 2", refusal, p.CanaryServers())
	}
	net.cut[qs[0].guard(f)] = true
	p.Crashed(true, nil)
	p.Crashed(true, nil)
	p.End()
	for i, q := range qs {
		if net.cut[q.VM] {
			continue
		}
		if refusal := q.Check(f); refusal == nil {
			t.Errorf("VM %d does not know of the quarantine", i)
		}
	}
}

package scenarios

import (
	"net/url"
	"strconv"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/members"
)

// sessionSizes are the numbers of VMs with sessions.
var sessionSizes = []int{25, 50, 100, 150, 200, 300}

const sessionWindow = 4 * time.Second

// capacitySessions measures the control work of sessions without changes: the
// heartbeats with their answers, and the pings of the links to the control VMs.
var capacitySessions = Scenario{Name: "capacity-sessions", Members: true, Run: func(e *Env) error {
	s, err := e.startControl()
	if err != nil {
		return err
	}
	defer s.close()
	leader := &series{name: "leader-cpu", unit: "ms/s", per: "VMs"}
	host := &series{name: "members-cpu", unit: "ms/s", per: "VMs"}
	sent := &series{name: "leader-sent", unit: "B/s", per: "VMs"}
	received := &series{name: "leader-received", unit: "B/s", per: "VMs"}
	messages := &series{name: "leader-messages", unit: "1/s", per: "VMs"}
	memory := &series{name: "leader-memory", unit: "B", per: "VMs"}
	hostMemory := &series{name: "members-memory", unit: "B", per: "VMs"}
	for _, n := range sessionSizes {
		if err := s.resize(n); err != nil {
			return err
		}
		u, err := s.during(func() error { time.Sleep(sessionWindow); return nil })
		if err != nil {
			return err
		}
		x := float64(n)
		leader.add(x, u.leader/u.seconds)
		host.add(x, u.host/u.seconds)
		sent.add(x, u.sent/u.seconds)
		received.add(x, u.received/u.seconds)
		messages.add(x, u.messages/u.seconds)
		memory.add(x, float64(members.LiveMemory()))
		var usage members.Usage
		if err := s.call("/usage", url.Values{"collect": {"1"}}, &usage); err != nil {
			return err
		}
		hostMemory.add(x, float64(usage.Heap))
	}
	if err := e.reportSeries("capacity-sessions", leader, host, sent, received, messages, memory, hostMemory); err != nil {
		return err
	}
	return e.reportFailover(s)
}}

// renewed is the time left of a lease that is renewed at every heartbeat.
const renewed = zinniatide.LeaseDuration - 2*zinniatide.HeartbeatInterval

// reportFailover ends the leader as a crash does, and measures until the next
// one has renewed the leases of all members.
func (e *Env) reportFailover(s *controlSet) error {
	var before, u members.Usage
	if err := s.call("/usage", nil, &before); err != nil {
		return err
	}
	s.leader.Close()
	s.leader = nil
	start, shortest := time.Now(), before.LeaseLeft
	err := s.wait("new leases", func() (bool, error) {
		err := s.call("/usage", nil, &u)
		shortest = min(shortest, u.LeaseLeft)
		return shortest < renewed && u.LeaseLeft >= renewed, err
	})
	if err != nil {
		return err
	}
	return e.reportAll("capacity-sessions", []metric{
		{"failover-members", "count", none, float64(u.Members)},
		{"failover-time", "ms", none, ms(time.Since(start))},
		{"failover-lease-left-min", "ms", none, float64(shortest)},
		{"failover-cpu", "ms", none, ms(u.CPU - before.CPU)},
	})
}

// changesPerSize are filed at each size, one every changeInterval.
const (
	changesPerSize = 100
	changeInterval = 25 * time.Millisecond
)

// capacityChanges measures what a configuration change costs beyond the
// sessions, from its filing until it is in force on all VMs.
var capacityChanges = Scenario{Name: "capacity-changes", Members: true, Run: func(e *Env) error {
	s, err := e.startControl()
	if err != nil {
		return err
	}
	defer s.close()
	leader := &series{name: "leader-cpu-per-change", unit: "us", per: "VMs"}
	host := &series{name: "members-cpu-per-change", unit: "us", per: "VMs"}
	sent := &series{name: "leader-sent-per-change", unit: "B", per: "VMs"}
	received := &series{name: "leader-received-per-change", unit: "B", per: "VMs"}
	inForce := &series{name: "in-force-p99", unit: "ms", per: "VMs"}
	for _, n := range sessionSizes {
		if err := s.resize(n); err != nil {
			return err
		}
		idle, err := s.during(func() error { time.Sleep(2 * time.Second); return nil })
		if err != nil {
			return err
		}
		var delays []float64
		busy, err := s.during(func() error {
			delays, err = s.fileMany()
			return err
		})
		if err != nil {
			return err
		}
		beyond := func(busyTotal, idleTotal float64) float64 {
			return (busyTotal - idleTotal/idle.seconds*busy.seconds) / changesPerSize
		}
		x := float64(n)
		leader.add(x, 1000*beyond(busy.leader, idle.leader))
		host.add(x, 1000*beyond(busy.host, idle.host))
		sent.add(x, beyond(busy.sent, idle.sent))
		received.add(x, beyond(busy.received, idle.received))
		inForce.add(x, quantile(delays, 0.99))
	}
	return e.reportSeries("capacity-changes", leader, host, sent, received, inForce)
}}

// fileMany files tickets and returns how long each took until the leader knew
// that it was in force on all VMs, in ms.
func (s *controlSet) fileMany() ([]float64, error) {
	var delays []float64
	for range changesPerSize {
		start := time.Now()
		if _, err := s.file(); err != nil {
			return nil, err
		}
		for {
			status, err := s.leader.Controller.TicketStatus(s.ticket)
			if err != nil {
				return nil, err
			}
			if status.InForce {
				break
			}
			time.Sleep(time.Millisecond)
		}
		delays = append(delays, ms(time.Since(start)))
		time.Sleep(changeInterval)
	}
	return delays, nil
}

// claimWorkers are the numbers of chains of claims that run side by side.
var claimWorkers = []int{1, 4, 16, 64, 256}

const (
	claimMembers = 32
	claimWindow  = 4 * time.Second
)

// capacityClaims measures claims of non-idempotent requests through the log of
// three voters with synced disks. Each claim is followed by its result.
var capacityClaims = Scenario{Name: "capacity-claims", Members: true, Run: func(e *Env) error {
	s, err := e.startControl()
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.resize(claimMembers); err != nil {
		return err
	}
	idle, err := s.during(func() error { time.Sleep(2 * time.Second); return nil })
	if err != nil {
		return err
	}
	rate := &series{name: "claims", unit: "1/s", per: "chains"}
	refused := &series{name: "claims-refused", unit: "count", per: "chains"}
	leader := &series{name: "leader-cpu", unit: "ms/s", per: "claims/s"}
	host := &series{name: "followers-and-members-cpu", unit: "ms/s", per: "claims/s"}
	bytes := &series{name: "leader-sent-and-received", unit: "B/s", per: "claims/s"}
	kept := &series{name: "leader-memory", unit: "B", per: "claims kept"}
	for _, workers := range claimWorkers {
		var counts members.ClaimCounts
		u, err := s.during(func() error {
			return s.call("/claims", url.Values{"workers": {strconv.Itoa(workers)},
				"ms": {strconv.FormatInt(claimWindow.Milliseconds(), 10)}}, &counts)
		})
		if err != nil {
			return err
		}
		perSecond := float64(counts.Granted) / u.seconds
		rate.add(float64(workers), perSecond)
		refused.add(float64(workers), float64(counts.Refused))
		leader.add(perSecond, u.leader/u.seconds-idle.leader/idle.seconds)
		host.add(perSecond, u.host/u.seconds-idle.host/idle.seconds)
		bytes.add(perSecond, (u.sent+u.received)/u.seconds-(idle.sent+idle.received)/idle.seconds)
		var claims int
		s.leader.OnThread(func() { claims, _ = s.leader.Machine.ClaimLoad() })
		kept.add(float64(claims), float64(members.LiveMemory()))
	}
	return e.reportSeries("capacity-claims", rate, refused, leader, host, bytes, kept)
}}

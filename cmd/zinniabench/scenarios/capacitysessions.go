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

// capacitySessions measures the cost of sessions without configuration changes:
// heartbeats and their answers, and pings on the links to the control VMs.
var capacitySessions = Scenario{Name: "capacity-sessions", NeedsMembers: true, Run: func(e *Env) error {
	s, err := e.startControlCluster()
	if err != nil {
		return err
	}
	defer s.close()
	leader := &scalingSeries{name: "leader-cpu", unit: "ms/s", sizeUnit: "VMs"}
	host := &scalingSeries{name: "members-cpu", unit: "ms/s", sizeUnit: "VMs"}
	sent := &scalingSeries{name: "leader-sent", unit: "B/s", sizeUnit: "VMs"}
	received := &scalingSeries{name: "leader-received", unit: "B/s", sizeUnit: "VMs"}
	messages := &scalingSeries{name: "leader-messages", unit: "1/s", sizeUnit: "VMs"}
	memory := &scalingSeries{name: "leader-memory", unit: "B", sizeUnit: "VMs"}
	hostMemory := &scalingSeries{name: "members-memory", unit: "B", sizeUnit: "VMs"}
	for _, n := range sessionSizes {
		if err := s.resize(n); err != nil {
			return err
		}
		u, err := s.measure(func() error { time.Sleep(sessionWindow); return nil })
		if err != nil {
			return err
		}
		x := float64(n)
		leader.add(x, u.leaderCPUMs/u.seconds)
		host.add(x, u.hostCPUMs/u.seconds)
		sent.add(x, u.sentBytes/u.seconds)
		received.add(x, u.receivedBytes/u.seconds)
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

// renewedLeaseLeft is the least remaining time of a lease whose heartbeats are
// answered, with one heartbeat interval of tolerance.
const renewedLeaseLeft = zinniatide.LeaseDuration - 2*zinniatide.HeartbeatInterval

// reportFailover stops the leader abruptly and measures the time until its
// successor has renewed the leases of all members.
func (e *Env) reportFailover(s *controlCluster) error {
	var before, u members.Usage
	if err := s.call("/usage", nil, &before); err != nil {
		return err
	}
	s.leader.Close()
	s.leader = nil
	start, shortest := time.Now(), before.LeaseLeft
	err := s.waitUntil("new leases", func() (bool, error) {
		err := s.call("/usage", nil, &u)
		shortest = min(shortest, u.LeaseLeft)
		return shortest < renewedLeaseLeft && u.LeaseLeft >= renewedLeaseLeft, err
	})
	if err != nil {
		return err
	}
	return e.reportMetrics("capacity-sessions", []metric{
		{"failover-members", "count", noValue, float64(u.Members)},
		{"failover-time", "ms", noValue, ms(time.Since(start))},
		{"failover-lease-left-min", "ms", noValue, float64(shortest)},
		{"failover-cpu", "ms", noValue, ms(u.CPU - before.CPU)},
	})
}

// changesPerSize tickets are filed at each size, with a pause of changeInterval.
const (
	changesPerSize = 100
	changeInterval = 25 * time.Millisecond
)

// capacityChanges measures the cost of a configuration change in addition to that
// of the sessions, from the filing of the ticket until it is in force on all VMs.
var capacityChanges = Scenario{Name: "capacity-changes", NeedsMembers: true, Run: func(e *Env) error {
	s, err := e.startControlCluster()
	if err != nil {
		return err
	}
	defer s.close()
	leader := &scalingSeries{name: "leader-cpu-per-change", unit: "us", sizeUnit: "VMs"}
	host := &scalingSeries{name: "members-cpu-per-change", unit: "us", sizeUnit: "VMs"}
	sent := &scalingSeries{name: "leader-sent-per-change", unit: "B", sizeUnit: "VMs"}
	received := &scalingSeries{name: "leader-received-per-change", unit: "B", sizeUnit: "VMs"}
	inForce := &scalingSeries{name: "in-force-p99", unit: "ms", sizeUnit: "VMs"}
	for _, n := range sessionSizes {
		if err := s.resize(n); err != nil {
			return err
		}
		idle, err := s.measure(func() error { time.Sleep(2 * time.Second); return nil })
		if err != nil {
			return err
		}
		var delays []float64
		busy, err := s.measure(func() error {
			delays, err = s.fileTickets()
			return err
		})
		if err != nil {
			return err
		}
		additional := func(busyTotal, idleTotal float64) float64 {
			return (busyTotal - idleTotal/idle.seconds*busy.seconds) / changesPerSize
		}
		x := float64(n)
		leader.add(x, 1000*additional(busy.leaderCPUMs, idle.leaderCPUMs))
		host.add(x, 1000*additional(busy.hostCPUMs, idle.hostCPUMs))
		sent.add(x, additional(busy.sentBytes, idle.sentBytes))
		received.add(x, additional(busy.receivedBytes, idle.receivedBytes))
		inForce.add(x, quantile(delays, 0.99))
	}
	return e.reportSeries("capacity-changes", leader, host, sent, received, inForce)
}}

// fileTickets files changesPerSize tickets. It returns the time in ms until the
// leader knew that each ticket was in force on all VMs.
func (s *controlCluster) fileTickets() ([]float64, error) {
	var delays []float64
	for range changesPerSize {
		start := time.Now()
		if _, err := s.fileTicket(); err != nil {
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

// claimWorkers are the numbers of concurrent claim workers, each of which sends one
// claim after the other. The report calls them chains.
var claimWorkers = []int{1, 4, 16, 64, 256}

const (
	claimMembers = 32
	claimWindow  = 4 * time.Second
)

// capacityClaims measures claims of non-idempotent requests, which are replicated
// to the synced logs of three voters. Each claim is followed by its result.
var capacityClaims = Scenario{Name: "capacity-claims", NeedsMembers: true, Run: func(e *Env) error {
	s, err := e.startControlCluster()
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.resize(claimMembers); err != nil {
		return err
	}
	idle, err := s.measure(func() error { time.Sleep(2 * time.Second); return nil })
	if err != nil {
		return err
	}
	rate := &scalingSeries{name: "claims", unit: "1/s", sizeUnit: "chains"}
	refused := &scalingSeries{name: "claims-refused", unit: "count", sizeUnit: "chains"}
	leader := &scalingSeries{name: "leader-cpu", unit: "ms/s", sizeUnit: "claims/s"}
	host := &scalingSeries{name: "followers-and-members-cpu", unit: "ms/s", sizeUnit: "claims/s"}
	bytes := &scalingSeries{name: "leader-sent-and-received", unit: "B/s", sizeUnit: "claims/s"}
	kept := &scalingSeries{name: "leader-memory", unit: "B", sizeUnit: "claims kept"}
	for _, workers := range claimWorkers {
		var counts members.ClaimCounts
		u, err := s.measure(func() error {
			return s.call("/claims", url.Values{"workers": {strconv.Itoa(workers)},
				"ms": {strconv.FormatInt(claimWindow.Milliseconds(), 10)}}, &counts)
		})
		if err != nil {
			return err
		}
		perSecond := float64(counts.Granted) / u.seconds
		rate.add(float64(workers), perSecond)
		refused.add(float64(workers), float64(counts.Refused))
		leader.add(perSecond, u.leaderCPUMs/u.seconds-idle.leaderCPUMs/idle.seconds)
		host.add(perSecond, u.hostCPUMs/u.seconds-idle.hostCPUMs/idle.seconds)
		bytes.add(perSecond, (u.sentBytes+u.receivedBytes)/u.seconds-(idle.sentBytes+idle.receivedBytes)/idle.seconds)
		var claims int
		s.leader.RunOnControlGoroutine(func() { claims, _ = s.leader.StateMachine.ClaimUsage() })
		kept.add(float64(claims), float64(members.LiveMemory()))
	}
	return e.reportSeries("capacity-claims", rate, refused, leader, host, bytes, kept)
}}

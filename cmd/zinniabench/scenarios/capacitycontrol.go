package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/members"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
)

// controlCluster is a control leader in this process, and two followers and a
// number of members in the process of a members.Host.
type controlCluster struct {
	host   string
	leader *members.ControlNode
	folder string
	ticket zinniatide.TicketNumber
}

func (e *Env) startControlCluster() (*controlCluster, error) {
	if e.MembersAddress == "" {
		return nil, errors.New("this scenario requires --members; run it with make bench SCENARIO=name")
	}
	s := &controlCluster{host: e.MembersAddress}
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *controlCluster) start() error {
	var followers []zinniatide.ControlVM
	if err := s.call("/reserve", nil, &followers); err != nil {
		return err
	}
	address, err := members.FreeAddress()
	if err != nil {
		return err
	}
	if s.folder, err = os.MkdirTemp("", "zinniabench-"); err != nil {
		return zinniatide.WrapStep(err, "create folder", "leader")
	}
	control := append([]zinniatide.ControlVM{{VM: "c1", PeerAddress: address}}, followers...)
	if err := logkeeper.Init(journal.OSFileSystem{}, s.folder, "c1", control); err != nil {
		return zinniatide.WrapStep(err, "init", "c1")
	}
	if s.leader, err = members.NewControlNode("c1", s.folder, control); err != nil {
		return err
	}
	if err := s.call("/start", url.Values{"leader": {address}}, nil); err != nil {
		return err
	}
	return s.waitUntil("three voters", func() (bool, error) {
		var status zinniatide.LogStatus
		s.leader.RunOnControlGoroutine(func() { status = s.leader.Log.Status() })
		return status.Leading && len(status.Voters) == 3, nil
	})
}

func (s *controlCluster) close() {
	if s.leader != nil {
		s.leader.Close()
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

func (s *controlCluster) call(path string, arguments url.Values, out any) error {
	return members.Call(s.host, path, arguments, out)
}

func (s *controlCluster) waitUntil(what string, ready func() (bool, error)) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if ok, err := ready(); err != nil || ok {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out waiting for %s", what)
		}
	}
}

// stablePollCount is the number of polls, 20 ms apart, without a change of the
// epoch.
const stablePollCount = 25

// resize starts members until there are n, and waits until all have a lease and
// the installed epoch is stable.
func (s *controlCluster) resize(n int) error {
	if err := s.call("/resize", url.Values{"members": {strconv.Itoa(n)}}, nil); err != nil {
		return err
	}
	var last zinniatide.Epoch
	stablePolls := 0
	return s.waitUntil(fmt.Sprintf("%d members", n), func() (bool, error) {
		var u members.Usage
		if err := s.call("/usage", nil, &u); err != nil {
			return false, err
		}
		if u.Leased == n && u.Epoch == s.epoch() && u.Epoch == last {
			stablePolls++
		} else {
			stablePolls, last = 0, u.Epoch
		}
		return stablePolls >= stablePollCount, nil
	})
}

func (s *controlCluster) epoch() (epoch zinniatide.Epoch) {
	s.leader.RunOnControlGoroutine(func() { epoch = s.leader.StateMachine.Configuration().Epoch })
	return epoch
}

// fileTicket files a ticket that changes the state of one backend server.
func (s *controlCluster) fileTicket() (zinniatide.Epoch, error) {
	s.ticket++
	state := zinniatide.StateIn
	if s.ticket%2 == 1 {
		state = zinniatide.StateLeaving
	}
	raw, err := json.Marshal(&zinniatide.Ticket{Number: s.ticket,
		BackendServers: map[zinniatide.BackendServerID]*zinniatide.StateSetting{"server": {State: state}}})
	if err != nil {
		return 0, zinniatide.WrapStep(err, "encode ticket", "operator")
	}
	reply, err := s.leader.Controller.FileTicket(raw, false, 2000)
	return reply.Epoch, err
}

// usageSample is the resource use of the leader and the host at one time.
type usageSample struct {
	at       time.Time
	cpu      time.Duration
	counters map[string]float64
	host     members.Usage
}

func (s *controlCluster) sample() (usageSample, error) {
	x := usageSample{at: time.Now()}
	var err error
	if x.cpu, err = members.CPUTime(); err != nil {
		return x, err
	}
	if x.counters, err = members.MetricSums(s.leader.Registry); err != nil {
		return x, err
	}
	return x, s.call("/usage", nil, &x.host)
}

// usageDelta is the resource use between two samples.
type usageDelta struct {
	seconds, leaderCPUMs, hostCPUMs                   float64
	sentBytes, receivedBytes, messages, hostSentBytes float64
}

func (b usageSample) since(a usageSample) usageDelta {
	difference := func(name string) float64 {
		return b.counters["zinniatide_link_"+name] - a.counters["zinniatide_link_"+name]
	}
	return usageDelta{
		seconds: b.at.Sub(a.at).Seconds(), leaderCPUMs: ms(b.cpu - a.cpu), hostCPUMs: ms(b.host.CPU - a.host.CPU),
		sentBytes: difference("sent_bytes_total"), receivedBytes: difference("received_bytes_total"),
		messages:      difference("sent_messages_total") + difference("received_messages_total"),
		hostSentBytes: b.host.Counters["zinniatide_link_sent_bytes_total"] - a.host.Counters["zinniatide_link_sent_bytes_total"],
	}
}

// measure returns the resource use while f runs.
func (s *controlCluster) measure(f func() error) (usageDelta, error) {
	before, err := s.sample()
	if err != nil {
		return usageDelta{}, err
	}
	if err := f(); err != nil {
		return usageDelta{}, err
	}
	after, err := s.sample()
	return after.since(before), err
}

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

// controlSet is a control leader in this process, and two followers and the
// members in the process of a host.
type controlSet struct {
	host   string
	leader *members.Control
	folder string
	ticket zinniatide.TicketNumber
}

func (e *Env) startControl() (*controlSet, error) {
	if e.Members == "" {
		return nil, errors.New("this scenario needs --members; make bench SCENARIO=name gives it")
	}
	s := &controlSet{host: e.Members}
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *controlSet) start() error {
	var followers []zinniatide.ControlVM
	if err := s.call("/reserve", nil, &followers); err != nil {
		return err
	}
	address, err := members.FreeAddress()
	if err != nil {
		return err
	}
	if s.folder, err = os.MkdirTemp("", "zinniabench-"); err != nil {
		return zinniatide.WrapStep(err, "make folder", "leader")
	}
	control := append([]zinniatide.ControlVM{{VM: "c1", PeerAddress: address}}, followers...)
	if err := logkeeper.Init(journal.Disk{}, s.folder, "c1", control); err != nil {
		return zinniatide.WrapStep(err, "init", "c1")
	}
	if s.leader, err = members.NewControl("c1", s.folder, control); err != nil {
		return err
	}
	if err := s.call("/start", url.Values{"leader": {address}}, nil); err != nil {
		return err
	}
	return s.wait("three voters", func() (bool, error) {
		var status zinniatide.LogStatus
		s.leader.OnThread(func() { status = s.leader.Keeper.Status() })
		return status.Leading && len(status.Voters) == 3, nil
	})
}

func (s *controlSet) close() {
	if s.leader != nil {
		s.leader.Close()
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

func (s *controlSet) call(path string, arguments url.Values, out any) error {
	return members.Get(s.host, path, arguments, out)
}

func (s *controlSet) wait(what string, ready func() (bool, error)) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if ok, err := ready(); err != nil || ok {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited too long for %s", what)
		}
	}
}

// resize starts members up to n, and waits until all have a lease and the
// configuration has come to rest.
func (s *controlSet) resize(n int) error {
	if err := s.call("/resize", url.Values{"members": {strconv.Itoa(n)}}, nil); err != nil {
		return err
	}
	var last zinniatide.Epoch
	still := 0
	return s.wait(fmt.Sprintf("%d members", n), func() (bool, error) {
		var u members.Usage
		if err := s.call("/usage", nil, &u); err != nil {
			return false, err
		}
		if u.Leased == n && u.Epoch == s.epoch() && u.Epoch == last {
			still++
		} else {
			still, last = 0, u.Epoch
		}
		return still >= 25, nil
	})
}

func (s *controlSet) epoch() (epoch zinniatide.Epoch) {
	s.leader.OnThread(func() { epoch = s.leader.Machine.Configuration().Epoch })
	return epoch
}

// file files a ticket that changes the state of one backend server.
func (s *controlSet) file() (zinniatide.Epoch, error) {
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

// sample is the state of the leader and of the host at one moment.
type sample struct {
	at       time.Time
	cpu      time.Duration
	counters map[string]float64
	host     members.Usage
}

func (s *controlSet) sample() (sample, error) {
	x := sample{at: time.Now()}
	var err error
	if x.cpu, err = members.ProcessorTime(); err != nil {
		return x, err
	}
	if x.counters, err = members.Counters(s.leader.Registry); err != nil {
		return x, err
	}
	return x, s.call("/usage", nil, &x.host)
}

// used is what was used between two samples, in ms of processor time and bytes.
type used struct {
	seconds, leader, host              float64
	sent, received, messages, hostSent float64
}

func (b sample) since(a sample) used {
	difference := func(name string) float64 {
		return b.counters["zinniatide_link_"+name] - a.counters["zinniatide_link_"+name]
	}
	return used{
		seconds: b.at.Sub(a.at).Seconds(), leader: ms(b.cpu - a.cpu), host: ms(b.host.CPU - a.host.CPU),
		sent: difference("sent_bytes_total"), received: difference("received_bytes_total"),
		messages: difference("sent_messages_total") + difference("received_messages_total"),
		hostSent: b.host.Counters["zinniatide_link_sent_bytes_total"] - a.host.Counters["zinniatide_link_sent_bytes_total"],
	}
}

// during measures what is used while f runs.
func (s *controlSet) during(f func() error) (used, error) {
	before, err := s.sample()
	if err != nil {
		return used{}, err
	}
	if err := f(); err != nil {
		return used{}, err
	}
	after, err := s.sample()
	return after.since(before), err
}

package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/node"
)

const (
	// operatorTimeout is the time after which an operator sends a ticket to
	// another control VM.
	operatorTimeout    zinniatide.Millis = 400
	operatorRetryPause                   = 10 * time.Millisecond
	// filingTimeout limits the attempts to file one ticket.
	filingTimeout = 20 * time.Second
)

// operators files tickets and records those that were accepted. Each ticket
// changes the state of a different backend server, so that every accepted ticket
// is visible in the configuration.
type operators struct {
	cluster *cluster.Cluster

	mu       sync.Mutex
	accepted []filedTicket
}

// filedTicket is a ticket. Its epoch and acceptedAt are set on acceptance.
type filedTicket struct {
	number     zinniatide.TicketNumber
	server     zinniatide.BackendServerID
	epoch      zinniatide.Epoch
	acceptedAt time.Time
}

// nextTicket assigns the next ticket number and encodes a ticket with it.
func (o *operators) nextTicket(prefix string) (filedTicket, []byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := new(zinniatide.Ticket)
	if _, err := o.cluster.NextTicket(t); err != nil {
		return filedTicket{}, nil, err
	}
	return encodeTicket(t.Number, prefix)
}

// encodeTicket encodes a ticket that changes the backend server named after prefix
// and number.
func encodeTicket(number zinniatide.TicketNumber, prefix string) (filedTicket, []byte, error) {
	f := filedTicket{number: number, server: zinniatide.BackendServerID(fmt.Sprintf("%s-%d", prefix, number))}
	raw, err := json.Marshal(&zinniatide.Ticket{Number: number, BackendServers: map[zinniatide.BackendServerID]*zinniatide.StateSetting{
		f.server: {State: zinniatide.StateLeaving},
	}})
	return f, raw, zinniatide.WrapStep(err, "encode ticket", "operator")
}

// file files the next ticket through the given control VMs.
func (o *operators) file(prefix string, through ...int) error {
	f, raw, err := o.nextTicket(prefix)
	if err != nil {
		return err
	}
	return o.fileWithRetry(f, raw, through)
}

// fileWithRetry sends a ticket to one control VM after the other until one accepts
// or refuses it. No-quorum is not a decision.
func (o *operators) fileWithRetry(f filedTicket, raw []byte, through []int) error {
	var err error
	for end, i := time.Now().Add(filingTimeout), 0; time.Now().Before(end); i++ {
		if err = o.submit(f, raw, through[i%len(through)]); err == nil {
			return nil
		}
		refusal := new(zinniatide.Refusal)
		if errors.As(err, &refusal) && refusal.Code != zinniatide.CodeNoQuorum {
			return err
		}
		time.Sleep(operatorRetryPause)
	}
	return fmt.Errorf("ticket %d was not accepted within %s: %w", f.number, filingTimeout, err)
}

// submit sends a ticket to one control VM and records its acceptance.
func (o *operators) submit(f filedTicket, raw []byte, vm int) error {
	n := o.cluster.Node(vm)
	if n == nil {
		return zinniatide.Refuse(zinniatide.CodeNoQuorum, "the control VM is down")
	}
	reply, err := n.Operator().FileTicket(raw, false, operatorTimeout)
	if err != nil {
		return err
	}
	f.epoch, f.acceptedAt = reply.Epoch, time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, f)
	return nil
}

func (o *operators) acceptedTickets() []filedTicket {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]filedTicket(nil), o.accepted...)
}

// newestEpoch returns the highest accepted epoch.
func (o *operators) newestEpoch() zinniatide.Epoch {
	var epoch zinniatide.Epoch
	for _, f := range o.acceptedTickets() {
		epoch = max(epoch, f.epoch)
	}
	return epoch
}

// countLost waits until the running VMs have installed the newest epoch and returns
// the number of accepted tickets that are missing from the configuration of any of
// them.
func (o *operators) countLost() int {
	newest := o.newestEpoch()
	_ = o.cluster.WaitUntil(func() bool { return allInstalled(o.cluster, newest) }) // after a timeout, a VM that lags behind increases the count
	lost := 0
	for _, f := range o.acceptedTickets() {
		for i := range o.cluster.Options.EntryVMs {
			n := o.cluster.Node(i)
			if n != nil && n.Configuration().BackendServers[f.server].State != zinniatide.StateLeaving {
				lost++
				break
			}
		}
	}
	return lost
}

// epochMonitor counts decreases of the configuration epoch of any process.
type epochMonitor struct {
	stop     chan struct{}
	done     chan struct{}
	reverted int
}

func monitorEpochs(c *cluster.Cluster) *epochMonitor {
	m := &epochMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		last := make(map[*node.Node]zinniatide.Epoch) // by node, because a restarted VM is a new process
		for {
			for i := range c.Options.EntryVMs {
				n := c.Node(i)
				if n == nil {
					continue
				}
				epoch := n.Configuration().Epoch
				if epoch < last[n] {
					m.reverted++
				}
				last[n] = epoch
			}
			select {
			case <-m.stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return m
}

// stopAndCount stops the monitor and returns how often an epoch decreased.
func (m *epochMonitor) stopAndCount() int {
	close(m.stop)
	<-m.done
	return m.reverted
}

// Package cluster runs the VMs and stand-in backend servers of a measurement
// in one process, over real sockets on loopback.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/network"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/provisioner"
	"zinniatide.example/zinniatide/querier"
)

// Options describe a measured system.
type Options struct {
	// Entries is the number of entry VMs e1, e2, ... spread over the zones.
	// The first Controls of them are control VMs too.
	Entries  int
	Controls int
	Zones    []zinniatide.ZoneID
	// LinkDelay is added to each direction of the links between VMs.
	LinkDelay time.Duration
	// Services are the services of the first ticket.
	Services map[zinniatide.ServiceID]*zinniatide.ServiceSetting
	// Layout describes the stand-ins; nil for none.
	Layout *provisioner.Layout
	Query  querier.Config
	Seed   uint64
	// WithoutAdmission and WithoutQuarantine switch parts off for baselines.
	WithoutAdmission  bool
	WithoutQuarantine bool
}

// Cluster is a running system.
type Cluster struct {
	Options  Options
	Network  *network.Network
	StandIns *provisioner.Provisioner

	folder  string
	control []zinniatide.ControlVM
	members []*member
	ticket  zinniatide.TicketNumber
}

// member is one VM. Node is nil while it is down. Scenarios read it while
// others kill and start the VM.
type member struct {
	config node.Config
	node   atomic.Pointer[node.Node]
}

const readyTimeout = 20 * time.Second

// New starts a system and waits until it is ready: the first ticket is in
// force, and every VM knows all backend servers.
func New(o Options) (*Cluster, error) {
	folder, err := os.MkdirTemp("", "zinniabench-")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "make folder", "cluster")
	}
	c := &Cluster{Options: o, Network: network.New(o.LinkDelay), folder: folder}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := c.configure(); err != nil {
		return err
	}
	first := c.members[0].config
	if err := logkeeper.Init(journal.Disk{}, first.DataFolder, first.VM, c.control); err != nil {
		return zinniatide.WrapStep(err, "init", string(first.VM))
	}
	for i := range c.members {
		if err := c.Start(i); err != nil {
			return err
		}
	}
	zones := make(map[zinniatide.ZoneID]*zinniatide.StateSetting)
	for _, zone := range c.Options.Zones {
		zones[zone] = &zinniatide.StateSetting{State: zinniatide.StateIn}
	}
	if err := c.waitMembers(); err != nil {
		return err
	}
	if _, err := c.File(&zinniatide.Ticket{Services: c.Options.Services, AvailabilityZones: zones}); err != nil {
		return err
	}
	return c.startStandIns()
}

func (c *Cluster) configure() error {
	addresses, err := freeAddresses(2 * c.Options.Entries)
	if err != nil {
		return err
	}
	for i := range c.Options.Entries {
		cfg := node.Config{
			VM: zinniatide.VMID(fmt.Sprintf("e%d", i+1)), Zone: c.Options.Zones[i%len(c.Options.Zones)],
			Entry: true, Control: i < c.Options.Controls, Query: c.Options.Query,
			WithoutAdmission: c.Options.WithoutAdmission, WithoutQuarantine: c.Options.WithoutQuarantine,
			DataFolder: filepath.Join(c.folder, fmt.Sprintf("e%d", i+1)),
		}
		cfg.HTTPAddress, cfg.PeerAddress = addresses[2*i], addresses[2*i+1]
		cfg.Route = c.Network.Route(cfg.VM)
		if cfg.Control {
			c.control = append(c.control, zinniatide.ControlVM{VM: cfg.VM, PeerAddress: cfg.PeerAddress})
		}
		if err := os.Mkdir(cfg.DataFolder, 0o700); err != nil {
			return zinniatide.WrapStep(err, "make folder", string(cfg.VM))
		}
		c.members = append(c.members, &member{config: cfg})
	}
	for _, m := range c.members {
		m.config.ControlVMs = c.control
	}
	return nil
}

// Ports of VMs lie below those that the system gives to outgoing connections
// (32768 and above on Linux): one of these could take the port of a VM that is
// down, and the VM could not start again.
const (
	firstPort = 16_000
	lastPort  = 32_000
	maxPorts  = 1000 // tries
)

// freeAddresses returns loopback addresses with free ports. All are held open
// until the last is found, so that they differ.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range maxPorts {
		if len(addresses) == n {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort) //nolint:gosec // spreads runs over the ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return nil, fmt.Errorf("found %d of %d free ports from %d to %d", len(addresses), n, firstPort, lastPort)
}

func (c *Cluster) startStandIns() error {
	if c.Options.Layout == nil {
		return nil
	}
	var err error
	c.StandIns, err = provisioner.New(c.Options.Layout, c.Entries(), c.Options.Seed)
	if err != nil {
		return err
	}
	return c.Wait(func() bool {
		for _, m := range c.members {
			if n := m.node.Load(); n != nil && len(n.Catalog().Servers) < len(c.StandIns.Servers) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) waitMembers() error {
	return c.Wait(func() bool {
		for _, m := range c.members {
			if n := m.node.Load(); n != nil && (len(n.Configuration().Members) < len(c.members) || n.LeaseUntil() == 0) {
				return false
			}
		}
		return true
	})
}

// Wait waits until ready returns true, at most readyTimeout.
func (c *Cluster) Wait(ready func() bool) error {
	for end := time.Now().Add(readyTimeout); !ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the system was not ready in time")
		}
	}
	return nil
}

// Start starts VM i, or starts it again.
func (c *Cluster) Start(i int) error {
	m := c.members[i]
	n, err := node.New(m.config, clock.New(), prometheus.NewRegistry())
	if err != nil {
		return err
	}
	m.node.Store(n)
	return n.Start()
}

// Kill ends VM i as a crash does.
func (c *Cluster) Kill(i int) {
	if n := c.members[i].node.Swap(nil); n != nil {
		n.Kill()
	}
}

// Stop ends VM i by plan.
func (c *Cluster) Stop(ctx context.Context, i int) error {
	n := c.members[i].node.Load()
	if n == nil {
		return errors.New("the VM does not run")
	}
	defer c.members[i].node.Store(nil)
	return n.Stop(ctx)
}

// Node returns VM i, nil while it is down.
func (c *Cluster) Node(i int) *node.Node { return c.members[i].node.Load() }

// VM returns the id of VM i.
func (c *Cluster) VM(i int) zinniatide.VMID { return c.members[i].config.VM }

// Zone returns the zone of VM i.
func (c *Cluster) Zone(i int) zinniatide.ZoneID { return c.members[i].config.Zone }

// Entries returns the HTTP addresses of all entry VMs.
func (c *Cluster) Entries() []string {
	addresses := make([]string, len(c.members))
	for i, m := range c.members {
		addresses[i] = m.config.HTTPAddress
	}
	return addresses
}

// Operator returns the operators' interface of a running control VM.
func (c *Cluster) Operator() zinniatide.Operator {
	for _, m := range c.members {
		if n := m.node.Load(); n != nil && m.config.Control {
			return n.Operator()
		}
	}
	return nil
}

// Leader returns the number of the control VM that leads, -1 without one.
func (c *Cluster) Leader() int {
	for i, m := range c.members {
		if n := m.node.Load(); n != nil && n.Leading() {
			return i
		}
	}
	return -1
}

// NextTicket numbers a ticket and encodes it.
func (c *Cluster) NextTicket(t *zinniatide.Ticket) ([]byte, error) {
	c.ticket++
	t.Number = c.ticket
	raw, err := json.Marshal(t)
	return raw, zinniatide.WrapStep(err, "encode ticket", "operator")
}

// File files a ticket under the next number, and returns when it was accepted.
// It waits until the ticket is in force.
func (c *Cluster) File(t *zinniatide.Ticket) (time.Time, error) {
	raw, err := c.NextTicket(t)
	if err != nil {
		return time.Time{}, err
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		if _, err = c.Operator().FileTicket(raw, false, 2000); err == nil {
			break
		}
		if refusal := new(zinniatide.Refusal); !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeNoQuorum || time.Now().After(end) {
			return time.Time{}, err
		}
	}
	accepted := time.Now()
	return accepted, c.Wait(func() bool {
		status, err := c.Operator().TicketStatus(t.Number)
		return err == nil && status.InForce
	})
}

// Caller returns a caller in a zone.
func (c *Cluster) Caller(cfg loader.Config) *loader.Loader {
	cfg.Seeds = c.Entries()
	return loader.New(cfg)
}

// Close ends everything.
func (c *Cluster) Close() {
	if c.StandIns != nil {
		c.StandIns.Close()
	}
	for i := range c.members {
		c.Kill(i)
	}
	c.Network.Close()
	_ = os.RemoveAll(c.folder)
}

// Package cluster runs the VMs and emulated backend servers of a measurement
// in one process. They communicate over real loopback sockets.
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

// Options configures a measured cluster.
type Options struct {
	// EntryVMs is the number of entry VMs. They are named e1, e2, ... and
	// distributed over the zones.
	EntryVMs int
	// ControlVMs is the number of entry VMs, from e1 on, that are also control VMs.
	ControlVMs int
	Zones      []zinniatide.ZoneID
	// LinkDelay is added to each direction of the links between VMs.
	LinkDelay time.Duration
	// Services are configured by the first ticket.
	Services map[zinniatide.ServiceID]*zinniatide.ServiceSetting
	// Layout describes the emulated backend servers. If it is nil, none are started.
	Layout *provisioner.Layout
	Query  querier.Config
	Seed   uint64
	// WithoutAdmission and WithoutQuarantine disable the policy of that name in
	// baseline measurements.
	WithoutAdmission  bool
	WithoutQuarantine bool
}

// Cluster is a running set of VMs and emulated backend servers.
type Cluster struct {
	Options  Options
	Network  *network.Network
	Backends *provisioner.Provisioner

	dataDir    string
	controlVMs []zinniatide.ControlVM
	vms        []*vm
	lastTicket zinniatide.TicketNumber
}

// vm is one VM. Its node is nil while the VM is down. The pointer is atomic
// because one goroutine may read it while another kills or starts the VM.
type vm struct {
	config node.Config
	node   atomic.Pointer[node.Node]
}

const readyTimeout = 20 * time.Second

// New starts a cluster and waits until the first ticket is in force and every VM
// has all backend servers in its catalog.
func New(o Options) (*Cluster, error) {
	folder, err := os.MkdirTemp("", "zinniabench-")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "create folder", "cluster")
	}
	c := &Cluster{Options: o, Network: network.New(o.LinkDelay), dataDir: folder}
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
	first := c.vms[0].config
	if err := logkeeper.Init(journal.OSFileSystem{}, first.DataFolder, first.VM, c.controlVMs); err != nil {
		return zinniatide.WrapStep(err, "init", string(first.VM))
	}
	for i := range c.vms {
		if err := c.StartVM(i); err != nil {
			return err
		}
	}
	zones := make(map[zinniatide.ZoneID]*zinniatide.StateSetting)
	for _, zone := range c.Options.Zones {
		zones[zone] = &zinniatide.StateSetting{State: zinniatide.StateIn}
	}
	if err := c.waitForMembers(); err != nil {
		return err
	}
	if _, err := c.FileTicket(&zinniatide.Ticket{Services: c.Options.Services, AvailabilityZones: zones}); err != nil {
		return err
	}
	return c.startBackends()
}

func (c *Cluster) configure() error {
	addresses, err := freeAddresses(2 * c.Options.EntryVMs)
	if err != nil {
		return err
	}
	for i := range c.Options.EntryVMs {
		cfg := node.Config{
			VM: zinniatide.VMID(fmt.Sprintf("e%d", i+1)), Zone: c.Options.Zones[i%len(c.Options.Zones)],
			Entry: true, Control: i < c.Options.ControlVMs, Query: c.Options.Query,
			DisableAdmission: c.Options.WithoutAdmission, DisableQuarantine: c.Options.WithoutQuarantine,
			DataFolder: filepath.Join(c.dataDir, fmt.Sprintf("e%d", i+1)),
		}
		cfg.HTTPAddress, cfg.PeerAddress = addresses[2*i], addresses[2*i+1]
		cfg.DialAddress = c.Network.Route(cfg.VM)
		if cfg.Control {
			c.controlVMs = append(c.controlVMs, zinniatide.ControlVM{VM: cfg.VM, PeerAddress: cfg.PeerAddress})
		}
		if err := os.Mkdir(cfg.DataFolder, 0o700); err != nil {
			return zinniatide.WrapStep(err, "create folder", string(cfg.VM))
		}
		c.vms = append(c.vms, &vm{config: cfg})
	}
	for _, v := range c.vms {
		v.config.ControlVMs = c.controlVMs
	}
	return nil
}

// VMs listen below the ephemeral port range, which starts at 32768 on Linux.
// Otherwise, an outgoing connection could take the port of a VM that is down,
// and the VM could not be restarted.
const (
	firstPort    = 16_000
	lastPort     = 32_000
	maxPortTries = 1000
)

// freeAddresses returns n loopback addresses with free ports. It keeps all
// listeners open until the last port is found, so that no port is returned twice.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range maxPortTries {
		if len(addresses) == n {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort) //nolint:gosec // only avoids collisions with other runs
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return nil, fmt.Errorf("found only %d of %d free ports between %d and %d", len(addresses), n, firstPort, lastPort)
}

func (c *Cluster) startBackends() error {
	if c.Options.Layout == nil {
		return nil
	}
	var err error
	c.Backends, err = provisioner.New(c.Options.Layout, c.EntryAddresses(), c.Options.Seed)
	if err != nil {
		return err
	}
	return c.WaitUntil(func() bool {
		for _, v := range c.vms {
			if n := v.node.Load(); n != nil && len(n.Catalog().Servers) < len(c.Backends.Emulators) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) waitForMembers() error {
	return c.WaitUntil(func() bool {
		for _, v := range c.vms {
			if n := v.node.Load(); n != nil && (len(n.Configuration().Members) < len(c.vms) || n.LeaseUntil() == 0) {
				return false
			}
		}
		return true
	})
}

// WaitUntil polls ready until it returns true. It returns an error after
// readyTimeout.
func (c *Cluster) WaitUntil(ready func() bool) error {
	for end := time.Now().Add(readyTimeout); !ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the cluster was not ready within %s", readyTimeout)
		}
	}
	return nil
}

// StartVM starts or restarts VM i.
func (c *Cluster) StartVM(i int) error {
	v := c.vms[i]
	n, err := node.New(v.config, clock.New(), prometheus.NewRegistry())
	if err != nil {
		return err
	}
	v.node.Store(n)
	return n.Start()
}

// KillVM stops VM i abruptly, as a crash does.
func (c *Cluster) KillVM(i int) {
	if n := c.vms[i].node.Swap(nil); n != nil {
		n.Kill()
	}
}

// StopVM shuts VM i down gracefully.
func (c *Cluster) StopVM(ctx context.Context, i int) error {
	n := c.vms[i].node.Load()
	if n == nil {
		return errors.New("the VM is not running")
	}
	defer c.vms[i].node.Store(nil)
	return n.Stop(ctx)
}

// Node returns the node of VM i, or nil while the VM is down.
func (c *Cluster) Node(i int) *node.Node { return c.vms[i].node.Load() }

// VMID returns the ID of VM i.
func (c *Cluster) VMID(i int) zinniatide.VMID { return c.vms[i].config.VM }

// Zone returns the zone of VM i.
func (c *Cluster) Zone(i int) zinniatide.ZoneID { return c.vms[i].config.Zone }

// EntryAddresses returns the HTTP addresses of all entry VMs.
func (c *Cluster) EntryAddresses() []string {
	addresses := make([]string, len(c.vms))
	for i, v := range c.vms {
		addresses[i] = v.config.HTTPAddress
	}
	return addresses
}

// Operator returns the operator interface of a running control VM, or nil if
// none is running.
func (c *Cluster) Operator() zinniatide.Operator {
	for _, v := range c.vms {
		if n := v.node.Load(); n != nil && v.config.Control {
			return n.Operator()
		}
	}
	return nil
}

// Leader returns the index of the control VM that is the leader, or -1 if there
// is none.
func (c *Cluster) Leader() int {
	for i, v := range c.vms {
		if n := v.node.Load(); n != nil && n.IsLeader() {
			return i
		}
	}
	return -1
}

// leaderPollInterval is the time between two looks at the control VMs.
const leaderPollInterval = 20 * time.Millisecond

// AwaitLeader waits until a control VM is the leader and returns its index, or -1
// if there is none within timeout. On a busy machine the leader may be without
// processor time for longer than the election timeout, and steps down.
func (c *Cluster) AwaitLeader(timeout time.Duration) int {
	for end := time.Now().Add(timeout); ; time.Sleep(leaderPollInterval) {
		if leader := c.Leader(); leader >= 0 || time.Now().After(end) {
			return leader
		}
	}
}

// NextTicket assigns the next number to t and returns its JSON encoding.
func (c *Cluster) NextTicket(t *zinniatide.Ticket) ([]byte, error) {
	c.lastTicket++
	t.Number = c.lastTicket
	raw, err := json.Marshal(t)
	return raw, zinniatide.WrapStep(err, "encode ticket", "operator")
}

// FileTicket files t under the next number, waits until it is in force and
// returns the time of its acceptance.
func (c *Cluster) FileTicket(t *zinniatide.Ticket) (time.Time, error) {
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
	return accepted, c.WaitUntil(func() bool {
		status, err := c.Operator().TicketStatus(t.Number)
		return err == nil && status.InForce
	})
}

// NewCaller returns a caller that uses the entry VMs of the cluster.
func (c *Cluster) NewCaller(cfg loader.Config) *loader.Loader {
	cfg.Seeds = c.EntryAddresses()
	return loader.New(cfg)
}

// Close stops all VMs and backend servers and removes the data folder.
func (c *Cluster) Close() {
	if c.Backends != nil {
		c.Backends.Close()
	}
	for i := range c.vms {
		c.KillVM(i)
	}
	c.Network.Close()
	_ = os.RemoveAll(c.dataDir)
}

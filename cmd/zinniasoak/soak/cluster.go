package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// Ports of every process. The processes can share them because each has its
// own loopback address.
const (
	peerPort      = 17380
	callerPort    = 18104
	readyPort     = 18108
	controlPort   = 18106
	directoryPort = 18100
)

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 300 * time.Millisecond

// process is one VM of the system.
type process struct {
	name, ip, zone string
	control        bool
	dir            string // settings, data and log
	cluster        *cluster

	mu        sync.Mutex
	command   *exec.Cmd
	suspended bool // by SIGSTOP
	wipeData  bool // remove the data folder before the next start
	ending    bool // sent a signal that ends it
	// lastFault is the time of the last signal or exit.
	lastFault time.Time
}

// cluster is the set of processes of the system.
type cluster struct {
	binaryPath string
	network    string // first two octets of the addresses
	processes  []*process
	// processors are those that the processes may use; all if it is empty.
	processors []int
	closing    chan struct{}
	wg         sync.WaitGroup
	// onOwnExit is called for each process that ends without a signal.
	onOwnExit func(name string, err error)
}

var zones = []string{"a", "b", "c"}

// networkCount is the number of networks among which concurrent runs choose.
const networkCount = 200

// claimNetwork returns the first two octets of loopback addresses that no other run uses,
// and a listener that claims them until it is closed.
func claimNetwork() (network string, claim net.Listener, err error) {
	for i := range networkCount {
		network = fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%networkCount)
		if claim, err = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, peerPort)); err == nil {
			return network, claim, nil
		}
	}
	return "", nil, fmt.Errorf("claim loopback addresses: %w", err)
}

func newCluster(cfg *Config, dir, network string) *cluster {
	c := &cluster{binaryPath: cfg.BinaryPath, network: network, closing: make(chan struct{})}
	for i := range 3 {
		c.add(dir, fmt.Sprintf("control-%d", i), fmt.Sprintf("%s.1.%d", network, i+1), zones[i], true)
	}
	for i := range cfg.Relays {
		c.add(dir, fmt.Sprintf("relay-%d", i), fmt.Sprintf("%s.2.%d", network, i+1), zones[i%3], false)
	}
	return c
}

func (c *cluster) add(dir, name, ip, zone string, control bool) {
	c.processes = append(c.processes, &process{name: name, ip: ip, zone: zone, control: control, dir: filepath.Join(dir, name), cluster: c})
}

// controls returns the control processes.
func (c *cluster) controls() []*process { return c.processes[:3] }

// relays returns the relay processes.
func (c *cluster) relays() []*process { return c.processes[3:] }

// writeSettings writes the settings file of the process.
func (p *process) writeSettings(firstStart bool) error {
	m := &platform.Machine{
		Name: p.name, IP: p.ip, Zone: zinniatide.ZoneID(p.zone), Control: p.control, DataFolder: filepath.Join(p.dir, "data"), FirstStart: firstStart,
		PeerPort: peerPort, FrontPort: callerPort, ReadyPort: readyPort, ControlPort: controlPort, DirectoryPort: directoryPort,
	}
	for _, control := range p.cluster.controls() {
		m.Seeds = append(m.Seeds, control.ip)
	}
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "settings.toml"), []byte(platform.EncodeSettings(m)), 0o600)
}

// run restarts the process after each exit until the cluster is stopped.
func (p *process) run() {
	defer p.cluster.wg.Done()
	for {
		if err := p.runOnce(); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", p.name, err)
		}
		if p.writeSettings(false) != nil {
			return
		}
		select {
		case <-p.cluster.closing:
			return
		case <-time.After(restartDelay):
		}
	}
}

// runOnce starts the process and waits for its exit.
func (p *process) runOnce() error {
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // only the child process writes to it
	command := exec.Command(p.cluster.binaryPath, "platform")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(p.dir, "settings.toml"))
	command.Stdout, command.Stderr = log, log
	p.mu.Lock()
	err = startOn(p.cluster.processors, command)
	p.command, p.ending = command, false
	p.mu.Unlock()
	if err != nil {
		return err
	}
	waitErr := command.Wait() // injected faults end processes with an error status
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		p.cluster.onOwnExit(p.name, waitErr)
	}
	p.command, p.suspended = nil, false
	p.lastFault = time.Now()
	if p.wipeData {
		p.wipeData = false
		return os.RemoveAll(filepath.Join(p.dir, "data"))
	}
	return nil
}

// signal sends s to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(s) // fails if the process has just exited
	p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.suspended = s == syscall.SIGSTOP || p.suspended && s != syscall.SIGCONT
	p.lastFault = time.Now()
}

// loseDisk kills the process and has its data folder removed before the
// restart.
func (p *process) loseDisk() {
	p.mu.Lock()
	p.wipeData = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// start starts all processes.
func (c *cluster) start() error {
	for _, p := range c.processes {
		if err := p.writeSettings(true); err != nil {
			return err
		}
		c.wg.Add(1)
		go p.run()
	}
	return nil
}

// stop kills all processes and waits for their exit. It repeats the signal,
// since a process may just be restarting.
func (c *cluster) stop() {
	close(c.closing)
	exited := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(exited)
	}()
	for {
		for _, p := range c.processes {
			p.signal(syscall.SIGKILL)
		}
		select {
		case <-exited:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// lastFault returns the time of the last fault of any process, which is now
// while a process is suspended.
func (c *cluster) lastFault() time.Time {
	var last time.Time
	for _, p := range c.processes {
		p.mu.Lock()
		if p.lastFault.After(last) {
			last = p.lastFault
		}
		if p.suspended {
			last = time.Now()
		}
		p.mu.Unlock()
	}
	return last
}

package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	retired   bool // not started again
	// downUntil delays the next start.
	downUntil time.Time
	startedAt time.Time
	ending    bool // sent a signal that ends it
	// lastFault is the time of the last signal or exit.
	lastFault time.Time
}

// cluster is the set of processes of the system.
type cluster struct {
	binaryPath string
	network    string // first two octets of the addresses
	dir        string
	// mu guards processes, of which the first three are the control processes, retired,
	// the former control processes, and lastReplacement.
	mu              sync.Mutex
	processes       []*process
	retired         []*process
	lastReplacement time.Time
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
	c := &cluster{binaryPath: cfg.BinaryPath, network: network, dir: dir, closing: make(chan struct{})}
	for i := range 3 {
		c.processes = append(c.processes, c.newControl(i, zones[i]))
	}
	for i := range cfg.Relays {
		c.processes = append(c.processes, c.newProcess(fmt.Sprintf("relay-%d", i), fmt.Sprintf("%s.2.%d", network, i+1), zones[i%3], false))
	}
	return c
}

func (c *cluster) newProcess(name, ip, zone string, control bool) *process {
	return &process{name: name, ip: ip, zone: zone, control: control, dir: filepath.Join(c.dir, name), cluster: c}
}

// newControl returns the n-th control process.
func (c *cluster) newControl(n int, zone string) *process {
	return c.newProcess(fmt.Sprintf("control-%d", n), fmt.Sprintf("%s.1.%d", c.network, n+1), zone, true)
}

// all returns the processes, without those that were replaced.
func (c *cluster) all() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.processes)
}

// controls returns the control processes.
func (c *cluster) controls() []*process { return c.all()[:3] }

// relays returns the relay processes.
func (c *cluster) relays() []*process { return c.all()[3:] }

// replaceControl ends the i-th control process for good and starts one with an empty
// data folder at another address after gap. If silent is set, the address of the former
// one accepts connections and answers nothing.
func (c *cluster) replaceControl(i int, gap time.Duration, silent bool) error {
	old := c.controls()[i]
	old.retire(silent)
	c.touchControls()
	time.Sleep(gap)
	c.mu.Lock()
	c.retired = append(c.retired, old)
	next := c.newControl(2+len(c.retired), old.zone)
	c.processes[i] = next
	c.mu.Unlock()
	c.touchControls()
	return c.startProcess(next, false)
}

func (c *cluster) touchControls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReplacement = time.Now()
}

// retire ends the process for good, or suspends it if silent is set.
func (p *process) retire(silent bool) {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	if silent {
		p.signal(syscall.SIGSTOP)
		return
	}
	p.signal(syscall.SIGKILL)
}

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
		p.mu.Lock()
		retired, delay := p.retired, max(restartDelay, time.Until(p.downUntil))
		p.mu.Unlock()
		if retired {
			return
		}
		select {
		case <-p.cluster.closing:
			return
		case <-time.After(delay):
		}
		if p.writeSettings(false) != nil {
			return
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
	p.command, p.ending, p.startedAt = command, false, time.Now()
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

// reload tells the process that its settings have changed. That is not a fault.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(syscall.SIGHUP) // fails if the process has just exited
	}
}

// resumeRetired continues the former control processes that were suspended and returns
// them.
func (c *cluster) resumeRetired() []*process {
	c.mu.Lock()
	retired := slices.Clone(c.retired)
	c.mu.Unlock()
	return slices.DeleteFunc(retired, func(p *process) bool {
		p.mu.Lock()
		suspended := p.suspended
		p.mu.Unlock()
		if suspended {
			p.signal(syscall.SIGCONT)
		}
		return !suspended
	})
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
	for _, p := range c.all() {
		if err := c.startProcess(p, true); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startProcess(p *process, firstStart bool) error {
	if err := p.writeSettings(firstStart); err != nil {
		return err
	}
	c.wg.Add(1)
	go p.run()
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
		c.mu.Lock()
		processes := slices.Concat(c.processes, c.retired)
		c.mu.Unlock()
		for _, p := range processes {
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
	for _, p := range c.all() {
		if fault := p.latestFault(); fault.After(last) {
			last = fault
		}
	}
	return last
}

// latestFault returns the time of the last fault of the process, which is now while it
// is suspended.
func (p *process) latestFault() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended {
		return time.Now()
	}
	return p.lastFault
}

// calmSince reports whether the process has run without a fault since the given time.
func (p *process) calmSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.suspended && !p.ending && p.startedAt.Before(since) && p.lastFault.Before(since)
}

// controlsCalmSince reports whether all control processes have run without a fault and
// none was replaced since the given time.
func (c *cluster) controlsCalmSince(since time.Time) bool {
	c.mu.Lock()
	replaced := c.lastReplacement.After(since)
	c.mu.Unlock()
	return !replaced && !slices.ContainsFunc(c.controls(), func(p *process) bool { return !p.calmSince(since) })
}

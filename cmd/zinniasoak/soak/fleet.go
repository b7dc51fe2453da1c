package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// Ports of every process; each has a loopback address of its own.
const (
	peerPort      = 17380
	callerPort    = 18104
	readyPort     = 18108
	controlPort   = 18106
	directoryPort = 18100
)

// restartDelay is how long an ended process stays away.
const restartDelay = 300 * time.Millisecond

// process is one VM of the system.
type process struct {
	name, ip, zone string
	control        bool
	folder         string // settings, data and log
	fleet          *fleet

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool // SIGSTOP is in force
	wipe    bool // the data folder is removed before the next start
	// disturbed is when the last fault on the process ended.
	disturbed time.Time
}

// fleet is all processes of the system.
type fleet struct {
	program string
	network string // first two bytes of the addresses
	all     []*process
	closing chan struct{}
	done    sync.WaitGroup
}

var zones = []string{"a", "b", "c"}

func newFleet(c *Config, folder, network string) *fleet {
	f := &fleet{program: c.Program, network: network, closing: make(chan struct{})}
	for i := range 3 {
		f.add(folder, fmt.Sprintf("control-%d", i), fmt.Sprintf("%s.1.%d", network, i+1), zones[i], true)
	}
	for i := range c.Relays {
		f.add(folder, fmt.Sprintf("relay-%d", i), fmt.Sprintf("%s.2.%d", network, i+1), zones[i%3], false)
	}
	return f
}

func (f *fleet) add(folder, name, ip, zone string, control bool) {
	f.all = append(f.all, &process{name: name, ip: ip, zone: zone, control: control, folder: filepath.Join(folder, name), fleet: f})
}

// controls and relays list the processes of a role.
func (f *fleet) controls() []*process { return f.all[:3] }
func (f *fleet) relays() []*process   { return f.all[3:] }

// settings writes the settings file of the process.
func (p *process) settings(first bool) error {
	m := &platform.Machine{
		Name: p.name, IP: p.ip, Zone: zinniatide.ZoneID(p.zone), Control: p.control, DataFolder: filepath.Join(p.folder, "data"), FirstStart: first,
		PeerPort: peerPort, FrontPort: callerPort, ReadyPort: readyPort, ControlPort: controlPort, DirectoryPort: directoryPort,
	}
	for _, c := range p.fleet.controls() {
		m.Seeds = append(m.Seeds, c.ip)
	}
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.folder, "settings.toml"), []byte(platform.EncodeSettings(m)), 0o600)
}

// run keeps the process running until the fleet closes.
func (p *process) run() {
	defer p.fleet.done.Done()
	for {
		if err := p.once(); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", p.name, err)
		}
		if p.settings(false) != nil {
			return
		}
		select {
		case <-p.fleet.closing:
			return
		case <-time.After(restartDelay):
		}
	}
}

func (p *process) once() error {
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // only appended to
	command := exec.Command(p.fleet.program, "platform")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(p.folder, "settings.toml"))
	command.Stdout, command.Stderr = log, log
	p.mu.Lock()
	err = command.Start()
	p.command = command
	p.mu.Unlock()
	if err != nil {
		return err
	}
	_ = command.Wait() // killed and stopped processes are part of the run
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.stopped = nil, false
	p.disturbed = time.Now()
	if p.wipe {
		p.wipe = false
		return os.RemoveAll(filepath.Join(p.folder, "data"))
	}
	return nil
}

// signal sends s to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(s) // it may have ended just now
	p.stopped = s == syscall.SIGSTOP || p.stopped && s != syscall.SIGCONT
	p.disturbed = time.Now()
}

// loseDisk kills the process and empties its data folder.
func (p *process) loseDisk() {
	p.mu.Lock()
	p.wipe = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// start runs all processes.
func (f *fleet) start() error {
	for _, p := range f.all {
		if err := p.settings(true); err != nil {
			return err
		}
		f.done.Add(1)
		go p.run()
	}
	return nil
}

// stop ends all processes that it started.
func (f *fleet) stop() {
	close(f.closing)
	ended := make(chan struct{})
	go func() {
		f.done.Wait()
		close(ended)
	}()
	for {
		for _, p := range f.all {
			p.signal(syscall.SIGKILL)
		}
		select {
		case <-ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// lastDisturbed is the time of the last fault on any process.
func (f *fleet) lastDisturbed() time.Time {
	var last time.Time
	for _, p := range f.all {
		p.mu.Lock()
		if p.disturbed.After(last) {
			last = p.disturbed
		}
		if p.stopped {
			last = time.Now()
		}
		p.mu.Unlock()
	}
	return last
}

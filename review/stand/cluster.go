//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time in
// milliseconds since the start of the script.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		failSetup("create record: %v", err)
	}
	return &recorder{file: f, start: time.Now()}
}

func (r *recorder) ms(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d  %s\n", r.ms(time.Now()), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf("%7d  %s\n", r.ms(time.Now()), fmt.Sprintf(format, args...))
}

// setupError ends the script with exit code 2.
type setupError struct{ message string }

func failSetup(format string, args ...any) { panic(setupError{fmt.Sprintf(format, args...)}) }

// machine is one machine of the platform with one process of the system.
type machine struct {
	cluster   *cluster
	name      string
	class     string
	zone      string
	ip        string
	bootstrap bool
	command   *exec.Cmd
	done      chan struct{}
	logPath   string
}

// cluster is a small deployment on loopback addresses: one core machine in each
// zone, and fronts. The bounds are those of the deployment of 9 machines.
type cluster struct {
	rec                                        *recorder
	binary, root, dir                          string
	prefix                                     string
	internal, front, ready, control, directory int
	cores, fronts                              []*machine
	nextIP                                     int
	mu                                         sync.Mutex
	searchers                                  []*searcher
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const region = "region-1"

func newCluster(rec *recorder, fronts int) *cluster {
	root, err := os.Getwd()
	if err != nil {
		failSetup("working directory: %v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		failSetup("temporary folder: %v", err)
	}
	c := &cluster{rec: rec, root: root, dir: dir, binary: filepath.Join(root, "target", "zinniatide"), nextIP: 1}
	if _, err := os.Stat(c.binary); err != nil {
		failSetup("the program of the deploy file is not built: %v", err)
	}
	pid := os.Getpid()
	c.prefix = fmt.Sprintf("127.%d.%d.", 10+pid%200, pid/200%250)
	ports := c.freePorts(5)
	c.internal, c.front, c.ready, c.control, c.directory = ports[0], ports[1], ports[2], ports[3], ports[4]
	for i, zone := range zones {
		c.cores = append(c.cores, c.newMachine(fmt.Sprintf("core-%d", i+1), "core", zone))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, c.newMachine(fmt.Sprintf("front-%d", i+1), "front", zones[i%len(zones)]))
	}
	return c
}

func (c *cluster) newIP() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ip := fmt.Sprint(c.prefix, c.nextIP)
	c.nextIP++
	return ip
}

// freePorts returns ports that are free on the loopback addresses of the cluster.
func (c *cluster) freePorts(n int) []int {
	var ports []int
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", c.prefix+"1:0")
		if err != nil {
			failSetup("find a free port: %v", err)
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return ports
}

func (c *cluster) newMachine(name, class, zone string) *machine {
	return &machine{cluster: c, name: name, class: class, zone: zone, ip: c.newIP(), bootstrap: true}
}

func (c *cluster) machines() []*machine { return append(append([]*machine{}, c.cores...), c.fronts...) }

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file as DEPLOY.md describes it.
func (m *machine) settings() string {
	c := m.cluster
	var seeds []string
	for _, core := range c.cores {
		seeds = append(seeds, fmt.Sprintf("%q", core.addr(c.control)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nmachine_class = %q\nip = %q\nzone = %q\nregion = %q\n", m.name, m.class, m.ip, m.zone, region)
	fmt.Fprintf(&b, "internal_port_range = [%d,%d]\nseeds = [%s]\nbootstrap = %v\n", c.internal, c.internal, strings.Join(seeds, ","), m.bootstrap)
	b.WriteString("discovery = \"registry\"\nentry = \"directory\"\nbeat_interval_ms = 1200\nconfig_mode = \"highest\"\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\n")
	if m.class == "core" {
		fmt.Fprintf(&b, "role = \"control\"\nserves = [\"control\"]\nloss_counts = true\ndata_dir = %q\n", filepath.Join(c.dir, m.name))
	} else {
		b.WriteString("role = \"relay\"\nserves = [\"front\",\"directory\"]\nloss_counts = false\n")
	}
	b.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "%s = %q\n", zone, region)
	}
	b.WriteString("[listen]\n")
	if m.class == "core" {
		fmt.Fprintf(&b, "control = %q\n", m.addr(c.control))
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\ndirectory = %q\n", m.addr(c.front), m.addr(c.ready), m.addr(c.directory))
	}
	b.WriteString("[limits]\ncpu_share = 0.96\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 128\n")
	b.WriteString("[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\nack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n" +
		"grace_s = 6\nlost_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\nmax_skew_ms = 12000\nretry_ratio = 0.2\n" +
		"retry_window_s = 10\nretry_slack = 52\ncold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\nttl_max_s = 5\n")
	return b.String()
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() {
	c := m.cluster
	if err := os.MkdirAll(filepath.Join(c.dir, m.name), 0o755); err != nil {
		failSetup("data folder: %v", err)
	}
	file := filepath.Join(c.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		failSetup("settings: %v", err)
	}
	m.bootstrap = false
	m.logPath = filepath.Join(c.dir, m.name+".log")
	out, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		failSetup("log file: %v", err)
	}
	cmd := exec.Command(c.binary, "platform", "--metrics-port", "9464")
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ZINNIATIDE_NODE_FILE=" + file}
	if err := cmd.Start(); err != nil {
		failSetup("start %s: %v", m.name, err)
	}
	_ = out.Close()
	done := make(chan struct{})
	m.command, m.done = cmd, done
	go func() {
		err := cmd.Wait()
		c.rec.log("process of %s ended: %v", m.name, err)
		close(done)
	}()
	c.rec.log("process of %s started at %s", m.name, m.ip)
}

func (m *machine) signal(s syscall.Signal) {
	m.cluster.rec.say("%s gets signal %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

// stop stops the machine as the platform does: SIGTERM, and SIGKILL after grace_s.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.done
	}
}

const grace = 6 * time.Second

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, s := range c.searchers {
		s.close()
	}
	for _, m := range c.machines() {
		if m.command == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs are kept in", c.dir)
	}
}

// startAll starts all machines.
func (c *cluster) startAll() {
	for _, m := range c.machines() {
		m.start()
	}
}

var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// awaitReady waits until all fronts are ready.
func (c *cluster) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range c.fronts {
		for {
			r, err := httpClient.Get("http://" + m.addr(c.ready) + "/v1/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				failSetup("%s isn't ready after 20 s", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.rec.say("all fronts are ready")
}

// leader returns the core machine whose log says last that it leads.
func (c *cluster) leader() *machine {
	var leader *machine
	var latest time.Time
	for _, m := range c.cores {
		raw, err := os.ReadFile(m.logPath)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "became control leader") {
				if t := lineTime(line); leader == nil || t.After(latest) {
					leader, latest = m, t
				}
			}
		}
	}
	if leader == nil {
		failSetup("no leader is known")
	}
	return leader
}

//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Ports that are the same on all machines.
const (
	portFront     = 8104
	portReady     = 8108
	portControl   = 8106
	portDirectory = 8100
)

// machine is one process of the system on a loopback address of its own.
type machine struct {
	name, class, zone, ip string
	settings, data        string
	cluster               *cluster

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a deployment of the system with its stand-ins.
type cluster struct {
	rec       *record
	folder    string
	net       string // first two bytes after 127
	machines  []*machine
	searchers []*searcher
	version   int
	coldPerS  float64 // of all services
	closeOnce sync.Once
}

func newCluster(rec *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, folder: folder}
	for range 50 {
		c.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", c.net+".1:8106")
		if err == nil {
			_ = l.Close()
			return c, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func (c *cluster) add(name, class, zone string) *machine {
	m := &machine{name: name, class: class, zone: zone, cluster: c, ip: fmt.Sprintf("%s.%d", c.net, len(c.machines)+1),
		settings: filepath.Join(c.folder, name+".toml")}
	if class == "core" {
		m.data = filepath.Join(c.folder, "data-"+name)
		_ = os.MkdirAll(m.data, 0o755)
	}
	c.machines = append(c.machines, m)
	return m
}

func (c *cluster) ofClass(class string) []*machine {
	var out []*machine
	for _, m := range c.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}

// writeSettings writes the settings file of a machine, with the bounds of the site.
func (m *machine) writeSettings() error {
	var seeds []string
	for _, core := range m.cluster.ofClass("core") {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", core.ip, portControl)))
	}
	serves, listen, data, counts, cpu := `["front","directory"]`, fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\ndirectory = \"%s:%d\"\n",
		m.ip, portFront, m.ip, portReady, m.ip, portDirectory), "", "false", "0.4"
	if m.class == "core" {
		serves, listen, counts, cpu = `["control"]`, fmt.Sprintf("control = \"%s:%d\"\n", m.ip, portControl), "true", "0.96"
		data = fmt.Sprintf("data_dir = %q\n", m.data)
	}
	text := fmt.Sprintf(`node_name = %q
role = "r"
machine_class = %q
serves = %s
ip = %q
zone = %q
region = "nairobi"
internal_port_range = [7380,7395]
seeds = [%s]
bootstrap = true
loss_counts = %s
%sdiscovery = "registry"
entry = "directory"
beat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places"]
config_mode = "highest"
[zones]
nbo-a = "nairobi"
nbo-b = "nairobi"
nbo-c = "nairobi"
[listen]
%s[limits]
cpu_share = %s
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 128
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
lost_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
ttl_max_s = 5
`, m.name, m.class, serves, m.ip, m.zone, strings.Join(seeds, ","), counts, data, listen, cpu)
	return os.WriteFile(m.settings, []byte(text), 0o644)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.cluster.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/zinniatide", "platform", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIATIDE_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.cluster.rec.logf("machine %s starts", m.name)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		m.cluster.rec.logf("machine %s gets %v", m.name, s)
		_ = cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ready reports whether the platform's check of the machine gets a 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func (c *cluster) close() {
	c.closeOnce.Do(func() {
		for _, m := range c.machines {
			m.mu.Lock()
			cmd, done := m.cmd, m.done
			m.mu.Unlock()
			if cmd != nil {
				_ = cmd.Process.Signal(syscall.SIGCONT)
				_ = cmd.Process.Kill()
				<-done
			}
		}
		for _, s := range c.searchers {
			s.close()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(c.folder)
		}
	})
}

// call sends an order to a control address and returns the status, or 0.
func call(method, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// route is a route of the operator's configuration.
type route map[string]any

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(routes []route, limit time.Duration) error {
	c.version += 3
	names := map[string]bool{}
	var services []map[string]any
	for _, s := range c.searchers {
		if !names[s.service] {
			names[s.service] = true
			services = append(services, map[string]any{"name": s.service, "health_path": "/healthz", "max_conns": 25, "protocol": "h1",
				"tls": false, "cold_start_s": 3.0, "cold_per_s": c.coldPerS})
		}
	}
	body, err := json.Marshal(map[string]any{"version": c.version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		cores := c.ofClass("core")
		status, answer := call("POST", fmt.Sprintf("%s:%d", cores[i%len(cores)].ip, portControl), "/v1/config/put", body, time.Second)
		if status == 200 {
			c.rec.logf("configuration %d acknowledged", c.version)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration refused: %d %s", status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// waitFor polls until condition holds.
func waitFor(limit, step time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		time.Sleep(step)
	}
	return false
}

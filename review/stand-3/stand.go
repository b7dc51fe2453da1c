//go:build review3

package main

import (
	"bufio"
	"bytes"
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

// cannotRun is the panic value of a case that could not run.
type cannotRun string

// stand is one deployment with its record.
type stand struct {
	trouble bool
	start   time.Time
	folder  string
	prefix  string // first two bytes of all addresses
	nodes   []*node

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// node is one machine of the system.
type node struct {
	s                     *stand
	name, class, zone, ip string
	cmd                   *exec.Cmd
	exited                chan struct{}
	bootstrap             bool
	wanted                bool
}

const (
	portFront     = 8104
	portDirectory = 8105
	portControl   = 8106
	portReady     = 8108
	portServer    = 8080
)

func newStand(record string, trouble bool) (*stand, error) {
	folder, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stand{trouble: trouble, start: time.Now(), folder: folder, record: bufio.NewWriter(file), file: file}
	if s.prefix = freePrefix(); s.prefix == "" {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	return s, nil
}

// freePrefix returns the first two bytes of loopback addresses that nobody uses.
func freePrefix() string {
	for i := range 100 {
		prefix := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		free := true
		for _, address := range []string{prefix + ".1.1:7380", prefix + ".2.1:8104", prefix + ".9.1:8080"} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix
		}
	}
	return ""
}

func (s *stand) now() time.Duration { return time.Since(s.start) }

func (s *stand) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", s.now().Seconds(), fmt.Sprintf(format, args...))
}

func (s *stand) fail(format string, args ...any) {
	panic(cannotRun(fmt.Sprintf(format, args...)))
}

// close ends all processes and removes the temporary folder.
func (s *stand) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// deploy starts the machines: the core in three zones, and the fronts of the zones given.
func (s *stand) deploy(zones []string, frontZones []string) {
	if len(s.nodes) == 0 {
		for i, zone := range zones {
			s.nodes = append(s.nodes, &node{s: s, name: fmt.Sprintf("core-%s-%d", zone, i+1), class: "core", zone: zone, ip: fmt.Sprintf("%s.1.%d", s.prefix, i+1), bootstrap: true})
		}
		for i, zone := range frontZones {
			s.nodes = append(s.nodes, &node{s: s, name: fmt.Sprintf("front-%s-%d", zone, i+1), class: "front", zone: zone, ip: fmt.Sprintf("%s.2.%d", s.prefix, i+1), bootstrap: true})
		}
	}
	for _, n := range s.nodes {
		n.run()
	}
	for _, n := range s.nodes {
		n.bootstrap = false
	}
}

func (s *stand) class(class string) []*node {
	var out []*node
	for _, n := range s.nodes {
		if n.class == class {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) dir() string { return filepath.Join(n.s.folder, n.name) }

func (n *node) settings() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	serves, role := `"front", "directory"`, "relay"
	if n.class == "core" {
		serves, role = `"control"`, "control"
	}
	var seeds []string
	for _, c := range n.s.class("core") {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, portControl)))
	}
	p("node_name = %q", n.name)
	p("role = %q", role)
	p("machine_class = %q", n.class)
	p("serves = [%s]", serves)
	p("ip = %q", n.ip)
	p("zone = %q", n.zone)
	p("region = \"nairobi\"")
	p("internal_port_range = [7380, 7395]")
	p("seeds = [%s]", strings.Join(seeds, ", "))
	p("bootstrap = %v", n.bootstrap)
	p("loss_counts = %v", n.class == "core")
	p("discovery = \"registry\"\nentry = \"directory\"\nbeat_interval_ms = 1200")
	p("contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"scatter\", \"places\"]")
	p("config_mode = \"highest\"")
	if n.class == "core" {
		p("data_dir = %q", filepath.Join(n.dir(), "data"))
	}
	p("[zones]\nnbo-a = \"nairobi\"\nnbo-b = \"nairobi\"\nnbo-c = \"nairobi\"")
	p("[listen]")
	if n.class == "core" {
		p("control = \"%s:%d\"", n.ip, portControl)
	} else {
		p("front = \"%s:%d\"\nready = \"%s:%d\"\ndirectory = \"%s:%d\"", n.ip, portFront, n.ip, portReady, n.ip, portDirectory)
	}
	p("[limits]\ncores = 1\nlink_mbps = 1000.0")
	if n.class == "core" {
		p("cpu_share = 0.96\nmemory_mb = 280\nmax_fds = 4096\ndisk_mb = 128")
	} else {
		p("cpu_share = 0.4\nmemory_mb = 284\nmax_fds = 4100\ndisk_mb = 0")
	}
	p("[tolerate]\nmachines = 1\nzones = 1\nregions = 0")
	p("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\nack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_s = 6\nlost_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\nmax_skew_ms = 12000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 52\ncold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\nttl_max_s = 5")
	return b.String()
}

// run starts the process of the machine with the command of the deploy file.
func (n *node) run() {
	s := n.s
	data := filepath.Join(n.dir(), "data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		s.fail("%v", err)
	}
	path := filepath.Join(n.dir(), "settings.toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o644); err != nil {
		s.fail("%v", err)
	}
	output, err := os.OpenFile(filepath.Join(n.dir(), "output"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		s.fail("%v", err)
	}
	cmd := exec.Command("target/zinniatide", "platform", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIATIDE_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		s.fail("start %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.wanted = cmd, exited, true
	go func() {
		err := cmd.Wait()
		_ = output.Close()
		s.mu.Lock()
		wanted := n.wanted && n.cmd == cmd
		s.mu.Unlock()
		if wanted {
			s.log("process of %s ended by itself: %v", n.name, err)
		}
		close(exited)
	}()
	s.log("started %s at %s, bootstrap %v", n.name, n.ip, n.bootstrap)
}

func (n *node) signal(sig syscall.Signal) {
	n.s.log("signal %v to %s", sig, n.name)
	_ = n.cmd.Process.Signal(sig)
}

// kill ends the process and waits for it.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.s.mu.Lock()
	n.wanted = false
	n.s.mu.Unlock()
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
	n.cmd = nil
	n.s.log("ended %s", n.name)
}

func (n *node) wipe() {
	n.s.log("disk of %s is emptied", n.name)
	if err := os.RemoveAll(filepath.Join(n.dir(), "data")); err != nil {
		n.s.fail("%v", err)
	}
}

// control returns the addresses for operators and backend servers.
func (s *stand) control() []string {
	var out []string
	for _, n := range s.class("core") {
		out = append(out, fmt.Sprintf("%s:%d", n.ip, portControl))
	}
	return out
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, portFront) }

var httpClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// post sends a POST once. The status is 0 without an answer within a second.
func post(address, path string, body []byte) (int, []byte) {
	r, err := httpClient.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	b := new(bytes.Buffer)
	if _, err := b.ReadFrom(r.Body); err != nil {
		return 0, nil
	}
	return r.StatusCode, b.Bytes()
}

func get(address, path string) (int, []byte) {
	r, err := httpClient.Get("http://" + address + path)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	b := new(bytes.Buffer)
	if _, err := b.ReadFrom(r.Body); err != nil {
		return 0, nil
	}
	return r.StatusCode, b.Bytes()
}

// order sends an order of the operator until it is acknowledged, to one control address
// after the other, and reports whether it was in time.
func (s *stand) order(path string, body []byte, limit time.Duration) bool {
	addresses := s.control()
	end, wait := time.Now().Add(limit), 50*time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		address := addresses[i%len(addresses)]
		status, answer := post(address, path, body)
		if status >= 200 && status < 300 {
			s.log("operator: %s acknowledged by %s", path, address)
			return true
		}
		s.log("operator: %s answered %d by %s: %.120s", path, status, address, answer)
		if status == 400 || status == 409 || status == 413 || status == 422 {
			return false
		}
		time.Sleep(wait)
		wait = min(2*wait, time.Second)
	}
	return false
}

// put sends a configuration until it is acknowledged.
func (s *stand) put(c *configuration, limit time.Duration) bool {
	body := c.encode()
	s.log("operator: sends configuration %d", c.Version)
	return s.order("/v1/config/put", body, limit)
}

// awaitReady waits until all fronts are ready.
func (s *stand) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range s.class("front") {
		for {
			if status, _ := get(fmt.Sprintf("%s:%d", n.ip, portReady), "/v1/ready"); status == 200 {
				break
			}
			if time.Now().After(end) {
				s.fail("%s is not ready in time", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.log("all fronts are ready")
}

// until waits until the given time of the case.
func (s *stand) until(at time.Duration) { time.Sleep(at - s.now()) }

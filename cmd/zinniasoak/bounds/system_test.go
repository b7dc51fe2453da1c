package bounds

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// Ports of the processes. Each process has its own loopback address.
const (
	peerPort      = 17380
	callerPort    = 18104
	readyPort     = 18108
	controlPort   = 18106
	directoryPort = 18100
)

// Limits in the settings of the processes, and of callers in the configuration.
const (
	memoryMB     = 96
	maxFDs       = 600
	maxBodyBytes = 262_144
)

const (
	host = "bounds.example"
	// largeAnswer is the size in bytes of answers that crowds do not read.
	largeAnswer = 200_000
	// answerLimit bounds the attempts at the ordinary request. It only ends a run that
	// would fail.
	answerLimit = 30 * time.Second
)

// vm is one process of the system.
type vm struct {
	ip      string
	command *exec.Cmd
	exited  chan struct{}
	logPath string
}

// system is a control VM, a relay VM and a backend server.
type system struct {
	t              *testing.T
	control, relay *vm
	backend        *httptest.Server
}

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "zinniatide")
	if out, err := exec.Command("go", "build", "-o", binary, "zinniatide.example/zinniatide/cmd/zinniatide").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// startSystem starts the processes and waits until the ordinary request is answered.
func startSystem(t *testing.T, binary string) *system {
	t.Helper()
	network := fmt.Sprintf("127.%d.%d", 230+os.Getpid()%20, os.Getpid()/20%250)
	s := &system{t: t}
	s.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // ends when the relay leaves
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderServerStamp, "plain")
		if strings.HasSuffix(r.URL.Path, "/large") {
			_, _ = w.Write(bytes.Repeat([]byte("x"), largeAnswer))
			return
		}
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(s.backend.Close)
	s.control = startVM(t, binary, network+".1", network+".1", true)
	s.relay = startVM(t, binary, network+".2", network+".1", false)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go s.sendHeartbeats(stop, stopped)
	t.Cleanup(func() { close(stop); <-stopped })
	s.configure()
	if err := s.ask(s.relay, callerPort); err != nil {
		t.Fatalf("before the crowd: %v", err)
	}
	return s
}

func startVM(t *testing.T, binary, ip, seed string, control bool) *vm {
	t.Helper()
	dir := t.TempDir()
	settings := platform.EncodeSettings(&platform.Machine{
		Name: ip, IP: ip, Zone: "a", Control: control, DataFolder: filepath.Join(dir, "data"), FirstStart: true, Seeds: []string{seed},
		PeerPort: peerPort, FrontPort: callerPort, ReadyPort: readyPort, ControlPort: controlPort, DirectoryPort: directoryPort,
	})
	for old, replacement := range map[string]string{
		"memory_mb = 280\n": fmt.Sprintf("memory_mb = %d\nmax_fds = %d\n", memoryMB, maxFDs),
		"machines = 1\n":    "machines = 0\n",
	} {
		if !strings.Contains(settings, old) {
			t.Fatalf("settings have no %q:\n%s", old, settings)
		}
		settings = strings.Replace(settings, old, replacement, 1)
	}
	path := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &vm{ip: ip, exited: make(chan struct{}), logPath: filepath.Join(dir, "log")}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // only the child process writes to it
	p.command = exec.Command(binary, "platform")
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // the cleanup kills the process
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL) // fails if the process has exited
		<-p.exited
	})
	return p
}

func (s *system) sendHeartbeats(stop, stopped chan struct{}) {
	defer close(stopped)
	client := &http.Client{Timeout: time.Second}
	started := zinniatide.Millis(time.Now().UnixMilli())
	for sequence := uint64(1); ; sequence++ {
		raw, err := platform.EncodeHeartbeat(zinniatide.Enrollment{Service: "plain", Zone: "a", Address: s.backend.Listener.Addr().String(),
			Slots: 64, StartedAt: started, Sequence: sequence, State: zinniatide.StateIn})
		if err != nil {
			panic(err) // the heartbeat is constant except for its numbers
		}
		if resp, err := client.Post(fmt.Sprintf("http://%s:%d%s", s.control.ip, controlPort, platform.HeartbeatPath("i-1")), "application/json", bytes.NewReader(raw)); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
	}
}

// configure sends the configuration until it is acknowledged.
func (s *system) configure() {
	s.t.Helper()
	raw, err := platform.EncodeRouting(1, &zinniatide.Routing{
		Services: []zinniatide.RelayService{{Service: "plain", HealthPath: "/healthz", MaxConnections: 40}},
		Limits:   zinniatide.CallerLimits{MaxHeaderBytes: 16_384, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 3000, IdleTimeout: 15_000},
		Routes: []zinniatide.Route{{ID: "plain", Host: host, PathPrefix: "/p/", Idempotent: true, Timeout: 5000, TargetLatency: 200, MaxAttempts: 2,
			Targets: []zinniatide.WeightedService{{Service: "plain", Weight: 1}}}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.retry("configure", func() error {
		resp, err := (&http.Client{Timeout: 2 * time.Second}).Post(fmt.Sprintf("http://%s:%d%s", s.control.ip, controlPort, platform.PathConfigPut), "application/json", bytes.NewReader(raw))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		return checkStatus(resp)
	})
}

func checkStatus(resp *http.Response) error {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", resp.StatusCode)
	}
	return nil
}

func (s *system) retry(what string, f func() error) {
	s.t.Helper()
	var err error
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	s.t.Fatalf("%s: %v", what, err)
}

// ask sends the ordinary request of a port until it is answered with 200. The link port
// serves none, so that the callers' address or the control address is asked.
func (s *system) ask(p *vm, port int) error {
	path := map[int]string{
		callerPort: "/p/ordinary", readyPort: "/v1/ready", directoryPort: platform.ResolvePath(host, "a"), controlPort: platform.PathConfigGet,
	}[port]
	if path == "" {
		port, path = callerPort, "/p/ordinary"
		if p == s.control {
			port, path = controlPort, platform.PathConfigGet
		}
	}
	var err error
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		var req *http.Request
		if req, err = http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", p.ip, port, path), nil); err != nil {
			return err
		}
		req.Host = host
		req.Header.Set(platform.HeaderRequestID, fmt.Sprint("r", time.Now().UnixNano()))
		req.Header.Set(platform.HeaderDeadline, "4000")
		var resp *http.Response
		if resp, err = client.Do(req); err != nil {
			continue
		}
		err = checkStatus(resp)
		_ = resp.Body.Close()
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("ordinary request to port %d: %w", port, err)
}

func (p *vm) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// usage is what a process holds.
type usage struct {
	residentBytes, kernelBytes int64
	descriptors                int
}

// measure reads the resident memory and the descriptors of the process, and the bytes in
// the queues of the sockets at its address, which no other process has.
func (p *vm) measure() (usage, error) {
	proc := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	var u usage
	status, err := os.ReadFile(proc + "/status")
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return u, fmt.Errorf("no VmRSS in %s/status", proc)
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return u, err
	}
	u.residentBytes = kb << 10
	entries, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return u, err
	}
	u.descriptors = len(entries)
	u.kernelBytes, err = queuedBytes(p.ip)
	return u, err
}

// queuedBytes returns the bytes in the send and receive queues of the connections whose
// local address is ip.
func queuedBytes(ip string) (int64, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	address := net.ParseIP(ip).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{address[3], address[2], address[1], address[0]})) + ":"
	total := int64(0)
	for line := range strings.SplitSeq(string(table), "\n") {
		fields := strings.Fields(line)
		const listening = "0A"
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		var sent, received int64
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &sent, &received); err != nil {
			return 0, err
		}
		total += sent + received
	}
	return total, nil
}

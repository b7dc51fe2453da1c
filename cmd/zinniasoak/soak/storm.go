package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// StormConfig configures a run with storms of configuration changes.
type StormConfig struct {
	Config
	// Processors are the processors of the system's processes and of the busy
	// loops. An empty list leaves the choice to the operating system.
	Processors []int
	// BusyLoops is the number of processes that compete for Processors.
	BusyLoops int
	// MaxElections is the number of elections above which the run fails. A
	// negative number disables the check.
	MaxElections int
	// Signal is sent to one control process in each third storm: SIGKILL, or SIGSTOP,
	// which is followed by SIGCONT after freezeDuration. 0 sends none.
	Signal syscall.Signal
}

const (
	stormRoutes = 700 // routes that no change touches
	// stormSize changes stormGap apart are sent each stormInterval, with at most
	// maxOpenChanges unacknowledged at a time.
	stormSize      = 25
	stormGap       = 60 * time.Millisecond
	stormInterval  = 2300 * time.Millisecond
	maxOpenChanges = 8
	// probeRoutes is the number of versions for which the route that a version adds
	// is kept. It exceeds the versions sent within applyTimeout.
	probeRoutes = 100
	// applyTimeout is how long after an acknowledgement requests may be handled as an
	// older version says.
	applyTimeout = 3 * time.Second
	// ackTimeout is how long a change may stay unacknowledged.
	ackTimeout = 5 * time.Second
	// stormRequestTimeout is how long the operator waits for an answer before it sends
	// the change again.
	stormRequestTimeout = time.Second
	changeRetryDelay    = 100 * time.Millisecond
	freezeDuration      = 1500 * time.Millisecond
	probeInterval       = 20 * time.Millisecond
	readInterval        = 200 * time.Millisecond
	probePath           = "/probe%d/"
)

// storm sends changes of the configuration and verifies which version is in force
// on each process.
type storm struct {
	h     *harness
	cfg   StormConfig
	stop  chan struct{}
	start time.Time // of the storms
	// judges reports whether a process must follow the configuration, if it has done so
	// since the given time. All must if it is nil.
	judges func(p *process, since time.Time) bool
	// The fields below are guarded by h.mu. acks lists the acknowledgements that
	// raised the acknowledged version, in order of time.
	acks       []acknowledgement
	lateAcks   int
	slowestAck time.Duration
	reads      map[string]int
	probes     map[string]int
}

type acknowledgement struct {
	at      time.Time
	version int
}

// RunStorm starts the system, sends storms of configuration changes and verifies
// that requests and reads follow what was acknowledged.
func RunStorm(cfg StormConfig) (summary string, err error) {
	h, err := cfg.startSystem(cfg.Processors)
	if err != nil {
		return "", err
	}
	defer func() { h.stopSystem(cfg.Dir == "" && err == nil) }()
	h.document = func(version int) []byte { return stormDocument(version, stormRoutes) }
	c := h.cluster
	s := &storm{h: h, cfg: cfg, stop: make(chan struct{}), reads: map[string]int{}, probes: map[string]int{}}
	for i := range plainServerCount {
		if err := h.addBackend("plain", zones[i%3]); err != nil {
			return "", err
		}
	}
	if err := s.run(); err != nil {
		return "", err
	}
	memory := peakMemory(c.controls())
	elections := countLines(c, "became control leader")
	if cfg.MaxElections >= 0 && elections > cfg.MaxElections {
		h.violate("LEADER: %d elections without a lost control VM, want at most %d", elections, cfg.MaxElections)
	}
	summary = fmt.Sprintf("storm seed %d: version %d, slowest acknowledgement %v, late %d, reads %v, probes %v, elections %d, peak memory of a control VM %d MB, violations %d",
		cfg.Seed, h.ackedVersion, s.slowestAck.Round(time.Millisecond), s.lateAcks, s.reads, s.probes, elections, memory>>10, len(h.violations))
	if len(h.violations) > 0 {
		return summary, fmt.Errorf("seed %d, logs in %s:\n%s", cfg.Seed, h.dir, strings.Join(h.violations, "\n"))
	}
	return summary, nil
}

// run sends the changes and verifies them until the storms are over.
func (s *storm) run() error {
	for first := time.Now(); !s.change(1, 0); {
		if time.Since(first) > startTimeout {
			return fmt.Errorf("no control process accepts the first configuration within %v", startTimeout)
		}
	}
	time.Sleep(applyTimeout)
	stopLoops, err := startBusyLoops(s.cfg.BusyLoops, s.cfg.Processors)
	if err != nil {
		return err
	}
	defer stopLoops()
	s.start = time.Now()
	var checks sync.WaitGroup
	check := func(f func()) {
		checks.Add(1)
		go func() {
			defer checks.Done()
			f()
		}()
	}
	for _, p := range s.h.cluster.relays() {
		check(func() { s.probe(p) })
	}
	for _, p := range s.h.cluster.controls() {
		check(func() { s.read(p) })
	}
	s.sendStorms()
	time.Sleep(2 * applyTimeout)
	close(s.stop)
	checks.Wait()
	stopLoops()
	for range 20 {
		if s.h.checkConfig() {
			return nil
		}
		time.Sleep(readInterval)
	}
	s.h.violate("CONFIG: the configuration cannot be read back")
	return nil
}

// sendStorms sends changes for the configured duration. Two operators take turns in
// sending, so changes reach the control processes out of order.
func (s *storm) sendStorms() {
	var open sync.WaitGroup
	slots := make(chan struct{}, maxOpenChanges)
	version := 1
	for storms, end := 0, time.Now().Add(s.cfg.FaultDuration); time.Now().Before(end); storms++ {
		next := time.Now().Add(stormInterval)
		if storms%3 == 2 {
			open.Add(1)
			go func() {
				defer open.Done()
				s.disturb(s.h.cluster.controls()[storms/3%3])
			}()
		}
		for range stormSize {
			select {
			case slots <- struct{}{}:
			case <-time.After(stormGap):
				continue // the operators have too many open changes
			}
			version++
			open.Add(1)
			go func(version int) {
				defer open.Done()
				s.sendUntilAcknowledged(version)
				<-slots
			}(version)
			time.Sleep(stormGap)
		}
		time.Sleep(time.Until(next))
	}
	open.Wait()
}

// disturb sends the configured signal to a process in the middle of a storm.
func (s *storm) disturb(p *process) {
	if s.cfg.Signal == 0 {
		return
	}
	time.Sleep(stormSize / 2 * stormGap)
	p.signal(s.cfg.Signal)
	if s.cfg.Signal == syscall.SIGSTOP {
		time.Sleep(freezeDuration)
		p.signal(syscall.SIGCONT)
	}
}

func (s *storm) sendUntilAcknowledged(version int) {
	sentAt := time.Now()
	for attempt := 0; !s.change(version, attempt); attempt++ {
		if time.Since(sentAt) > 10*ackTimeout {
			s.h.violate("CONFIG: version %d was not acknowledged within %v", version, 10*ackTimeout)
			return
		}
		time.Sleep(changeRetryDelay)
	}
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	took := time.Since(sentAt)
	s.slowestAck = max(s.slowestAck, took)
	if took > ackTimeout {
		s.lateAcks++
	}
}

// change sends a version once and reports whether it was acknowledged.
func (s *storm) change(version, attempt int) bool {
	s.h.mu.Lock()
	s.h.sentVersion = max(s.h.sentVersion, version)
	s.h.mu.Unlock()
	controls := s.h.cluster.controls()
	client := &http.Client{Timeout: stormRequestTimeout}
	resp, err := client.Post(fmt.Sprintf("http://%s:%d%s", controls[(version+attempt)%len(controls)].ip, controlPort, platform.PathConfigPut),
		"application/json", bytes.NewReader(s.h.document(version)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode < http.StatusInternalServerError {
			s.h.violate("CONFIG: valid configuration version %d was answered with status %d", version, resp.StatusCode)
		}
		return false
	}
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	if version > s.h.ackedVersion {
		s.h.ackedVersion, s.h.ackedAt = version, time.Now()
		s.acks = append(s.acks, acknowledgement{time.Now(), version})
	}
	return true
}

// ackedBefore returns the highest version acknowledged before t.
func (s *storm) ackedBefore(t time.Time) int {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	for i := len(s.acks) - 1; i >= 0; i-- {
		if s.acks[i].at.Before(t) {
			return s.acks[i].version
		}
	}
	return 0
}

// probe sends requests on routes that were recently added and dropped to one relay.
// Version v has the probe routes v-probeRoutes+1 to v.
func (s *storm) probe(p *process) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(probeInterval):
		}
		oldest := s.ackedBefore(time.Now().Add(-applyTimeout))
		if oldest == 0 {
			continue
		}
		route := oldest - s.h.randomIntN(5)
		if n%2 == 1 {
			route = oldest - probeRoutes - s.h.randomIntN(5)
		}
		if route < 1 {
			continue
		}
		sentAt := time.Now()
		status := s.sendProbe(client, p, route)
		if s.judges != nil && !s.judges(p, sentAt) {
			continue
		}
		s.h.mu.Lock()
		newest := s.h.sentVersion
		s.probes[fmt.Sprint(status)]++
		s.h.mu.Unlock()
		added, dropped := route <= oldest && route > newest-probeRoutes, route <= oldest-probeRoutes
		if added && status == http.StatusNotFound || dropped && status == http.StatusOK {
			s.h.violate("CONFIG: %s answered %d on route %d after %v, version %d was acknowledged %v before the request, newest sent is %d",
				p.name, status, route, time.Since(s.start).Round(time.Millisecond), oldest, applyTimeout, newest)
		}
	}
}

// sendProbe returns the status of the response, or 0 without one.
func (s *storm) sendProbe(client *http.Client, p *process, route int) int {
	s.h.mu.Lock()
	s.h.nextID++
	id := fmt.Sprintf("r%d", s.h.nextID)
	path := fmt.Sprintf(probePath, route) + id
	s.h.sent[id] = path
	s.h.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", p.ip, callerPort, path), http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = soakHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// read reads the configuration from one control process again and again.
func (s *storm) read(p *process) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(readInterval):
		}
		outcome := "no answer"
		if s.h.readConfig(p) {
			outcome = "ok"
		}
		s.h.mu.Lock()
		s.reads[outcome]++
		s.h.mu.Unlock()
	}
}

// stormDocument returns an encoded configuration with probe routes and a number of
// routes that no version changes.
func stormDocument(version, constantRoutes int) []byte {
	r := &zinniatide.Routing{
		Services: []zinniatide.RelayService{{Service: "plain", HealthPath: "/healthz", MaxConnections: 40}},
		Limits:   zinniatide.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, HeaderTimeout: 3000, IdleTimeout: 10_000},
	}
	add := func(id, prefix string) {
		r.Routes = append(r.Routes, zinniatide.Route{ID: zinniatide.RouteID(id), Host: soakHost, PathPrefix: prefix, Idempotent: true, Timeout: 1500,
			TargetLatency: 200, MaxAttempts: 2, Targets: []zinniatide.WeightedService{{Service: "plain", Weight: 1}}})
	}
	for i := range constantRoutes {
		add(fmt.Sprint("route-", i), fmt.Sprintf("/grown%d/", i))
	}
	for i := max(1, version-probeRoutes+1); i <= version; i++ {
		add(fmt.Sprint("probe-", i), fmt.Sprintf(probePath, i))
	}
	raw, err := platform.EncodeRouting(zinniatide.TicketNumber(version), r)
	if err != nil {
		panic(err) // the configuration is constant except for its probe routes
	}
	return raw
}

// startBusyLoops starts processes that use all the time of processors that they get,
// and returns a function that ends them.
func startBusyLoops(count int, processors []int) (stop func(), err error) {
	var loops []*exec.Cmd
	stop = func() {
		for _, loop := range loops {
			_ = loop.Process.Kill()
			_ = loop.Wait() // reports the signal
		}
		loops = nil
	}
	for range count {
		loop := exec.Command("sh", "-c", "while :; do :; done")
		if err := startOn(processors, loop); err != nil {
			stop()
			return nil, err
		}
		loops = append(loops, loop)
	}
	return stop, nil
}

// peakMemory returns the largest peak of the resident memory of the processes in KB.
func peakMemory(processes []*process) int {
	peak := 0
	for _, p := range processes {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		if command == nil || command.Process == nil {
			continue
		}
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
		if err != nil {
			continue // the process has just ended
		}
		for line := range strings.Lines(string(raw)) {
			kilobytes := 0
			if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
				peak = max(peak, kilobytes)
			}
		}
	}
	return peak
}

// countLines returns the number of log lines of the control processes that contain
// text.
func countLines(c *cluster, text string) int {
	n := 0
	for _, p := range c.controls() {
		raw, err := os.ReadFile(filepath.Join(p.dir, "log"))
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak: read log:", err)
			continue
		}
		n += bytes.Count(raw, []byte(text))
	}
	return n
}

// Package soak runs the system as separate processes under random faults and
// verifies its guarantees during the run.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config configures a run.
type Config struct {
	// Seed selects the faults and the load. Runs with the same seed still differ
	// in their timing.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	BinaryPath    string
	Relays        int
	// Dir is kept after the run. If it is empty, Run uses a temporary directory
	// and removes it after a run without violations.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed          uint64
	Outcomes      map[string]int // requests by status code or error
	Faults        map[string]int // chosen faults by kind, including those skipped
	ConfigVersion int            // last acknowledged
	SuccessRatio  float64        // of the requests after the faults
	Violations    []string
	Dir           string
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests %v, faults %v, configuration version %d, success ratio after the faults %.3f, violations %d",
		r.Seed, sum(r.Outcomes), r.Outcomes, r.Faults, r.ConfigVersion, r.SuccessRatio, len(r.Violations))
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

const (
	startTimeout = 10 * time.Second
	callerCount  = 9
	// recoveryTimeout is the time after the last fault within which the success
	// ratio must reach minSuccessRatio again.
	recoveryTimeout     = 12 * time.Second
	measurementDuration = 3 * time.Second
	minSuccessRatio     = 0.95
)

// Run starts the system, injects faults and verifies its guarantees. The error
// lists the seed and the violations.
func Run(cfg Config) (report *Report, err error) {
	h, err := cfg.startSystem(nil)
	if err != nil {
		return nil, err
	}
	defer func() { h.stopSystem(cfg.Dir == "" && err == nil) }()
	if err := h.startBackends(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(callerCount + 1)
	go func() {
		defer running.Done()
		h.runOperator(stop)
	}()
	time.Sleep(3 * time.Second) // for the first configuration and the first heartbeats
	for i := range callerCount {
		go func() {
			defer running.Done()
			h.runCaller(zones[i%3], stop)
		}()
	}
	badPeers := make(chan map[string]int)
	go func() {
		badPeers <- h.injectBadPeers(cfg.FaultDuration, rand.New(rand.NewPCG(cfg.Seed, 3))) //nolint:gosec // reproducible for each seed
	}()
	faults := h.injectFaults(cfg.FaultDuration, rand.New(rand.NewPCG(cfg.Seed, 2))) //nolint:gosec // reproducible for each seed
	maps.Copy(faults, <-badPeers)
	time.Sleep(recoveryTimeout)
	successRatio := h.measureSuccessRatio()
	close(stop)
	running.Wait()
	h.checkRecovery(successRatio)
	h.checkPartRuns(maxAttempts)
	report = &Report{Seed: cfg.Seed, Outcomes: h.outcomes, Faults: faults, ConfigVersion: h.ackedVersion, SuccessRatio: successRatio, Violations: h.violations, Dir: h.dir}
	if len(h.violations) > 0 {
		return report, fmt.Errorf("seed %d, logs in %s:\n%s", cfg.Seed, h.dir, strings.Join(h.violations, "\n"))
	}
	return report, nil
}

// startSystem starts the processes on the given processors, or on all, and waits until
// they listen. The caller must call stopSystem unless there is an error.
func (c *Config) startSystem(processors []int) (h *harness, err error) {
	dir, err := c.resolvePaths()
	if err != nil {
		return nil, err
	}
	network, claim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	h = newHarness(newCluster(c, dir, network), rand.New(rand.NewPCG(c.Seed, 1))) //nolint:gosec // reproducible for each seed
	h.dir, h.claim = dir, claim
	h.cluster.processors = processors
	h.cluster.onOwnExit = func(name string, err error) { h.violate("EXIT: %s ended by itself: %v", name, err) }
	if err = h.cluster.start(); err == nil {
		err = h.cluster.waitUntilListening(startTimeout)
	}
	if err != nil {
		h.stopSystem(false)
		return nil, err
	}
	return h, nil
}

// stopSystem ends the processes, and removes their folder if it is not needed any more.
func (h *harness) stopSystem(removeFolder bool) {
	h.cluster.stop()
	_ = h.claim.Close() // nothing is sent over it
	if removeFolder {
		_ = os.RemoveAll(h.dir) // a leftover folder is only untidy
	}
}

// resolvePaths makes the path of the binary absolute and returns the directory of the
// run, which it creates if none is set.
func (c *Config) resolvePaths() (dir string, err error) {
	if c.BinaryPath, err = filepath.Abs(c.BinaryPath); err != nil || c.Dir != "" {
		return c.Dir, err
	}
	return os.MkdirTemp("", "zinniasoak-")
}

// startBackends starts two servers of each shard in different zones, and the
// servers of the plain service.
func (h *harness) startBackends() error {
	for i := range shardCount {
		for j := range 2 {
			if err := h.addBackend(fmt.Sprintf("shard%d", i), zones[(i+j)%3]); err != nil {
				return err
			}
		}
	}
	for i := range plainServerCount {
		if err := h.addBackend("plain", zones[i%3]); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) addBackend(service, zone string) error {
	h.mu.Lock()
	h.nextID++
	n := h.nextID
	h.mu.Unlock()
	b, err := h.startBackend(service, zone, n)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.backends = append(h.backends, b)
	h.mu.Unlock()
	return nil
}

// measureSuccessRatio returns the share of requests answered with status 200
// during measurementDuration.
func (h *harness) measureSuccessRatio() float64 {
	h.mu.Lock()
	okBefore, allBefore := h.outcomes["200"], sum(h.outcomes)
	h.mu.Unlock()
	time.Sleep(measurementDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.outcomes["200"]-okBefore) / float64(max(sum(h.outcomes)-allBefore, 1))
}

// checkRecovery verifies that requests succeed and the configuration can be
// read after the faults.
func (h *harness) checkRecovery(successRatio float64) {
	if successRatio < minSuccessRatio {
		h.violate("RECOVER: success ratio is %.3f %v after the last fault", successRatio, recoveryTimeout)
	}
	read := false
	for range 20 {
		if read = h.checkConfig(); read {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !read {
		h.violate("CONFIG: the configuration cannot be read back")
	}
}

// injectFaults injects overlapping faults and returns how many of each kind were
// chosen. A few of them are skipped, such as a second disk loss too soon.
func (h *harness) injectFaults(duration time.Duration, random *rand.Rand) map[string]int {
	counts := map[string]int{}
	end := time.Now().Add(duration)
	var active sync.WaitGroup
	for time.Now().Before(end) {
		kind, inject := h.chooseFault(random)
		counts[kind]++
		faultDuration := time.Duration(300+random.IntN(2500)) * time.Millisecond
		active.Add(1)
		go func() {
			defer active.Done()
			inject(faultDuration)
		}()
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
	active.Wait()
	return counts
}

// chooseFault returns the kind of a random fault and a function that injects it
// for a given duration.
func (h *harness) chooseFault(random *rand.Rand) (string, func(time.Duration)) {
	h.mu.Lock()
	b := h.backends[random.IntN(len(h.backends))]
	h.mu.Unlock()
	p, control := h.cluster.all()[random.IntN(len(h.cluster.all()))], h.cluster.controls()[random.IntN(3)]
	// Each number keeps its fault, so that seeds keep their meaning: 0 and 1 kill,
	// 2 stop, 3 freeze, 4 hup, 5 delay, 6 silence, 7 reset, 8 lost answers, 9 slow,
	// 10 replace backend, 11 drain backend, 12 lost disk, 13 leave, 14 pause.
	switch random.IntN(15) {
	case 0, 1:
		return "kill", func(time.Duration) { p.signal(syscall.SIGKILL) }
	case 2:
		return "stop", func(time.Duration) { p.signal(syscall.SIGTERM) }
	case 3:
		return "freeze", func(d time.Duration) {
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		}
	case 12:
		return "lost disk", func(time.Duration) { h.loseDisk(control) }
	case 4:
		return "hup", func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 5:
		return "delay", func(d time.Duration) {
			h.applyFor(d, func() { b.proxy.delay.Store(int64(80 * time.Millisecond)) }, func() { b.proxy.delay.Store(0) })
		}
	case 6:
		return "silence", func(d time.Duration) {
			h.applyFor(d, func() { b.proxy.dropResponses.Store(true) }, func() { b.proxy.dropResponses.Store(false); b.proxy.resetConnections() })
		}
	case 7:
		return "reset", func(time.Duration) { b.proxy.resetConnections() }
	case 8:
		return "lost answers", func(d time.Duration) {
			h.applyFor(d, func() { b.lostResponses.Store(60) }, func() { b.lostResponses.Store(0) })
		}
	case 9:
		return "slow", func(d time.Duration) {
			h.applyFor(d, func() { b.extraLatency.Store(int64(120 * time.Millisecond)) }, func() { b.extraLatency.Store(0) })
		}
	case 13:
		return "leave", func(time.Duration) {
			b.leaving.Store(true)
			time.Sleep(leaveDuration)
			h.replaceBackend(b, 0, b.crash)
		}
	case 14:
		return "pause", func(d time.Duration) {
			h.applyFor(d, func() { b.pausing.Store(true) }, func() { b.pausing.Store(false) })
		}
	case 10:
		return "replace backend", func(d time.Duration) { h.replaceBackend(b, d, b.crash) }
	default:
		return "drain backend", func(time.Duration) { h.replaceBackend(b, 0, b.drain) }
	}
}

// diskRecoveryTime is how long a control VM may take to become a voter again
// after a disk loss. No other disk is lost in that time, because the system
// tolerates only one lost disk.
const diskRecoveryTime = 12 * time.Second

func (h *harness) loseDisk(p *process) {
	h.mu.Lock()
	recovering := time.Since(h.lastDiskLoss) < diskRecoveryTime
	if !recovering {
		h.lastDiskLoss = time.Now()
	}
	h.mu.Unlock()
	if !recovering {
		p.loseDisk()
	}
}

func (h *harness) applyFor(d time.Duration, begin, end func()) {
	begin()
	time.Sleep(d)
	end()
}

// replaceBackend shuts a server down and starts another of the same service and
// zone.
func (h *harness) replaceBackend(b *backend, delay time.Duration, shutdown func()) {
	h.mu.Lock()
	i := slices.Index(h.backends, b)
	if i >= 0 {
		h.backends = slices.Delete(h.backends, i, i+1)
	}
	h.mu.Unlock()
	if i < 0 {
		return // already replaced by another fault
	}
	shutdown()
	time.Sleep(delay)
	if err := h.addBackend(b.service, b.zone); err != nil {
		fmt.Fprintln(os.Stderr, "soak: failed to replace a backend server:", err)
	}
}

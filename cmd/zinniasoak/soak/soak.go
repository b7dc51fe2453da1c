// Package soak runs the system as processes under random faults and checks its
// promises while it runs.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config chooses a run.
type Config struct {
	// Seed chooses faults and load. Timing of the machine differs between runs.
	Seed uint64
	// Faults is how long faults are injected.
	Faults  time.Duration
	Program string
	Relays  int
	// Folder is kept; a temporary one is removed after a run without violation.
	Folder string
}

// Report tells what a run saw.
type Report struct {
	Seed       uint64
	Outcomes   map[string]int
	Faults     map[string]int
	Versions   int
	Healthy    float64 // share of requests served after the faults
	Violations []string
	Folder     string
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests %v, faults %v, %d configurations, served after the faults %.3f, violations %d",
		r.Seed, sum(r.Outcomes), r.Outcomes, r.Faults, r.Versions, r.Healthy, len(r.Violations))
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

const (
	startLimit = 10 * time.Second
	callers    = 9
	// recovery is the time after the last fault within which the system serves
	// again, and healthy the share of requests that it serves then.
	recovery   = 12 * time.Second
	measured   = 3 * time.Second
	leastServe = 0.95
)

// Run starts the system, injects faults, and checks. The error names the seed
// and the violations.
func Run(c Config) (report *Report, err error) {
	folder := c.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "zinniasoak-"); err != nil {
			return nil, err
		}
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return nil, err
	}
	c.Program = program
	random := rand.New(rand.NewPCG(c.Seed, 1)) //nolint:gosec // a fixed choice for each seed
	// Runs side by side use addresses of their own.
	f := newFleet(&c, folder, fmt.Sprintf("127.%d", 20+os.Getpid()%200))
	w := &world{fleet: f, random: random, asked: map[string]string{}, runs: map[string]int{}, notRun: map[string]bool{}, outcomes: map[string]int{}}
	defer f.stop()
	if err := f.start(); err != nil {
		return nil, err
	}
	if err := f.waitListening(startLimit); err != nil {
		return nil, err
	}
	if err := w.populate(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(callers + 1)
	go func() {
		defer running.Done()
		w.operate(stop)
	}()
	time.Sleep(3 * time.Second) // the first configuration and the heartbeats arrive
	for i := range callers {
		go func() {
			defer running.Done()
			w.caller(zones[i%3], stop)
		}()
	}
	faults := w.injectAll(c.Faults, rand.New(rand.NewPCG(c.Seed, 2))) //nolint:gosec // a fixed choice for each seed
	time.Sleep(recovery)
	healthy := w.measure()
	close(stop)
	running.Wait()
	w.finalChecks(healthy)
	report = &Report{Seed: c.Seed, Outcomes: w.outcomes, Faults: faults, Versions: w.acked, Healthy: healthy, Violations: w.violations, Folder: folder}
	if len(w.violations) > 0 {
		return report, fmt.Errorf("seed %d, logs in %s:\n%s", c.Seed, folder, strings.Join(w.violations, "\n"))
	}
	if c.Folder == "" {
		f2 := folder
		defer func() { _ = os.RemoveAll(f2) }()
	}
	return report, nil
}

// populate starts two servers of each shard in different zones, and the plain
// ones.
func (w *world) populate() error {
	for i := range shardCount {
		for j := range 2 {
			if err := w.addBackend(fmt.Sprintf("shard%d", i), zones[(i+j)%3]); err != nil {
				return err
			}
		}
	}
	for i := range plainCount {
		if err := w.addBackend("plain", zones[i%3]); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addBackend(service, zone string) error {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	b, err := w.startBackend(service, zone, n)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	return nil
}

// measure returns the share of requests that are served now.
func (w *world) measure() float64 {
	w.mu.Lock()
	before, all := w.outcomes["200"], sum(w.outcomes)
	w.mu.Unlock()
	time.Sleep(measured)
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.outcomes["200"]-before) / float64(max(sum(w.outcomes)-all, 1))
}

func (w *world) finalChecks(healthy float64) {
	if healthy < leastServe {
		w.violate("RECOVER: %.3f of the requests are served %v after the last fault", healthy, recovery)
	}
	read := false
	for range 20 {
		if read = w.checkConfig(); read {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !read {
		w.violate("CONFIG: the configuration cannot be read back")
	}
}

// injectAll runs overlapping faults for a time and returns how many of each.
func (w *world) injectAll(lasts time.Duration, random *rand.Rand) map[string]int {
	counts := map[string]int{}
	end := time.Now().Add(lasts)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		name, fault := w.draw(random)
		counts[name]++
		length := time.Duration(300+random.IntN(2500)) * time.Millisecond
		open.Add(1)
		go func() {
			defer open.Done()
			fault(length)
		}()
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
	open.Wait()
	return counts
}

// draw chooses a fault.
func (w *world) draw(random *rand.Rand) (string, func(time.Duration)) {
	w.mu.Lock()
	b := w.backends[random.IntN(len(w.backends))]
	w.mu.Unlock()
	p, control := w.fleet.all[random.IntN(len(w.fleet.all))], w.fleet.controls()[random.IntN(3)]
	switch random.IntN(13) {
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
		return "lost disk", func(time.Duration) { w.loseDisk(control) }
	case 4:
		return "hup", func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 5:
		return "delay", func(d time.Duration) {
			w.harm(d, func() { b.proxy.delay.Store(int64(80 * time.Millisecond)) }, func() { b.proxy.delay.Store(0) })
		}
	case 6:
		return "silence", func(d time.Duration) {
			w.harm(d, func() { b.proxy.silent.Store(true) }, func() { b.proxy.silent.Store(false); b.proxy.reset() })
		}
	case 7:
		return "reset", func(time.Duration) { b.proxy.reset() }
	case 8:
		return "lost answers", func(d time.Duration) {
			w.harm(d, func() { b.loseAnswers.Store(60) }, func() { b.loseAnswers.Store(0) })
		}
	case 9:
		return "slow", func(d time.Duration) {
			w.harm(d, func() { b.slow.Store(int64(120 * time.Millisecond)) }, func() { b.slow.Store(0) })
		}
	case 10:
		return "replace backend", func(d time.Duration) { w.replace(b, d, b.crash) }
	default:
		return "drain backend", func(time.Duration) { w.replace(b, 0, b.drain) }
	}
}

// repairTime is how long a control VM may take to become a voter again. No
// second disk is lost before: the system is built to bear one.
const repairTime = 12 * time.Second

func (w *world) loseDisk(p *process) {
	w.mu.Lock()
	soon := time.Since(w.wipedAt) < repairTime
	if !soon {
		w.wipedAt = time.Now()
	}
	w.mu.Unlock()
	if !soon {
		p.loseDisk()
	}
}

func (w *world) harm(d time.Duration, begin, end func()) {
	begin()
	time.Sleep(d)
	end()
}

// replace ends a server and starts another of its service.
func (w *world) replace(b *backend, after time.Duration, end func()) {
	w.mu.Lock()
	i := slices.Index(w.backends, b)
	if i >= 0 {
		w.backends = slices.Delete(w.backends, i, i+1)
	}
	w.mu.Unlock()
	if i < 0 {
		return // another fault has it
	}
	end()
	time.Sleep(after)
	if err := w.addBackend(b.service, b.zone); err != nil {
		fmt.Fprintln(os.Stderr, "soak: backend server not replaced:", err)
	}
}

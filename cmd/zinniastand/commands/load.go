package commands

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/provisioner"
)

// load sends searches and non-idempotent requests at a steady rate and checks
// every answer.
type load struct {
	command  *cobra.Command
	cfg      loader.Config
	zones    []string
	service  string
	searches int
	executes int
	rate     int
	counts   string
	seed     uint64
}

// loadResult is the JSON line that load prints.
type loadResult struct {
	Searches    int64   `json:"searches"`
	Executes    int64   `json:"executes"`
	Failed      int64   `json:"failed"`
	Incomplete  int64   `json:"incomplete"` // coverage below 1
	Wrong       int64   `json:"wrong"`      // answers that failed their checks
	NotRunOnce  int     `json:"not-run-once"`
	CoverageMin float64 `json:"coverage-min"`
	P50         float64 `json:"p50-ms"`
	P99         float64 `json:"p99-ms"`
	FirstError  string  `json:"first-error,omitempty"`
}

func newLoad() *load {
	l := &load{}
	l.command = &cobra.Command{
		Use: "load", Short: "Send requests at a steady rate and check every answer",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return l.run() },
	}
	flags := l.command.Flags()
	flags.StringSliceVar(&l.cfg.Seeds, "seeds", nil, "HTTP addresses of entry VMs to ask for addresses")
	flags.StringSliceVar(&l.zones, "zones", []string{""}, "zones of the callers, used in turn")
	flags.StringVar(&l.service, "service", "", "service to call")
	flags.IntVar(&l.searches, "searches", 500, "number of searches")
	flags.IntVar(&l.executes, "executes", 100, "number of non-idempotent requests")
	flags.IntVar(&l.rate, "rate", 50, "requests per second")
	flags.DurationVar(&l.cfg.Timeout, "timeout", 2*time.Second, "deadline of a request")
	flags.StringVar(&l.counts, "counts", "", "counts address of the stand-ins; checks that each non-idempotent request ran once")
	flags.Uint64Var(&l.seed, "seed", 1, "seed of the random choices")
	return l
}

// run sends the requests evenly spaced, whether or not earlier ones have ended.
func (l *load) run() error {
	l.cfg.Service, l.cfg.Tenant, l.cfg.Class = zinniatide.ServiceID(l.service), "counter", "interactive"
	callers := make([]*loader.Loader, len(l.zones))
	for i, zone := range l.zones {
		cfg := l.cfg
		cfg.Zone, cfg.Seed = zinniatide.ZoneID(zone), l.seed+uint64(i)
		callers[i] = loader.New(cfg)
	}
	m := newMeter()
	rng := rand.New(rand.NewPCG(l.seed, 3))
	total := l.searches + l.executes
	order := rng.Perm(total)
	ticker := time.NewTicker(time.Second / time.Duration(max(1, l.rate)))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for i, n := range order {
		<-ticker.C
		caller, key := callers[i%len(callers)], rng.Uint32N(zinniatide.KeySpace)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if n < l.searches {
				m.search(caller, fmt.Sprintf("s-%d-%d", l.seed, i))
			} else {
				m.execute(caller, fmt.Sprintf("order-%d-%08d", l.seed, i), key)
			}
		}()
	}
	wg.Wait()
	return l.report(m)
}

func (l *load) report(m *meter) error {
	result := m.result()
	if l.counts != "" {
		totals, err := fetchTotals(l.counts)
		if err != nil {
			return err
		}
		result.NotRunOnce = m.notRunOnce(totals)
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return zinniatide.WrapStep(err, "print result", "stdout")
	}
	if result.Failed+result.Incomplete+result.Wrong > 0 || result.NotRunOnce > 0 {
		return errors.New("not every request was answered completely and once")
	}
	return nil
}

func fetchTotals(address string) (provisioner.Totals, error) {
	var totals provisioner.Totals
	_, body, err := fasthttp.Get(nil, "http://"+address+"/counts")
	if err != nil {
		return totals, zinniatide.WrapStep(err, "fetch counts", address)
	}
	return totals, zinniatide.WrapStep(json.Unmarshal(body, &totals), "decode counts", address)
}

// meter collects the results of all requests.
type meter struct {
	searches, executes, failed, incomplete, wrong atomic.Int64

	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	coverageMin float64
	firstError  string
	executed    []string
}

func newMeter() *meter {
	return &meter{latency: hdrhistogram.New(1, 60_000_000, 3), coverageMin: 1}
}

func (m *meter) search(caller *loader.Loader, id string) {
	start := time.Now()
	answer, err := caller.Search(zinniatide.RequestID(id), id)
	m.searches.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latency.RecordValue(time.Since(start).Microseconds())
	if m.note(id, err) {
		return
	}
	m.coverageMin = min(m.coverageMin, answer.Coverage.Ratio)
	if answer.Coverage.ShardsAnswered < answer.Coverage.ShardsTotal {
		m.incomplete.Add(1)
	}
}

func (m *meter) execute(caller *loader.Loader, unique string, key uint32) {
	id := loader.NewExecuteID(time.Minute, unique)
	err := caller.Execute(id, key, unique)
	m.executes.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.note(string(id), err) {
		m.executed = append(m.executed, string(id))
	}
}

// note records an error and reports whether there was one. The lock is held.
func (m *meter) note(id string, err error) bool {
	if err == nil {
		return false
	}
	if errors.Is(err, loader.ErrMixed) || errors.Is(err, loader.ErrCoverage) || errors.Is(err, loader.ErrCrossed) {
		m.wrong.Add(1)
	} else {
		m.failed.Add(1)
	}
	if m.firstError == "" {
		m.firstError = id + ": " + err.Error()
	}
	return true
}

func (m *meter) notRunOnce(totals provisioner.Totals) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	wrong := 0
	for _, id := range m.executed {
		if totals.Executed[id] != 1 {
			wrong++
		}
	}
	for _, n := range totals.Executed {
		if n > 1 {
			wrong++
		}
	}
	return wrong
}

func (m *meter) result() loadResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	return loadResult{
		Searches: m.searches.Load(), Executes: m.executes.Load(), Failed: m.failed.Load(),
		Incomplete: m.incomplete.Load(), Wrong: m.wrong.Load(), CoverageMin: m.coverageMin,
		P50:        float64(m.latency.ValueAtQuantile(50)) / 1000,
		P99:        float64(m.latency.ValueAtQuantile(99)) / 1000,
		FirstError: m.firstError,
	}
}

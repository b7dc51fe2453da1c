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

// loadCommand sends searches and non-idempotent requests at a constant rate and
// verifies every answer.
type loadCommand struct {
	command       *cobra.Command
	cfg           loader.Config
	zones         []string
	service       string
	searches      int
	executes      int
	rate          int
	countsAddress string
	seed          uint64
}

// Workspace and class that the tickets of the demo define.
const (
	demoWorkspace = "counter"
	demoClass     = "interactive"
)

// loadResult is the JSON output of the load command.
type loadResult struct {
	Searches    int64   `json:"searches"`
	Executes    int64   `json:"executes"`
	Failed      int64   `json:"failed"`     // requests that failed, without those counted as wrong
	Incomplete  int64   `json:"incomplete"` // searches with coverage below 1
	Wrong       int64   `json:"wrong"`      // answers that failed verification
	NotRunOnce  int     `json:"not-run-once"`
	CoverageMin float64 `json:"coverage-min"`
	P50         float64 `json:"p50-ms"`
	P99         float64 `json:"p99-ms"`
	FirstError  string  `json:"first-error,omitempty"`
}

func newLoadCommand() *loadCommand {
	l := &loadCommand{}
	l.command = &cobra.Command{
		Use: "load", Short: "Send requests at a constant rate and verify every answer",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return l.run() },
	}
	flags := l.command.Flags()
	flags.StringSliceVar(&l.cfg.Seeds, "seeds", nil, "HTTP addresses of entry VMs to fetch the address list from")
	flags.StringSliceVar(&l.zones, "zones", []string{""}, "zones of the callers, used round-robin")
	flags.StringVar(&l.service, "service", "", "service to call")
	flags.IntVar(&l.searches, "searches", 500, "number of searches")
	flags.IntVar(&l.executes, "executes", 100, "number of non-idempotent requests")
	flags.IntVar(&l.rate, "rate", 50, "requests per second")
	flags.DurationVar(&l.cfg.Timeout, "timeout", 2*time.Second, "deadline of a request")
	flags.StringVar(&l.countsAddress, "counts", "", "counts address of the emulated backend servers; verifies that each non-idempotent request ran exactly once")
	flags.Uint64Var(&l.seed, "seed", 1, "seed of the random number generator")
	return l
}

// run sends the requests in an open loop: evenly spaced, without waiting for the
// answers of earlier ones.
func (l *loadCommand) run() error {
	l.cfg.Service, l.cfg.Workspace, l.cfg.Class = zinniatide.ServiceID(l.service), demoWorkspace, demoClass
	callers := make([]*loader.Loader, len(l.zones))
	for i, zone := range l.zones {
		cfg := l.cfg
		cfg.Zone, cfg.RandomSeed = zinniatide.ZoneID(zone), l.seed+uint64(i)
		callers[i] = loader.New(cfg)
	}
	results := newResultCollector()
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
				results.search(caller, fmt.Sprintf("s-%d-%d", l.seed, i))
			} else {
				results.execute(caller, fmt.Sprintf("order-%d-%08d", l.seed, i), key)
			}
		}()
	}
	wg.Wait()
	return l.report(results)
}

func (l *loadCommand) report(results *resultCollector) error {
	result := results.result()
	if l.countsAddress != "" {
		totals, err := fetchTotals(l.countsAddress)
		if err != nil {
			return err
		}
		result.NotRunOnce = results.countNotRunOnce(totals)
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return zinniatide.WrapStep(err, "print result", "stdout")
	}
	if result.Failed+result.Incomplete+result.Wrong > 0 || result.NotRunOnce > 0 {
		return errors.New("some requests failed, had incomplete or wrong answers, or did not run exactly once")
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

// resultCollector accumulates the results of all requests. It is safe for
// concurrent use.
type resultCollector struct {
	searches, executes, failed, incomplete, wrong atomic.Int64

	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	coverageMin float64
	firstError  string
	executed    []string
}

// maxLatencyMicros is the longest latency that the histogram records.
const maxLatencyMicros = 60_000_000 // one minute

func newResultCollector() *resultCollector {
	return &resultCollector{latency: hdrhistogram.New(1, maxLatencyMicros, 3), coverageMin: 1}
}

func (r *resultCollector) search(caller *loader.Loader, id string) {
	start := time.Now()
	answer, err := caller.Search(zinniatide.RequestID(id), id)
	r.searches.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latency.RecordValue(time.Since(start).Microseconds())
	if r.recordError(id, err) {
		return
	}
	r.coverageMin = min(r.coverageMin, answer.Coverage.Ratio)
	if answer.Coverage.ShardsAnswered < answer.Coverage.ShardsTotal {
		r.incomplete.Add(1)
	}
}

func (r *resultCollector) execute(caller *loader.Loader, unique string, key uint32) {
	id := loader.NewExpiringRequestID(time.Minute, unique)
	err := caller.Execute(id, key, unique)
	r.executes.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recordError(string(id), err) {
		r.executed = append(r.executed, string(id))
	}
}

// recordError counts err, if there is one, and reports whether there is. The
// caller must hold r.mu.
func (r *resultCollector) recordError(id string, err error) bool {
	if err == nil {
		return false
	}
	if errors.Is(err, loader.ErrMixedVersions) || errors.Is(err, loader.ErrWrongCoverage) || errors.Is(err, loader.ErrWrongRequest) {
		r.wrong.Add(1)
	} else {
		r.failed.Add(1)
	}
	if r.firstError == "" {
		r.firstError = id + ": " + err.Error()
	}
	return true
}

// countNotRunOnce returns the number of answered non-idempotent requests that
// did not run exactly once, plus the number of requests that ran more than once.
// An answered request that ran more than once counts twice.
func (r *resultCollector) countNotRunOnce(totals provisioner.Totals) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := 0
	for _, id := range r.executed {
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

func (r *resultCollector) result() loadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return loadResult{
		Searches: r.searches.Load(), Executes: r.executes.Load(), Failed: r.failed.Load(),
		Incomplete: r.incomplete.Load(), Wrong: r.wrong.Load(), CoverageMin: r.coverageMin,
		P50:        float64(r.latency.ValueAtQuantile(50)) / 1000,
		P99:        float64(r.latency.ValueAtQuantile(99)) / 1000,
		FirstError: r.firstError,
	}
}

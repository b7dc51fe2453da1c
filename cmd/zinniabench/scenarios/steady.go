package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/provisioner"
	"zinniatide.example/zinniatide/recorder"
)

// steady measures the processor time that the entry VMs spend on a sub-query,
// against a bare loop of the HTTP client over the same stand-ins. A script has
// started 8 entry VMs and the stand-ins as processes of their own.
var steady = Scenario{Name: "steady", Processes: true, Run: func(e *Env) error {
	if len(e.Pids) == 0 || len(e.Seeds) == 0 || e.Counts == "" {
		return errors.New("steady needs --pids, --seeds and --counts; make bench SCENARIO=steady gives them")
	}
	l := loader.New(loader.Config{
		Seeds: e.Seeds, Service: service, Tenant: "counter", Class: "interactive", Timeout: 2 * time.Second, Seed: e.Seed,
	})
	idle, err := e.idleShare()
	if err != nil {
		return err
	}
	recorder.Pace(steadyRate, 4*time.Second, func(i int) { _, _ = l.Search("warm-up", fmt.Sprint("warm-up-", i)) })
	before, err := e.snapshot()
	if err != nil {
		return err
	}
	r := recorder.New()
	recorder.Pace(steadyRate, steadyTime, func(i int) { r.Search(l, fmt.Sprint("steady-", i)) })
	after, err := e.snapshot()
	if err != nil {
		return err
	}
	if failed := r.Failed(); failed > 0 {
		return fmt.Errorf("%d of %d searches failed: %w", failed, r.Total(), r.FirstError())
	}
	time.Sleep(settleTime) // requests that were cancelled late give their slots back
	bare, err := bareLoop(after.totals)
	if err != nil {
		return err
	}
	subQueries := float64(after.totals.SubQueries - before.totals.SubQueries)
	return e.reportAll("steady", []metric{
		{"cpu-per-sub-query", "us", bare, float64((after.cpu - before.cpu).Microseconds()) / subQueries},
		{"idle-cpu", "%", none, idle},
		{"p99", "ms", none, r.Quantile(0.99)},
		{"p50", "ms", none, r.Quantile(0.5)},
		{"idle-memory-max", "MB", none, float64(before.memory) / (1 << 20)},
	})
}}

const (
	steadyRate = 60 // queries per second
	steadyTime = 12 * time.Second
	bareTime   = 5 * time.Second
	idleTime   = 4 * time.Second
)

// idleShare measures the processes without callers. It returns the processor
// time of one process on average, as a percentage of one core. The cost of a
// sub-query is reported with this share included.
func (e *Env) idleShare() (float64, error) {
	before, err := e.snapshot()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	time.Sleep(idleTime)
	elapsed := time.Since(start)
	after, err := e.snapshot()
	if err != nil {
		return 0, err
	}
	return 100 * float64(after.cpu-before.cpu) / float64(elapsed) / float64(len(e.Pids)), nil
}

// usage is the state of the measured processes.
type usage struct {
	cpu    time.Duration
	memory int64 // of the largest process, bytes
	totals provisioner.Totals
}

func (e *Env) snapshot() (usage, error) {
	var u usage
	for _, pid := range e.Pids {
		cpu, memory, err := processUsage(pid)
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.memory = max(u.memory, memory)
	}
	_, body, err := fasthttp.Get(nil, "http://"+e.Counts+"/counts")
	if err != nil {
		return u, zinniatide.WrapStep(err, "fetch counts", e.Counts)
	}
	return u, zinniatide.WrapStep(json.Unmarshal(body, &u.totals), "decode counts", e.Counts)
}

// processUsage reads the processor time and the resident memory of a process
// from /proc/PID/stat, fields 14, 15 and 24.
func processUsage(pid int) (time.Duration, int64, error) {
	const ticksPerSecond = 100 // fixed by the kernel's interface on Linux
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, zinniatide.WrapStep(err, "read processor time", strconv.Itoa(pid))
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest) // starts with field 3
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields)+2)
	}
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	pages, errPages := strconv.ParseInt(fields[21], 10, 64)
	cpu := time.Duration(user+system) * time.Second / ticksPerSecond
	return cpu, pages * int64(os.Getpagesize()), errors.Join(errUser, errSystem, errPages)
}

// bareLoop sends the same sub-queries with the HTTP client alone, one loop per
// server, and returns this process's processor time per request in µs.
func bareLoop(totals provisioner.Totals) (float64, error) {
	start, err := selfTime()
	if err != nil {
		return 0, err
	}
	var loops sync.WaitGroup
	var mu sync.Mutex
	requests, failure := 0, error(nil)
	for _, s := range totals.Servers {
		loops.Add(1)
		go func() {
			defer loops.Done()
			n, err := bareRequests(s)
			mu.Lock()
			defer mu.Unlock()
			requests += n
			failure = errors.Join(failure, err)
		}()
	}
	loops.Wait()
	end, err := selfTime()
	if failure = errors.Join(failure, err); failure != nil {
		return 0, failure
	}
	return float64((end - start).Microseconds()) / float64(requests), nil
}

func bareRequests(s provisioner.Server) (int, error) {
	client := &fasthttp.HostClient{Addr: s.Address}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	n := 0
	for end := time.Now().Add(bareTime); time.Now().Before(end); n++ {
		req.SetRequestURI("http://" + s.Address + "/v1/sub-query")
		req.Header.SetMethod(fasthttp.MethodPost)
		for name, value := range map[string]string{
			"x-request-id": "bare-" + strconv.Itoa(n), "x-service": string(service), "x-deadline-ms": "2000",
			"x-index-version": strconv.FormatUint(uint64(s.Searcher.Version), 10),
			"x-first-key":     strconv.FormatUint(uint64(s.Searcher.First), 10),
			"x-last-key":      strconv.FormatUint(uint64(s.Searcher.Last), 10),
		} {
			req.Header.Set(name, value)
		}
		req.SetBodyString(`{"text":"bare"}`)
		if err := client.Do(req, resp); err != nil {
			return n, zinniatide.WrapStep(err, "bare request", s.Address)
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return n, fmt.Errorf("bare request to %s: status %d", s.Address, resp.StatusCode())
		}
	}
	return n, nil
}

func selfTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, zinniatide.WrapStep(err, "read processor time", "self")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

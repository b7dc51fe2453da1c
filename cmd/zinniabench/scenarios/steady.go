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

// steady measures the CPU time of the entry VMs per sub-query. The baseline is
// the CPU time of a bare HTTP client that sends requests to the same backend
// servers. A script starts 8 entry VMs and the emulated backend servers as
// separate processes.
var steady = Scenario{Name: "steady", NeedsProcesses: true, Run: func(e *Env) error {
	if len(e.EntryPIDs) == 0 || len(e.EntryAddresses) == 0 || e.CountsAddress == "" {
		return errors.New("scenario steady requires --pids, --seeds and --counts; run it with make bench SCENARIO=steady")
	}
	l := loader.New(loader.Config{
		Seeds: e.EntryAddresses, Service: serviceID, Workspace: "counter", Class: "interactive", Timeout: 2 * time.Second, RandomSeed: e.Seed,
	})
	idle, err := e.idleCPUPercent()
	if err != nil {
		return err
	}
	recorder.RunOpenLoop(steadyRate, 4*time.Second, func(i int) { _, _ = l.Search("warm-up", fmt.Sprint("warm-up-", i)) })
	before, err := e.snapshot()
	if err != nil {
		return err
	}
	r := recorder.New()
	recorder.RunOpenLoop(steadyRate, steadyDuration, func(i int) { r.Search(l, fmt.Sprint("steady-", i)) })
	after, err := e.snapshot()
	if err != nil {
		return err
	}
	if failed := r.Failed(); failed > 0 {
		return fmt.Errorf("%d of %d searches failed: %w", failed, r.Total(), r.FirstError())
	}
	time.Sleep(settleDelay) // waits until cancelled requests have released their slots
	bare, err := bareLoop(after.totals)
	if err != nil {
		return err
	}
	subQueries := float64(after.totals.SubQueries - before.totals.SubQueries)
	return e.reportMetrics("steady", []metric{
		{"cpu-per-sub-query", "us", bare, float64((after.cpu - before.cpu).Microseconds()) / subQueries},
		{"idle-cpu", "%", noValue, idle},
		{"p99", "ms", noValue, r.Quantile(0.99)},
		{"p50", "ms", noValue, r.Quantile(0.5)},
		{"idle-memory-max", "MB", noValue, float64(before.memory) / (1 << 20)},
	})
}}

const (
	steadyRate     = 60 // queries per second
	steadyDuration = 12 * time.Second
	bareDuration   = 5 * time.Second
	idleDuration   = 4 * time.Second
)

// idleCPUPercent returns the mean CPU use of an entry VM without callers, as a
// percentage of one core. The reported cost of a sub-query includes it.
func (e *Env) idleCPUPercent() (float64, error) {
	before, err := e.snapshot()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	time.Sleep(idleDuration)
	elapsed := time.Since(start)
	after, err := e.snapshot()
	if err != nil {
		return 0, err
	}
	return 100 * float64(after.cpu-before.cpu) / float64(elapsed) / float64(len(e.EntryPIDs)), nil
}

// usage is the resource use of the measured entry VMs and the request counts of
// the backend servers.
type usage struct {
	cpu    time.Duration
	memory int64 // bytes, of the process with the most resident memory
	totals provisioner.Totals
}

func (e *Env) snapshot() (usage, error) {
	var u usage
	for _, pid := range e.EntryPIDs {
		cpu, memory, err := readProcessUsage(pid)
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.memory = max(u.memory, memory)
	}
	_, body, err := fasthttp.Get(nil, "http://"+e.CountsAddress+"/counts")
	if err != nil {
		return u, zinniatide.WrapStep(err, "fetch counts", e.CountsAddress)
	}
	return u, zinniatide.WrapStep(json.Unmarshal(body, &u.totals), "decode counts", e.CountsAddress)
}

// readProcessUsage returns the CPU time and the resident memory in bytes of a
// process. They are fields 14, 15 and 24 of /proc/PID/stat.
func readProcessUsage(pid int) (time.Duration, int64, error) {
	const ticksPerSecond = 100 // USER_HZ, which is constant in the Linux kernel ABI
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, zinniatide.WrapStep(err, "read CPU time", strconv.Itoa(pid))
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest) // begins with field 3
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("/proc/%d/stat has only %d fields", pid, len(fields)+2)
	}
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	pages, errPages := strconv.ParseInt(fields[21], 10, 64)
	cpu := time.Duration(user+system) * time.Second / ticksPerSecond
	return cpu, pages * int64(os.Getpagesize()), errors.Join(errUser, errSystem, errPages)
}

// bareLoop sends sub-queries with a bare HTTP client, in one goroutine per
// server, and returns the CPU time of this process per request in µs.
func bareLoop(totals provisioner.Totals) (float64, error) {
	start, err := ownCPUTime()
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
	end, err := ownCPUTime()
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
	for end := time.Now().Add(bareDuration); time.Now().Before(end); n++ {
		req.SetRequestURI("http://" + s.Address + "/v1/sub-query")
		req.Header.SetMethod(fasthttp.MethodPost)
		for name, value := range map[string]string{
			"x-request-id": "bare-" + strconv.Itoa(n), "x-service": string(serviceID), "x-deadline-ms": "2000",
			"x-index-version": strconv.FormatUint(uint64(s.Searcher.Version), 10),
			"x-first-key":     strconv.FormatUint(uint64(s.Searcher.First), 10),
			"x-last-key":      strconv.FormatUint(uint64(s.Searcher.End), 10),
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

func ownCPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, zinniatide.WrapStep(err, "read CPU time", "self")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

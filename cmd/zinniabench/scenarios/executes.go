package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

const (
	executeLifetime = time.Minute
	// executeAttempts and executePause bound how often and how soon a caller
	// sends an id again. Together they outlast the 4.4 s after which the buckets
	// of a lost VM have a new owner.
	executeAttempts = 12
	executePause    = 400 * time.Millisecond
	// settleTime is the wait after the last answer before the runs are counted.
	settleTime = 2 * time.Second
)

// execution is what callers learned about one request id.
type execution struct {
	id       zinniatide.RequestID
	done     bool
	unknown  bool // an attempt ended without a statement, or with unknown
	attempts int
}

// executions sends non-idempotent requests and compares the answers with the
// stand-ins' own count of runs. It is safe for concurrent use.
type executions struct {
	cluster  *cluster.Cluster
	caller   *loader.Loader
	prefix   string
	attempts int // of one id

	mu       sync.Mutex
	random   *rand.Rand
	requests []*execution
	inFlight map[string]int // attempts by address
}

func (e *Env) executions(c *cluster.Cluster, prefix string) *executions {
	return &executions{
		cluster: c, prefix: prefix, attempts: executeAttempts, random: rand.New(rand.NewPCG(e.Seed, 7)), inFlight: make(map[string]int),
		caller: c.Caller(loader.Config{
			Service: service, Tenant: "counter", Class: "interactive", Timeout: executeTimeout, Seed: e.Seed + 100,
		}),
	}
}

// open starts the record of request i.
func (x *executions) open(i int) *execution {
	r := &execution{id: loader.NewExecuteID(executeLifetime, fmt.Sprintf("%s-%08d", x.prefix, i))}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requests = append(x.requests, r)
	return r
}

// order returns all entry addresses in a random order.
func (x *executions) order() []string {
	addresses := x.cluster.Entries()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// attempt sends r to one address and records the outcome.
func (x *executions) attempt(r *execution, address string) (zinniatide.Outcome, error) {
	x.mu.Lock()
	x.inFlight[address]++
	x.mu.Unlock()
	err := x.caller.ExecuteAt(address, r.id, keyOf(r.id), string(r.id))
	outcome := outcomeOf(err)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.inFlight[address]--
	r.attempts++
	r.done = r.done || outcome == zinniatide.OutcomeDone
	r.unknown = r.unknown || outcome == zinniatide.OutcomeUnknown
	return outcome, err
}

// keyOf spreads ids over the key space.
func keyOf(id zinniatide.RequestID) uint32 {
	return uint32(zinniatide.BucketOf(zinniatide.BackendServerID(id))) * (zinniatide.KeySpace / zinniatide.BucketsPerZone)
}

// stated reports whether the query tier has answered with a refusal.
func stated(err error) bool {
	var refusal *loader.Refusal
	return errors.As(err, &refusal)
}

func outcomeOf(err error) zinniatide.Outcome {
	var refusal *loader.Refusal
	switch {
	case err == nil:
		return zinniatide.OutcomeDone
	case errors.As(err, &refusal) && refusal.Outcome != "":
		return refusal.Outcome
	case loader.Refused(err):
		return zinniatide.OutcomeNotRun
	}
	return zinniatide.OutcomeUnknown
}

// resend sends request i to one entry VM after the other until it is done.
// Callers with an even number stop at a stated not-run, so that the count of
// runs can refute it.
func (x *executions) resend(i int) {
	r := x.open(i)
	for range x.attempts {
		outcome, err := x.attempt(r, x.order()[0])
		if outcome == zinniatide.OutcomeDone || outcome == zinniatide.OutcomeNotRun && stated(err) && i%2 == 0 {
			return
		}
		time.Sleep(executePause)
	}
}

// sendTogether sends request i to n entry VMs at the same time, and then to
// others until it is done.
func (x *executions) sendTogether(i, n int) {
	r := x.open(i)
	var calls sync.WaitGroup
	for _, address := range x.order()[:n] {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_, _ = x.attempt(r, address)
		}()
	}
	calls.Wait()
	for range x.attempts {
		if x.isDone(r) {
			return
		}
		time.Sleep(executePause / 4)
		_, _ = x.attempt(r, x.order()[0])
	}
}

func (x *executions) isDone(r *execution) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return r.done
}

// running returns the number of open attempts at an address.
func (x *executions) running(address string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.inFlight[address]
}

// verdict is the comparison of all answers with the stand-ins' counts.
type verdict struct {
	requests, attempts, ran int
	doubled, falseNotRun    int
	unknown                 int // requests without any known outcome
}

// judge compares the answers with the runs that the stand-ins have counted.
func (x *executions) judge() (verdict, error) {
	time.Sleep(settleTime)
	x.mu.Lock()
	defer x.mu.Unlock()
	return compare(x.requests, x.cluster.StandIns.Totals().Executed)
}

// compare counts the differences between answers and runs. An answer done
// without a run is an error, because then the counts cannot be trusted or an
// answer was made up.
func compare(requests []*execution, runs map[string]int) (verdict, error) {
	v := verdict{requests: len(requests)}
	for _, r := range requests {
		n := runs[string(r.id)]
		if r.done && n == 0 {
			return v, fmt.Errorf("request %s was answered with done, but no server has run it", r.id)
		}
		v.attempts += r.attempts
		v.ran += min(n, 1)
		if n > 1 {
			v.doubled++
		}
		if n > 0 && !r.done && !r.unknown {
			v.falseNotRun++
		}
		if !r.done && r.unknown {
			v.unknown++
		}
	}
	return v, nil
}

func (v verdict) metrics(recordCost float64) []metric {
	return []metric{
		{"doubled", "count", none, float64(v.doubled)},
		{"false-not-run", "count", none, float64(v.falseNotRun)},
		{"unknown", "ratio", none, float64(v.unknown) / float64(v.requests)},
		{"record-cost", "ms", none, recordCost},
	}
}

const (
	costRate = 60 // requests per second of each kind
	costTime = 4 * time.Second
)

// recordCost returns the median latency of a non-idempotent request minus that
// of a search, in ms. The service has one shard, so that both are one
// sub-request, and both have a body that was not seen before.
func (x *executions) recordCost() (float64, error) {
	var mu sync.Mutex
	var executes []float64
	searches := recorder.New()
	var failure error
	recorder.Pace(2*costRate, costTime, func(i int) {
		if i%2 == 0 {
			searches.Search(x.caller, fmt.Sprintf("%s-cost-%d", x.prefix, i))
			return
		}
		id := loader.NewExecuteID(executeLifetime, fmt.Sprintf("%s-cost-%08d", x.prefix, i))
		start := time.Now()
		err := x.caller.Execute(id, 0, string(id))
		mu.Lock()
		defer mu.Unlock()
		executes, failure = append(executes, ms(time.Since(start))), errors.Join(failure, err)
	})
	if err := errors.Join(failure, searches.FirstError()); err != nil {
		return 0, fmt.Errorf("requests without faults failed: %w", err)
	}
	return quantile(executes, 0.5) - searches.Quantile(0.5), nil
}

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
	// executeAttempts limits the attempts per request ID, and executeRetryPause
	// separates them. Together they take longer than the 4.4 s until the buckets
	// of a lost VM have a new owner.
	executeAttempts   = 12
	executeRetryPause = 400 * time.Millisecond
	// settleDelay is the pause between the last answer and counting the runs.
	settleDelay = 2 * time.Second
)

// executeRecord is what callers know about one request ID.
type executeRecord struct {
	id       zinniatide.RequestID
	done     bool
	unknown  bool // an attempt had the outcome unknown, or ended without any outcome
	attempts int
}

// executeTracker sends non-idempotent requests and compares the answers with the
// runs that the emulated backend servers counted. It is safe for concurrent use.
type executeTracker struct {
	cluster     *cluster.Cluster
	caller      *loader.Loader
	prefix      string
	maxAttempts int // per request ID

	mu       sync.Mutex
	random   *rand.Rand
	requests []*executeRecord
	inFlight map[string]int // attempts by address
}

func (e *Env) newExecuteTracker(c *cluster.Cluster, prefix string) *executeTracker {
	return &executeTracker{
		cluster: c, prefix: prefix, maxAttempts: executeAttempts, random: rand.New(rand.NewPCG(e.Seed, 7)), inFlight: make(map[string]int),
		caller: c.NewCaller(loader.Config{
			Service: serviceID, Workspace: "counter", Class: "interactive", Timeout: executeTimeout, RandomSeed: e.Seed + 100,
		}),
	}
}

// track adds a record for request i.
func (tracker *executeTracker) track(i int) *executeRecord {
	r := &executeRecord{id: loader.NewExpiringRequestID(executeLifetime, fmt.Sprintf("%s-%08d", tracker.prefix, i))}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.requests = append(tracker.requests, r)
	return r
}

// shuffledAddresses returns all entry addresses in a random order.
func (tracker *executeTracker) shuffledAddresses() []string {
	addresses := tracker.cluster.EntryAddresses()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// attempt sends r to one address and records the outcome.
func (tracker *executeTracker) attempt(r *executeRecord, address string) (zinniatide.Outcome, error) {
	tracker.mu.Lock()
	tracker.inFlight[address]++
	tracker.mu.Unlock()
	err := tracker.caller.ExecuteAt(address, r.id, executeKey(r.id), string(r.id))
	outcome := outcomeOf(err)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.inFlight[address]--
	r.attempts++
	r.done = r.done || outcome == zinniatide.OutcomeDone
	r.unknown = r.unknown || outcome == zinniatide.OutcomeUnknown
	return outcome, err
}

// executeKey distributes request IDs over the key space.
func executeKey(id zinniatide.RequestID) uint32 {
	return uint32(zinniatide.BucketOf(zinniatide.BackendServerID(id))) * (zinniatide.KeySpace / zinniatide.BucketsPerZone)
}

// isRefusal reports whether the query tier answered with a refusal.
func isRefusal(err error) bool {
	var refusal *loader.Refusal
	return errors.As(err, &refusal)
}

// outcomeOf returns the outcome of a non-idempotent request. A request may have run
// unless the query tier or a refused connection excludes it.
func outcomeOf(err error) zinniatide.Outcome {
	var refusal *loader.Refusal
	switch {
	case err == nil:
		return zinniatide.OutcomeDone
	case errors.As(err, &refusal) && refusal.Outcome != "":
		return refusal.Outcome
	case loader.IsConnectionRefused(err):
		return zinniatide.OutcomeNotRun
	}
	return zinniatide.OutcomeUnknown
}

// sendUntilDone sends request i to one random entry VM after the other until it is
// done. For even i, it stops at a refusal with outcome not-run, because a false
// not-run cannot be detected once a retry has run the request.
func (tracker *executeTracker) sendUntilDone(i int) {
	r := tracker.track(i)
	for range tracker.maxAttempts {
		outcome, err := tracker.attempt(r, tracker.shuffledAddresses()[0])
		if outcome == zinniatide.OutcomeDone || outcome == zinniatide.OutcomeNotRun && isRefusal(err) && i%2 == 0 {
			return
		}
		time.Sleep(executeRetryPause)
	}
}

// sendConcurrently sends request i to n entry VMs at the same time, and then to
// others until it is done.
func (tracker *executeTracker) sendConcurrently(i, n int) {
	r := tracker.track(i)
	var calls sync.WaitGroup
	for _, address := range tracker.shuffledAddresses()[:n] {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_, _ = tracker.attempt(r, address)
		}()
	}
	calls.Wait()
	for range tracker.maxAttempts {
		if tracker.isDone(r) {
			return
		}
		time.Sleep(executeRetryPause / 4)
		_, _ = tracker.attempt(r, tracker.shuffledAddresses()[0])
	}
}

func (tracker *executeTracker) isDone(r *executeRecord) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return r.done
}

// inFlightAt returns the number of attempts in flight at an address.
func (tracker *executeTracker) inFlightAt(address string) int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.inFlight[address]
}

// executeSummary is the result of comparing all answers with the counted runs.
type executeSummary struct {
	requests, attempts, ran int
	doubled, falseNotRun    int
	unknown                 int // requests that may or may not have run
}

// summarize compares the answers with the runs counted by the emulated backend
// servers, settleDelay after the last answer.
func (tracker *executeTracker) summarize() (executeSummary, error) {
	time.Sleep(settleDelay)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return compareWithRuns(tracker.requests, tracker.cluster.Backends.Totals().Executed)
}

// compareWithRuns counts the differences between answers and runs. An answer done
// without a run is an error, because either the counts or the answers are wrong.
func compareWithRuns(requests []*executeRecord, runs map[string]int) (executeSummary, error) {
	v := executeSummary{requests: len(requests)}
	for _, r := range requests {
		n := runs[string(r.id)]
		if r.done && n == 0 {
			return v, fmt.Errorf("request %s has the outcome done, but no backend server ran it", r.id)
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

func (v executeSummary) metrics(recordCost float64) []metric {
	return []metric{
		{"doubled", "count", noValue, float64(v.doubled)},
		{"false-not-run", "count", noValue, float64(v.falseNotRun)},
		{"unknown", "ratio", noValue, float64(v.unknown) / float64(v.requests)},
		{"record-cost", "ms", noValue, recordCost},
	}
}

const (
	costRate     = 60 // requests per second of each kind
	costDuration = 4 * time.Second
)

// recordCost returns the median latency of non-idempotent requests minus that of
// searches, in ms. Both are comparable: with one shard, each needs one sub-request,
// and all bodies are unique.
func (tracker *executeTracker) recordCost() (float64, error) {
	var mu sync.Mutex
	var executes []float64
	searches := recorder.New()
	var failure error
	recorder.RunOpenLoop(2*costRate, costDuration, func(i int) {
		if i%2 == 0 {
			searches.Search(tracker.caller, fmt.Sprintf("%s-cost-%d", tracker.prefix, i))
			return
		}
		id := loader.NewExpiringRequestID(executeLifetime, fmt.Sprintf("%s-cost-%08d", tracker.prefix, i))
		start := time.Now()
		err := tracker.caller.Execute(id, 0, string(id))
		mu.Lock()
		defer mu.Unlock()
		executes, failure = append(executes, ms(time.Since(start))), errors.Join(failure, err)
	})
	if err := errors.Join(failure, searches.FirstError()); err != nil {
		return 0, fmt.Errorf("requests failed without injected faults: %w", err)
	}
	return quantile(executes, 0.5) - searches.Quantile(0.5), nil
}

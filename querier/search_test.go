package querier

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/admitter"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

// unreliableForwarder simulates servers that answer immediately, late or twice,
// from other goroutines or during DispatchAll, refuse, get lost or send malformed
// answers.
type unreliableForwarder struct {
	simulation *simulation
	mu         sync.Mutex
	rand       *rand.Rand
	group      sync.WaitGroup
	lease      zinniatide.Millis
}

func (u *unreliableForwarder) Configuration() *zinniatide.Configuration {
	return u.simulation.configuration
}
func (u *unreliableForwarder) LeaseUntil() zinniatide.Millis { return u.lease }
func (u *unreliableForwarder) Catalog() *zinniatide.Catalog  { return u.simulation.catalog }

func (u *unreliableForwarder) DispatchAll(rs []zinniatide.SubRequest, done func(int, zinniatide.SubResult)) func(int) {
	for i := range rs {
		u.mu.Lock()
		kind, delay := u.rand.IntN(20), u.rand.IntN(5)
		u.mu.Unlock()
		result := answerFor(&rs[i])
		switch kind {
		case 0:
			result = *refusedResult(zinniatide.CodeShed)
		case 1:
			result = *lostResult(zinniatide.CodePeerLost, false)
		case 2:
			result.Body = result.Body[:len(result.Body)-1]
		case 3:
			delay = 60 // after the deadline of some searches
		}
		if kind > 15 {
			done(i, result)
			done(i, answerFor(&rs[i]))
			continue
		}
		u.group.Add(1)
		time.AfterFunc(time.Duration(delay)*time.Millisecond, func() {
			defer u.group.Done()
			done(i, result)
		})
	}
	return func(int) {}
}

// answerFor returns a hit whose id contains the query, the version and the shard.
func answerFor(r *zinniatide.SubRequest) zinniatide.SubResult {
	body := fmt.Sprintf(`{"total":1,"hits":[{"id":"%s/%d/%d","score":1}]}`, r.Body, r.Version, r.Range.First)
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(body)}
}

// Guards against an answer that contains hits of another query, version or shard
// or reports a wrong coverage, and against goroutines, in-flight counts or
// admissions that leak after a search.
func TestSearchesOverUnreliableServers(t *testing.T) {
	u := &unreliableForwarder{simulation: newSimulation(3, versionSetting(7, 16)), rand: rand.New(rand.NewPCG(8, 9)), lease: 1 << 40}
	c, observations := clock.New(), observer.New()
	p := planner.New(u, u, observations, "a", c, planner.DefaultRebuildInterval)
	a := admitter.New(admitter.DefaultConfig(), admitter.Dependencies{Clock: c, Timer: timer.New(), Planner: p})
	q := New(DefaultConfig(), Dependencies{Clock: c, Timer: timer.New(), Configurations: u, Forwarder: u, Planner: p,
		Observer: observations, Admitter: a, Random: rand.New(rand.NewPCG(1, 1))})
	var group sync.WaitGroup
	for i := range 200 {
		group.Add(1)
		go func() {
			defer group.Done()
			answer, err := q.Search(zinniatide.SearchRequest{RequestID: "same", Service: "s", Limit: 100,
				Deadline: c.Now() + zinniatide.Millis(20+1000*(i%2)), Query: fmt.Appendf(nil, "%d", i)})
			if err != nil {
				return
			}
			if n := answer.Coverage.ShardsAnswered; n != len(answer.Hits) || n != int(answer.Total) || answer.Coverage.Ratio != float64(n)/16 {
				t.Errorf("query %d: got %+v, %d hits, total %d", i, answer.Coverage, len(answer.Hits), answer.Total)
			}
			seen := map[string]bool{}
			for _, h := range answer.Hits {
				var query, version, first int
				if _, err := fmt.Sscanf(h.ID, "%d/%d/%d", &query, &version, &first); err != nil || query != i || version != 7 || seen[h.ID] {
					t.Errorf("query %d: got hit %q", i, h.ID)
				}
				seen[h.ID] = true
			}
		}()
	}
	group.Wait()
	u.group.Wait()
	for i := range u.simulation.catalog.Servers {
		id := u.simulation.catalog.Servers[i].Server
		if got := observations.Server(id).InFlight(); got != 0 {
			t.Errorf("server %s: got %d in flight after all results", id, got)
		}
	}
	if _, err := q.Search(zinniatide.SearchRequest{Service: "s", Deadline: c.Now()}); err == nil {
		t.Error("a search after its deadline got no refusal")
	}
	u.lease = 0
	if _, err := q.Search(zinniatide.SearchRequest{Service: "s", Deadline: c.Now() + 100}); err == nil {
		t.Error("a search without a lease got no refusal")
	}
}

// instantForwarder answers during DispatchAll.
type instantForwarder struct{ unreliableForwarder }

func (u *instantForwarder) DispatchAll(rs []zinniatide.SubRequest, done func(int, zinniatide.SubResult)) func(int) {
	for i := range rs {
		done(i, zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(`{"total":1,"hits":[{"id":"a","score":1.5,"document":{"a":1}}]}`)})
	}
	return func(int) {}
}

func BenchmarkSearch84Shards(b *testing.B) {
	u := &instantForwarder{unreliableForwarder{simulation: newSimulation(3, versionSetting(7, 84)), lease: 1 << 40}}
	c, table := clock.New(), observer.New()
	q := New(DefaultConfig(), Dependencies{Clock: c, Timer: timer.New(), Configurations: u, Forwarder: u, Observer: table,
		Planner: planner.New(u, u, table, "a", c, 0), Random: rand.New(rand.NewPCG(1, 1))})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := q.Search(zinniatide.SearchRequest{RequestID: "r", Service: "s", Limit: 10, Deadline: c.Now() + 1000}); err != nil {
			b.Fatal(err)
		}
	}
}

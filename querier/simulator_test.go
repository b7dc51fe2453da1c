package querier

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

// simEvent is an event at a virtual time.
type simEvent struct {
	at     zinniatide.Millis
	handle func(now zinniatide.Millis)
}

// simulation runs searches against simulated servers in virtual time, one at a
// time.
type simulation struct {
	config        Config
	configuration *zinniatide.Configuration
	catalog       *zinniatide.Catalog
	observer      *observer.Observer
	index         *planner.Index
	budgets       *requestBudgets
	random        *rand.Rand
	now           zinniatide.Millis
	events        []simEvent
	run           *searchRun
	// reply returns the result of a sub-request and its delay. A nil result means
	// that the server never answers.
	reply func(sim *simulation, r *zinniatide.SubRequest) (after zinniatide.Millis, result *zinniatide.SubResult)
	// decideRetry returns the arbiter's reply to a reported crash.
	decideRetry    func(sim *simulation) (allowed, quarantined bool)
	sent           []zinniatide.SubRequest
	cancels        int
	crashes        int
	canaryRequests int
}

// versionSetting returns an index version that is divided into equal shards.
func versionSetting(number zinniatide.IndexVersion, shards uint32) zinniatide.IndexVersionSetting {
	return zinniatide.IndexVersionSetting{Version: number, ShardCount: shards}
}

// newSimulation returns a simulation with servers that hold one shard replica
// each.
func newSimulation(replicas int, versions ...zinniatide.IndexVersionSetting) *simulation {
	sim := &simulation{
		config: DefaultConfig(), observer: observer.New(), random: rand.New(rand.NewPCG(1, 2)), now: 1000,
		configuration: &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{
			"s": {Versions: versions, Slots: 2},
		}},
		catalog: &zinniatide.Catalog{},
		reply: func(*simulation, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) {
			return 5, okResult(1)
		},
		decideRetry: func(*simulation) (bool, bool) { return true, false },
	}
	for _, v := range versions {
		for shard, keys := range v.Shards() {
			for replica := range replicas {
				sim.catalog.Servers = append(sim.catalog.Servers, zinniatide.ServerStatus{Owner: "e1", Announcement: zinniatide.Announcement{
					Server: zinniatide.BackendServerID(fmt.Sprintf("v%d-%d-%d", v.Version, shard, replica)), Zone: "a", Slots: 2,
					Load:   zinniatide.LoadReport{Warm: true},
					Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{{Version: v.Version, KeyRange: keys}}}},
				}})
			}
		}
	}
	sim.rebuildIndex()
	sim.budgets = newRequestBudgets(&sim.config)
	return sim
}

func (sim *simulation) rebuildIndex() {
	sim.index = planner.BuildIndex(sim.configuration, sim.catalog, "a", sim.observer, sim.now)
}

// changeServers replaces the catalog with a copy in which change was applied to
// every server.
func (sim *simulation) changeServers(change func(s *zinniatide.ServerStatus)) {
	next := &zinniatide.Catalog{Servers: append([]zinniatide.ServerStatus(nil), sim.catalog.Servers...)}
	for i := range next.Servers {
		change(&next.Servers[i])
	}
	sim.catalog = next
	sim.rebuildIndex()
}

func okResult(total int) *zinniatide.SubResult {
	body := fmt.Sprintf(`{"total":%d,"hits":[{"id":"h","score":1,"document":{}}]}`, total)
	return &zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(body)}
}

func refusedResult(code zinniatide.Code) *zinniatide.SubResult {
	return &zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code}
}

func lostResult(code zinniatide.Code, crashed bool) *zinniatide.SubResult {
	return &zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: code, Crashed: crashed}
}

func (sim *simulation) schedule(t zinniatide.Millis, handle func(now zinniatide.Millis)) {
	sim.events = append(sim.events, simEvent{t, handle})
}

// send implements transport.
func (sim *simulation) send(generation, first int, rs []zinniatide.SubRequest) {
	r := sim.run
	sim.sent = append(sim.sent, rs...)
	if r.canaryPhase {
		sim.canaryRequests += len(rs)
	}
	for i := range rs {
		a := &r.generations[generation].attempts[first+i]
		record, sent := a.record, sim.now
		record.RecordStart()
		after, result := sim.reply(sim, &rs[i])
		if result == nil {
			continue
		}
		index := first + i
		sim.schedule(sim.now+after, func(now zinniatide.Millis) {
			record.RecordResult(r.service, now, sent, result)
			r.handleResult(now, generation, index, *result)
		})
	}
}

// cancel implements transport. The result of a cancelled attempt still arrives,
// and the search must ignore it.
func (sim *simulation) cancel(_, _ int) { sim.cancels++ }

// reportCrash implements transport.
func (sim *simulation) reportCrash(generation, shard int, _, askRetry bool) {
	sim.crashes++
	if !askRetry {
		return
	}
	r := sim.run
	sim.schedule(sim.now+1, func(now zinniatide.Millis) {
		retryAllowed, quarantined := sim.decideRetry(sim)
		r.handleRetryDecision(now, generation, shard, retryAllowed, quarantined)
	})
}

// reportAnswered implements transport.
func (sim *simulation) reportAnswered() {}

// search runs one search to its end. It also returns the virtual duration.
func (sim *simulation) search(timeout zinniatide.Millis, maxCanaryServers int) (zinniatide.SearchAnswer, *zinniatide.Refusal, zinniatide.Millis) {
	r := &searchRun{
		config: &sim.config, request: zinniatide.SearchRequest{RequestID: "q", Service: "s", Limit: 10, Query: []byte(`{}`)},
		deadline: sim.now + timeout, index: func() *planner.Index { return sim.index }, service: sim.observer.Service("s"),
		budgets: sim.budgets, random: sim.random, transport: sim, canaryPhase: maxCanaryServers > 0, maxCanaryServers: maxCanaryServers,
	}
	sim.run = r
	start := sim.now
	if !r.start(sim.now) {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeNoVersion, "no version"), 0
	}
	for {
		next := r.handleTimers(sim.now)
		if r.done {
			break
		}
		if next <= sim.now {
			panic("an expired timer was not handled")
		}
		sort.SliceStable(sim.events, func(i, j int) bool { return sim.events[i].at < sim.events[j].at })
		if len(sim.events) > 0 && sim.events[0].at <= next {
			e := sim.events[0]
			sim.events = sim.events[1:]
			sim.now = max(sim.now, e.at)
			e.handle(sim.now)
			continue
		}
		sim.now = next
	}
	answer, refusal := r.answer()
	return answer, refusal, sim.now - start
}

package querier

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

// simEvent is a result, a permit or a wake-up at a virtual time.
type simEvent struct {
	at zinniatide.Millis
	do func(now zinniatide.Millis)
}

// world runs queries against simulated servers in virtual time, one query at a
// time.
type world struct {
	config  Config
	conf    *zinniatide.Configuration
	catalog *zinniatide.Catalog
	table   *observer.Observer
	index   *planner.Index
	budgets *budgets
	random  *rand.Rand
	now     zinniatide.Millis
	events  []simEvent
	run     *run
	// reply decides what a server does with a sub-request, and when. A nil
	// result means that it never answers.
	reply func(w *world, r *zinniatide.SubRequest) (after zinniatide.Millis, result *zinniatide.SubResult)
	// permit decides about a reported crash.
	permit  func(w *world) (allowed, quarantined bool)
	sent    []zinniatide.SubRequest
	cancels int
	crashes int
	canary  int
}

// keyRanges divides the key space into n shards.
func version(number zinniatide.IndexVersion, shards uint32) zinniatide.IndexVersionSetting {
	return zinniatide.IndexVersionSetting{Version: number, ShardCount: shards}
}

// newWorld returns a world with servers that hold one shard replica each.
func newWorld(replicas int, versions ...zinniatide.IndexVersionSetting) *world {
	w := &world{
		config: DefaultConfig(), table: observer.New(), random: rand.New(rand.NewPCG(1, 2)), now: 1000,
		conf: &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{
			"s": {Versions: versions, Slots: 2},
		}},
		catalog: &zinniatide.Catalog{},
		reply:   func(*world, *zinniatide.SubRequest) (zinniatide.Millis, *zinniatide.SubResult) { return 5, done(1) },
		permit:  func(*world) (bool, bool) { return true, false },
	}
	for _, v := range versions {
		for shard, keys := range v.Shards() {
			for replica := range replicas {
				w.catalog.Servers = append(w.catalog.Servers, zinniatide.ServerStatus{Owner: "e1", Announcement: zinniatide.Announcement{
					Server: zinniatide.BackendServerID(fmt.Sprintf("v%d-%d-%d", v.Version, shard, replica)), Zone: "a", Slots: 2,
					Load:   zinniatide.LoadReport{Warm: true},
					Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{{Version: v.Version, KeyRange: keys}}}},
				}})
			}
		}
	}
	w.rebuild()
	w.budgets = newBudgets(&w.config)
	return w
}

func (w *world) rebuild() { w.index = planner.Build(w.conf, w.catalog, "a", w.table, w.now) }

// edit replaces the catalogue with one in which change was applied to the
// servers of a version's shard.
func (w *world) edit(change func(s *zinniatide.ServerStatus)) {
	next := &zinniatide.Catalog{Servers: append([]zinniatide.ServerStatus(nil), w.catalog.Servers...)}
	for i := range next.Servers {
		change(&next.Servers[i])
	}
	w.catalog = next
	w.rebuild()
}

func done(total int) *zinniatide.SubResult {
	body := fmt.Sprintf(`{"total":%d,"hits":[{"id":"h","score":1,"document":{}}]}`, total)
	return &zinniatide.SubResult{Outcome: zinniatide.OutcomeDone, Body: []byte(body)}
}

func refuse(code zinniatide.Code) *zinniatide.SubResult {
	return &zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code}
}

func lost(code zinniatide.Code, crashed bool) *zinniatide.SubResult {
	return &zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: code, Crashed: crashed}
}

func (w *world) at(t zinniatide.Millis, do func(now zinniatide.Millis)) {
	w.events = append(w.events, simEvent{t, do})
}

// send implements carrier.
func (w *world) send(gen, first int, rs []zinniatide.SubRequest) {
	r := w.run
	w.sent = append(w.sent, rs...)
	if r.canary {
		w.canary += len(rs)
	}
	for i := range rs {
		a := &r.gens[gen].attempts[first+i]
		record, sent := a.record, w.now
		record.Begin()
		after, result := w.reply(w, &rs[i])
		if result == nil {
			continue
		}
		number := first + i
		w.at(w.now+after, func(now zinniatide.Millis) {
			record.Result(r.service, now, sent, result)
			r.result(now, gen, number, *result)
		})
	}
}

// cancel implements carrier. The result of a cancelled attempt still arrives,
// so that the run has to ignore it.
func (w *world) cancel(_, _ int) { w.cancels++ }

// crashed implements carrier.
func (w *world) crashed(gen, shard int, _, ask bool) {
	w.crashes++
	if !ask {
		return
	}
	r := w.run
	w.at(w.now+1, func(now zinniatide.Millis) {
		allowed, quarantined := w.permit(w)
		r.permit(now, gen, shard, allowed, quarantined)
	})
}

// proven implements carrier.
func (w *world) proven() {}

// search runs one query to its end. It returns its virtual duration.
func (w *world) search(timeout zinniatide.Millis, canaryServers int) (zinniatide.SearchAnswer, *zinniatide.Refusal, zinniatide.Millis) {
	r := &run{
		config: &w.config, request: zinniatide.SearchRequest{RequestID: "q", Service: "s", Limit: 10, Query: []byte(`{}`)},
		until: w.now + timeout, index: func() *planner.Index { return w.index }, service: w.table.Service("s"),
		budgets: w.budgets, random: w.random, carrier: w, canary: canaryServers > 0, canaryServers: canaryServers,
	}
	w.run = r
	start := w.now
	if !r.start(w.now) {
		return zinniatide.SearchAnswer{}, zinniatide.Refuse(zinniatide.CodeNoVersion, "no version"), 0
	}
	for {
		next := r.wake(w.now)
		if r.done {
			break
		}
		if next <= w.now {
			panic("a wake-up that is due was not handled")
		}
		sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at < w.events[j].at })
		if len(w.events) > 0 && w.events[0].at <= next {
			e := w.events[0]
			w.events = w.events[1:]
			w.now = max(w.now, e.at)
			e.do(w.now)
			continue
		}
		w.now = next
	}
	answer, refusal := r.answer()
	return answer, refusal, w.now - start
}

package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

type provider struct {
	configuration *zinniatide.Configuration
	catalog       *zinniatide.Catalog
}

func (p *provider) Configuration() *zinniatide.Configuration { return p.configuration }
func (p *provider) LeaseUntil() zinniatide.Millis            { return 1 << 40 }
func (p *provider) Catalog() *zinniatide.Catalog             { return p.catalog }

func newProvider(shards uint32, replicas int) *provider {
	setting := zinniatide.IndexVersionSetting{Version: 4, ShardCount: shards}
	p := &provider{
		configuration: &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{"s": {Versions: []zinniatide.IndexVersionSetting{setting}}}},
		catalog:       &zinniatide.Catalog{},
	}
	for i, keys := range setting.Shards() {
		for j := range replicas {
			p.catalog.Servers = append(p.catalog.Servers, serverStatus(fmt.Sprintf("b%d-%d", i, j), 4, keys))
		}
	}
	return p
}

func serverStatus(id string, version zinniatide.IndexVersion, keys zinniatide.KeyRange) zinniatide.ServerStatus {
	return zinniatide.ServerStatus{Owner: "e1", Announcement: zinniatide.Announcement{
		Server: zinniatide.BackendServerID(id), Zone: "a", Slots: 2, Load: zinniatide.LoadReport{Warm: true},
		Offers: []zinniatide.ServiceOffer{{Service: "s", Searchers: []zinniatide.Searcher{{Version: version, KeyRange: keys}}}},
	}}
}

// Guards against work being sent to a server that must not get any.
func TestUsableReplicas(t *testing.T) {
	allKeys := zinniatide.KeyRange{End: zinniatide.KeySpace}
	tests := []struct {
		name   string
		change func(p *provider, s *zinniatide.ServerStatus)
		served int
	}{
		{"usable", func(*provider, *zinniatide.ServerStatus) {}, 1},
		{"draining", func(_ *provider, s *zinniatide.ServerStatus) { s.Draining = true }, 0},
		{"no owner", func(_ *provider, s *zinniatide.ServerStatus) { s.Owner = "" }, 0},
		{"other version", func(_ *provider, s *zinniatide.ServerStatus) { s.Offers[0].Searchers[0].Version = 5 }, 0},
		{"other key range", func(_ *provider, s *zinniatide.ServerStatus) { s.Offers[0].Searchers[0].End-- }, 0},
		{"other service", func(_ *provider, s *zinniatide.ServerStatus) { s.Offers[0].Service = "t" }, 0},
		{"zone out", func(p *provider, _ *zinniatide.ServerStatus) {
			p.configuration.AvailabilityZones = map[zinniatide.ZoneID]zinniatide.StateSetting{"a": {State: zinniatide.StateOut}}
		}, 0},
		{"leaving", func(p *provider, _ *zinniatide.ServerStatus) {
			p.configuration.BackendServers = map[zinniatide.BackendServerID]zinniatide.StateSetting{"b": {State: zinniatide.StateLeaving}}
		}, 0},
	}
	for _, test := range tests {
		p := newProvider(1, 0)
		s := serverStatus("b", 4, allKeys)
		test.change(p, &s)
		p.catalog.Servers = append(p.catalog.Servers, s)
		v := planner.BuildIndex(p.configuration, p.catalog, "a", observer.New(), 0).Service("s").Version(4)
		if got := v.ServedShards; got != test.served || len(v.Replicas(0)) != test.served {
			t.Errorf("%s: got %d shards served, want %d", test.name, got, test.served)
		}
	}
}

// Guards against counting slots that exceed the service's limit, or slots of
// servers that must not get work.
func TestServiceSlots(t *testing.T) {
	p := newProvider(2, 3)
	for i, slots := range []uint16{0, 1, 2, 9, 2, 2} {
		p.catalog.Servers[i].Slots = slots
	}
	p.catalog.Servers[4].Owner, p.catalog.Servers[5].Draining = "", true
	setting := p.configuration.Services["s"]
	setting.Slots = 3
	p.configuration.Services["s"] = setting
	if got := planner.BuildIndex(p.configuration, p.catalog, "a", observer.New(), 0).Service("s").Slots; got != 1+1+2+3 {
		t.Errorf("got %d slots, want 7", got)
	}
}

// Guards against choosing a version that covers less than another one.
func TestVersionChoice(t *testing.T) {
	first, second := zinniatide.KeyRange{End: 1 << 15}, zinniatide.KeyRange{First: 1 << 15, End: zinniatide.KeySpace}
	tests := []struct {
		name    string
		servers []zinniatide.ServerStatus
		want    zinniatide.IndexVersion
	}{
		{"newest complete", []zinniatide.ServerStatus{serverStatus("a", 4, first), serverStatus("b", 4, second), serverStatus("c", 5, first), serverStatus("d", 5, second)}, 5},
		{"complete before newer", []zinniatide.ServerStatus{serverStatus("a", 4, first), serverStatus("b", 4, second), serverStatus("c", 5, first)}, 4},
		{"newest of equal coverage", []zinniatide.ServerStatus{serverStatus("a", 4, first), serverStatus("c", 5, second)}, 5},
		{"none", nil, 0},
	}
	for _, test := range tests {
		p := newProvider(2, 0)
		setting := p.configuration.Services["s"]
		setting.Versions = append(setting.Versions, zinniatide.IndexVersionSetting{Version: 5, ShardBounds: []uint32{0, 1 << 15}})
		p.configuration.Services["s"] = setting
		p.catalog.Servers = test.servers
		v := planner.BuildIndex(p.configuration, p.catalog, "a", observer.New(), 0).Service("s").PreferredVersion(0)
		if (v == nil) != (test.want == 0) || (v != nil && v.Number != test.want) {
			t.Errorf("%s: got %+v, want version %d", test.name, v, test.want)
		}
	}
}

// Guards against a hedge being sent to a server that already has the request, and
// against work accumulating on a slow or shedding server.
func TestPickReplicaAvoidsExcludedAndSlowServers(t *testing.T) {
	p := newProvider(1, 3)
	observations := observer.New()
	v := planner.BuildIndex(p.configuration, p.catalog, "a", observations, 0).Service("s").PreferredVersion(0)
	random := rand.New(rand.NewPCG(1, 1))
	var excluded []zinniatide.BackendServerID
	for n := 3; n > 0; n-- {
		r := planner.PickReplica(v, 0, excluded, 0, random)
		if r == nil || slices.Contains(excluded, r.Server) {
			t.Fatalf("with %v excluded got %v", excluded, r)
		}
		excluded = append(excluded, r.Server)
	}
	if r := planner.PickReplica(v, 0, excluded, 0, random); r != nil {
		t.Errorf("with all servers excluded got %s, want none", r.Server)
	}
	observations.Server("b0-0").Sample(0, 400)
	observations.Server("b0-1").Sample(0, 5)
	observations.Server("b0-2").Sample(0, 5)
	picks := map[zinniatide.BackendServerID]int{}
	for range 300 {
		picks[planner.PickReplica(v, 0, nil, 1, random).Server]++
	}
	if picks["b0-0"] != 0 || picks["b0-1"] < 50 || picks["b0-2"] < 50 {
		t.Errorf("got picks %v, want none of the slow server", picks)
	}
	// A shedding server responds quickly and has nothing in flight, but must not
	// attract more work.
	observations.Server("b0-1").RecordStart()
	observations.Server("b0-1").RecordResult(observations.Service("s"), 2, 1, &zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: zinniatide.CodeShed})
	clear(picks)
	for range 300 {
		picks[planner.PickReplica(v, 0, nil, 2, random).Server]++
	}
	// One pair in three leaves it only the slow server to beat, so about 100 picks
	// are expected.
	if picks["b0-1"] > 120 {
		t.Errorf("got picks %v, want at most 120 of 300 for the server that sheds", picks)
	}
}

// Guards against a load report that attracts work. Reports may be wrong, so they
// may only raise the score.
func TestLoadReportNeverLowersScore(t *testing.T) {
	var s observer.Server
	s.Sample(0, 20)
	s.RecordStart()
	s.RecordStart()
	before := s.Score(1, 2)
	for _, r := range []zinniatide.LoadReport{{Warm: true}, {Busy: 1, Warm: true}, {Busy: 9, Warm: true}, {Queue: 30}} {
		s.RecordLoadReport(1, r)
		if got := s.Score(1, 2); got < before {
			t.Errorf("report %+v lowered the score from %g to %g", r, before, got)
		}
	}
}

// Guards against an index that misses changes, or that is rebuilt without a
// change or too often.
func TestIndexRebuildsOnChange(t *testing.T) {
	p, c := newProvider(2, 1), clock.NewManual(0, 0)
	indexPlanner := planner.New(p, p, observer.New(), "a", c, planner.DefaultRebuildInterval)
	x := indexPlanner.Index()
	if indexPlanner.Index() != x {
		t.Error("the index was rebuilt without a change")
	}
	p.catalog = &zinniatide.Catalog{Sequence: 1}
	if indexPlanner.Index() != x {
		t.Error("the index was rebuilt within the rebuild interval")
	}
	c.Advance(planner.DefaultRebuildInterval)
	if got := indexPlanner.Index().Service("s").PreferredVersion(0); got != nil {
		t.Errorf("got version %d after all servers were removed, want none", got.Number)
	}
}

func BenchmarkPlan84Shards(b *testing.B) {
	p := newProvider(84, 3)
	x := planner.BuildIndex(p.configuration, p.catalog, "a", observer.New(), 0)
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		v := x.Service("s").PreferredVersion(0)
		for shard := range v.Shards {
			if planner.PickReplica(v, shard, nil, 1, random) == nil {
				b.Fatal("no replica")
			}
		}
	}
}

func BenchmarkBuildIndex7300Servers(b *testing.B) {
	p := newProvider(1460, 5)
	b.ReportAllocs()
	for b.Loop() {
		planner.BuildIndex(p.configuration, p.catalog, "a", observer.New(), 0)
	}
}

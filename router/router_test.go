package router

import (
	"math"
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

func newTestRouter() *Router {
	plain := []zinniatide.WeightedService{{Service: "s", Weight: 1}}
	return New(7, &zinniatide.Routing{
		Routes: []zinniatide.Route{
			{ID: "short", Host: "a.example", PathPrefix: "/x/", Targets: plain},
			{ID: "long", Host: "a.example", PathPrefix: "/x/y/", Targets: plain},
			{ID: "other", Host: "B.example", PathPrefix: "/x/", Targets: plain},
		},
		Services: []zinniatide.RelayService{{Service: "s"}},
	})
}

// A request must not match a route of another host, or a route with a shorter
// prefix than the longest match.
func TestMatch(t *testing.T) {
	r := newTestRouter()
	for _, row := range []struct {
		host, path string
		want       zinniatide.RouteID
	}{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"a.example", "/x/y", "short"},
		{"A.EXAMPLE", "/x/", "short"}, {"a.example:8080", "/x/y/", "long"}, {"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""}, {"a.example", "/", ""}, {"c.example", "/x/1", ""}, {"", "/x/1", ""},
	} {
		var got zinniatide.RouteID
		if route := r.Match(row.host, row.path); route != nil {
			got = route.ID
		}
		if got != row.want {
			t.Errorf("%s%s: got route %q, want %q", row.host, row.path, got, row.want)
		}
	}
}

// Each service must be picked in proportion to its weight.
func TestTargetFollowsWeights(t *testing.T) {
	weights := map[zinniatide.ServiceID]float64{"a": 5, "b": 1, "c": 0, "d": 4}
	route := &Route{}
	for _, id := range []zinniatide.ServiceID{"a", "b", "c", "d"} {
		route.Targets = append(route.Targets, zinniatide.WeightedService{Service: id, Weight: weights[id]})
		route.totalWeight += weights[id]
	}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // fixed seed
	const draws = 20_000
	counts := map[zinniatide.ServiceID]int{}
	for range draws {
		counts[route.Target(random)]++
	}
	for id, weight := range weights {
		if got, want := float64(counts[id])/draws, weight/10; math.Abs(got-want) > 0.02 {
			t.Errorf("service %s: got a share of %.3f, want %.3f", id, got, want)
		}
	}
}

// Rounding must not change the minimum number of shards by one.
func TestLeastShards(t *testing.T) {
	for _, row := range []struct {
		shards int
		share  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {20, 0.95, 19}, {90, 0.95, 86}, {3, 0, 1}, {1, 1, 1}} {
		table := &zinniatide.Routing{Routes: []zinniatide.Route{{
			Host: "h", PathPrefix: "/", MinCoverage: row.share, Shards: make([]zinniatide.ServiceID, row.shards),
		}}}
		if got := New(1, table).Match("h", "/q").MinShards; got != row.want {
			t.Errorf("%.2f of %d: got %d, want %d", row.share, row.shards, got, row.want)
		}
	}
}

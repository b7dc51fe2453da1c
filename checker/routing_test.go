package checker

import (
	"fmt"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
)

func largeTable(routes int) *zinniatide.Routing {
	r := &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: "s"}}}
	for i := range routes {
		r.Routes = append(r.Routes, zinniatide.Route{
			ID: zinniatide.RouteID(fmt.Sprint("r", i)), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Timeout: 100,
			Targets: []zinniatide.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	return r
}

// Guards against a diff whose cost grows with the size of the tables instead of
// the size of the change. Control VMs took 1.2 s after a restart to apply a log
// of 79 tickets with 350 routes each.
func TestDifferenceOfLargeTables(t *testing.T) {
	const routes = 350
	c := &zinniatide.Configuration{Routing: largeTable(routes)}
	next := largeTable(routes)
	next.Routes[7].Timeout = 200
	next.Routes = next.Routes[:routes-1]
	next.Services = append(next.Services, zinniatide.RelayService{Service: "new", MaxConnections: 3})
	ticket := &zinniatide.Ticket{Number: 2, Routing: next}
	got := Difference(c, ticket)
	if want := "~ routing.routes.h/7/.timeout-ms: 100 -> 200"; !slices.Contains(got, want) {
		t.Errorf("got %q, want it to contain %q", got, want)
	}
	for _, line := range got {
		if line[0] == '~' && line != "~ routing.routes.h/7/.timeout-ms: 100 -> 200" {
			t.Errorf("got line %q, want only one changed value", line)
		}
	}
	allDiffer := testing.AllocsPerRun(5, func() { Difference(c, &zinniatide.Ticket{Number: 2, Routing: largeTable(0)}) })
	fewDiffer := testing.AllocsPerRun(5, func() { Difference(c, ticket) })
	// Converting all items to JSON values takes about 40 allocations per route.
	if limit := 10.0 * routes; fewDiffer > limit {
		t.Errorf("got %.0f allocations for a change of three items, want at most %.0f (all differ: %.0f)", fewDiffer, limit, allDiffer)
	}
}

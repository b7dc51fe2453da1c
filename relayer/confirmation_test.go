package relayer

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a request that is rejected for good by a VM that has missed the table
// with its route, because it is cut off or gets no processor time.
func TestUnknownRouteInUnconfirmedTable(t *testing.T) {
	sim := newSimulation(t, 2)
	var confirmedAt zinniatide.Millis
	sim.relayer.deps.ConfirmedAt = func() zinniatide.Millis { return confirmedAt }
	for _, row := range []struct {
		name   string
		path   string
		age    zinniatide.Millis
		status int
	}{
		{"no route, confirmed", "/new/x", 0, 404},
		{"no route, confirmed within the limit", "/new/x", maxConfirmationAge, 404},
		{"no route, unconfirmed", "/new/x", maxConfirmationAge + 1, 503},
		{"route, unconfirmed", "/p/x", 10 * maxConfirmationAge, 200},
	} {
		confirmedAt = sim.clock.Now() - row.age
		var got Reply
		sim.relayer.Serve(&Request{ID: row.name, Host: "h", Path: row.path, Head: []byte("GET " + row.path + " HTTP/1.1\r\n"), ArrivedAt: sim.clock.Now()},
			func(r Reply) { got = r })
		sim.run(sim.clock.Now() + 1000)
		if got.Status != row.status {
			t.Errorf("%s: got status %d, want %d", row.name, got.Status, row.status)
		}
		if retries := got.RetryAfter > 0; retries != (row.status == 503) {
			t.Errorf("%s: got retry after %d ms", row.name, got.RetryAfter)
		}
	}
}

package selector

import (
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
)

// A cold server must not get more requests per second than its rate allows from
// all VMs together, although each VM picks a server every millisecond.
func TestColdServerRateLimit(t *testing.T) {
	const vms, rate = 6, 8.0
	sent := map[zinniatide.Millis]int{} // requests at the cold server, by second
	warm := 0
	for vm := range vms {
		service := &Service{RelayService: zinniatide.RelayService{Service: "s", ColdRate: rate}}
		for _, id := range []zinniatide.BackendServerID{"cold", "warm"} {
			service.Servers = append(service.Servers, &Server{Service: service,
				Enrollment: zinniatide.Enrollment{Server: id, Zone: "a", Slots: 2, State: zinniatide.StateIn}})
		}
		service.Servers[0].SetColdFor(3000, 0)
		for now := zinniatide.Millis(0); now < 3000; now++ {
			o := &Options{Zone: "a", Now: now, ZoneExcluded: func(zinniatide.ZoneID) bool { return false },
				Random:        rand.New(rand.NewPCG(1, uint64(now))), //nolint:gosec // fixed seed
				MaySendToCold: func(*Server) bool { return vm == 2 }}
			if now%2 == 0 {
				o.Tried = service.Servers[1:] // only the cold server is left
			}
			switch s := service.Pick(o); {
			case s == nil:
			case s.Server == "cold":
				s.RecordStart(now)
				s.RecordSuccess(now, now+1)
				sent[now/1000]++
			default:
				warm++
			}
		}
	}
	for second, n := range sent {
		if n > rate {
			t.Errorf("second %d: got %d requests at the cold server, want at most %.0f", second, n, rate)
		}
	}
	if len(sent) != 3 || warm == 0 {
		t.Errorf("got requests in %d seconds and %d at the warm server, want some in each", len(sent), warm)
	}
}

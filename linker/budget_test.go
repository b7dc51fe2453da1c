package linker_test

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/reserver"
)

// Guards against silent connections that exhaust the budget of the process, keep VMs out
// or close their links, and against connections that stay counted once they are closed.
func TestSilentConnectionsMakeRoomInBudget(t *testing.T) {
	const limit = 8
	budget := reserver.New(reserver.Config{MemoryBytes: 1 << 30, Connections: limit}, clock.New(), prometheus.NewRegistry())
	n := start(t, "b", func(c *linker.Config) { c.Budget = budget })
	checkConnects(t, n)
	var conns []net.Conn
	for range 10 * limit {
		c, err := net.DialTimeout("tcp", n.Address(), 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	eventually(t, "end of the oldest connections", func() bool {
		return n.metric(t, "refused_connections_total") >= 9*limit
	})
	checkConnects(t, n)
	for _, c := range conns {
		_ = c.Close()
	}
	// A running connection does not make room, so that closed links which still counted
	// would leave less than the whole budget.
	eventually(t, "room for all of the budget", func() bool {
		for range limit {
			c, ok := budget.Open("a", func() {})
			if !ok {
				return false
			}
			c.Run()
			defer c.Close()
		}
		return true
	})
}

package scenarios

import (
	"errors"
	"slices"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
)

// propagation measures the time from the acceptance of a ticket until all 8 VMs
// have installed its epoch.
var propagation = Scenario{Name: "propagation", Run: func(e *Env) error {
	c, err := e.startCluster(systemConfig{
		shards: 4, serversPerZone: 1, searchersPerServer: 4, slots: 2, serviceTime: 1, assumedColdStart: unlimitedRamp, entryVMs: 8, linkDelay: zoneLinkDelay,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	var inForce, accept []float64
	for i := range 200 {
		// The state alternates so that each ticket changes the configuration.
		state := zinniatide.StateIn
		if i%2 == 0 {
			state = zinniatide.StateLeaving
		}
		accepted, force, err := fileAndWatch(c, state)
		if err != nil {
			return err
		}
		accept, inForce = append(accept, accepted), append(inForce, force)
	}
	return e.reportMetrics("propagation", []metric{
		{"in-force-p50", "ms", noValue, quantile(inForce, 0.5)},
		{"in-force-p99", "ms", noValue, quantile(inForce, 0.99)},
		{"accept-p50", "ms", noValue, quantile(accept, 0.5)},
		{"accept-p99", "ms", noValue, quantile(accept, 0.99)},
	})
}}

// fileAndWatch files a ticket. It returns the time until its acceptance, and from
// then on until every VM has installed its epoch, both in ms.
func fileAndWatch(c *cluster.Cluster, state zinniatide.ServingState) (accepted, inForce float64, err error) {
	raw, err := c.NextTicket(&zinniatide.Ticket{BackendServers: map[zinniatide.BackendServerID]*zinniatide.StateSetting{
		"server": {State: state},
	}})
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	reply, err := c.Operator().FileTicket(raw, false, 2000)
	if err != nil {
		return 0, 0, err
	}
	acceptedAt := time.Now()
	for time.Since(acceptedAt) < 10*time.Second {
		if allInstalled(c, reply.Epoch) {
			return ms(acceptedAt.Sub(start)), ms(time.Since(acceptedAt)), nil
		}
		time.Sleep(100 * time.Microsecond)
	}
	return 0, 0, errors.New("ticket was not installed by every VM within 10 s")
}

func allInstalled(c *cluster.Cluster, epoch zinniatide.Epoch) bool {
	for i := range c.Options.EntryVMs {
		if n := c.Node(i); n != nil && n.Configuration().Epoch < epoch {
			return false
		}
	}
	return true
}

// quantile returns the q-quantile of values, or noValue if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return noValue
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

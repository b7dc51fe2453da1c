package scenarios

import (
	"errors"
	"math"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/emulator"
	"zinniatide.example/zinniatide/recorder"
)

// A request occupies a slot for 15 ms on average. A server with two slots runs 133
// requests per second, and 10 shards with three replicas run 400 queries per
// second, or 267 without one of the zones. The load is below 60% of the latter.
const (
	zoneShards       = 10
	zoneRate         = 150 // queries per second
	zoneDuration     = 16 * time.Second
	zoneChangeDelay  = 3 * time.Second
	zoneOutDuration  = 6 * time.Second
	zoneBackDuration = 4 * time.Second
)

func zoneConfig() systemConfig {
	return systemConfig{
		shards: zoneShards, serversPerZone: zoneShards, searchersPerServer: 1, slots: 2, serviceTime: 10, minServiceTime: 5,
		assumedColdStart: zinniatide.ColdStartSetting{InitialRate: 40, DoubleAfter: 20, FullRate: 160},
		actualColdStart:  zinniatide.ColdStartSetting{InitialRate: 40, DoubleAfter: 20, FullRate: 160},
		entryVMs:         6, linkDelay: zoneLinkDelay,
	}
}

// disturbance is the result of a fault or planned change under load.
type disturbance struct {
	start time.Time // acceptance of the ticket, or time of the fault
	// lastWorkMs is when the servers taken out of service got their last new
	// request, in ms after start. It is noValue in scenarios that do not measure it.
	lastWorkMs float64
}

// zoneOutIn takes a zone out of service by ticket and returns it to service.
var zoneOutIn = Scenario{Name: "zone-out-in", Run: func(e *Env) error {
	return runZone(e, "zone-out-in", func(c *cluster.Cluster) (disturbance, error) {
		if c.Backends.Totals().WorkByZone[zones[2]] == 0 {
			return disturbance{}, errors.New("the zone got no requests before it was taken out of service")
		}
		accepted, err := c.FileTicket(&zinniatide.Ticket{AvailabilityZones: zoneStates(zones[2], zinniatide.StateOut)})
		if err != nil {
			return disturbance{}, err
		}
		time.Sleep(zoneOutDuration)
		last, before := lastWorkMs(serversIn(c, zones[2]), accepted), c.Backends.Totals().WorkByZone[zones[2]]
		if _, err = c.FileTicket(&zinniatide.Ticket{AvailabilityZones: zoneStates(zones[2], zinniatide.StateIn)}); err != nil {
			return disturbance{}, err
		}
		time.Sleep(zoneBackDuration)
		if c.Backends.Totals().WorkByZone[zones[2]] == before {
			return disturbance{}, errors.New("the zone got no requests after its return to service")
		}
		return disturbance{accepted, last}, nil
	})
}}

// leavingServer takes one backend server out of service by ticket.
var leavingServer = Scenario{Name: "leaving-server", Run: func(e *Env) error {
	return runZone(e, "leaving-server", func(c *cluster.Cluster) (disturbance, error) {
		server := serversIn(c, zones[0])[0]
		accepted, err := c.FileTicket(&zinniatide.Ticket{BackendServers: map[zinniatide.BackendServerID]*zinniatide.StateSetting{
			server.ID(): {State: zinniatide.StateLeaving},
		}})
		if err != nil {
			return disturbance{}, err
		}
		time.Sleep(zoneOutDuration)
		return disturbance{accepted, lastWorkMs([]*emulator.Emulator{server}, accepted)}, nil
	})
}}

// zoneLoss kills all VMs and backend servers of a zone at once.
var zoneLoss = Scenario{Name: "zone-loss", Run: func(e *Env) error {
	return runZone(e, "zone-loss", func(c *cluster.Cluster) (disturbance, error) {
		event := time.Now()
		for _, s := range serversIn(c, zones[2]) {
			s.Crash()
		}
		for i := range c.Options.EntryVMs {
			if c.Zone(i) == zones[2] {
				c.KillVM(i)
			}
		}
		return disturbance{event, noValue}, nil
	})
}}

func zoneStates(zone zinniatide.ZoneID, state zinniatide.ServingState) map[zinniatide.ZoneID]*zinniatide.StateSetting {
	return map[zinniatide.ZoneID]*zinniatide.StateSetting{zone: {State: state}}
}

// lastWorkMs returns when the servers got their last new request, in ms after
// event, or 0 if that was before event.
func lastWorkMs(servers []*emulator.Emulator, event time.Time) float64 {
	last := 0.0
	for _, s := range servers {
		last = max(last, ms(s.Counts.LastWork().Sub(event)))
	}
	return last
}

func runZone(e *Env, name string, inject func(*cluster.Cluster) (disturbance, error)) error {
	c, err := e.startCluster(zoneConfig())
	if err != nil {
		return err
	}
	defer c.Close()
	l := e.newCallers(c, time.Second, "counter")
	// The load rises in steps because cold servers have less capacity.
	l.sendSearches(recorder.New(), zoneRate/3, 3*time.Second, "warm-up")
	l.sendSearches(recorder.New(), zoneRate, 3*time.Second, "warm-up-full")
	r, failed := recorder.New(), make(chan error, 1)
	var result disturbance
	go func() {
		time.Sleep(zoneChangeDelay)
		var err error
		result, err = inject(c)
		failed <- err
	}()
	l.sendSearches(r, zoneRate, zoneDuration, name)
	if err := <-failed; err != nil {
		return err
	}
	if err := e.writeSeries(name, r); err != nil {
		return err
	}
	recovery := r.Recovery(result.start)
	if math.IsNaN(recovery) {
		// The last request was still affected: report the rest of the run as the
		// recovery time.
		recovery = ms(zoneDuration - zoneChangeDelay)
	}
	return e.reportMetrics(name, []metric{
		{"coverage-min", "ratio", noValue, r.CoverageMin()},
		{"failed", "count", noValue, float64(r.Failed())},
		{"last-new-work", "ms", noValue, result.lastWorkMs},
		{"recovery", "ms", noValue, recovery},
		{"p99", "ms", noValue, r.Quantile(0.99)},
	})
}

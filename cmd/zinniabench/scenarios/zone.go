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

// The zone scenarios run at 60% of what the servers of all zones bear: each
// request holds a slot for about 10 ms, so one server bears 200 requests per
// second, and 10 shards with three replicas bear 600 queries per second.
const (
	zoneShards   = 10
	zoneRate     = 150 // queries per second; 60% of the capacity of the zones that are left
	zoneTime     = 16 * time.Second
	zoneChange   = 3 * time.Second
	zoneOutTime  = 6 * time.Second
	zoneBackTime = 4 * time.Second
)

func zonePlan() plan {
	return plan{
		shards: zoneShards, serversPerZone: zoneShards, searchers: 1, slots: 2, serviceTime: 10, minTime: 5,
		cold:     zinniatide.ColdStartSetting{InitialRate: 40, DoubleAfter: 20, FullRate: 160},
		trueCold: zinniatide.ColdStartSetting{InitialRate: 40, DoubleAfter: 20, FullRate: 160},
		entries:  6, delay: associationDelay,
	}
}

// change is what happens to the system under load. Last is the time of the
// newest work that servers leaving service got, as far as it counts.
type change struct {
	accepted time.Time
	last     float64 // ms after acceptance
}

// zoneOutIn takes a zone out by ticket and brings it back.
var zoneOutIn = Scenario{Name: "zone-out-in", Run: func(e *Env) error {
	return runZone(e, "zone-out-in", func(c *cluster.Cluster) (change, error) {
		if c.StandIns.Totals().WorkByZone[zones[2]] == 0 {
			return change{}, errors.New("the zone had no work before it was taken out")
		}
		accepted, err := c.File(&zinniatide.Ticket{AvailabilityZones: states(zones[2], zinniatide.StateOut)})
		if err != nil {
			return change{}, err
		}
		time.Sleep(zoneOutTime)
		last, before := lastWork(serversIn(c, zones[2]), accepted), c.StandIns.Totals().WorkByZone[zones[2]]
		if _, err = c.File(&zinniatide.Ticket{AvailabilityZones: states(zones[2], zinniatide.StateIn)}); err != nil {
			return change{}, err
		}
		time.Sleep(zoneBackTime)
		if c.StandIns.Totals().WorkByZone[zones[2]] == before {
			return change{}, errors.New("the zone got no work after its return")
		}
		return change{accepted, last}, nil
	})
}}

// leavingServer takes one backend server out by ticket.
var leavingServer = Scenario{Name: "leaving-server", Run: func(e *Env) error {
	return runZone(e, "leaving-server", func(c *cluster.Cluster) (change, error) {
		server := serversIn(c, zones[0])[0]
		accepted, err := c.File(&zinniatide.Ticket{BackendServers: map[zinniatide.BackendServerID]*zinniatide.StateSetting{
			server.ID(): {State: zinniatide.StateLeaving},
		}})
		if err != nil {
			return change{}, err
		}
		time.Sleep(zoneOutTime)
		return change{accepted, lastWork([]*emulator.Emulator{server}, accepted)}, nil
	})
}}

// zoneLoss ends every process of a zone without warning.
var zoneLoss = Scenario{Name: "zone-loss", Run: func(e *Env) error {
	return runZone(e, "zone-loss", func(c *cluster.Cluster) (change, error) {
		event := time.Now()
		for _, s := range serversIn(c, zones[2]) {
			s.Kill()
		}
		for i := range c.Options.Entries {
			if c.Zone(i) == zones[2] {
				c.Kill(i)
			}
		}
		return change{event, none}, nil
	})
}}

func states(zone zinniatide.ZoneID, state zinniatide.ServingState) map[zinniatide.ZoneID]*zinniatide.StateSetting {
	return map[zinniatide.ZoneID]*zinniatide.StateSetting{zone: {State: state}}
}

// lastWork returns when the servers got their newest work, in ms after the
// event, 0 when that was before.
func lastWork(servers []*emulator.Emulator, event time.Time) float64 {
	last := 0.0
	for _, s := range servers {
		last = max(last, ms(s.Counts.LastWork().Sub(event)))
	}
	return last
}

func runZone(e *Env, name string, disturb func(*cluster.Cluster) (change, error)) error {
	c, err := e.start(zonePlan())
	if err != nil {
		return err
	}
	defer c.Close()
	l := e.callers(c, time.Second, "counter")
	// Cold servers bear less than the load, so it rises in steps.
	l.load(recorder.New(), zoneRate/3, 3*time.Second, "warm-up")
	l.load(recorder.New(), zoneRate, 3*time.Second, "warm-up-full")
	r, failed := recorder.New(), make(chan error, 1)
	var happened change
	go func() {
		time.Sleep(zoneChange)
		var err error
		happened, err = disturb(c)
		failed <- err
	}()
	l.load(r, zoneRate, zoneTime, name)
	if err := <-failed; err != nil {
		return err
	}
	if err := e.writeSeries(name, r); err != nil {
		return err
	}
	recovery := r.Recovery(happened.accepted)
	if math.IsNaN(recovery) {
		recovery = ms(zoneTime - zoneChange)
	}
	return e.reportAll(name, []metric{
		{"coverage-min", "ratio", none, r.CoverageMin()},
		{"failed", "count", none, float64(r.Failed())},
		{"last-new-work", "ms", none, happened.last},
		{"recovery", "ms", none, recovery},
		{"p99", "ms", none, r.Quantile(0.99)},
	})
}

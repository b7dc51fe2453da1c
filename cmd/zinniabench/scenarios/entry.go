package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/recorder"
)

// executePlan is a service of one shard with 18 replicas, so that a search and
// a non-idempotent request are one sub-request each.
func executePlan(entries int) plan {
	return plan{
		shards: 1, serversPerZone: 6, searchers: 1, slots: 2, serviceTime: 3, minTime: 1,
		cold: warm, entries: entries, delay: associationDelay,
	}
}

const (
	executeTimeout = time.Second
	entryLossRate  = 150 // requests per second
	entryLossTime  = 18 * time.Second
	entryDownTime  = 1200 * time.Millisecond
	serverDownTime = 300 * time.Millisecond
	resendRate     = 120 // request ids per second
	resendTime     = 17 * time.Second
	resendCopies   = 3
)

// entryLoss kills and restarts entry VMs one after the other, and lets servers
// die after they have run a request, while callers resend the same ids.
var entryLoss = Scenario{Name: "entry-loss", Run: func(e *Env) error {
	c, err := e.start(executePlan(8))
	if err != nil {
		return err
	}
	defer c.Close()
	x := e.executions(c, "entry-loss")
	cost, err := x.recordCost()
	if err != nil {
		return err
	}
	stop, failed := make(chan struct{}), make(chan error, 2)
	lost := 0
	go func() {
		var err error
		lost, err = loseEntries(x, stop)
		failed <- err
	}()
	go func() { failed <- loseServers(c, e.Seed, stop) }()
	recorder.Pace(entryLossRate, entryLossTime, x.resend)
	close(stop)
	if err := errors.Join(<-failed, <-failed); err != nil {
		return err
	}
	v, err := x.judge()
	if err != nil {
		return err
	}
	if crashes := c.StandIns.Totals().Crashes; lost == 0 || crashes == 0 {
		return fmt.Errorf("the faults hit nothing: %d requests were open on killed VMs, %d servers died after a run", lost, crashes)
	}
	return e.reportAll("entry-loss", v.metrics(cost))
}}

// loseEntries kills and restarts the entry VMs in turn until stop is closed.
// It returns the number of requests that were open on killed VMs.
func loseEntries(x *executions, stop chan struct{}) (int, error) {
	lost := 0
	for i := x.cluster.Options.Entries - 1; ; i-- {
		if i < 0 {
			i = x.cluster.Options.Entries - 1
		}
		select {
		case <-stop:
			return lost, nil
		case <-time.After(entryDownTime / 2):
		}
		lost += x.running(x.cluster.Entries()[i])
		x.cluster.Kill(i)
		time.Sleep(entryDownTime)
		if err := x.cluster.Start(i); err != nil {
			return lost, err
		}
	}
}

// loseServers lets one server after the other die after its next run, and
// starts those that have died, until stop is closed.
func loseServers(c *cluster.Cluster, seed uint64, stop chan struct{}) error {
	random := rand.New(rand.NewPCG(seed, 8))
	for {
		s := c.StandIns.Servers[random.IntN(len(c.StandIns.Servers))]
		s.DieAfterNextExecute()
		select {
		case <-stop:
			return nil
		case <-time.After(serverDownTime):
		}
		s.Kill() // also when it got no work, so that Start finds its port free
		if err := s.Start(); err != nil {
			return err
		}
	}
}

// resend sends each id to several entry VMs at the same time.
var resend = Scenario{Name: "resend", Run: func(e *Env) error {
	c, err := e.start(executePlan(6))
	if err != nil {
		return err
	}
	defer c.Close()
	x := e.executions(c, "resend")
	cost, err := x.recordCost()
	if err != nil {
		return err
	}
	recorder.Pace(resendRate, resendTime, func(i int) { x.sendTogether(i, resendCopies) })
	v, err := x.judge()
	if err != nil {
		return err
	}
	if v.attempts < resendCopies*v.requests || v.ran == 0 {
		return fmt.Errorf("%d requests were sent %d times, and %d of them ran", v.requests, v.attempts, v.ran)
	}
	return e.reportAll("resend", v.metrics(cost))
}}

package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/recorder"
)

// executeConfig has one shard with 18 replicas, so that a search and a
// non-idempotent request each need one sub-request.
func executeConfig(entryVMs int) systemConfig {
	return systemConfig{
		shards: 1, serversPerZone: 6, searchersPerServer: 1, slots: 2, serviceTime: 3, minServiceTime: 1,
		assumedColdStart: unlimitedRamp, entryVMs: entryVMs, linkDelay: zoneLinkDelay,
	}
}

const (
	executeTimeout    = time.Second
	entryLossRate     = 150 // requests per second
	entryLossDuration = 18 * time.Second
	entryDownTime     = 1200 * time.Millisecond
	// crashWindow is the time for an armed server to get a request and crash, until
	// it is restarted.
	crashWindow    = 300 * time.Millisecond
	resendRate     = 120 // request IDs per second
	resendDuration = 17 * time.Second
	resendCopies   = 3
)

// entryLoss kills and restarts entry VMs one after the other and lets backend
// servers crash after they ran a request but before they answer it, while callers
// retry with the same request ID.
var entryLoss = Scenario{Name: "entry-loss", Run: func(e *Env) error {
	c, err := e.startCluster(executeConfig(8))
	if err != nil {
		return err
	}
	defer c.Close()
	tracker := e.newExecuteTracker(c, "entry-loss")
	cost, err := tracker.recordCost()
	if err != nil {
		return err
	}
	stop, failed := make(chan struct{}), make(chan error, 2)
	lost := 0
	go func() {
		var err error
		lost, err = restartEntriesInTurn(tracker, stop)
		failed <- err
	}()
	go func() { failed <- restartServersInTurn(c, e.Seed, stop) }()
	recorder.RunOpenLoop(entryLossRate, entryLossDuration, tracker.sendUntilDone)
	close(stop)
	if err := errors.Join(<-failed, <-failed); err != nil {
		return err
	}
	v, err := tracker.summarize()
	if err != nil {
		return err
	}
	if crashes := c.Backends.Totals().Crashes; lost == 0 || crashes == 0 {
		return fmt.Errorf("the faults had no effect: %d requests were in flight on killed VMs, %d servers crashed after a run", lost, crashes)
	}
	return e.reportMetrics("entry-loss", v.metrics(cost))
}}

// restartEntriesInTurn kills and restarts one entry VM after the other until stop
// is closed. It returns the number of requests in flight on VMs when they were
// killed.
func restartEntriesInTurn(tracker *executeTracker, stop chan struct{}) (int, error) {
	lost := 0
	for i := tracker.cluster.Options.EntryVMs - 1; ; i-- {
		if i < 0 {
			i = tracker.cluster.Options.EntryVMs - 1
		}
		select {
		case <-stop:
			return lost, nil
		case <-time.After(entryDownTime / 2):
		}
		lost += tracker.inFlightAt(tracker.cluster.EntryAddresses()[i])
		tracker.cluster.KillVM(i)
		time.Sleep(entryDownTime)
		if err := tracker.cluster.StartVM(i); err != nil {
			return lost, err
		}
	}
}

// restartServersInTurn makes one random server after the other crash after its
// next run, and restarts it, until stop is closed.
func restartServersInTurn(c *cluster.Cluster, seed uint64, stop chan struct{}) error {
	random := rand.New(rand.NewPCG(seed, 8))
	for {
		s := c.Backends.Emulators[random.IntN(len(c.Backends.Emulators))]
		s.CrashAfterNextExecute()
		select {
		case <-stop:
			return nil
		case <-time.After(crashWindow):
		}
		s.Crash() // frees the port for Start even if the server got no request and did not crash
		if err := s.Start(); err != nil {
			return err
		}
	}
}

// resend sends each request ID to several entry VMs at the same time.
var resend = Scenario{Name: "resend", Run: func(e *Env) error {
	c, err := e.startCluster(executeConfig(6))
	if err != nil {
		return err
	}
	defer c.Close()
	tracker := e.newExecuteTracker(c, "resend")
	cost, err := tracker.recordCost()
	if err != nil {
		return err
	}
	recorder.RunOpenLoop(resendRate, resendDuration, func(i int) { tracker.sendConcurrently(i, resendCopies) })
	v, err := tracker.summarize()
	if err != nil {
		return err
	}
	if v.attempts < resendCopies*v.requests || v.ran == 0 {
		return fmt.Errorf("%d requests had %d attempts, and %d of them ran", v.requests, v.attempts, v.ran)
	}
	return e.reportMetrics("resend", v.metrics(cost))
}}

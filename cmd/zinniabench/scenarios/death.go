package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/emulator"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

const (
	crashText            = "deadly"
	queryOfDeathShards   = 8
	backgroundRate       = 80 // queries per second
	queryOfDeathDuration = 14 * time.Second
	queryOfDeathDelay    = 2 * time.Second
	crashResendPause     = 250 * time.Millisecond
	// crashRestartDelay is the downtime of a crashed server.
	crashRestartDelay = 500 * time.Millisecond
)

// queryOfDeath repeatedly sends a search that crashes every backend server that
// runs it to all entry VMs at the same time, while other callers send normal
// searches. The baseline has no canary requests and no quarantine.
var queryOfDeath = Scenario{Name: "query-of-death", Run: func(e *Env) error {
	baseline, err := runQueryOfDeath(e, true)
	if err != nil {
		return err
	}
	measured, err := runQueryOfDeath(e, false)
	if err != nil {
		return err
	}
	return e.reportMetrics("query-of-death", []metric{
		{"servers-lost", "count", baseline.serversLost, measured.serversLost},
		{"innocent-refused", "count", baseline.backgroundRefused, measured.backgroundRefused},
	})
}}

type crashLosses struct{ serversLost, backgroundRefused float64 }

func runQueryOfDeath(e *Env, withoutQuarantine bool) (crashLosses, error) {
	c, err := e.startCluster(systemConfig{
		shards: queryOfDeathShards, serversPerZone: queryOfDeathShards, searchersPerServer: 1, slots: 2, serviceTime: 5, minServiceTime: 2,
		assumedColdStart: unlimitedRamp, entryVMs: 6, linkDelay: zoneLinkDelay, withoutQuarantine: withoutQuarantine,
	})
	if err != nil {
		return crashLosses{}, err
	}
	defer c.Close()
	l := e.newCallers(c, time.Second, "counter")
	l.sendSearches(recorder.New(), backgroundRate, 2*time.Second, "warm-up")
	for _, s := range c.Backends.Emulators {
		s.CrashOnBody(crashText)
	}
	monitor, stop := monitorCrashes(c), make(chan struct{})
	d, sent := newCrashingCaller(e, c), make(chan struct{})
	go func() {
		defer close(sent)
		time.Sleep(queryOfDeathDelay)
		d.sendUntil(stop)
	}()
	r := recorder.New()
	l.sendSearches(r, backgroundRate, queryOfDeathDuration, "innocent")
	close(stop)
	<-sent
	lost, err := monitor.stopAndCount()
	if err != nil {
		return crashLosses{}, err
	}
	refused := r.Count(func(s recorder.Sample) bool { return isRefusal(s.Err) })
	return crashLosses{float64(lost), float64(refused)}, d.check(lost, withoutQuarantine)
}

// crashMonitor restarts crashed servers after crashRestartDelay and counts the
// losses. Several requests that crash the same process count as one loss.
type crashMonitor struct {
	servers sync.WaitGroup
	stop    chan struct{}
	lost    atomic.Int64

	mu      sync.Mutex
	failure error
}

func monitorCrashes(c *cluster.Cluster) *crashMonitor {
	m := &crashMonitor{stop: make(chan struct{})}
	for _, s := range c.Backends.Emulators {
		m.servers.Add(1)
		go func() {
			defer m.servers.Done()
			if err := m.restartAfterCrashes(s); err != nil {
				m.mu.Lock()
				m.failure = errors.Join(m.failure, err)
				m.mu.Unlock()
			}
		}()
	}
	return m
}

func (m *crashMonitor) restartAfterCrashes(s *emulator.Emulator) error {
	for restarted := int64(0); ; {
		if s.Counts.Crashes.Load() > restarted {
			m.lost.Add(1)
			time.Sleep(crashRestartDelay)
			restarted = s.Counts.Crashes.Load()
			if err := s.Start(); err != nil {
				return err
			}
		}
		select {
		case <-m.stop:
			return nil
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// stopAndCount stops the monitor and returns the number of losses.
func (m *crashMonitor) stopAndCount() (int64, error) {
	close(m.stop)
	m.servers.Wait()
	return m.lost.Load(), m.failure
}

// crashingCaller repeats the search that crashes backend servers and counts the
// outcomes.
type crashingCaller struct {
	cluster *cluster.Cluster
	caller  *loader.Loader

	mu          sync.Mutex
	sent        int
	quarantined int
	answered    int
}

func newCrashingCaller(e *Env, c *cluster.Cluster) *crashingCaller {
	return &crashingCaller{cluster: c, caller: c.NewCaller(loader.Config{
		Service: serviceID, Workspace: "counter", Class: "interactive", Timeout: time.Second, RandomSeed: e.Seed + 50,
	})}
}

// sendUntil repeatedly sends the request to all entry VMs at the same time, until
// stop is closed.
func (d *crashingCaller) sendUntil(stop chan struct{}) {
	for round := 0; ; round++ {
		var calls sync.WaitGroup
		for i, address := range d.cluster.EntryAddresses() {
			calls.Add(1)
			go func() {
				defer calls.Done()
				answer, err := d.caller.SearchAt(address, zinniatide.RequestID(fmt.Sprintf("deadly-%d-%d", round, i)), crashText)
				d.record(answer, err)
			}()
		}
		calls.Wait()
		select {
		case <-stop:
			return
		case <-time.After(crashResendPause):
		}
	}
}

func (d *crashingCaller) record(answer *loader.SearchAnswer, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	if err == nil && answer.Total > 0 {
		d.answered++
	}
	var refusal *loader.Refusal
	if errors.As(err, &refusal) && refusal.Code == zinniatide.CodeQuarantined {
		d.quarantined++
	}
}

// check returns an error unless the request crashed servers, was never answered
// and, if quarantine is enabled, was refused as quarantined.
func (d *crashingCaller) check(lost int64, withoutQuarantine bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case lost == 0:
		return fmt.Errorf("the crashing request was sent %d times and crashed no server", d.sent)
	case d.answered > 0:
		return fmt.Errorf("%d of %d crashing requests were answered", d.answered, d.sent)
	case !withoutQuarantine && d.quarantined == 0:
		return fmt.Errorf("none of %d crashing requests was refused as quarantined", d.sent)
	}
	return nil
}

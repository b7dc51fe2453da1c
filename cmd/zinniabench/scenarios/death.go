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
	deadlyText   = "deadly"
	deathShards  = 8
	innocentRate = 80 // queries per second
	deathTime    = 14 * time.Second
	deathStart   = 2 * time.Second
	deathPause   = 250 * time.Millisecond
	// deathRestart is how long a server that has crashed stays down.
	deathRestart = 500 * time.Millisecond
)

// queryOfDeath sends a search that crashes each server that runs it to all
// entry VMs at the same time and again, while others search. The baseline
// sends no canaries and quarantines nothing.
var queryOfDeath = Scenario{Name: "query-of-death", Run: func(e *Env) error {
	before, err := runDeath(e, true)
	if err != nil {
		return err
	}
	after, err := runDeath(e, false)
	if err != nil {
		return err
	}
	return e.reportAll("query-of-death", []metric{
		{"servers-lost", "count", before.lost, after.lost},
		{"innocent-refused", "count", before.refused, after.refused},
	})
}}

type deaths struct{ lost, refused float64 }

func runDeath(e *Env, withoutQuarantine bool) (deaths, error) {
	c, err := e.start(plan{
		shards: deathShards, serversPerZone: deathShards, searchers: 1, slots: 2, serviceTime: 5, minTime: 2,
		cold: warm, entries: 6, delay: associationDelay, withoutQuarantine: withoutQuarantine,
	})
	if err != nil {
		return deaths{}, err
	}
	defer c.Close()
	l := e.callers(c, time.Second, "counter")
	l.load(recorder.New(), innocentRate, 2*time.Second, "warm-up")
	for _, s := range c.StandIns.Servers {
		s.SetCrashBody(deadlyText)
	}
	watch, stop := watchCrashes(c), make(chan struct{})
	d, sent := newDeadly(e, c), make(chan struct{})
	go func() {
		defer close(sent)
		time.Sleep(deathStart)
		d.send(stop)
	}()
	r := recorder.New()
	l.load(r, innocentRate, deathTime, "innocent")
	close(stop)
	<-sent
	lost, err := watch.end()
	if err != nil {
		return deaths{}, err
	}
	refused := r.Count(func(s recorder.Sample) bool { return stated(s.Err) })
	return deaths{float64(lost), float64(refused)}, d.check(lost, withoutQuarantine)
}

// crashWatch starts servers again some time after they have crashed, and
// counts the losses. Several requests that crash one process are one loss.
type crashWatch struct {
	servers sync.WaitGroup
	stop    chan struct{}
	lost    atomic.Int64

	mu      sync.Mutex
	failure error
}

func watchCrashes(c *cluster.Cluster) *crashWatch {
	w := &crashWatch{stop: make(chan struct{})}
	for _, s := range c.StandIns.Servers {
		w.servers.Add(1)
		go func() {
			defer w.servers.Done()
			if err := w.watch(s); err != nil {
				w.mu.Lock()
				w.failure = errors.Join(w.failure, err)
				w.mu.Unlock()
			}
		}()
	}
	return w
}

func (w *crashWatch) watch(s *emulator.Emulator) error {
	for restarted := int64(0); ; {
		if s.Counts.Crashes.Load() > restarted {
			w.lost.Add(1)
			time.Sleep(deathRestart)
			restarted = s.Counts.Crashes.Load()
			if err := s.Start(); err != nil {
				return err
			}
		}
		select {
		case <-w.stop:
			return nil
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// end returns the number of losses.
func (w *crashWatch) end() (int64, error) {
	close(w.stop)
	w.servers.Wait()
	return w.lost.Load(), w.failure
}

// deadly is the caller that resends the request that crashes servers.
type deadly struct {
	cluster *cluster.Cluster
	caller  *loader.Loader

	mu          sync.Mutex
	sent        int
	quarantined int
	answered    int
}

func newDeadly(e *Env, c *cluster.Cluster) *deadly {
	return &deadly{cluster: c, caller: c.Caller(loader.Config{
		Service: service, Tenant: "counter", Class: "interactive", Timeout: time.Second, Seed: e.Seed + 50,
	})}
}

// send sends the request to all entry VMs at the same time, again and again.
func (d *deadly) send(stop chan struct{}) {
	for round := 0; ; round++ {
		var calls sync.WaitGroup
		for i, address := range d.cluster.Entries() {
			calls.Add(1)
			go func() {
				defer calls.Done()
				answer, err := d.caller.SearchAt(address, zinniatide.RequestID(fmt.Sprintf("deadly-%d-%d", round, i)), deadlyText)
				d.record(answer, err)
			}()
		}
		calls.Wait()
		select {
		case <-stop:
			return
		case <-time.After(deathPause):
		}
	}
}

func (d *deadly) record(answer *loader.SearchAnswer, err error) {
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

// check returns an error unless the request really crashed servers, and was
// quarantined where that is not switched off.
func (d *deadly) check(lost int64, withoutQuarantine bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case lost == 0:
		return fmt.Errorf("the deadly request was sent %d times and crashed no server", d.sent)
	case d.answered > 0:
		return fmt.Errorf("%d of %d deadly requests were answered", d.answered, d.sent)
	case !withoutQuarantine && d.quarantined == 0:
		return fmt.Errorf("none of %d deadly requests was refused as quarantined", d.sent)
	}
	return nil
}

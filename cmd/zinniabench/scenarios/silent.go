package scenarios

import (
	"errors"
	"fmt"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/recorder"
)

const (
	silentSearchRate  = 100 // per second
	silentExecuteRate = 50  // per second
	silentDuration    = 20 * time.Second
	// At silentServersAt, the connections of some backend servers stop carrying
	// data, and at silentLinksAt, the links of one entry VM.
	silentServersAt = 4 * time.Second
	silentLinksAt   = 12 * time.Second
	// silentServerStride selects every fourth server.
	silentServerStride = 4
	// disturbedLatencyFactor times the p99 before the fault is the latency above
	// which an answer counts as disturbed.
	disturbedLatencyFactor = 3
)

// silentConnection makes open connections permanently drop all data without
// closing, first those of some backend servers and then the links of an entry VM.
// New connections work. The load consists of searches and non-idempotent requests.
var silentConnection = Scenario{Name: "silent-connection", Run: func(e *Env) error {
	c, err := e.startCluster(systemConfig{
		shards: 10, serversPerZone: 10, searchersPerServer: 1, slots: 3, serviceTime: 5, minServiceTime: 2,
		assumedColdStart: unlimitedRamp, entryVMs: 6, linkDelay: zoneLinkDelay,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	l, tracker, r := e.newCallers(c, time.Second, "counter"), e.newExecuteTracker(c, "silent"), recorder.New()
	l.sendSearches(recorder.New(), silentSearchRate, 2*time.Second, "warm-up")
	executed, failed := make(chan struct{}), make(chan error, 1)
	start := time.Now()
	go func() {
		defer close(executed)
		recorder.RunOpenLoop(silentExecuteRate, silentDuration, tracker.sendUntilDone)
	}()
	go func() { failed <- silenceConnections(c) }()
	l.sendSearches(r, silentSearchRate, silentDuration, "silent")
	<-executed
	if err := <-failed; err != nil {
		return err
	}
	v, err := tracker.summarize()
	if err != nil {
		return err
	}
	limit := disturbedLatencyFactor * samplesBetween(r, start, start.Add(silentServersAt)).Quantile(0.99)
	servers := disturbanceMs(r, start.Add(silentServersAt), start.Add(silentLinksAt), limit)
	links := disturbanceMs(r, start.Add(silentLinksAt), start.Add(2*silentDuration), limit)
	return e.reportMetrics("silent-connection", []metric{
		{"detect", "ms", noValue, max(servers, links)},
		{"doubled", "count", noValue, float64(v.doubled)},
		{"p99", "ms", noValue, r.Quantile(0.99)},
	})
}}

// silenceConnections silences the connections of backend servers after
// silentServersAt and the links of the last entry VM after silentLinksAt.
func silenceConnections(c *cluster.Cluster) error {
	time.Sleep(silentServersAt)
	silenced := 0
	for i := 0; i < len(c.Backends.Emulators); i += silentServerStride {
		silenced += c.Backends.Emulators[i].FreezeConnections()
	}
	if silenced == 0 {
		return errors.New("no backend server had an open connection")
	}
	time.Sleep(silentLinksAt - silentServersAt)
	if links := c.Network.FreezeOpenLinks(c.VMID(c.Options.EntryVMs - 1)); links < c.Options.EntryVMs-1 {
		return fmt.Errorf("the entry VM had only %d links", links)
	}
	return nil
}

// samplesBetween returns the samples that started in [from, to).
func samplesBetween(r *recorder.Recorder, from, to time.Time) *recorder.Recorder {
	part := recorder.New()
	for _, s := range r.Samples() {
		if !s.Start.Before(from) && s.Start.Before(to) {
			part.Add(s)
		}
	}
	return part
}

// disturbanceMs returns the time in ms from event to the end of the last request
// that failed, had partial coverage or took longer than limit ms. A request that
// ends after the next event is attributed to that event.
func disturbanceMs(r *recorder.Recorder, event, next time.Time, limit float64) float64 {
	last := 0.0
	for _, s := range r.Samples() {
		end := s.Start.Add(s.Latency)
		if end.After(event) && end.Before(next) && (s.Err != nil || s.Coverage < 1 || ms(s.Latency) > limit) {
			last = max(last, ms(end.Sub(event)))
		}
	}
	return last
}

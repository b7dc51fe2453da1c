package scenarios

import (
	"errors"
	"fmt"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/recorder"
)

const (
	silentSearches = 100 // per second
	silentExecutes = 50  // per second
	silentTime     = 20 * time.Second
	// The connections of servers go silent at silentServers, and the links of
	// one entry VM at silentLinks.
	silentServers = 4 * time.Second
	silentLinks   = 12 * time.Second
	// silentStride picks every fourth server.
	silentStride = 4
	// abnormalFactor times the p99 before the fault is the latency from which
	// on an answer counts as disturbed.
	abnormalFactor = 3
)

// silentConnection makes open connections silent for good, first those of
// some backend servers and then the links of an entry VM, under searches and
// non-idempotent requests. New connections work.
var silentConnection = Scenario{Name: "silent-connection", Run: func(e *Env) error {
	c, err := e.start(plan{
		shards: 10, serversPerZone: 10, searchers: 1, slots: 3, serviceTime: 5, minTime: 2,
		cold: warm, entries: 6, delay: associationDelay,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	l, x, r := e.callers(c, time.Second, "counter"), e.executions(c, "silent"), recorder.New()
	l.load(recorder.New(), silentSearches, 2*time.Second, "warm-up")
	executed, failed := make(chan struct{}), make(chan error, 1)
	start := time.Now()
	go func() {
		defer close(executed)
		recorder.Pace(silentExecutes, silentTime, x.resend)
	}()
	go func() { failed <- silence(c) }()
	l.load(r, silentSearches, silentTime, "silent")
	<-executed
	if err := <-failed; err != nil {
		return err
	}
	v, err := x.judge()
	if err != nil {
		return err
	}
	limit := abnormalFactor * between(r, start, start.Add(silentServers)).Quantile(0.99)
	servers := disturbed(r, start.Add(silentServers), start.Add(silentLinks), limit)
	links := disturbed(r, start.Add(silentLinks), start.Add(2*silentTime), limit)
	return e.reportAll("silent-connection", []metric{
		{"detect", "ms", none, max(servers, links)},
		{"doubled", "count", none, float64(v.doubled)},
		{"p99", "ms", none, r.Quantile(0.99)},
	})
}}

// silence makes connections silent at the planned times.
func silence(c *cluster.Cluster) error {
	time.Sleep(silentServers)
	silenced := 0
	for i := 0; i < len(c.StandIns.Servers); i += silentStride {
		silenced += c.StandIns.Servers[i].SilenceConnections()
	}
	if silenced == 0 {
		return errors.New("no backend server had an open connection")
	}
	time.Sleep(silentLinks - silentServers)
	if links := c.Network.Silence(c.VM(c.Options.Entries - 1)); links < c.Options.Entries-1 {
		return fmt.Errorf("the entry VM had %d links", links)
	}
	return nil
}

// between returns the samples that started in a time span.
func between(r *recorder.Recorder, from, to time.Time) *recorder.Recorder {
	part := recorder.New()
	for _, s := range r.Samples() {
		if !s.Start.Before(from) && s.Start.Before(to) {
			part.Add(s)
		}
	}
	return part
}

// disturbed returns the time from an event to the end of the last request that
// failed, got less than everything or took longer than limit, in ms. A request
// that ends after the next event counts for that one.
func disturbed(r *recorder.Recorder, event, next time.Time, limit float64) float64 {
	last := 0.0
	for _, s := range r.Samples() {
		end := s.Start.Add(s.Latency)
		if end.After(event) && end.Before(next) && (s.Err != nil || s.Coverage < 1 || ms(s.Latency) > limit) {
			last = max(last, ms(end.Sub(event)))
		}
	}
	return last
}

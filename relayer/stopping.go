package relayer

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/router"
)

const (
	// stopDurationFactor is the number of expected durations that must be left
	// before the end of a stop for a request whose own deadline is later.
	stopDurationFactor = 3
	// stoppingRetryAfter makes callers of a stopping VM retry almost immediately,
	// because another VM can serve them.
	stoppingRetryAfter zinniatide.Millis = 10
)

// stopping is the state of a graceful shutdown. It is zero before it begins.
type stopping struct {
	startedAt, endsAt zinniatide.Millis
}

// StopBy begins a graceful shutdown that ends at end. From now on requests are
// refused if they may still run then, so that callers send them to another VM.
// Connections to backend servers are kept, so that the last requests do not queue
// for them.
func (r *Relayer) StopBy(end zinniatide.Millis) {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	r.stopping = stopping{startedAt: r.deps.Clock.Now(), endsAt: end}
}

// EndRequests ends all requests of callers: those that no server has received with
// status 503, the others with the parts that have arrived or an error.
func (r *Relayer) EndRequests() {
	r.deps.Lock.Lock()
	defer r.deps.Lock.Unlock()
	for ar, end := range r.openRequests {
		delete(r.openRequests, ar)
		end("this VM is stopping", stoppingRetryAfter)
	}
}

// isStopping reports whether StopBy was called.
func (r *Relayer) isStopping() bool { return r.stopping.endsAt > 0 }

// endsInTime reports whether a request can be served before the VM stops. In the
// second half of the shutdown only requests with an early deadline can: a server
// that has just become slow would otherwise still run the others when it ends.
func (r *Relayer) endsInTime(route *router.Route, deadline, now zinniatide.Millis) bool {
	s := &r.stopping
	if !r.isStopping() || deadline <= s.endsAt {
		return true
	}
	if now-s.startedAt > (s.endsAt-s.startedAt)/2 {
		return false
	}
	return now+stopDurationFactor*r.expectedDuration(route) <= s.endsAt
}

// expectedDuration returns a high estimate of how long requests of a route take.
func (r *Relayer) expectedDuration(route *router.Route) zinniatide.Millis {
	expected := route.TargetLatency
	if stats := r.routeLatencies[route.ID]; stats != nil && stats.HasEnoughSamples() {
		expected = max(expected, zinniatide.Millis(stats.HighQuantile))
	}
	for _, target := range route.Targets {
		if s := r.services[target.Service]; s != nil && s.Latency.HasEnoughSamples() {
			expected = max(expected, zinniatide.Millis(s.Latency.HighQuantile))
		}
	}
	return expected
}

package relayer

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/prioritizer"
	"zinniatide.example/zinniatide/selector"
)

// admitByCapacity reports whether there is capacity for a request. Otherwise it has
// refused it.
func (ar *activeRequest) admitByCapacity() bool {
	if !ar.route.Gathers() {
		ar.target = ar.route.Target(ar.r.deps.Random)
	}
	d := ar.r.capacity.Admit(zinniatide.CapacityRequest{
		Route: &ar.route.Route, Service: ar.target, Workspace: ar.req.Workspace, Priority: ar.priority,
	}, ar.startedAt)
	if d.Permit == nil {
		ar.returnToken(&Reply{Status: statusUnavailable})
		ar.r.refuse(ar.req, ar.route, ar.respond, statusUnavailable, d.Reason, d.RetryAfter, "priority", ar.priority, "workspace", ar.req.Workspace)
		return false
	}
	ar.permit = d.Permit
	return true
}

// observeResult records how a request ended with regard to the load.
func (ar *activeRequest) observeResult(result zinniatide.CapacityResult) {
	if ar.permit == nil || ar.resultObserved {
		return
	}
	ar.resultObserved = true
	ar.failedByLoad = result == zinniatide.CapacityFailed
	ar.permit.Observe(result, ar.r.deps.Clock.Now())
}

// endPermit gives back the capacity of a request that has ended. A failed request keeps
// it until servers no longer work on its parts: requests that fail at once because some
// servers are full would otherwise keep the queues of the others full.
func (ar *activeRequest) endPermit() {
	if ar.permit == nil || ar.failedByLoad && len(ar.openAttempts) > 0 {
		return
	}
	ar.permit.End()
	ar.permit = nil
}

// leavesHedge reports whether the request must not use the retry budget of a service
// for a hedge, because the budget is scarce and more urgent requests may need it.
func (ar *activeRequest) leavesHedge(s *selector.Service) bool {
	now := ar.r.deps.Clock.Now()
	if s.Budget.AtLeastHalfFull(now) || !ar.r.capacity.LeavesHedges(s.Service, ar.priority, now) {
		return false
	}
	ar.r.metrics.leftHedges.Inc()
	return true
}

// queueingFactor is how much longer than the fastest recent answer of its service an
// answer to a plain request takes if it queued. Servers vary less in undisturbed
// operation, and a route that always misses its target is not overloaded.
const queueingFactor = 3

// resultOf tells whether an answer that arrives now is late because of load.
func (f *forwardRequest) resultOf(now zinniatide.Millis) zinniatide.CapacityResult {
	took := now - f.startedAt
	fastest := f.r.fastestAnswerOf(f.target)
	fastest.add(took, now)
	if f.route.TargetLatency > 0 && now-f.req.ArrivedAt > f.route.TargetLatency && took > queueingFactor*fastest.value() {
		return zinniatide.CapacityLate
	}
	return zinniatide.CapacityInTime
}

// fastestPeriod is the time over which the fastest answer is kept, longer than most
// bursts.
const fastestPeriod zinniatide.Millis = 30_000

// fastestAnswer is the time of the fastest answer in the current and the previous
// period.
type fastestAnswer struct {
	current, previous zinniatide.Millis
	startedAt         zinniatide.Millis
}

func (f *fastestAnswer) add(took, now zinniatide.Millis) {
	took = max(took, 1)
	switch {
	case now-f.startedAt >= 2*fastestPeriod:
		f.previous, f.current, f.startedAt = took, took, now
	case now-f.startedAt >= fastestPeriod:
		f.previous, f.current, f.startedAt = f.current, took, now
	default:
		f.current = min(f.current, took)
	}
}

func (f *fastestAnswer) value() zinniatide.Millis { return min(f.current, f.previous) }

// fastestAnswerOf returns the fastest answer of a service. Services that are no longer
// configured are dropped with the next routing table.
func (r *Relayer) fastestAnswerOf(id zinniatide.ServiceID) *fastestAnswer {
	f := r.fastestAnswers[id]
	if f == nil {
		f = &fastestAnswer{startedAt: -2 * fastestPeriod}
		r.fastestAnswers[id] = f
	}
	return f
}

// registerCapacity registers a gauge of the pools of services whose capacity is short.
func (r *Relayer) registerCapacity(registerer prometheus.Registerer, p *prioritizer.Prioritizer) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniatide_relay_short_pools", Help: "Groups of services with shared requests whose concurrency limit was reached within the last second or has fallen.",
	}, func() float64 {
		r.deps.Lock.Lock()
		defer r.deps.Lock.Unlock()
		return float64(p.Short(r.deps.Clock.Now()))
	}))
}

package relayer

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

// hint is what a process has asked for in its answers: to get no more requests
// because it is about to end, or none before a time.
type hint struct {
	leaving     bool
	pausedUntil zinniatide.Millis
	keptSince   zinniatide.Millis
}

const (
	// hintLifetime is how long the hint of a process that is no longer enrolled is
	// kept, in case that a late heartbeat or an older table enrolls it again.
	hintLifetime zinniatide.Millis = 10 * 60 * 1000
	// maxHints bounds the hints kept.
	maxHints = 4096
	// retrySpread is the share by which the times are spread at which refused callers
	// return, so that they do not return together.
	retrySpread = 0.25
)

// applyHints applies what a process asks for in an answer, and recalls the requests
// that have not been sent to it.
func (r *Relayer) applyHints(s *selector.Server, a *transporter.Answer, requestID string) {
	now := r.deps.Clock.Now()
	recall := false
	if a.Leaving && s.MarkLeaving() {
		recall = true
		r.metrics.leaves.Inc()
		klog.InfoS("backend server is leaving", "step", "relay", "cause", "its answer", "request", requestID, "server", s.Server,
			"service", s.Enrollment.Service, "born", s.StartedAt, "heartbeat-state", s.State, "sequence", s.Sequence)
	}
	if a.Pause > 0 {
		recall = true
		r.metrics.pauses.Inc()
		klog.InfoS("backend server asked for a pause", "step", "relay", "cause", "its refusal", "request", requestID, "server", s.Server,
			"service", s.Enrollment.Service, "pause-ms", a.Pause, "left-of-earlier-ms", max(s.PausedUntil()-now, 0))
		s.PauseUntil(now + a.Pause)
	}
	if known := r.servers[processKey{s.Server, s.StartedAt}]; recall && known != nil {
		known.pool.Recall()
	}
}

// recordLoad records the load that a server reports in an answer.
func (r *Relayer) recordLoad(s *selector.Server, a *transporter.Answer) {
	now := r.deps.Clock.Now()
	if a.QueueLength >= 0 {
		s.SetReportedQueue(a.QueueLength, now)
	}
	if a.WorkTime > 0 {
		s.SetReportedWorkTime(a.WorkTime, now)
	}
	if a.InvalidLoad {
		r.metrics.invalidLoads.Inc()
	}
}

// keepHint keeps the hint of a process that is no longer enrolled.
func (r *Relayer) keepHint(id processKey, s *server) {
	now := r.deps.Clock.Now()
	if !s.IsLeaving() && !s.IsPaused(now) {
		return
	}
	if len(r.hints) >= maxHints {
		for other, w := range r.hints {
			if now-w.keptSince >= hintLifetime || len(r.hints) >= maxHints {
				delete(r.hints, other)
			}
		}
	}
	r.hints[id] = hint{leaving: s.IsLeaving(), pausedUntil: s.PausedUntil(), keptSince: now}
}

// restoreHint applies the kept hint of a process that is enrolled again.
func (r *Relayer) restoreHint(id processKey, s *server) {
	w, kept := r.hints[id]
	if !kept {
		return
	}
	delete(r.hints, id)
	if r.deps.Clock.Now()-w.keptSince >= hintLifetime {
		return
	}
	if w.leaving {
		s.MarkLeaving()
	}
	s.PauseUntil(w.pausedUntil)
}

// retryAfterOf returns when a caller should retry a request that no server of the
// services can get now: when the first of them returns from a pause, spread over
// callers, or after unreachableRetryAfter.
func (r *Relayer) retryAfterOf(o *selector.Options, services ...*selector.Service) zinniatide.Millis {
	var first zinniatide.Millis
	for _, s := range services {
		if s == nil {
			continue
		}
		if returns, paused := s.ReturnsIn(o); paused && (first == 0 || returns < first) {
			first = returns
		}
	}
	if first == 0 {
		return unreachableRetryAfter
	}
	return first + zinniatide.Millis(retrySpread*o.Random.Float64()*float64(first)) + 1
}

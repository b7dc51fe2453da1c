package executor

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// metrics are the measurements of non-idempotent requests.
type metrics struct {
	seconds *prometheus.HistogramVec
	results *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinniatide_execute_seconds", Help: "Time from admission to the result of a non-idempotent request.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"service", "class", "tenant"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_executes_total", Help: "Non-idempotent requests by outcome and code.",
		}, []string{"service", "outcome", "code"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.seconds, m.results)
	}
	return m
}

// observe counts a finished request. Refusals are counted without tenant and
// class, which may be unknown and would create new series without bound.
func (m *metrics) observe(r *zinniatide.ExecuteRequest, took zinniatide.Millis, refusal *zinniatide.Refusal) {
	service := string(r.Service)
	if refusal != nil {
		if refusal.Code == zinniatide.CodeUnknownService {
			service = ""
		}
		m.results.WithLabelValues(service, string(refusal.Outcome), string(refusal.Code)).Inc()
		return
	}
	m.results.WithLabelValues(service, string(zinniatide.OutcomeDone), "").Inc()
	m.seconds.WithLabelValues(service, string(r.Class), string(r.Tenant)).Observe(took.Duration().Seconds())
}

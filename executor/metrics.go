package executor

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// metrics holds the Prometheus metrics of non-idempotent requests.
type metrics struct {
	duration *prometheus.HistogramVec // from the start of Execute, so it includes the wait for admission
	requests *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinniatide_execute_seconds", Help: "Time from admission to the result of a non-idempotent request.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"service", "class", "tenant"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_executes_total", Help: "Non-idempotent requests by outcome and code.",
		}, []string{"service", "outcome", "code"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.duration, m.requests)
	}
	return m
}

// record records a finished request. Refusals are counted by service, outcome and
// code only, to keep the number of series small. The name of an unknown service
// is omitted, because such names would create an unbounded number of series.
func (m *metrics) record(r *zinniatide.ExecuteRequest, took zinniatide.Millis, refusal *zinniatide.Refusal) {
	service := string(r.Service)
	if refusal != nil {
		if refusal.Code == zinniatide.CodeUnknownService {
			service = ""
		}
		m.requests.WithLabelValues(service, string(refusal.Outcome), string(refusal.Code)).Inc()
		return
	}
	m.requests.WithLabelValues(service, string(zinniatide.OutcomeDone), "").Inc()
	m.duration.WithLabelValues(service, string(r.Class), string(r.Workspace)).Observe(took.Duration().Seconds())
}

package querier

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// metrics are the measurements of queries.
type metrics struct {
	seconds  *prometheus.HistogramVec
	results  *prometheus.CounterVec
	subs     *prometheus.CounterVec
	restarts prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinniatide_search_seconds", Help: "Time from admission to the answer of a search.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"service", "class", "tenant"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_searches_total", Help: "Searches by result: whole, partial or the code of the refusal.",
		}, []string{"service", "result"}),
		subs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_search_sub_requests_total", Help: "Sub-requests of searches by kind: first, hedge or retry.",
		}, []string{"service", "kind"}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_search_restarts_total", Help: "Searches that were restarted on another index version.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.seconds, m.results, m.subs, m.restarts)
	}
	return m
}

// observe counts a finished search. Refusals are counted without tenant and
// class, which may be unknown and would create new series without bound.
func (m *metrics) observe(r *zinniatide.SearchRequest, took zinniatide.Millis, answer *zinniatide.SearchAnswer, refusal *zinniatide.Refusal) {
	if refusal != nil && refusal.Code == zinniatide.CodeUnknownService {
		m.results.WithLabelValues("", string(refusal.Code)).Inc()
		return
	}
	if refusal != nil {
		m.results.WithLabelValues(string(r.Service), string(refusal.Code)).Inc()
		return
	}
	result := "whole"
	if answer.Coverage.ShardsAnswered < answer.Coverage.ShardsTotal {
		result = "partial"
	}
	m.results.WithLabelValues(string(r.Service), result).Inc()
	m.seconds.WithLabelValues(string(r.Service), string(r.Class), string(r.Tenant)).Observe(took.Duration().Seconds())
}

// ended counts the sub-requests of a run.
func (m *metrics) ended(r *run) {
	first := -r.hedgesSent - r.retriesSent
	for _, g := range r.gens {
		first += len(g.attempts)
	}
	service := string(r.request.Service)
	m.subs.WithLabelValues(service, "first").Add(float64(first))
	m.subs.WithLabelValues(service, "hedge").Add(float64(r.hedgesSent))
	m.subs.WithLabelValues(service, "retry").Add(float64(r.retriesSent))
	m.restarts.Add(float64(len(r.gens) - 1))
}

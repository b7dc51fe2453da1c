package querier

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// metrics holds the Prometheus metrics of searches.
type metrics struct {
	duration    *prometheus.HistogramVec // from the start of Search, so it includes the wait for admission
	searches    *prometheus.CounterVec
	subRequests *prometheus.CounterVec
	restarts    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinniatide_search_seconds", Help: "Time from admission to the answer of a search.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"service", "class", "tenant"}),
		searches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_searches_total", Help: "Searches by result: whole, partial or the code of the refusal.",
		}, []string{"service", "result"}),
		subRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_search_sub_requests_total", Help: "Sub-requests of searches by kind: first, hedge or retry.",
		}, []string{"service", "kind"}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_search_restarts_total", Help: "Searches that were restarted on another index version.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.duration, m.searches, m.subRequests, m.restarts)
	}
	return m
}

// recordSearch records a finished search. Refusals are counted by service and
// code only, to keep the number of series small. The name of an unknown service
// is omitted, because such names would create an unbounded number of series.
func (m *metrics) recordSearch(r *zinniatide.SearchRequest, took zinniatide.Millis, answer *zinniatide.SearchAnswer, refusal *zinniatide.Refusal) {
	if refusal != nil && refusal.Code == zinniatide.CodeUnknownService {
		m.searches.WithLabelValues("", string(refusal.Code)).Inc()
		return
	}
	if refusal != nil {
		m.searches.WithLabelValues(string(r.Service), string(refusal.Code)).Inc()
		return
	}
	result := "whole"
	if answer.Coverage.ShardsAnswered < answer.Coverage.ShardsTotal {
		result = "partial"
	}
	m.searches.WithLabelValues(string(r.Service), result).Inc()
	m.duration.WithLabelValues(string(r.Service), string(r.Class), string(r.Workspace)).Observe(took.Duration().Seconds())
}

// recordSubRequests records the sub-requests and restarts of a search.
func (m *metrics) recordSubRequests(r *searchRun) {
	initial := -r.hedgesSent - r.retriesSent
	for _, g := range r.generations {
		initial += len(g.attempts)
	}
	service := string(r.request.Service)
	m.subRequests.WithLabelValues(service, "first").Add(float64(initial))
	m.subRequests.WithLabelValues(service, "hedge").Add(float64(r.hedgesSent))
	m.subRequests.WithLabelValues(service, "retry").Add(float64(r.retriesSent))
	m.restarts.Add(float64(len(r.generations) - 1))
}

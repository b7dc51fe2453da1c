package gateway

import "github.com/prometheus/client_golang/prometheus"

// otherLabel replaces names that are not configured, so that callers cannot
// create new label values.
const otherLabel = "other"

type metrics struct {
	duration           *prometheus.HistogramVec
	refusals           *prometheus.CounterVec
	refusedConnections prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "zinniatide", Subsystem: "gateway", Name: "request_seconds",
			Help: "Time from the receipt of a request to its answer.",
			// From 0.5 ms to 6 s; a request takes at most 3.5 s.
			Buckets: prometheus.ExponentialBuckets(0.0005, 1.6, 21),
		}, []string{"operation", "class", "tenant"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "zinniatide", Subsystem: "gateway", Name: "refusals_total",
			Help: "Requests refused or failed, by code.",
		}, []string{"operation", "code"}),
		refusedConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "zinniatide", Subsystem: "gateway", Name: "refused_connections_total",
			Help: "Connections refused because too many were open.",
		}),
	}
	registerer.MustRegister(m.duration, m.refusals, m.refusedConnections)
	return m
}

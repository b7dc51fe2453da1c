package enroller

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	rows    prometheus.Gauge
	changes prometheus.Counter
}

// newMetrics returns the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		rows: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_enrolled_processes", Help: "Backend server processes known here, ended ones included.",
		}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_enrollment_changes_total", Help: "Changes of the table of backend servers.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.rows, m.changes)
	}
	return m
}

package logkeeper

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	syncSeconds   prometheus.Histogram
	syncedEntries prometheus.Counter
	applied       prometheus.Counter
	snapshots     prometheus.Counter
	failedWrites  prometheus.Counter
	pauses        prometheus.Counter
	turnSeconds   prometheus.Histogram
	leading       prometheus.Gauge
}

// newMetrics creates the metrics. They are registered only if registerer is not
// nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "zinniatide_log_sync_seconds", Help: "Time to write and sync one group of log records.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		syncedEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_log_synced_entries_total", Help: "Log entries made durable on this VM.",
		}),
		applied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_log_applied_entries_total", Help: "Committed log entries applied on this VM.",
		}),
		snapshots: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_log_snapshots_total", Help: "Snapshots taken on this VM.",
		}),
		failedWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_log_failed_writes_total", Help: "Writes that the data folder refused.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_log_pauses_total", Help: "Times that the control goroutine got no processor time for several ticks.",
		}),
		turnSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "zinniatide_log_turn_seconds", Help: "Time for which the control goroutine was busy before it read messages again.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_log_leading", Help: "1 while this VM leads the replicated log with a quorum.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.syncSeconds, m.syncedEntries, m.applied, m.snapshots, m.failedWrites, m.pauses, m.turnSeconds, m.leading)
	}
	return m
}

func (m *metrics) setLeading(leading bool) {
	if leading {
		m.leading.Set(1)
	} else {
		m.leading.Set(0)
	}
}

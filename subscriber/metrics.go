package subscriber

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniatide.example/zinniatide"
)

type metrics struct {
	epoch                prometheus.Gauge
	unansweredHeartbeats prometheus.Counter
	undecidedClaims      prometheus.Counter
	unrecordedResults    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		epoch: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_installed_epoch", Help: "Configuration epoch in force on this VM."}),
		unansweredHeartbeats: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_heartbeats_unanswered_total", Help: "Heartbeats that no control VM answered."}),
		undecidedClaims: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_claims_undecided_total", Help: "Claims that the control leader did not decide in time."}),
		unrecordedResults: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_claim_results_unrecorded_total", Help: "Results of claims that could not be recorded."}),
	}
}

// registerContactAge registers the gauge of the time since a control leader answered.
func registerContactAge(registerer prometheus.Registerer, age func() zinniatide.Millis) {
	promauto.With(registerer).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniatide_control_contact_age_seconds", Help: "Time since a control leader answered a heartbeat, at first since the start.",
	}, func() float64 { return float64(age()) / 1000 })
}

package controller

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Registerer registers the metrics of a Controller.
type Registerer = prometheus.Registerer

type metrics struct {
	epoch         prometheus.Gauge
	sessions      prometheus.Gauge
	claims        prometheus.Gauge
	claimBytes    prometheus.Gauge
	expiredLeases prometheus.Counter
	pushFailures  prometheus.Counter

	runningRollouts prometheus.Gauge
	rolloutSteps    *prometheus.CounterVec
}

func newMetrics(registerer Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		epoch: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_control_epoch", Help: "Newest accepted configuration epoch."}),
		sessions: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_control_sessions", Help: "Members with a session on this leader, 0 on other control VMs."}),
		claims: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_control_claims", Help: "Claims of non-idempotent requests that are kept."}),
		claimBytes: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_control_claim_bytes", Help: "Memory charged for the claims that are kept."}),
		expiredLeases: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_control_expired_leases_total", Help: "Members removed because their lease expired."}),
		pushFailures: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_control_push_failures_total", Help: "Configuration pushes without acknowledgement of a newer epoch."}),
		runningRollouts: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_control_rollouts", Help: "Running rollouts that this leader decides about."}),
		rolloutSteps: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_control_rollout_steps_total", Help: "Changes of the share or state of rollouts proposed by this leader."}, []string{"state"}),
	}
}

package quotalimiter

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	// held, granted, exhausted and unknown count the decisions on requests.
	held, granted, exhausted, unknown prometheus.Counter
	// asked counts the questions that this VM sent, answered those of other VMs.
	asked, answered prometheus.Counter
	// returned, emergency and handovers count tokens given back, tokens granted in place
	// of the counting VM, and buckets handed over.
	returned, emergency, handovers prometheus.Counter
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer, counted func() float64) *metrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "zinniatide_quota_decisions_total", Help: "Requests of workspaces with a limit, by decision.",
	}, []string{"decision"})
	messages := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "zinniatide_quota_questions_total", Help: "Questions for tokens, asked by this VM and answered by it.",
	}, []string{"side"})
	m := &metrics{
		held: decisions.WithLabelValues("held"), granted: decisions.WithLabelValues("granted"),
		exhausted: decisions.WithLabelValues("exhausted"), unknown: decisions.WithLabelValues("unknown"),
		asked: messages.WithLabelValues("asked"), answered: messages.WithLabelValues("answered"),
		returned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_quota_returned_total", Help: "Tokens given back by requests that have not run.",
		}),
		emergency: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_quota_emergency_total", Help: "Tokens granted by this VM in place of the counting VM.",
		}),
		handovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_quota_handovers_total", Help: "Workspaces whose counting this VM handed over.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(decisions, messages, m.returned, m.emergency, m.handovers, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "zinniatide_quota_workspaces", Help: "Workspaces that this VM counts.",
		}, counted))
	}
	return m
}

package relayer

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/transporter"
)

type metrics struct {
	outcomes       *prometheus.HistogramVec
	refusals       *prometheus.CounterVec
	exchanges      *prometheus.CounterVec
	partialAnswers prometheus.Counter
	missingShards  prometheus.Counter
	hedges         prometheus.Counter
	// leftHedges counts the late parts and plain requests that were not hedged because the
	// retry budget was left to more urgent requests.
	leftHedges prometheus.Counter
	// delegations counts the delegations sent to other VMs, delegatedGathers those
	// served for other VMs.
	delegations, delegatedGathers prometheus.Counter
	// foreignReplies counts replies of delegates that were not merged, because they do
	// not belong to a request of this process.
	foreignReplies prometheus.Counter
	// leaves counts the processes that said in an answer that they are leaving, pauses
	// the pauses that they asked for.
	leaves, pauses prometheus.Counter
	// unconfirmedRequests counts requests handled by a table that may be outdated.
	unconfirmedRequests prometheus.Counter
	// paces counts the paces that began, by cause.
	paces *prometheus.CounterVec
	// heldBack counts servers that were left out of a choice because of their pace,
	// paceExceeded the requests that were sent against it.
	heldBack, paceExceeded prometheus.Counter
	// invalidAnswers counts answers that were not used, by reason.
	invalidAnswers *prometheus.CounterVec
	// invalidLoads counts answers whose load has a figure that was ignored.
	invalidLoads prometheus.Counter
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinniatide_relay_seconds", Help: "Time from the arrival of a request to its end, by kind of route and outcome.",
			Buckets: []float64{.005, .01, .02, .03, .04, .06, .08, .12, .2, .3, .5, .8, 1.2, 2, 5},
		}, []string{"kind", "priority", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_relay_refusals_total", Help: "Requests that were sent to no backend server, by reason.",
		}, []string{"reason"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_relay_exchanges_total", Help: "Requests sent to backend servers, by result.",
		}, []string{"result"}),
		partialAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_relay_partial_answers_total", Help: "Gathered answers that lack shards.",
		}),
		missingShards: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_relay_missing_shards_total", Help: "Shards left out of gathered answers.",
		}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_relay_hedges_total", Help: "Sends to a second server because the first was late.",
		}),
	}
	m.leftHedges = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_relay_left_hedges_total", Help: "Late parts and plain requests that left a scarce retry budget to requests of a higher priority.",
	})
	m.delegations = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_relay_delegations_total", Help: "Groups of parts that a VM of another zone was asked to gather.",
	})
	m.delegatedGathers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_relay_helped_total", Help: "Groups of parts gathered for VMs of other zones.",
	})
	m.foreignReplies = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_relay_foreign_replies_total", Help: "Replies of delegates that belong to no request of this process.",
	})
	m.leaves = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_leaving_total", Help: "Backend server processes that said in an answer that they are leaving.",
	})
	m.pauses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_pauses_total", Help: "Pauses that backend servers asked for when they turned a request away.",
	})
	m.unconfirmedRequests = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_relay_unconfirmed_requests_total", Help: "Requests handled by a table that the control leader has not confirmed for 3 s.",
	})
	m.paces = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "zinniatide_backend_paces_total", Help: "Backend server processes whose requests were limited after a start or a recovery, by cause.",
	}, []string{"cause"})
	m.heldBack = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_held_back_total", Help: "Servers left out of the choice for a request because of their pace.",
	})
	m.paceExceeded = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_pace_exceeded_total", Help: "Requests sent against the pace because it held back all servers of the service.",
	})
	m.invalidLoads = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "zinniatide_backend_invalid_loads_total", Help: "Answers of backend servers with a figure of their load that was ignored because it is malformed, negative or huge.",
	})
	m.invalidAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "zinniatide_backend_invalid_answers_total", Help: "Answers of backend servers that violate HTTP or belong to another request, by reason.",
	}, []string{"reason"})
	if registerer != nil {
		registerer.MustRegister(m.invalidAnswers, m.invalidLoads, m.paces, m.heldBack, m.paceExceeded)
		registerer.MustRegister(m.outcomes, m.refusals, m.exchanges, m.partialAnswers, m.missingShards, m.hedges, m.delegations, m.delegatedGathers, m.foreignReplies, m.leaves, m.pauses,
			m.unconfirmedRequests, m.leftHedges)
	}
	return m
}

func (m *metrics) observeOutcome(route *router.Route, priority int, outcome string, ms float64) {
	kind := "forward"
	if route.Gathers() {
		kind = "gather"
	}
	m.outcomes.WithLabelValues(kind, priorityLabel(priority), outcome).Observe(ms / 1000)
}

// priorityLabel maps a priority to one of a bounded number of label values.
func priorityLabel(priority int) string {
	if priority < 0 || priority > 9 {
		return "other"
	}
	return string(rune('0' + priority))
}

// countRefusal counts a refusal. Reasons that name a service share one label
// value, which bounds the number of values.
func (m *metrics) countRefusal(reason string) {
	if len(reason) > len("no server of ") && reason[:len("no server of ")] == "no server of " {
		reason = "no server"
	}
	m.refusals.WithLabelValues(reason).Inc()
}

func (m *metrics) countExchange(r transporter.Result) { m.exchanges.WithLabelValues(r.String()).Inc() }

// registerTables registers gauges of the tables of delegations, which are empty on a VM
// without requests in progress.
func (r *Relayer) registerTables(registerer prometheus.Registerer) {
	if registerer == nil {
		return
	}
	gauge := func(name, help string, size func() int) {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			r.deps.Lock.Lock()
			defer r.deps.Lock.Unlock()
			return float64(size())
		}))
	}
	gauge("zinniatide_relay_open_delegations", "Groups of parts that other VMs gather or hedge for requests in progress.", func() int { return len(r.delegations) })
	gauge("zinniatide_backend_paced_servers", "Backend server processes whose requests are limited after a start or a recovery.", r.pacedServers)
	gauge("zinniatide_relay_open_helped", "Groups of parts in progress for requests of other VMs.", func() int { return len(r.delegatedGathers) })
}
